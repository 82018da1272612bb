//! Limits of the scheduler that the settings of a deployment give.

/// Limits of the scheduler. The default has none.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Limits {
    /// Limit of the runs of cold workers; `None` for no limit.
    pub cold: Option<ColdLimit>,
}

/// Limit of the runs of a cold worker, relative to the warm workers of its pool.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdLimit {
    /// Factor of the mean number of runs of a warm worker.
    pub overage: f64,
    /// Number of runs beyond that.
    pub slack: f64,
}

impl ColdLimit {
    /// Returns whether a cold worker with `runs` runs may get another one. Without a warm worker there is no limit, since
    /// no other worker could take the task.
    ///
    /// ```
    /// use figdeal_queue::dispatch::ColdLimit;
    ///
    /// let limit = ColdLimit { overage: 1.5, slack: 5.0 };
    /// // Two warm workers have 4 runs each, so a cold one may have 1.5 * 4 + 5 = 11.
    /// assert!(limit.allows(10, 2, 8));
    /// assert!(!limit.allows(11, 2, 8));
    /// ```
    pub fn allows(&self, runs: u64, warm_count: u64, warm_runs: u64) -> bool {
        if warm_count == 0 {
            return true;
        }
        let mean = warm_runs as f64 / warm_count as f64;
        (runs + 1) as f64 <= self.overage * mean + self.slack
    }
}
