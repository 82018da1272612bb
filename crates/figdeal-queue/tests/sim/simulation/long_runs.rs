//! Scenario: tasks take far longer than their callers estimate.

use super::{callers::job_of_one_task, *};

/// Number of submitted jobs, each of one task.
const JOBS: u64 = 300;
/// Time over which the jobs arrive.
const ARRIVAL_TIME: Duration = Duration::from_secs(3);
const ESTIMATE_MS: u32 = 300;
/// Run time of a task of a long job relative to its estimate.
const LONG_FACTOR: u32 = 6;

impl Simulation {
    /// Submits stored jobs of which one in `long_interval` takes much longer than estimated. Returns how many were accepted
    /// and not cancelled, and how many of these have not ended `finish_time` after the last one has arrived.
    pub(crate) fn run_long_jobs(
        &mut self,
        long_interval: u64,
        finish_time: Duration,
    ) -> (usize, usize) {
        self.schedule(Duration::from_secs(3), Event::Configure(1));
        self.run_until(self.now + Duration::from_secs(4));
        let spec = job_of_one_task(500, ESTIMATE_MS);
        for n in 0..JOBS {
            let id = JobId(0x1000 + n);
            self.register_job(id, spec.clone());
            if n % long_interval == long_interval - 1 {
                self.run_times.insert(id, ESTIMATE_MS * LONG_FACTOR);
            }
            self.schedule(ARRIVAL_TIME * n as u32 / JOBS as u32, Event::Submit(id));
        }
        self.run_until(self.now + ARRIVAL_TIME + finish_time);
        let ids: Vec<JobId> = (0..JOBS).map(|n| JobId(0x1000 + n)).collect();
        self.count_open(&ids)
    }
}
