//! Load generator that submits jobs over HTTP, with an open loop or a closed loop.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use figdeal_core::time::UnixMillis;
use http_body_util::{BodyExt, Full};
use hyper::{Request, body::Bytes, header::CONTENT_TYPE};
use hyper_util::{
    client::legacy::{Client as HyperClient, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde_json::{Value, json};
use tokio::{
    runtime::{Builder, Runtime},
    task::{JoinHandle, JoinSet},
    time::sleep_until,
};

use super::{
    Result,
    cluster::{FLOOD_TEAM, TEAM},
    workload::{Job, KINDS},
};

/// Worker threads of the load generator.
const RUNTIME_THREADS: usize = 2;
/// Size of the payload of a task, including the run time at its start.
pub const PAYLOAD_BYTES: usize = 64;

/// HTTP client with a connection pool.
pub type Http = HyperClient<HttpConnector, Full<Bytes>>;

/// Outcome of one job.
#[derive(Debug, Clone, PartialEq)]
pub struct Reply {
    /// Outcome in the answer, or `lost` if there was no answer.
    pub outcome: String,
    /// Reason of a refusal, or the text of an error.
    pub reason: Option<String>,
    /// Number of results in the answer.
    pub results: usize,
    /// Time from the planned arrival of the job to the end of the answer.
    pub response: Duration,
    /// Time from the planned arrival to the start of the request; large values mean that the load generator is too
    /// slow.
    pub lag: Duration,
}

impl Reply {
    /// Whether the job is complete and has a result for every task.
    pub fn is_complete(&self, tasks: usize) -> bool {
        self.outcome == "complete" && self.results == tasks
    }
}

/// Load generator.
#[derive(Debug)]
pub struct Client {
    runtime: Runtime,
    http: Http,
}

/// Submissions in progress, in the order of their jobs.
#[derive(Debug)]
pub struct Pending {
    jobs: Vec<JoinHandle<Reply>>,
}

impl Client {
    /// Creates a client with its own threads.
    ///
    /// # Errors
    /// Fails when the threads cannot be started.
    pub fn new() -> Result<Client> {
        let runtime = Builder::new_multi_thread()
            .worker_threads(RUNTIME_THREADS)
            .thread_name("bench-client")
            .enable_all()
            .build()?;
        Ok(Client {
            runtime,
            http: http(),
        })
    }

    /// Submits each job at its arrival time after `start`, without waiting for earlier answers (open loop). `run` is a
    /// prefix of the job ids, so that they differ between runs.
    pub fn submit_all(
        &self,
        jobs: &Arc<Vec<Job>>,
        entries: &[SocketAddr],
        run: &str,
        start: Instant,
    ) -> Pending {
        let spawn = |i: usize| {
            let jobs = Arc::clone(jobs);
            let http = self.http.clone();
            let entry = entries[jobs[i].entry];
            let id = format!("{run}-{i}");
            self.runtime.spawn(async move {
                let due = start + jobs[i].at;
                sleep_until(due.into()).await;
                let body = body(&id, &jobs[i]);
                submit(&http, entry, "wait=true", body, due).await
            })
        };
        Pending {
            jobs: (0..jobs.len()).map(spawn).collect(),
        }
    }

    /// Waits until `until` for the answers of the jobs that `is_awaited` selects; the others are given up unless they
    /// are already answered.
    pub fn collect(
        &self,
        pending: Pending,
        is_awaited: impl Fn(usize) -> bool,
        until: Instant,
    ) -> Vec<Reply> {
        self.runtime.block_on(async {
            let mut replies = Vec::new();
            for (i, mut job) in pending.jobs.into_iter().enumerate() {
                let end = if is_awaited(i) { until } else { Instant::now() };
                let reply = tokio::time::timeout_at(end.into(), &mut job).await;
                job.abort();
                replies.push(match reply {
                    Ok(Ok(reply)) => reply,
                    _ => lost(String::from("no answer")),
                });
            }
            replies
        })
    }

    /// Submits copies of `job` for `time` with `workers` concurrent requests (closed loop). Returns the number of
    /// complete and of other answers.
    pub fn run_closed_loop(
        &self,
        job: &Job,
        entries: &[SocketAddr],
        run: &str,
        workers: usize,
        time: Duration,
    ) -> (u64, u64) {
        let end = Instant::now() + time;
        self.runtime.block_on(async {
            let mut set = JoinSet::new();
            for w in 0..workers {
                let http = self.http.clone();
                let entry = entries[w % entries.len()];
                let (job, run) = (job.clone(), run.to_owned());
                set.spawn(async move {
                    let (mut complete, mut other, mut n) = (0, 0, 0_u64);
                    while Instant::now() < end {
                        n += 1;
                        let body = body(&format!("{run}-{w}-{n}"), &job);
                        let reply = submit(&http, entry, "wait=true", body, Instant::now()).await;
                        if reply.is_complete(job.tasks.len()) {
                            complete += 1;
                        } else {
                            other += 1;
                        }
                    }
                    (complete, other)
                });
            }
            let mut sums = (0, 0);
            while let Some(counts) = set.join_next().await {
                let (complete, other) = counts.unwrap_or((0, 0));
                sums = (sums.0 + complete, sums.1 + other);
            }
            sums
        })
    }

    /// Submits one job and returns the first reply, without waiting for the end of the job.
    pub fn submit_only(&self, job: &Job, entry: SocketAddr, id: &str) -> Reply {
        let body = body(id, job);
        let now = Instant::now();
        self.runtime
            .block_on(submit(&self.http, entry, "wait=false", body, now))
    }

    /// Stops the threads.
    pub fn stop(self) {
        self.runtime.shutdown_background();
    }
}

/// Creates an HTTP client.
pub fn http() -> Http {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    HyperClient::builder(TokioExecutor::new()).build(connector)
}

fn body(id: &str, job: &Job) -> Bytes {
    let kind = &KINDS[job.kind];
    let tasks: Vec<Value> = job
        .tasks
        .iter()
        .map(|task| {
            let mut value = json!({
                "kind": kind.name,
                "payload": format!("{:<PAYLOAD_BYTES$}", format!("{} {}", task.run_ms, kind.name)),
            });
            if let Some(ms) = task.declared_ms {
                value["run_ms"] = json!(ms);
            }
            value
        })
        .collect();
    let team = if job.is_flood { FLOOD_TEAM } else { TEAM };
    let body = json!({
        "id": id, "team": team, "created_ms": UnixMillis::now().0, "tasks": tasks,
    });
    Bytes::from(body.to_string())
}

/// Submits a job; `due` is its planned arrival time.
pub async fn submit(
    http: &Http,
    entry: SocketAddr,
    query: &str,
    body: Bytes,
    due: Instant,
) -> Reply {
    let sent = Instant::now();
    let request = Request::post(format!("http://{entry}/v1/jobs?{query}"))
        .header(CONTENT_TYPE, "application/json")
        .body(Full::new(body))
        .expect("the request is well-formed");
    let answer = async {
        let response = http.request(request).await.map_err(|e| e.to_string())?;
        let body = response.into_body().collect().await;
        let body = body.map_err(|e| e.to_string())?.to_bytes();
        serde_json::from_slice::<Value>(&body).map_err(|e| e.to_string())
    };
    let answer = answer.await;
    let (response, lag) = (due.elapsed(), sent.saturating_duration_since(due));
    match answer {
        Ok(value) => Reply {
            outcome: value["outcome"].as_str().unwrap_or("none").to_owned(),
            reason: value["reason"]
                .as_str()
                .or(value["error"].as_str())
                .map(str::to_owned),
            results: value["results"].as_array().map_or(0, Vec::len),
            response,
            lag,
        },
        Err(e) => lost(e),
    }
}

fn lost(reason: String) -> Reply {
    Reply {
        outcome: "lost".to_owned(),
        reason: Some(reason),
        results: 0,
        response: Duration::ZERO,
        lag: Duration::ZERO,
    }
}
