//! TCP connections between processes, one per pair, used in both directions.
//!
//! The connecting side first sends the address at which other processes reach it, as one length byte and text. After
//! that, each frame is a little-endian `u32` length and a message encoded with postcard. Every exchange of messages has
//! answers, so a connection that delivers in only one direction receives none; it times out and is closed.

use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex, OnceLock, PoisonError,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::{Buf, BufMut, BytesMut};
use figdeal_core::chunk_buffer::ChunkBuffer;
use figdeal_limits::{
    client_table::{Class, Refusal},
    gate::{Client, Gate, Reservation},
};
use figdeal_queue::message::PeerMessage;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::{mpsc, oneshot},
    time::timeout,
};

use crate::clock;

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Time without any answer to sent messages after which a connection is closed. Nodes answer within two heartbeat
/// intervals of 0.3 s. Also the TCP user timeout.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(900);
/// Interval of the check for unanswered messages, and the delay after a failed `accept`.
const SILENCE_CHECK_INTERVAL: Duration = Duration::from_millis(300);
/// Bound of the send queue of a connection, in messages. Further messages are dropped, as on a lost connection.
const MAX_QUEUED_MESSAGES: usize = 4_096;
/// Bound of the send queue of a connection, in bytes. The queue fills up while a network partition separates the peer.
const MAX_QUEUED_BYTES: usize = 8 * 1024 * 1024;
/// Largest frame. The largest message is a snapshot of the state.
const MAX_FRAME_BYTES: usize = 64 * 1024 * 1024;
/// Size of the length prefix of a frame.
const FRAME_HEADER_BYTES: usize = 4;
/// Size of the read buffer. Longer frames are taken from the budget of the process.
const READ_BUFFER_BYTES: usize = 16 * 1024;
/// Smallest number of known peers at which those without a connection are removed.
const MIN_PRUNED_PEERS: usize = 64;
/// Timeout for the address that the connecting side sends first.
const GREETING_TIMEOUT: Duration = Duration::from_secs(1);

/// Event that the connections report to the owner of [`Connections`].
#[derive(Debug)]
pub(crate) enum ConnectionEvent {
    /// A message was received.
    Message(PeerMessage),
    /// The process at this address has connected; messages to it use this connection from now on.
    Accepted(SocketAddr, Connection),
    /// A connection was lost, including messages in transit.
    Lost {
        /// Address of the other process.
        peer: SocketAddr,
        /// Identifies the connection within this process.
        connection_id: u64,
        /// The peer refused the connection: no process listens at its address.
        connection_refused: bool,
    },
}

/// The sending side of one connection.
#[derive(Debug, Clone)]
pub(crate) struct Connection {
    id: u64,
    peer_state: Arc<PeerState>,
    frames: mpsc::Sender<Vec<u8>>,
    /// Bytes of the queued frames, headers included.
    queued_bytes: Arc<AtomicUsize>,
}

/// Encoded messages that wait to be written to a connection.
struct SendQueue {
    frames: mpsc::Receiver<Vec<u8>>,
    queued_bytes: Arc<AtomicUsize>,
}

impl Connection {
    fn new(id: u64, peer_state: Arc<PeerState>) -> (Connection, SendQueue) {
        let (sender, frames) = mpsc::channel(MAX_QUEUED_MESSAGES);
        let queued_bytes = Arc::new(AtomicUsize::new(0));
        let connection = Connection {
            id,
            peer_state,
            frames: sender,
            queued_bytes: Arc::clone(&queued_bytes),
        };
        (
            connection,
            SendQueue {
                frames,
                queued_bytes,
            },
        )
    }

    /// Queues a message. Returns whether the send queue had space for it.
    fn try_send(&self, message: &PeerMessage) -> bool {
        self.peer_state.learn_role(Role::of_receiver(message));
        let frame = postcard::to_stdvec(message).expect("messages can be encoded");
        let size = frame.len() + FRAME_HEADER_BYTES;
        let queued_bytes = self.queued_bytes.fetch_add(size, Ordering::Relaxed);
        // A message larger than the byte bound is still accepted while the queue is empty.
        let sent = (queued_bytes == 0 || queued_bytes + size <= MAX_QUEUED_BYTES)
            && self.frames.try_send(frame).is_ok();
        if !sent {
            self.queued_bytes.fetch_sub(size, Ordering::Relaxed);
        }
        sent
    }
}

/// State shared by all connections to one process. There may be two if both sides have connected.
#[derive(Debug, Default)]
struct PeerState {
    /// When the oldest unanswered message was sent, in microseconds of [`clock::now`]; 0 if there is none. Any received
    /// bytes count as the answer to all messages sent before.
    first_unanswered_us: AtomicU64,
    /// Role of the process, once a message has shown it.
    role: OnceLock<Role>,
}

impl PeerState {
    fn learn_role(&self, role: Option<Role>) {
        if let Some(role) = role {
            self.role.get_or_init(|| role);
        }
    }

    /// Returns for how many milliseconds a message has been without an answer; 0 if none is.
    fn unanswered_ms(&self) -> u64 {
        match self.first_unanswered_us.load(Ordering::Relaxed) {
            0 => 0,
            since => clock::now().as_micros().saturating_sub(since) / 1_000,
        }
    }
}

/// All connections of this process.
#[derive(Debug)]
pub(crate) struct Connections {
    own_address: SocketAddr,
    /// Connection in use for each peer.
    active: HashMap<SocketAddr, Connection>,
    events: mpsc::Sender<ConnectionEvent>,
    shared: Arc<SharedState>,
    /// Connections replaced by newer ones. They are still read and write what is already queued, but get no further
    /// messages.
    superseded: Vec<Connection>,
}

/// State shared between the connection tasks.
#[derive(Debug, Default)]
struct SharedState {
    next_id: AtomicU64,
    peers: Mutex<HashMap<SocketAddr, Arc<PeerState>>>,
    /// Number of entries in `peers` at which those without a connection are removed: any client may state an address.
    prune_at: AtomicUsize,
}

impl SharedState {
    fn allocate_id(&self) -> u64 {
        self.next_id.fetch_add(1, Ordering::Relaxed)
    }

    fn peer_state(&self, peer: SocketAddr) -> Arc<PeerState> {
        let mut peers = self.peers.lock().unwrap_or_else(PoisonError::into_inner);
        if peers.len() >= self.prune_at.load(Ordering::Relaxed) {
            peers.retain(|_, state| Arc::strong_count(state) > 1);
            let prune_at = (2 * peers.len()).max(MIN_PRUNED_PEERS);
            self.prune_at.store(prune_at, Ordering::Relaxed);
        }
        Arc::clone(peers.entry(peer).or_default())
    }
}

impl Connections {
    /// Listens on `bind_address`, or on `own_address` if there is none, and reports to `events`. Connections that other
    /// processes open pass `gate`. The two addresses differ when a
    /// forwarder listens on `own_address`.
    ///
    /// # Errors
    /// Fails when it cannot listen on the address.
    pub(crate) async fn listen(
        own_address: SocketAddr,
        bind_address: Option<SocketAddr>,
        gate: Arc<Gate>,
        events: mpsc::Sender<ConnectionEvent>,
    ) -> io::Result<Connections> {
        let listener = TcpListener::bind(bind_address.unwrap_or(own_address)).await?;
        let shared = Arc::new(SharedState::default());
        let connections = Connections {
            own_address,
            active: HashMap::new(),
            events,
            shared,
            superseded: Vec::new(),
        };
        tokio::spawn(accept_loop(
            listener,
            own_address,
            gate,
            connections.events.clone(),
            Arc::clone(&connections.shared),
        ));
        Ok(connections)
    }

    /// Queues a message, and opens a connection if there is none. The message is dropped if the send queue is full.
    pub(crate) fn send(&mut self, to: SocketAddr, message: PeerMessage) {
        let open = self
            .active
            .get(&to)
            .is_some_and(|connection| !connection.frames.is_closed());
        if !open {
            let connection = self.connect(to);
            self.active.insert(to, connection);
        }
        if !self.active[&to].try_send(&message) {
            log::warn!("E652 send queue full, message dropped peer={to}");
            metrics::counter!("figdeal_queue_link_drops_total").increment(1);
        }
    }

    /// Makes a connection that another process opened the one in use.
    pub(crate) fn on_accepted(&mut self, from: SocketAddr, connection: Connection) {
        if let Some(previous) = self.active.insert(from, connection) {
            self.superseded.push(previous);
        }
    }

    /// Removes a lost connection. Returns whether it was the one in use.
    pub(crate) fn on_lost(&mut self, address: SocketAddr, connection_id: u64) -> bool {
        self.superseded
            .retain(|connection| connection.id != connection_id);
        let used = self
            .active
            .get(&address)
            .is_some_and(|connection| connection.id == connection_id);
        if used {
            self.active.remove(&address);
        }
        used
    }

    fn connect(&self, to: SocketAddr) -> Connection {
        let peer_state = self.shared.peer_state(to);
        peer_state.first_unanswered_us.store(0, Ordering::Relaxed);
        let id = self.shared.allocate_id();
        let (connection, send_queue) = Connection::new(id, Arc::clone(&peer_state));
        let opened = PeerConnection {
            peer: to,
            connection_id: id,
            peer_state,
            opened_by: Opener::Own,
            client: None,
        };
        let (events, own_address) = (self.events.clone(), self.own_address);
        tokio::spawn(async move {
            match timeout(CONNECT_TIMEOUT, TcpStream::connect(to)).await {
                Ok(Ok(stream)) => {
                    run_connection(stream, opened, own_address, send_queue, events).await
                }
                Ok(Err(e)) => {
                    let connection_refused = e.kind() == io::ErrorKind::ConnectionRefused;
                    opened
                        .report_lost(connection_refused, &events, &e.to_string())
                        .await;
                }
                Err(_) => {
                    opened
                        .report_lost(false, &events, "timed out while connecting")
                        .await
                }
            }
        });
        connection
    }
}

async fn accept_loop(
    listener: TcpListener,
    own_address: SocketAddr,
    gate: Arc<Gate>,
    events: mpsc::Sender<ConnectionEvent>,
    shared: Arc<SharedState>,
) {
    loop {
        let (stream, address) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(e) => {
                log::warn!("E654 cannot accept a connection error={e}");
                tokio::time::sleep(SILENCE_CHECK_INTERVAL).await;
                continue;
            }
        };
        let Some((client, mut evicted)) = gate.open(address.ip(), Class::Ordinary) else {
            continue;
        };
        let events = events.clone();
        let shared = Arc::clone(&shared);
        tokio::spawn(async move {
            let mut stream = stream;
            let greeting = tokio::select! {
                _ = &mut evicted => return,
                greeting = timeout(GREETING_TIMEOUT, read_greeting(&mut stream)) => greeting,
            };
            let Ok(Ok(peer)) = greeting else {
                return;
            };
            let (connection_id, peer_state) = (shared.allocate_id(), shared.peer_state(peer));
            let (connection, send_queue) = Connection::new(connection_id, Arc::clone(&peer_state));
            if events
                .send(ConnectionEvent::Accepted(peer, connection))
                .await
                .is_ok()
            {
                let accepted = PeerConnection {
                    peer,
                    connection_id,
                    peer_state,
                    opened_by: Opener::Peer,
                    client: Some((Arc::new(client), evicted)),
                };
                run_connection(stream, accepted, own_address, send_queue, events).await;
            }
        });
    }
}

/// Reads the address that the connecting side sends first.
async fn read_greeting(stream: &mut TcpStream) -> io::Result<SocketAddr> {
    let length = stream.read_u8().await?;
    let mut text = vec![0; usize::from(length)];
    stream.read_exact(&mut text).await?;
    let text = String::from_utf8(text).map_err(io::Error::other)?;
    text.parse().map_err(io::Error::other)
}

/// Kind of a process, as its messages show it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Role {
    Agent,
    Node,
}

impl Role {
    /// Returns the role of the process that has sent a message.
    fn of_sender(message: &PeerMessage) -> Role {
        match message {
            PeerMessage::Announce(_) | PeerMessage::Report(_) => Role::Agent,
            PeerMessage::Hello(_)
            | PeerMessage::LeaderInfo(_)
            | PeerMessage::Bootstrap(_)
            | PeerMessage::Raft { .. }
            | PeerMessage::RecentJobs(_)
            | PeerMessage::Forward { .. }
            | PeerMessage::Withdraw { .. }
            | PeerMessage::Reply { .. }
            | PeerMessage::Orders(_) => Role::Node,
        }
    }

    /// Returns the role of the process that a message is sent to. Both nodes and agents get to know the leader.
    fn of_receiver(message: &PeerMessage) -> Option<Role> {
        match message {
            PeerMessage::LeaderInfo(_) => None,
            PeerMessage::Orders(_) => Some(Role::Agent),
            PeerMessage::Hello(_)
            | PeerMessage::Bootstrap(_)
            | PeerMessage::Raft { .. }
            | PeerMessage::RecentJobs(_)
            | PeerMessage::Forward { .. }
            | PeerMessage::Withdraw { .. }
            | PeerMessage::Reply { .. }
            | PeerMessage::Announce(_)
            | PeerMessage::Report(_) => Some(Role::Node),
        }
    }
}

/// Side that opened a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Opener {
    Own,
    Peer,
}

/// Identity and peer of a connection.
struct PeerConnection {
    peer: SocketAddr,
    connection_id: u64,
    peer_state: Arc<PeerState>,
    opened_by: Opener,
    /// Admission of a connection that the peer opened; the receiver ends when it is evicted.
    client: Option<(Arc<Client>, oneshot::Receiver<()>)>,
}

impl PeerConnection {
    /// Logs and reports that the connection was lost.
    async fn report_lost(
        &self,
        connection_refused: bool,
        events: &mpsc::Sender<ConnectionEvent>,
        reason: &str,
    ) {
        let role = match self.peer_state.role.get() {
            Some(Role::Agent) => "agent",
            Some(Role::Node) => "node",
            None => "unknown",
        };
        let opened_by = match self.opened_by {
            Opener::Own => "self",
            Opener::Peer => "peer",
        };
        log::info!(
            "E653 connection lost peer={} role={role} opened_by={opened_by} unanswered_ms={} \
             reason={reason:?}",
            self.peer,
            self.peer_state.unanswered_ms()
        );
        // The receiver is gone only when the process is ending.
        let _ = events
            .send(ConnectionEvent::Lost {
                peer: self.peer,
                connection_id: self.connection_id,
                connection_refused,
            })
            .await;
    }
}

/// Runs a connection until it fails, is closed or times out, then reports the loss. The side that opened it sends its
/// address first.
async fn run_connection(
    mut stream: TcpStream,
    mut connection: PeerConnection,
    own_address: SocketAddr,
    send_queue: SendQueue,
    events: mpsc::Sender<ConnectionEvent>,
) {
    let (client, evicted) = connection.client.take().unzip();
    let peer_state = &connection.peer_state;
    let _ = stream.set_nodelay(true);
    let _ = socket2::SockRef::from(&stream).set_tcp_user_timeout(Some(SILENCE_TIMEOUT));
    if connection.opened_by == Opener::Own {
        let text = own_address.to_string();
        let mut greeting = vec![text.len() as u8];
        greeting.extend_from_slice(text.as_bytes());
        if let Err(e) = stream.write_all(&greeting).await {
            return connection.report_lost(false, &events, &e.to_string()).await;
        }
    }
    let (input, output) = stream.into_split();
    let reason = tokio::select! {
        end = read_frames(input, client, peer_state, &events) => end,
        end = write_frames(output, peer_state, send_queue) => end,
        () = wait_for_silence(peer_state) => Ok("no answer in time"),
        () = wait_for_eviction(evicted) => Ok("evicted"),
    };
    let reason = reason.unwrap_or_else(|e| {
        log::debug!("E655 connection failed peer={} error={e}", connection.peer);
        "failed"
    });
    connection.report_lost(false, &events, reason).await;
}

/// Returns once a sent message has been without an answer for longer than [`SILENCE_TIMEOUT`].
async fn wait_for_silence(peer_state: &PeerState) {
    loop {
        tokio::time::sleep(SILENCE_CHECK_INTERVAL).await;
        let first_unanswered = peer_state.first_unanswered_us.load(Ordering::Relaxed);
        if first_unanswered > 0
            && clock::now().as_micros() > first_unanswered + SILENCE_TIMEOUT.as_micros() as u64
        {
            return;
        }
    }
}

/// Returns once an accepted connection is evicted. Other connections never are.
async fn wait_for_eviction(evicted: Option<oneshot::Receiver<()>>) {
    match evicted {
        Some(evicted) => drop(evicted.await),
        None => std::future::pending().await,
    }
}

async fn read_frames(
    mut input: OwnedReadHalf,
    client: Option<Arc<Client>>,
    peer_state: &PeerState,
    events: &mpsc::Sender<ConnectionEvent>,
) -> io::Result<&'static str> {
    let mut buffer = FrameBuffer::new(client);
    loop {
        let received = input.read_buf(&mut buffer.bytes).await?;
        if received == 0 {
            return Ok("closed by the peer");
        }
        peer_state.first_unanswered_us.store(0, Ordering::Relaxed);
        buffer.count(received).map_err(io::Error::other)?;
        while let Some(frame) = buffer.split_frame()? {
            let message = postcard::from_bytes(&frame).map_err(io::Error::other)?;
            peer_state.learn_role(Some(Role::of_sender(&message)));
            if events
                .send(ConnectionEvent::Message(message))
                .await
                .is_err()
            {
                return Ok("shutting down");
            }
        }
        buffer.end_message();
    }
}

/// Received bytes that are not yet a complete frame.
struct FrameBuffer {
    /// Read buffer.
    bytes: BytesMut,
    /// Length of a frame that is longer than the read buffer, if one has begun.
    long_frame: Option<usize>,
    /// Received part of the long frame.
    received: ChunkBuffer,
    client: Option<Arc<Client>>,
    /// What the long frame may hold by now.
    reservation: Option<Reservation>,
    reserved_bytes: usize,
}

impl FrameBuffer {
    fn new(client: Option<Arc<Client>>) -> FrameBuffer {
        FrameBuffer {
            bytes: BytesMut::with_capacity(READ_BUFFER_BYTES),
            long_frame: None,
            received: ChunkBuffer::default(),
            client,
            reservation: None,
            reserved_bytes: 0,
        }
    }

    /// Splits the first frame off the buffer. Returns `None` if the frame is incomplete.
    fn split_frame(&mut self) -> io::Result<Option<Vec<u8>>> {
        if let Some(length) = self.long_frame {
            return self.continue_frame(length);
        }
        let Some(header) = self.bytes.get(..FRAME_HEADER_BYTES) else {
            self.bytes.reserve(READ_BUFFER_BYTES);
            return Ok(None);
        };
        let length = u32::from_le_bytes(header.try_into().expect("four bytes")) as usize;
        if length > MAX_FRAME_BYTES {
            return Err(io::Error::other("the message is too long"));
        }
        let size = FRAME_HEADER_BYTES + length;
        if size <= self.bytes.len() {
            self.bytes.advance(FRAME_HEADER_BYTES);
            return Ok(Some(self.bytes.split_to(length).to_vec()));
        }
        if size <= READ_BUFFER_BYTES {
            self.bytes.reserve(READ_BUFFER_BYTES);
            return Ok(None);
        }
        self.bytes.advance(FRAME_HEADER_BYTES);
        self.long_frame = Some(length);
        self.continue_frame(length)
    }

    /// Moves received bytes of a long frame out of the read buffer. Returns the frame if it is complete.
    fn continue_frame(&mut self, length: usize) -> io::Result<Option<Vec<u8>>> {
        let part = self.bytes.len().min(length - self.received.len());
        let is_complete = self.received.len() + part == length;
        // A complete frame is copied into one piece.
        let needed = match is_complete {
            true => 2 * length,
            false => self.received.len() + part,
        };
        self.reserve(needed.min(2 * length))
            .map_err(io::Error::other)?;
        self.received.extend(&self.bytes.split_to(part));
        self.bytes.reserve(READ_BUFFER_BYTES);
        if !is_complete {
            return Ok(None);
        }
        self.long_frame = None;
        let frame = self.received.take();
        (self.reservation, self.reserved_bytes) = (None, 0);
        Ok(Some(frame))
    }

    /// Takes at least `bytes` from the budget, in steps of twice the size.
    fn reserve(&mut self, bytes: usize) -> Result<(), Refusal> {
        let Some(client) = self.client.as_ref().filter(|_| bytes > self.reserved_bytes) else {
            return Ok(());
        };
        self.reservation = None;
        self.reserved_bytes = bytes.max(2 * self.reserved_bytes);
        self.reservation = Some(client.reserve(self.reserved_bytes)?);
        Ok(())
    }

    /// Counts received bytes.
    fn count(&self, received: usize) -> Result<(), Refusal> {
        match &self.client {
            Some(client) => client.on_received(received, 0),
            None => Ok(()),
        }
    }

    /// Tells the gate that no frame is incomplete, if so.
    fn end_message(&self) {
        if let Some(client) = &self.client
            && self.bytes.is_empty()
            && self.long_frame.is_none()
        {
            client.end_message();
        }
    }
}

async fn write_frames(
    mut output: OwnedWriteHalf,
    peer_state: &PeerState,
    mut send_queue: SendQueue,
) -> io::Result<&'static str> {
    let mut bytes = BytesMut::new();
    while let Some(frame) = send_queue.frames.recv().await {
        append_frame(&mut bytes, &frame);
        // Frames queued in the meantime go out in the same write.
        while let Ok(frame) = send_queue.frames.try_recv() {
            append_frame(&mut bytes, &frame);
        }
        let now = clock::now().as_micros();
        let _ = peer_state.first_unanswered_us.compare_exchange(
            0,
            now,
            Ordering::Relaxed,
            Ordering::Relaxed,
        );
        let size = bytes.len();
        output.write_all(&bytes).await?;
        send_queue.queued_bytes.fetch_sub(size, Ordering::Relaxed);
        bytes.clear();
    }
    Ok("send queue closed")
}

fn append_frame(bytes: &mut BytesMut, frame: &[u8]) {
    bytes.put_u32_le(frame.len() as u32);
    bytes.extend_from_slice(frame);
}
