//! `[time_outs]`: intervals and limits of the traffic between processes.

use std::time::Duration;

use crate::schema::section;

section! {
    /// Intervals and limits of the traffic between processes.
    TimeOuts {
        /// Silence on a connection with outstanding work after which an entry pings.
        [ping_after: Duration as Time = Duration::from_millis(500), Duration::from_millis(10), Duration::from_secs(60)];
        /// Silence on a connection after which an entry closes it.
        [silent_after: Duration as Time = Duration::from_millis(1_500), Duration::from_millis(20), Duration::from_secs(120)];
        /// Silence of an owner after which another entry collects its submissions.
        [owner_after: Duration as Time = Duration::from_secs(1), Duration::from_millis(20), Duration::from_secs(120)];
        /// Interval of the announcements of an upstream and of an agent.
        [announce_every: Duration as Time = Duration::from_secs(1), Duration::from_millis(50), Duration::from_secs(30)];
        /// Age of the last announcement after which an agent or upstream gets no new work.
        [expire_after: Duration as Time = Duration::from_secs(3), Duration::from_millis(100), Duration::from_secs(60)];
        /// Interval at which an entry asks the control VMs for a newer configuration.
        [poll_every: Duration as Time = Duration::from_millis(500), Duration::from_millis(50), Duration::from_secs(9)];
        /// First back-off before an ejected agent gets a task as a probe.
        [probe_after: Duration as Time = Duration::from_secs(1), Duration::from_millis(50), Duration::from_secs(60)];
        /// Largest back-off before a probe.
        [probe_limit: Duration as Time = Duration::from_secs(60), Duration::from_millis(50), Duration::from_secs(600)];
        /// Age of a run request after which an agent refuses it.
        base_only [request_age: Duration as Time = Duration::from_secs(60), Duration::from_secs(1), Duration::from_secs(600)];
        /// Time for which an agent keeps the mark of a finished task.
        base_only [mark_keep: Duration as Time = Duration::from_secs(600), Duration::from_secs(10), Duration::from_secs(7_200)];
        /// Time within which a planned stop finishes the work in progress.
        [stop_limit: Duration as Time = Duration::from_secs(60), Duration::from_secs(1), Duration::from_secs(3_600)];
    }
}
