//! Starting, draining and stopping an agent.

use std::{
    io,
    marker::PhantomData,
    net::SocketAddr,
    sync::{Arc, mpsc},
    time::Duration,
};

use displaydoc::Display;
use figdeal_core::{dedup::DedupLimits, fair_queue::KindShare, id::Incarnation};
use figdeal_limits::ClientLimits;
use figdeal_wire::channel::ChannelTimeouts;
use tokio::runtime::Handle;
use tokio_util::sync::CancellationToken;

use crate::{
    announcer, entry_activity::EntryActivity, event_loop, event_loop::Event, http, http_server,
    http_server::ServerLimits, metrics, server, upstream,
};

/// Time for writing the last replies after the last task has ended.
const REPLY_GRACE: Duration = Duration::from_millis(200);

/// Result of starting or stopping an agent.
pub type Result<T> = std::result::Result<T, Error>;

/// Reason for which an agent cannot start or stop.
#[derive(Debug, Display)]
pub enum Error {
    /// cannot listen on {0}: {1}
    Listen(String, io::Error),
    /// cannot start the {0} thread: {1}
    Thread(&'static str, io::Error),
    /// work was still in progress after {0:?}
    StopTimeout(Duration),
}

impl std::error::Error for Error {}

/// Options for starting an agent.
#[derive(Debug, Clone)]
pub struct Options {
    /// Name of the upstream. It stays the same over restarts.
    pub name: String,
    /// Data centre of the agent.
    pub data_centre: String,
    /// Address to listen on for entries; port 0 picks a free port.
    pub listen: SocketAddr,
    /// Address to listen on for the announcements of the upstream; port 0 picks a free port.
    pub http: SocketAddr,
    /// Address at which entries reach the agent, if it is not `listen`.
    pub address: Option<SocketAddr>,
    /// Addresses of the entries.
    pub entries: Vec<String>,
    /// Time without an announcement after which the upstream counts as gone and the agent drains.
    pub expire_after: Duration,
    /// Interval of the announcements to the entries.
    pub announce_interval: Duration,
    /// Shares of the kinds until the first configuration is received.
    pub shares: Vec<(String, KindShare)>,
    /// Bounds of the deduplication table.
    pub dedup_limits: DedupLimits,
    /// Timeouts of the connections to entries.
    pub timeouts: ChannelTimeouts,
}

impl Options {
    /// Creates options with the default limits.
    pub fn new(name: impl Into<String>, listen: SocketAddr, http: SocketAddr) -> Options {
        Options {
            name: name.into(),
            data_centre: String::new(),
            listen,
            http,
            address: None,
            entries: Vec::new(),
            expire_after: Duration::from_secs(3),
            announce_interval: Duration::from_secs(1),
            shares: Vec::new(),
            dedup_limits: DedupLimits::default(),
            timeouts: ChannelTimeouts::default(),
        }
    }

    /// Sets the address at which entries reach the agent.
    pub fn with_address(mut self, address: SocketAddr) -> Options {
        self.address = Some(address);
        self
    }

    /// Sets the data centre, which is also the name of the site in the configuration.
    pub fn with_data_centre(mut self, name: impl Into<String>) -> Options {
        self.data_centre = name.into();
        self
    }

    /// Sets the shares of the kinds until the first configuration is received.
    pub fn with_shares(mut self, shares: Vec<(String, KindShare)>) -> Options {
        self.shares = shares;
        self
    }

    /// Sets the addresses of the entries.
    pub fn with_entries(mut self, entries: Vec<String>) -> Options {
        self.entries = entries;
        self
    }
}

/// Phase of an agent that accepts work.
#[derive(Debug)]
pub struct Serving;
/// Phase of an agent that declines new work and finishes running tasks.
#[derive(Debug)]
pub struct Draining;

/// A running agent; the type parameter is its phase.
#[derive(Debug)]
pub struct Agent<Phase> {
    /// Address on which the agent listens for entries.
    pub listen: SocketAddr,
    /// Address on which the agent listens for the announcements of the upstream.
    pub http: SocketAddr,
    /// Incarnation of the agent.
    pub incarnation: Incarnation,
    events: mpsc::Sender<Event>,
    stop: CancellationToken,
    phase: PhantomData<Phase>,
}

impl Agent<Serving> {
    /// Starts an agent; its network tasks run on `runtime`.
    ///
    /// # Errors
    /// Fails when it cannot listen on an address or cannot start a thread.
    pub fn start(options: Options, runtime: &Handle) -> Result<Agent<Serving>> {
        let incarnation = Incarnation(rand::random());
        metrics::recorder();
        let listen_error = |e| Error::Listen(options.listen.to_string(), e);
        let listener = std::net::TcpListener::bind(options.listen).map_err(listen_error)?;
        listener.set_nonblocking(true).map_err(listen_error)?;
        let listen = listener.local_addr().map_err(listen_error)?;
        let http_error = |e| Error::Listen(options.http.to_string(), e);
        let http_listener = std::net::TcpListener::bind(options.http).map_err(http_error)?;
        http_listener.set_nonblocking(true).map_err(http_error)?;
        let http = http_listener.local_addr().map_err(http_error)?;
        let (events, event_receiver) = mpsc::channel();
        let (calls, call_receiver) = mpsc::channel();
        let (state, state_receiver) =
            tokio::sync::watch::channel(event_loop::AnnouncedState::default());
        let stop = CancellationToken::new();

        let entry_activity = Arc::new(EntryActivity::default());
        event_loop::spawn(&options, incarnation, event_receiver, calls, state, runtime)
            .map_err(|e| Error::Thread("control", e))?;
        upstream::spawn(events.clone(), call_receiver).map_err(|e| Error::Thread("upstream", e))?;
        let _runtime = runtime.enter();
        let limits = ServerLimits::start(&ClientLimits::default(), http::MAX_BODY_BYTES);
        let http_events = events.clone();
        let handle = move |request| http::handle(request, http_events.clone());
        runtime.spawn(http_server::serve(
            http_listener,
            limits,
            stop.clone(),
            handle,
        ));
        runtime.spawn(server::serve(
            listener,
            events.clone(),
            Arc::clone(&entry_activity),
            stop.clone(),
        ));
        for entry in &options.entries {
            let announcer = announcer::Announcer {
                entry_activity: Arc::clone(&entry_activity),
                name: options.name.clone(),
                data_centre: options.data_centre.clone(),
                address: options.address.unwrap_or(listen).to_string(),
                incarnation,
                announce_interval: options.announce_interval,
                timeouts: options.timeouts,
                events: events.clone(),
            };
            let run = announcer.run(entry.clone(), state_receiver.clone(), stop.clone());
            runtime.spawn(run);
        }
        Ok(Agent {
            listen,
            http,
            incarnation,
            events,
            stop,
            phase: PhantomData,
        })
    }

    /// Declines new work from now on and announces that to the entries.
    pub fn drain(self) -> Agent<Draining> {
        // If the event loop has ended, there is nothing to drain.
        let _ = self.events.send(Event::Drain);
        let Agent {
            listen,
            http,
            incarnation,
            events,
            stop,
            ..
        } = self;
        Agent {
            listen,
            http,
            incarnation,
            events,
            stop,
            phase: PhantomData,
        }
    }
}

impl Agent<Draining> {
    /// Waits until every running task has ended, for at most `timeout`.
    ///
    /// # Errors
    /// [`Error::StopTimeout`] when work is still in progress after `timeout`.
    pub fn finish(self, timeout: Duration) -> Result<()> {
        let (sender, receiver) = mpsc::channel();
        let _ = self.events.send(Event::NotifyIdle(sender));
        let is_idle = receiver.recv_timeout(timeout).is_ok();
        // The network threads may still be writing the last replies.
        std::thread::sleep(REPLY_GRACE);
        self.stop.cancel();
        if is_idle {
            Ok(())
        } else {
            Err(Error::StopTimeout(timeout))
        }
    }
}

impl<Phase> Agent<Phase> {
    /// Stops the agent at once, like a crash: tasks are not finished and entries are not notified.
    pub fn kill(self) {
        let _ = self.events.send(Event::Kill);
        self.stop.cancel();
    }
}
