//! Clock for timeouts and leases.

use figdeal_core::time::Timestamp;
use rustix::time::{ClockId, clock_gettime};

/// Returns the time since boot. It includes time in which the machine was suspended, so a lease that expires during a
/// suspension counts as expired afterwards.
///
/// ```
/// let earlier = figdeal_limits::clock::now();
/// assert!(figdeal_limits::clock::now() >= earlier);
/// ```
pub fn now() -> Timestamp {
    let since_boot = clock_gettime(ClockId::Boottime);
    Timestamp::from_micros(since_boot.tv_sec as u64 * 1_000_000 + since_boot.tv_nsec as u64 / 1_000)
}
