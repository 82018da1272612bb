//! Injects faults from outside the processes: signals, wiped disks, network faults and worker faults. Faults overlap.

mod machine;
mod network;
mod plan;
mod worker;

use std::{
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use figdeal_stand_in::{
    server::{Restart, SharedFleet, WorkerFaults},
    worker::PausedClock,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

pub(crate) use self::plan::Plan;
use self::{machine::StopMode, plan::FaultKind};
use crate::{
    callers::LoadGenerator,
    processes::{Layout, Process},
    proxy::Network,
};

/// Interval at which due steps are executed.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// A scheduled step that continues or ends a fault. The numbers are indices of machines or of workers, from 0.
#[derive(Debug, Clone, Copy)]
enum FaultStep {
    Start(usize),
    Kill(usize),
    Terminate(usize),
    Resume(usize),
    Reconnect(usize, usize),
    EndDelay(usize, usize),
    ClearWorkerFaults(usize),
    RestartWorker(usize, Restart),
    CrashWorker(usize),
    ResumeWorker(usize, PausedClock),
}

/// The machines of a test and the faults that are active on them.
pub(crate) struct FaultInjector {
    layout: Layout,
    network: Network,
    fleet: SharedFleet,
    load: Arc<LoadGenerator>,
    rng: SmallRng,
    machines: Vec<Option<Process>>,
    scheduled_steps: Vec<(Instant, FaultStep)>,
    last_wipe: Option<Instant>,
    plan: Plan,
    /// Callers of bursts.
    callers: Vec<thread::JoinHandle<()>>,
    /// All injected faults and executed steps, each with the milliseconds since the start.
    pub(crate) history: Vec<String>,
    start: Instant,
}

impl FaultInjector {
    /// Starts all machines with the bootstrap setting.
    pub(crate) fn new(
        load: &Arc<LoadGenerator>,
        network: &Network,
        seed: u64,
        count: u8,
    ) -> FaultInjector {
        let layout = load.layout.clone();
        let machines = (1..=count).map(|m| Some(Process::start(&layout, m, true)));
        let mut injector = FaultInjector {
            network: network.clone(),
            fleet: load.fleet.clone(),
            load: Arc::clone(load),
            rng: SmallRng::seed_from_u64(seed),
            machines: machines.collect(),
            layout,
            scheduled_steps: Vec::new(),
            last_wipe: None,
            plan: Plan::for_seed(seed),
            callers: Vec::new(),
            history: Vec::new(),
            start: Instant::now(),
        };
        if injector.plan.has_constant_delays {
            injector.add_constant_delays();
        }
        injector
    }

    fn record(&mut self, text: String) {
        let at = self.start.elapsed().as_millis();
        self.history.push(format!("{at} {text}"));
    }

    /// Schedules a step after a random delay in milliseconds, at least `low` and less than `high`.
    fn schedule(&mut self, low: u64, high: u64, step: FaultStep) {
        let wait = Duration::from_millis(self.rng.random_range(low..high));
        self.scheduled_steps.push((Instant::now() + wait, step));
    }

    /// Injects faults at random times within `duration`, then waits until all faults have ended.
    pub(crate) fn run(&mut self, duration: Duration) {
        let faults = (duration.as_secs_f64() * self.plan.faults_per_second) as u32;
        let start = Instant::now();
        let mut times: Vec<Duration> = (0..faults)
            .map(|_| duration.mul_f64(self.rng.random()))
            .collect();
        times.sort();
        for at in times {
            while start.elapsed() < at {
                self.advance();
                thread::sleep(CHECK_INTERVAL);
            }
            self.inject();
        }
        while !self.scheduled_steps.is_empty() {
            self.advance();
            thread::sleep(CHECK_INTERVAL);
        }
        self.network.heal();
    }

    /// Returns the callers of all bursts, so that the test can wait for them.
    pub(crate) fn take_callers(&mut self) -> Vec<thread::JoinHandle<()>> {
        std::mem::take(&mut self.callers)
    }

    fn advance(&mut self) {
        let now = Instant::now();
        let (ready, rest): (Vec<_>, Vec<_>) = self
            .scheduled_steps
            .drain(..)
            .partition(|(at, _)| *at <= now);
        self.scheduled_steps = rest;
        for (_, step) in ready {
            self.run_step(step);
        }
    }

    fn run_step(&mut self, step: FaultStep) {
        self.record(format!("{step:?}"));
        match step {
            FaultStep::Start(n) => {
                // Another fault may have started the machine; two processes cannot listen on one address.
                self.machines[n] = None;
                let process = Process::start(&self.layout, n as u8 + 1, false);
                self.machines[n] = Some(process);
            }
            FaultStep::Kill(n) => self.machines[n] = None,
            FaultStep::Terminate(n) => self.signal(n, "TERM"),
            FaultStep::Resume(n) => self.signal(n, "CONT"),
            FaultStep::Reconnect(a, b) => {
                self.both_directions(a, b, |net, from, to| net.cut(from, to, false))
            }
            FaultStep::EndDelay(a, b) => {
                self.both_directions(a, b, |net, from, to| net.delay(from, to, Duration::ZERO));
            }
            FaultStep::ClearWorkerFaults(n) => {
                self.fleet.lock().set_faults(n, WorkerFaults::default())
            }
            FaultStep::CrashWorker(n) => {
                self.fleet.lock().crash(n);
                let restart = FaultStep::RestartWorker(n, Restart::Later);
                self.schedule(100, 2_000, restart);
            }
            FaultStep::RestartWorker(n, restart) => {
                let start_ms = self.fleet.lock().restart(n, restart);
                self.record(format!("worker {n} starts start_ms={start_ms}"));
            }
            FaultStep::ResumeWorker(n, clock) => self.fleet.lock().resume(n, clock),
        }
    }

    fn inject(&mut self) {
        let count = self.machines.len();
        let nodes = usize::from(self.layout.nodes);
        let n = self.rng.random_range(0..count);
        let other = (n + self.rng.random_range(1..count)) % count;
        let worker = self.rng.random_range(0..count - nodes);
        let kind = self.rng.random_range(0..self.plan.kinds.len() as u32);
        match self.plan.kinds[kind as usize] {
            FaultKind::Kill => self.stop(n, StopMode::Kill),
            FaultKind::Term => self.stop(n, StopMode::Term),
            FaultKind::Wipe => self.wipe(n),
            FaultKind::PauseProcess => self.pause_process(n),
            FaultKind::CutOff => self.cut_off(n),
            FaultKind::Delay => self.delay(n, other),
            FaultKind::Silence => self.silence(n, other),
            FaultKind::Reset => self.reset(n),
            FaultKind::UnansweredCalls => self.leave_calls_unanswered(worker),
            FaultKind::WorkerCrash => self.crash_worker(worker),
            FaultKind::Drain => self.drain_worker(worker),
            FaultKind::ForeignHeartbeat => self.send_foreign_heartbeat(worker),
            FaultKind::PauseMachine => self.pause_machine(n),
            FaultKind::PauseTwoMachines => {
                self.pause_machine(n);
                self.pause_machine(other);
            }
            FaultKind::KillDisks => self.kill_together(0..usize::from(self.layout.disks), false),
            FaultKind::KillAll => {
                let workers = self.rng.random_bool(0.5);
                self.kill_together(0..count, workers);
            }
            FaultKind::RestartInTurn => self.restart_in_turn(),
            FaultKind::Halves => self.cut_in_halves(),
            FaultKind::WorkerCutOff => self.cut_worker_off(worker),
            FaultKind::LateCallsAtRestart => self.restart_with_late_calls(worker),
            FaultKind::EarlierStart => self.restart_with_earlier_start(worker),
            FaultKind::RestartAtOnce => self.restart_at_once(worker),
            FaultKind::DelayedDeparture => self.delay_departure(worker),
            FaultKind::ReplacedWorker => self.replace_worker(worker),
            FaultKind::Burst(burst) => {
                self.record(format!("burst {burst:?}"));
                let seed = self.rng.random();
                self.callers.extend(self.load.start_burst(burst, seed));
            }
        }
    }
}
