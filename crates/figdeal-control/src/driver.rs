//! TCP driver of a replica: a thread of its own, the control thread, runs the node, and tarpc connections carry its
//! messages.

use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
        mpsc as std_mpsc,
    },
    thread::{self, JoinHandle},
    time::Duration,
};

use figdeal_core::time::{Timestamp, UnixMillis};
use figdeal_limits::{
    ClientLimits,
    gate::{self, Gate},
    peer_stream::PeerStream,
};
use figdeal_wire::codec::{Postcard, transport_on};
use futures::{
    FutureExt, StreamExt,
    future::{self, ready},
    stream,
};
use serde::{Deserialize, Serialize};
use tarpc::{
    client, context,
    serde_transport::tcp,
    server::{BaseChannel, Channel},
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{mpsc, oneshot, watch},
    time::{Instant, sleep, sleep_until, timeout},
};

use crate::{
    command::Command,
    disk::Disk,
    message::Envelope,
    node::{Node, Output, Result},
    proposer::{ClientId, ClockReading, Reply},
    store::{Error, Version},
};

/// Time after which a long poll returns without a newer version. A change must be in force within 2 s, even if the
/// connection to one replica has gone silent; with a timeout of 8 s such a connection delayed changes by 6 s.
pub const POLL_TIMEOUT: Duration = Duration::from_secs(1);
/// Time without confirmation by a quorum after which a replica no longer claims to be current. It is longer than two
/// intervals of the background reads ([`crate::node::BACKGROUND_READ_INTERVAL`]), so that a single lost message has no
/// effect.
pub const FRESHNESS_TIMEOUT: Duration = Duration::from_millis(1_250);
/// Interval at which a waiting poll checks [`FRESHNESS_TIMEOUT`].
const FRESHNESS_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Largest number of requests and messages that wait for the control thread.
pub const MAX_QUEUED_INPUTS: usize = 256;
/// Largest number of messages that wait for one peer. Further messages are dropped, which the consensus protocol
/// tolerates.
pub const MAX_QUEUED_MESSAGES: usize = 64;
/// Largest number of concurrent requests of one connection.
const MAX_CONCURRENT_REQUESTS: usize = 64;
/// Time after which a connection without a request is closed. Peers send every 500 ms and entries poll at least every
/// [`POLL_TIMEOUT`], so this closes only silent connections, which would otherwise use up the connections.
pub const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Delay after a failed `accept`, which happens when the process has no free file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// How long [`ReplicaHandle::stop`] waits for the listener. Only a runtime that is blocked needs longer.
const LISTENER_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout for connecting to a replica, and for delivering one message to it.
const PEER_TIMEOUT: Duration = Duration::from_secs(1);

/// RPC interface of a control replica for its peers, for entries and for operators.
#[tarpc::service]
pub trait ControlRpc {
    /// Delivers a message from another replica.
    async fn peer(envelope: Envelope);
    /// Runs a command.
    async fn command(command: Command) -> Reply;
    /// Reads the current state through a quorum.
    async fn read() -> Reply;
    /// Long poll: waits up to [`POLL_TIMEOUT`] for an accepted version with a number above `known_number`.
    async fn poll(known_number: u64) -> PollReply;
}

/// Reply to a long poll.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PollReply {
    /// A newer version.
    Newer(Version),
    /// There is no newer version, as a quorum confirmed within the last [`FRESHNESS_TIMEOUT`].
    Current,
    /// The replica has no newer version and has no recent confirmation by a quorum, or it has stopped. The poller
    /// should ask another replica.
    Unavailable,
}

/// Message or request for the control thread.
enum Input {
    Peer(Envelope),
    Command(Command, oneshot::Sender<Reply>),
    Read(oneshot::Sender<Reply>),
}

/// Handle of a running replica. Dropping it stops the replica after its current write and blocks until the control
/// thread has ended.
#[derive(Debug)]
pub struct ReplicaHandle {
    /// Address that the replica listens on.
    pub address: SocketAddr,
    inputs: Option<mpsc::Sender<Input>>,
    thread: Option<JoinHandle<Result<()>>>,
    listener: tokio::task::AbortHandle,
    /// Disconnected once the listener task has released its socket.
    listener_end: std_mpsc::Receiver<()>,
}

impl ReplicaHandle {
    /// Returns whether the control thread is running. The thread ends by itself only after a storage error.
    pub fn is_running(&self) -> bool {
        self.thread.as_ref().is_some_and(|t| !t.is_finished())
    }

    /// Stops the replica after its current write and blocks until the control thread has ended and the address is free.
    /// Call it outside the runtime, or on a runtime with several threads, which ends the listener meanwhile.
    ///
    /// # Errors
    /// The storage error that stopped the replica before, if any.
    pub fn stop(mut self) -> Result<()> {
        let result = self.shut_down();
        if let Err(std_mpsc::RecvTimeoutError::Timeout) =
            self.listener_end.recv_timeout(LISTENER_TIMEOUT)
        {
            log::warn!(
                "E406 address of the stopped replica is not free yet address={}",
                self.address
            );
        }
        result
    }

    fn shut_down(&mut self) -> Result<()> {
        self.listener.abort();
        self.inputs = None;
        match self.thread.take().map(JoinHandle::join) {
            None => Ok(()),
            Some(Ok(result)) => result,
            Some(Err(panic)) => std::panic::resume_unwind(panic),
        }
    }
}

impl Drop for ReplicaHandle {
    fn drop(&mut self) {
        if let Err(e) = self.shut_down() {
            log::warn!("E401 control replica had stopped after a storage error: {e}");
        }
    }
}

/// Serves `node` on the address `listen`. Must be called inside a tokio runtime. The node runs in a thread of its own,
/// because it blocks on synced writes.
///
/// # Errors
/// The error of binding the address or of starting the thread.
pub async fn serve<D>(node: Node<D>, listen: SocketAddr) -> io::Result<ReplicaHandle>
where
    D: Disk + Send + 'static,
{
    let listener = TcpListener::bind(listen).await?;
    let address = listener.local_addr()?;
    let gate = Gate::start("control", gate::control_limits(&ClientLimits::default()));
    let (inputs, receiver) = mpsc::channel(MAX_QUEUED_INPUTS);
    let confirmed_us = Arc::new(AtomicU64::new(0));
    let (versions, version_updates) = watch::channel(node.poll(0).cloned().map(Arc::new));
    let peers = PeerConnections {
        runtime: tokio::runtime::Handle::current(),
        senders: HashMap::new(),
    };
    let started_at = Instant::now();
    let replica = ReplicaThread {
        node,
        started_at,
        confirmed_us: Arc::clone(&confirmed_us),
        versions,
        peers,
        clients: HashMap::new(),
        next_client: 0,
    };
    let thread = spawn_replica(replica, receiver)?;
    let server = RpcServer {
        inputs: inputs.downgrade(),
        versions: version_updates,
        started_at,
        confirmed_us,
    };
    let incoming = stream::unfold(listener, |listener| async {
        Some((accept_one(&listener).await, listener))
    });
    let accept = incoming
        .filter_map(move |(stream, peer)| ready(PeerStream::admit(stream, peer, &gate)))
        .map(move |(stream, evicted)| {
            let channel = BaseChannel::with_defaults(transport_on(stream));
            let requests = Box::pin(channel.execute(server.clone().serve()));
            let requests = stream::unfold(requests, |mut requests| async {
                let next = timeout(IDLE_TIMEOUT, requests.next()).await;
                next.ok().flatten().map(|request| (request, requests))
            });
            let requests = requests.for_each_concurrent(MAX_CONCURRENT_REQUESTS, |request| request);
            // An evicted connection is closed at once, to return its memory.
            future::select(evicted, Box::pin(requests)).map(drop)
        })
        .for_each_concurrent(None, |connection| connection);
    let (end, listener_end) = std_mpsc::channel::<()>();
    // Fields are dropped in this order, so the socket is closed before the receiver is told, even if the task is aborted
    // before its first poll.
    let task = (Box::pin(accept), end);
    let accept = async move {
        let mut task = task;
        task.0.as_mut().await
    };
    let listener = tokio::spawn(accept).abort_handle();
    log::info!("E402 control replica is listening on {address}");
    Ok(ReplicaHandle {
        address,
        inputs: Some(inputs),
        thread: Some(thread),
        listener,
        listener_end,
    })
}

/// Accepts the next connection.
async fn accept_one(listener: &TcpListener) -> (TcpStream, SocketAddr) {
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                // Without the option the connection still works.
                let _ = stream.set_nodelay(true);
                return (stream, peer);
            }
            Err(e) => {
                log::warn!("E407 cannot accept a connection: {e}");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Connects to a control replica.
///
/// # Errors
/// The error of the connection, or a timeout after 1 s.
pub async fn connect(address: SocketAddr) -> io::Result<ControlRpcClient> {
    let transport = timeout(PEER_TIMEOUT, tcp::connect(address, Postcard::default)).await??;
    Ok(ControlRpcClient::new(client::Config::default(), transport).spawn())
}

/// Server side of [`ControlRpc`].
#[derive(Clone)]
struct RpcServer {
    /// Weak sender, so that open connections do not keep the control thread running.
    inputs: mpsc::WeakSender<Input>,
    versions: watch::Receiver<Option<Arc<Version>>>,
    started_at: Instant,
    /// Time from `started_at` to [`Node::confirmed_at`] in microseconds; 0 before the first confirmation.
    confirmed_us: Arc<AtomicU64>,
}

impl RpcServer {
    fn is_current(&self) -> bool {
        let confirmed_at = Duration::from_micros(self.confirmed_us.load(Ordering::Relaxed));
        !confirmed_at.is_zero() && self.started_at.elapsed() < confirmed_at + FRESHNESS_TIMEOUT
    }

    async fn request(self, input: impl FnOnce(oneshot::Sender<Reply>) -> Input) -> Reply {
        let (sender, receiver) = oneshot::channel();
        let Some(inputs) = self.inputs.upgrade() else {
            return Reply::Unavailable;
        };
        if inputs.try_send(input(sender)).is_err() {
            return Reply::Busy;
        }
        drop(inputs);
        receiver.await.unwrap_or(Reply::Unavailable)
    }
}

impl ControlRpc for RpcServer {
    async fn peer(self, _: context::Context, envelope: Envelope) {
        if let Some(inputs) = self.inputs.upgrade()
            && inputs.try_send(Input::Peer(envelope)).is_err()
        {
            log::warn!(
                "E403 dropped a message from a peer: the queue of the control thread is full"
            );
        }
    }

    async fn command(self, _: context::Context, command: Command) -> Reply {
        self.request(|sender| Input::Command(command, sender)).await
    }

    async fn read(self, _: context::Context) -> Reply {
        self.request(Input::Read).await
    }

    async fn poll(mut self, _: context::Context, known_number: u64) -> PollReply {
        let is_newer =
            |v: &Option<Arc<Version>>| v.as_ref().is_some_and(|v| v.number > known_number);
        let deadline = Instant::now() + POLL_TIMEOUT;
        loop {
            let newer =
                match timeout(FRESHNESS_CHECK_INTERVAL, self.versions.wait_for(is_newer)).await {
                    Ok(Ok(newer)) => newer.clone(),
                    Ok(Err(_)) => return PollReply::Unavailable,
                    Err(_) => None,
                };
            if let Some(newer) = newer {
                return PollReply::Newer(Version::clone(&newer));
            }
            if !self.is_current() {
                return PollReply::Unavailable;
            }
            if Instant::now() >= deadline {
                return PollReply::Current;
            }
        }
    }
}

/// Starts the control thread and waits until its runtime is built.
fn spawn_replica<D>(
    replica: ReplicaThread<D>,
    inputs: mpsc::Receiver<Input>,
) -> io::Result<JoinHandle<Result<()>>>
where
    D: Disk + Send + 'static,
{
    let (ready, started) = std_mpsc::channel();
    let thread = thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_time()
                .build();
            let (runtime, result) = match runtime {
                Ok(runtime) => (Some(runtime), Ok(())),
                Err(e) => (None, Err(e)),
            };
            let _ = ready.send(result);
            match runtime {
                Some(runtime) => runtime.block_on(replica.run(inputs)),
                None => Err(Error::Stopped),
            }
        })?;
    started.recv().map_err(io::Error::other)??;
    Ok(thread)
}

/// State of the control thread, which runs the node.
struct ReplicaThread<D> {
    node: Node<D>,
    started_at: Instant,
    confirmed_us: Arc<AtomicU64>,
    versions: watch::Sender<Option<Arc<Version>>>,
    peers: PeerConnections,
    clients: HashMap<ClientId, oneshot::Sender<Reply>>,
    next_client: u64,
}

impl<D: Disk> ReplicaThread<D> {
    async fn run(mut self, mut inputs: mpsc::Receiver<Input>) -> Result<()> {
        loop {
            let wake = self.node.next_wake().since(Timestamp::ZERO);
            let input = tokio::select! {
                input = inputs.recv() => match input {
                    Some(input) => Some(input),
                    None => return Ok(()),
                },
                () = sleep_until(self.started_at + wake) => None,
            };
            let outputs = self.step(input).inspect_err(|e| {
                log::warn!("E404 control replica stops after a storage error: {e}");
            })?;
            self.publish_version();
            for output in outputs {
                self.execute(output);
            }
        }
    }

    fn step(&mut self, input: Option<Input>) -> Result<Vec<Output>> {
        let clock = ClockReading {
            now: Timestamp::ZERO + self.started_at.elapsed(),
            wall: UnixMillis::now(),
        };
        match input {
            None => self.node.tick(clock),
            Some(Input::Peer(envelope)) => self.node.receive(envelope, clock),
            Some(Input::Command(command, sender)) => {
                let client = self.register_client(sender);
                self.node.command(client, command, clock)
            }
            Some(Input::Read(sender)) => {
                let client = self.register_client(sender);
                self.node.read(client, clock)
            }
        }
    }

    fn register_client(&mut self, sender: oneshot::Sender<Reply>) -> ClientId {
        self.next_client += 1;
        let client = ClientId(self.next_client);
        self.clients.insert(client, sender);
        client
    }

    /// Publishes the time of the last confirmation and a newer version to the waiting polls.
    fn publish_version(&mut self) {
        if let Some(at) = self.node.confirmed_at() {
            let since = at.since(Timestamp::ZERO).as_micros();
            self.confirmed_us.store(since as u64, Ordering::Relaxed);
        }
        let published = self.versions.borrow().as_ref().map_or(0, |v| v.number);
        if let Some(newer) = self.node.poll(published) {
            self.versions.send_replace(Some(Arc::new(newer.clone())));
        }
    }

    fn execute(&mut self, output: Output) {
        match output {
            Output::Send { address, envelope } => self.peers.send(address, envelope),
            Output::Reply { client, reply } => {
                // The client may have disconnected.
                if let Some(sender) = self.clients.remove(&client) {
                    let _ = sender.send(reply);
                }
            }
        }
    }
}

/// Outgoing connections: one task for each peer address, which sends its messages in order. An invalid address gets no
/// task; it is logged once, and all messages to it are dropped.
struct PeerConnections {
    runtime: tokio::runtime::Handle,
    senders: HashMap<String, mpsc::Sender<Envelope>>,
}

impl PeerConnections {
    fn send(&mut self, address: String, envelope: Envelope) {
        let open = |address: &String| {
            let (sender, receiver) = mpsc::channel(MAX_QUEUED_MESSAGES);
            match address.parse() {
                Ok(peer) => drop(self.runtime.spawn(deliver_messages(peer, receiver))),
                Err(e) => log::warn!("E405 invalid address {address:?} of a control replica: {e}"),
            }
            sender
        };
        if !self.senders.contains_key(&address) {
            let sender = open(&address);
            self.senders.insert(address.clone(), sender);
        }
        // If the queue is full, the message is dropped, and the proposer tries again after a timeout.
        let _ = self.senders[&address].try_send(envelope);
    }
}

/// Sends messages to one peer. After an error, drops the message and all that wait, and reconnects for the next one.
async fn deliver_messages(peer: SocketAddr, mut envelopes: mpsc::Receiver<Envelope>) {
    let mut connection = None;
    while let Some(envelope) = envelopes.recv().await {
        let rpc = match connection.take() {
            Some(rpc) => Ok(rpc),
            None => connect(peer).await,
        };
        let mut context = context::current();
        context.deadline = std::time::Instant::now() + PEER_TIMEOUT;
        if let Ok(rpc) = rpc
            && rpc.peer(context, envelope).await.is_ok()
        {
            connection = Some(rpc);
            continue;
        }
        // Messages that waited for an unreachable peer are out of date.
        while envelopes.try_recv().is_ok() {}
    }
}
