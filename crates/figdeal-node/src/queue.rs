//! The queue node process: serves callers and operators over HTTP and, on a machine with a disk, stores a replica of
//! the Raft log.

use std::{
    collections::HashMap,
    net::SocketAddr,
    path::{Path, PathBuf},
    sync::{Arc, atomic::AtomicBool, atomic::Ordering, mpsc as std_mpsc},
    thread,
    time::Duration,
};

use figdeal_limits::{
    client_table::Class,
    gate::{self, Gate},
};
use figdeal_platform::{Response, ingress, operator, settings::Settings};
use figdeal_queue::{
    message::{Answer, PeerMessage, RefusalReason, Request},
    node::{Action, Clock, Node, Options},
    raft::{NodeId, Raft, StorageWrite, log::Position},
    refusals::{OVERLOAD_AT_ENTRY, metric_name},
};
use tokio::{
    sync::{mpsc, oneshot, watch},
    time::Instant,
};

use crate::{
    Result, clock,
    connections::{ConnectionEvent, Connections},
    http::{self, HttpLimits, HttpRequest},
    metrics_server,
    process::{self, ProcessEvent},
    queue_metrics::{self, UsageGauges},
    request_log::RequestLog,
    store::{Store, StoredState},
};

/// Bound of each of the two input channels. When the one for connection events is full, the connections stop reading.
/// When the other one is full, requests are refused as overload.
const MAX_QUEUED_INPUTS: usize = 4_096;
/// Largest number of inputs that one turn of the event loop processes before it runs the resulting actions.
const MAX_INPUTS_PER_TURN: usize = 64;
/// After SIGTERM, the HTTP connections of callers, operators and metrics stay open for this long, so that the load
/// balancer notices that the node is not ready and sends callers to other nodes.
const HTTP_CLOSE_DELAY: Duration = Duration::from_millis(2_500);
/// Assumed when a caller does not say how long it waits for a response.
const DEFAULT_CALLER_TIMEOUT: Duration = Duration::from_secs(30);
/// All requests are answered at the latest this long before the SIGKILL that ends the shutdown grace period. The
/// process exits right after that.
const SHUTDOWN_MARGIN: Duration = Duration::from_millis(800);
/// Retry delay in refusals by this process itself: for jobs with unsupported features, and when the input channel is
/// full. Every refusal has a retry delay.
const RETRY_AFTER_MS: u32 = 1_000;
/// Delay between a failed disk write and the exit of the process. It delays the next attempt, which is the next start.
const DISK_FAILURE_DELAY: Duration = Duration::from_millis(500);
/// During shutdown: interval of the check whether all requests are answered, shortest time between closing the HTTP
/// connections and the exit, and time for writing the last responses.
const SHUTDOWN_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Input of the node other than messages from other nodes and agents.
enum Input {
    Request(PendingRequest),
    /// The caller of the request with this token has disconnected.
    Withdrawn(u64),
    /// The log is durable up to this position, so these messages may be sent.
    Stored(Position, Vec<(SocketAddr, PeerMessage)>),
    /// The settings have changed, or SIGTERM was received.
    Process(ProcessEvent),
}

/// A request and the channel for its answer.
struct PendingRequest {
    /// Identifies the request in the node, and in messages when the node forwards it.
    token: u64,
    request: Request,
    /// How long the caller or operator waits for the answer.
    caller_timeout: Duration,
    answer_sender: oneshot::Sender<Answer>,
}

/// Withdraws a request when its handler is dropped before the answer, which happens when the caller disconnects.
struct WithdrawOnDrop {
    token: u64,
    input_sender: mpsc::Sender<Input>,
    answered: bool,
}

impl Drop for WithdrawOnDrop {
    fn drop(&mut self) {
        if !self.answered
            && self
                .input_sender
                .try_send(Input::Withdrawn(self.token))
                .is_err()
        {
            log::warn!(
                "E675 cannot withdraw a request, it stays pending token={}",
                self.token
            );
        }
    }
}

/// Records to write to disk, and the messages that may only be sent once these records are synced.
struct DiskWrite {
    records: Vec<StorageWrite>,
    /// End of the log once these records are written.
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

async fn main(settings_path: PathBuf, settings: Settings) -> Result<()> {
    let (input_sender, input_receiver) = mpsc::channel(MAX_QUEUED_INPUTS);
    let (event_sender, event_receiver) = mpsc::channel(MAX_QUEUED_INPUTS);
    // True once the HTTP connections have to close.
    let (close_sender, close_receiver) = watch::channel(false);
    let own_address = SocketAddr::new(settings.ip, settings.node_port);
    log::info!(
        "E662 start name={} address={own_address} data_centre={} disk={} bootstrap={} seeds={:?}",
        settings.name,
        settings.data_centre,
        settings.data_directory.is_some(),
        settings.bootstrap,
        settings.seeds
    );
    let (node, disk_sender) = open_node(&settings, own_address, input_sender.clone())?;
    let http_limits = HttpLimits::start(&settings.client_limits);
    let peer_gate = Gate::start("peers", gate::peer_limits(&settings.client_limits));
    let connections =
        Connections::listen(own_address, settings.bind_address, peer_gate, event_sender).await?;
    let ready = Arc::new(AtomicBool::new(false));
    let request_log = RequestLog::new();
    start_http_servers(
        &settings_path,
        &settings,
        &http_limits,
        &input_sender,
        &close_receiver,
        &ready,
        &request_log,
    )
    .await?;
    metrics_server::start(settings.ip, &http_limits, close_receiver.clone()).await?;
    process::watch_settings_and_signals(
        settings_path,
        settings.clone(),
        input_sender,
        Input::Process,
    )?;
    let mut event_loop = EventLoop {
        node,
        connections,
        disk_sender,
        ready,
        own_address,
        pending_answers: HashMap::new(),
        shutdown_grace: settings.shutdown_grace,
        shutdown: None,
        usage_gauges: UsageGauges::default(),
        request_log,
    };
    event_loop
        .run(input_receiver, event_receiver, close_sender)
        .await;
    event_loop.request_log.finish();
    log::info!("E663 stop name={}", settings.name);
    Ok(())
}

/// Creates the node. With a data directory, opens the storage and starts the disk thread.
fn open_node(
    settings: &Settings,
    own_address: SocketAddr,
    input_sender: mpsc::Sender<Input>,
) -> Result<(Node, Option<std_mpsc::Sender<DiskWrite>>)> {
    // Used only without a data directory, or if there is no store in it yet.
    let new_id = NodeId(rand::random());
    let (id, stored, disk_sender) = match &settings.data_directory {
        Some(folder) => {
            let (store, stored) = Store::open(folder, new_id).inspect_err(|e| {
                log::error!("E686 cannot open the store, exiting error=\"{e}\"");
            })?;
            let (disk_sender, disk_receiver) = std_mpsc::channel();
            let id = store.id();
            thread::spawn(move || run_disk_writer(store, &disk_receiver, &input_sender));
            (id, stored, Some(disk_sender))
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
        min_resubmit_delay: settings.min_resubmit_delay,
        data_centres: settings.data_centres.clone(),
        limits: settings.limits,
        stored_bytes: settings.stored_bytes,
    };
    let clock = clock::read();
    let last_index = stored.log.last_index();
    log::info!(
        "E664 node created node={id} term={} last_index={last_index}",
        stored.hard_state.term
    );
    let raft = Raft::new(id, stored.hard_state, stored.log, clock.now, rand::random());
    Ok((
        Node::new(options, raft, stored.snapshot, clock)?,
        disk_sender,
    ))
}

/// Runs the disk thread: writes records and reports them as stored. Records that are queued together share one sync.
fn run_disk_writer(
    mut store: Store,
    disk_receiver: &std_mpsc::Receiver<DiskWrite>,
    input_sender: &mpsc::Sender<Input>,
) {
    while let Ok(first) = disk_receiver.recv() {
        let mut batch = vec![first];
        while let Ok(write) = disk_receiver.try_recv() {
            batch.push(write);
        }
        let records: Vec<StorageWrite> = batch
            .iter_mut()
            .flat_map(|w| std::mem::take(&mut w.records))
            .collect();
        if !records.is_empty() {
            let start = clock::now();
            if let Err(e) = store.write(&records) {
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
            if input_sender
                .blocking_send(Input::Stored(write.last, write.send_after_sync))
                .is_err()
            {
                return;
            }
        }
    }
}

async fn start_http_servers(
    settings_path: &Path,
    settings: &Settings,
    limits: &HttpLimits,
    input_sender: &mpsc::Sender<Input>,
    close_receiver: &watch::Receiver<bool>,
    ready: &Arc<AtomicBool>,
    request_log: &RequestLog,
) -> Result<()> {
    let caller_address = Settings::require(settings_path, settings.caller_address, "callers")?;
    let sender = input_sender.clone();
    let (node_ready, request_log) = (Arc::clone(ready), request_log.clone());
    http::serve(
        caller_address,
        Class::Ordinary,
        limits,
        close_receiver.clone(),
        move |request| {
            handle_caller(
                request,
                sender.clone(),
                Arc::clone(&node_ready),
                request_log.clone(),
            )
        },
    )
    .await?;
    if let Some(address) = settings.readiness_address {
        let ready = Arc::clone(ready);
        // The load balancer checks readiness until the process exits. The sender is dropped at once, so these
        // connections never close earlier.
        let (_, open) = watch::channel(false);
        http::serve(address, Class::Reserved, limits, open, move |request| {
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
        let sender = input_sender.clone();
        http::serve(
            address,
            Class::Reserved,
            &limits.with_large_answers(),
            close_receiver.clone(),
            move |request| handle_operator(request, sender.clone()),
        )
        .await?;
    }
    Ok(())
}

async fn handle_caller(
    mut http_request: HttpRequest,
    input_sender: mpsc::Sender<Input>,
    ready: Arc<AtomicBool>,
    request_log: RequestLog,
) -> Response {
    let start = clock::now();
    let decoded = ingress::decode_call(
        &http_request.method,
        &http_request.host,
        &http_request.path,
        &http_request.body,
    );
    // The job may wait for long, and its body is not needed any more.
    let body_bytes = std::mem::take(&mut http_request.body).len();
    let answer = match decoded {
        ingress::ParsedCall::Valid(request) => {
            submit_to_node(request, http_request.caller_timeout, &input_sender).await
        }
        ingress::ParsedCall::Unsupported(feature) => {
            request_log.unsupported(&http_request, feature);
            let reason = RefusalReason::Unsupported;
            queue_metrics::count_early_refusal(metric_name(reason));
            Answer::Refused {
                retry_after_ms: RETRY_AFTER_MS,
                reason,
            }
        }
        ingress::ParsedCall::Invalid => {
            request_log.invalid(&http_request, body_bytes);
            Answer::Invalid
        }
        ingress::ParsedCall::UnsupportedMethod => return Response::new(405),
    };
    let mut response = ingress::encode_answer(&answer);
    // Makes callers reconnect that get an error from a node that is not ready. An open connection would stay with this
    // node, while the load balancer sends new connections only to ready nodes.
    response.close_connection = response.status >= 500 && !ready.load(Ordering::Relaxed);
    let elapsed = clock::now().since(start);
    if response.status >= 400 {
        request_log.failed(&http_request, response.status, &answer, elapsed);
    }
    metrics::counter!("figdeal_queue_requests_total", "status" => response.status.to_string())
        .increment(1);
    metrics::histogram!("figdeal_queue_request_seconds").record(elapsed.as_secs_f64());
    response
}

async fn handle_operator(
    mut http_request: HttpRequest,
    input_sender: mpsc::Sender<Input>,
) -> Response {
    if http_request.path.starts_with(operator::EVACUATION_PATH) {
        return handle_evacuation(http_request, input_sender).await;
    }
    if http_request.path != operator::CONFIG_PATH {
        return Response::new(404);
    }
    let request = match http_request.method.as_str() {
        "GET" => Request::ReadConfig,
        "PUT" => match operator::decode_config(&std::mem::take(&mut http_request.body)) {
            Ok(request) => request,
            Err(e) => {
                log::info!("E669 operator sent an invalid queue configuration error=\"{e}\"");
                return Response::new(400);
            }
        },
        _ => return Response::new(405),
    };
    let answer = submit_to_node(request, http_request.caller_timeout, &input_sender).await;
    log::info!(
        "E670 operator request method={} status={}",
        http_request.method,
        ingress::encode_answer(&answer).status
    );
    ingress::encode_answer(&answer)
}

async fn handle_evacuation(
    http_request: HttpRequest,
    input_sender: mpsc::Sender<Input>,
) -> Response {
    let start = clock::now();
    let decoded = operator::decode_evacuation(&http_request.method, &http_request.path);
    let request = match decoded {
        Ok(request) => request,
        Err(response) => return response,
    };
    let answer = submit_to_node(request, http_request.caller_timeout, &input_sender).await;
    let response = operator::encode_evacuation_answer(&answer);
    log::info!(
        "E685 evacuation request answered method={} path={:?} status={} answer={answer:?} took_ms={}",
        http_request.method,
        http_request.path,
        response.status,
        clock::now().since(start).as_millis()
    );
    response
}

async fn submit_to_node(
    request: Request,
    caller_timeout: Option<Duration>,
    input_sender: &mpsc::Sender<Input>,
) -> Answer {
    let (answer_sender, answer_receiver) = oneshot::channel();
    let overloaded = Answer::Refused {
        retry_after_ms: RETRY_AFTER_MS,
        reason: RefusalReason::Overload,
    };
    // Random, since the tokens of a restarted process must differ from those of the process before it at this address.
    let token = rand::random();
    let caller_timeout = caller_timeout.unwrap_or(DEFAULT_CALLER_TIMEOUT);
    let pending = PendingRequest {
        token,
        request,
        caller_timeout,
        answer_sender,
    };
    if input_sender.try_send(Input::Request(pending)).is_err() {
        queue_metrics::count_early_refusal(OVERLOAD_AT_ENTRY);
        return overloaded;
    }
    let mut withdraw_on_drop = WithdrawOnDrop {
        token,
        input_sender: input_sender.clone(),
        answered: false,
    };
    let answer = answer_receiver.await.unwrap_or(Answer::OutcomeUnknown);
    withdraw_on_drop.answered = true;
    answer
}

/// Event loop of the process: passes all inputs to the node and runs the actions that it returns.
struct EventLoop {
    node: Node,
    connections: Connections,
    disk_sender: Option<std_mpsc::Sender<DiskWrite>>,
    ready: Arc<AtomicBool>,
    /// Address under which other processes reach and identify this node.
    own_address: SocketAddr,
    /// Senders for the requests without an answer, by token.
    pending_answers: HashMap<u64, oneshot::Sender<Answer>>,
    shutdown_grace: Duration,
    /// Set when shutdown begins: when the HTTP connections of callers, operators and metrics close, and when the last
    /// requests are answered and the process exits.
    shutdown: Option<(Instant, Instant)>,
    usage_gauges: UsageGauges,
    request_log: RequestLog,
}

impl EventLoop {
    async fn run(
        &mut self,
        mut input_receiver: mpsc::Receiver<Input>,
        mut event_receiver: mpsc::Receiver<ConnectionEvent>,
        close_sender: watch::Sender<bool>,
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
                Some(input) = input_receiver.recv() => {
                    self.on_input(input);
                    for _ in 1..MAX_INPUTS_PER_TURN {
                        let Ok(input) = input_receiver.try_recv() else { break };
                        self.on_input(input);
                    }
                }
                Some(event) = event_receiver.recv() => {
                    self.on_connection_event(event);
                    for _ in 1..MAX_INPUTS_PER_TURN {
                        let Ok(event) = event_receiver.try_recv() else { break };
                        self.on_connection_event(event);
                    }
                }
                () = tokio::time::sleep(wait) => {}
            }
            let clock = clock::read();
            if self.node.next_tick() <= clock.now {
                self.node.tick(clock);
                self.update_metrics();
            }
            self.run_actions(clock);
            self.ready.store(self.node.is_ready(), Ordering::Relaxed);
            if let Some((close_at, exit_at)) = self.shutdown {
                let now = Instant::now();
                if now >= close_at {
                    close_sender.send_replace(true);
                }
                if now >= exit_at {
                    let clock = clock::read();
                    self.node.answer_pending(clock);
                    self.run_actions(clock);
                }
                if now >= exit_at
                    || (now >= close_at + SHUTDOWN_CHECK_INTERVAL
                        && self.pending_answers.is_empty())
                {
                    // Leaves time to write the last responses to the sockets.
                    tokio::time::sleep(SHUTDOWN_CHECK_INTERVAL).await;
                    return;
                }
            }
        }
    }

    fn update_metrics(&mut self) {
        metrics_server::count_lost_runs(&self.node.take_losses());
        queue_metrics::count_refusals(&self.node.take_refusals());
        self.usage_gauges.update(clock::now(), || self.node.usage());
        self.request_log.write_omitted();
        metrics_server::count_rack_waits(self.node.take_rack_waits());
        // Both are 0 on nodes that do not lead.
        let (jobs, waiting_tasks) = self.node.load().unwrap_or_default();
        metrics::gauge!("figdeal_queue_jobs").set(jobs as f64);
        metrics::gauge!("figdeal_queue_waiting_tasks").set(waiting_tasks as f64);
        let evacuated = self.node.state().evacuated.len();
        metrics::gauge!("figdeal_queue_evacuated_data_centres").set(evacuated as f64);
        metrics::gauge!("figdeal_queue_set_aside_steps").set(self.node.set_aside_steps() as f64);
        metrics::gauge!("figdeal_queue_term").set(self.node.raft().term() as f64);
        metrics::gauge!("figdeal_queue_commit").set(self.node.raft().commit() as f64);
    }

    fn on_input(&mut self, input: Input) {
        let clock = clock::read();
        match input {
            Input::Request(pending) => {
                self.pending_answers
                    .insert(pending.token, pending.answer_sender);
                self.node.on_request(
                    clock,
                    pending.token,
                    pending.request,
                    pending.caller_timeout,
                );
            }
            Input::Withdrawn(token) => {
                self.pending_answers.remove(&token);
                self.node.withdraw(clock, token);
            }
            Input::Stored(last, send_after_sync) => {
                self.node.on_stored(clock, last);
                for (address, message) in send_after_sync {
                    self.send(clock, address, message);
                }
            }
            Input::Process(ProcessEvent::SettingsChanged(settings)) => {
                // Of the new settings, only additional seeds take effect without a restart.
                self.node.add_seeds(&settings.seeds)
            }
            Input::Process(ProcessEvent::Terminate) => {
                let start = Instant::now();
                let time_left = self.shutdown_grace.saturating_sub(SHUTDOWN_MARGIN);
                self.shutdown = Some((start + HTTP_CLOSE_DELAY, start + time_left));
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
                connection_refused,
            } => {
                // The loss of a connection that was already replaced does not concern the node.
                if self.connections.on_lost(peer, connection_id) {
                    self.node
                        .on_connection_lost(clock, peer, connection_refused);
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
            // A message of the node to itself can cause further actions.
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
                            .pending_answers
                            .remove(&token)
                            .map(|sender| sender.send(answer));
                    }
                    Action::Store {
                        writes: records,
                        last,
                        send_after_sync,
                    } => self.queue_disk_write(records, last, send_after_sync),
                }
            }
        }
    }

    fn queue_disk_write(
        &mut self,
        records: Vec<StorageWrite>,
        last: Position,
        send_after_sync: Vec<(SocketAddr, PeerMessage)>,
    ) {
        let Some(disk_sender) = &self.disk_sender else {
            log::warn!(
                "E673 node without a data directory dropped the records of a store request records={}",
                records.len()
            );
            return;
        };
        if disk_sender
            .send(DiskWrite {
                records,
                last,
                send_after_sync,
            })
            .is_err()
        {
            log::error!("E674 disk thread has ended, dropped records and messages");
        }
    }
}
