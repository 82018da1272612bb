//! Workers that are called over HTTP, with faults that a run switches on.

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    thread,
    time::{Duration, Instant},
};

use figdeal_core::time::Timestamp;
use figdeal_platform::{
    stand_in::{self, Beat, Call},
    worker::EXPECTED,
};
use figdeal_queue::agent::{ListedOutcome, StartCall, StartReply};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use tiny_http::{Request, Response, Server};

use crate::{
    check::Check,
    worker::{Run, Worker},
};

/// Pool of all workers.
pub const POOL: &str = "pool";
/// Threads that answer the calls to one worker.
const THREADS: usize = 12;
/// Time between two looks at the runs while a call waits for an end.
const PAUSE: Duration = Duration::from_millis(3);
/// Time between two heartbeats.
const BEAT: Duration = Duration::from_millis(300);
/// Time for which a call is left without an answer; it is carried out at the end of it.
const LATE: Duration = Duration::from_millis(2_500);
/// Time after the acknowledgement of `draining` in which tasks may still start.
const DRAIN: Duration = Duration::from_secs(2);

/// Faults of one worker.
#[derive(Debug, Clone, Copy, Default)]
pub struct Faults {
    /// Share of calls that get no answer and are carried out late.
    pub silent: f64,
    /// How many times longer new runs take; 0 counts as 1.
    pub slow: u32,
}

/// One worker with what the platform around it knows.
#[derive(Debug)]
struct Place {
    worker: Worker,
    faults: Faults,
    /// The worker says that it leaves, and since when that is acknowledged.
    draining: bool,
    drained: Option<Timestamp>,
    sequence: u64,
}

/// All workers and the judge.
#[derive(Debug)]
pub struct Yard {
    start: Instant,
    places: Vec<Place>,
    /// The judge.
    pub check: Check,
    rng: SmallRng,
    /// Share of runs that fail.
    failures: f64,
}

impl Yard {
    /// A yard without workers.
    pub fn new(seed: u64) -> Yard {
        Yard {
            start: Instant::now(),
            places: Vec::new(),
            check: Check::default(),
            rng: SmallRng::seed_from_u64(seed),
            failures: 0.0,
        }
    }

    /// Lets a share of all runs fail.
    pub fn with_failures(self, failures: f64) -> Yard {
        Yard { failures, ..self }
    }

    fn now(&self) -> Timestamp {
        Timestamp::ZERO + self.start.elapsed()
    }

    /// Ends what is due.
    fn advance(&mut self) -> Timestamp {
        let now = self.now();
        for place in &mut self.places {
            place.worker.advance(now);
            self.check.ended.extend(place.worker.done.drain(..));
        }
        now
    }

    /// Switches faults of a worker.
    pub fn set_faults(&mut self, n: usize, faults: Faults) {
        self.places[n].faults = faults;
    }

    /// The worker says from now on that it leaves.
    pub fn drain(&mut self, n: usize) {
        self.places[n].draining = true;
    }

    /// The worker crashes: what runs there is gone.
    pub fn crash(&mut self, n: usize) {
        self.advance();
        let worker = &mut self.places[n].worker;
        worker.up = false;
        worker.runs.clear();
    }

    /// The worker starts with a new life.
    pub fn restart(&mut self, n: usize) {
        let now = self.advance();
        let place = &mut self.places[n];
        let (born, cpu) = (place.worker.born + 1, place.worker.capacity.millicores);
        place.worker = Worker::new(now, born, cpu);
        (place.draining, place.drained, place.sequence) = (false, None, 0);
    }

    fn begin(&mut self, n: usize, call: &StartCall) -> StartReply {
        let now = self.advance();
        let known = self.places[n].worker.runs.get(&call.task);
        let known = known.is_some_and(|run| run.run == call.run);
        let answer = self.places[n].worker.check(now, call);
        if answer != StartReply::Started || known {
            return answer;
        }
        let workers: Vec<&Worker> = self.places.iter().map(|p| &p.worker).collect();
        self.check.start(now, n, &workers, call.task);
        if self.places[n].drained.is_some_and(|at| at + DRAIN < now) {
            let text = format!("DRAIN: {} starts on worker {n}, which leaves", call.task);
            self.check.broken.push(text);
        }
        let Some(sent) = self.check.jobs.get(&call.task.job) else {
            return answer;
        };
        if sent.spec.payload != call.payload {
            let text = format!("UNASKED: {} starts with another payload", call.task);
            self.check.broken.push(text);
        }
        let step = &sent.spec.steps[usize::from(call.task.step)];
        let (needs, estimate) = (step.needs, u64::from(step.estimate_ms));
        let how = match self.rng.random_bool(self.failures) {
            true => ListedOutcome::Failed,
            false => ListedOutcome::Done,
        };
        let slow = u64::from(self.places[n].faults.slow.max(1));
        let work = self.rng.random_range(estimate / 2..=estimate * 3 / 2) * slow;
        let run = Run {
            run: call.run,
            start: now,
            end: now + Duration::from_millis(work),
            how,
            needs,
        };
        let worker = &mut self.places[n].worker;
        worker.begin(now, call, run);
        let used: u32 = worker.runs.values().map(|r| r.needs.millicores).sum();
        if used > worker.capacity.millicores {
            self.check
                .broken
                .push(format!("LIMIT: worker {n} uses {used}"));
        }
        answer
    }

    /// Carries out a call. The answer to a look comes from [`Yard::view`].
    fn carry_out(&mut self, n: usize, call: &Call) -> Option<(u16, String)> {
        let now = self.advance();
        let clock = self.places[n].worker.clock(now);
        match call {
            Call::Start(call) => {
                let started = self.begin(n, call);
                stand_in::started(started, clock)
            }
            Call::Stop(call) => {
                self.places[n].worker.stop(now, call);
                stand_in::started(StartReply::Started, clock)
            }
            Call::Hold(call) => match self.places[n].worker.hold(now, call) {
                Some(taken) => {
                    for end in taken {
                        self.check.noted(n, &self.places[n].worker, end);
                    }
                    None
                }
                None => Some((409, String::new())),
            },
        }
    }
}

/// A yard that threads share.
#[derive(Debug, Clone)]
pub struct Shared(Arc<Mutex<Yard>>);

impl Shared {
    /// Shares a yard.
    pub fn new(yard: Yard) -> Shared {
        Shared(Arc::new(Mutex::new(yard)))
    }

    /// The yard, for one look or change.
    pub fn lock(&self) -> MutexGuard<'_, Yard> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a worker that takes calls at `address` and sends heartbeats to its agent at `control`.
    ///
    /// # Errors
    /// Fails when the address cannot be listened on.
    pub fn add_worker(&self, address: SocketAddr, control: SocketAddr, cpu: u32) -> io::Result<()> {
        let n = {
            let mut yard = self.lock();
            let worker = Worker::new(yard.now(), 1, cpu);
            yard.places.push(Place {
                worker,
                faults: Faults::default(),
                draining: false,
                drained: None,
                sequence: 0,
            });
            yard.places.len() - 1
        };
        let server = Arc::new(Server::http(address).map_err(io::Error::other)?);
        for _ in 0..THREADS {
            let (server, shared) = (Arc::clone(&server), self.clone());
            thread::spawn(move || {
                while let Ok(request) = server.recv() {
                    shared.serve(n, request);
                }
            });
        }
        let shared = self.clone();
        thread::spawn(move || {
            loop {
                shared.beat(n, address, control);
                thread::sleep(BEAT);
            }
        });
        Ok(())
    }

    fn beat(&self, n: usize, address: SocketAddr, control: SocketAddr) {
        let (beat, up) = {
            let mut yard = self.lock();
            let place = &mut yard.places[n];
            place.sequence += 1;
            let beat = Beat {
                id: format!("i-{n}"),
                address,
                pool: POOL.to_owned(),
                capacity: place.worker.capacity,
                born: place.worker.born,
                sequence: place.sequence,
                draining: place.draining,
            };
            (beat, place.worker.up)
        };
        if !up {
            return;
        }
        let (path, body) = stand_in::heartbeat(&beat);
        let sent = ureq::put(format!("http://{control}{path}")).send(body);
        let mut yard = self.lock();
        let now = yard.now();
        let place = &mut yard.places[n];
        // Without an acknowledgement, the next heartbeat says the same.
        if sent.is_ok() && beat.draining && place.worker.born == beat.born {
            place.drained.get_or_insert(now);
        }
    }

    fn serve(&self, n: usize, mut request: Request) {
        let mut body = Vec::new();
        let read = request.as_reader().read_to_end(&mut body);
        let headers = request.headers().iter();
        let expected = headers
            .filter(|h| h.field.as_str().as_str().eq_ignore_ascii_case(EXPECTED))
            .map(|h| h.value.to_string())
            .next();
        let call = stand_in::call(request.url(), expected, &body);
        let (Ok(_), Some(call)) = (read, call) else {
            return respond(request, 400, String::new());
        };
        let (silent, up, born) = {
            let mut yard = self.lock();
            let share = yard.places[n].faults.silent;
            let silent = yard.rng.random_bool(share);
            let worker = &yard.places[n].worker;
            (silent, worker.up, worker.born)
        };
        if silent || !up {
            let shared = self.clone();
            thread::spawn(move || {
                thread::sleep(LATE);
                let mut yard = shared.lock();
                let worker = &yard.places[n].worker;
                if silent && worker.up && worker.born == born {
                    yard.carry_out(n, &call);
                }
                drop(yard);
                // The connection ends without a useful answer, long after anybody waits for one.
                drop(request);
            });
            return;
        }
        let answer = self.lock().carry_out(n, &call);
        match (answer, call) {
            (Some((status, text)), _) => respond(request, status, text),
            (None, Call::Hold(hold)) => {
                let end = Instant::now() + hold.wait;
                loop {
                    let mut yard = self.lock();
                    let now = yard.advance();
                    let worker = &yard.places[n].worker;
                    if !worker.up || !worker.ends.is_empty() || Instant::now() >= end {
                        let text = stand_in::held(&worker.view(now));
                        drop(yard);
                        return respond(request, 200, text);
                    }
                    drop(yard);
                    thread::sleep(PAUSE);
                }
            }
            (None, _) => respond(request, 503, String::new()),
        }
    }
}

fn respond(request: Request, status: u16, text: String) {
    let response = Response::from_string(text).with_status_code(status);
    if let Err(e) = request.respond(response) {
        // A caller that has given up does not take the answer.
        log::debug!("E692 answer of a worker not taken error={e}");
    }
}
