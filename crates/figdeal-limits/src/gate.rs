//! Applies the decisions of the [`ClientTable`] to the connections of a process: closes the evicted ones, and writes the
//! log lines and metrics. A process has one gate for HTTP and one for other processes.

use std::{
    net::IpAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use figdeal_core::time::Timestamp;
use slotmap::SecondaryMap;
use tokio::sync::oneshot;

use crate::{
    ClientLimits,
    client_table::{Class, ClientKey, ClientTable, Limits, Phase, Refusal, Result},
    clock,
};

/// Interval of the check of the limits of time and rate, and of the metrics.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Log lines about refusals within [`LOG_WINDOW`]; further ones are counted.
const MAX_LOG_LINES: u32 = 10;
/// Time in which at most [`MAX_LOG_LINES`] lines are written.
const LOG_WINDOW: Duration = Duration::from_secs(1);
/// Descriptors that are kept for files and for connections that this process opens.
const RESERVED_DESCRIPTORS: usize = 200;
/// Stands for no limit of time. Connections of other processes may be idle.
const UNLIMITED: Duration = Duration::from_secs(365 * 86_400);
/// Largest budget for the messages that an agent or a control replica receives, in bytes. They get no snapshots.
const MAX_AGENT_BUDGET_BYTES: usize = 16 * 1024 * 1024;
/// Largest budget for the messages that an entry receives, in bytes: that of the largest message.
const MAX_RPC_BUDGET_BYTES: usize = 32 * 1024 * 1024;
/// Connections to a control replica. Each entry and each peer has one.
const MAX_CONTROL_CONNECTIONS: usize = 256;

/// Returns the limits for HTTP.
pub fn http_limits(limits: &ClientLimits) -> Limits {
    // At most half of the descriptors, so that the other half is left to connections of other processes.
    let available = available_descriptors() / 2;
    let reserved = limits.reserved_connections.min(available / 2);
    let connections = limits.connections.min(available - reserved);
    Limits {
        budget_bytes: limits.budget_bytes,
        connections,
        connections_per_address: limits.connections_per_address,
        reserved_connections: reserved,
        idle_time: limits.idle_time,
        header_time: limits.header_time,
        transfer_time: limits.transfer_time,
        rate_grace: limits.rate_grace,
        min_rate: limits.min_rate,
    }
}

/// Returns the limits for connections that nodes or entries open to an agent.
pub fn agent_peer_limits(limits: &ClientLimits) -> Limits {
    let peers = peer_limits(limits);
    Limits {
        budget_bytes: peers.budget_bytes.min(MAX_AGENT_BUDGET_BYTES),
        ..peers
    }
}

/// Returns the limits for connections that agents and other entries open to an entry. They leave room for those to its
/// control replica.
pub fn rpc_limits(limits: &ClientLimits) -> Limits {
    let peers = peer_limits(limits);
    let connections = peers.connections - control_connections(&peers);
    Limits {
        budget_bytes: peers.budget_bytes.min(MAX_RPC_BUDGET_BYTES),
        connections,
        connections_per_address: connections,
        ..peers
    }
}

/// Returns the limits for connections to a control replica.
pub fn control_limits(limits: &ClientLimits) -> Limits {
    let peers = peer_limits(limits);
    let connections = control_connections(&peers);
    Limits {
        budget_bytes: peers.budget_bytes.min(MAX_AGENT_BUDGET_BYTES),
        connections,
        connections_per_address: connections,
        ..peers
    }
}

fn control_connections(peers: &Limits) -> usize {
    (peers.connections / 4).clamp(1, MAX_CONTROL_CONNECTIONS)
}

/// Returns the limits for connections that other processes open to a node. They count as ordinary ones.
pub fn peer_limits(limits: &ClientLimits) -> Limits {
    let http = http_limits(limits);
    let http_connections = http.connections + http.reserved_connections;
    let available = available_descriptors().saturating_sub(http_connections);
    let connections = limits.peer_connections.min(available.max(1));
    Limits {
        budget_bytes: limits.peer_budget_bytes,
        connections,
        connections_per_address: connections,
        reserved_connections: 0,
        idle_time: UNLIMITED,
        // A message that is not longer than the read buffer counts as headers.
        header_time: limits.transfer_time,
        transfer_time: limits.transfer_time,
        rate_grace: limits.rate_grace,
        min_rate: limits.min_rate,
    }
}

fn available_descriptors() -> usize {
    let limit = rustix::process::getrlimit(rustix::process::Resource::Nofile).current;
    let limit = limit.map_or(usize::MAX, |limit| limit as usize);
    limit.saturating_sub(RESERVED_DESCRIPTORS)
}

/// Admits the connections of one kind of traffic.
#[derive(Debug)]
pub struct Gate {
    /// Kind of traffic in logs and metrics.
    traffic: &'static str,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    table: ClientTable,
    /// Dropping a sender closes the connection.
    closers: SecondaryMap<ClientKey, oneshot::Sender<()>>,
    log: LogWindow,
}

/// Bounds the number of log lines.
#[derive(Debug, Default)]
struct LogWindow {
    start: Timestamp,
    lines: u32,
    suppressed: u64,
}

impl LogWindow {
    /// Returns the number of lines left out since the last line, or `None` if this one is left out too.
    fn admit(&mut self, now: Timestamp) -> Option<u64> {
        if now.since(self.start) >= LOG_WINDOW {
            (self.start, self.lines) = (now, 0);
        }
        if self.lines >= MAX_LOG_LINES {
            self.suppressed += 1;
            return None;
        }
        self.lines += 1;
        Some(std::mem::take(&mut self.suppressed))
    }
}

impl Gate {
    /// Creates a gate and starts its periodic check.
    pub fn start(traffic: &'static str, limits: Limits) -> Arc<Gate> {
        log::info!("E910 limits of connections traffic={traffic} {limits:?}");
        let gate = Arc::new(Gate {
            traffic,
            state: Mutex::new(State {
                table: ClientTable::new(limits),
                closers: SecondaryMap::new(),
                log: LogWindow::default(),
            }),
        });
        let checked = Arc::clone(&gate);
        tokio::spawn(async move {
            loop {
                tokio::time::sleep(CHECK_INTERVAL).await;
                checked.check();
            }
        });
        gate
    }

    /// Admits a connection. Returns `None` if it has to be closed. The receiver ends when the connection is evicted.
    pub fn open(
        self: &Arc<Gate>,
        address: IpAddr,
        class: Class,
    ) -> Option<(Client, oneshot::Receiver<()>)> {
        let now = clock::now();
        let mut state = self.lock();
        match state.table.open(now, address, class) {
            Ok(key) => {
                let (closer, evicted) = oneshot::channel();
                state.closers.insert(key, closer);
                self.close_evicted(&mut state, now);
                let client = Client {
                    gate: Arc::clone(self),
                    key,
                    address,
                };
                Some((client, evicted))
            }
            Err(reason) => {
                self.report(&mut state, now, address, Phase::Idle, 0, reason);
                None
            }
        }
    }

    fn check(&self) {
        let now = clock::now();
        let mut state = self.lock();
        state.table.expire(now);
        self.close_evicted(&mut state, now);
        let counts = state.table.phase_counts();
        let held_bytes = state.table.held_bytes();
        drop(state);
        let traffic = self.traffic;
        metrics::gauge!("figdeal_client_held_bytes", "traffic" => traffic).set(held_bytes as f64);
        for (phase, count) in Phase::ALL.iter().zip(counts) {
            metrics::gauge!(
                "figdeal_client_connections",
                "traffic" => traffic,
                "state" => phase.name()
            )
            .set(count as f64);
        }
    }

    fn close_evicted(&self, state: &mut State, now: Timestamp) {
        for evicted in state.table.take_evicted() {
            state.closers.remove(evicted.key);
            let (address, phase) = (evicted.address, evicted.phase);
            self.report(
                state,
                now,
                address,
                phase,
                evicted.held_bytes,
                evicted.reason,
            );
        }
    }

    fn report(
        &self,
        state: &mut State,
        now: Timestamp,
        address: IpAddr,
        phase: Phase,
        held_bytes: usize,
        reason: Refusal,
    ) {
        let traffic = self.traffic;
        metrics::counter!(
            "figdeal_client_refusals_total",
            "traffic" => traffic,
            "reason" => reason.to_string()
        )
        .increment(1);
        if let Some(suppressed) = state.log.admit(now) {
            log::info!(
                "E911 client refused traffic={traffic} address={address} state={} \
                 held_bytes={held_bytes} reason={reason} suppressed={suppressed}",
                phase.name()
            );
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// An admitted connection. Dropping it returns all that it holds.
#[derive(Debug)]
pub struct Client {
    gate: Arc<Gate>,
    key: ClientKey,
    address: IpAddr,
}

impl Drop for Client {
    fn drop(&mut self) {
        let mut state = self.gate.lock();
        state.closers.remove(self.key);
        state.table.close(self.key);
    }
}

impl Client {
    /// Counts received bytes. The first ones begin a request, which takes `request_bytes` from the budget.
    ///
    /// # Errors
    /// Fails when the budget is used up.
    pub fn on_received(&self, bytes: usize, request_bytes: usize) -> Result<()> {
        let now = clock::now();
        let mut state = self.gate.lock();
        match state.table.phase(self.key) {
            Some(Phase::Idle) => {
                state.table.enter(now, self.key, Phase::Headers);
                self.take(&mut state, now, request_bytes)
            }
            Some(Phase::Headers | Phase::Body) => {
                state.table.progress(now, self.key, bytes);
                Ok(())
            }
            // Bytes of a later request stay in the read buffer.
            Some(Phase::Handling | Phase::Answer) => Ok(()),
            None => Err(Refusal::Budget),
        }
    }

    /// Begins the body of a request, or another message.
    ///
    /// # Errors
    /// Fails when the budget is used up.
    pub fn begin_body(&self, request_bytes: usize) -> Result<()> {
        let now = clock::now();
        let mut state = self.gate.lock();
        let missing = request_bytes.saturating_sub(state.table.client_bytes(self.key));
        state.table.enter(now, self.key, Phase::Body);
        // A request that arrived together with the one before was already in the read buffer.
        match missing {
            0 => Ok(()),
            _ => self.take(&mut state, now, missing),
        }
    }

    /// Begins the handling of a complete request. From then on it holds its body and `answer_bytes` for its answer,
    /// instead of `request_bytes`.
    ///
    /// # Errors
    /// Fails when the budget is used up, and when the connection was evicted. The request must not be handled then.
    pub fn begin_handling(&self, request_bytes: usize, answer_bytes: usize) -> Result<()> {
        let now = clock::now();
        let mut state = self.gate.lock();
        state.table.give_back(self.key, request_bytes);
        self.take(&mut state, now, answer_bytes)?;
        state.table.enter(now, self.key, Phase::Handling);
        Ok(())
    }

    /// Begins the sending of an answer.
    ///
    /// # Errors
    /// Fails when the budget is used up.
    pub fn begin_answer(&self, bytes: usize) -> Result<()> {
        let now = clock::now();
        let mut state = self.gate.lock();
        state.table.enter(now, self.key, Phase::Answer);
        let held_bytes = state.table.client_bytes(self.key);
        if bytes > held_bytes {
            return self.take(&mut state, now, bytes - held_bytes);
        }
        state.table.give_back(self.key, held_bytes - bytes);
        Ok(())
    }

    /// Counts bytes of an answer that were sent.
    pub fn on_sent(&self, bytes: usize) {
        let mut state = self.gate.lock();
        if state.table.phase(self.key) == Some(Phase::Answer) {
            state.table.progress(clock::now(), self.key, bytes);
        }
    }

    /// Ends the request if its answer was sent.
    pub fn on_flushed(&self) {
        let mut state = self.gate.lock();
        if state.table.phase(self.key) == Some(Phase::Answer)
            && state.table.phase_bytes(self.key) > 0
        {
            self.go_idle(&mut state);
        }
    }

    /// Ends the present message.
    pub fn end_message(&self) {
        self.go_idle(&mut self.gate.lock());
    }

    fn go_idle(&self, state: &mut State) {
        let held_bytes = state.table.client_bytes(self.key);
        state.table.give_back(self.key, held_bytes);
        state.table.enter(clock::now(), self.key, Phase::Idle);
    }

    /// Takes bytes from the budget until the returned value is dropped.
    ///
    /// # Errors
    /// Fails when the budget is used up.
    pub fn reserve(self: &Arc<Client>, bytes: usize) -> Result<Reservation> {
        self.take(&mut self.gate.lock(), clock::now(), bytes)?;
        Ok(Reservation {
            client: Arc::clone(self),
            bytes,
        })
    }

    fn take(&self, state: &mut State, now: Timestamp, bytes: usize) -> Result<()> {
        let result = state.table.take(self.key, bytes);
        self.gate.close_evicted(state, now);
        if let Err(reason) = result {
            self.report(state, now, reason);
        }
        result
    }

    /// Counts and logs a refusal, unless the connection was evicted, which is a refusal already.
    fn report(&self, state: &mut State, now: Timestamp, reason: Refusal) {
        if let Some(phase) = state.table.phase(self.key) {
            let held_bytes = state.table.client_bytes(self.key);
            self.gate
                .report(state, now, self.address, phase, held_bytes, reason);
        }
    }

    /// Counts and logs that the body of a request is too long.
    pub fn report_body_size(&self) {
        self.report(&mut self.gate.lock(), clock::now(), Refusal::BodySize);
    }
}

/// Bytes taken from the budget.
#[derive(Debug)]
pub struct Reservation {
    client: Arc<Client>,
    bytes: usize,
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.client
            .gate
            .lock()
            .table
            .give_back(self.client.key, self.bytes);
    }
}
