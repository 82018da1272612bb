//! A sound runner: lease, fencing, runs and their ends as PROTOCOL.md tells them.
//!
//! The specification of a task says what it does: `run MS` ends `done` after that many milliseconds, and `feed` ends
//! `done` when the feed that all such tasks read is closed.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    net::{SocketAddr, TcpListener},
    sync::{Arc, Condvar, Mutex, MutexGuard},
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use serde_json::{Value, json};

use crate::{
    http::{self, OpenConnections, Request},
    record::Record,
};

/// Most ends in one answer.
const MAX_LISTED_ENDS: usize = 500;
/// `max_hold_ms` of the settings.
const MAX_HOLD_MS: u64 = 1_000;
/// How long it takes to kill what runs once the lease has lapsed: `stop_ms` of the settings.
const KILL_DELAY: Duration = Duration::from_millis(50);
/// `heartbeat_ms` of the settings.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_500);
/// Pause before a liveness report that got no 2xx is sent again.
const HEARTBEAT_RETRY: Duration = Duration::from_millis(200);

/// What a runner offers.
#[derive(Debug, Clone)]
pub struct Offer {
    pub name: String,
    pub service: String,
    pub zone: String,
    pub labels: Vec<String>,
    pub cpu: u64,
    /// Whether the clock is 2% slow, as much as it may be.
    pub is_slow: bool,
}

#[derive(Debug, Clone)]
struct Run {
    number: u64,
    started: Instant,
    /// `None` for a task that ends when its feed is closed.
    ends: Option<Instant>,
    /// When the run is gone, if the lease has lapsed.
    killed_at: Option<Instant>,
}

#[derive(Debug, Clone)]
struct End {
    number: u64,
    task: String,
    run: u64,
    how: &'static str,
    at: Instant,
}

/// A start that the runner has carried out.
#[derive(Debug, Clone)]
pub struct Started {
    pub task: String,
    pub at: Instant,
}

/// A run, from its start to its end.
#[derive(Debug, Clone)]
pub struct Interval {
    pub task: String,
    pub runner: String,
    pub start: Instant,
    /// `None` while it is at work.
    pub end: Option<Instant>,
}

/// An end that a call has taken note of.
#[derive(Debug, Clone)]
pub struct Noted {
    pub task: String,
    pub run: u64,
    pub how: &'static str,
    pub ended_at: Instant,
    /// Whether the lease lapsed between the end and the note.
    pub lapsed: bool,
}

#[derive(Debug)]
struct State {
    /// Unix millisecond of the start of this lifetime.
    born_ms: u64,
    /// Origin of the clock of this lifetime.
    origin: Instant,
    /// Number of the last liveness report of this lifetime.
    sequence: u64,
    lease_until: Option<Instant>,
    lapses: Vec<Instant>,
    fence: u64,
    running: BTreeMap<String, Run>,
    ended: VecDeque<End>,
    last_end: u64,
    /// Highest run of a task that has ended or was stopped.
    past: HashMap<String, u64>,
    is_unhealthy: bool,
    feed_closed_at: Option<Instant>,
    /// No run ends before this time, other than by the feed.
    next_due: Option<Instant>,
    started: Vec<Started>,
    noted: Vec<Noted>,
    done: Vec<String>,
    runs: Vec<Interval>,
}

impl State {
    /// State of a lifetime that starts now.
    fn new() -> State {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
        State {
            born_ms: unix.as_millis() as u64,
            origin: Instant::now(),
            sequence: 0,
            lease_until: None,
            lapses: Vec::new(),
            fence: 0,
            running: BTreeMap::new(),
            ended: VecDeque::new(),
            last_end: 0,
            past: HashMap::new(),
            is_unhealthy: false,
            feed_closed_at: None,
            next_due: None,
            started: Vec::new(),
            noted: Vec::new(),
            done: Vec::new(),
            runs: Vec::new(),
        }
    }

    fn end_interval(&mut self, task: &str, at: Instant) {
        let open = self.runs.iter_mut().rev();
        let mut open = open.filter(|run| run.task == task && run.end.is_none());
        if let Some(run) = open.next() {
            run.end = Some(at);
        }
    }
}

/// A runner that can be shared between threads.
#[derive(Debug, Clone)]
pub struct Runner {
    offer: Offer,
    id: String,
    state: Arc<(Mutex<State>, Condvar)>,
    connections: OpenConnections,
    record: Record,
}

impl Runner {
    /// Starts a runner that accepts calls at `address` and reports to its agent at `control`.
    pub fn start(
        offer: Offer,
        address: SocketAddr,
        control: SocketAddr,
        record: &Record,
    ) -> Runner {
        let listener = TcpListener::bind(address).expect("the runner can listen");
        let mut runner = Runner {
            id: format!("i-{}", offer.name),
            offer,
            state: Arc::new((Mutex::new(State::new()), Condvar::new())),
            connections: OpenConnections::default(),
            record: record.clone(),
        };
        let server = runner.clone();
        runner.connections = http::serve(listener, move |request| server.handle(&request));
        let beats = runner.clone();
        thread::spawn(move || beats.send_heartbeats(address, control));
        runner
    }

    /// Crashes the runner and starts it again at once under its id. What ran is gone, and nothing is known of before.
    pub fn restart(&self) {
        let mut state = self.lock();
        let now = Instant::now();
        for task in state.running.keys().cloned().collect::<Vec<_>>() {
            self.record
                .write_at(now, format!("runner {} loses task={task}", self.offer.name));
            state.end_interval(&task, now);
        }
        let former = std::mem::replace(&mut *state, State::new());
        state.started = former.started;
        state.noted = former.noted;
        state.done = former.done;
        state.runs = former.runs;
        self.connections.close();
        drop(state);
        self.state.1.notify_all();
        self.record.write(format!(
            "runner {} has crashed and started again",
            self.offer.name
        ));
    }

    pub fn name(&self) -> &str {
        &self.offer.name
    }

    /// From now on, the runner rejects each start with 503, or accepts starts again.
    pub fn set_unhealthy(&self, is_unhealthy: bool) {
        self.state.0.lock().unwrap().is_unhealthy = is_unhealthy;
        self.record.write(format!(
            "runner {} unhealthy={is_unhealthy}",
            self.offer.name
        ));
    }

    /// Closes the feed that `feed` tasks read: all of them end `done`.
    pub fn close_feed(&self) {
        let mut state = self.lock();
        state.feed_closed_at = Some(Instant::now());
        drop(state);
        drop(self.lock());
        self.state.1.notify_all();
    }

    pub fn started(&self) -> Vec<Started> {
        self.lock().started.clone()
    }

    pub fn noted(&self) -> Vec<Noted> {
        self.lock().noted.clone()
    }

    /// Returns all runs so far.
    pub fn runs(&self) -> Vec<Interval> {
        self.lock().runs.clone()
    }

    /// Returns the tasks at work.
    pub fn running(&self) -> Vec<String> {
        self.lock().running.keys().cloned().collect()
    }

    /// Returns the tasks of which a run has ended `done`.
    pub fn ended_done(&self) -> Vec<String> {
        self.lock().done.clone()
    }

    pub fn running_count(&self) -> usize {
        self.lock().running.len()
    }

    /// Returns whether an agent renews the lease.
    pub fn has_lease(&self) -> bool {
        self.lock().lease_until.is_some()
    }

    /// Returns how much the clock advances in a second.
    fn rate(&self) -> f64 {
        if self.offer.is_slow { 0.98 } else { 1.0 }
    }

    fn clock_ms(&self, state: &State, at: Instant) -> u64 {
        let elapsed = at.saturating_duration_since(state.origin);
        (elapsed.as_secs_f64() * self.rate() * 1_000.0) as u64
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        let mut state = self.state.0.lock().unwrap();
        self.advance(&mut state, Instant::now());
        state
    }

    /// Ends the runs that are done and, once the lease has lapsed, all others.
    fn advance(&self, state: &mut State, now: Instant) {
        let limit = state.lease_until.unwrap_or(now).min(now);
        let closed = state.feed_closed_at;
        let is_due = closed.is_some() || state.next_due.is_some_and(|due| due <= now);
        let has_lapsed = state.lease_until.is_some_and(|until| until <= now);
        if !is_due && !has_lapsed {
            return;
        }
        let mut ended: Vec<(Instant, String, &'static str)> = Vec::new();
        for (task, run) in &state.running {
            let ends = run.ends.or(closed.map(|at| at.max(run.started)));
            if let Some(at) = run.killed_at {
                ended.extend((at <= now).then(|| (at, task.clone(), "lapsed")));
            } else if let Some(at) = ends.filter(|at| *at <= limit) {
                ended.push((at, task.clone(), "done"));
            }
        }
        ended.sort();
        for (at, task, how) in ended {
            self.end(state, &task, how, at);
        }
        if let Some(lapsed_at) = state.lease_until.filter(|until| *until <= now) {
            state.lease_until = None;
            state.lapses.push(lapsed_at);
            self.record.write_at(
                lapsed_at,
                format!("runner {} lease lapsed", self.offer.name),
            );
            for run in state.running.values_mut() {
                run.killed_at = Some(lapsed_at + KILL_DELAY);
            }
        }
        let due = |run: &Run| run.killed_at.or(run.ends);
        state.next_due = state.running.values().filter_map(due).min();
    }

    fn end(&self, state: &mut State, task: &str, how: &'static str, at: Instant) {
        let Some(run) = state.running.remove(task) else {
            return;
        };
        state.last_end += 1;
        state.end_interval(task, at);
        if how == "done" {
            state.done.push(task.to_owned());
        }
        let past = state.past.entry(task.to_owned()).or_default();
        *past = run.number.max(*past);
        let number = state.last_end;
        self.record.write_at(
            at,
            format!(
                "runner {} ended end={number} task={task} run={} how={how}",
                self.offer.name, run.number
            ),
        );
        state.ended.push_back(End {
            number,
            task: task.to_owned(),
            run: run.number,
            how,
            at,
        });
    }

    /// Returns the response to a call, or `None` if the runner has crashed meanwhile.
    fn handle(&self, request: &Request) -> Option<(u16, String)> {
        let now = Instant::now();
        let mut state = self.lock();
        let (clock, born) = (self.clock_ms(&state, now), state.born_ms);
        let answer = |status: u16, reason: &str| {
            let body = match reason {
                "" => json!({"clock_ms": clock, "born": born}),
                _ => json!({"clock_ms": clock, "born": born, "reason": reason}),
            };
            Some((status, body.to_string()))
        };
        if request.method != "POST" {
            return answer(405, "");
        }
        let expected = request.expected_instance.as_deref();
        if expected.is_some_and(|id| id != self.id) {
            return answer(421, "");
        }
        let Ok(body) = serde_json::from_slice::<Value>(&request.body) else {
            return answer(400, "");
        };
        let number = |name: &str| body.get(name).and_then(Value::as_u64);
        let text = |name: &str| body.get(name).and_then(Value::as_str).unwrap_or_default();
        let fence = number("fencing_token").unwrap_or(0);
        if fence < state.fence {
            return answer(409, "fence");
        }
        match request.path.as_str() {
            "/figdeal/run-start" => {
                let (Some(run), Some(until)) = (number("run"), number("until_ms")) else {
                    return answer(400, "");
                };
                if state.is_unhealthy {
                    let task = text("task");
                    self.record.write(format!(
                        "runner {} answers 503 task={task} run={run}",
                        self.offer.name
                    ));
                    return answer(503, "");
                }
                state.fence = fence;
                self.start_run(
                    &mut state,
                    now,
                    text("task"),
                    run,
                    until,
                    text("specification"),
                )
                .map_or_else(|reason| answer(409, reason), |()| answer(200, ""))
            }
            "/figdeal/run-stop" => {
                state.fence = fence;
                let (task, run) = (text("task"), number("run").unwrap_or(0));
                self.record.write(format!(
                    "runner {} told to stop task={task} run={run}",
                    self.offer.name
                ));
                let past = state.past.entry(task.to_owned()).or_default();
                *past = run.max(*past);
                if state.running.get(task).is_some_and(|r| r.number == run) {
                    self.end(&mut state, task, "stopped", now);
                }
                drop(state);
                self.state.1.notify_all();
                answer(200, "")
            }
            "/figdeal/hold" => {
                state.fence = fence;
                self.note_ends(&mut state, number("seen_upto").unwrap_or(0));
                if let Some(until) = number("until_ms") {
                    self.extend_lease(&mut state, now, until);
                }
                let wait = Duration::from_millis(number("wait_ms").unwrap_or(0).min(2_000));
                self.answer_hold(state, now + wait)
            }
            _ => answer(404, ""),
        }
    }

    fn extend_lease(&self, state: &mut State, now: Instant, until_ms: u64) {
        let until_ms = until_ms.min(self.clock_ms(state, now) + MAX_HOLD_MS);
        let until = state.origin + Duration::from_secs_f64(until_ms as f64 / 1_000.0 / self.rate());
        if until > now {
            state.lease_until = Some(state.lease_until.map_or(until, |l| l.max(until)));
        }
    }

    fn start_run(
        &self,
        state: &mut State,
        now: Instant,
        task: &str,
        run: u64,
        until_ms: u64,
        specification: &str,
    ) -> Result<(), &'static str> {
        let present = state.running.get(task);
        if present.is_some_and(|r| r.number == run && r.killed_at.is_none()) {
            return Ok(());
        }
        if until_ms <= self.clock_ms(state, now) {
            return Err("late");
        }
        self.extend_lease(state, now, until_ms);
        let past = state.past.get(task).copied().unwrap_or(0);
        if state.running.contains_key(task) || run <= past {
            return Err("old");
        }
        let ends = specification
            .strip_prefix("run ")
            .and_then(|ms| ms.parse().ok())
            .map(|ms| now + Duration::from_millis(ms));
        self.record.write_at(
            now,
            format!("runner {} started task={task} run={run}", self.offer.name),
        );
        state.next_due = [state.next_due, ends].into_iter().flatten().min();
        state.running.insert(
            task.to_owned(),
            Run {
                number: run,
                started: now,
                ends,
                killed_at: None,
            },
        );
        state.runs.push(Interval {
            task: task.to_owned(),
            runner: self.offer.name.clone(),
            start: now,
            end: None,
        });
        state.started.push(Started {
            task: task.to_owned(),
            at: now,
        });
        Ok(())
    }

    fn note_ends(&self, state: &mut State, seen_upto: u64) {
        let mut count = 0;
        while state.ended.front().is_some_and(|e| e.number <= seen_upto) {
            let end = state.ended.pop_front().unwrap();
            let lapsed = state.lapses.iter().any(|at| *at >= end.at);
            state.noted.push(Noted {
                task: end.task,
                run: end.run,
                how: end.how,
                ended_at: end.at,
                lapsed,
            });
            count += 1;
        }
        if count > 0 {
            self.record.write(format!(
                "runner {} ends taken note of seen_upto={seen_upto} count={count}",
                self.offer.name
            ));
        }
    }

    /// Answers once an end is listed or the wait is over.
    fn answer_hold(
        &self,
        mut state: MutexGuard<'_, State>,
        wait_end: Instant,
    ) -> Option<(u16, String)> {
        let origin = state.origin;
        loop {
            if state.origin != origin {
                return None;
            }
            let now = Instant::now();
            self.advance(&mut state, now);
            if !state.ended.is_empty() || now >= wait_end {
                break;
            }
            let wake = [state.next_due, state.lease_until]
                .into_iter()
                .flatten()
                .min();
            let until = wake.map_or(wait_end, |at| at.min(wait_end));
            let wait = until
                .saturating_duration_since(now)
                .max(Duration::from_millis(1));
            state = self.state.1.wait_timeout(state, wait).unwrap().0;
        }
        let now = Instant::now();
        let running = state.running.iter().map(|(task, run)| {
            let percent = run.ends.map_or(50, |ends| {
                let whole = (ends - run.started).as_millis().max(1);
                (now - run.started).as_millis() * 100 / whole
            });
            json!([task, run.number, "", percent.min(100) as u64, 0])
        });
        let ended = state.ended.iter().take(MAX_LISTED_ENDS);
        let ended = ended.map(|e| json!([e.number, e.task, e.run, e.how, ""]));
        let body = json!({
            "clock_ms": self.clock_ms(&state, now),
            "born": state.born_ms,
            "running": running.collect::<Vec<_>>(),
            "ended": ended.collect::<Vec<_>>(),
        });
        Some((200, body.to_string()))
    }

    fn send_heartbeats(&self, address: SocketAddr, control: SocketAddr) {
        let path = format!("/figdeal/instances/{}", self.id);
        loop {
            let (sequence, clock, born) = {
                let mut state = self.lock();
                state.sequence += 1;
                let clock = self.clock_ms(&state, Instant::now());
                (state.sequence, clock, state.born_ms)
            };
            let body = json!({
                "service": self.offer.service, "address": address.to_string(), "zone": self.offer.zone,
                "version": "v1", "slots": 8, "state": "ready", "cold_remaining_ms": 0,
                "capacity": {"cpu": self.offer.cpu, "mem_mb": 131_072, "gpu": 0},
                "labels": self.offer.labels, "clock_ms": clock,
                "sequence": sequence, "born": born, "machine": format!("m-{}", self.offer.name),
            });
            let timeout = Duration::from_secs(1);
            let body = body.to_string();
            let host = control.to_string();
            let answer = http::exchange(control, "PUT", &host, &path, timeout, body.as_bytes());
            let acked = answer.is_ok_and(|(status, _)| (200..300).contains(&status));
            thread::sleep(if acked {
                HEARTBEAT_INTERVAL
            } else {
                HEARTBEAT_RETRY
            });
        }
    }
}
