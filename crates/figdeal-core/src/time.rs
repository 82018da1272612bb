//! Points in time: monotonic timestamps of a process, and wall clock times.

use std::{
    fmt,
    ops::{Add, Sub},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use serde::{Deserialize, Serialize};

/// Point in time on the monotonic clock of one process, in microseconds since the start of its driver.
///
/// ```
/// use std::time::Duration;
///
/// use figdeal_core::time::Timestamp;
///
/// let start = Timestamp::from_micros(1_000);
/// assert_eq!((start + Duration::from_millis(2)) - start, Duration::from_millis(2));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Timestamp(u64);

impl Timestamp {
    /// Time at which the driver started.
    pub const ZERO: Timestamp = Timestamp(0);

    /// Creates a timestamp from microseconds since the start of the driver.
    pub const fn from_micros(micros: u64) -> Timestamp {
        Timestamp(micros)
    }

    /// Returns the microseconds since the start of the driver.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the time from `earlier` to `self`, or zero if `earlier` is later.
    pub fn since(self, earlier: Timestamp) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Timestamp {
    type Output = Timestamp;

    fn add(self, rhs: Duration) -> Timestamp {
        Timestamp(self.0.saturating_add(rhs.as_micros() as u64))
    }
}

impl Sub<Duration> for Timestamp {
    type Output = Timestamp;

    fn sub(self, rhs: Duration) -> Timestamp {
        Timestamp(self.0.saturating_sub(rhs.as_micros() as u64))
    }
}

impl Sub for Timestamp {
    type Output = Duration;

    fn sub(self, rhs: Timestamp) -> Duration {
        self.since(rhs)
    }
}

/// Wall clock time in milliseconds since the Unix epoch.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct UnixMillis(pub u64);

impl UnixMillis {
    /// Reads the wall clock of this machine.
    pub fn now() -> UnixMillis {
        let since = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        UnixMillis(since.as_millis() as u64)
    }

    /// Returns the time that is `span` later than `self`.
    pub fn plus(self, span: Duration) -> UnixMillis {
        UnixMillis(self.0.saturating_add(span.as_millis() as u64))
    }

    /// Returns the absolute difference between two times.
    pub fn distance(self, other: UnixMillis) -> Duration {
        Duration::from_millis(self.0.abs_diff(other.0))
    }
}

impl fmt::Display for UnixMillis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ms", self.0)
    }
}
