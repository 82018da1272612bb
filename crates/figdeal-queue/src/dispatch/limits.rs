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
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            remote_factor: DEFAULT_REMOTE_FACTOR,
        }
    }
}
