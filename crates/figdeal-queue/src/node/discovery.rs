//! Discovery: finds the leader and keeps the addresses of other nodes.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use figdeal_core::time::Timestamp;

use super::{Node, Options, Origin};
use crate::{
    message::{Hello, LeaderInfo, PeerMessage},
    raft::{NodeId, Term},
};

/// Interval between two Hello messages to other nodes while no leader is known.
const SEARCH_INTERVAL: Duration = Duration::from_millis(50);
/// Minimum interval between two Hello messages, also while connections are refused.
const MIN_SEARCH_INTERVAL: Duration = Duration::from_millis(10);
/// Interval between two Hello messages to the leader.
const HELLO_INTERVAL: Duration = Duration::from_millis(150);
/// Time without a message from an entry node after which its volatile jobs are withdrawn. A caller that loses the
/// connection to its entry node resubmits the job after 1.3 s.
const ENTRY_SILENCE_TIMEOUT: Duration = Duration::from_millis(800);
/// Time without an answer after which the leader counts as unknown.
const LEADER_SILENCE_TIMEOUT: Duration = Duration::from_millis(450);

/// Time without a message from a node after which the leader tells it who is the leader.
const CONTACT_SILENCE_TIMEOUT: Duration = Duration::from_millis(600);
/// Maximum number of silent nodes that are told at once; some of them may never come back.
const MAX_NOTIFIED_CONTACTS: usize = 3;

/// What a node knows about the other nodes.
#[derive(Debug)]
pub(super) struct Discovery {
    contacts: Vec<SocketAddr>,
    next_contact: usize,
    /// Address of the leader, and when it last answered.
    leader: Option<(SocketAddr, Timestamp)>,
    /// Newest term of a leader that was found.
    term: Term,
    pub(super) next_tick: Timestamp,
    addresses: HashMap<NodeId, SocketAddr>,
    /// When a message from each node was last received.
    heard_at: HashMap<SocketAddr, Timestamp>,
}

impl Discovery {
    pub(super) fn new(options: &Options, now: Timestamp) -> Discovery {
        let own = options.address;
        let contacts = options
            .seeds
            .iter()
            .copied()
            .filter(|seed| *seed != own)
            .collect();
        let (addresses, heard_at) = (HashMap::new(), HashMap::new());
        Discovery {
            contacts,
            next_contact: 0,
            leader: None,
            term: 0,
            next_tick: now,
            addresses,
            heard_at,
        }
    }

    /// Records the address that a node sends from.
    pub(super) fn record_address(&mut self, id: NodeId, address: SocketAddr) {
        self.addresses.insert(id, address);
    }

    pub(super) fn forget_leader(&mut self, address: SocketAddr) {
        if self.leader.is_some_and(|(leader, _)| leader == address) {
            self.leader = None;
        }
    }

    pub(super) fn record_contact(&mut self, address: SocketAddr, now: Timestamp) {
        self.heard_at.insert(address, now);
    }

    pub(super) fn address_of(&self, id: NodeId) -> Option<SocketAddr> {
        self.addresses.get(&id).copied()
    }

    pub(super) fn contacts(&self) -> &[SocketAddr] {
        &self.contacts
    }

    fn add_contact(&mut self, own: SocketAddr, address: SocketAddr) {
        if address != own && !self.contacts.contains(&address) {
            self.contacts.push(address);
        }
    }
}

impl Node {
    /// Adds nodes that may know the leader, after a change of the settings.
    pub fn add_seeds(&mut self, seeds: &[SocketAddr]) {
        for seed in seeds {
            self.discovery.add_contact(self.options.address, *seed);
        }
    }

    /// Returns where to forward requests that this node cannot serve.
    pub(super) fn leader_address(&self) -> Option<SocketAddr> {
        if self.raft.is_leader() {
            return None;
        }
        if self.raft.is_following(self.clock.now) {
            return self.raft.leader().and_then(|id| self.address_of(id));
        }
        self.discovery.leader.map(|(address, _)| address)
    }

    pub(super) fn tick_discovery(&mut self) {
        let now = self.clock.now;
        if let Some((leader, heard_at)) = self.discovery.leader
            && heard_at + LEADER_SILENCE_TIMEOUT < now
        {
            log::warn!(
                "E624 leader does not answer leader={leader} silent_ms={}",
                now.since(heard_at).as_millis()
            );
            self.discovery.leader = None;
        }
        if now < self.discovery.next_tick {
            return;
        }
        let hello = PeerMessage::Hello(self.hello());
        if self.raft.is_leader() {
            self.discovery.next_tick = now + HELLO_INTERVAL;
            self.drop_silent_entries();
            self.notify_silent_contacts();
        } else if let Some(leader) = self.leader_address() {
            self.discovery.next_tick = now + HELLO_INTERVAL;
            self.send(leader, hello);
        } else {
            self.discovery.next_tick = now + SEARCH_INTERVAL;
            let count = self.discovery.contacts.len();
            if count > 0 {
                self.discovery.next_contact = (self.discovery.next_contact + 1) % count;
                let contact = self.discovery.contacts[self.discovery.next_contact];
                self.send(contact, hello);
            }
        }
    }

    /// Handles the loss of a connection. If the leader was at `address`, the node sends it another Hello: if no
    /// process listens there any more, the leader's process has exited and holds no lease.
    pub(super) fn on_leader_connection_lost(&mut self, address: SocketAddr, refused: bool) {
        let was_leader = self.raft.leader().and_then(|id| self.address_of(id)) == Some(address);
        if was_leader && refused {
            log::warn!("E633 leader process has exited leader={address}");
            self.raft.on_leader_exit(self.clock.now);
        } else if was_leader {
            let hello = PeerMessage::Hello(self.hello());
            self.send(address, hello);
        }
        self.discovery.forget_leader(address);
        self.discovery.next_tick = self
            .discovery
            .next_tick
            .min(self.clock.now + MIN_SEARCH_INTERVAL);
    }

    /// Tells nodes that have sent no Hello, and agents that have not reported, who is the leader. They may have
    /// started after the leader was elected, and may know only seeds that do not know the leader either.
    fn notify_silent_contacts(&mut self) {
        let now = self.clock.now;
        if !self.is_serving() {
            return;
        }
        let discovery = &mut self.discovery;
        let is_silent = |address: &SocketAddr| {
            let heard_at = discovery.heard_at.get(address);
            heard_at.is_none_or(|at| *at + CONTACT_SILENCE_TIMEOUT < now)
        };
        let silent: Vec<SocketAddr> = discovery
            .contacts
            .iter()
            .copied()
            .filter(is_silent)
            .collect();
        discovery.next_contact = discovery.next_contact.wrapping_add(MAX_NOTIFIED_CONTACTS);
        let offset = discovery.next_contact;
        let count = silent.len();
        let contacts = (0..count.min(MAX_NOTIFIED_CONTACTS)).map(|n| silent[(offset + n) % count]);
        let agents = self
            .dispatcher
            .as_ref()
            .map(|d| d.agents_with_unknown_runs());
        let all: Vec<SocketAddr> = contacts.chain(agents.into_iter().flatten()).collect();
        for address in all {
            self.send_leader_info(address);
        }
    }

    /// Withdraws the volatile jobs of silent entry nodes, because their callers resubmit them elsewhere.
    fn drop_silent_entries(&mut self) {
        let now = self.clock.now;
        let silent = |o: &Origin| match o {
            Origin::Remote(address, _) => self
                .discovery
                .heard_at
                .get(address)
                .is_none_or(|at| *at + ENTRY_SILENCE_TIMEOUT < now),
            Origin::Local(_) => false,
        };
        let silent: Vec<Origin> = self
            .waiters
            .by_origin
            .keys()
            .filter(|o| silent(o))
            .copied()
            .collect();
        for origin in silent {
            self.on_withdraw(origin);
        }
    }

    pub(super) fn on_hello(&mut self, hello: Hello) {
        self.discovery.record_address(hello.node, hello.address);
        self.discovery
            .add_contact(self.options.address, hello.address);
        let address = hello.address;
        self.discovery.record_contact(address, self.clock.now);
        self.record_standby(hello);
        self.send_leader_info(address);
    }

    pub(super) fn on_leader_info(&mut self, info: &LeaderInfo) {
        let own = self.options.address;
        for member in &info.members {
            self.discovery.add_contact(own, member.address);
            self.discovery.record_address(member.id, member.address);
        }
        let now = self.clock.now;
        if info.serving && info.term >= self.discovery.term {
            self.discovery.term = info.term;
            let before = self.discovery.leader.map(|(address, _)| address);
            if before != Some(info.from) {
                log::info!(
                    "E625 found the leader leader={} term={}",
                    info.from,
                    info.term
                );
            }
            self.discovery.leader = Some((info.from, now));
        } else if self
            .discovery
            .leader
            .is_some_and(|(leader, _)| leader == info.from)
        {
            self.discovery.leader = None;
        }
        if self.discovery.leader.is_none()
            && let Some(leader) = info.leader
            && leader != own
            && leader != info.from
        {
            // The next Hello goes to the node that was named as leader.
            self.discovery.add_contact(own, leader);
            let at = self
                .discovery
                .contacts
                .iter()
                .position(|c| *c == leader)
                .unwrap_or(0);
            let count = self.discovery.contacts.len();
            self.discovery.next_contact = (at + count - 1) % count;
            self.discovery.next_tick = now;
        }
    }
}
