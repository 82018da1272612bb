//! Faults from outside: signals, lost disks, connections, workers. They come in series and overlap.

use std::{
    fs, thread,
    time::{Duration, Instant},
};

use figdeal_stand_in::server::{SharedFleet, WorkerFaults};
use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::{
    processes::{Layout, Process},
    proxy::Network,
};

/// Pause between two looks at what is due.
const PAUSE: Duration = Duration::from_millis(10);
/// Time between two lost disks, in which the first is replaced; the other faults go on.
const WIPE_GAP: Duration = Duration::from_secs(12);

/// How a machine stops.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stop {
    Kill,
    /// SIGTERM, and SIGKILL after the grace time.
    Term,
    Wipe,
}

/// The end of a fault, or a step of one.
#[derive(Debug, Clone, Copy)]
enum Step {
    Start(usize),
    Kill(usize),
    Resume(usize),
    Join(usize, usize),
    Hasten(usize, usize),
    Sound(usize),
    Restart(usize),
    Crash(usize),
}

/// The machines of a run and what is wrong with them.
pub(crate) struct Chaos {
    layout: Layout,
    network: Network,
    yard: SharedFleet,
    rng: SmallRng,
    machines: Vec<Option<Process>>,
    due: Vec<(Instant, Step)>,
    wiped: Option<Instant>,
    /// What was done, with the milliseconds from the start.
    pub(crate) story: Vec<String>,
    start: Instant,
}

impl Chaos {
    /// Starts all machines for the first time.
    pub(crate) fn new(
        layout: &Layout,
        network: &Network,
        yard: &SharedFleet,
        seed: u64,
        count: u8,
    ) -> Chaos {
        let machines = (1..=count).map(|m| Some(Process::start(layout, m, true)));
        Chaos {
            layout: layout.clone(),
            network: network.clone(),
            yard: yard.clone(),
            rng: SmallRng::seed_from_u64(seed),
            machines: machines.collect(),
            due: Vec::new(),
            wiped: None,
            story: Vec::new(),
            start: Instant::now(),
        }
    }

    fn tell(&mut self, text: String) {
        let at = self.start.elapsed().as_millis();
        self.story.push(format!("{at} {text}"));
    }

    fn after(&mut self, low: u64, high: u64, step: Step) {
        let wait = Duration::from_millis(self.rng.random_range(low..high));
        self.due.push((Instant::now() + wait, step));
    }

    /// Injects `faults` faults spread over `length`, then ends what is still wrong.
    pub(crate) fn run(&mut self, faults: u32, length: Duration) {
        let begin = Instant::now();
        let mut times: Vec<Duration> = (0..faults)
            .map(|_| length.mul_f64(self.rng.random()))
            .collect();
        times.sort();
        for at in times {
            while begin.elapsed() < at {
                self.advance();
                thread::sleep(PAUSE);
            }
            self.inject();
        }
        while !self.due.is_empty() {
            self.advance();
            thread::sleep(PAUSE);
        }
        self.network.heal();
    }

    fn advance(&mut self) {
        let now = Instant::now();
        let (ready, rest): (Vec<_>, Vec<_>) = self.due.drain(..).partition(|(at, _)| *at <= now);
        self.due = rest;
        for (_, step) in ready {
            self.take(step);
        }
    }

    fn take(&mut self, step: Step) {
        self.tell(format!("{step:?}"));
        match step {
            Step::Start(n) => {
                let process = Process::start(&self.layout, n as u8 + 1, false);
                self.machines[n] = Some(process);
            }
            Step::Kill(n) => self.machines[n] = None,
            Step::Resume(n) => {
                if let Some(process) = &self.machines[n] {
                    process.signal("CONT");
                }
            }
            Step::Join(a, b) => self.each_way(a, b, |net, from, to| net.cut(from, to, false)),
            Step::Hasten(a, b) => {
                self.each_way(a, b, |net, from, to| net.delay(from, to, Duration::ZERO));
            }
            Step::Sound(n) => self.yard.lock().set_faults(n, WorkerFaults::default()),
            Step::Crash(n) => {
                self.yard.lock().crash(n);
                self.after(100, 2_000, Step::Restart(n));
            }
            Step::Restart(n) => self.yard.lock().restart(n),
        }
    }

    fn each_way(
        &self,
        a: usize,
        b: usize,
        act: impl Fn(&Network, std::net::SocketAddr, std::net::SocketAddr),
    ) {
        let [a, b] = [a, b].map(|n| self.layout.internal(n as u8 + 1).0);
        act(&self.network, a, b);
        act(&self.network, b, a);
    }

    /// A machine that runs and on which no other fault is open.
    fn stop(&mut self, n: usize, how: Stop) {
        if self.machines[n].is_none() {
            return;
        }
        self.tell(format!("stop machine={} how={how:?}", n + 1));
        match how {
            Stop::Term => {
                if let Some(process) = &self.machines[n] {
                    process.signal("TERM");
                }
                self.after(6_000, 6_001, Step::Kill(n));
                self.after(6_100, 6_800, Step::Start(n));
            }
            Stop::Kill | Stop::Wipe => {
                self.machines[n] = None;
                if how == Stop::Wipe {
                    fs::remove_dir_all(self.layout.data(n as u8 + 1)).unwrap();
                }
                self.after(100, 1_500, Step::Start(n));
            }
        }
    }

    fn inject(&mut self) {
        let count = self.machines.len();
        let nodes = usize::from(self.layout.nodes);
        let n = self.rng.random_range(0..count);
        let other = (n + self.rng.random_range(1..count)) % count;
        let side = self.rng.random_range(0..count - nodes);
        let kind = self.rng.random_range(0..12);
        match kind {
            0 | 1 => self.stop(n, Stop::Kill),
            2 => self.stop(n, Stop::Term),
            3 => {
                let free = self.wiped.is_none_or(|at| at.elapsed() > WIPE_GAP);
                if free && n < usize::from(self.layout.disks) && self.machines[n].is_some() {
                    self.wiped = Some(Instant::now());
                    self.stop(n, Stop::Wipe);
                }
            }
            4 => {
                if let Some(process) = &self.machines[n] {
                    process.signal("STOP");
                    self.tell(format!("pause machine={}", n + 1));
                    self.after(100, 4_000, Step::Resume(n));
                }
            }
            5 => {
                // From most others, in both directions or in one.
                let one_way = self.rng.random_bool(0.3);
                self.tell(format!("cut machine={} one_way={one_way}", n + 1));
                for m in (0..count).filter(|m| *m != n) {
                    let [a, b] = [n, m].map(|n| self.layout.internal(n as u8 + 1).0);
                    self.network.cut(a, b, true);
                    if !one_way {
                        self.network.cut(b, a, true);
                    }
                    self.due.push((
                        Instant::now() + Duration::from_millis(2_500),
                        Step::Join(n, m),
                    ));
                }
            }
            6 => {
                self.tell(format!("delay {} {}", n + 1, other + 1));
                let delay = Duration::from_millis(self.rng.random_range(20..400));
                self.each_way(n, other, |net, from, to| net.delay(from, to, delay));
                self.after(500, 4_000, Step::Hasten(n, other));
            }
            7 => {
                self.tell(format!("silence {} {}", n + 1, other + 1));
                self.each_way(n, other, Network::silence);
            }
            8 => {
                self.tell(format!("reset machine={}", n + 1));
                for m in (0..count).filter(|m| *m != n) {
                    self.each_way(n, m, Network::reset);
                }
            }
            9 => {
                self.tell(format!(
                    "worker {side} leaves calls without an answer or is slow"
                ));
                let slow = self.rng.random_range(0..8);
                self.yard.lock().set_faults(
                    side,
                    WorkerFaults {
                        unanswered_fraction: 0.1,
                        slowdown: slow,
                    },
                );
                self.after(1_000, 5_000, Step::Sound(side));
            }
            10 => {
                self.tell(format!("worker {side} crashes"));
                self.take(Step::Crash(side));
            }
            _ => {
                self.tell(format!("worker {side} leaves"));
                self.yard.lock().drain(side);
                self.after(2_300, 4_000, Step::Crash(side));
            }
        }
    }
}
