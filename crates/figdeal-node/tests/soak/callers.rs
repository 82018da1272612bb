//! Stand-ins for the callers and the operator. They keep their connections open and resubmit jobs as the platform
//! specifies.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use figdeal_platform::stand_in as wire;
use figdeal_queue::{
    job::{JobId, JobSpec, JobState, Policy, Queue, QueueConfig, Resources, Step},
    message::Answer,
};
use figdeal_stand_in::{
    checker::SubmittedJob,
    server::{FAILING_PAYLOAD_PREFIX, KINDS, POOL_NAME, SharedFleet, kind_label},
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::{
    DATA_CENTRES,
    processes::{self, Layout},
};

/// Delay after which a caller resubmits a job.
const RESUBMIT_DELAY: Duration = Duration::from_millis(1_300);
/// Timeout of a caller's request.
const CALLER_TIMEOUT: Duration = Duration::from_secs(3);
/// Interval at which the state of a stored job is queried.
const POLL_INTERVAL: Duration = Duration::from_millis(150);
/// Number of submissions after which a caller gives up on a job.
const MAX_SUBMISSIONS: u32 = 6;
/// Number of failed runs of one task after which its job fails.
const MAX_ATTEMPTS: u32 = 3;
/// Number of callers of a burst.
const BURST_CALLERS: u64 = 40;
/// Number of jobs that each caller of a burst submits one after the other.
const BURST_JOBS: u32 = 2;
/// Time from the begin of a burst to the cancellation of its jobs.
const CANCEL_DELAY: Duration = Duration::from_millis(700);
/// CPU need of a task that no worker can run, in thousandths of a core.
const TOO_MANY_MILLICORES: u32 = 64_000;
/// Path prefix of the queue that the configuration defines.
const PATH_PREFIX: &str = "/q/";

/// Many jobs that are submitted at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Burst {
    /// Jobs like all others.
    Jobs,
    /// Stored jobs that are all cancelled at the same moment.
    Cancelled,
    /// Stored jobs that can never be done: their tasks fail always, or fit on no worker. The latter are cancelled.
    Undoable,
}

/// Interval between two attempts of the operator who evacuates data centres.
const OPERATOR_RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// Distinguishes the random numbers of that operator from those of the others.
const EVACUATION_SEED: u64 = 0xe5ac;

/// State shared by all callers and the operator.
#[derive(Debug)]
pub(crate) struct LoadGenerator {
    pub(crate) layout: Layout,
    pub(crate) fleet: SharedFleet,
    pub(crate) stop: AtomicBool,
    pub(crate) next_job_id: AtomicU64,
    /// Whether tasks require a kind of workers.
    pub(crate) kinds_change: bool,
}

impl LoadGenerator {
    fn is_stopped(&self) -> bool {
        self.stop.load(Ordering::Relaxed)
    }

    fn send_call(&self, client: &ureq::Agent, rng: &mut SmallRng, call: JobCall) -> Option<Answer> {
        let JobCall { id, method, body } = call;
        let machine = rng.random_range(1..=self.layout.nodes);
        let path = format!("{PATH_PREFIX}{id}");
        let to = self.layout.front(machine);
        let (status, text) = processes::exchange(client, to, method, &path, body)?;
        wire::decode_answer(status, &text)
    }

    /// Submits jobs until the test stops the load.
    pub(crate) fn run_caller(&self, seed: u64) {
        let mut rng = SmallRng::seed_from_u64(seed);
        let client = processes::client(CALLER_TIMEOUT);
        while !self.is_stopped() {
            let spec = random_job(&mut rng, self.kinds_change);
            let volatile = spec.volatile;
            let (id, accepted) = self.submit_new(&client, &mut rng, spec);
            if accepted && !volatile {
                self.query_or_cancel(&client, &mut rng, id);
            }
            thread::sleep(Duration::from_millis(rng.random_range(5..60)));
        }
    }

    /// Asks random nodes how many jobs wait, until the test stops the load.
    pub(crate) fn run_observer(&self, seed: u64) {
        let mut rng = SmallRng::seed_from_u64(seed);
        let client = processes::client(CALLER_TIMEOUT);
        while !self.is_stopped() {
            let asked = self.fleet.lock().checker.waiting_jobs();
            let to = self.layout.front(rng.random_range(1..=self.layout.nodes));
            let reply = processes::exchange(&client, to, "GET", PATH_PREFIX, String::new());
            if let Some(told) = reply.and_then(|(status, body)| wire::decode_waiting(status, &body))
            {
                let mut fleet = self.fleet.lock();
                fleet.checker.on_waiting_answer(&asked, told);
            }
            thread::sleep(POLL_INTERVAL);
        }
    }

    /// Starts the callers of a burst.
    pub(crate) fn start_burst(
        self: &Arc<Self>,
        burst: Burst,
        seed: u64,
    ) -> impl Iterator<Item = thread::JoinHandle<()>> {
        let begin = Instant::now();
        (0..BURST_CALLERS).map(move |n| {
            let load = Arc::clone(self);
            thread::spawn(move || load.run_burst_caller(burst, seed.wrapping_add(n), begin))
        })
    }

    fn run_burst_caller(&self, burst: Burst, seed: u64, begin: Instant) {
        let mut rng = SmallRng::seed_from_u64(seed);
        let client = processes::client(CALLER_TIMEOUT);
        let mut to_cancel = Vec::new();
        for _ in 0..BURST_JOBS {
            let mut spec = random_job(&mut rng, self.kinds_change);
            let fits = burst != Burst::Undoable || rng.random_bool(0.5);
            if burst != Burst::Jobs {
                spec.volatile = false;
            }
            if !fits {
                spec.steps[0].needs.millicores = TOO_MANY_MILLICORES;
            } else if burst == Burst::Undoable {
                spec.payload = format!("{FAILING_PAYLOAD_PREFIX}{}", spec.payload);
            }
            let (id, _) = self.submit_new(&client, &mut rng, spec);
            if burst == Burst::Cancelled || !fits {
                to_cancel.push(id);
            }
        }
        thread::sleep(CANCEL_DELAY.saturating_sub(begin.elapsed()));
        for id in to_cancel {
            self.cancel(&client, &mut rng, id);
        }
    }

    /// Submits a new job. Returns its id and whether it was accepted.
    fn submit_new(&self, client: &ureq::Agent, rng: &mut SmallRng, spec: JobSpec) -> (JobId, bool) {
        let id = JobId(self.next_job_id.fetch_add(1, Ordering::Relaxed));
        let volatile = spec.volatile;
        let body = wire::encode_job(&spec);
        let job = SubmittedJob::new(spec, MAX_ATTEMPTS);
        self.fleet.lock().checker.jobs.insert(id, job);
        (id, self.submit(client, rng, id, &body, volatile))
    }

    /// Submits a job until an answer shows whether it was accepted, at most [`MAX_SUBMISSIONS`] times. Returns whether
    /// it was accepted.
    fn submit(
        &self,
        client: &ureq::Agent,
        rng: &mut SmallRng,
        id: JobId,
        body: &str,
        volatile: bool,
    ) -> bool {
        for _ in 0..MAX_SUBMISSIONS {
            let body = body.to_owned();
            let answer = self.send_call(
                client,
                rng,
                JobCall {
                    id,
                    method: "POST",
                    body,
                },
            );
            // The answer to a volatile job comes at its end.
            let answer = match answer {
                Some(Answer::State(state)) if volatile => {
                    Answer::VolatileEnded(state == JobState::Completed)
                }
                Some(answer) => answer,
                None => Answer::OutcomeUnknown,
            };
            self.fleet.lock().checker.on_submit_answer(id, &answer);
            match answer {
                Answer::OutcomeUnknown => thread::sleep(RESUBMIT_DELAY),
                answer => return answer == Answer::Accepted,
            }
        }
        false
    }

    /// Cancels one job in 20. Queries any other job a few times, or until it has ended.
    fn query_or_cancel(&self, client: &ureq::Agent, rng: &mut SmallRng, id: JobId) {
        if rng.random_bool(0.05) {
            return self.cancel(client, rng, id);
        }
        // Jobs that have not ended by then are queried at the end of the test.
        for _ in 0..rng.random_range(1..8) {
            thread::sleep(POLL_INTERVAL);
            if self.query(client, rng, id) {
                return;
            }
        }
    }

    /// Asks once for the cancellation of a job.
    fn cancel(&self, client: &ureq::Agent, rng: &mut SmallRng, id: JobId) {
        self.fleet
            .lock()
            .checker
            .jobs
            .get_mut(&id)
            .expect("the job was submitted")
            .cancel_requested = true;
        let call = JobCall {
            id,
            method: "DELETE",
            body: String::new(),
        };
        self.send_call(client, rng, call);
    }

    /// Queries the state of a job once. Returns whether it has ended.
    fn query(&self, client: &ureq::Agent, rng: &mut SmallRng, id: JobId) -> bool {
        let body = String::new();
        let answer = self.send_call(
            client,
            rng,
            JobCall {
                id,
                method: "GET",
                body,
            },
        );
        if let Some(answer) = answer {
            self.fleet.lock().checker.on_query_answer(id, &answer);
        }
        let fleet = self.fleet.lock();
        fleet.checker.jobs[&id].final_state.is_some()
    }

    /// Queries every accepted job until all have ended or `timeout` has passed.
    pub(crate) fn wait_for_open_jobs(&self, timeout: Duration) {
        let end = Instant::now() + timeout;
        let mut rng = SmallRng::seed_from_u64(0);
        let client = processes::client(CALLER_TIMEOUT);
        let open: Vec<JobId> = {
            let fleet = self.fleet.lock();
            let jobs = fleet.checker.jobs.iter();
            let open =
                jobs.filter(|(_, s)| s.accepted && !s.cancel_requested && s.final_state.is_none());
            open.map(|(id, _)| *id).collect()
        };
        for id in open {
            while !self.query(&client, &mut rng, id) && Instant::now() < end {
                thread::sleep(POLL_INTERVAL);
            }
        }
    }

    /// Sends configurations with increasing versions to random nodes, and reads them back.
    pub(crate) fn run_operator(&self, seed: u64) {
        let mut rng = SmallRng::seed_from_u64(seed);
        let client = processes::client(Duration::from_secs(1));
        let mut version = 1;
        while !self.is_stopped() {
            let machine = rng.random_range(1..=self.layout.nodes);
            let acknowledged = self.fleet.lock().checker.acknowledged_config_version;
            if rng.random_bool(0.5) {
                let body = wire::encode_config(&queue_config(version));
                if self.configure(&client, machine, body) == Some(200) {
                    let mut fleet = self.fleet.lock();
                    fleet.checker.acknowledged_config_version = version.max(acknowledged);
                    version += rng.random_range(1..4);
                }
            } else if let Some(read) = self.read_config(&client, machine)
                && read < acknowledged
            {
                let text = format!("CONFIG: read {read} after {acknowledged} was acknowledged");
                self.fleet.lock().checker.violations.push(text);
            }
            thread::sleep(Duration::from_millis(rng.random_range(50..500)));
        }
    }

    /// Evacuates one data centre after the other and revokes each evacuation, also the last one.
    pub(crate) fn run_evacuations(&self, seed: u64) {
        let mut rng = SmallRng::seed_from_u64(seed ^ EVACUATION_SEED);
        let client = processes::client(Duration::from_secs(1));
        while !self.is_stopped() {
            let name = DATA_CENTRES[rng.random_range(0..DATA_CENTRES.len())];
            if self.request_evacuation(&client, &mut rng, "POST", name) {
                self.fleet.lock().evacuate(name);
            }
            let end = Instant::now() + Duration::from_millis(rng.random_range(500..8_000));
            while Instant::now() < end && !self.is_stopped() {
                thread::sleep(OPERATOR_RETRY_INTERVAL);
            }
            self.fleet.lock().revoke_evacuation(name);
            self.request_evacuation(&client, &mut rng, "DELETE", name);
        }
    }

    /// Repeats a request at random nodes until it is acknowledged. Returns whether that was before the end of the test.
    fn request_evacuation(
        &self,
        client: &ureq::Agent,
        rng: &mut SmallRng,
        method: &str,
        name: &str,
    ) -> bool {
        let path = format!("{}{name}", figdeal_platform::operator::EVACUATION_PATH);
        // A revocation is repeated also after the end of the test, since the open jobs need the workers.
        while method == "DELETE" || !self.is_stopped() {
            let machine = rng.random_range(1..=self.layout.nodes);
            let to = self.layout.control(machine);
            let reply = processes::exchange(client, to, method, &path, String::new());
            match reply.map(|(status, _)| status) {
                Some(200) => return true,
                Some(status) if status < 500 => {
                    let text = format!("EVACUATION: {method} {name} answered with {status}");
                    self.fleet.lock().checker.violations.push(text);
                    return false;
                }
                _ => thread::sleep(OPERATOR_RETRY_INTERVAL),
            }
        }
        false
    }

    fn configure(&self, client: &ureq::Agent, machine: u8, body: String) -> Option<u16> {
        let to = self.layout.control(machine);
        let path = figdeal_platform::operator::CONFIG_PATH;
        Some(processes::exchange(client, to, "PUT", path, body)?.0)
    }

    /// Returns the configuration version that a node reports, if it answers with success.
    pub(crate) fn read_config(&self, client: &ureq::Agent, machine: u8) -> Option<u64> {
        let to = self.layout.control(machine);
        let path = figdeal_platform::operator::CONFIG_PATH;
        let (status, body) = processes::exchange(client, to, "GET", path, String::new())?;
        (status == 200)
            .then(|| wire::decode_config_version(&body))
            .flatten()
    }
}

/// An HTTP call for one job.
struct JobCall {
    id: JobId,
    method: &'static str,
    body: String,
}

fn queue_config(version: u64) -> QueueConfig {
    let policy = Policy {
        priority: 0,
        max_attempts: MAX_ATTEMPTS,
        goal_factor: 20.0,
        goal_slack_ms: 5_000,
    };
    let queue = Queue {
        name: "q".to_owned(),
        host: "caller".to_owned(),
        prefix: PATH_PREFIX.to_owned(),
        pool: POOL_NAME.to_owned(),
        policy,
    };
    QueueConfig {
        version,
        queues: vec![queue],
        text: String::new(),
    }
}

/// Returns a step without earlier ones. In seeds in which the kinds of the workers change, its tasks are small and leave
/// room, so that starts are always on their way, and most of them require a kind.
fn random_step(rng: &mut SmallRng, kinds_change: bool) -> Step {
    let requires = kinds_change && rng.random_bool(0.9);
    let (millicores, estimate_ms) = match kinds_change {
        true => (100..500, 20..60),
        false => (500..3_000, 20..250),
    };
    Step {
        count: rng.random_range(1..6),
        needs: Resources {
            millicores: rng.random_range(millicores),
            memory_mb: 64,
            gpus: 0,
        },
        estimate_ms: rng.random_range(estimate_ms),
        label: requires.then(|| kind_label(rng.random_range(0..KINDS))),
        ..Step::default()
    }
}

fn random_job(rng: &mut SmallRng, kinds_change: bool) -> JobSpec {
    let payload = format!("work-{}", rng.random::<u32>());
    let volatile = rng.random_bool(0.5);
    let steps = rng.random_range(1..3u16);
    let steps = (0..steps).map(|n| Step {
        depends_on: if n > 0 { vec![n - 1] } else { Vec::new() },
        ..random_step(rng, kinds_change)
    });
    JobSpec {
        payload,
        steps: steps.collect(),
        volatile,
    }
}
