//! Bounds that the settings of a deployment give the scheduler.

/// Factor by which a run outside the rack of its data takes longer, where the settings have none.
const DEFAULT_REMOTE_FACTOR: f64 = 1.5;

/// Bounds of a deployment. The default is for a deployment whose settings have none.
///
/// ```
/// use figdeal_queue::dispatch::Limits;
///
/// let limits = Limits { remote_factor: 3.0, ..Limits::default() };
/// assert_eq!(limits.remote_factor, 3.0);
/// ```
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limits {
    /// Factor by which a run outside the rack of its step's data takes longer; at least 1.
    pub remote_factor: f64,
    /// Limit of the runs of cold workers; `None` for no limit.
    pub cold: Option<ColdLimit>,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            remote_factor: DEFAULT_REMOTE_FACTOR,
            cold: None,
        }
    }
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
