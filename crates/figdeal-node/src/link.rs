//! Connections between processes: one for a pair, used in both directions.
//!
//! Each frame is a length and an encoded message. Whoever connects tells its own address first. Every conversation has
//! answers, so a connection that carries only in one direction is found silent and closed.

use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::{Buf, BufMut, BytesMut};
use figdeal_queue::message::PeerMessage;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::mpsc,
    time::timeout,
};

use crate::clock;

/// Time to connect.
const CONNECT_LIMIT: Duration = Duration::from_millis(400);
/// Time without any answer after which a connection is closed. Nodes answer within two heartbeats of 0.3 s.
const SILENT: Duration = Duration::from_millis(900);
/// Time between two checks for silence.
const CHECK: Duration = Duration::from_millis(300);
/// Messages that wait for a connection; further ones are dropped, as on a lost connection.
const QUEUE: usize = 4_096;
/// Bytes that wait for a connection, which a peer behind a cut does not take.
const QUEUE_BYTES: usize = 8 * 1024 * 1024;
/// Longest message. A snapshot of the state is the longest.
const MAX_FRAME: usize = 64 * 1024 * 1024;
/// Bytes before a message, which give its length.
const HEADER: usize = 4;
/// Bytes that are read at once.
const READ: usize = 64 * 1024;
/// Time for which a new connection that tells nothing is kept.
const GREETING_LIMIT: Duration = Duration::from_secs(1);

/// What connections report.
#[derive(Debug)]
pub(crate) enum Event {
    /// A message has arrived.
    Message(PeerMessage),
    /// Another process has connected; `Links` sends to it over this connection.
    Accepted(SocketAddr, Link),
    /// A connection was lost with what was on its way.
    Lost {
        /// The other process.
        peer: SocketAddr,
        /// Number of the connection.
        number: u64,
        /// No process listens there.
        refused: bool,
    },
}

/// One connection.
#[derive(Debug, Clone)]
pub(crate) struct Link {
    number: u64,
    queue: mpsc::Sender<Vec<u8>>,
    /// Bytes in the queue.
    queued: Arc<AtomicUsize>,
}

/// Encoded messages that wait for a connection.
struct Waiting {
    frames: mpsc::Receiver<Vec<u8>>,
    queued: Arc<AtomicUsize>,
}

impl Link {
    fn new(number: u64) -> (Link, Waiting) {
        let (queue, frames) = mpsc::channel(QUEUE);
        let queued = Arc::new(AtomicUsize::new(0));
        let link = Link {
            number,
            queue,
            queued: Arc::clone(&queued),
        };
        (link, Waiting { frames, queued })
    }

    /// Adds a message. Returns whether there was room for it.
    fn push(&self, peer: &PeerMessage) -> bool {
        let frame = postcard::to_stdvec(peer).expect("messages can be encoded");
        let size = frame.len() + HEADER;
        let queued = self.queued.fetch_add(size, Ordering::Relaxed);
        // A message that is larger than the limit by itself still goes out alone.
        let pushed =
            (queued == 0 || queued + size <= QUEUE_BYTES) && self.queue.try_send(frame).is_ok();
        if !pushed {
            self.queued.fetch_sub(size, Ordering::Relaxed);
        }
        pushed
    }
}

/// What is known of the connections to one process, which may be two if both sides have connected.
#[derive(Debug, Default)]
struct Traffic {
    /// Time of the first message that has no answer yet, 0 for none.
    unanswered: AtomicU64,
}

/// All connections of a process.
#[derive(Debug)]
pub(crate) struct Links {
    own: SocketAddr,
    links: HashMap<SocketAddr, Link>,
    events: mpsc::Sender<Event>,
    shared: Arc<Shared>,
    /// Connections that are still read but no longer written to.
    retired: Vec<Link>,
}

/// What the connections share.
#[derive(Debug, Default)]
struct Shared {
    numbers: AtomicU64,
    traffic: Mutex<HashMap<SocketAddr, Arc<Traffic>>>,
}

impl Shared {
    fn number(&self) -> u64 {
        self.numbers.fetch_add(1, Ordering::Relaxed)
    }

    fn traffic(&self, peer: SocketAddr) -> Arc<Traffic> {
        let mut traffic = self.traffic.lock().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(traffic.entry(peer).or_default())
    }
}

impl Links {
    /// Listens for the address `own`, at `behind` if a forwarder stands before it, and reports to `events`.
    ///
    /// # Errors
    /// Fails when the address cannot be listened on.
    pub(crate) async fn listen(
        own: SocketAddr,
        behind: Option<SocketAddr>,
        events: mpsc::Sender<Event>,
    ) -> io::Result<Links> {
        let listener = TcpListener::bind(behind.unwrap_or(own)).await?;
        let shared = Arc::new(Shared::default());
        let links = Links {
            own,
            links: HashMap::new(),
            events,
            shared,
            retired: Vec::new(),
        };
        tokio::spawn(accept(
            listener,
            links.events.clone(),
            Arc::clone(&links.shared),
        ));
        Ok(links)
    }

    /// Sends a message, over a new connection if there is none.
    pub(crate) fn send(&mut self, to: SocketAddr, peer: PeerMessage) {
        let open = self
            .links
            .get(&to)
            .is_some_and(|link| !link.queue.is_closed());
        if !open {
            let link = self.dial(to);
            self.links.insert(to, link);
        }
        if !self.links[&to].push(&peer) {
            log::warn!("E652 message dropped peer={to}");
            metrics::counter!("figdeal_queue_link_drops_total").increment(1);
        }
    }

    /// Uses a connection that another process has opened.
    pub(crate) fn accepted(&mut self, from: SocketAddr, link: Link) {
        if let Some(before) = self.links.insert(from, link) {
            self.retired.push(before);
        }
    }

    /// Forgets a lost connection. Returns whether it was the one in use.
    pub(crate) fn lost(&mut self, address: SocketAddr, number: u64) -> bool {
        self.retired.retain(|link| link.number != number);
        let used = self
            .links
            .get(&address)
            .is_some_and(|link| link.number == number);
        if used {
            self.links.remove(&address);
        }
        used
    }

    fn dial(&self, to: SocketAddr) -> Link {
        let (link, waiting) = Link::new(self.shared.number());
        let number = link.number;
        let traffic = self.shared.traffic(to);
        traffic.unanswered.store(0, Ordering::Relaxed);
        let (events, own) = (self.events.clone(), self.own);
        tokio::spawn(async move {
            match timeout(CONNECT_LIMIT, TcpStream::connect(to)).await {
                Ok(Ok(stream)) => {
                    run(
                        stream,
                        Peering {
                            peer: to,
                            number,
                            traffic,
                        },
                        Some(own),
                        waiting,
                        events,
                    )
                    .await
                }
                Ok(Err(e)) => {
                    let refused = e.kind() == io::ErrorKind::ConnectionRefused;
                    lose(to, number, refused, &events, &e.to_string()).await;
                }
                Err(_) => lose(to, number, false, &events, "no connection in time").await,
            }
        });
        link
    }
}

async fn lose(
    peer: SocketAddr,
    number: u64,
    refused: bool,
    events: &mpsc::Sender<Event>,
    reason: &str,
) {
    log::info!("E653 connection lost peer={peer} reason={reason:?}");
    // The process ends when nobody takes events any more.
    let _ = events
        .send(Event::Lost {
            peer,
            number,
            refused,
        })
        .await;
}

async fn accept(listener: TcpListener, events: mpsc::Sender<Event>, shared: Arc<Shared>) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(e) => {
                log::warn!("E654 connection not accepted error={e}");
                tokio::time::sleep(CHECK).await;
                continue;
            }
        };
        let events = events.clone();
        let shared = Arc::clone(&shared);
        tokio::spawn(async move {
            let mut stream = stream;
            let Ok(Ok(peer)) = timeout(GREETING_LIMIT, read_greeting(&mut stream)).await else {
                return;
            };
            let (link, waiting) = Link::new(shared.number());
            let (number, traffic) = (link.number, shared.traffic(peer));
            if events.send(Event::Accepted(peer, link)).await.is_ok() {
                run(
                    stream,
                    Peering {
                        peer,
                        number,
                        traffic,
                    },
                    None,
                    waiting,
                    events,
                )
                .await;
            }
        });
    }
}

async fn read_greeting(stream: &mut TcpStream) -> io::Result<SocketAddr> {
    let length = stream.read_u8().await?;
    let mut text = vec![0; usize::from(length)];
    stream.read_exact(&mut text).await?;
    let text = String::from_utf8(text).map_err(io::Error::other)?;
    text.parse().map_err(io::Error::other)
}

/// The other end of a connection.
struct Peering {
    peer: SocketAddr,
    number: u64,
    traffic: Arc<Traffic>,
}

async fn run(
    mut stream: TcpStream,
    peering: Peering,
    greeting: Option<SocketAddr>,
    waiting: Waiting,
    events: mpsc::Sender<Event>,
) {
    let Peering {
        peer,
        number,
        traffic,
    } = peering;
    let _ = stream.set_nodelay(true);
    let _ = socket2::SockRef::from(&stream).set_tcp_user_timeout(Some(SILENT));
    if let Some(own) = greeting {
        let text = own.to_string();
        let mut greeting = vec![text.len() as u8];
        greeting.extend_from_slice(text.as_bytes());
        if let Err(e) = stream.write_all(&greeting).await {
            return lose(peer, number, false, &events, &e.to_string()).await;
        }
    }
    let (input, output) = stream.into_split();
    let reason = tokio::select! {
        end = read(input, &traffic, &events) => end,
        end = write(output, &traffic, waiting) => end,
        () = watch(&traffic) => Ok("silent"),
    };
    let reason = reason.unwrap_or_else(|e| {
        log::debug!("E655 connection failed peer={peer} error={e}");
        "failed"
    });
    lose(peer, number, false, &events, reason).await;
}

/// Ends when messages stay without an answer.
async fn watch(traffic: &Traffic) {
    loop {
        tokio::time::sleep(CHECK).await;
        let since = traffic.unanswered.load(Ordering::Relaxed);
        if since > 0 && clock::now().as_micros() > since + SILENT.as_micros() as u64 {
            return;
        }
    }
}

async fn read(
    mut input: OwnedReadHalf,
    traffic: &Traffic,
    events: &mpsc::Sender<Event>,
) -> io::Result<&'static str> {
    let mut buffer = BytesMut::with_capacity(READ);
    loop {
        if input.read_buf(&mut buffer).await? == 0 {
            return Ok("closed by the peer");
        }
        traffic.unanswered.store(0, Ordering::Relaxed);
        while let Some(frame) = split(&mut buffer)? {
            let peer = postcard::from_bytes(&frame).map_err(io::Error::other)?;
            if events.send(Event::Message(peer)).await.is_err() {
                return Ok("shutting down");
            }
        }
    }
}

fn split(buffer: &mut BytesMut) -> io::Result<Option<BytesMut>> {
    let Some(header) = buffer.get(..HEADER) else {
        return Ok(None);
    };
    let length = u32::from_le_bytes(header.try_into().expect("four bytes")) as usize;
    if length > MAX_FRAME {
        return Err(io::Error::other("the message is too long"));
    }
    if buffer.len() < HEADER + length {
        buffer.reserve(HEADER + length - buffer.len());
        return Ok(None);
    }
    buffer.advance(HEADER);
    Ok(Some(buffer.split_to(length)))
}

async fn write(
    mut output: OwnedWriteHalf,
    traffic: &Traffic,
    mut waiting: Waiting,
) -> io::Result<&'static str> {
    let mut bytes = BytesMut::new();
    while let Some(frame) = waiting.frames.recv().await {
        append(&mut bytes, &frame);
        // What has collected meanwhile goes out in the same call.
        while let Ok(frame) = waiting.frames.try_recv() {
            append(&mut bytes, &frame);
        }
        let now = clock::now().as_micros();
        let _ = traffic
            .unanswered
            .compare_exchange(0, now, Ordering::Relaxed, Ordering::Relaxed);
        let size = bytes.len();
        output.write_all(&bytes).await?;
        waiting.queued.fetch_sub(size, Ordering::Relaxed);
        bytes.clear();
    }
    Ok("replaced")
}

fn append(bytes: &mut BytesMut, frame: &[u8]) {
    bytes.put_u32_le(frame.len() as u32);
    bytes.extend_from_slice(frame);
}
