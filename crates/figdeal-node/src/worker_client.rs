//! HTTP client for the worker on this machine.
//!
//! A worker that has restarted has the same id and address as before and accepts any fencing token, so only a connection
//! tells its incarnations apart: it ends with the process that accepted it. A start is sent on a connection on which the
//! incarnation that it is meant for has replied to a poll, so no other incarnation can receive it.

use std::{
    collections::VecDeque,
    fmt::Display,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use figdeal_platform::worker::{self as wire, EXPECTED_INSTANCE_HEADER, WorkerCall};
use figdeal_queue::{
    agent::{
        CALL_TIMEOUT, MAX_UNANSWERED_STARTS, PollCall, PollReply, START_TIMEOUT, StartCall,
        StartReply, StopCall,
    },
    message::StartRejection,
};
use http_body_util::{BodyExt, Full};
use hyper::{
    Request,
    client::conn::http1::{self, SendRequest},
    header::{CONTENT_TYPE, HOST},
};
use hyper_util::rt::TokioIo;
use tokio::{
    net::TcpStream,
    sync::{OwnedSemaphorePermit, Semaphore, oneshot},
    task::AbortHandle,
};

/// Largest number of concurrent calls, and of connections. A worker accepts 64.
const MAX_CALLS: usize = 48;
const _: () = assert!(MAX_UNANSWERED_STARTS as usize + MIN_FREE_CALLS <= MAX_CALLS);
/// Time within which a connection must be open. The worker runs on the same machine; its kernel repeats a lost opening
/// packet only after a second.
const CONNECT_TIMEOUT: Duration = START_TIMEOUT;
/// Added to the timeout of a start for each call in progress, since all calls share a small part of one core.
const START_TIMEOUT_PER_CALL: Duration = Duration::from_micros(1_500);
/// How often the call yields to other tasks after its timeout before a reply counts as missing.
const YIELDS_AFTER_TIMEOUT: usize = 3;
/// Time after the start of a call at which its HTTP exchange is aborted. The exchange goes on after the timeout of the
/// call, so that a late reply makes the connection reusable. No start may be sent after its run counts as lost, see
/// [`UNANSWERED_START_TIMEOUT`](figdeal_queue::agent::UNANSWERED_START_TIMEOUT).
const LATE_REPLY_TIMEOUT: Duration = Duration::from_secs(12);
/// Number of [`MAX_CALLS`] to keep free for new calls. If fewer are free, the oldest overdue call is aborted, which
/// closes its connection.
const MIN_FREE_CALLS: usize = 16;

/// Result of a call.
pub type Result<T> = std::result::Result<T, CallError>;

/// Why a call has no response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallError {
    /// The call was not sent, because no connection could be opened or was free in time, and never will be.
    NotSent,
    /// The call was not sent, because another incarnation of the worker runs than the one that it is meant for.
    OtherIncarnation,
    /// There was no response in time. The call may be carried out, also later.
    NoResponse,
}

/// Which incarnation of the worker replies on a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Peer {
    /// No poll was answered on the connection.
    Unknown,
    /// The incarnation with this start in Unix milliseconds, if it tells one.
    Incarnation(Option<u64>),
}

/// An open connection to the worker.
#[derive(Debug)]
struct Connection {
    sender: SendRequest<Full<Bytes>>,
    peer: Peer,
}

/// Which connections a call may go out on.
#[derive(Debug, Clone)]
enum Route {
    Any,
    /// Those on which the incarnation with this start replies; another one is asked with this poll first.
    Incarnation(Option<u64>, PollCall),
}

/// Decodes a response, and tells the peer if the response names it.
type Decode<T> = fn(u16, &[u8]) -> (T, Option<Peer>);

/// Client of one worker with a bounded number of concurrent calls.
#[derive(Debug, Clone)]
pub struct WorkerClient {
    address: SocketAddr,
    /// Open connections without a call, the last used one last.
    idle: Arc<Mutex<Vec<Connection>>>,
    call_permits: Arc<Semaphore>,
    /// Calls that got no reply before their timeout, oldest first.
    overdue_calls: Arc<Mutex<VecDeque<AbortHandle>>>,
}

impl WorkerClient {
    /// Creates a client that connects on its first call.
    ///
    /// ```
    /// use figdeal_node::worker_client::WorkerClient;
    ///
    /// let client = WorkerClient::new("127.0.0.1:8080".parse().unwrap());
    /// assert_eq!(client.outstanding_calls(), 0);
    /// ```
    pub fn new(address: SocketAddr) -> WorkerClient {
        WorkerClient {
            address,
            idle: Arc::default(),
            call_permits: Arc::new(Semaphore::new(MAX_CALLS)),
            overdue_calls: Arc::default(),
        }
    }

    /// Number of calls in progress, overdue ones included.
    pub fn outstanding_calls(&self) -> u32 {
        (MAX_CALLS - self.call_permits.available_permits()) as u32
    }

    /// Polls the worker, whichever incarnation of it runs. Returns `None` if there is no valid reply in time.
    pub async fn poll(&self, call: &PollCall) -> Option<PollReply> {
        let timeout = call.wait + CALL_TIMEOUT;
        let reply = self.call(wire::encode_poll(call), Route::Any, decode_poll, timeout);
        reply.await.ok().flatten()
    }

    /// Starts a run at the incarnation of the worker that the call is meant for.
    pub async fn start(&self, call: &StartCall) -> StartReply {
        let timeout = START_TIMEOUT + START_TIMEOUT_PER_CALL * self.outstanding_calls();
        let probe = PollCall {
            number: 0,
            fence: call.fence,
            acked_end: 0,
            lease_expiry_ms: None,
            wait: Duration::ZERO,
            worker_id: call.worker_id.clone(),
        };
        let route = Route::Incarnation(call.started_at_ms, probe);
        let reply = self.call(wire::encode_start(call), route, decode_start, timeout);
        match reply.await {
            Ok(reply) => reply,
            Err(CallError::NotSent) => StartReply::Rejected(StartRejection::WorkerSilent),
            Err(CallError::OtherIncarnation) => StartReply::Rejected(StartRejection::WrongWorker),
            Err(CallError::NoResponse) => StartReply::Unknown,
        }
    }

    /// Stops a run. The response tells nothing: the worker lists the end of the run later.
    ///
    /// # Errors
    /// Fails if the call was not sent, and if there is no response in time.
    pub async fn stop(&self, call: &StopCall) -> Result<()> {
        let decode = |_: u16, _: &[u8]| ((), None);
        self.call(wire::encode_stop(call), Route::Any, decode, CALL_TIMEOUT)
            .await
    }

    /// Makes a call, and waits for the response for at most `call_timeout`. A call that has not been sent by then never
    /// is.
    async fn call<T: Send + 'static>(
        &self,
        call: WorkerCall,
        route: Route,
        decode: Decode<T>,
        call_timeout: Duration,
    ) -> Result<T> {
        let path = call.path;
        self.abort_oldest_if_scarce();
        let Ok(permit) = Arc::clone(&self.call_permits).try_acquire_owned() else {
            log::warn!(
                "E660 too many worker calls in progress, call not made path={path} calls={MAX_CALLS}"
            );
            return Err(CallError::NotSent);
        };
        let is_decided = Arc::new(AtomicBool::new(false));
        let (sender, answer) = oneshot::channel();
        let exchange = self
            .clone()
            .exchange(call, route, decode, Arc::clone(&is_decided));
        let exchange = tokio::spawn(limit_exchange(path, permit, sender, exchange));
        tokio::pin!(answer);
        if let Ok(answer) = tokio::time::timeout(call_timeout, answer.as_mut()).await {
            return answer.unwrap_or(Err(CallError::NoResponse));
        }
        // If the whole process was paused, its timers fire before it reads a response that has already arrived.
        for _ in 0..YIELDS_AFTER_TIMEOUT {
            tokio::task::yield_now().await;
        }
        if let Ok(Ok(answer)) = tokio::time::timeout(Duration::ZERO, answer).await {
            return answer;
        }
        self.add_overdue(exchange.abort_handle());
        match is_decided.swap(true, Ordering::Relaxed) {
            true => Err(CallError::NoResponse),
            false => Err(CallError::NotSent),
        }
    }

    /// Sends a call on a connection of its route and reads the response. The call is not sent if its caller has given up
    /// and set `is_decided`.
    async fn exchange<T>(
        self,
        call: WorkerCall,
        route: Route,
        decode: Decode<T>,
        is_decided: Arc<AtomicBool>,
    ) -> Result<T> {
        let connection = match route {
            Route::Any => self.connection().await?,
            Route::Incarnation(started_at_ms, probe) => {
                self.connection_to(started_at_ms, &probe).await?
            }
        };
        if is_decided.swap(true, Ordering::Relaxed) {
            self.release(connection);
            return Err(CallError::NotSent);
        }
        let (reply, connection) = self.send(connection, call, decode).await?;
        self.release(connection);
        Ok(reply)
    }

    /// Returns a connection to whichever incarnation of the worker runs.
    async fn connection(&self) -> Result<Connection> {
        match self.take_idle(|_| true) {
            Some(connection) => Ok(connection),
            None => self.connect().await,
        }
    }

    /// Returns a connection to the incarnation with this start. On a connection without a reply, `probe` asks which one
    /// it leads to.
    async fn connection_to(
        &self,
        started_at_ms: Option<u64>,
        probe: &PollCall,
    ) -> Result<Connection> {
        let wanted = Peer::Incarnation(started_at_ms);
        if let Some(connection) = self.take_idle(|c| c.peer == wanted) {
            return Ok(connection);
        }
        let connection = match self.take_idle(|c| c.peer == Peer::Unknown) {
            Some(connection) => connection,
            None => self.connect().await?,
        };
        let call = wire::encode_poll(probe);
        let (_, connection) = self.send(connection, call, decode_poll).await?;
        let peer = connection.peer;
        if peer == wanted {
            return Ok(connection);
        }
        self.release(connection);
        match peer {
            Peer::Unknown => Err(CallError::NotSent),
            Peer::Incarnation(_) => Err(CallError::OtherIncarnation),
        }
    }

    fn idle(&self) -> MutexGuard<'_, Vec<Connection>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes the connection that was used last among those that fit.
    fn take_idle(&self, fits: impl Fn(&Connection) -> bool) -> Option<Connection> {
        let mut idle = self.idle();
        idle.retain(|connection| !connection.sender.is_closed());
        let position = idle.iter().rposition(fits)?;
        Some(idle.remove(position))
    }

    fn release(&self, connection: Connection) {
        let mut idle = self.idle();
        idle.retain(|connection| !connection.sender.is_closed());
        if idle.len() < MAX_CALLS {
            idle.push(connection);
        }
    }

    async fn connect(&self) -> Result<Connection> {
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(self.address));
        let stream = stream.await.map_err(|_| CallError::NotSent)?;
        let opened = async {
            let stream = stream?;
            stream.set_nodelay(true)?;
            let opened = http1::handshake(TokioIo::new(stream)).await;
            opened.map_err(std::io::Error::other)
        };
        let opened = opened.await;
        let (sender, connection) = opened.map_err(|e| failed("none", &e, CallError::NotSent))?;
        // It ends when the sender is dropped, or when the worker closes it.
        tokio::spawn(connection);
        Ok(Connection {
            sender,
            peer: Peer::Unknown,
        })
    }

    /// Sends a call and reads the response. Returns the connection once it can take another call.
    async fn send<T>(
        &self,
        mut connection: Connection,
        call: WorkerCall,
        decode: Decode<T>,
    ) -> Result<(T, Connection)> {
        let path = call.path;
        let mut request = Request::post(path)
            .header(HOST, self.address.to_string())
            .header(CONTENT_TYPE, "application/json");
        if let Some(expected) = call.expected_instance {
            request = request.header(EXPECTED_INSTANCE_HEADER, expected);
        }
        let request = request
            .body(Full::from(call.body))
            .map_err(|e| failed(path, &e, CallError::NotSent))?;
        let response = connection.sender.try_send_request(request).await;
        let response = response.map_err(|mut e| {
            let outcome = match e.take_message() {
                Some(_) => CallError::NotSent,
                None => CallError::NoResponse,
            };
            failed(path, e.error(), outcome)
        })?;
        let status = response.status().as_u16();
        let body = response.into_body().collect().await;
        let body = body.map_err(|e| failed(path, &e, CallError::NoResponse))?;
        let (reply, peer) = decode(status, &body.to_bytes());
        connection.peer = peer.unwrap_or(connection.peer);
        // An error closes the connection, so that it is not used again.
        let _ = connection.sender.ready().await;
        Ok((reply, connection))
    }

    /// Aborts the oldest overdue call if fewer than [`MIN_FREE_CALLS`] calls are available.
    fn abort_oldest_if_scarce(&self) {
        let mut overdue_calls = self.overdue_calls();
        overdue_calls.retain(|call| !call.is_finished());
        if self.call_permits.available_permits() < MIN_FREE_CALLS
            && let Some(oldest) = overdue_calls.pop_front()
        {
            log::info!(
                "E677 aborted the oldest overdue worker call to free its connection overdue={}",
                overdue_calls.len()
            );
            oldest.abort();
        }
    }

    fn add_overdue(&self, call: AbortHandle) {
        self.overdue_calls().push_back(call);
    }

    fn overdue_calls(&self) -> MutexGuard<'_, VecDeque<AbortHandle>> {
        let calls = self.overdue_calls.lock();
        calls.unwrap_or_else(PoisonError::into_inner)
    }
}

/// Runs an exchange for at most [`LATE_REPLY_TIMEOUT`] and passes its result on.
async fn limit_exchange<T>(
    path: &'static str,
    permit: OwnedSemaphorePermit,
    sender: oneshot::Sender<Result<T>>,
    exchange: impl Future<Output = Result<T>>,
) {
    let result = tokio::time::timeout(LATE_REPLY_TIMEOUT, exchange).await;
    drop(permit);
    match result {
        // The receiver is gone if the response comes after the timeout.
        Ok(result) => drop(sender.send(result)),
        Err(_) => log::info!("E676 no late reply, worker call aborted path={path}"),
    }
}

/// Logs why a call has failed. Returns what that means for the caller.
fn failed(path: &str, error: &dyn Display, outcome: CallError) -> CallError {
    log::info!("E661 worker call failed path={path} outcome={outcome:?} error={error}");
    outcome
}

fn decode_poll(status: u16, body: &[u8]) -> (Option<PollReply>, Option<Peer>) {
    let reply = wire::decode_poll_reply(status, body);
    let peer = reply.as_ref().map(|r| Peer::Incarnation(r.started_at_ms));
    (reply, peer)
}

fn decode_start(status: u16, body: &[u8]) -> (StartReply, Option<Peer>) {
    (wire::decode_start_reply(status, body), None)
}
