//! Wall clock that does not jump within a process.

use crate::time::{Timestamp, UnixMillis};

/// Wall clock read once and advanced by the monotonic clock.
///
/// ```
/// use std::time::Duration;
///
/// use figdeal_core::{
///     claim::SteadyClock,
///     time::{Timestamp, UnixMillis},
/// };
///
/// let clock = SteadyClock::new(UnixMillis(5_000), Timestamp::ZERO);
/// assert_eq!(clock.read(Timestamp::ZERO + Duration::from_secs(2)), UnixMillis(7_000));
/// ```
#[derive(Debug, Clone, Copy)]
pub struct SteadyClock {
    start: UnixMillis,
    at: Timestamp,
}

impl SteadyClock {
    /// Creates a clock from the wall clock `start` that was read at `at`.
    pub fn new(start: UnixMillis, at: Timestamp) -> SteadyClock {
        SteadyClock { start, at }
    }

    /// The wall clock when it was read.
    pub fn start(&self) -> UnixMillis {
        self.start
    }

    /// The wall clock at `now`.
    pub fn read(&self, now: Timestamp) -> UnixMillis {
        self.start.plus(now.since(self.at))
    }

    /// The first point at which [`read`](Self::read) returns at least `wall`.
    pub fn when(&self, wall: UnixMillis) -> Timestamp {
        let millis = wall.0.saturating_sub(self.start.0);
        Timestamp::from_micros(
            self.at
                .as_micros()
                .saturating_add(millis.saturating_mul(1_000)),
        )
    }
}
