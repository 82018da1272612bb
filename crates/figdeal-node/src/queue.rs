//! The queue node process: serves callers and operators over HTTP and, on a machine with a disk, stores a replica of
//! the Raft log.

use std::{
    collections::HashMap,
    net::SocketAddr,
    path::{Path, PathBuf},
    sync::{Arc, atomic::AtomicBool, atomic::Ordering, mpsc as disk},
    thread,
    time::Duration,
};

use figdeal_platform::{Response, ingress, operator, settings::Settings};
use figdeal_queue::{
    message::{Answer, PeerMessage, Request},
    node::{Action, Clock, Node, Options},
    raft::{NodeId, Raft, StorageWrite, log::Position},
};
use tokio::{
    sync::{mpsc, oneshot, watch},
    time::Instant,
};

use crate::{
    Result, clock,
    connections::{ConnectionEvent, Connections},
    http::{self, HttpRequest},
    metrics_server,
    process::{self, ProcessEvent},
    store::{Store, StoredState},
};

/// Bound of each of the two input channels. When the channel for peer messages is full, the connections stop reading.
const MAX_QUEUED_INPUTS: usize = 4_096;
/// Largest number of inputs that are processed before the resulting actions run.
const MAX_BATCH: usize = 64;
/// During shutdown, requests of callers are accepted for this long, until the load balancer sends them to other nodes.
const ACCEPT_DURING_SHUTDOWN: Duration = Duration::from_millis(2_500);
/// Assumed when a caller does not say how long it waits for a response.
const DEFAULT_CALLER_TIMEOUT: Duration = Duration::from_secs(30);
/// The process exits at the latest this long before the SIGKILL that ends the shutdown grace period.
const SHUTDOWN_MARGIN: Duration = Duration::from_millis(800);
/// Retry delay for callers, in milliseconds, when the job uses an unsupported feature or the input channel is full.
const RETRY_AFTER_MS: u32 = 1_000;
/// Delay before the process exits after a failed disk write, so that its restart does not retry at once.
const DISK_FAILURE_DELAY: Duration = Duration::from_millis(500);
/// During shutdown, interval of the check whether all requests are answered.
const SHUTDOWN_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Input of the node other than messages from other processes.
enum Input {
    Request(PendingRequest),
    /// The caller of the request with this token has disconnected.
    Withdrawn(u64),
    /// The log is durable up to this position, so these messages may be sent.
    Stored(Position, Vec<(SocketAddr, PeerMessage)>),
    Process(ProcessEvent),
}

/// A request and the channel for its answer.
struct PendingRequest {
    /// Identifies the request towards the node.
    token: u64,
    request: Request,
    caller_timeout: Duration,
    answer: oneshot::Sender<Answer>,
}

/// Withdraws a request when its handler is dropped before the answer, which happens when the caller disconnects.
struct WithdrawOnDrop {
    token: u64,
    inputs: mpsc::Sender<Input>,
    answered: bool,
}

impl Drop for WithdrawOnDrop {
    fn drop(&mut self) {
        if !self.answered && self.inputs.try_send(Input::Withdrawn(self.token)).is_err() {
            log::warn!(
                "E675 input channel full, withdrawal of a request dropped token={}",
                self.token
            );
        }
    }
}

/// Records to write to disk, and the messages that may only be sent once these records are synced.
struct DiskWrite {
    writes: Vec<StorageWrite>,
    /// Position of the last log entry after these records.
    last: Position,
    send_after_sync: Vec<(SocketAddr, PeerMessage)>,
}

/// Runs the queue node process. SIGTERM starts its shutdown.
///
/// # Errors
/// Fails on invalid settings, on unreadable storage, and when it cannot listen on an address.
pub fn run() -> Result<()> {
    process::run(main)
}

async fn main(path: PathBuf, settings: Settings) -> Result<()> {
    let (inputs, received) = mpsc::channel(MAX_QUEUED_INPUTS);
    let (events, messages) = mpsc::channel(MAX_QUEUED_INPUTS);
    let (closing, closed) = watch::channel(false);
    let own_address = SocketAddr::new(settings.ip, settings.node_port);
    log::info!(
        "E662 start name={} address={own_address} data_centre={} disk={} bootstrap={} seeds={:?}",
        settings.name,
        settings.data_centre,
        settings.data_directory.is_some(),
        settings.bootstrap,
        settings.seeds
    );
    let (node, disk_writes) = open_node(&settings, own_address, inputs.clone())?;
    let connections = Connections::listen(own_address, settings.bind_address, events).await?;
    let ready = Arc::new(AtomicBool::new(false));
    start_http_servers(&path, &settings, &inputs, &closed, &ready).await?;
    metrics_server::start(settings.ip, closed.clone()).await?;
    process::watch_settings_and_signals(path, settings.clone(), inputs, Input::Process)?;
    let mut process = Process {
        node,
        connections,
        disk_writes,
        ready,
        own_address,
        answers: HashMap::new(),
        shutdown_grace: settings.shutdown_grace,
        shutdown: None,
    };
    process.run(received, messages, closing).await;
    log::info!("E663 stop name={}", settings.name);
    Ok(())
}

/// Creates the node. With a data directory, opens the storage and starts the disk thread.
fn open_node(
    settings: &Settings,
    own_address: SocketAddr,
    inputs: mpsc::Sender<Input>,
) -> Result<(Node, Option<disk::Sender<DiskWrite>>)> {
    let new_id = NodeId(rand::random());
    let (id, stored, disk_writes) = match &settings.data_directory {
        Some(folder) => {
            let (store, stored) = Store::open(folder, new_id)?;
            let (disk_writes, received) = disk::channel();
            let id = store.id();
            thread::spawn(move || run_disk_writer(store, &received, &inputs));
            (id, stored, Some(disk_writes))
        }
        None => (new_id, StoredState::default(), None),
    };
    let options = Options {
        address: own_address,
        data_centre: settings.data_centre.clone(),
        has_disk: settings.data_directory.is_some(),
        bootstrap: settings.bootstrap,
        seeds: settings.seeds.clone(),
        voter_count: 2 * settings.tolerated_losses + 1,
        min_resubmit_delay: settings.resubmission_delay,
    };
    let now = clock::read();
    let last = stored.log.last_index();
    log::info!(
        "E664 storage opened node={id} term={} last={last}",
        stored.hard_state.term
    );
    let raft = Raft::new(id, stored.hard_state, stored.log, now.now, rand::random());
    Ok((Node::new(options, raft, stored.snapshot, now)?, disk_writes))
}

/// Runs the disk thread: writes records and reports them as stored. Records that are queued together share one sync.
fn run_disk_writer(
    mut store: Store,
    received: &disk::Receiver<DiskWrite>,
    inputs: &mpsc::Sender<Input>,
) {
    while let Ok(first) = received.recv() {
        let mut batch = vec![first];
        while let Ok(write) = received.try_recv() {
            batch.push(write);
        }
        let writes: Vec<StorageWrite> = batch
            .iter_mut()
            .flat_map(|w| std::mem::take(&mut w.writes))
            .collect();
        if !writes.is_empty() {
            let start = clock::now();
            if let Err(e) = store.write(&writes) {
                // It is unknown which of the records reached the disk, so the process exits and the next start reads
                // the file again.
                log::error!("E665 disk write failed, exiting error={e}");
                thread::sleep(DISK_FAILURE_DELAY);
                std::process::exit(1);
            }
            let elapsed = clock::now().since(start).as_secs_f64();
            metrics::histogram!("figdeal_queue_store_seconds").record(elapsed);
        }
        for write in batch {
            if inputs
                .blocking_send(Input::Stored(write.last, write.send_after_sync))
                .is_err()
            {
                return;
            }
        }
    }
}

async fn start_http_servers(
    path: &Path,
    settings: &Settings,
    inputs: &mpsc::Sender<Input>,
    closed: &watch::Receiver<bool>,
    ready: &Arc<AtomicBool>,
) -> Result<()> {
    let callers = Settings::require(path, settings.caller_address, "callers")?;
    let sender = inputs.clone();
    let caller_ready = Arc::clone(ready);
    http::serve(callers, closed.clone(), move |request| {
        handle_caller(request, sender.clone(), Arc::clone(&caller_ready))
    })
    .await?;
    if let Some(address) = settings.readiness_address {
        let ready = Arc::clone(ready);
        // The load balancer checks readiness until the process exits, so these connections are not closed earlier.
        let (_, open) = watch::channel(false);
        http::serve(address, open, move |request| {
            let known = request.path == ingress::READINESS_PATH;
            let status = match (known, ready.load(Ordering::Relaxed)) {
                (false, _) => 404,
                (true, true) => 200,
                (true, false) => 503,
            };
            std::future::ready(Response::new(status))
        })
        .await?;
    }
    if let Some(address) = settings.control_address {
        let sender = inputs.clone();
        http::serve(address, closed.clone(), move |request| {
            handle_operator(request, sender.clone())
        })
        .await?;
    }
    Ok(())
}

async fn handle_caller(
    http_request: HttpRequest,
    inputs: mpsc::Sender<Input>,
    ready: Arc<AtomicBool>,
) -> Response {
    let start = clock::now();
    let decoded = ingress::decode_call(
        &http_request.method,
        &http_request.host,
        &http_request.path,
        &http_request.body,
    );
    let answer = match decoded {
        ingress::ParsedCall::Serve(request) => {
            submit_to_node(request, http_request.caller_timeout, &inputs).await
        }
        ingress::ParsedCall::Unsupported(feature) => {
            log::info!(
                "E666 job uses an unsupported feature path={} unsupported={feature}",
                http_request.path
            );
            let reason = figdeal_queue::message::RefusalReason::Unsupported;
            Answer::Refused {
                retry_after_ms: RETRY_AFTER_MS,
                reason,
            }
        }
        ingress::ParsedCall::Invalid => {
            log::info!(
                "E667 invalid request path={} bytes={}",
                http_request.path,
                http_request.body.len()
            );
            Answer::Invalid
        }
        ingress::ParsedCall::UnsupportedMethod => return Response::new(405),
    };
    let mut response = ingress::encode_answer(&answer);
    // An open connection stays with this node, while the load balancer sends new connections only to ready nodes.
    response.close_connection = response.status >= 500 && !ready.load(Ordering::Relaxed);
    let elapsed = clock::now().since(start);
    if response.status >= 400 {
        log::info!(
            "E668 request failed method={} path={} status={} answer={answer:?} took_ms={}",
            http_request.method,
            http_request.path,
            response.status,
            elapsed.as_millis()
        );
    }
    metrics::counter!("figdeal_queue_requests_total", "status" => response.status.to_string())
        .increment(1);
    metrics::histogram!("figdeal_queue_request_seconds").record(elapsed.as_secs_f64());
    response
}

async fn handle_operator(http_request: HttpRequest, inputs: mpsc::Sender<Input>) -> Response {
    if http_request.path != operator::CONFIG_PATH {
        return Response::new(404);
    }
    let request = match http_request.method.as_str() {
        "GET" => Request::ReadConfig,
        "PUT" => match operator::decode_config(&http_request.body) {
            Ok(request) => request,
            Err(e) => {
                log::info!("E669 invalid configuration error=\"{e}\"");
                return Response::new(400);
            }
        },
        _ => return Response::new(405),
    };
    let answer = submit_to_node(request, http_request.caller_timeout, &inputs).await;
    log::info!(
        "E670 operator request method={} status={}",
        http_request.method,
        ingress::encode_answer(&answer).status
    );
    ingress::encode_answer(&answer)
}

async fn submit_to_node(
    request: Request,
    caller_timeout: Option<Duration>,
    inputs: &mpsc::Sender<Input>,
) -> Answer {
    let (sender, answer) = oneshot::channel();
    let overloaded = Answer::Refused {
        retry_after_ms: RETRY_AFTER_MS,
        reason: figdeal_queue::message::RefusalReason::Overload,
    };
    // Random, since tokens of successive processes at the same address must differ.
    let token = rand::random();
    let caller_timeout = caller_timeout.unwrap_or(DEFAULT_CALLER_TIMEOUT);
    let pending = PendingRequest {
        token,
        request,
        caller_timeout,
        answer: sender,
    };
    if inputs.try_send(Input::Request(pending)).is_err() {
        return overloaded;
    }
    let mut withdraw_on_drop = WithdrawOnDrop {
        token,
        inputs: inputs.clone(),
        answered: false,
    };
    let answer = answer.await.unwrap_or(Answer::OutcomeUnknown);
    withdraw_on_drop.answered = true;
    answer
}

/// Connects the node to its inputs and runs the actions that it returns.
struct Process {
    node: Node,
    connections: Connections,
    disk_writes: Option<disk::Sender<DiskWrite>>,
    ready: Arc<AtomicBool>,
    own_address: SocketAddr,
    answers: HashMap<u64, oneshot::Sender<Answer>>,
    shutdown_grace: Duration,
    /// Set when shutdown begins: when HTTP connections are closed, and when the process exits at the latest.
    shutdown: Option<(Instant, Instant)>,
}

impl Process {
    async fn run(
        &mut self,
        mut inputs: mpsc::Receiver<Input>,
        mut messages: mpsc::Receiver<ConnectionEvent>,
        closing: watch::Sender<bool>,
    ) {
        loop {
            let now = clock::now();
            let wait = self.node.next_tick().since(now);
            let wait = if self.shutdown.is_some() {
                wait.min(SHUTDOWN_CHECK_INTERVAL)
            } else {
                wait
            };
            tokio::select! {
                Some(input) = inputs.recv() => {
                    self.on_input(input);
                    for _ in 1..MAX_BATCH {
                        let Ok(input) = inputs.try_recv() else { break };
                        self.on_input(input);
                    }
                }
                Some(event) = messages.recv() => {
                    self.on_connection_event(event);
                    for _ in 1..MAX_BATCH {
                        let Ok(event) = messages.try_recv() else { break };
                        self.on_connection_event(event);
                    }
                }
                () = tokio::time::sleep(wait) => {}
            }
            let clock = clock::read();
            if self.node.next_tick() <= clock.now {
                self.node.tick(clock);
                self.set_gauges();
            }
            self.run_actions(clock);
            self.ready.store(self.node.is_ready(), Ordering::Relaxed);
            if let Some((close_at, exit_at)) = self.shutdown {
                let now = Instant::now();
                if now >= close_at {
                    closing.send_replace(true);
                }
                if now >= exit_at {
                    let clock = clock::read();
                    self.node.answer_pending(clock);
                    self.run_actions(clock);
                }
                if now >= exit_at
                    || (now >= close_at + SHUTDOWN_CHECK_INTERVAL && self.answers.is_empty())
                {
                    // Leaves time to write the last answers to the sockets.
                    tokio::time::sleep(SHUTDOWN_CHECK_INTERVAL).await;
                    return;
                }
            }
        }
    }

    fn set_gauges(&self) {
        let (jobs, tasks) = self.node.load().unwrap_or_default();
        metrics::gauge!("figdeal_queue_jobs").set(jobs as f64);
        metrics::gauge!("figdeal_queue_waiting_tasks").set(tasks as f64);
        metrics::gauge!("figdeal_queue_term").set(self.node.raft().term() as f64);
        metrics::gauge!("figdeal_queue_commit").set(self.node.raft().commit() as f64);
    }

    fn on_input(&mut self, input: Input) {
        let clock = clock::read();
        match input {
            Input::Request(pending) => {
                self.answers.insert(pending.token, pending.answer);
                self.node.on_request(
                    clock,
                    pending.token,
                    pending.request,
                    pending.caller_timeout,
                );
            }
            Input::Withdrawn(token) => {
                self.answers.remove(&token);
                self.node.withdraw(clock, token);
            }
            Input::Stored(last, send_after_sync) => {
                self.node.on_stored(clock, last);
                for (address, message) in send_after_sync {
                    self.send(clock, address, message);
                }
            }
            Input::Process(ProcessEvent::SettingsChanged(settings)) => {
                self.node.add_seeds(&settings.seeds)
            }
            Input::Process(ProcessEvent::Terminate) => {
                let start = Instant::now();
                let time_left = self.shutdown_grace.saturating_sub(SHUTDOWN_MARGIN);
                self.shutdown = Some((start + ACCEPT_DURING_SHUTDOWN, start + time_left));
                self.node.shut_down(clock, clock.now + time_left);
            }
        }
    }

    fn on_connection_event(&mut self, event: ConnectionEvent) {
        let clock = clock::read();
        match event {
            ConnectionEvent::Message(message) => self.node.on_message(clock, message),
            ConnectionEvent::Accepted(address, connection) => {
                self.connections.on_accepted(address, connection)
            }
            ConnectionEvent::Lost {
                peer,
                connection_id,
                refused,
            } => {
                if self.connections.on_lost(peer, connection_id) {
                    self.node.on_connection_lost(clock, peer, refused);
                }
            }
        }
    }

    fn send(&mut self, clock: Clock, to: SocketAddr, message: PeerMessage) {
        match to == self.own_address {
            true => self.node.on_message(clock, message),
            false => self.connections.send(to, message),
        }
    }

    fn run_actions(&mut self, clock: Clock) {
        loop {
            let actions = self.node.take_actions();
            if actions.is_empty() {
                return;
            }
            for action in actions {
                match action {
                    Action::Send(to, message) => self.send(clock, to, message),
                    Action::Reply(token, answer) => {
                        // The receiver is gone if the caller has disconnected.
                        let _ = self
                            .answers
                            .remove(&token)
                            .map(|sender| sender.send(answer));
                    }
                    Action::Store {
                        writes,
                        last,
                        send_after_sync,
                    } => self.queue_disk_write(writes, last, send_after_sync),
                }
            }
        }
    }

    fn queue_disk_write(
        &mut self,
        writes: Vec<StorageWrite>,
        last: Position,
        send_after_sync: Vec<(SocketAddr, PeerMessage)>,
    ) {
        let Some(disk_writes) = &self.disk_writes else {
            log::warn!(
                "E673 node without a disk has records to store, ignored records={}",
                writes.len()
            );
            return;
        };
        if disk_writes
            .send(DiskWrite {
                writes,
                last,
                send_after_sync,
            })
            .is_err()
        {
            log::error!("E674 disk thread is not running");
        }
    }
}
