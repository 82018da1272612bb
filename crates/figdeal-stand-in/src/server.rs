//! Stand-in workers that are called over HTTP, with faults that a test can inject.

use std::{
    collections::BTreeMap,
    io,
    net::{self, SocketAddr},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use figdeal_core::time::Timestamp;
use figdeal_platform::stand_in::{self, Call, ForeignHeartbeat, Heartbeat};
use figdeal_queue::agent::{ListedOutcome, StartCall, StartReply};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use tokio::sync::watch;

use crate::{
    checker::Checker,
    worker::{PausedClock, Run, Worker},
};

mod calls;

/// Name of the pool to which all workers belong.
pub const POOL_NAME: &str = "pool";
/// Prefix of the payload of tasks that always fail.
pub const FAILING_PAYLOAD_PREFIX: &str = "fail-";
/// Number of kinds of workers.
pub const KINDS: usize = 2;
/// Smallest and largest capacity of an incarnation of another kind, in thousandths of a core.
const CAPACITIES: (u32, u32) = (4_000, 12_000);
/// Interval of the heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);
/// Timeout of a heartbeat that another writer sends.
const FOREIGN_HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(1);
/// Default delay after which a call without a timely answer is executed and its request dropped.
const LATE_CALL_DELAY: Duration = Duration::from_millis(2_500);
/// Start of the first incarnations in milliseconds. It leaves room for starts after the time of day went back.
const FIRST_START_MS: u64 = 1_000_000;
/// Largest step in milliseconds by which the time of day goes back before a restart.
const MAX_CLOCK_STEP_MS: u64 = 60_000;
/// Time after the acknowledgement of an evacuation for which runs may still start in the data centre.
const EVACUATION_GRACE: Duration = Duration::from_millis(5_000);
/// Time after the acknowledgement of `draining` for which runs may still start.
const DRAIN_GRACE: Duration = Duration::from_secs(2);

/// Returns the data centre of a worker, of which there are two.
pub fn data_centre_of(n: usize) -> String {
    format!("z{}", n % 2)
}

/// Returns the label of a kind of workers.
pub fn kind_label(kind: usize) -> String {
    format!("kind-{kind}")
}

/// Returns the labels and the millicores of an incarnation of worker `n`. Of each kind, one worker stays; the others
/// change with each incarnation.
fn next_kind(n: usize, lives: u64, rng: &mut SmallRng) -> (Vec<String>, u32) {
    let kind = match n < KINDS {
        true => n,
        false => (n + lives as usize) % KINDS,
    };
    let millicores = rng.random_range(CAPACITIES.0..=CAPACITIES.1);
    (vec![kind_label(kind)], millicores)
}

/// Faults of one worker.
#[derive(Debug, Clone, Copy)]
pub struct WorkerFaults {
    /// Fraction of calls that are executed after a delay and get no answer in time.
    pub unanswered_fraction: f64,
    /// Shortest and longest delay of such a call, chosen at random for each.
    pub late_by: (Duration, Duration),
    /// Factor by which new runs take longer; 0 counts as 1.
    pub slowdown: u32,
    /// Whether the worker is cut off from its agent: calls are neither executed nor answered, and no heartbeat arrives.
    pub is_cut_off: bool,
}

impl Default for WorkerFaults {
    fn default() -> Self {
        WorkerFaults {
            unanswered_fraction: 0.0,
            late_by: (LATE_CALL_DELAY, LATE_CALL_DELAY),
            slowdown: 0,
            is_cut_off: false,
        }
    }
}

/// As what a worker starts again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Restart {
    /// Under its identity, with a later start.
    Later,
    /// Under its identity, with a start before that of its former incarnation, since the time of day went back.
    Earlier,
    /// As another worker at the same address.
    OtherIdentity,
}

/// One worker with its faults and the state of its heartbeats.
#[derive(Debug)]
struct FleetWorker {
    worker: Worker,
    /// Identity in heartbeats and calls.
    id: String,
    /// Number of incarnations at the address so far. Their starts may repeat.
    lives: u64,
    /// Number of the incarnation that runs, `None` while the worker is down. Connections end with their incarnation.
    running_life: watch::Sender<Option<u64>>,
    /// Latest start of an incarnation in milliseconds.
    latest_start_ms: u64,
    faults: WorkerFaults,
    /// Whether the heartbeats say that the worker is draining.
    draining: bool,
    /// When the first heartbeat with `draining` was acknowledged.
    drain_acked_at: Option<Timestamp>,
    /// Number of the last heartbeat within the incarnation.
    sequence: u64,
}

impl FleetWorker {
    fn is_running(&self, life: u64) -> bool {
        *self.running_life.borrow() == Some(life)
    }
}

/// All workers, and the checker of what they and the callers see.
#[derive(Debug)]
pub struct WorkerFleet {
    start: Instant,
    workers: Vec<FleetWorker>,
    /// Checks the guarantees of the queue against the starts and ends of runs.
    pub checker: Checker,
    rng: SmallRng,
    /// Fraction of runs that fail.
    failure_fraction: f64,
    /// Whether the next incarnation of a worker may be of another kind and capacity.
    kinds_change: bool,
    /// Evacuated data centres, and when their evacuation was acknowledged.
    evacuated: BTreeMap<String, Timestamp>,
    /// What the workers have executed, each with the time of day in UTC, to be compared with the logs of the processes.
    pub events: Vec<String>,
}

impl WorkerFleet {
    /// Creates a fleet without workers.
    pub fn new(seed: u64) -> WorkerFleet {
        WorkerFleet {
            start: Instant::now(),
            workers: Vec::new(),
            checker: Checker::default(),
            rng: SmallRng::seed_from_u64(seed),
            failure_fraction: 0.0,
            kinds_change: false,
            evacuated: BTreeMap::new(),
            events: Vec::new(),
        }
    }

    /// Sets the fraction of runs that fail.
    pub fn with_failures(self, failure_fraction: f64) -> WorkerFleet {
        WorkerFleet {
            failure_fraction,
            ..self
        }
    }

    /// Lets the next incarnations of workers be of another kind and capacity.
    pub fn with_changing_kinds(self) -> WorkerFleet {
        WorkerFleet {
            kinds_change: true,
            ..self
        }
    }

    fn now(&self) -> Timestamp {
        Timestamp::ZERO + self.start.elapsed()
    }

    /// Ends the runs and leases that are due. Returns the current time.
    fn advance(&mut self) -> Timestamp {
        let now = self.now();
        for entry in &mut self.workers {
            entry.worker.advance(now);
            self.checker
                .completed_tasks
                .extend(entry.worker.completed_tasks.drain(..));
        }
        for n in 0..self.workers.len() {
            for task in self.workers[n].worker.take_renewed_runs(now) {
                let others = self.workers.iter().enumerate().filter(|(m, _)| *m != n);
                let others: Vec<&Worker> = others.map(|(_, p)| &p.worker).collect();
                self.checker.check_overlap(now, n, &others, task);
            }
        }
        now
    }

    /// Records what worker `n` has executed.
    fn record(&mut self, n: usize, text: &str) {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH);
        let ms = unix.unwrap_or_default().as_millis() % 86_400_000;
        let (minutes, seconds) = (ms / 60_000, ms % 60_000);
        let life = self.workers[n].lives;
        self.events.push(format!(
            "{:02}:{:02}:{:02}.{:03} worker {n} life={life} {text}",
            minutes / 60,
            minutes % 60,
            seconds / 1_000,
            seconds % 1_000
        ));
    }

    /// Sets the faults of a worker.
    pub fn set_faults(&mut self, n: usize, faults: WorkerFaults) {
        self.workers[n].faults = faults;
    }

    /// Records the acknowledgement of an evacuation. No run may start in the data centre after `EVACUATION_GRACE`.
    pub fn evacuate(&mut self, data_centre: &str) {
        let now = self.now();
        self.evacuated.insert(data_centre.to_owned(), now);
    }

    /// Records that an operator is about to revoke an evacuation, which may take effect at once.
    pub fn revoke_evacuation(&mut self, data_centre: &str) {
        self.evacuated.remove(data_centre);
    }

    /// Makes the heartbeats of the worker say that it is draining.
    pub fn drain(&mut self, n: usize) {
        self.workers[n].draining = true;
    }

    /// Crashes the worker: its runs are lost, and it executes no calls until it is restarted.
    pub fn crash(&mut self, n: usize) {
        self.advance();
        self.record(n, "crashes");
        let worker = &mut self.workers[n].worker;
        worker.is_up = false;
        worker.runs.clear();
        self.workers[n].running_life.send_replace(None);
    }

    /// Pauses the worker: it executes nothing and sends nothing until [`WorkerFleet::resume`].
    pub fn pause(&mut self, n: usize) {
        let now = self.advance();
        self.workers[n].worker.pause(now);
    }

    /// Ends a pause of the worker.
    pub fn resume(&mut self, n: usize, clock: PausedClock) {
        let now = self.advance();
        self.workers[n].worker.resume(now, clock);
        self.advance();
    }

    /// Restarts the worker as a new incarnation. Returns its start in milliseconds.
    pub fn restart(&mut self, n: usize, restart: Restart) -> u64 {
        let now = self.advance();
        let step = self.rng.random_range(1..=MAX_CLOCK_STEP_MS);
        let entry = &mut self.workers[n];
        let start_ms = match restart {
            Restart::Earlier => entry.worker.incarnation.saturating_sub(step),
            Restart::Later | Restart::OtherIdentity => entry.latest_start_ms + 1,
        };
        entry.latest_start_ms = entry.latest_start_ms.max(start_ms);
        entry.lives += 1;
        if restart == Restart::OtherIdentity {
            entry.id = format!("i-{n}-{}", entry.lives);
        }
        let (labels, millicores) = match self.kinds_change {
            true => next_kind(n, entry.lives, &mut self.rng),
            false => {
                let former = &entry.worker;
                (former.labels.clone(), former.capacity.millicores)
            }
        };
        entry.worker = Worker::new(now, start_ms, millicores).with_labels(labels.clone());
        (entry.draining, entry.drain_acked_at, entry.sequence) = (false, None, 0);
        entry.running_life.send_replace(Some(entry.lives));
        self.record(
            n,
            &format!(
                "starts start_ms={start_ms} {restart:?} labels={labels:?} millicores={millicores}"
            ),
        );
        start_ms
    }

    fn heartbeat(&self, n: usize, address: SocketAddr) -> Heartbeat {
        let entry = &self.workers[n];
        Heartbeat {
            id: entry.id.clone(),
            address,
            pool: POOL_NAME.to_owned(),
            capacity: entry.worker.capacity,
            labels: entry.worker.labels.clone(),
            started_at_ms: entry.worker.incarnation,
            sequence: entry.sequence,
            draining: entry.draining,
            data_centre: data_centre_of(n),
            cold_ms: 0,
        }
    }

    fn start_run(&mut self, n: usize, call: &StartCall) -> StartReply {
        let now = self.advance();
        let known = self.workers[n].worker.runs.get(&call.task);
        let known = known.is_some_and(|run| run.run == call.run);
        let answer = self.workers[n].worker.check_start(now, call);
        let clock = self.workers[n].worker.clock(now);
        self.record(
            n,
            &format!(
                "start task={} run={} fence={} lease_expiry_ms={} clock_ms={clock} known={known} {answer:?}",
                call.task, call.run, call.fence, call.lease_expiry_ms
            ),
        );
        if answer != StartReply::Started || known {
            return answer;
        }
        let workers: Vec<&Worker> = self.workers.iter().map(|p| &p.worker).collect();
        self.checker.on_start(now, n, &workers, call.task);
        if self.workers[n]
            .drain_acked_at
            .is_some_and(|at| at + DRAIN_GRACE < now)
        {
            let text = format!(
                "DRAIN: {} starts on worker {n}, which is draining",
                call.task
            );
            self.checker.violations.push(text);
        }
        let evacuated_at = self.evacuated.get(&data_centre_of(n));
        if evacuated_at.is_some_and(|at| *at + EVACUATION_GRACE < now) {
            let text = format!(
                "EVACUATED: {} starts on worker {n}, whose data centre is evacuated",
                call.task
            );
            self.checker.violations.push(text);
        }
        let Some(job) = self.checker.jobs.get(&call.task.job) else {
            return answer;
        };
        if job.spec.payload != call.payload {
            let text = format!("UNASKED: {} starts with another payload", call.task);
            self.checker.violations.push(text);
        }
        let step = &job.spec.steps[usize::from(call.task.step)];
        let (needs, estimate) = (step.needs, u64::from(step.estimate_ms));
        let always_fails = job.spec.payload.starts_with(FAILING_PAYLOAD_PREFIX);
        let fails = self.rng.random_bool(self.failure_fraction) || always_fails;
        let outcome = match fails {
            true => ListedOutcome::Failed,
            false => ListedOutcome::Done,
        };
        let slowdown = u64::from(self.workers[n].faults.slowdown.max(1));
        let run_time_ms = self.rng.random_range(estimate / 2..=estimate * 3 / 2) * slowdown;
        let run = Run {
            run: call.run,
            start: now,
            end: now + Duration::from_millis(run_time_ms),
            outcome,
            needs,
        };
        let worker = &mut self.workers[n].worker;
        worker.start_run(now, call, run);
        let used: u32 = worker.runs.values().map(|r| r.needs.millicores).sum();
        if used > worker.capacity.millicores {
            let text = format!(
                "LIMIT: {} starts on worker {n}, which uses {used}, at {now:?}",
                call.task
            );
            self.checker.violations.push(text);
        }
        answer
    }

    /// Executes a call. Returns `None` for a successful poll, which is answered with [`Worker::status`], and for a
    /// start whose outcome is unclear.
    fn handle_call(&mut self, n: usize, call: &Call) -> Option<(u16, String)> {
        let now = self.advance();
        let is_meant = call.worker_id().is_none_or(|id| id == self.workers[n].id);
        if !is_meant {
            return Some((421, String::new()));
        }
        let clock = self.workers[n].worker.clock(now);
        match call {
            Call::Start(call) => {
                let started = self.start_run(n, call);
                stand_in::encode_start_reply(started, clock)
            }
            Call::Stop(call) => {
                self.record(n, &format!("stop task={} run={}", call.task, call.run));
                self.workers[n].worker.stop(now, call);
                stand_in::encode_start_reply(StartReply::Started, clock)
            }
            Call::Poll(call) => match self.workers[n].worker.renew_lease(now, call) {
                Some(acknowledged) => {
                    for end in acknowledged {
                        let text = format!(
                            "acknowledged task={} run={} {:?} ended_ms_ago={} seen_upto={}",
                            end.task,
                            end.run,
                            end.outcome,
                            now.since(end.ended_at).as_millis(),
                            call.acked_end
                        );
                        self.record(n, &text);
                        self.checker
                            .on_end_acknowledged(n, &self.workers[n].worker, end);
                    }
                    None
                }
                None => Some((409, String::new())),
            },
        }
    }
}

/// A fleet that is shared between threads.
#[derive(Debug, Clone)]
pub struct SharedFleet(Arc<Mutex<WorkerFleet>>);

impl SharedFleet {
    /// Makes a fleet shareable.
    pub fn new(fleet: WorkerFleet) -> SharedFleet {
        SharedFleet(Arc::new(Mutex::new(fleet)))
    }

    /// Locks the fleet.
    pub fn lock(&self) -> MutexGuard<'_, WorkerFleet> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a worker that accepts calls at `address` and sends heartbeats to its agent at `control`.
    ///
    /// # Errors
    /// Fails when it cannot listen on the address.
    pub fn add_worker(
        &self,
        address: SocketAddr,
        control: SocketAddr,
        millicores: u32,
    ) -> io::Result<()> {
        let n = {
            let mut fleet = self.lock();
            let labels = vec![kind_label(fleet.workers.len() % KINDS)];
            let worker = Worker::new(fleet.now(), FIRST_START_MS, millicores).with_labels(labels);
            let id = format!("i-{}", fleet.workers.len());
            fleet.workers.push(FleetWorker {
                worker,
                id,
                lives: 1,
                running_life: watch::Sender::new(Some(1)),
                latest_start_ms: FIRST_START_MS,
                faults: WorkerFaults::default(),
                draining: false,
                drain_acked_at: None,
                sequence: 0,
            });
            fleet.workers.len() - 1
        };
        let listener = net::TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let shared = self.clone();
        thread::spawn(move || shared.serve(n, listener));
        let shared = self.clone();
        thread::spawn(move || {
            loop {
                shared.send_heartbeat(n, address, control);
                thread::sleep(HEARTBEAT_INTERVAL);
            }
        });
        Ok(())
    }

    /// Sends the agent of worker `n` at `control` a heartbeat that the worker has not sent, in the background.
    pub fn send_foreign_heartbeat(
        &self,
        n: usize,
        address: SocketAddr,
        control: SocketAddr,
        kind: ForeignHeartbeat,
    ) {
        let beat = self.lock().heartbeat(n, address);
        let (path, body) = stand_in::encode_foreign_heartbeat(kind, &beat);
        // The agent may be gone or paused, so the caller does not wait.
        thread::spawn(move || {
            let request = ureq::put(format!("http://{control}{path}")).config();
            let request = request.timeout_global(Some(FOREIGN_HEARTBEAT_TIMEOUT));
            let _ = request.build().send(body);
        });
    }

    /// Sends the departure of worker `n` to its agent at `control` after a delay, in the background. It names the
    /// identity that the worker has now.
    pub fn send_departure(&self, n: usize, control: SocketAddr, delay: Duration) {
        let path = stand_in::departure_path(&self.lock().workers[n].id);
        thread::spawn(move || {
            thread::sleep(delay);
            let request = ureq::delete(format!("http://{control}{path}")).config();
            let request = request.timeout_global(Some(FOREIGN_HEARTBEAT_TIMEOUT));
            let _ = request.build().call();
        });
    }

    fn send_heartbeat(&self, n: usize, address: SocketAddr, control: SocketAddr) {
        let (beat, is_sent, life) = {
            let mut fleet = self.lock();
            fleet.workers[n].sequence += 1;
            let beat = fleet.heartbeat(n, address);
            let entry = &fleet.workers[n];
            let worker = &entry.worker;
            let is_sent = worker.is_up && !worker.is_paused() && !entry.faults.is_cut_off;
            (beat, is_sent, entry.lives)
        };
        if !is_sent {
            return;
        }
        let (path, body) = stand_in::encode_heartbeat(&beat);
        let sent = ureq::put(format!("http://{control}{path}")).send(body);
        let mut fleet = self.lock();
        let now = fleet.now();
        let entry = &mut fleet.workers[n];
        // If this heartbeat was not acknowledged, the next one says again that the worker is draining.
        if sent.is_ok() && beat.draining && entry.lives == life {
            entry.drain_acked_at.get_or_insert(now);
        }
    }
}
