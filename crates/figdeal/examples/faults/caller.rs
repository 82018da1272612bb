//! A caller that behaves as the design expects: it retries with the same id through another entry until the answer is
//! final.

use std::{
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use figdeal::submission::{JobRequest, TaskRequest};
use figdeal_core::time::UnixMillis;
use rand::{Rng, rngs::SmallRng};
use serde_json::Value;

use crate::fleet::{ENTRIES, Fleet};

/// Time after its deadline within which every request must be answered (1.3 of the design).
pub(crate) const ANSWER_MARGIN: Duration = Duration::from_secs(1);
/// Time beyond `ANSWER_MARGIN` for which a caller waits, so that the delay of late answers is measured.
const LISTEN_MARGIN: Duration = Duration::from_secs(4);
/// Time after the deadline at which a caller without a final answer gives up.
const GIVE_UP_AFTER: Duration = Duration::from_secs(4);
/// Delay before a caller retries in milliseconds.
const RETRY_DELAY_MS: std::ops::Range<u64> = 50..250;

/// A kind of the sample configuration and the properties of its jobs.
struct Kind {
    name: &'static str,
    team: &'static str,
    max_tasks: u16,
    run_ms: std::ops::Range<u64>,
    deadline_ms: u64,
    /// Percentage of the jobs.
    share: u32,
}

const KINDS: [Kind; 3] = [
    Kind {
        name: "swap-check",
        team: "parishes",
        max_tasks: 4,
        run_ms: 50..300,
        deadline_ms: 3_000,
        share: 50,
    },
    Kind {
        name: "reminder",
        team: "schools",
        max_tasks: 20,
        run_ms: 50..150,
        deadline_ms: 10_000,
        share: 35,
    },
    Kind {
        name: "rota-build",
        team: "choirs",
        max_tasks: 40,
        run_ms: 100..1_000,
        deadline_ms: 30_000,
        share: 15,
    },
];

/// A job with its deadline.
#[derive(Debug, Clone)]
pub(crate) struct Job {
    pub(crate) request: JobRequest,
    pub(crate) deadline: Duration,
}

impl Job {
    /// Creates a job of a kind whose tasks run for the given times in milliseconds. All payloads are different.
    pub(crate) fn new(id: &str, kind: usize, runs: impl IntoIterator<Item = u64>) -> Job {
        let kind = &KINDS[kind];
        let tasks = runs.into_iter().enumerate().map(|(i, ms)| TaskRequest {
            kind: kind.name.to_owned(),
            payload: format!("{ms} {id} {i}"),
            deadline_ms: Some(kind.deadline_ms),
            idempotent: false,
            size: 1,
            run_ms: None,
        });
        Job {
            request: JobRequest {
                id: id.to_owned(),
                team: kind.team.to_owned(),
                created_ms: UnixMillis::now().0,
                tasks: tasks.collect(),
            },
            deadline: Duration::from_millis(kind.deadline_ms),
        }
    }

    /// Creates a random job of the reference load.
    pub(crate) fn random(id: &str, rng: &mut SmallRng) -> Job {
        let draw = rng.random_range(0..100);
        let mut sum = 0;
        let index = KINDS.iter().position(|kind| {
            sum += kind.share;
            draw < sum
        });
        let index = index.expect("the shares add up to 100");
        let count = rng.random_range(1..=KINDS[index].max_tasks);
        let runs: Vec<u64> = (0..count)
            .map(|_| rng.random_range(KINDS[index].run_ms.clone()))
            .collect();
        Job::new(id, index, runs)
    }

    /// Returns the key of the submission, as it is written in the journals.
    pub(crate) fn key(&self) -> String {
        self.request.key().to_string()
    }
}

/// The reply to one request.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum Reply {
    /// An HTTP answer.
    Answer(u16, Value),
    /// The connection could not be opened or broke before the answer.
    Broken(String),
    /// No answer arrived while the caller waited.
    TimedOut,
}

impl Reply {
    /// Returns the outcome of an answer; empty for all other replies.
    pub(crate) fn outcome(&self) -> &str {
        match self {
            Reply::Answer(_, body) => body["outcome"].as_str().unwrap_or_default(),
            _ => "",
        }
    }
}

/// Everything that a caller observed about one submission.
#[derive(Debug)]
pub(crate) struct Record {
    pub(crate) job: Job,
    /// The final answer, or the last reply if there is none.
    pub(crate) last: Reply,
    /// Number of answers that were `undecided`.
    pub(crate) undecided: u32,
    /// Number of requests whose connection failed.
    pub(crate) broken: u32,
    /// Number of requests without an answer.
    pub(crate) timeouts: u32,
    /// Maximum time that a request took beyond its deadline.
    pub(crate) late: Duration,
    /// Time from the first request to the last reply.
    pub(crate) total: Duration,
    pub(crate) is_final: bool,
}

/// Returns a client that opens a connection for each request, so that no request fails on a connection that the entry
/// has closed.
pub(crate) fn http_client(limit: Duration) -> ureq::Agent {
    ureq::Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(limit))
        .max_idle_connections(0)
        .proxy(None)
        .build()
        .into()
}

/// Sends one request about a job; returns the reply and its duration. Only a submission (`POST`) has a body.
pub(crate) fn call(fleet: &Fleet, entry: usize, method: &str, job: &Job) -> (Reply, Duration) {
    let client = http_client(job.deadline + ANSWER_MARGIN + LISTEN_MARGIN);
    let request = &job.request;
    let path = format!("/v1/jobs/{}/{}", request.team, request.id);
    let start = Instant::now();
    let response = match method {
        "POST" => {
            let body = serde_json::to_vec(request).expect("a job is serializable");
            client.post(fleet.url(entry, "/v1/jobs")).send(&body[..])
        }
        "DELETE" => client.delete(fleet.url(entry, &path)).call(),
        _ => client
            .get(fleet.url(entry, &format!("{path}?wait=true")))
            .call(),
    };
    let text = response.and_then(|mut response| {
        let status = response.status().as_u16();
        let text = response
            .body_mut()
            .with_config()
            .limit(64 << 20)
            .read_to_string()?;
        Ok((status, text))
    });
    let reply = match text {
        Ok((status, text)) => match serde_json::from_str(&text) {
            Ok(body) => Reply::Answer(status, body),
            Err(e) => Reply::Broken(format!("no JSON: {e}")),
        },
        Err(ureq::Error::Timeout(_)) => Reply::TimedOut,
        Err(e) => Reply::Broken(e.to_string()),
    };
    (reply, start.elapsed())
}

/// Submits a job and retries, each time through another entry, until the answer is final or the caller gives up.
pub(crate) fn submit(fleet: &Arc<Fleet>, job: Job, rng: &mut SmallRng) -> Record {
    let start = Instant::now();
    let mut entry = rng.random_range(0..ENTRIES);
    let (mut undecided, mut broken, mut timeouts) = (0, 0, 0);
    let mut late = Duration::ZERO;
    loop {
        let (reply, took) = call(fleet, entry, "POST", &job);
        late = late.max(took.saturating_sub(job.deadline));
        let is_final = match &reply {
            Reply::Answer(504, _) => {
                undecided += 1;
                false
            }
            Reply::Answer(..) => true,
            Reply::Broken(_) => {
                broken += 1;
                false
            }
            Reply::TimedOut => {
                timeouts += 1;
                false
            }
        };
        if is_final || start.elapsed() > job.deadline + GIVE_UP_AFTER {
            return Record {
                job,
                last: reply,
                undecided,
                broken,
                timeouts,
                late,
                total: start.elapsed(),
                is_final,
            };
        }
        thread::sleep(Duration::from_millis(rng.random_range(RETRY_DELAY_MS)));
        entry = (entry + rng.random_range(1..ENTRIES)) % ENTRIES;
    }
}
