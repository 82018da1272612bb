//! Counts of refused requests by reason and queue, for the metrics of the process.

use std::collections::BTreeMap;

use crate::message::RefusalReason;

/// Queue of a refusal that was decided before the queue was known.
pub const UNKNOWN_QUEUE: &str = "-";
/// Reason of a job that waited for room until no start could meet its goal. Its answer has the reason `Overload`.
pub const OVERLOAD_IN_QUEUE: &str = "overload_in_queue";

/// Reason of a request that found the input of its entry node full. Its answer has the reason `Overload`.
pub const OVERLOAD_AT_ENTRY: &str = "overload_at_entry";

/// Returns the name of a reason in the metrics.
pub fn metric_name(reason: RefusalReason) -> &'static str {
    match reason {
        RefusalReason::NoLeader => "no_leader",
        RefusalReason::NoConfig => "no_config",
        RefusalReason::ShuttingDown => "shutting_down",
        RefusalReason::Overload => "overload",
        RefusalReason::TooLarge => "too_large",
        RefusalReason::Unsupported => "unsupported",
        RefusalReason::NoWorker => "no_worker",
        RefusalReason::WorkersUnknown => "workers_unknown",
        RefusalReason::AfterPause => "after_pause",
        RefusalReason::Storage => "storage",
    }
}

/// Returns the name of a reason in the log lines.
pub fn log_name(reason: RefusalReason) -> &'static str {
    match reason {
        RefusalReason::NoLeader => "NoLeader",
        RefusalReason::NoConfig => "NoConfig",
        RefusalReason::ShuttingDown => "ShuttingDown",
        RefusalReason::Overload => "Overload",
        RefusalReason::TooLarge => "TooLarge",
        RefusalReason::Unsupported => "Unsupported",
        RefusalReason::NoWorker => "NoWorker",
        RefusalReason::WorkersUnknown => "WorkersUnknown",
        RefusalReason::AfterPause => "AfterPause",
        RefusalReason::Storage => "Storage",
    }
}

/// Number of refused requests for each reason and queue. The process that decides a refusal counts it.
///
/// ```
/// use figdeal_queue::refusals::RefusalCounts;
///
/// let mut refusals = RefusalCounts::default();
/// refusals.add("overload", "main");
/// refusals.add("overload", "main");
/// assert_eq!(refusals.iter().collect::<Vec<_>>(), [("overload", "main", 2)]);
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RefusalCounts(BTreeMap<(&'static str, String), u64>);

impl RefusalCounts {
    /// Counts one request.
    pub fn add(&mut self, reason: &'static str, queue: &str) {
        *self.0.entry((reason, queue.to_owned())).or_default() += 1;
    }

    /// Returns reason, queue and number of requests.
    pub fn iter(&self) -> impl Iterator<Item = (&'static str, &str, u64)> {
        let counts = self.0.iter();
        counts.map(|((reason, queue), count)| (*reason, queue.as_str(), *count))
    }
}
