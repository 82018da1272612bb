//! Decisions for a pool that is offered more work than it has room for: which queue gets the next free room, and which
//! jobs are refused on arrival.
//!
//! Shares answer a flood of one queue: whatever its priority, the others keep room for what they need, up to their part
//! of the pool. Queues of the highest priority have a double share, since short urgent work arrives in bursts. A queue
//! within its share is served by priority, so urgent work is not held up by other work. A reserve answers a flood of
//! long tasks: what a queue uses beyond its share leaves room for the next jobs of more urgent queues.
//!
//! A predicted wait answers a sustained overload: a job that would wait for most of its slack is refused before it takes
//! room that another job could use in time. The limit is the same for small and large jobs of a queue.

use std::time::Duration;

/// Weight of a queue that has the highest priority among the active queues of its pool; all others weigh 1.
const URGENT_WEIGHT: u64 = 2;
/// Part of the mean slack of a queue's jobs that may pass before the first task of a job starts. The rest covers
/// estimates that are off and the time until the last task starts.
const MAX_WAIT_FRACTION: f64 = 0.6;
/// Part of the slack of the job itself that may pass.
const MAX_OWN_WAIT_FRACTION: f64 = 0.85;
/// Part of the recent peak demand of a queue that remains after each sweep of the leader.
const PEAK_DECAY: f64 = 0.9;
/// Jobs with this many times the slack of others run so long that their room returns too late for these, which therefore
/// get a reserve.
const LONG_SLACK_FACTOR: u32 = 3;
/// Longest wait or slack of a job; longer ones count as this.
const MAX_TIME: Duration = Duration::from_secs(24 * 60 * 60);
/// Minimum delay before a refused job should be resubmitted.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Load of one queue of a pool.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QueueLoad {
    /// Priority of the queue; 0 is served first.
    pub priority: u8,
    /// Millicores of its placed runs.
    pub used_millicores: u64,
    /// Most millicores that its runs used and its tasks waited for recently.
    pub peak_millicores: u64,
    /// Average slack of its jobs, which grows with their run time.
    pub mean_slack: Duration,
    /// Work of its waiting tasks by expected run times, in millicores times milliseconds.
    pub waiting_work: f64,
}

impl QueueLoad {
    /// Returns the load of a queue without jobs.
    pub fn idle(priority: u8) -> QueueLoad {
        QueueLoad {
            priority,
            used_millicores: 0,
            peak_millicores: 0,
            mean_slack: Duration::ZERO,
            waiting_work: 0.0,
        }
    }
}

/// Room of a pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PoolRoom {
    /// Millicores of the workers that take tasks.
    pub total_millicores: u64,
    /// Millicores of these workers that no run uses.
    pub free_millicores: u64,
    /// Highest priority, which is the lowest number, among the queues with waiting or placed tasks.
    pub top_priority: u8,
    /// Sum of the weights of these queues.
    pub total_weight: u64,
}

impl PoolRoom {
    /// Returns the room of a pool whose active queues have these priorities.
    ///
    /// ```
    /// use figdeal_queue::dispatch::PoolRoom;
    ///
    /// let room = PoolRoom::new(8_000, 0, &[0, 1, 2]);
    /// assert_eq!(room.share(0), 4_000);
    /// assert_eq!(room.share(2), 2_000);
    /// ```
    pub fn new(total_millicores: u64, free_millicores: u64, priorities: &[u8]) -> PoolRoom {
        let top_priority = priorities.iter().copied().min().unwrap_or(0);
        let weights = priorities.iter().map(|p| weight(*p, top_priority));
        PoolRoom {
            total_millicores,
            free_millicores,
            top_priority,
            total_weight: weights.sum(),
        }
    }

    /// Returns the share of an active queue with this priority in millicores.
    pub fn share(&self, priority: u8) -> u64 {
        let weight = weight(priority, self.top_priority);
        self.total_millicores * weight / self.total_weight.max(weight)
    }
}

fn weight(priority: u8, top_priority: u8) -> u64 {
    match priority <= top_priority {
        true => URGENT_WEIGHT,
        false => 1,
    }
}

/// Position of a queue among those that wait for room of the same pool; the lowest is served first. Queues within
/// their share come first, by priority; the others follow by what they use.
///
/// ```
/// use figdeal_queue::dispatch::{PoolRoom, QueueLoad, service_order};
///
/// let room = PoolRoom::new(8_000, 0, &[0, 1]);
/// let urgent = QueueLoad { used_millicores: 5_000, ..QueueLoad::idle(0) };
/// let flooding = QueueLoad { used_millicores: 3_000, ..QueueLoad::idle(1) };
/// assert!(service_order(urgent, room) < service_order(flooding, room));
/// ```
pub fn service_order(load: QueueLoad, room: PoolRoom) -> (u64, u8) {
    let weight = weight(load.priority, room.top_priority);
    match load.used_millicores < room.share(load.priority) {
        true => (0, load.priority),
        false => (load.used_millicores / weight, load.priority),
    }
}

/// Returns how long a new job of the queue waits until its first task starts. The queue keeps what it uses, can take
/// all free room, and gets at least its share.
///
/// ```
/// use std::time::Duration;
///
/// use figdeal_queue::dispatch::{PoolRoom, QueueLoad, predicted_wait};
///
/// let room = PoolRoom::new(8_000, 0, &[0, 1, 2]);
/// let load = QueueLoad {
///     used_millicores: 1_000,
///     waiting_work: 400_000.0,
///     ..QueueLoad::idle(2)
/// };
/// assert_eq!(predicted_wait(load, room), Duration::from_millis(200));
/// ```
pub fn predicted_wait(load: QueueLoad, room: PoolRoom) -> Duration {
    // Runs on workers that take no more tasks, for example evacuated ones, leave no room for the queue.
    let reachable = (load.used_millicores + room.free_millicores).min(room.total_millicores);
    let reachable = reachable.max(room.share(load.priority));
    let wait_ms = load.waiting_work / reachable.max(1) as f64;
    millis(wait_ms)
}

/// Returns milliseconds as a duration of at most [`MAX_TIME`]; callers choose the numbers that it is derived from.
pub(super) fn millis(ms: f64) -> Duration {
    let limit = MAX_TIME.as_secs_f64() * 1_000.0;
    // The lower bound also replaces a NaN.
    Duration::from_secs_f64(ms.max(0.0).min(limit) / 1_000.0)
}

/// Returns whether a job should be refused because it would wait for too long. `slack` is its own, `mean_slack` the
/// average of its queue.
///
/// ```
/// use std::time::Duration;
///
/// use figdeal_queue::dispatch::is_overloaded;
///
/// let slack = Duration::from_millis(100);
/// assert!(!is_overloaded(Duration::from_millis(50), slack, slack));
/// assert!(is_overloaded(Duration::from_millis(90), slack, slack));
/// ```
pub fn is_overloaded(wait: Duration, slack: Duration, mean_slack: Duration) -> bool {
    wait > mean_slack.mul_f64(MAX_WAIT_FRACTION) || wait > slack.mul_f64(MAX_OWN_WAIT_FRACTION)
}

/// Returns the recent peak demand after a sweep in which the queue used or waited for `demand` millicores.
///
/// ```
/// use figdeal_queue::dispatch::decayed_peak;
///
/// assert_eq!(decayed_peak(1_000, 200), 900);
/// assert_eq!(decayed_peak(1_000, 1_200), 1_200);
/// ```
pub fn decayed_peak(peak: u64, demand: u64) -> u64 {
    demand.max((peak as f64 * PEAK_DECAY) as u64)
}

/// Returns the millicores that a queue has to leave free: none within its share, otherwise a part of what more urgent
/// queues with much shorter jobs needed recently and do not use now. The part grows until the queue uses twice its share.
///
/// ```
/// use figdeal_queue::dispatch::{PoolRoom, QueueLoad, reserve};
///
/// let room = PoolRoom::new(6_000, 0, &[0, 1]);
/// let urgent = QueueLoad { used_millicores: 1_000, peak_millicores: 2_000, ..QueueLoad::idle(0) };
/// let flooding = QueueLoad { used_millicores: 4_000, ..QueueLoad::idle(1) };
/// assert_eq!(reserve(flooding, [urgent, flooding].into_iter(), room), 1_000);
/// assert_eq!(reserve(urgent, [urgent, flooding].into_iter(), room), 0);
/// ```
pub fn reserve(load: QueueLoad, others: impl Iterator<Item = QueueLoad>, room: PoolRoom) -> u64 {
    let share = room.share(load.priority);
    let excess = load.used_millicores.saturating_sub(share).min(share);
    if excess == 0 {
        return 0;
    }
    let urgent = others.filter(|other| other.priority < load.priority);
    let shorter = urgent.filter(|other| load.mean_slack >= other.mean_slack * LONG_SLACK_FACTOR);
    let unused = shorter.map(|other| {
        let peak = other.peak_millicores.min(room.share(other.priority));
        peak.saturating_sub(other.used_millicores)
    });
    unused.sum::<u64>() * excess / share
}

/// Returns the millicores that have to be free beyond a reserve, because about half a task does not fit into the free
/// room of each worker. The margin is at most the reserve, so that a small reserve does not keep much room empty.
///
/// ```
/// use figdeal_queue::dispatch::fragmentation_margin;
///
/// assert_eq!(fragmentation_margin(50_000, 10, 1_300), 6_500);
/// assert_eq!(fragmentation_margin(1_000, 10, 1_300), 1_000);
/// ```
pub fn fragmentation_margin(reserve: u64, workers: u64, task_millicores: u32) -> u64 {
    reserve.min(workers * u64::from(task_millicores) / 2)
}

/// Returns after which delay a refused caller may be served: when the present backlog has drained. Callers are spread
/// over the same time again, by `seed`, so that they do not return together.
///
/// ```
/// use std::time::Duration;
///
/// use figdeal_queue::dispatch::retry_after;
///
/// let wait = Duration::from_secs(1);
/// assert_eq!(retry_after(wait, 0), wait);
/// assert_eq!(retry_after(wait, 512), wait.mul_f64(1.5));
/// ```
pub fn retry_after(wait: Duration, seed: u64) -> Duration {
    let base = MIN_RETRY_DELAY.max(wait);
    let spread = (seed % 1_024) as f64 / 1_024.0;
    base + base.mul_f64(spread)
}
