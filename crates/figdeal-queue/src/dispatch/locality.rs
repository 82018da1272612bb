//! Decides whether a task waits for room in the rack of its data or runs elsewhere at once.
//!
//! The load that is meant: a rack that holds the data of more tasks than it has room for, while other racks have room,
//! and a pool that is full. Elsewhere a run takes longer by a known factor, and so does the room that it takes from
//! others. A wait is worth the difference. It never lasts beyond the latest start that meets the response-time goal, and
//! there is none for a rack without workers.

use std::time::Duration;

use figdeal_core::time::Timestamp;

use super::overload::millis;

/// Part of the pool's room in use from which on a remote run starts to take room from others.
const HIGH_USE_FRACTION: f64 = 0.8;
/// Part of a rack's room that its own tasks have needed recently, from which on other tasks avoid the rack.
const CONTENDED_FRACTION: f64 = 0.3;
/// Part of the time until the latest start that an expected wait may take. The rest covers estimates that are off.
const MAX_WAIT_FRACTION: f64 = 0.4;
/// Shortest time after which a wait is reconsidered.
pub(super) const MIN_RECONSIDER_DELAY: Duration = Duration::from_millis(50);
/// A wait is reconsidered after this many times the expected wait.
const RECONSIDER_FACTOR: u32 = 2;

/// Load of a rack.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct RackLoad {
    /// Millicores of the workers that take tasks.
    pub total_millicores: u64,
    /// Millicores of the runs on these workers.
    pub running_millicores: u64,
    /// Expected remaining work of these runs, in millicores times milliseconds.
    pub running_work: f64,
    /// Millicores of the tasks that wait for the rack.
    pub waiting_millicores: u64,
    /// Expected work of these tasks in the rack, in millicores times milliseconds.
    pub waiting_work: f64,
}

/// A task that can run elsewhere now, or wait for the rack of its data.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Choice {
    /// Expected run time in the rack.
    pub local: Duration,
    /// Expected run time on the best worker elsewhere.
    pub remote: Duration,
    /// Part of the pool's room that is in use.
    pub used_fraction: f64,
    /// Latest start in the rack that meets the response-time goal.
    pub latest_start: Timestamp,
}

/// Returns how long a task that needs this many millicores waits for room in a full rack, behind those that wait for it
/// already. Returns `None` if the wait cannot be known: no worker takes tasks, or nothing runs that could make room.
///
/// Runs are assumed to end evenly over twice their mean remaining time. What does not fit then waits for the tasks
/// before it.
///
/// ```
/// use std::time::Duration;
///
/// use figdeal_queue::dispatch::{RackLoad, expected_wait};
///
/// let load = RackLoad {
///     total_millicores: 16_000,
///     running_millicores: 16_000,
///     running_work: 16_000.0 * 100.0,
///     ..RackLoad::default()
/// };
/// assert_eq!(expected_wait(load, 2_000), Some(Duration::from_millis(25)));
/// assert_eq!(expected_wait(RackLoad::default(), 2_000), None);
/// ```
pub fn expected_wait(load: RackLoad, needs_millicores: u64) -> Option<Duration> {
    if load.total_millicores == 0 || load.running_millicores == 0 {
        return None;
    }
    let running = load.running_millicores as f64;
    let ahead = load.waiting_millicores.saturating_add(needs_millicores) as f64;
    let until_all_end = 2.0 * load.running_work / running;
    let mean_run = load.waiting_work / (load.waiting_millicores.max(1)) as f64;
    let later = (ahead - running).max(0.0) * mean_run / load.total_millicores as f64;
    Some(millis(until_all_end * (ahead / running).min(1.0) + later))
}

/// Returns until when a task waits for the rack of its data, or `None` if it runs elsewhere now. The decision is made
/// again at that time, if there has been no room in the rack before.
///
/// ```
/// use std::time::Duration;
///
/// use figdeal_core::time::Timestamp;
/// use figdeal_queue::dispatch::{Choice, wait_end};
///
/// let now = Timestamp::from_micros(0);
/// let choice = Choice {
///     local: Duration::from_millis(200),
///     remote: Duration::from_millis(600),
///     used_fraction: 0.5,
///     latest_start: now + Duration::from_millis(180),
/// };
/// let wait = Duration::from_millis(60);
/// assert_eq!(wait_end(now, choice, Some(wait)), Some(now + wait * 2));
/// assert_eq!(wait_end(now, choice, Some(wait * 2)), None);
/// assert_eq!(wait_end(now, choice, None), None);
/// let now = now + Duration::from_millis(150);
/// let wait = Duration::from_millis(5);
/// assert_eq!(wait_end(now, choice, Some(wait)), Some(choice.latest_start));
/// assert_eq!(wait_end(choice.latest_start, choice, Some(Duration::ZERO)), None);
/// ```
pub fn wait_end(now: Timestamp, choice: Choice, wait: Option<Duration>) -> Option<Timestamp> {
    let wait = wait?;
    let difference = choice.remote.saturating_sub(choice.local);
    // In a full pool the longer run keeps other tasks waiting for as long.
    let excess_use = (choice.used_fraction - HIGH_USE_FRACTION) / (1.0 - HIGH_USE_FRACTION);
    let worth = difference.mul_f64(1.0 + excess_use.clamp(0.0, 1.0));
    if wait >= worth || wait > max_wait(now, choice) || now >= choice.latest_start {
        return None;
    }
    let reconsider = (wait * RECONSIDER_FACTOR).max(MIN_RECONSIDER_DELAY);
    Some(choice.latest_start.min(now + reconsider))
}

/// Returns the longest expected wait after which the task can be assumed to start in time.
fn max_wait(now: Timestamp, choice: Choice) -> Duration {
    choice.latest_start.since(now).mul_f64(MAX_WAIT_FRACTION)
}

/// Returns whether a task would miss its response-time goal in its rack as well as elsewhere, while a late run takes room
/// that others need. `wait` is the expected wait for the rack, if it can be known.
///
/// ```
/// use std::time::Duration;
///
/// use figdeal_core::time::Timestamp;
/// use figdeal_queue::dispatch::{Choice, misses_goal_everywhere};
///
/// let now = Timestamp::from_micros(0);
/// let choice = Choice {
///     local: Duration::from_millis(200),
///     remote: Duration::from_millis(600),
///     used_fraction: 0.95,
///     latest_start: now + Duration::from_millis(180),
/// };
/// let wait = Some(Duration::from_millis(200));
/// assert!(misses_goal_everywhere(now, choice, wait));
/// assert!(!misses_goal_everywhere(now, Choice { used_fraction: 0.5, ..choice }, wait));
/// assert!(!misses_goal_everywhere(now, Choice { remote: Duration::from_millis(300), ..choice }, wait));
/// ```
pub fn misses_goal_everywhere(now: Timestamp, choice: Choice, wait: Option<Duration>) -> bool {
    let late_elsewhere = now + choice.remote > choice.latest_start + choice.local;
    let late_in_rack = wait.is_none_or(|wait| wait > max_wait(now, choice));
    choice.used_fraction >= HIGH_USE_FRACTION && late_elsewhere && late_in_rack
}

/// Returns whether tasks that could run anywhere should leave the rack to its own, which needed `peak_millicores`
/// recently.
///
/// ```
/// use figdeal_queue::dispatch::is_contended;
///
/// assert!(is_contended(8_000, 16_000));
/// assert!(!is_contended(1_000, 16_000));
/// ```
pub fn is_contended(peak_millicores: u64, total_millicores: u64) -> bool {
    peak_millicores as f64 > total_millicores as f64 * CONTENDED_FRACTION
}
