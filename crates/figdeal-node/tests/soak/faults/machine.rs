//! Faults of machines: stops, pauses, lost disks and restarts of several machines.

use std::{
    fs,
    time::{Duration, Instant},
};

use figdeal_stand_in::worker::PausedClock;
use rand::Rng;

use super::{FaultInjector, FaultStep};

/// Shortest time between two wiped disks, so that the first replica is replaced before the next is lost. Other faults
/// go on meanwhile.
const MIN_WIPE_INTERVAL: Duration = Duration::from_secs(12);
/// Time that a node of a rolling restart has to end after SIGTERM, in milliseconds.
const ROLLING_GRACE_MS: u64 = 2_500;
/// Time from the stop of one node of a rolling restart to that of the next, in milliseconds.
const ROLLING_INTERVAL_MS: u64 = 3_200;

/// How a machine stops.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum StopMode {
    /// SIGKILL.
    Kill,
    /// SIGTERM, and SIGKILL after the shutdown grace period.
    Term,
    /// SIGKILL, after which the data folder is deleted.
    Wipe,
}

impl FaultInjector {
    /// Stops a machine, if it is running, and schedules its restart.
    pub(super) fn stop(&mut self, n: usize, how: StopMode) {
        if self.machines[n].is_none() {
            return;
        }
        self.record(format!("stop machine={} how={how:?}", n + 1));
        match how {
            StopMode::Term => {
                self.signal(n, "TERM");
                self.schedule(6_000, 6_001, FaultStep::Kill(n));
                self.schedule(6_100, 6_800, FaultStep::Start(n));
            }
            StopMode::Kill | StopMode::Wipe => {
                self.machines[n] = None;
                if how == StopMode::Wipe {
                    fs::remove_dir_all(self.layout.data(n as u8 + 1)).unwrap();
                }
                self.schedule(100, 1_500, FaultStep::Start(n));
            }
        }
    }

    pub(super) fn signal(&self, n: usize, name: &str) {
        if let Some(process) = &self.machines[n] {
            process.signal(name);
        }
    }

    /// Deletes the disk of a machine that has one, unless another was deleted shortly before.
    pub(super) fn wipe(&mut self, n: usize) {
        let may_wipe = self
            .last_wipe
            .is_none_or(|at| at.elapsed() > MIN_WIPE_INTERVAL);
        if may_wipe && n < usize::from(self.layout.disks) && self.machines[n].is_some() {
            self.last_wipe = Some(Instant::now());
            self.stop(n, StopMode::Wipe);
        }
    }

    /// Pauses the process of a machine.
    pub(super) fn pause_process(&mut self, n: usize) {
        if self.machines[n].is_some() {
            self.signal(n, "STOP");
            self.record(format!("pause machine={}", n + 1));
            self.schedule(100, self.plan.max_pause_ms, FaultStep::Resume(n));
        }
    }

    /// Pauses all processes of a machine for the same time: a node, or an agent and its worker.
    pub(super) fn pause_machine(&mut self, n: usize) {
        let wait = Duration::from_millis(self.rng.random_range(100..self.plan.max_pause_ms));
        let resume_at = Instant::now() + wait;
        self.signal(n, "STOP");
        self.scheduled_steps.push((resume_at, FaultStep::Resume(n)));
        let Some(worker) = n.checked_sub(usize::from(self.layout.nodes)) else {
            return self.record(format!("pause whole machine={}", n + 1));
        };
        let clock = match self.rng.random_bool(0.5) {
            true => PausedClock::RunsOn,
            false => PausedClock::StandsStill,
        };
        self.record(format!(
            "pause whole machine={} worker={worker} clock={clock:?}",
            n + 1
        ));
        self.fleet.lock().pause(worker);
        self.scheduled_steps
            .push((resume_at, FaultStep::ResumeWorker(worker, clock)));
    }

    /// Kills several machines at once, each of which starts again by itself. With `workers`, those of the machines
    /// crash too.
    pub(super) fn kill_together(&mut self, machines: std::ops::Range<usize>, workers: bool) {
        self.record(format!(
            "kill together machines={machines:?} workers={workers}"
        ));
        for n in machines {
            self.stop(n, StopMode::Kill);
            if workers && let Some(worker) = n.checked_sub(usize::from(self.layout.nodes)) {
                self.run_step(FaultStep::CrashWorker(worker));
            }
        }
    }

    /// Stops and starts all nodes in turn.
    pub(super) fn restart_in_turn(&mut self) {
        self.record("restart all nodes in turn".to_owned());
        for n in 0..usize::from(self.layout.nodes) {
            let begin = n as u64 * ROLLING_INTERVAL_MS;
            let kill = begin + ROLLING_GRACE_MS;
            self.schedule(begin, begin + 1, FaultStep::Terminate(n));
            self.schedule(kill, kill + 1, FaultStep::Kill(n));
            self.schedule(kill + 50, kill + 500, FaultStep::Start(n));
        }
    }
}
