//! A connection to one peer that detects silence and opens itself anew.

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

/// How often a connection with outstanding calls is checked for silence.
const CHECK_EVERY: Duration = Duration::from_millis(100);
/// Time that tarpc grants a call beyond its own limit, so that silence is detected by pings and not by tarpc.
const CALL_MARGIN: Duration = Duration::from_secs(30);

/// Result of a call to a peer.
pub type Result<T> = std::result::Result<T, Error>;

/// What failed towards a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Step {
    /// opening the connection
    Connect,
    /// waiting for the reply
    Reply,
    /// waiting for a sign of life
    Silence,
}

/// {step} failed for peer {peer}: {cause}
#[derive(Debug, Clone, Display)]
pub struct Error {
    /// What failed.
    pub step: Step,
    /// Address of the peer.
    pub peer: String,
    /// The cause in words.
    pub cause: String,
}

impl std::error::Error for Error {}

/// Time limits of a connection.
#[derive(Debug, Clone, Copy)]
pub struct ChannelTimeouts {
    /// Limit for opening the connection.
    pub connect_timeout: Duration,
    /// Silence after which a ping is sent while calls are outstanding.
    pub ping_after: Duration,
    /// Silence after which the connection is given up.
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
    /// Starts a client on a connection; the handle ends the connection when aborted.
    fn start(stream: TcpStream) -> (Self, JoinHandle<()>);
    /// Asks for a sign of life.
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
                    // The error shows up at each outstanding call.
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
struct Open<C> {
    client: C,
    dispatch: JoinHandle<()>,
    generation: u64,
    heard: Instant,
    outstanding: usize,
    is_pinged: bool,
}

impl<C> Drop for Open<C> {
    fn drop(&mut self) {
        // Calls hold clones of the client, so only this ends the connection and fails them.
        self.dispatch.abort();
    }
}

#[derive(Debug)]
struct Shared<C> {
    open: Option<Open<C>>,
    generation: u64,
}

/// A connection to one peer, opened on demand.
#[derive(Debug)]
pub struct Channel<C> {
    peer: String,
    limits: ChannelTimeouts,
    shared: Mutex<Shared<C>>,
    opening: tokio::sync::Mutex<()>,
}

impl<C: Client> Channel<C> {
    /// Creates a channel to `peer`, an address of the form `ip:port`, without connecting.
    pub fn new(peer: impl Into<String>, limits: ChannelTimeouts) -> Arc<Channel<C>> {
        Arc::new(Channel {
            peer: peer.into(),
            limits,
            shared: Mutex::new(Shared {
                open: None,
                generation: 0,
            }),
            opening: tokio::sync::Mutex::new(()),
        })
    }

    /// Address of the peer.
    pub fn peer(&self) -> &str {
        &self.peer
    }

    /// Ends the connection; outstanding calls fail.
    pub fn close(&self) {
        self.lock().open = None;
    }

    /// Calls the peer. The call itself has no time limit of its own beyond `limit`; a silent connection ends it.
    ///
    /// # Errors
    /// Fails with the step and the peer when the connection cannot be opened, breaks or goes silent. The peer may
    /// have got the request.
    pub async fn call<T, F>(
        self: &Arc<Self>,
        limit: Duration,
        call: impl FnOnce(C, context::Context) -> F,
    ) -> Result<T>
    where
        F: Future<Output = std::result::Result<T, RpcError>>,
    {
        let (client, generation) = self.client().await?;
        self.begin(generation);
        let mut context = context::current();
        context.deadline = std::time::Instant::now() + limit + CALL_MARGIN;
        let result = timeout(limit, call(client, context)).await;
        let is_reply = matches!(result, Ok(Ok(_)));
        self.end(generation, is_reply);
        match result {
            Ok(Ok(reply)) => Ok(reply),
            Ok(Err(e)) => {
                self.drop_generation(generation);
                Err(self.error(Step::Reply, e.to_string()))
            }
            Err(_) => Err(self.error(Step::Silence, format!("no reply within {limit:?}"))),
        }
    }

    async fn client(self: &Arc<Self>) -> Result<(C, u64)> {
        if let Some(found) = self.current() {
            return Ok(found);
        }
        let _guard = self.opening.lock().await;
        if let Some(found) = self.current() {
            return Ok(found);
        }
        let stream = timeout(self.limits.connect_timeout, TcpStream::connect(&self.peer))
            .await
            .map_err(|_| self.error(Step::Connect, "timed out".to_owned()))?
            .map_err(|e| self.error(Step::Connect, e.to_string()))?;
        let (client, dispatch) = C::start(stream);
        let mut shared = self.lock();
        shared.generation += 1;
        let generation = shared.generation;
        shared.open = Some(Open {
            client: client.clone(),
            dispatch,
            generation,
            heard: Instant::now(),
            outstanding: 0,
            is_pinged: false,
        });
        drop(shared);
        tokio::spawn(Arc::clone(self).watch(generation));
        Ok((client, generation))
    }

    fn current(&self) -> Option<(C, u64)> {
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

    /// Pings a quiet connection with outstanding calls and gives it up when it stays silent.
    async fn watch(self: Arc<Self>, generation: u64) {
        loop {
            tokio::time::sleep(CHECK_EVERY).await;
            let client = {
                let mut shared = self.lock();
                let Some(open) = shared.open.as_mut() else {
                    return;
                };
                if open.generation != generation {
                    return;
                }
                let quiet = open.heard.elapsed();
                if open.outstanding == 0 || quiet < self.limits.ping_after {
                    continue;
                }
                if quiet >= self.limits.silent_after {
                    log::warn!(
                        "E101 connection to {} silent for {quiet:?}, closed",
                        self.peer
                    );
                    shared.open = None;
                    return;
                }
                if std::mem::replace(&mut open.is_pinged, true) {
                    continue;
                }
                open.client.clone()
            };
            let channel = Arc::clone(&self);
            tokio::spawn(async move {
                message_count::record(MessageClass::Heartbeat);
                if client.ping().await.is_ok() {
                    message_count::record(MessageClass::Heartbeat);
                    channel.heard(generation);
                }
            });
        }
    }

    fn begin(&self, generation: u64) {
        self.with_open(generation, |open| {
            if open.outstanding == 0 {
                open.heard = Instant::now();
            }
            open.outstanding += 1;
        });
    }

    fn end(&self, generation: u64, is_reply: bool) {
        self.with_open(generation, |open| open.outstanding -= 1);
        if is_reply {
            self.heard(generation);
        }
    }

    fn heard(&self, generation: u64) {
        self.with_open(generation, |open| {
            open.heard = Instant::now();
            open.is_pinged = false;
        });
    }

    fn drop_generation(&self, generation: u64) {
        let mut shared = self.lock();
        if shared
            .open
            .as_ref()
            .is_some_and(|o| o.generation == generation)
        {
            shared.open = None;
        }
    }

    fn with_open(&self, generation: u64, change: impl FnOnce(&mut Open<C>)) {
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
