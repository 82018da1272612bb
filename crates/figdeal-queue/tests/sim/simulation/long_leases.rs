//! Scenario: a worker starts again under its identity between two polls, and the polls of its new incarnation are lost.

use super::*;

/// Time before the restart, so that an expiry by the former clock is far in the future of the new one.
const FORMER_LIFETIME: Duration = Duration::from_secs(20);
/// Shorter than the timeout of a poll.
const DOWN_TIME: Duration = Duration::from_millis(15);
/// Time after the restart at which the agent sends the last start that the worker answers.
const START_WINDOW: Duration = Duration::from_millis(400);
/// How long polls are lost. The longest lease that the worker accepts ends within it.
const POLL_OUTAGE: Duration = Duration::from_secs(3);
/// Run time of the tasks, which outlasts the longest lease.
const RUN_TIME_MS: u32 = 1_600;

impl Simulation {
    /// Restarts a worker while jobs arrive. Its new incarnation carries out starts at once, but its polls are lost.
    /// Returns how many jobs were accepted, and how many of them have not ended.
    pub(crate) fn lose_polls_after_restart(&mut self) -> (usize, usize) {
        self.schedule(Duration::from_secs(3), Event::Configure(1));
        self.run_until(self.now + FORMER_LIFETIME);
        let ids = self.submit_jobs(0x5000, 40, START_WINDOW, RUN_TIME_MS);
        self.restart_worker(0, DOWN_TIME);
        self.agent_hosts[0].polls_lost_until = self.now + POLL_OUTAGE;
        self.run_until(self.now + POLL_OUTAGE + Duration::from_secs(8));
        self.count_open(&ids)
    }
}
