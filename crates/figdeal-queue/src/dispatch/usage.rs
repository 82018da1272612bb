//! Room of the pools and demand of the queues, for the metrics of the leader.

use std::collections::BTreeMap;

use super::Dispatcher;

/// Room of a pool in millicores, over the workers that take tasks.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PoolUsage {
    /// Millicores of all workers.
    pub total: u64,
    /// Millicores that runs use.
    pub used: u64,
    /// Millicores that no run uses.
    pub free: u64,
}

/// Demand of a queue in millicores.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct QueueUsage {
    /// Millicores of the placed runs.
    pub used: u64,
    /// Millicores that the waiting tasks need.
    pub waiting: u64,
}

/// Room of all pools and demand of all queues that the leader knows, by name.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Usage {
    /// Pools that have or had a worker.
    pub pools: BTreeMap<String, PoolUsage>,
    /// Queues that have had a job in this term.
    pub queues: BTreeMap<String, QueueUsage>,
}

impl Dispatcher {
    /// Returns how much of the fleet is in use, and by which queue. Its cost does not depend on the number of workers
    /// and waiting tasks.
    pub fn usage(&self) -> Usage {
        let mut usage = Usage::default();
        for (name, pool) in &self.pools {
            let (_, total, free) = pool.totals();
            let used = total - free;
            let pool = PoolUsage { total, used, free };
            usage.pools.insert(name.clone(), pool);
        }
        // A queue has a backlog for each pool that its route has named.
        for backlog in self.backlogs.values() {
            let queue = usage.queues.entry(backlog.queue.clone()).or_default();
            queue.used += backlog.used_millicores;
            queue.waiting += backlog.waiting_millicores;
        }
        usage
    }
}
