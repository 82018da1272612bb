//! Faults of workers: calls that fail or are executed late, restarts, departures and heartbeats of other writers.

use std::{thread, time::Duration};

use figdeal_platform::stand_in::ForeignHeartbeat;
use figdeal_stand_in::server::{Restart, WorkerFaults};
use rand::Rng;

use super::{FaultInjector, FaultStep};

/// Shortest and longest delay of a call that is executed late around a restart of its worker.
const LATE_CALL_DELAYS: (Duration, Duration) = (Duration::from_secs(2), Duration::from_secs(12));

impl FaultInjector {
    pub(super) fn leave_calls_unanswered(&mut self, worker: usize) {
        self.record(format!(
            "worker {worker} leaves calls unanswered or is slow"
        ));
        let faults = WorkerFaults {
            unanswered_fraction: 0.1,
            slowdown: self.rng.random_range(0..8),
            ..WorkerFaults::default()
        };
        self.fleet.lock().set_faults(worker, faults);
        self.schedule(1_000, 5_000, FaultStep::ClearWorkerFaults(worker));
    }

    pub(super) fn send_foreign_heartbeat(&mut self, worker: usize) {
        let kinds = ForeignHeartbeat::ALL;
        let kind = kinds[self.rng.random_range(0..kinds.len())];
        self.record(format!(
            "foreign heartbeat for worker {worker} kind={kind:?}"
        ));
        let machine = self.layout.nodes + worker as u8 + 1;
        let (address, control) = (self.layout.worker(machine), self.layout.control(machine));
        self.fleet
            .send_foreign_heartbeat(worker, address, control, kind);
    }

    pub(super) fn crash_worker(&mut self, worker: usize) {
        self.record(format!("worker {worker} crashes"));
        self.run_step(FaultStep::CrashWorker(worker));
    }

    pub(super) fn drain_worker(&mut self, worker: usize) {
        self.record(format!("worker {worker} drains"));
        self.fleet.lock().drain(worker);
        self.schedule(2_300, 4_000, FaultStep::CrashWorker(worker));
    }

    /// Cuts a worker off from its agent. Its runs go on until its lease expires.
    pub(super) fn cut_worker_off(&mut self, worker: usize) {
        self.record(format!("worker {worker} is cut off from its agent"));
        let faults = WorkerFaults {
            is_cut_off: true,
            ..WorkerFaults::default()
        };
        self.fleet.lock().set_faults(worker, faults);
        self.schedule(500, 7_000, FaultStep::ClearWorkerFaults(worker));
    }

    /// Restarts a worker under its identity while calls to it are executed late. Half of the times no call is answered,
    /// so that the agent does not learn of the restart, and the worker is often up again while its lease would last.
    pub(super) fn restart_with_late_calls(&mut self, worker: usize) {
        let unanswered_fraction = match self.rng.random_bool(0.5) {
            true => 1.0,
            false => self.rng.random_range(0.3..1.0),
        };
        self.record(format!(
            "worker {worker} restarts while calls are executed late fraction={unanswered_fraction:.1}"
        ));
        let faults = WorkerFaults {
            unanswered_fraction,
            late_by: LATE_CALL_DELAYS,
            ..WorkerFaults::default()
        };
        self.fleet.lock().set_faults(worker, faults);
        self.schedule(3_500, 7_000, FaultStep::ClearWorkerFaults(worker));
        self.fleet.lock().crash(worker);
        self.schedule(1, 600, FaultStep::RestartWorker(worker, Restart::Later));
    }

    /// Restarts a worker under its identity after the time of day went back.
    pub(super) fn restart_with_earlier_start(&mut self, worker: usize) {
        self.record(format!("worker {worker} restarts with an earlier start"));
        self.fleet.lock().crash(worker);
        self.schedule(5, 1_500, FaultStep::RestartWorker(worker, Restart::Earlier));
    }

    /// Restarts a worker under its identity within a few milliseconds.
    pub(super) fn restart_at_once(&mut self, worker: usize) {
        self.record(format!("worker {worker} restarts at once"));
        self.fleet.lock().crash(worker);
        thread::sleep(Duration::from_millis(self.rng.random_range(1..6)));
        self.run_step(FaultStep::RestartWorker(worker, Restart::Later));
    }

    /// Ends a worker that departs and restarts it under its identity. Its departure arrives after the restart.
    pub(super) fn delay_departure(&mut self, worker: usize) {
        let down = self.rng.random_range(5..1_500);
        let delay = down + self.rng.random_range(50..4_000);
        self.record(format!(
            "worker {worker} restarts, its departure arrives after {delay} ms"
        ));
        self.fleet.lock().crash(worker);
        self.send_departure(worker, delay);
        let restart = FaultStep::RestartWorker(worker, Restart::Later);
        self.schedule(down, down + 1, restart);
    }

    /// Replaces a worker by another one at its address. Its departure arrives before or after that, or is lost.
    pub(super) fn replace_worker(&mut self, worker: usize) {
        let departs = self.rng.random_bool(0.7);
        self.record(format!("worker {worker} is replaced departs={departs}"));
        if departs {
            let delay = self.rng.random_range(0..2_000);
            self.send_departure(worker, delay);
        }
        self.fleet.lock().crash(worker);
        let restart = FaultStep::RestartWorker(worker, Restart::OtherIdentity);
        self.schedule(5, 1_500, restart);
    }

    fn send_departure(&self, worker: usize, delay_ms: u64) {
        let control = self.layout.control(self.layout.nodes + worker as u8 + 1);
        let delay = Duration::from_millis(delay_ms);
        self.fleet.send_departure(worker, control, delay);
    }
}
