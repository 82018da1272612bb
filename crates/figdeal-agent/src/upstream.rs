//! Calls to the upstream over HTTP, one thread for each slot.

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, mpsc},
    thread,
    time::Duration,
};

use figdeal_core::{dedup::TaskResult, id::TaskId};
use ureq::{
    config::Config,
    http::Uri,
    unversioned::{
        resolver::{ResolvedSocketAddrs, Resolver},
        transport::{DefaultConnector, NextTimeout},
    },
};

use crate::control::Event;

/// Time beyond the deadline in which a result is still awaited.
const CALL_GRACE: Duration = Duration::from_millis(300);
/// Largest result in bytes.
const MAX_RESULT: u64 = 1 << 20;

/// One task for the upstream.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) task: TaskId,
    pub(crate) kind: String,
    pub(crate) payload: Vec<u8>,
    pub(crate) address: SocketAddr,
    pub(crate) slots: u32,
    pub(crate) connections: u32,
    pub(crate) remaining: Duration,
}

/// Starts the thread that hands calls to a pool that grows to the number of slots.
pub(crate) fn spawn(events: mpsc::Sender<Event>, inbox: mpsc::Receiver<Call>) -> io::Result<()> {
    thread::Builder::new()
        .name("calls".to_owned())
        .spawn(move || {
            let (sender, receiver) = mpsc::channel::<Call>();
            let receiver = Arc::new(Mutex::new(receiver));
            let mut threads = 0;
            let mut http: Option<(u32, ureq::Agent)> = None;
            for call in inbox {
                let connections = call.connections.min(call.slots);
                if http.as_ref().is_none_or(|(n, _)| *n != connections) {
                    http = Some((connections, client(connections)));
                }
                let wanted = call.slots.min(call.connections);
                while threads < wanted {
                    let agent = http.as_ref().expect("the client was just made").1.clone();
                    let work = Arc::clone(&receiver);
                    let events = events.clone();
                    let run = move || serve_calls(&work, &agent, &events);
                    if let Err(e) = thread::Builder::new().name("call".to_owned()).spawn(run) {
                        log::error!("E206 cannot start a call thread: {e}");
                        break;
                    }
                    threads += 1;
                }
                if sender.send(call).is_err() {
                    return;
                }
            }
        })?;
    Ok(())
}

/// Takes the address from the URL. The default resolver starts a thread for each request that has a time limit, which
/// cost about 240 µs of CPU time for each task.
#[derive(Debug)]
struct Literal;

impl Resolver for Literal {
    fn resolve(
        &self,
        uri: &Uri,
        _: &Config,
        _: NextTimeout,
    ) -> std::result::Result<ResolvedSocketAddrs, ureq::Error> {
        let authority = uri.authority().map(|a| a.as_str().parse::<SocketAddr>());
        let Some(Ok(address)) = authority else {
            return Err(ureq::Error::HostNotFound);
        };
        let mut addresses = self.empty();
        addresses.push(address);
        Ok(addresses)
    }
}

fn client(connections: u32) -> ureq::Agent {
    let config = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .proxy(None)
        .max_idle_connections(connections as usize)
        .max_idle_connections_per_host(connections as usize)
        .build();
    ureq::Agent::with_parts(config, DefaultConnector::default(), Literal)
}

fn serve_calls(
    work: &Mutex<mpsc::Receiver<Call>>,
    agent: &ureq::Agent,
    events: &mpsc::Sender<Event>,
) {
    loop {
        let call = {
            let receiver = work
                .lock()
                .expect("no thread panics while it holds the lock");
            receiver.recv()
        };
        let Ok(call) = call else { return };
        let task = call.task;
        let event = match perform(agent, call) {
            Some(result) => Event::Finished(task, result),
            None => Event::Unreached(task),
        };
        if events.send(event).is_err() {
            return;
        }
    }
}

/// A broken call may have reached the upstream, so only a status tells that the task ran or failed. Returns `None` when
/// the upstream refused the connection, so that the task did not start.
fn perform(agent: &ureq::Agent, call: Call) -> Option<TaskResult> {
    let url = format!("http://{}/run/{}", call.address, call.kind);
    let response = agent
        .post(&url)
        .header("figdeal-submission", call.task.key.to_string())
        .header("figdeal-task", call.task.index.to_string())
        .header(
            "figdeal-deadline-ms",
            call.remaining.as_millis().to_string(),
        )
        .config()
        .timeout_global(Some(call.remaining + CALL_GRACE))
        .build()
        .send(&call.payload[..]);
    let mut response = match response {
        Ok(response) => response,
        Err(ureq::Error::Io(e)) if e.kind() == io::ErrorKind::ConnectionRefused => {
            log::info!("E215 call of {} at {}: {e}", call.task, call.address);
            return None;
        }
        Err(e) => {
            log::debug!("E207 call of {} at {}: {e}", call.task, call.address);
            return Some(TaskResult::Unknown);
        }
    };
    if !response.status().is_success() {
        return Some(TaskResult::Failed);
    }
    let body = response
        .body_mut()
        .with_config()
        .limit(MAX_RESULT)
        .read_to_vec();
    Some(match body {
        Ok(bytes) => TaskResult::Done(bytes),
        Err(_) => TaskResult::Unknown,
    })
}
