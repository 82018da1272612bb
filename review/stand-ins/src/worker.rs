//! Stand-in for a runner, as the pages describe it: lease, fencing tokens, runs, ends. It doesn't guard its capacity.
//!
//! The specification of a job says how long its tasks take, in the form `ms=900`.

use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use serde_json::{Value, json};

use crate::{
    http::{self, Call, Request, Response},
    record::Record,
};

/// Longest lease, `max_hold_ms`.
const MAX_HOLD_MS: u64 = 1_000;
/// Interval of the liveness reports, `heartbeat_ms`.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_500);
/// Interval at which due ends and an expired lease are noticed.
const CHECK_INTERVAL: Duration = Duration::from_millis(2);
/// Number of ends that one answer lists.
const MAX_LISTED_ENDS: usize = 500;
/// Service that all runners belong to.
pub const SERVICE: &str = "desk";
/// Capacity of a runner in thousandths of a core.
pub const CAPACITY: u64 = 16_000;

struct Run {
    run: u64,
    start: Instant,
    length: Duration,
}

/// An ended run: its number, task, run and how it ended.
type End = (u64, String, u64, &'static str);

struct State {
    name: String,
    start: Instant,
    born_ms: u64,
    lease_until_ms: u64,
    fence: u64,
    runs: BTreeMap<String, Run>,
    ends: Vec<End>,
    last_end: u64,
    /// Highest run of each task that was stopped or has ended here.
    past: BTreeMap<String, u64>,
    /// All starts: task, run, moment.
    starts: Vec<(String, u64, Instant)>,
    /// Tasks that have ended `done`.
    done: Vec<String>,
    record: Record,
}

impl State {
    fn clock_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    fn end(&mut self, task: String, run: u64, how: &'static str) {
        self.record
            .line(format!("{} ended {task} run {run} {how}", self.name));
        let past = self.past.entry(task.clone()).or_default();
        *past = run.max(*past);
        self.last_end += 1;
        if how == "done" {
            self.done.push(task.clone());
        }
        self.ends.push((self.last_end, task, run, how));
    }

    /// Ends what is due, and everything if the lease has expired.
    fn advance(&mut self) {
        let expired = self.clock_ms() >= self.lease_until_ms;
        let due = |run: &Run| run.start.elapsed() >= run.length;
        let ended: Vec<String> = self
            .runs
            .iter()
            .filter(|(_, run)| expired || due(run))
            .map(|(task, _)| task.clone())
            .collect();
        for task in ended {
            let run = self.runs.remove(&task).unwrap();
            let how = if due(&run) { "done" } else { "lapsed" };
            self.end(task, run.run, how);
        }
    }

    fn extend_lease(&mut self, until_ms: u64) {
        let until_ms = until_ms.min(self.clock_ms() + MAX_HOLD_MS);
        self.lease_until_ms = self.lease_until_ms.max(until_ms);
    }

    fn status(&self) -> String {
        let running: Vec<Value> = self
            .runs
            .iter()
            .map(|(task, run)| {
                let percent = 100 * run.start.elapsed().as_millis() / run.length.as_millis().max(1);
                json!([task, run.run, "", percent.min(99) as u64, 0])
            })
            .collect();
        let ended: Vec<Value> = self
            .ends
            .iter()
            .take(MAX_LISTED_ENDS)
            .map(|(number, task, run, how)| json!([number, task, run, how, ""]))
            .collect();
        json!({"clock_ms": self.clock_ms(), "born": self.born_ms, "running": running, "ended": ended}).to_string()
    }

    fn run_start(&mut self, body: &Value) -> Response {
        let text = |name: &str| body[name].as_str().unwrap_or_default().to_owned();
        let (task, run) = (text("task"), body["run"].as_u64().unwrap_or(0));
        let until_ms = body["until_ms"].as_u64().unwrap_or(0);
        if self.runs.get(&task).is_some_and(|known| known.run == run) {
            self.extend_lease(until_ms);
            return self.reply(200, None);
        }
        if until_ms <= self.clock_ms() {
            return self.reply(409, Some("late"));
        }
        let is_old =
            self.past.get(&task).is_some_and(|past| run <= *past) || self.runs.contains_key(&task);
        self.extend_lease(until_ms);
        if is_old {
            return self.reply(409, Some("old"));
        }
        let specification = text("specification");
        let length = specification
            .split("ms=")
            .nth(1)
            .and_then(|ms| ms.parse().ok())
            .unwrap_or(60);
        self.record.line(format!(
            "{} started {task} run {run}, takes {length} ms",
            self.name
        ));
        self.starts.push((task.clone(), run, Instant::now()));
        let length = Duration::from_millis(length);
        self.runs.insert(
            task,
            Run {
                run,
                start: Instant::now(),
                length,
            },
        );
        self.reply(200, None)
    }

    fn run_stop(&mut self, body: &Value) -> Response {
        let task = body["task"].as_str().unwrap_or_default().to_owned();
        let run = body["run"].as_u64().unwrap_or(0);
        let past = self.past.entry(task.clone()).or_default();
        *past = run.max(*past);
        if self.runs.get(&task).is_some_and(|known| known.run == run) {
            self.runs.remove(&task);
            self.end(task, run, "stopped");
        }
        self.reply(200, None)
    }

    fn reply(&self, status: u16, reason: Option<&str>) -> Response {
        let body = match reason {
            Some(reason) => json!({"clock_ms": self.clock_ms(), "reason": reason}),
            None => json!({"clock_ms": self.clock_ms()}),
        };
        Response {
            status,
            body: body.to_string(),
        }
    }
}

/// A stand-in runner.
#[derive(Clone)]
pub struct Worker {
    id: String,
    state: Arc<Mutex<State>>,
}

impl Worker {
    /// Starts a runner that takes calls at `address` and reports to its agent at `control`.
    pub fn start(
        number: usize,
        address: SocketAddr,
        control: SocketAddr,
        record: &Record,
    ) -> io::Result<Worker> {
        let born_ms = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap()
            .as_millis() as u64;
        let id = format!("i-{number:08x}");
        let state = State {
            name: format!("worker-{number}"),
            start: Instant::now(),
            born_ms,
            lease_until_ms: 0,
            fence: 0,
            runs: BTreeMap::new(),
            ends: Vec::new(),
            last_end: 0,
            past: BTreeMap::new(),
            starts: Vec::new(),
            done: Vec::new(),
            record: record.clone(),
        };
        let worker = Worker {
            id,
            state: Arc::new(Mutex::new(state)),
        };
        let server = worker.clone();
        http::serve(address, move |request| server.handle(request))?;
        let ticker = worker.clone();
        thread::spawn(move || {
            loop {
                ticker.lock().advance();
                thread::sleep(CHECK_INTERVAL);
            }
        });
        let reporter = worker.clone();
        thread::spawn(move || reporter.report(address, control, born_ms));
        Ok(worker)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    fn report(&self, address: SocketAddr, control: SocketAddr, born_ms: u64) {
        for sequence in 1_u64.. {
            let clock_ms = self.lock().clock_ms();
            let body = json!({
                "service": SERVICE, "address": address.to_string(), "zone": "tamarindo", "version": "v1", "slots": 8,
                "state": "ready", "cold_remaining_ms": 0, "labels": ["a", "r1-1"], "clock_ms": clock_ms,
                "capacity": {"cpu": CAPACITY, "mem_mb": 32_768, "gpu": 0}, "sequence": sequence, "born": born_ms,
            });
            let sent = http::call(&Call {
                to: control,
                method: "PUT",
                host: "control",
                path: &format!("/figdeal/instances/{}", self.id),
                body: &body.to_string(),
                timeout: Duration::from_secs(1),
            });
            // Until the agent listens, the report is repeated soon; later it is sent at its interval.
            let pause = if sent.is_some() {
                HEARTBEAT_INTERVAL
            } else {
                Duration::from_millis(50)
            };
            thread::sleep(pause);
        }
    }

    fn handle(&self, request: Request) -> Response {
        let body: Value = match serde_json::from_slice(&request.body) {
            Ok(body) if request.method == "POST" => body,
            _ => {
                return Response {
                    status: 400,
                    body: String::new(),
                };
            }
        };
        let wait = Duration::from_millis(body["wait_ms"].as_u64().unwrap_or(0));
        {
            let mut state = self.lock();
            if request.expected_instance.is_some_and(|id| id != self.id) {
                return state.reply(421, None);
            }
            state.advance();
            let fence = body["fencing_token"].as_u64().unwrap_or(0);
            if fence < state.fence {
                return state.reply(409, Some("fence"));
            }
            state.fence = fence;
            match request.path.as_str() {
                "/figdeal/run-start" => return state.run_start(&body),
                "/figdeal/run-stop" => return state.run_stop(&body),
                "/figdeal/hold" => {
                    if let Some(until_ms) = body["until_ms"].as_u64() {
                        state.extend_lease(until_ms);
                    }
                    let seen = body["seen_upto"].as_u64().unwrap_or(0);
                    state.ends.retain(|(number, ..)| *number > seen);
                }
                _ => {
                    return Response {
                        status: 404,
                        body: String::new(),
                    };
                }
            }
        }
        let until = Instant::now() + wait;
        loop {
            {
                let mut state = self.lock();
                state.advance();
                if !state.ends.is_empty() || Instant::now() >= until {
                    return Response {
                        status: 200,
                        body: state.status(),
                    };
                }
            }
            thread::sleep(CHECK_INTERVAL);
        }
    }

    /// Returns the tasks that run now.
    pub fn running(&self) -> Vec<String> {
        let mut state = self.lock();
        state.advance();
        state.runs.keys().cloned().collect()
    }

    /// Returns the tasks that have ended `done`.
    pub fn done(&self) -> Vec<String> {
        self.lock().done.clone()
    }

    /// Returns all starts so far: task, run, moment.
    pub fn starts(&self) -> Vec<(String, u64, Instant)> {
        self.lock().starts.clone()
    }
}
