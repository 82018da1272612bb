//! `[limits]`: bounds on queues, jobs, memory and placement.

use std::time::Duration;

use crate::{schema::section, units::Share};

section! {
    /// Bounds on queues, jobs, memory and placement.
    Limits {
        /// Tasks that may wait at one entry, over all kinds.
        [queue_bound: u32 as Count = 20_000, 1, 10_000_000];
        /// Tasks in one job.
        [job_tasks: u32 as Count = 390, 1, 10_000];
        /// Size of the body of a submission.
        [body_size: u64 as Size = 4 << 20, 1 << 10, 64 << 20];
        /// Outstanding tasks of a kind at an agent beyond its slots, for each entry.
        [window: u32 as Count = 2, 0, 64];
        /// Free slots of an agent that are kept from kinds over their share.
        [reserve: u32 as Count = 0, 0, 64];
        /// Slots of an agent that are kept from tasks of large jobs; at least one stays for these.
        [small_slots: u32 as Count = 1, 0, 64];
        /// Work that a job may have left to count as small.
        [small_work: Duration as Time = Duration::from_secs(4), Duration::from_millis(10), Duration::from_secs(600)];
        /// Age up to which the outcome of a submission is remembered.
        base_only [retention: Duration as Time = Duration::from_secs(3_600), Duration::from_secs(60), Duration::from_secs(86_400)];
        /// Difference between wall clocks up to which claims and submissions are accepted.
        base_only [max_skew: Duration as Time = Duration::from_secs(2), Duration::from_millis(100), Duration::from_secs(30)];
        /// Submissions that an entry remembers; a full table refuses new claims.
        [max_records: u32 as Count = 500_000, 1_000, 100_000_000];
        /// Start marks that an agent holds; a full ledger refuses new work.
        [max_marks: u32 as Count = 500_000, 1_000, 10_000_000];
        /// Results that an agent holds for repeated requests.
        [result_size: u64 as Size = 32 << 20, 1 << 20, 1 << 30];
        /// Part of the fleet that may be ejected at the same time.
        [max_ejected: Share as Share = Share(300_000), Share(0), Share(900_000)];
        /// Time within which a task that no announced upstream accepts is refused.
        [unplaceable_after: Duration as Time = Duration::from_secs(2), Duration::from_millis(100), Duration::from_secs(60)];
    }
}
