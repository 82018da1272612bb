//! The clocks of a process.

use std::time::{SystemTime, UNIX_EPOCH};

use figdeal_core::time::Timestamp;
use figdeal_queue::node::Clock;
use rustix::time::{ClockId, clock_gettime};

/// Time that also passes while the machine is suspended, so that a lease never outlives a suspension.
///
/// ```
/// let earlier = figdeal_node::clock::now();
/// assert!(figdeal_node::clock::now() >= earlier);
/// ```
pub fn now() -> Timestamp {
    let time = clock_gettime(ClockId::Boottime);
    Timestamp::from_micros(time.tv_sec as u64 * 1_000_000 + time.tv_nsec as u64 / 1_000)
}

/// Both clocks.
pub fn read() -> Clock {
    // A time of day before 1970 is no time at all; it only ages outcomes.
    let wall = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    Clock {
        now: now(),
        wall_ms: wall.as_millis() as u64,
    }
}
