//! The search for the leader, and who answers at which address.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use figdeal_core::time::Timestamp;

use super::{Node, Options, Origin};
use crate::{
    message::{Hello, LeaderInfo, PeerMessage},
    raft::{NodeId, Term},
};

/// Time between two questions for the leader while none is known.
const SEARCH_INTERVAL: Duration = Duration::from_millis(50);
/// Shortest time between two questions, also while connections are refused.
const MIN_SEARCH_INTERVAL: Duration = Duration::from_millis(10);
/// Time between two greetings of the leader.
const HELLO_INTERVAL: Duration = Duration::from_millis(150);
/// Time without a greeting after which the volatile jobs of an entry are given up. Callers hand a job in again 1.3 s
/// after they have lost its entry.
const ENTRY_SILENCE_TIMEOUT: Duration = Duration::from_millis(800);
/// Time without an answer of the leader after which it counts as unknown.
const LEADER_SILENCE_TIMEOUT: Duration = Duration::from_millis(450);

/// Time without a greeting after which a leader tells a node that it leads.
const CONTACT_SILENCE_TIMEOUT: Duration = Duration::from_millis(600);
/// Such nodes that are told at once; some of them may be gone for good.
const MAX_SILENT_CONTACTS_TOLD: usize = 3;

/// What a node knows of the others.
#[derive(Debug)]
pub(super) struct Discovery {
    contacts: Vec<SocketAddr>,
    next_contact: usize,
    /// The leader and when it answered last.
    leader: Option<(SocketAddr, Timestamp)>,
    /// Newest term of a leader that was found.
    term: Term,
    pub(super) next_tick: Timestamp,
    addresses: HashMap<NodeId, SocketAddr>,
    /// When other nodes were heard last.
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
        let (addresses, heard) = (HashMap::new(), HashMap::new());
        Discovery {
            contacts,
            next_contact: 0,
            leader: None,
            term: 0,
            next_tick: now,
            addresses,
            heard_at: heard,
        }
    }

    /// A node has sent a message from its address.
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

    /// Where requests go that this node cannot serve.
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
        if let Some((leader, heard)) = self.discovery.leader
            && heard + LEADER_SILENCE_TIMEOUT < now
        {
            log::warn!(
                "E624 leader is silent leader={leader} silent_ms={}",
                now.since(heard).as_millis()
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

    /// The connection to `address` is lost. If that was the leader, it is asked once more: without a listener its
    /// process has ended and holds no lease.
    pub(super) fn on_leader_connection_lost(&mut self, address: SocketAddr, refused: bool) {
        let led = self.raft.leader().and_then(|id| self.address_of(id)) == Some(address);
        if led && refused {
            log::warn!("E633 leader has ended leader={address}");
            self.raft.on_leader_exit(self.clock.now);
        } else if led {
            let hello = PeerMessage::Hello(self.hello());
            self.send(address, hello);
        }
        self.discovery.forget_leader(address);
        self.discovery.next_tick = self
            .discovery
            .next_tick
            .min(self.clock.now + MIN_SEARCH_INTERVAL);
    }

    /// Tells nodes that have not greeted this leader, and agents that have not reported, who leads. They may have started
    /// after the first word, and may know only seeds that are in the same position.
    fn notify_silent_contacts(&mut self) {
        let now = self.clock.now;
        if !self.is_serving() {
            return;
        }
        let find = &mut self.discovery;
        let is_silent = |address: &SocketAddr| {
            let heard = find.heard_at.get(address);
            heard.is_none_or(|at| *at + CONTACT_SILENCE_TIMEOUT < now)
        };
        let silent: Vec<SocketAddr> = find.contacts.iter().copied().filter(is_silent).collect();
        find.next_contact = find.next_contact.wrapping_add(MAX_SILENT_CONTACTS_TOLD);
        let turn = find.next_contact;
        let count = silent.len();
        let called = (0..count.min(MAX_SILENT_CONTACTS_TOLD)).map(|n| silent[(turn + n) % count]);
        let agents = self.dispatcher.as_ref().map(|l| l.unresolved_agents());
        let all: Vec<SocketAddr> = called.chain(agents.into_iter().flatten()).collect();
        for address in all {
            self.send_leader_info(address);
        }
    }

    /// Withdraws the volatile jobs of entries that are silent: their callers hand them in elsewhere.
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

    pub(super) fn on_leader_info(&mut self, directory: &LeaderInfo) {
        let own = self.options.address;
        for member in &directory.members {
            self.discovery.add_contact(own, member.address);
            self.discovery.record_address(member.id, member.address);
        }
        let now = self.clock.now;
        if directory.serving && directory.term >= self.discovery.term {
            self.discovery.term = directory.term;
            let before = self.discovery.leader.map(|(address, _)| address);
            if before != Some(directory.from) {
                log::info!(
                    "E625 leader found leader={} term={}",
                    directory.from,
                    directory.term
                );
            }
            self.discovery.leader = Some((directory.from, now));
        } else if self
            .discovery
            .leader
            .is_some_and(|(leader, _)| leader == directory.from)
        {
            self.discovery.leader = None;
        }
        if self.discovery.leader.is_none()
            && let Some(leader) = directory.leader
            && leader != own
            && leader != directory.from
        {
            // Asks the named leader itself with the next question.
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
