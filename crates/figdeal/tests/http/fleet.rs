//! Test fixture: an entry with agents and stand-in upstreams in this process, and a client that sends raw HTTP.

use std::{
    io::{Read, Write},
    net::{Ipv4Addr, SocketAddr, TcpStream},
    thread,
    time::Duration,
};

use figdeal::{
    entry::{Entry, Options, Serving},
    rules::Rules,
    stand_in::{Behaviour, StandIn},
};
use figdeal_agent::agent::{self, Agent};
use figdeal_config::{Share, section::Objective};
use figdeal_core::{id::EntryId, time::UnixMillis};
use serde_json::{Value, json};
use tokio::runtime::Runtime;

/// Maximum body size of the test entry in bytes.
pub(crate) const MAX_BODY: usize = 1 << 20;
/// Maximum number of tasks in a job of the test entry.
pub(crate) const MAX_TASKS: usize = 20;
/// Slots of each upstream.
const SLOTS: u32 = 4;
/// Interval at which a condition is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// An entry with agents and stand-ins. Those that are not stopped end with the runtime.
pub(crate) struct Fleet {
    pub(crate) entry: Entry<Serving>,
    _agents: Vec<Agent<agent::Serving>>,
    pub(crate) upstreams: Vec<StandIn>,
    _runtime: Runtime,
}

/// An answer to one request.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) head: String,
    pub(crate) text: String,
}

impl Answer {
    pub(crate) fn json(&self) -> Value {
        serde_json::from_str(&self.text).unwrap_or_else(|e| panic!("{e}: {self:?}"))
    }

    /// Returns the status and a field of the body.
    pub(crate) fn field(&self, name: &str) -> (u16, String) {
        let value = self.json()[name].clone();
        (self.status, value.as_str().unwrap_or("").to_owned())
    }

    pub(crate) fn outcome(&self) -> (u16, String) {
        self.field("outcome")
    }
}

impl Fleet {
    /// Starts an entry with `count` upstreams and waits until it is ready and knows them.
    pub(crate) fn start(count: usize) -> Fleet {
        Fleet::with_rules(count, rules())
    }

    pub(crate) fn with_rules(count: usize, mut rules: Rules) -> Fleet {
        let runtime = Runtime::new().unwrap();
        rules.claim_limits.max_skew = Duration::from_millis(50);
        let options = Options::new(EntryId(0), any_port(), any_port()).with_rules(rules);
        let entry = Entry::start(options, runtime.handle()).unwrap();
        let mut agents = Vec::new();
        let mut upstreams = Vec::new();
        for i in 0..count {
            let options = agent::Options::new(format!("upstream-{i}"), any_port(), any_port())
                .with_entries(vec![entry.peer_address.to_string()]);
            let agent = Agent::start(options, runtime.handle()).unwrap();
            let upstream =
                StandIn::start(any_port(), agent.http, SLOTS, None, runtime.handle()).unwrap();
            agents.push(agent);
            upstreams.push(upstream);
        }
        let fleet = Fleet {
            entry,
            _agents: agents,
            upstreams,
            _runtime: runtime,
        };
        fleet.wait_until(|f| f.get("/readyz").status == 200);
        fleet.wait_until(|f| {
            f.get("/v1/status").json()["agents"]
                .as_array()
                .unwrap()
                .len()
                == count
        });
        fleet
    }

    /// Drains and stops the entry.
    pub(crate) fn stop(self) {
        let limit = Duration::from_secs(30);
        self.entry.drain().finish(Duration::ZERO, limit).unwrap();
    }

    pub(crate) fn wait_until(&self, is_met: impl Fn(&Fleet) -> bool) {
        while !is_met(self) {
            thread::sleep(POLL_INTERVAL);
        }
    }

    pub(crate) fn set_behaviour(&self, behaviour: Behaviour) {
        self.upstreams
            .iter()
            .for_each(|u| u.set_behaviour(behaviour));
    }

    pub(crate) fn get(&self, path: &str) -> Answer {
        self.send("GET", path, b"")
    }

    pub(crate) fn submit(&self, job: &Value) -> Answer {
        self.post(job.to_string())
    }

    pub(crate) fn post(&self, body: impl AsRef<[u8]>) -> Answer {
        self.send("POST", "/v1/jobs", body.as_ref())
    }

    pub(crate) fn send(&self, method: &str, path: &str, body: &[u8]) -> Answer {
        let mut stream = self.connect();
        let length = body.len();
        let head = format!(
            "{method} {path} HTTP/1.1\r\nHost: entry\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n"
        );
        stream.write_all(&[head.as_bytes(), body].concat()).unwrap();
        read_answer(stream)
    }

    pub(crate) fn connect(&self) -> TcpStream {
        TcpStream::connect(self.entry.http_address).unwrap()
    }
}

pub(crate) fn read_answer(mut stream: TcpStream) -> Answer {
    let mut text = String::new();
    stream.read_to_string(&mut text).unwrap();
    let (head, body) = text
        .split_once("\r\n\r\n")
        .unwrap_or_else(|| panic!("no head: {text:?}"));
    let status = head.split(' ').nth(1).unwrap().parse().unwrap();
    Answer {
        status,
        head: head.to_lowercase(),
        text: body.to_owned(),
    }
}

fn any_port() -> SocketAddr {
    (Ipv4Addr::LOCALHOST, 0).into()
}

pub(crate) fn rules() -> Rules {
    let objective = Objective {
        in_time: Share(990_000),
        latency: Duration::from_secs(20),
    };
    let mut rules = Rules::default()
        .with_kind("reminder", 1, 1, Duration::from_secs(30))
        .with_team("choir", 1_000)
        .with_objective("reminder", None, objective);
    rules.max_body_bytes = MAX_BODY;
    rules.max_job_tasks = MAX_TASKS;
    rules
}

/// Returns a job of the team `choir` whose tasks run for the given times in milliseconds.
pub(crate) fn job(id: &str, runs: &[u64]) -> Value {
    let tasks: Vec<Value> = runs
        .iter()
        .map(|ms| json!({ "kind": "reminder", "payload": format!("{ms} tea") }))
        .collect();
    json!({ "id": id, "team": "choir", "created_ms": UnixMillis::now().0, "tasks": tasks })
}
