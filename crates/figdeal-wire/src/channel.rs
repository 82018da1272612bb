//! Connection to one peer. It is opened on demand, closed when pings show that the peer is silent, and opened again for
//! the next call.

use std::{
    future::Future,
    sync::{Arc, Mutex},
    time::Duration,
};

use displaydoc::Display;
use tarpc::{client::Config, client::RpcError, context};
use tokio::{
    net::TcpStream,
    task::JoinHandle,
    time::{Instant, timeout},
};

use crate::{
    codec::transport,
    message_count::{self, MessageClass},
    service::{AgentRpcClient, EntryRpcClient},
};

/// Interval at which a connection with outstanding calls is checked for silence.
const SILENCE_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Added to the timeout of a call to get its tarpc deadline, so that the timeout and the pings end a call before tarpc
/// does.
const RPC_DEADLINE_MARGIN: Duration = Duration::from_secs(30);

/// Result of a call to a peer.
pub type Result<T> = std::result::Result<T, Error>;

/// Step of a call that failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Step {
    /// opening the connection
    Connect,
    /// waiting for the reply
    Reply,
    /// waiting for the reply in time
    Timeout,
}

/// {step} failed for peer {peer}: {cause}
#[derive(Debug, Clone, Display)]
pub struct Error {
    /// Step that failed.
    pub step: Step,
    /// Address of the peer.
    pub peer: String,
    /// Description of the cause.
    pub cause: String,
}

impl std::error::Error for Error {}

/// Timeouts of a connection.
#[derive(Debug, Clone, Copy)]
pub struct ChannelTimeouts {
    /// Timeout for opening the connection.
    pub connect_timeout: Duration,
    /// Time without any reply after which a ping is sent, while calls are outstanding.
    pub ping_after: Duration,
    /// Time without any reply after which the connection is closed, while calls are outstanding.
    pub silent_after: Duration,
}

impl Default for ChannelTimeouts {
    fn default() -> ChannelTimeouts {
        ChannelTimeouts {
            connect_timeout: Duration::from_millis(500),
            ping_after: Duration::from_millis(500),
            silent_after: Duration::from_millis(1_500),
        }
    }
}

/// A tarpc client that a [`Channel`] can open and check.
pub trait Client: Clone + Send + Sync + 'static {
    /// Starts a client on a connection. Aborting the returned task closes the connection.
    fn start(stream: TcpStream) -> (Self, JoinHandle<()>);
    /// Sends a ping and waits for its reply.
    fn ping(&self) -> impl Future<Output = std::result::Result<(), RpcError>> + Send;
}

fn client_config() -> Config {
    let mut config = Config::default();
    config.max_in_flight_requests = 4_096;
    config.pending_request_buffer = 4_096;
    config
}

macro_rules! impl_client {
    ($client:ty) => {
        impl Client for $client {
            fn start(stream: TcpStream) -> (Self, JoinHandle<()>) {
                let new = <$client>::new(client_config(), transport(stream));
                let dispatch = new.dispatch;
                let handle = tokio::spawn(async move {
                    // Each outstanding call reports the error itself.
                    let _ = dispatch.await;
                });
                (new.client, handle)
            }

            async fn ping(&self) -> std::result::Result<(), RpcError> {
                <$client>::ping(self, context::current()).await
            }
        }
    };
}

impl_client!(AgentRpcClient);
impl_client!(EntryRpcClient);

#[derive(Debug)]
struct OpenConnection<C> {
    client: C,
    dispatch: JoinHandle<()>,
    /// Number of this connection within the channel, so that late events of a former connection are ignored.
    generation: u64,
    /// When the last reply arrived. Also set when a call starts while none is outstanding.
    last_heard: Instant,
    outstanding_calls: usize,
    ping_sent: bool,
}

impl<C> Drop for OpenConnection<C> {
    fn drop(&mut self) {
        // Outstanding calls hold clones of the client, so dropping it is not enough to close the connection.
        self.dispatch.abort();
    }
}

#[derive(Debug)]
struct Shared<C> {
    open: Option<OpenConnection<C>>,
    /// Generation of the newest connection; 0 before the first.
    generation: u64,
}

/// A connection to one peer, opened on demand.
#[derive(Debug)]
pub struct Channel<C> {
    peer: String,
    timeouts: ChannelTimeouts,
    shared: Mutex<Shared<C>>,
    /// Held while connecting, so that concurrent calls open only one connection.
    connect_lock: tokio::sync::Mutex<()>,
}

impl<C: Client> Channel<C> {
    /// Creates a channel to `peer`, an address of the form `ip:port`, without connecting.
    pub fn new(peer: impl Into<String>, timeouts: ChannelTimeouts) -> Arc<Channel<C>> {
        Arc::new(Channel {
            peer: peer.into(),
            timeouts,
            shared: Mutex::new(Shared {
                open: None,
                generation: 0,
            }),
            connect_lock: tokio::sync::Mutex::new(()),
        })
    }

    /// Address of the peer.
    pub fn peer(&self) -> &str {
        &self.peer
    }

    /// Closes the connection. Outstanding calls fail.
    pub fn close(&self) {
        self.lock().open = None;
    }

    /// Calls the peer, with `reply_timeout` for the reply. If the connection goes silent, the call fails earlier.
    ///
    /// # Errors
    /// Fails with the step and the peer when the connection cannot be opened, breaks or goes silent, or the timeout
    /// passes. Unless the step is [`Step::Connect`], the peer may have received the request.
    pub async fn call<T, F>(
        self: &Arc<Self>,
        reply_timeout: Duration,
        call: impl FnOnce(C, context::Context) -> F,
    ) -> Result<T>
    where
        F: Future<Output = std::result::Result<T, RpcError>>,
    {
        let (client, generation) = self.get_or_connect().await?;
        self.on_call_start(generation);
        let mut context = context::current();
        context.deadline = std::time::Instant::now() + reply_timeout + RPC_DEADLINE_MARGIN;
        let result = timeout(reply_timeout, call(client, context)).await;
        let is_reply = matches!(result, Ok(Ok(_)));
        self.on_call_end(generation, is_reply);
        match result {
            Ok(Ok(reply)) => Ok(reply),
            Ok(Err(e)) => {
                self.close_generation(generation);
                Err(self.error(Step::Reply, e.to_string()))
            }
            Err(_) => Err(self.error(Step::Timeout, format!("no reply within {reply_timeout:?}"))),
        }
    }

    async fn get_or_connect(self: &Arc<Self>) -> Result<(C, u64)> {
        if let Some(found) = self.open_client() {
            return Ok(found);
        }
        let _guard = self.connect_lock.lock().await;
        if let Some(found) = self.open_client() {
            return Ok(found);
        }
        let stream = timeout(
            self.timeouts.connect_timeout,
            TcpStream::connect(&self.peer),
        )
        .await
        .map_err(|_| self.error(Step::Connect, "timed out".to_owned()))?
        .map_err(|e| self.error(Step::Connect, e.to_string()))?;
        let (client, dispatch) = C::start(stream);
        let mut shared = self.lock();
        shared.generation += 1;
        let generation = shared.generation;
        shared.open = Some(OpenConnection {
            client: client.clone(),
            dispatch,
            generation,
            last_heard: Instant::now(),
            outstanding_calls: 0,
            ping_sent: false,
        });
        drop(shared);
        tokio::spawn(Arc::clone(self).check_silence(generation));
        Ok((client, generation))
    }

    /// Returns the client and the generation of the open connection, if there is one.
    fn open_client(&self) -> Option<(C, u64)> {
        let mut shared = self.lock();
        if shared
            .open
            .as_ref()
            .is_some_and(|o| o.dispatch.is_finished())
        {
            shared.open = None;
        }
        shared
            .open
            .as_ref()
            .map(|o| (o.client.clone(), o.generation))
    }

    /// While calls are outstanding, sends a ping on a silent connection and closes it if there is still no reply.
    async fn check_silence(self: Arc<Self>, generation: u64) {
        loop {
            tokio::time::sleep(SILENCE_CHECK_INTERVAL).await;
            let client = {
                let mut shared = self.lock();
                let Some(open) = shared.open.as_mut() else {
                    return;
                };
                if open.generation != generation {
                    return;
                }
                let silent_for = open.last_heard.elapsed();
                if open.outstanding_calls == 0 || silent_for < self.timeouts.ping_after {
                    continue;
                }
                if silent_for >= self.timeouts.silent_after {
                    log::warn!(
                        "E101 no reply from {} for {silent_for:?}, connection closed",
                        self.peer
                    );
                    shared.open = None;
                    return;
                }
                if std::mem::replace(&mut open.ping_sent, true) {
                    continue;
                }
                open.client.clone()
            };
            let channel = Arc::clone(&self);
            tokio::spawn(async move {
                message_count::record(MessageClass::Heartbeat);
                if client.ping().await.is_ok() {
                    message_count::record(MessageClass::Heartbeat);
                    channel.mark_heard(generation);
                }
            });
        }
    }

    fn on_call_start(&self, generation: u64) {
        self.update_open(generation, |open| {
            if open.outstanding_calls == 0 {
                open.last_heard = Instant::now();
            }
            open.outstanding_calls += 1;
        });
    }

    fn on_call_end(&self, generation: u64, is_reply: bool) {
        self.update_open(generation, |open| open.outstanding_calls -= 1);
        if is_reply {
            self.mark_heard(generation);
        }
    }

    fn mark_heard(&self, generation: u64) {
        self.update_open(generation, |open| {
            open.last_heard = Instant::now();
            open.ping_sent = false;
        });
    }

    fn close_generation(&self, generation: u64) {
        let mut shared = self.lock();
        if shared
            .open
            .as_ref()
            .is_some_and(|o| o.generation == generation)
        {
            shared.open = None;
        }
    }

    fn update_open(&self, generation: u64, change: impl FnOnce(&mut OpenConnection<C>)) {
        let mut shared = self.lock();
        if let Some(open) = shared.open.as_mut().filter(|o| o.generation == generation) {
            change(open);
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Shared<C>> {
        self.shared
            .lock()
            .expect("no thread panics while it holds the lock")
    }

    fn error(&self, step: Step, cause: String) -> Error {
        Error {
            step,
            peer: self.peer.clone(),
            cause,
        }
    }
}
