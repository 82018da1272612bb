//! Scenario: the time of day goes back, and workers start again under their identities with an earlier start.

use super::*;

/// How far the time of day goes back. The former incarnations started later than the next ones by the new time of day.
const CLOCK_STEP_MS: u64 = 30_000;
const DOWN_TIME: Duration = Duration::from_millis(20);
/// Time after the restart within which the agents have to use the workers again.
const RECOVERY_TIME: Duration = Duration::from_secs(4);
/// Time within which an agent acknowledges the end of a run, once it uses the worker again.
const END_ACK_TIME: Duration = Duration::from_millis(1_500);
/// Time after the restart at which long tasks start.
const LONG_START_DELAY: Duration = Duration::from_secs(2);
/// Time after the start of long tasks at which a heartbeat of a former incarnation arrives.
const HEARTBEAT_DELAY: Duration = Duration::from_millis(700);
const RUN_TIME_MS: u32 = 150;
/// Longer than the longest lease.
const MEDIUM_RUN_TIME_MS: u32 = 1_200;
const LONG_RUN_TIME_MS: u32 = 4_000;
/// Time in which every job with long tasks ends: a task has up to three failed runs, and waits between.
const LONG_FINISH_TIME: Duration = Duration::from_millis(4 * LONG_RUN_TIME_MS as u64);

impl Simulation {
    /// Lets all workers start again with an earlier start while jobs arrive, and submits more jobs later. Returns how
    /// many of the later ones were accepted, and how many of these have not ended.
    pub(crate) fn restart_with_earlier_start(&mut self) -> (usize, usize) {
        self.schedule(Duration::from_secs(3), Event::Configure(1));
        self.run_until(self.now + Duration::from_secs(20));
        self.submit_jobs(0x5000, 60, Duration::from_secs(1), RUN_TIME_MS);
        self.run_until(self.now + Duration::from_millis(500));
        for n in 0..self.agent_hosts.len() {
            self.agent_hosts[n].wall_clock_lag_ms = CLOCK_STEP_MS;
            self.restart_worker(n, DOWN_TIME);
        }
        self.run_until(self.now + RECOVERY_TIME);
        let ids = self.submit_jobs(0x6000, 40, Duration::from_secs(1), RUN_TIME_MS);
        self.run_until(self.now + Duration::from_secs(4));
        self.count_open(&ids)
    }

    /// Lets one worker start again with an earlier start while jobs arrive. Returns the number of ends of its
    /// runs, and how many of them its agent has not acknowledged in time.
    pub(crate) fn use_worker_with_earlier_start(&mut self) -> (usize, usize) {
        self.schedule(Duration::from_secs(3), Event::Configure(1));
        self.run_until(self.now + Duration::from_secs(20));
        self.submit_jobs(0x5000, 280, Duration::from_secs(8), RUN_TIME_MS);
        self.submit_jobs(0x6000, 40, Duration::from_secs(8), MEDIUM_RUN_TIME_MS);
        self.run_until(self.now + Duration::from_millis(500));
        self.agent_hosts[0].wall_clock_lag_ms = CLOCK_STEP_MS;
        self.restart_worker(0, DOWN_TIME);
        self.run_until(self.now + Duration::from_secs(8));
        let worker = &self.agent_hosts[0].worker;
        let ends = worker.unacknowledged_ends.iter();
        let overdue = ends.filter(|end| end.ended_at + END_ACK_TIME < self.now);
        (worker.last_end() as usize, overdue.count())
    }

    /// Delivers a heartbeat of the former incarnation of each worker while the next one runs long tasks. Returns how
    /// many jobs were accepted, and how many of them have not ended.
    pub(crate) fn delay_heartbeats_of_former_incarnations(&mut self) -> (usize, usize) {
        self.schedule(Duration::from_secs(3), Event::Configure(1));
        self.run_until(self.now + Duration::from_secs(20));
        let hosts = 0..self.agent_hosts.len();
        let former: Vec<Heartbeat> = hosts.clone().map(|n| self.next_heartbeat(n)).collect();
        for n in hosts.clone() {
            self.restart_worker(n, DOWN_TIME);
        }
        self.run_until(self.now + LONG_START_DELAY);
        let ids = self.submit_jobs(0x5000, 20, Duration::from_millis(200), LONG_RUN_TIME_MS);
        self.run_until(self.now + HEARTBEAT_DELAY);
        for (n, heartbeat) in hosts.zip(former) {
            self.deliver_heartbeat(n, heartbeat);
        }
        self.run_until(self.now + LONG_FINISH_TIME);
        self.count_open(&ids)
    }
}
