//! The clocks of a process: the time since boot for timeouts and leases, and the wall clock for the age of outcomes.
//! The queue node passes both to its logic, see [`read`]; the agent needs only [`now`].

use std::time::{SystemTime, UNIX_EPOCH};

pub use figdeal_limits::clock::now;
use figdeal_queue::node::Clock;

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
