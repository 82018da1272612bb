//! Wall clock that is not affected by clock adjustments while the process runs.

use crate::time::{Timestamp, UnixMillis};

/// Wall clock that is read once and then advanced by the monotonic clock.
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
    read_at: Timestamp,
}

impl SteadyClock {
    /// Creates a clock from the wall clock reading `start`, which was taken at the monotonic time `read_at`.
    pub fn new(start: UnixMillis, read_at: Timestamp) -> SteadyClock {
        SteadyClock { start, read_at }
    }

    /// The wall clock reading from which the clock was created.
    pub fn start(&self) -> UnixMillis {
        self.start
    }

    /// The wall clock time at the monotonic time `now`.
    pub fn read(&self, now: Timestamp) -> UnixMillis {
        self.start.plus(now.since(self.read_at))
    }

    /// The first monotonic time at which [`read`](Self::read) returns at least `wall`.
    pub fn when(&self, wall: UnixMillis) -> Timestamp {
        let millis = wall.0.saturating_sub(self.start.0);
        Timestamp::from_micros(
            self.read_at
                .as_micros()
                .saturating_add(millis.saturating_mul(1_000)),
        )
    }
}
