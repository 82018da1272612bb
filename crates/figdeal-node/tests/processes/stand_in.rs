//! A stand-in for a worker of the platform on loopback.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use serde_json::{Value, json};

/// Run time of every task.
const WORK: Duration = Duration::from_millis(30);
/// Time between two looks at the runs while a call waits for an end.
const PAUSE: Duration = Duration::from_millis(5);
/// Time between two heartbeats.
const BEAT: Duration = Duration::from_millis(300);

#[derive(Debug, Default)]
struct State {
    fence: u64,
    running: BTreeMap<String, (u64, Instant)>,
    ended: Vec<(u64, String, u64)>,
    next: u64,
    /// Every task that has run, and those that have run twice.
    seen: BTreeSet<String>,
    twice: BTreeSet<String>,
}

impl State {
    fn advance(&mut self) {
        let due = self
            .running
            .iter()
            .filter(|(_, (_, end))| *end <= Instant::now());
        let due: Vec<String> = due.map(|(task, _)| task.clone()).collect();
        for task in due {
            let (run, _) = self.running.remove(&task).unwrap();
            self.next += 1;
            self.ended.push((self.next, task, run));
        }
    }

    fn start(&mut self, body: &Value) -> (u16, Value) {
        let fence = body["fencing_token"].as_u64().unwrap();
        if fence < self.fence {
            return (409, json!({"reason": "fence"}));
        }
        self.fence = fence;
        let task = body["task"].as_str().unwrap().to_owned();
        if !self.seen.insert(task.clone()) {
            self.twice.insert(task.clone());
        }
        self.running
            .insert(task, (body["run"].as_u64().unwrap(), Instant::now() + WORK));
        (200, json!({}))
    }

    fn hold(&mut self, body: &Value) -> (u16, Value) {
        let fence = body["fencing_token"].as_u64().unwrap();
        if fence < self.fence {
            return (409, json!({"reason": "fence"}));
        }
        self.fence = fence;
        let taken = body["seen_upto"].as_u64().unwrap();
        self.ended.retain(|(number, ..)| *number > taken);
        let running: Vec<Value> = self
            .running
            .iter()
            .map(|(task, (run, _))| json!([task, run, "", 0, 0]))
            .collect();
        let ended: Vec<Value> = self
            .ended
            .iter()
            .map(|(n, task, run)| json!([n, task, run, "done", ""]))
            .collect();
        (200, json!({"running": running, "ended": ended}))
    }
}

/// A worker that carries out what its agent orders.
#[derive(Debug, Clone)]
pub(crate) struct StandIn(Arc<Mutex<State>>);

impl StandIn {
    /// Serves calls on `address` and sends heartbeats to the agent at `control`.
    pub(crate) fn start(address: SocketAddr, control: SocketAddr) -> StandIn {
        let stand_in = StandIn(Arc::default());
        let server = Arc::new(tiny_http::Server::http(address).unwrap());
        let began = Instant::now();
        for _ in 0..8 {
            let (server, stand_in) = (Arc::clone(&server), stand_in.clone());
            thread::spawn(move || {
                while let Ok(request) = server.recv() {
                    stand_in.serve(request, began);
                }
            });
        }
        thread::spawn(move || {
            for sequence in 1_u64.. {
                let beat = json!({
                    "service": "pool", "address": address.to_string(), "zone": "a", "version": "v1",
                    "slots": 8, "state": "ready", "capacity": {"cpu": 8000, "mem_mb": 8000},
                    "labels": ["a"], "sequence": sequence, "born": 1,
                });
                let url = format!("http://{control}/figdeal/instances/i-1");
                // The agent may not listen yet; the next heartbeat tries again.
                let _ = ureq::put(&url).send(beat.to_string());
                thread::sleep(BEAT);
            }
        });
        stand_in
    }

    fn serve(&self, mut request: tiny_http::Request, began: Instant) {
        let mut text = String::new();
        request.as_reader().read_to_string(&mut text).unwrap();
        let body: Value = serde_json::from_str(&text).unwrap();
        let wait = Duration::from_millis(body["wait_ms"].as_u64().unwrap_or(0));
        let end = Instant::now() + wait;
        let (status, mut answer) = loop {
            let mut state = self.0.lock().unwrap();
            state.advance();
            match request.url() {
                "/figdeal/run-start" => break state.start(&body),
                "/figdeal/run-stop" => break (200, json!({})),
                _ if state.ended.is_empty() && Instant::now() < end => {}
                _ => break state.hold(&body),
            }
            drop(state);
            thread::sleep(PAUSE);
        };
        answer["clock_ms"] = json!(began.elapsed().as_millis() as u64 + 1);
        answer["born"] = json!(1);
        let response = tiny_http::Response::from_string(answer.to_string());
        // A caller that has given up does not take the answer.
        let _ = request.respond(response.with_status_code(status));
    }

    /// Tasks that have run, and those that have run twice.
    pub(crate) fn runs(&self) -> (usize, BTreeSet<String>) {
        let state = self.0.lock().unwrap();
        (state.seen.len(), state.twice.clone())
    }
}
