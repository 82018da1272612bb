//! `[kinds.NAME]`: one table for each kind of task.

use std::time::Duration;

use crate::schema::section;

section! {
    /// Scheduling of one kind of task.
    Kind {
        /// Breaks ties between kinds with equal use of their shares; a larger value goes first.
        [urgency: u32 as Count = 1, 0, 1_000];
        /// Share of the slots relative to the other kinds.
        [weight: u32 as Count = 1, 1, 1_000];
        /// Time to the answer where the task states none.
        [deadline: Duration as Time = Duration::from_secs(10), Duration::from_millis(10), Duration::from_secs(600)];
        /// First estimate of the run time, until run times are learned.
        [run_time: Duration as Time = Duration::from_millis(300), Duration::from_millis(1), Duration::from_secs(60)];
        /// Tasks of the kind that may wait at one entry.
        [queue_bound: u32 as Count = 4_000, 1, 1_000_000];
    }
}
