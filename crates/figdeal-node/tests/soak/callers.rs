//! Callers and the operator of a run. They keep their connections and hand jobs in again as the platform says.

use std::{
    sync::atomic::{AtomicBool, AtomicU64, Ordering},
    thread,
    time::{Duration, Instant},
};

use figdeal_platform::stand_in as wire;
use figdeal_queue::{
    job::{JobId, JobSpec, JobState, Policy, Queue, QueueConfig, Resources, Step},
    message::Answer,
};
use figdeal_stand_in::{
    check::Sent,
    server::{POOL, Shared},
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::processes::{self, Layout};

/// Time after which a caller hands a job in again.
const RESEND: Duration = Duration::from_millis(1_300);
/// Time for which a caller waits for an answer.
const PATIENCE: Duration = Duration::from_secs(3);
/// Time between two questions for the state of a stored job.
const POLL: Duration = Duration::from_millis(150);
/// Tries after which a caller gives a job up.
const TRIES: u32 = 6;
/// Failed runs of a task after which its job has failed.
const ATTEMPTS: u32 = 3;
const PREFIX: &str = "/q/";

/// What all callers share.
#[derive(Debug)]
pub(crate) struct Load {
    pub(crate) layout: Layout,
    pub(crate) yard: Shared,
    pub(crate) stop: AtomicBool,
    pub(crate) next: AtomicU64,
}

impl Load {
    fn stopped(&self) -> bool {
        self.stop.load(Ordering::Relaxed)
    }

    fn ask(&self, client: &ureq::Agent, rng: &mut SmallRng, call: Ask) -> Option<Answer> {
        let Ask { id, method, body } = call;
        let machine = rng.random_range(1..=self.layout.nodes);
        let path = format!("{PREFIX}{id}");
        let to = self.layout.front(machine);
        let (status, text) = processes::exchange(client, to, method, &path, body)?;
        wire::answer(status, &text)
    }

    /// Hands jobs in until the run stops.
    pub(crate) fn call(&self, seed: u64) {
        let mut rng = SmallRng::seed_from_u64(seed);
        let client = processes::client(PATIENCE);
        while !self.stopped() {
            let id = JobId(self.next.fetch_add(1, Ordering::Relaxed));
            let spec = draw(&mut rng);
            let volatile = spec.volatile;
            let body = wire::job(&spec);
            let sent = Sent::new(spec, ATTEMPTS);
            self.yard.lock().check.jobs.insert(id, sent);
            let accepted = self.submit(&client, &mut rng, id, &body, volatile);
            if accepted && !volatile {
                self.follow(&client, &mut rng, id);
            }
            thread::sleep(Duration::from_millis(rng.random_range(5..60)));
        }
    }

    fn submit(
        &self,
        client: &ureq::Agent,
        rng: &mut SmallRng,
        id: JobId,
        body: &str,
        volatile: bool,
    ) -> bool {
        for _ in 0..TRIES {
            let body = body.to_owned();
            let answer = self.ask(
                client,
                rng,
                Ask {
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
            self.yard.lock().check.answered(id, &answer);
            match answer {
                Answer::OutcomeUnknown => thread::sleep(RESEND),
                answer => return answer == Answer::Accepted,
            }
        }
        false
    }

    /// Asks for a stored job until it has ended, and cancels some.
    fn follow(&self, client: &ureq::Agent, rng: &mut SmallRng, id: JobId) {
        let cancel = rng.random_bool(0.05);
        if cancel {
            self.yard
                .lock()
                .check
                .jobs
                .get_mut(&id)
                .expect("handed in")
                .cancelled = true;
            let body = String::new();
            self.ask(
                client,
                rng,
                Ask {
                    id,
                    method: "DELETE",
                    body,
                },
            );
            return;
        }
        // A caller that stops early leaves the job to the end of the run.
        for _ in 0..rng.random_range(1..8) {
            thread::sleep(POLL);
            if self.look(client, rng, id) {
                return;
            }
        }
    }

    /// Asks for the state of a job once. Returns whether it has ended.
    fn look(&self, client: &ureq::Agent, rng: &mut SmallRng, id: JobId) -> bool {
        let body = String::new();
        let answer = self.ask(
            client,
            rng,
            Ask {
                id,
                method: "GET",
                body,
            },
        );
        if let Some(answer) = answer {
            self.yard.lock().check.shown(id, &answer);
        }
        let yard = self.yard.lock();
        yard.check.jobs[&id].ended.is_some()
    }

    /// Asks for every stored job that was accepted until all have ended or `limit` has passed.
    pub(crate) fn settle(&self, limit: Duration) {
        let end = Instant::now() + limit;
        let mut rng = SmallRng::seed_from_u64(0);
        let client = processes::client(PATIENCE);
        let open: Vec<JobId> = {
            let yard = self.yard.lock();
            let jobs = yard.check.jobs.iter();
            let open = jobs.filter(|(_, s)| s.accepted && !s.cancelled && s.ended.is_none());
            open.map(|(id, _)| *id).collect()
        };
        for id in open {
            while !self.look(&client, &mut rng, id) && Instant::now() < end {
                thread::sleep(POLL);
            }
        }
    }

    /// Sends configurations with rising versions to random nodes, and reads them back.
    pub(crate) fn operate(&self, seed: u64) {
        let mut rng = SmallRng::seed_from_u64(seed);
        let client = processes::client(Duration::from_secs(1));
        let mut version = 1;
        while !self.stopped() {
            let machine = rng.random_range(1..=self.layout.nodes);
            let known = self.yard.lock().check.acknowledged;
            if rng.random_bool(0.5) {
                let body = wire::config(&queues(version));
                if self.configure(&client, machine, body) == Some(200) {
                    let mut yard = self.yard.lock();
                    yard.check.acknowledged = version.max(known);
                    version += rng.random_range(1..4);
                }
            } else if let Some(read) = self.read_config(&client, machine)
                && read < known
            {
                let text = format!("CONFIG: read {read} after {known} was acknowledged");
                self.yard.lock().check.broken.push(text);
            }
            thread::sleep(Duration::from_millis(rng.random_range(50..500)));
        }
    }

    fn configure(&self, client: &ureq::Agent, machine: u8, body: String) -> Option<u16> {
        let to = self.layout.control(machine);
        let path = figdeal_platform::operator::CONFIG;
        Some(processes::exchange(client, to, "PUT", path, body)?.0)
    }

    /// The version that a node reads back, if it is sure.
    pub(crate) fn read_config(&self, client: &ureq::Agent, machine: u8) -> Option<u64> {
        let to = self.layout.control(machine);
        let path = figdeal_platform::operator::CONFIG;
        let (status, body) = processes::exchange(client, to, "GET", path, String::new())?;
        (status == 200).then(|| wire::version(&body)).flatten()
    }
}

/// A request for one job.
struct Ask {
    id: JobId,
    method: &'static str,
    body: String,
}

fn queues(version: u64) -> QueueConfig {
    let policy = Policy {
        priority: 0,
        max_attempts: ATTEMPTS,
        goal_factor: 20.0,
        goal_slack_ms: 5_000,
    };
    let queue = Queue {
        name: "q".to_owned(),
        host: "caller".to_owned(),
        prefix: PREFIX.to_owned(),
        pool: POOL.to_owned(),
        policy,
    };
    QueueConfig {
        version,
        queues: vec![queue],
        text: String::new(),
    }
}

fn draw(rng: &mut SmallRng) -> JobSpec {
    let payload = format!("work-{}", rng.random::<u32>());
    let volatile = rng.random_bool(0.5);
    let steps = rng.random_range(1..3u16);
    let steps = (0..steps).map(|n| Step {
        count: rng.random_range(1..6),
        needs: Resources {
            millicores: rng.random_range(500..3_000),
            memory_mb: 64,
            gpus: 0,
        },
        estimate_ms: rng.random_range(20..250),
        depends_on: if n > 0 { vec![n - 1] } else { Vec::new() },
        ..Step::default()
    });
    JobSpec {
        payload,
        steps: steps.collect(),
        volatile,
    }
}
