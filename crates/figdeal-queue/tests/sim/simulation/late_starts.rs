//! Scenario: a worker starts again under its identity and carries out starts seconds late.

use super::*;

/// Time before the restart. The worker's clock starts anew, so that expiries by the former one are in the future for as
/// long as calls can be late.
const FORMER_LIFETIME: Duration = Duration::from_secs(20);
const DOWN_TIME: Duration = Duration::from_millis(20);
/// How long the calls to the new incarnation get no answer. Some late starts are carried out before the next poll is.
const SILENCE: Duration = Duration::from_secs(5);
/// Time after the silence by which the last late call has been carried out, and all jobs have ended.
const FINISH_TIME: Duration = Duration::from_secs(16);

impl Simulation {
    /// Restarts a worker while jobs arrive. Calls to its new incarnation get no answer at first and are carried out 2
    /// to 12 s later. Returns how many jobs were accepted, and how many of them have not ended.
    pub(crate) fn start_late_after_restart(&mut self) -> (usize, usize) {
        self.schedule(Duration::from_secs(3), Event::Configure(1));
        self.run_until(self.now + FORMER_LIFETIME);
        let ids = self.submit_jobs(0x5000, 120, Duration::from_secs(2), 150);
        self.run_until(self.now + Duration::from_millis(300));
        self.restart_worker(0, DOWN_TIME);
        self.agent_hosts[0].calls_late_until = self.now + SILENCE;
        self.run_until(self.now + SILENCE + FINISH_TIME);
        self.count_open(&ids)
    }
}
