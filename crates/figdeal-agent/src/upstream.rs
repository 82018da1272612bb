//! HTTP calls to the upstream, from a pool of threads with one thread per concurrent call.

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

use crate::event_loop::Event;

/// Time after the deadline for which a call still waits for its result.
const REPLY_GRACE: Duration = Duration::from_millis(300);
/// Largest result of a task. A larger one counts as unknown.
const MAX_RESULT_BYTES: u64 = 1 << 20;

/// Call that runs one task at the upstream.
#[derive(Debug)]
pub(crate) struct UpstreamCall {
    pub(crate) task: TaskId,
    pub(crate) kind: String,
    pub(crate) payload: Vec<u8>,
    pub(crate) address: SocketAddr,
    /// Number of tasks that the upstream runs concurrently.
    pub(crate) slots: u32,
    /// Number of connections that the upstream accepts.
    pub(crate) connections: u32,
    /// Time left until the deadline of the task.
    pub(crate) time_left: Duration,
}

/// Starts the thread that distributes calls to a pool of threads. The pool grows to the number of slots or connections,
/// whichever is smaller.
pub(crate) fn spawn(
    events: mpsc::Sender<Event>,
    calls: mpsc::Receiver<UpstreamCall>,
) -> io::Result<()> {
    thread::Builder::new()
        .name("calls".to_owned())
        .spawn(move || {
            let (sender, receiver) = mpsc::channel::<UpstreamCall>();
            let receiver = Arc::new(Mutex::new(receiver));
            let mut threads = 0;
            let mut http: Option<(u32, ureq::Agent)> = None;
            for call in calls {
                let connections = call.connections.min(call.slots);
                if http.as_ref().is_none_or(|(n, _)| *n != connections) {
                    http = Some((connections, client(connections)));
                }
                let wanted = call.slots.min(call.connections);
                while threads < wanted {
                    let agent = http
                        .as_ref()
                        .expect("the client was created above")
                        .1
                        .clone();
                    let queue = Arc::clone(&receiver);
                    let events = events.clone();
                    let run = move || serve_calls(&queue, &agent, &events);
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

/// Parses the address in the URL instead of resolving a name. The default resolver starts a thread for each request
/// with a timeout, which cost about 240 µs of CPU time per task.
#[derive(Debug)]
struct AddressResolver;

impl Resolver for AddressResolver {
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
    ureq::Agent::with_parts(config, DefaultConnector::default(), AddressResolver)
}

fn serve_calls(
    queue: &Mutex<mpsc::Receiver<UpstreamCall>>,
    agent: &ureq::Agent,
    events: &mpsc::Sender<Event>,
) {
    loop {
        let call = {
            let receiver = queue
                .lock()
                .expect("no thread panics while it holds the lock");
            receiver.recv()
        };
        let Ok(call) = call else { return };
        let task = call.task;
        let event = match call_upstream(agent, call) {
            Some(result) => Event::RunFinished(task, result),
            None => Event::UpstreamUnreachable(task),
        };
        if events.send(event).is_err() {
            return;
        }
    }
}

/// Makes the call. Without a status in the response, the task may or may not have run, so its result is unknown.
/// Returns `None` if the upstream refused the connection, since the task did not start then.
fn call_upstream(agent: &ureq::Agent, call: UpstreamCall) -> Option<TaskResult> {
    let url = format!("http://{}/run/{}", call.address, call.kind);
    let response = agent
        .post(&url)
        .header("figdeal-submission", call.task.key.to_string())
        .header("figdeal-task", call.task.index.to_string())
        .header(
            "figdeal-deadline-ms",
            call.time_left.as_millis().to_string(),
        )
        .config()
        .timeout_global(Some(call.time_left + REPLY_GRACE))
        .build()
        .send(&call.payload[..]);
    let mut response = match response {
        Ok(response) => response,
        Err(ureq::Error::Io(e)) if e.kind() == io::ErrorKind::ConnectionRefused => {
            log::info!(
                "E215 upstream refused the connection for {} at {}: {e}",
                call.task,
                call.address
            );
            return None;
        }
        Err(e) => {
            log::debug!(
                "E207 call for {} at {} failed: {e}",
                call.task,
                call.address
            );
            return Some(TaskResult::Unknown);
        }
    };
    if !response.status().is_success() {
        return Some(TaskResult::Failed);
    }
    let body = response
        .body_mut()
        .with_config()
        .limit(MAX_RESULT_BYTES)
        .read_to_vec();
    Some(match body {
        Ok(bytes) => TaskResult::Done(bytes),
        Err(_) => TaskResult::Unknown,
    })
}
