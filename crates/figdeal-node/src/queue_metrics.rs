//! Metrics of a queue node: refused requests and, at the leader, how much of the fleet is in use.

use std::{collections::BTreeMap, time::Duration};

use figdeal_core::time::Timestamp;
use figdeal_queue::{
    dispatch::{PoolUsage, QueueUsage, Usage},
    refusals::{RefusalCounts, UNKNOWN_QUEUE},
};

/// Interval between two updates of the gauges.
const UPDATE_INTERVAL: Duration = Duration::from_secs(1);

/// Gauges of the room of each pool and the demand of each queue.
///
/// ```
/// use figdeal_core::time::Timestamp;
/// use figdeal_node::queue_metrics::UsageGauges;
/// use figdeal_queue::dispatch::Usage;
///
/// let mut gauges = UsageGauges::default();
/// gauges.update(Timestamp::ZERO, || Some(Usage::default()));
/// ```
#[derive(Debug, Default)]
pub struct UsageGauges {
    next_update: Timestamp,
    /// Values of the last update. What is missing from the next one is set to 0.
    shown: Usage,
}

impl UsageGauges {
    /// Sets the gauges if they are due. `read` returns `None` on a node that does not lead, which shows 0.
    pub fn update(&mut self, now: Timestamp, read: impl FnOnce() -> Option<Usage>) {
        if now < self.next_update {
            return;
        }
        self.next_update = now + UPDATE_INTERVAL;
        let usage = read().unwrap_or_default();
        let pools = with_missing(&self.shown.pools, &usage.pools);
        for (name, PoolUsage { total, used, free }) in pools {
            for (state, value) in [("total", total), ("used", used), ("free", free)] {
                metrics::gauge!("figdeal_queue_pool_millicores", "pool" => name.clone(), "state" => state)
                    .set(value as f64);
            }
        }
        let queues = with_missing(&self.shown.queues, &usage.queues);
        for (name, QueueUsage { used, waiting }) in queues {
            for (state, value) in [("used", used), ("waiting", waiting)] {
                metrics::gauge!("figdeal_queue_millicores", "queue" => name.clone(), "state" => state)
                    .set(value as f64);
            }
        }
        self.shown = usage;
    }
}

/// Returns the new values, and a default for each name that only the old ones have.
fn with_missing<T: Copy + Default>(
    old: &BTreeMap<String, T>,
    new: &BTreeMap<String, T>,
) -> BTreeMap<String, T> {
    let missing = old.keys().map(|name| (name.clone(), T::default()));
    let mut values: BTreeMap<String, T> = missing.collect();
    values.extend(new.iter().map(|(name, value)| (name.clone(), *value)));
    values
}

/// Adds refused requests to the counter of this process.
pub fn count_refusals(refusals: &RefusalCounts) {
    for (reason, queue, count) in refusals.iter() {
        metrics::counter!("figdeal_queue_refusals_total", "reason" => reason, "queue" => queue.to_owned())
            .increment(count);
    }
}

/// Counts a request that was refused before it reached the node.
pub(crate) fn count_early_refusal(reason: &'static str) {
    let mut refusals = RefusalCounts::default();
    refusals.add(reason, UNKNOWN_QUEUE);
    count_refusals(&refusals);
}
