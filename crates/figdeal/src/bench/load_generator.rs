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

/// Number of threads of the load generator.
const RUNTIME_THREADS: usize = 2;
/// Minimum size of a task's payload: the run time in milliseconds and the name of the kind, padded with blanks.
pub const PAYLOAD_BYTES: usize = 64;

/// HTTP client with a connection pool.
pub type HttpClient = HyperClient<HttpConnector, Full<Bytes>>;

/// Answer to one submission, with its times.
#[derive(Debug, Clone, PartialEq)]
pub struct Reply {
    /// Outcome in the answer, `none` if the answer has none, or `lost` if there was no valid answer in time.
    pub outcome: String,
    /// Reason of a refusal, or the text of an error.
    pub reason: Option<String>,
    /// Number of results in the answer.
    pub results: usize,
    /// Time from the planned arrival of the job to the end of the answer; zero if the answer is lost.
    pub response_time: Duration,
    /// Time from the planned arrival to the start of the request; large values mean that the load generator is too
    /// slow. Zero if the answer is lost.
    pub lag: Duration,
}

impl Reply {
    /// Whether the job is complete and has a result for every task.
    pub fn is_complete(&self, tasks: usize) -> bool {
        self.outcome == "complete" && self.results == tasks
    }
}

/// Load generator with its own threads and HTTP connections.
#[derive(Debug)]
pub struct LoadGenerator {
    runtime: Runtime,
    http: HttpClient,
}

/// Submissions in progress, in the order of their jobs.
#[derive(Debug)]
pub struct Pending {
    replies: Vec<JoinHandle<Reply>>,
}

impl LoadGenerator {
    /// Creates a load generator and starts its threads.
    ///
    /// # Errors
    /// Fails when the threads cannot be started.
    pub fn new() -> Result<LoadGenerator> {
        let runtime = Builder::new_multi_thread()
            .worker_threads(RUNTIME_THREADS)
            .thread_name("bench-client")
            .enable_all()
            .build()?;
        Ok(LoadGenerator {
            runtime,
            http: new_http_client(),
        })
    }

    /// Submits each job at its arrival time after `start`, without waiting for earlier answers (open loop). `run` is a
    /// prefix of the job ids, so that they differ between runs.
    pub fn submit_all(
        &self,
        jobs: &Arc<Vec<Job>>,
        entry_addresses: &[SocketAddr],
        id_prefix: &str,
        start: Instant,
    ) -> Pending {
        let spawn = |i: usize| {
            let jobs = Arc::clone(jobs);
            let http = self.http.clone();
            let entry = entry_addresses[jobs[i].entry];
            let id = format!("{id_prefix}-{i}");
            self.runtime.spawn(async move {
                let due = start + jobs[i].at;
                sleep_until(due.into()).await;
                let body = body(&id, &jobs[i]);
                submit(&http, entry, "wait=true", body, due).await
            })
        };
        Pending {
            replies: (0..jobs.len()).map(spawn).collect(),
        }
    }

    /// Waits until `until` for the answers of the jobs that `is_awaited` selects; the others are given up unless they
    /// have been answered when their turn comes.
    pub fn collect(
        &self,
        pending: Pending,
        is_awaited: impl Fn(usize) -> bool,
        until: Instant,
    ) -> Vec<Reply> {
        self.runtime.block_on(async {
            let mut replies = Vec::new();
            for (i, mut handle) in pending.replies.into_iter().enumerate() {
                let end = if is_awaited(i) { until } else { Instant::now() };
                let reply = tokio::time::timeout_at(end.into(), &mut handle).await;
                handle.abort();
                replies.push(match reply {
                    Ok(Ok(reply)) => reply,
                    _ => lost(String::from("no answer")),
                });
            }
            replies
        })
    }

    /// Submits copies of `job` for `time` with `concurrency` concurrent requests (closed loop). Returns the number of
    /// complete jobs and of all other requests.
    pub fn run_closed_loop(
        &self,
        job: &Job,
        entry_addresses: &[SocketAddr],
        id_prefix: &str,
        concurrency: usize,
        time: Duration,
    ) -> (u64, u64) {
        let end = Instant::now() + time;
        self.runtime.block_on(async {
            let mut set = JoinSet::new();
            for w in 0..concurrency {
                let http = self.http.clone();
                let entry = entry_addresses[w % entry_addresses.len()];
                let (job, id_prefix) = (job.clone(), id_prefix.to_owned());
                set.spawn(async move {
                    let (mut complete, mut other, mut n) = (0, 0, 0_u64);
                    while Instant::now() < end {
                        n += 1;
                        let body = body(&format!("{id_prefix}-{w}-{n}"), &job);
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
                // The requests of a panicked task are not counted.
                let (complete, other) = counts.unwrap_or((0, 0));
                sums = (sums.0 + complete, sums.1 + other);
            }
            sums
        })
    }

    /// Submits one job and returns the answer to the submission, without waiting for the end of the job.
    pub fn submit_only(&self, job: &Job, entry: SocketAddr, id: &str) -> Reply {
        let body = body(id, job);
        let now = Instant::now();
        self.runtime
            .block_on(submit(&self.http, entry, "wait=false", body, now))
    }

    /// Stops the threads without waiting for requests in progress.
    pub fn stop(self) {
        self.runtime.shutdown_background();
    }
}

/// Creates an HTTP client.
pub fn new_http_client() -> HttpClient {
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
            // The stand-in upstream reads the true run time from the payload; `run_ms` is what the caller declares.
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
    http: &HttpClient,
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
    let (response_time, lag) = (due.elapsed(), sent.saturating_duration_since(due));
    match answer {
        Ok(value) => Reply {
            outcome: value["outcome"].as_str().unwrap_or("none").to_owned(),
            reason: value["reason"]
                .as_str()
                .or(value["error"].as_str())
                .map(str::to_owned),
            results: value["results"].as_array().map_or(0, Vec::len),
            response_time,
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
        response_time: Duration::ZERO,
        lag: Duration::ZERO,
    }
}
