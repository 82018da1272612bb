//! `[objectives.KIND]` and `[objectives.KIND.teams.TEAM]`: service-level objectives.

use std::time::Duration;

use crate::{schema::section, units::Share};

section! {
    /// Service-level objective of a kind, or of one team within a kind.
    Objective {
        /// Part of the tasks that complete before their deadline.
        [in_time: Share as Share = Share(950_000), Share(1), Share(1_000_000)];
        /// Response time that 99% of the tasks stay within.
        [latency: Duration as Time = Duration::from_secs(5), Duration::from_millis(1), Duration::from_secs(600)];
    }
}
