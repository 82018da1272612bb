//! Injects faults from outside the processes: signals, wiped disks, network faults and worker faults. Faults overlap.

use std::{
    fs, thread,
    time::{Duration, Instant},
};

use figdeal_platform::stand_in::ForeignHeartbeat;
use figdeal_stand_in::server::{SharedFleet, WorkerFaults};
use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::{
    processes::{Layout, Process},
    proxy::Network,
};

/// Interval at which due steps are executed.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Shortest time between two wiped disks, so that the first replica is replaced before the next is lost. Other faults
/// go on meanwhile.
const MIN_WIPE_INTERVAL: Duration = Duration::from_secs(12);

/// How a machine stops.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StopMode {
    /// SIGKILL.
    Kill,
    /// SIGTERM, and SIGKILL after the shutdown grace period.
    Term,
    /// SIGKILL, after which the data folder is deleted.
    Wipe,
}

/// A scheduled step that continues or ends a fault. The numbers are indices of machines or of workers, from 0.
#[derive(Debug, Clone, Copy)]
enum FaultStep {
    Start(usize),
    Kill(usize),
    Resume(usize),
    Reconnect(usize, usize),
    EndDelay(usize, usize),
    ClearWorkerFaults(usize),
    RestartWorker(usize),
    CrashWorker(usize),
}

/// The machines of a test and the faults that are active on them.
pub(crate) struct FaultInjector {
    layout: Layout,
    network: Network,
    fleet: SharedFleet,
    rng: SmallRng,
    machines: Vec<Option<Process>>,
    scheduled_steps: Vec<(Instant, FaultStep)>,
    last_wipe: Option<Instant>,
    /// All injected faults and executed steps, each with the milliseconds since the start.
    pub(crate) history: Vec<String>,
    start: Instant,
}

impl FaultInjector {
    /// Starts all machines with the bootstrap setting.
    pub(crate) fn new(
        layout: &Layout,
        network: &Network,
        fleet: &SharedFleet,
        seed: u64,
        count: u8,
    ) -> FaultInjector {
        let machines = (1..=count).map(|m| Some(Process::start(layout, m, true)));
        FaultInjector {
            layout: layout.clone(),
            network: network.clone(),
            fleet: fleet.clone(),
            rng: SmallRng::seed_from_u64(seed),
            machines: machines.collect(),
            scheduled_steps: Vec::new(),
            last_wipe: None,
            history: Vec::new(),
            start: Instant::now(),
        }
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

    /// Injects `faults` faults at random times within `duration`, then waits until all faults have ended.
    pub(crate) fn run(&mut self, faults: u32, duration: Duration) {
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
                let process = Process::start(&self.layout, n as u8 + 1, false);
                self.machines[n] = Some(process);
            }
            FaultStep::Kill(n) => self.machines[n] = None,
            FaultStep::Resume(n) => {
                if let Some(process) = &self.machines[n] {
                    process.signal("CONT");
                }
            }
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
                self.schedule(100, 2_000, FaultStep::RestartWorker(n));
            }
            FaultStep::RestartWorker(n) => self.fleet.lock().restart(n),
        }
    }

    fn both_directions(
        &self,
        a: usize,
        b: usize,
        act: impl Fn(&Network, std::net::SocketAddr, std::net::SocketAddr),
    ) {
        let [a, b] = [a, b].map(|n| self.layout.internal(n as u8 + 1).0);
        act(&self.network, a, b);
        act(&self.network, b, a);
    }

    /// Stops a machine, if it is running, and schedules its restart.
    fn stop(&mut self, n: usize, how: StopMode) {
        if self.machines[n].is_none() {
            return;
        }
        self.record(format!("stop machine={} how={how:?}", n + 1));
        match how {
            StopMode::Term => {
                if let Some(process) = &self.machines[n] {
                    process.signal("TERM");
                }
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

    fn inject(&mut self) {
        let count = self.machines.len();
        let nodes = usize::from(self.layout.nodes);
        let n = self.rng.random_range(0..count);
        let other = (n + self.rng.random_range(1..count)) % count;
        let worker = self.rng.random_range(0..count - nodes);
        let kind = self.rng.random_range(0..14);
        match kind {
            0 | 1 => self.stop(n, StopMode::Kill),
            2 => self.stop(n, StopMode::Term),
            3 => {
                let may_wipe = self
                    .last_wipe
                    .is_none_or(|at| at.elapsed() > MIN_WIPE_INTERVAL);
                if may_wipe && n < usize::from(self.layout.disks) && self.machines[n].is_some() {
                    self.last_wipe = Some(Instant::now());
                    self.stop(n, StopMode::Wipe);
                }
            }
            4 => {
                if let Some(process) = &self.machines[n] {
                    process.signal("STOP");
                    self.record(format!("pause machine={}", n + 1));
                    self.schedule(100, 4_000, FaultStep::Resume(n));
                }
            }
            5 => {
                // Cuts the machine off from all others, in both directions or in one.
                let one_way = self.rng.random_bool(0.3);
                self.record(format!("cut machine={} one_way={one_way}", n + 1));
                for m in (0..count).filter(|m| *m != n) {
                    let [a, b] = [n, m].map(|n| self.layout.internal(n as u8 + 1).0);
                    self.network.cut(a, b, true);
                    if !one_way {
                        self.network.cut(b, a, true);
                    }
                    self.scheduled_steps.push((
                        Instant::now() + Duration::from_millis(2_500),
                        FaultStep::Reconnect(n, m),
                    ));
                }
            }
            6 => {
                self.record(format!("delay {} {}", n + 1, other + 1));
                let delay = Duration::from_millis(self.rng.random_range(20..400));
                self.both_directions(n, other, |net, from, to| net.delay(from, to, delay));
                self.schedule(500, 4_000, FaultStep::EndDelay(n, other));
            }
            7 => {
                self.record(format!("silence {} {}", n + 1, other + 1));
                self.both_directions(n, other, Network::silence);
            }
            8 => {
                self.record(format!("reset machine={}", n + 1));
                for m in (0..count).filter(|m| *m != n) {
                    self.both_directions(n, m, Network::reset);
                }
            }
            9 => {
                self.record(format!(
                    "worker {worker} leaves calls unanswered or is slow"
                ));
                let slow = self.rng.random_range(0..8);
                self.fleet.lock().set_faults(
                    worker,
                    WorkerFaults {
                        unanswered_fraction: 0.1,
                        slowdown: slow,
                    },
                );
                self.schedule(1_000, 5_000, FaultStep::ClearWorkerFaults(worker));
            }
            12 | 13 => {
                let kinds = ForeignHeartbeat::ALL;
                let kind = kinds[self.rng.random_range(0..kinds.len())];
                self.record(format!(
                    "foreign heartbeat for worker {worker} kind={kind:?}"
                ));
                let machine = (nodes + worker) as u8 + 1;
                let (address, control) =
                    (self.layout.worker(machine), self.layout.control(machine));
                self.fleet
                    .send_foreign_heartbeat(worker, address, control, kind);
            }
            10 => {
                self.record(format!("worker {worker} crashes"));
                self.run_step(FaultStep::CrashWorker(worker));
            }
            _ => {
                self.record(format!("worker {worker} drains"));
                self.fleet.lock().drain(worker);
                self.schedule(2_300, 4_000, FaultStep::CrashWorker(worker));
            }
        }
    }
}
