//! Decides which connections and unfinished requests a process holds, without I/O; the current time is passed in.
//!
//! The load that is meant: clients outside our control that open many connections, send slowly or stop, or do not read
//! their answers. Each connection counts towards a bound, and what a request holds is taken from a budget in bytes before
//! it is read. When one of the two is used up, the connection with the least recent progress is evicted, not the newest
//! one. A connection whose request is being handled is never evicted, so a job that may run keeps its caller.

use std::{collections::HashMap, net::IpAddr, time::Duration};

use figdeal_core::time::Timestamp;
use slotmap::SlotMap;

slotmap::new_key_type! {
    /// Identifies a connection in a [`ClientTable`].
    pub struct ClientKey;
}

/// Time in which the measure of recent progress halves.
const PROGRESS_HALF_LIFE: Duration = Duration::from_millis(250);
/// Largest measure of recent progress, in bytes, and its value when a phase begins. It is bounded, so that a client
/// which sends much and then stops is not protected for longer than others.
const MAX_PROGRESS_BYTES: f64 = 65_536.0;
/// Protects idle connections that have finished a request for this much longer than new ones.
const SERVED_PROTECTION: Duration = Duration::from_secs(5);

/// Bounds of a [`ClientTable`].
#[derive(Debug, Clone, PartialEq)]
pub struct Limits {
    /// Bytes that all unfinished requests may hold together.
    pub budget_bytes: usize,
    /// Connections for the class [`Class::Ordinary`].
    pub connections: usize,
    /// Connections for the class [`Class::Ordinary`] from one address.
    pub connections_per_address: usize,
    /// Connections for the class [`Class::Reserved`].
    pub reserved_connections: usize,
    /// Time without a request after which a connection is closed.
    pub idle_time: Duration,
    /// Time from the first byte of the headers to their end.
    pub header_time: Duration,
    /// Time for a body, and for the reading of an answer.
    pub transfer_time: Duration,
    /// Time after which a transfer must have the minimum rate.
    pub rate_grace: Duration,
    /// Minimum rate of a transfer, in bytes per second.
    pub min_rate: u64,
}

/// Class of a connection, each with its own bound.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Class {
    /// Callers, and other processes.
    Ordinary,
    /// Operators, health checks and metrics.
    Reserved,
}

/// What a connection is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// No byte of a request has arrived.
    Idle,
    /// The headers are being received.
    Headers,
    /// The body is being received.
    Body,
    /// The request is complete and is being handled.
    Handling,
    /// The answer is being sent.
    Answer,
}

impl Phase {
    /// All phases, in the order of their values.
    pub const ALL: [Phase; 5] = [
        Phase::Idle,
        Phase::Headers,
        Phase::Body,
        Phase::Handling,
        Phase::Answer,
    ];

    /// Name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Phase::Idle => "idle",
            Phase::Headers => "headers",
            Phase::Body => "body",
            Phase::Handling => "handling",
            Phase::Answer => "answer",
        }
    }
}

/// Why a connection was closed or a request refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display)]
pub enum Refusal {
    /// connections
    Connections,
    /// connections_per_address
    Address,
    /// budget
    Budget,
    /// idle_time
    IdleTime,
    /// header_time
    HeaderTime,
    /// transfer_time
    TransferTime,
    /// min_rate
    Rate,
    /// body_size
    BodySize,
}

impl std::error::Error for Refusal {}

/// Result of an operation that the limits may refuse.
pub type Result<T> = std::result::Result<T, Refusal>;

/// A connection that was removed from the table and has to be closed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Evicted {
    /// Key that the connection had.
    pub key: ClientKey,
    /// Address of the client.
    pub address: IpAddr,
    /// What the connection was doing.
    pub phase: Phase,
    /// Bytes that it held.
    pub held_bytes: usize,
    /// Why it was removed.
    pub reason: Refusal,
}

#[derive(Debug)]
struct Client {
    address: IpAddr,
    class: Class,
    phase: Phase,
    /// Start of the phase.
    since: Timestamp,
    /// Bytes received or sent in this phase.
    bytes: u64,
    /// Measure of recent progress as a time in microseconds: the time at which the decaying number of bytes reaches one.
    /// Since all measures decay alike, their order does not change while nothing arrives.
    progress_until: f64,
    held_bytes: usize,
    served: bool,
}

impl Client {
    fn enter(&mut self, now: Timestamp, phase: Phase) {
        self.phase = phase;
        self.since = now;
        self.bytes = 0;
        self.progress_until = progress_until(now, MAX_PROGRESS_BYTES);
        if phase == Phase::Idle && self.served {
            self.progress_until += SERVED_PROTECTION.as_micros() as f64;
        }
    }

    /// Returns which limit of time or rate the client exceeds.
    fn overdue(&self, limits: &Limits, now: Timestamp) -> Option<Refusal> {
        let elapsed = now.since(self.since);
        match self.phase {
            Phase::Idle => (elapsed > limits.idle_time).then_some(Refusal::IdleTime),
            Phase::Headers => (elapsed > limits.header_time).then_some(Refusal::HeaderTime),
            Phase::Handling => None,
            Phase::Body | Phase::Answer => {
                let counted = elapsed.saturating_sub(limits.rate_grace);
                let required = limits.min_rate as f64 * counted.as_secs_f64();
                if elapsed > limits.transfer_time {
                    Some(Refusal::TransferTime)
                } else {
                    ((self.bytes as f64) < required).then_some(Refusal::Rate)
                }
            }
        }
    }
}

fn progress_until(now: Timestamp, bytes: f64) -> f64 {
    now.as_micros() as f64 + bytes.log2() * PROGRESS_HALF_LIFE.as_micros() as f64
}

/// All connections of one kind of traffic.
///
/// ```
/// use std::time::Duration;
/// use figdeal_core::time::Timestamp;
/// use figdeal_limits::client_table::{Class, ClientTable, Limits, Phase};
///
/// let limits = Limits {
///     budget_bytes: 1_000,
///     connections: 8,
///     connections_per_address: 8,
///     reserved_connections: 2,
///     idle_time: Duration::from_secs(20),
///     header_time: Duration::from_secs(5),
///     transfer_time: Duration::from_secs(60),
///     rate_grace: Duration::from_secs(20),
///     min_rate: 1_024,
/// };
/// let mut table = ClientTable::new(limits);
/// let address = [127, 0, 0, 1].into();
/// let start = Timestamp::from_micros(1_000_000);
/// let stopped = table.open(start, address, Class::Ordinary).unwrap();
/// table.enter(start, stopped, Phase::Body);
/// table.take(stopped, 900).unwrap();
///
/// let later = start + Duration::from_secs(2);
/// let active = table.open(later, address, Class::Ordinary).unwrap();
/// table.enter(later, active, Phase::Body);
/// table.take(active, 500).unwrap();
/// assert_eq!(table.take_evicted()[0].key, stopped);
/// assert_eq!(table.held_bytes(), 500);
/// ```
#[derive(Debug)]
pub struct ClientTable {
    limits: Limits,
    clients: SlotMap<ClientKey, Client>,
    /// Number of connections of the class [`Class::Ordinary`] by address.
    by_address: HashMap<IpAddr, usize>,
    reserved: usize,
    held_bytes: usize,
    evicted: Vec<Evicted>,
}

impl ClientTable {
    /// Creates a table without connections.
    pub fn new(limits: Limits) -> ClientTable {
        ClientTable {
            limits,
            clients: SlotMap::with_key(),
            by_address: HashMap::new(),
            reserved: 0,
            held_bytes: 0,
            evicted: Vec::new(),
        }
    }

    /// Adds a connection. If there are too many, the one with the least progress is evicted.
    ///
    /// # Errors
    /// Fails when there are too many connections and none of them can be evicted.
    pub fn open(&mut self, now: Timestamp, address: IpAddr, class: Class) -> Result<ClientKey> {
        self.make_space(address, class)?;
        match class {
            Class::Reserved => self.reserved += 1,
            Class::Ordinary => *self.by_address.entry(address).or_default() += 1,
        }
        let mut client = Client {
            address,
            class,
            phase: Phase::Idle,
            since: now,
            bytes: 0,
            progress_until: 0.0,
            held_bytes: 0,
            served: false,
        };
        client.enter(now, Phase::Idle);
        Ok(self.clients.insert(client))
    }

    fn make_space(&mut self, address: IpAddr, class: Class) -> Result<()> {
        let ordinary = self.clients.len() - self.reserved;
        let same_address = self.by_address.get(&address).copied().unwrap_or(0);
        let (reason, only_address) = match class {
            Class::Reserved if self.reserved >= self.limits.reserved_connections => {
                (Refusal::Connections, false)
            }
            Class::Ordinary if same_address >= self.limits.connections_per_address => {
                (Refusal::Address, true)
            }
            Class::Ordinary if ordinary >= self.limits.connections => (Refusal::Connections, false),
            _ => return Ok(()),
        };
        let victim = self.least_progress(|client| {
            client.class == class && (!only_address || client.address == address)
        });
        let (victim, _) = victim.ok_or(reason)?;
        self.evict(victim, reason);
        Ok(())
    }

    /// Returns the connection with the least recent progress, and its measure.
    fn least_progress(&self, eligible: impl Fn(&Client) -> bool) -> Option<(ClientKey, f64)> {
        self.clients
            .iter()
            .filter(|(_, client)| client.phase != Phase::Handling && eligible(client))
            .map(|(key, client)| (key, client.progress_until))
            .min_by(|a, b| a.1.total_cmp(&b.1))
    }

    /// Removes a connection that has ended. All that it held is returned to the budget.
    pub fn close(&mut self, key: ClientKey) {
        self.remove(key);
    }

    fn remove(&mut self, key: ClientKey) -> Option<Client> {
        let client = self.clients.remove(key)?;
        self.held_bytes -= client.held_bytes;
        match client.class {
            Class::Reserved => self.reserved -= 1,
            Class::Ordinary => {
                let count = self.by_address.get_mut(&client.address);
                let count = count.expect("each connection is counted");
                *count -= 1;
                if *count == 0 {
                    self.by_address.remove(&client.address);
                }
            }
        }
        Some(client)
    }

    fn evict(&mut self, key: ClientKey, reason: Refusal) {
        if let Some(client) = self.remove(key) {
            self.evicted.push(Evicted {
                key,
                address: client.address,
                phase: client.phase,
                held_bytes: client.held_bytes,
                reason,
            });
        }
    }

    /// Returns the connections that were evicted since the last call. They have to be closed.
    pub fn take_evicted(&mut self) -> Vec<Evicted> {
        std::mem::take(&mut self.evicted)
    }

    /// Returns what a connection is doing; `None` once it was evicted.
    pub fn phase(&self, key: ClientKey) -> Option<Phase> {
        self.clients.get(key).map(|client| client.phase)
    }

    /// Begins a phase of a connection.
    pub fn enter(&mut self, now: Timestamp, key: ClientKey, phase: Phase) {
        if let Some(client) = self.clients.get_mut(key) {
            // A connection becomes idle again only after an answer or a complete message.
            client.served |= phase == Phase::Idle;
            client.enter(now, phase);
        }
    }

    /// Counts bytes that were received, or of an answer that were sent.
    pub fn progress(&mut self, now: Timestamp, key: ClientKey, bytes: usize) {
        if let Some(client) = self.clients.get_mut(key) {
            client.bytes += bytes as u64;
            let half_life = PROGRESS_HALF_LIFE.as_micros() as f64;
            let left = ((client.progress_until - now.as_micros() as f64) / half_life).exp2();
            let progress = (left + bytes as f64).clamp(1.0, MAX_PROGRESS_BYTES);
            client.progress_until = client.progress_until.max(progress_until(now, progress));
        }
    }

    /// Returns the bytes that a connection has received, or of an answer sent, in its present phase.
    pub fn phase_bytes(&self, key: ClientKey) -> u64 {
        self.clients.get(key).map_or(0, |client| client.bytes)
    }

    /// Returns the bytes that a connection holds.
    pub fn client_bytes(&self, key: ClientKey) -> usize {
        self.clients.get(key).map_or(0, |client| client.held_bytes)
    }

    /// Takes bytes from the budget for a connection. If too few are left, connections with less progress are evicted.
    ///
    /// # Errors
    /// Fails when this connection was evicted, or has the least progress of those that hold bytes and can be evicted.
    pub fn take(&mut self, key: ClientKey, bytes: usize) -> Result<()> {
        let own_progress = self.clients.get(key).ok_or(Refusal::Budget)?.progress_until;
        while self.held_bytes + bytes > self.limits.budget_bytes {
            let victim = self.least_progress(|client| client.held_bytes > 0);
            let (victim, progress) = victim.ok_or(Refusal::Budget)?;
            if victim == key || progress > own_progress {
                return Err(Refusal::Budget);
            }
            self.evict(victim, Refusal::Budget);
        }
        self.clients[key].held_bytes += bytes;
        self.held_bytes += bytes;
        Ok(())
    }

    /// Returns bytes to the budget, at most what the connection holds.
    pub fn give_back(&mut self, key: ClientKey, bytes: usize) {
        if let Some(client) = self.clients.get_mut(key) {
            let bytes = bytes.min(client.held_bytes);
            client.held_bytes -= bytes;
            self.held_bytes -= bytes;
        }
    }

    /// Evicts the connections that exceed a limit of time or rate.
    pub fn expire(&mut self, now: Timestamp) {
        let overdue: Vec<_> = self
            .clients
            .iter()
            .filter_map(|(key, client)| Some((key, client.overdue(&self.limits, now)?)))
            .collect();
        for (key, reason) in overdue {
            self.evict(key, reason);
        }
    }

    /// Bytes that all unfinished requests hold.
    pub fn held_bytes(&self) -> usize {
        self.held_bytes
    }

    /// Number of connections in each phase, in the order of [`Phase::ALL`].
    pub fn phase_counts(&self) -> [usize; Phase::ALL.len()] {
        let mut counts = [0; Phase::ALL.len()];
        for client in self.clients.values() {
            counts[client.phase as usize] += 1;
        }
        counts
    }
}
