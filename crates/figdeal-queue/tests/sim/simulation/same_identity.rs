//! Scenario: callers submit two different jobs under one identity.

use super::*;

const JOBS: u64 = 12;
/// Each task takes a whole worker, so that most jobs wait.
const MILLICORES: u32 = 8_000;

impl Simulation {
    /// Submits jobs of one kind and, while they run or wait, others of the other kind under the same identities. Returns
    /// how many of the later ones were rejected.
    pub(crate) fn submit_two_kinds(&mut self, first_volatile: bool) -> u32 {
        self.schedule(Duration::from_secs(3), Event::Configure(1));
        self.run_until(self.now + Duration::from_secs(5));
        for n in 0..JOBS {
            let id = JobId(0x4000 + n);
            let mut spec = self.random_job(first_volatile);
            spec.steps.truncate(1);
            spec.steps[0].needs.millicores = MILLICORES;
            self.register_job(id, spec);
            self.submit(id);
        }
        self.run_until(self.now + Duration::from_millis(100));
        for n in 0..JOBS {
            let id = JobId(0x4000 + n);
            self.checker.jobs.get_mut(&id).unwrap().spec.volatile = !first_volatile;
            self.submit(id);
        }
        self.run_until(self.now + Duration::from_secs(8));
        let jobs = self.checker.jobs.values();
        jobs.map(|job| job.refusals).sum()
    }
}
