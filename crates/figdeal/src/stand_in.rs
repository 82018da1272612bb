//! Stand-in upstream for the demo, the benchmark and the fault tests.

use std::{
    collections::HashMap,
    io::{self, Write},
    net::{SocketAddr, TcpListener},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use figdeal_agent::http_server::{self as http, HttpReply, HttpRequest};
use figdeal_limits::ClientLimits;
use tokio::{runtime::Handle, sync::watch, time::sleep};
use tokio_util::sync::CancellationToken;

/// Time between two announcements: a third of the time after which an agent considers its upstream gone.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of connections that a stand-in accepts.
pub const MAX_CONNECTIONS: u32 = 60;
/// Maximum task size that a stand-in accepts: the number of cores of a worker.
pub const MAX_TASK_SIZE: u32 = 64;
/// Maximum size of a payload.
const MAX_PAYLOAD_BYTES: usize = 8 << 20;

/// How a stand-in handles tasks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Behaviour {
    /// Runs every task for the time stated in its payload.
    #[default]
    Normal,
    /// Fails every task at once.
    FailAll,
    /// Accepts tasks but never answers.
    Hang,
}

/// A task that was started at an upstream.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct TaskStart {
    /// Key of the submission, as the agent sends it.
    pub submission: String,
    /// Index of the task in the job.
    pub index: u16,
}

/// A running stand-in that announces itself to its agent until it deregisters or stops.
#[derive(Debug)]
pub struct StandIn {
    /// Address at which it accepts requests.
    pub address: SocketAddr,
    agent: SocketAddr,
    shared: Arc<StandInState>,
    registration: watch::Sender<bool>,
    stop: CancellationToken,
}

#[derive(Debug)]
struct StandInState {
    journal: Mutex<HashMap<TaskStart, u32>>,
    journal_file: Option<Mutex<std::fs::File>>,
    behaviour: Mutex<Behaviour>,
    running: AtomicU32,
    peak: AtomicU32,
}

impl StandIn {
    /// Starts a stand-in with `slots` slots on `address`, which announces itself to the agent at `agent`. Each start of
    /// a task is written to `file`, if there is one, before the task runs.
    ///
    /// # Errors
    /// Fails when the address cannot be bound.
    pub fn start(
        address: SocketAddr,
        agent: SocketAddr,
        slots: u32,
        file: Option<std::fs::File>,
        runtime: &Handle,
    ) -> io::Result<StandIn> {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let shared = Arc::new(StandInState {
            journal: Mutex::new(HashMap::new()),
            journal_file: file.map(Mutex::new),
            behaviour: Mutex::new(Behaviour::Normal),
            running: AtomicU32::new(0),
            peak: AtomicU32::new(0),
        });
        let stop = CancellationToken::new();
        let _runtime = runtime.enter();
        let client_limits = ClientLimits {
            connections: MAX_CONNECTIONS as usize,
            connections_per_address: MAX_CONNECTIONS as usize,
            ..ClientLimits::default()
        };
        let limits = http::ServerLimits::start(&client_limits, MAX_PAYLOAD_BYTES);
        let state = Arc::clone(&shared);
        let handler = move |request| Arc::clone(&state).serve(request);
        runtime.spawn(http::serve(listener, limits, stop.clone(), handler));
        let (registration, view) = watch::channel(true);
        runtime.spawn(announce_periodically(
            agent,
            address,
            slots,
            view,
            stop.clone(),
        ));
        Ok(StandIn {
            address,
            agent,
            shared,
            registration,
            stop,
        })
    }

    /// Changes the behaviour for tasks that start from now on.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        *self
            .shared
            .behaviour
            .lock()
            .expect("the lock is not poisoned") = behaviour;
    }

    /// Deregisters this upstream from the agent; returns when the agent has confirmed.
    ///
    /// # Errors
    /// Fails when the agent does not confirm.
    pub fn deregister(&self) -> Result<(), ureq::Error> {
        self.registration.send_replace(false);
        deregister(self.agent)
    }

    /// Returns every started task with the number of its starts.
    pub fn journal(&self) -> HashMap<TaskStart, u32> {
        self.shared
            .journal
            .lock()
            .expect("the lock is not poisoned")
            .clone()
    }

    /// Returns the maximum number of tasks that ran at the same time.
    pub fn peak(&self) -> u32 {
        self.shared.peak.load(Ordering::Relaxed)
    }

    /// Stops at once, without deregistering from the agent.
    pub fn stop(&self) {
        self.stop.cancel();
    }
}

impl StandInState {
    async fn serve(self: Arc<Self>, request: HttpRequest) -> HttpReply {
        let header = |name| {
            request
                .headers
                .get(name)
                .and_then(|v| v.to_str().ok())
                .unwrap_or_default()
        };
        let submission = header("figdeal-submission").to_owned();
        let index = header("figdeal-task").parse().unwrap_or(u16::MAX);
        let Ok(payload) = &request.body else {
            return HttpReply::new(400, "text/plain", "no body");
        };
        if let Err(e) = self.record(TaskStart { submission, index }) {
            return HttpReply::new(500, "text/plain", e.to_string());
        }
        let running = self.running.fetch_add(1, Ordering::Relaxed) + 1;
        self.peak.fetch_max(running, Ordering::Relaxed);
        let behaviour = *self.behaviour.lock().expect("the lock is not poisoned");
        match behaviour {
            Behaviour::Normal => sleep(run_time(payload)).await,
            Behaviour::FailAll => {}
            Behaviour::Hang => std::future::pending().await,
        }
        self.running.fetch_sub(1, Ordering::Relaxed);
        let status = if behaviour == Behaviour::FailAll {
            500
        } else {
            200
        };
        HttpReply::new(status, "application/octet-stream", payload.to_vec())
    }

    fn record(&self, start: TaskStart) -> io::Result<()> {
        if let Some(file) = &self.journal_file {
            let line = format!("{} {}\n", start.submission, start.index);
            file.lock()
                .expect("the lock is not poisoned")
                .write_all(line.as_bytes())?;
        }
        let mut journal = self.journal.lock().expect("the lock is not poisoned");
        *journal.entry(start).or_default() += 1;
        Ok(())
    }
}

/// Parses the run time at the start of a payload in milliseconds, for example `120 quote`.
fn run_time(payload: &[u8]) -> Duration {
    let text = std::str::from_utf8(payload).unwrap_or_default();
    let ms = text
        .split(' ')
        .next()
        .and_then(|word| word.parse().ok())
        .unwrap_or(0);
    Duration::from_millis(ms)
}

async fn announce_periodically(
    agent: SocketAddr,
    address: SocketAddr,
    slots: u32,
    mut registration: watch::Receiver<bool>,
    stop: CancellationToken,
) {
    loop {
        let is_registered = *registration.borrow_and_update();
        let sent = tokio::task::spawn_blocking(move || match is_registered {
            true => announce(agent, address, slots),
            false => deregister(agent),
        });
        if let Ok(Err(e)) = sent.await {
            log::info!("E320 cannot announce the upstream to its agent: {e}; agent={agent}");
        }
        tokio::select! {
            () = stop.cancelled() => return,
            changed = registration.changed() => if changed.is_err() { return },
            () = sleep(ANNOUNCE_INTERVAL) => {}
        }
    }
}

fn announce(agent: SocketAddr, address: SocketAddr, slots: u32) -> Result<(), ureq::Error> {
    let body = serde_json::json!({
        "address": address, "slots": slots, "connections": MAX_CONNECTIONS, "size": MAX_TASK_SIZE,
    });
    ureq::post(format!("http://{agent}/v1/announce")).send(body.to_string())?;
    Ok(())
}

fn deregister(agent: SocketAddr) -> Result<(), ureq::Error> {
    ureq::delete(format!("http://{agent}/v1/announce")).call()?;
    Ok(())
}
