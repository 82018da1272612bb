//! Counts of lost runs by reason, for the metrics of the process.

use crate::message::LossReason;

/// All reasons with their names in the metrics.
const REASONS: [(LossReason, &str); 5] = [
    (LossReason::LeaseExpired, "lease_expired"),
    (LossReason::NewIncarnation, "new_incarnation"),
    (LossReason::WorkerLeft, "worker_left"),
    (LossReason::NotListed, "not_listed"),
    (LossReason::EndedWithoutResult, "ended_without_result"),
];

/// Number of lost runs for each reason.
///
/// ```
/// use figdeal_queue::{losses::LossCounts, message::LossReason};
///
/// let mut losses = LossCounts::default();
/// losses.add(LossReason::NotListed);
/// losses.add(LossReason::NotListed);
/// assert_eq!(losses.iter().collect::<Vec<_>>(), [("not_listed", 2)]);
/// ```
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LossCounts([u64; REASONS.len()]);

impl LossCounts {
    /// Counts one run.
    pub fn add(&mut self, reason: LossReason) {
        for ((known, _), count) in REASONS.iter().zip(&mut self.0) {
            *count += u64::from(*known == reason);
        }
    }

    /// Returns the names of the reasons that were counted, each with its number of runs.
    pub fn iter(&self) -> impl Iterator<Item = (&'static str, u64)> {
        let counts = REASONS.iter().zip(self.0).map(|((_, name), n)| (*name, n));
        counts.filter(|(_, count)| *count > 0)
    }
}
