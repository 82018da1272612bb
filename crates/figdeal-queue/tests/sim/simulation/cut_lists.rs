//! Scenario: workers list only some of their ended runs at a time.

use super::{callers::job_of_one_task, *};

/// Number of jobs, each of one task; together they fill the workers.
const JOBS: u32 = 240;
/// What each task needs.
const MILLICORES: u32 = 125;
/// Run time of the tasks, which end while their agents are away.
const RUN_TIME_MS: u32 = 400;
/// Time after the submission at which the agents are lost; all tasks run by then.
const OUTAGE_AFTER: Duration = Duration::from_millis(340);
/// Time within which all jobs end.
const FINISH_TIME: Duration = Duration::from_secs(3);

impl Simulation {
    /// Starts the system with workers that list at most `max_listed` ended runs.
    fn start_with_lists_of(&mut self, max_listed: usize) {
        for host in &mut self.agent_hosts {
            host.worker.max_listed_ends = max_listed;
        }
        self.schedule(Duration::from_secs(3), Event::Configure(1));
        self.run_until(self.now + Duration::from_secs(5));
    }

    fn submit_small_jobs(&mut self, first: u64, count: u32) -> Vec<JobId> {
        let spec = job_of_one_task(MILLICORES, RUN_TIME_MS);
        self.submit_copies(first, count, Duration::ZERO, spec)
    }

    /// Lets more runs end than a list holds while the agents are away. Returns how many jobs were accepted, and how many
    /// of these have not ended in time.
    pub(crate) fn end_runs_during_outage(
        &mut self,
        outage: Outage,
        max_listed: usize,
    ) -> (usize, usize) {
        self.start_with_lists_of(max_listed);
        let ids = self.submit_small_jobs(0x5000, JOBS);
        self.run_until(self.now + OUTAGE_AFTER);
        self.begin_outage(outage);
        self.run_until(self.now + FINISH_TIME);
        self.count_open(&ids)
    }

    /// Lets more runs end than a list holds while a start has no answer. Returns how many jobs were accepted, and how many
    /// of these have not ended in time.
    pub(crate) fn end_runs_beside_lost_start(&mut self, max_listed: usize) -> (usize, usize) {
        self.start_with_lists_of(max_listed);
        let mut ids = self.submit_small_jobs(0x5000, JOBS);
        self.run_until(self.now + OUTAGE_AFTER);
        for host in &mut self.agent_hosts {
            host.starts_lost_until = self.now + OUTAGE_AFTER;
        }
        ids.extend(self.submit_small_jobs(0x6000, JOBS / 20));
        self.run_until(self.now + FINISH_TIME);
        self.count_open(&ids)
    }
}
