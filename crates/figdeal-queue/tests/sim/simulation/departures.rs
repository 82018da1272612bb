//! Scenario: the departure of a worker arrives while its runs go on, or after it has started again.

use super::*;

const DOWN_TIME: Duration = Duration::from_millis(20);
/// Time from the restart to the delayed departure of the former incarnation. The new one has runs by then.
const DEPARTURE_DELAY: Duration = Duration::from_secs(3);
/// Time after the start of the tasks at which a worker announces its departure, although it goes on.
const EARLY_DEPARTURE: Duration = Duration::from_millis(500);
/// Run time of the tasks, which outlasts the heartbeats that follow a departure.
const RUN_TIME_MS: u32 = 4_000;
/// Time in which every job ends: a task has up to three failed runs, one that is lost with the worker, and waits between.
const FINISH_TIME: Duration = Duration::from_millis(5 * RUN_TIME_MS as u64);
const JOBS: u32 = 24;

/// What becomes of a worker whose departure arrives.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Departure {
    /// It ends, and no other follows it.
    Final,
    /// It goes on.
    Revoked,
    /// It ends a second after its departure.
    Early,
    /// It has started again under its identity before.
    Delayed,
}

impl Simulation {
    /// Delivers the departure of the worker with the most runs. Returns how many jobs were accepted, and how many of
    /// them have not ended.
    pub(crate) fn leave_with_runs(&mut self, departure: Departure) -> (usize, usize) {
        self.schedule(Duration::from_secs(3), Event::Configure(1));
        self.run_until(self.now + Duration::from_secs(20));
        if departure == Departure::Delayed {
            for n in 0..self.agent_hosts.len() {
                self.restart_worker(n, DOWN_TIME);
            }
            self.run_until(self.now + DEPARTURE_DELAY);
        }
        let ids = self.submit_jobs(0x5000, JOBS, Duration::from_millis(100), RUN_TIME_MS);
        self.run_until(self.now + EARLY_DEPARTURE);
        let hosts = 0..self.agent_hosts.len();
        let busiest = hosts.max_by_key(|n| self.agent_hosts[*n].worker.runs.len());
        let busiest = busiest.expect("there must be a worker");
        if departure == Departure::Final {
            self.crash_worker(busiest);
        }
        self.deliver_departure(busiest);
        if departure == Departure::Early {
            self.run_until(self.now + Duration::from_secs(1));
            self.crash_worker(busiest);
        }
        self.run_until(self.now + FINISH_TIME);
        self.count_open(&ids)
    }
}
