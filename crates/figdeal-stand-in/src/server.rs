//! Stand-in workers that are called over HTTP, with faults that a test can inject.

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    thread,
    time::{Duration, Instant},
};

use figdeal_core::time::Timestamp;
use figdeal_platform::{
    stand_in::{self, Call, ForeignHeartbeat, Heartbeat},
    worker::EXPECTED_INSTANCE_HEADER,
};
use figdeal_queue::agent::{ListedOutcome, StartCall, StartReply};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use tiny_http::{Request, Response, Server};

use crate::{
    checker::Checker,
    worker::{Run, Worker},
};

/// Name of the pool to which all workers belong.
pub const POOL_NAME: &str = "pool";
/// Number of threads that serve the calls to one worker.
const SERVER_THREADS: usize = 12;
/// Interval at which a poll checks whether a run has ended.
const RUN_CHECK_INTERVAL: Duration = Duration::from_millis(3);
/// Interval of the heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);
/// Timeout of a heartbeat that another writer sends.
const FOREIGN_HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay after which a call without a timely answer is executed and its request dropped.
const LATE_CALL_DELAY: Duration = Duration::from_millis(2_500);
/// Time after the acknowledgement of `draining` for which runs may still start.
const DRAIN_GRACE: Duration = Duration::from_secs(2);

/// Faults of one worker.
#[derive(Debug, Clone, Copy, Default)]
pub struct WorkerFaults {
    /// Fraction of calls that are executed after a delay and get no answer in time.
    pub unanswered_fraction: f64,
    /// Factor by which new runs take longer; 0 counts as 1.
    pub slowdown: u32,
}

/// One worker with its faults and the state of its heartbeats.
#[derive(Debug)]
struct FleetWorker {
    worker: Worker,
    faults: WorkerFaults,
    /// Whether the heartbeats say that the worker is draining.
    draining: bool,
    /// When the first heartbeat with `draining` was acknowledged.
    drain_acked_at: Option<Timestamp>,
    /// Number of the last heartbeat within the incarnation.
    sequence: u64,
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
        }
    }

    /// Sets the fraction of runs that fail.
    pub fn with_failures(self, failure_fraction: f64) -> WorkerFleet {
        WorkerFleet {
            failure_fraction,
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
        now
    }

    /// Sets the faults of a worker.
    pub fn set_faults(&mut self, n: usize, faults: WorkerFaults) {
        self.workers[n].faults = faults;
    }

    /// Makes the heartbeats of the worker say that it is draining.
    pub fn drain(&mut self, n: usize) {
        self.workers[n].draining = true;
    }

    /// Crashes the worker: its runs are lost, and it executes no calls until it is restarted.
    pub fn crash(&mut self, n: usize) {
        self.advance();
        let worker = &mut self.workers[n].worker;
        worker.is_up = false;
        worker.runs.clear();
    }

    /// Restarts the worker as a new incarnation.
    pub fn restart(&mut self, n: usize) {
        let now = self.advance();
        let entry = &mut self.workers[n];
        let (incarnation, millicores) = (
            entry.worker.incarnation + 1,
            entry.worker.capacity.millicores,
        );
        entry.worker = Worker::new(now, incarnation, millicores);
        (entry.draining, entry.drain_acked_at, entry.sequence) = (false, None, 0);
    }

    fn heartbeat(&self, n: usize, address: SocketAddr) -> Heartbeat {
        let entry = &self.workers[n];
        Heartbeat {
            id: format!("i-{n}"),
            address,
            pool: POOL_NAME.to_owned(),
            capacity: entry.worker.capacity,
            started_at_ms: entry.worker.incarnation,
            sequence: entry.sequence,
            draining: entry.draining,
        }
    }

    fn start_run(&mut self, n: usize, call: &StartCall) -> StartReply {
        let now = self.advance();
        let known = self.workers[n].worker.runs.get(&call.task);
        let known = known.is_some_and(|run| run.run == call.run);
        let answer = self.workers[n].worker.check_start(now, call);
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
        let Some(job) = self.checker.jobs.get(&call.task.job) else {
            return answer;
        };
        if job.spec.payload != call.payload {
            let text = format!("UNASKED: {} starts with another payload", call.task);
            self.checker.violations.push(text);
        }
        let step = &job.spec.steps[usize::from(call.task.step)];
        let (needs, estimate) = (step.needs, u64::from(step.estimate_ms));
        let outcome = match self.rng.random_bool(self.failure_fraction) {
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
            self.checker
                .violations
                .push(format!("LIMIT: worker {n} uses {used}"));
        }
        answer
    }

    /// Executes a call. Returns `None` for a successful poll, which is answered with [`Worker::status`], and for a
    /// start whose outcome is unclear.
    fn handle_call(&mut self, n: usize, call: &Call) -> Option<(u16, String)> {
        let now = self.advance();
        let clock = self.workers[n].worker.clock(now);
        match call {
            Call::Start(call) => {
                let started = self.start_run(n, call);
                stand_in::encode_start_reply(started, clock)
            }
            Call::Stop(call) => {
                self.workers[n].worker.stop(now, call);
                stand_in::encode_start_reply(StartReply::Started, clock)
            }
            Call::Poll(call) => match self.workers[n].worker.renew_lease(now, call) {
                Some(acknowledged) => {
                    for end in acknowledged {
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
            let worker = Worker::new(fleet.now(), 1, millicores);
            fleet.workers.push(FleetWorker {
                worker,
                faults: WorkerFaults::default(),
                draining: false,
                drain_acked_at: None,
                sequence: 0,
            });
            fleet.workers.len() - 1
        };
        let server = Arc::new(Server::http(address).map_err(io::Error::other)?);
        for _ in 0..SERVER_THREADS {
            let (server, shared) = (Arc::clone(&server), self.clone());
            thread::spawn(move || {
                while let Ok(request) = server.recv() {
                    shared.handle_request(n, request);
                }
            });
        }
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

    fn send_heartbeat(&self, n: usize, address: SocketAddr, control: SocketAddr) {
        let (beat, up) = {
            let mut fleet = self.lock();
            fleet.workers[n].sequence += 1;
            (fleet.heartbeat(n, address), fleet.workers[n].worker.is_up)
        };
        if !up {
            return;
        }
        let (path, body) = stand_in::encode_heartbeat(&beat);
        let sent = ureq::put(format!("http://{control}{path}")).send(body);
        let mut fleet = self.lock();
        let now = fleet.now();
        let entry = &mut fleet.workers[n];
        // If this heartbeat was not acknowledged, the next one says again that the worker is draining.
        if sent.is_ok() && beat.draining && entry.worker.incarnation == beat.started_at_ms {
            entry.drain_acked_at.get_or_insert(now);
        }
    }

    fn handle_request(&self, n: usize, mut request: Request) {
        let mut body = Vec::new();
        let read = request.as_reader().read_to_end(&mut body);
        let headers = request.headers().iter();
        let expected = headers
            .filter(|h| {
                h.field
                    .as_str()
                    .as_str()
                    .eq_ignore_ascii_case(EXPECTED_INSTANCE_HEADER)
            })
            .map(|h| h.value.to_string())
            .next();
        let call = stand_in::decode_call(request.url(), expected, &body);
        let (Ok(_), Some(call)) = (read, call) else {
            return respond(request, 400, String::new());
        };
        let (unanswered, up, incarnation) = {
            let mut fleet = self.lock();
            let fraction = fleet.workers[n].faults.unanswered_fraction;
            let unanswered = fleet.rng.random_bool(fraction);
            let worker = &fleet.workers[n].worker;
            (unanswered, worker.is_up, worker.incarnation)
        };
        if unanswered || !up {
            let shared = self.clone();
            thread::spawn(move || {
                thread::sleep(LATE_CALL_DELAY);
                let mut fleet = shared.lock();
                let worker = &fleet.workers[n].worker;
                if unanswered && worker.is_up && worker.incarnation == incarnation {
                    fleet.handle_call(n, &call);
                }
                drop(fleet);
                // When the request is dropped, tiny_http answers with status 500, long after the timeout of the call.
                drop(request);
            });
            return;
        }
        let answer = self.lock().handle_call(n, &call);
        match (answer, call) {
            (Some((status, text)), _) => respond(request, status, text),
            (None, Call::Poll(poll)) => {
                let end = Instant::now() + poll.wait;
                loop {
                    let mut fleet = self.lock();
                    let now = fleet.advance();
                    let worker = &fleet.workers[n].worker;
                    if !worker.is_up
                        || !worker.unacknowledged_ends.is_empty()
                        || Instant::now() >= end
                    {
                        let text = stand_in::encode_poll_reply(&worker.status(now));
                        drop(fleet);
                        return respond(request, 200, text);
                    }
                    drop(fleet);
                    thread::sleep(RUN_CHECK_INTERVAL);
                }
            }
            (None, _) => respond(request, 503, String::new()),
        }
    }
}

fn respond(request: Request, status: u16, text: String) {
    let response = Response::from_string(text).with_status_code(status);
    if let Err(e) = request.respond(response) {
        // The caller has closed the connection after its timeout.
        log::debug!("E692 cannot send the response of a worker error={e}");
    }
}
