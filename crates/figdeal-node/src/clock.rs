//! The clocks of a process: the time since boot for timeouts and leases, and the wall clock for the age of outcomes.
//! The queue node passes both to its logic, see [`read`]; the agent needs only [`now`].

use std::time::{SystemTime, UNIX_EPOCH};

use figdeal_core::time::Timestamp;
use figdeal_queue::node::Clock;
use rustix::time::{ClockId, clock_gettime};

/// Returns the time since boot. It includes time in which the machine was suspended, so a lease that expires during a
/// suspension counts as expired afterwards.
///
/// ```
/// let earlier = figdeal_node::clock::now();
/// assert!(figdeal_node::clock::now() >= earlier);
/// ```
pub fn now() -> Timestamp {
    let since_boot = clock_gettime(ClockId::Boottime);
    Timestamp::from_micros(since_boot.tv_sec as u64 * 1_000_000 + since_boot.tv_nsec as u64 / 1_000)
}

/// Reads both clocks at once.
pub fn read() -> Clock {
    // A wall clock before 1970 counts as 0. The wall clock only determines the age of job outcomes.
    let wall = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    Clock {
        now: now(),
        wall_ms: wall.as_millis() as u64,
    }
}
