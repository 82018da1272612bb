//! Life cycle of an entry process: start, drain and stop.

use std::{
    io,
    marker::PhantomData,
    net::{SocketAddr, TcpListener},
    path::PathBuf,
    sync::{Arc, RwLock, atomic::AtomicBool, atomic::Ordering, mpsc},
    time::{Duration, Instant},
};

use displaydoc::Display;
use figdeal_agent::http_server::{self, ServerLimits};
use figdeal_core::id::{EntryId, Incarnation};
use figdeal_limits::ClientLimits;
use tokio::{runtime::Handle, task::JoinHandle, time::timeout};
use tokio_util::sync::CancellationToken;

use self::{
    config_store::{ActiveConfig, ConfigStore},
    event_loop::Event,
};
use crate::rules::Rules;

mod answer;
mod claims;
mod config_store;
mod event_loop;
mod http;
mod peers;
mod server;

/// Minimum time that [`Entry::finish`] allows for writing the last answers, even when its limit has passed.
const MIN_CLOSE_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum number of open HTTP connections.
const MAX_CONNECTIONS: usize = 4_096;

/// Result of starting or stopping an entry.
pub type Result<T> = std::result::Result<T, Error>;

/// Error of starting or stopping an entry.
#[derive(Debug, Display)]
pub enum Error {
    /// cannot listen on {0}: {1}
    Listen(String, io::Error),
    /// cannot start the {0} thread: {1}
    Thread(&'static str, io::Error),
    /// {0}
    Config(Box<dyn std::error::Error + Send + Sync>),
    /// work was still in progress after {0:?}
    StopTimeout(Duration),
}

impl std::error::Error for Error {}

/// Start options of an entry.
#[derive(Debug, Clone)]
pub struct Options {
    /// Id of this entry in the list of entries.
    pub id: EntryId,
    /// Listen address of the HTTP interface for callers and operators; port 0 picks a free port.
    pub http_listen: SocketAddr,
    /// Listen address for agents and other entries; port 0 picks a free port.
    pub peer_listen: SocketAddr,
    /// Ids and addresses of the other entries.
    pub peers: Vec<(EntryId, String)>,
    /// Addresses of the control replicas. Unless the list is empty, the entry is not ready before it has an accepted
    /// configuration.
    pub control: Vec<SocketAddr>,
    /// Data centre of this entry; selects the site in the configuration.
    pub site: String,
    /// Data folder; the last accepted configuration is stored in its subfolder `entry`. `None` on a machine without a
    /// disk.
    pub folder: Option<PathBuf>,
    /// Rules that apply until a configuration is active.
    pub rules: Rules,
}

impl Options {
    /// Creates options with the default rules, without peers and without control replicas.
    pub fn new(id: EntryId, http_listen: SocketAddr, peer_listen: SocketAddr) -> Options {
        Options {
            id,
            http_listen,
            peer_listen,
            peers: Vec::new(),
            control: Vec::new(),
            site: String::new(),
            folder: None,
            rules: Rules::default(),
        }
    }

    /// Sets the ids and addresses of the other entries.
    pub fn with_peers(mut self, peers: Vec<(EntryId, String)>) -> Options {
        self.peers = peers;
        self
    }

    /// Fetches the configuration of `site` from the control replicas and stores it in `folder`.
    pub fn with_control(
        mut self,
        control: Vec<SocketAddr>,
        site: impl Into<String>,
        folder: Option<PathBuf>,
    ) -> Options {
        self.control = control;
        self.site = site.into();
        self.folder = folder;
        self
    }

    /// Sets the rules that apply until a configuration is active.
    pub fn with_rules(mut self, rules: Rules) -> Options {
        self.rules = rules;
        self
    }
}

/// Phase of an entry that accepts work.
#[derive(Debug)]
pub struct Serving;
/// Phase of an entry that reports "not ready" to the load balancer and finishes the jobs in progress.
#[derive(Debug)]
pub struct Draining;

/// State that the network tasks share with the event loop and the configuration store.
#[derive(Debug)]
pub(crate) struct SharedState {
    rules: RwLock<Arc<Rules>>,
    active_config: RwLock<Option<ActiveConfig>>,
    pub(crate) is_configured: AtomicBool,
    /// Whether this entry votes on claims of submissions that are created now, see `ClaimDriver::is_ready`.
    pub(crate) can_claim: AtomicBool,
    pub(crate) is_draining: AtomicBool,
    /// Cancelled when an operator requests a drain over HTTP.
    pub(crate) drain_requested: CancellationToken,
}

impl SharedState {
    pub(crate) fn rules(&self) -> Arc<Rules> {
        Arc::clone(&self.rules.read().expect("the lock is not poisoned"))
    }

    pub(crate) fn active_config(&self) -> Option<ActiveConfig> {
        self.active_config
            .read()
            .expect("the lock is not poisoned")
            .clone()
    }

    fn set_rules(&self, rules: Rules) {
        *self.rules.write().expect("the lock is not poisoned") = Arc::new(rules);
    }

    /// Creates the state of an entry without an active configuration. `is_configured` is true if the entry may work
    /// without one, because it has no control replicas.
    fn new(rules: Rules, is_configured: bool) -> SharedState {
        SharedState {
            rules: RwLock::new(Arc::new(rules)),
            active_config: RwLock::new(None),
            is_configured: AtomicBool::new(is_configured),
            can_claim: AtomicBool::new(false),
            is_draining: AtomicBool::new(false),
            drain_requested: CancellationToken::new(),
        }
    }

    /// Returns why the load balancer must not send work, or `None` when the entry is ready.
    /// The texts are part of the HTTP interface.
    pub(crate) fn unready_reason(&self) -> Option<&'static str> {
        let load = |flag: &AtomicBool| flag.load(Ordering::Relaxed);
        if load(&self.is_draining) {
            return Some("the entry is draining");
        }
        if !load(&self.is_configured) {
            return Some("no control replica has given out a configuration yet");
        }
        (!load(&self.can_claim)).then_some("the horizon of claims has not passed")
    }

    pub(crate) fn is_configured(&self) -> bool {
        self.is_configured.load(Ordering::Relaxed)
    }

    /// Whether the load balancer may send work.
    pub(crate) fn is_ready(&self) -> bool {
        self.unready_reason().is_none()
    }
}

/// A running entry; the type parameter is its phase, [`Serving`] or [`Draining`].
#[derive(Debug)]
pub struct Entry<Phase> {
    /// Address of the HTTP interface for callers and operators.
    pub http_address: SocketAddr,
    /// Address for agents and other entries.
    pub peer_address: SocketAddr,
    /// Random id of this start of the entry.
    pub incarnation: Incarnation,
    events: mpsc::Sender<Event>,
    stop: CancellationToken,
    shared: Arc<SharedState>,
    http_task: JoinHandle<()>,
    runtime: Handle,
    phase: PhantomData<Phase>,
}

impl Entry<Serving> {
    /// Starts an entry; its network tasks run on `runtime`.
    ///
    /// # Errors
    /// Fails when an address cannot be bound, the data folder cannot be read or holds no valid configuration for the
    /// site, or a thread cannot be started.
    pub fn start(options: Options, runtime: &Handle) -> Result<Entry<Serving>> {
        let listener = bind(options.peer_listen)?;
        let peer_address = listener.local_addr().unwrap_or(options.peer_listen);
        let http_listener = bind(options.http_listen)?;
        let http_address = http_listener.local_addr().unwrap_or(options.http_listen);
        Entry::start_on(
            options,
            listener,
            http_listener,
            runtime,
            peer_address,
            http_address,
        )
    }

    fn start_on(
        options: Options,
        listener: TcpListener,
        http_listener: TcpListener,
        runtime: &Handle,
        peer_address: SocketAddr,
        http_address: SocketAddr,
    ) -> Result<Entry<Serving>> {
        let incarnation = Incarnation(rand::random());
        figdeal_agent::metrics::recorder();
        let shared = Arc::new(SharedState::new(
            options.rules.clone(),
            options.control.is_empty(),
        ));
        let config_store = ConfigStore::open(
            &options.site,
            options.folder.as_deref(),
            Arc::clone(&shared),
        )
        .map_err(|e| Error::Config(Box::new(e)))?;
        let config_store = Arc::new(config_store);
        let (events, event_receiver) = mpsc::channel();
        let stop = CancellationToken::new();
        event_loop::spawn(
            &options,
            incarnation,
            event_receiver,
            events.clone(),
            Arc::clone(&shared),
            runtime,
        )
        .map_err(|e| Error::Thread("event loop", e))?;
        if !options.control.is_empty() {
            runtime.spawn(config_store::poll_replicas(
                config_store,
                options.control.clone(),
                stop.clone(),
            ));
        }
        let _runtime = runtime.enter();
        let client_limits = ClientLimits {
            connections: MAX_CONNECTIONS,
            connections_per_address: MAX_CONNECTIONS,
            ..ClientLimits::default()
        };
        let http_limits = ServerLimits::start(&client_limits, options.rules.max_body_bytes);
        let handler = http::HttpApi {
            events: events.clone(),
            shared: Arc::clone(&shared),
        };
        let handle = move |call| handler.clone().handle(call);
        let http_task = runtime.spawn(http_server::serve(
            http_listener,
            http_limits,
            stop.clone(),
            handle,
        ));
        runtime.spawn(server::serve(
            listener,
            incarnation,
            events.clone(),
            Arc::clone(&shared),
            stop.clone(),
        ));
        Ok(Entry {
            http_address,
            peer_address,
            incarnation,
            events,
            stop,
            shared,
            http_task,
            runtime: runtime.clone(),
            phase: PhantomData,
        })
    }

    /// Returns a token that is cancelled when an operator requests a drain over HTTP; the owner of this value must then
    /// call [`Entry::drain`].
    pub fn drain_request(&self) -> CancellationToken {
        self.shared.drain_requested.clone()
    }

    /// Reports "not ready" to the load balancer; jobs in progress continue.
    pub fn drain(self) -> Entry<Draining> {
        self.shared.is_draining.store(true, Ordering::Relaxed);
        let Entry {
            http_address,
            peer_address,
            incarnation,
            events,
            stop,
            shared,
            http_task,
            runtime,
            ..
        } = self;
        Entry {
            http_address,
            peer_address,
            incarnation,
            events,
            stop,
            shared,
            http_task,
            runtime,
            phase: PhantomData,
        }
    }
}

impl Entry<Draining> {
    /// Waits for `notice`, in which the load balancer removes the entry, then refuses new jobs and waits until every
    /// job is answered and every answer is written.
    ///
    /// # Errors
    /// Returns [`Error::StopTimeout`] when work is still in progress `limit` after the notice.
    pub fn finish(self, notice: Duration, limit: Duration) -> Result<()> {
        std::thread::sleep(notice);
        let start = Instant::now();
        let (sender, receiver) = mpsc::channel();
        let _ = self.events.send(Event::Stop(sender));
        let is_idle = receiver.recv_timeout(limit).is_ok();
        self.stop.cancel();
        let left = limit.saturating_sub(start.elapsed()).max(MIN_CLOSE_TIMEOUT);
        let http_task = self.http_task;
        let closed = self
            .runtime
            .block_on(async { timeout(left, http_task).await });
        let _ = self.events.send(Event::Kill);
        if is_idle && closed.is_ok() {
            Ok(())
        } else {
            Err(Error::StopTimeout(limit))
        }
    }
}

impl<Phase> Entry<Phase> {
    /// Returns the active rules.
    pub fn rules(&self) -> Arc<Rules> {
        self.shared.rules()
    }

    /// Stops the entry at once and drops the jobs in progress, as a crash would.
    pub fn kill(self) {
        let _ = self.events.send(Event::Kill);
        self.stop.cancel();
    }
}

fn bind(address: SocketAddr) -> Result<TcpListener> {
    let error = |e| Error::Listen(address.to_string(), e);
    let listener = TcpListener::bind(address).map_err(error)?;
    listener.set_nonblocking(true).map_err(error)?;
    Ok(listener)
}
