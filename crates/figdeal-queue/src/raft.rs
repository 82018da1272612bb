//! Raft replica of one group: elections with pre-vote, log replication, membership changes and the leader lease.
//!
//! [`Raft`] takes time and messages and fills a [`RaftOutput`]. The driver stores `writes`, reports them with
//! [`Raft::on_synced`], and sends `send_after_sync` only once the writes before them are durable.

use std::time::Duration;

use figdeal_core::time::Timestamp;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use serde::{Deserialize, Serialize};

use self::{leader::LeaderState, log::Snapshot};
pub use self::{
    log::{Entry, Log, Payload},
    message::{Member, NodeId, RaftMessage},
};

mod follower;
mod leader;
pub mod log;
pub mod message;
mod restart;

/// Interval between two heartbeats of a leader.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(80);
/// Shortest time without contact to a leader after which a voter starts an election. It exceeds [`LEADER_LEASE`] and
/// leaves room for a delayed heartbeat and for a process that is paused because its CPU share is used up.
pub const MIN_ELECTION_TIMEOUT: Duration = Duration::from_millis(330);
/// Longest election timeout. The spread keeps two voters from splitting the votes repeatedly.
pub const MAX_ELECTION_TIMEOUT: Duration = Duration::from_millis(500);
/// Duration of the leader lease, counted from the sending of a heartbeat that a majority acknowledged. It is shorter
/// than [`MIN_ELECTION_TIMEOUT`] by more than the drift between two clocks.
pub const LEADER_LEASE: Duration = Duration::from_millis(290);
/// Upper bound of the random election delay after the leader's process has exited; about two disk syncs.
const MAX_ELECTION_DELAY_AFTER_EXIT: Duration = Duration::from_millis(40);
/// Maximum bytes of entries in one AppendEntries message.
const MAX_APPEND_BYTES: usize = 256 * 1024;

/// Index of a log entry, counted from 1.
pub type Index = u64;
/// Number of an election term.
pub type Term = u64;

/// Term and vote, which must survive a restart.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct HardState {
    /// Newest term seen.
    pub term: Term,
    /// Candidate that received the vote of this node in `term`.
    pub vote: Option<NodeId>,
}

/// A record that the driver writes to storage.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum StorageWrite {
    /// Replaces term and vote.
    HardState(HardState),
    /// Appends an entry, after dropping the entries at its index and later.
    Entry(Entry),
    /// Replaces the whole log.
    Snapshot(Snapshot),
}

impl StorageWrite {
    /// Returns the approximate size, at least 1.
    ///
    /// ```
    /// use figdeal_queue::raft::{HardState, StorageWrite};
    ///
    /// assert!(StorageWrite::HardState(HardState::default()).approximate_bytes() > 0);
    /// ```
    pub fn approximate_bytes(&self) -> usize {
        match self {
            StorageWrite::HardState(_) => size_of::<HardState>(),
            StorageWrite::Entry(entry) => log::entry_bytes(entry),
            StorageWrite::Snapshot(snapshot) => size_of::<Snapshot>() + snapshot.data.len(),
        }
    }
}

/// What the driver has to do after an input.
#[derive(Debug, Default)]
pub struct RaftOutput {
    /// Messages that may be sent immediately.
    pub send: Vec<(NodeId, RaftMessage)>,
    /// Records to write and sync, in this order.
    pub writes: Vec<StorageWrite>,
    /// Messages that may be sent only after all writes so far are durable.
    pub send_after_sync: Vec<(NodeId, RaftMessage)>,
}

#[derive(Debug)]
enum Role {
    Follower,
    /// Asks whether an election could be won, without incrementing the term.
    PreCandidate {
        granted: Vec<NodeId>,
    },
    Candidate {
        granted: Vec<NodeId>,
    },
    Leader(LeaderState),
}

/// One replica of the log.
#[derive(Debug)]
pub struct Raft {
    id: NodeId,
    hard_state: HardState,
    log: Log,
    commit: Index,
    /// Entries up to this index are durable on this node.
    synced_index: Index,
    role: Role,
    leader: Option<NodeId>,
    /// Time of the last contact with a leader; votes are refused for [`MIN_ELECTION_TIMEOUT`] after it.
    leader_heard_at: Timestamp,
    election_at: Timestamp,
    /// What the node has learned since its restart; dropped once a leader is known.
    restart: Option<restart::RestartState>,
    rng: SmallRng,
    output: RaftOutput,
    /// Snapshot from the leader that the driver has not taken yet.
    installed_snapshot: Option<Snapshot>,
}

impl Raft {
    /// Creates a replica from its stored state. `seed` randomises the election timeouts.
    ///
    /// ```
    /// use figdeal_core::time::Timestamp;
    /// use figdeal_queue::raft::{HardState, Log, NodeId, Raft};
    ///
    /// let raft = Raft::new(NodeId(1), HardState::default(), Log::default(), Timestamp::ZERO, 7);
    /// assert!(!raft.is_voter() && !raft.is_leader());
    /// ```
    pub fn new(id: NodeId, hard_state: HardState, log: Log, now: Timestamp, seed: u64) -> Raft {
        let mut raft = Raft {
            id,
            hard_state,
            commit: log.base().index,
            synced_index: log.last_index(),
            log,
            role: Role::Follower,
            leader: None,
            // A restarted node may have acknowledged a heartbeat just before it stopped, so the restart counts as
            // contact with a leader.
            leader_heard_at: now,
            election_at: now,
            restart: None,
            rng: SmallRng::seed_from_u64(seed ^ id.0),
            output: RaftOutput::default(),
            installed_snapshot: None,
        };
        raft.reset_election(now);
        raft.begin_restart(now);
        raft
    }

    /// Writes the first entry of a new group; every initial voter gets the same list.
    pub fn bootstrap(&mut self, voters: Vec<Member>) {
        if self.log.last_index() > 0 || self.hard_state.term > 0 {
            return;
        }
        self.hard_state.term = 1;
        self.output
            .writes
            .push(StorageWrite::HardState(self.hard_state));
        let entry = Entry {
            index: 1,
            term: 1,
            payload: Payload::Members(voters),
        };
        self.append_entry(entry);
    }

    /// Returns the identity of this node.
    pub fn id(&self) -> NodeId {
        self.id
    }

    /// Returns the newest term seen.
    pub fn term(&self) -> Term {
        self.hard_state.term
    }

    /// Returns the leader of the current term, if it is known.
    pub fn leader(&self) -> Option<NodeId> {
        self.leader
    }

    /// Returns the index up to which entries are committed.
    pub fn commit(&self) -> Index {
        self.commit
    }

    /// Returns the log of this node.
    pub fn log(&self) -> &Log {
        &self.log
    }

    /// Returns the voters according to the newest entry of this node, committed or not.
    pub fn members(&self) -> &[Member] {
        self.log.members()
    }

    /// Returns whether this node may vote.
    pub fn is_voter(&self) -> bool {
        self.members().iter().any(|m| m.id == self.id)
    }

    /// Returns whether this node is the leader of its term.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// Returns whether this node is the leader, has committed an entry of its term, and holds a valid leader lease,
    /// so that there can be no other leader.
    pub fn is_serving(&self, now: Timestamp) -> bool {
        match &self.role {
            Role::Leader(leader) => {
                leader.is_active()
                    && self.commit >= leader.first_index
                    && self.lease_start(leader, now) + LEADER_LEASE > now
            }
            _ => false,
        }
    }

    /// Returns when the newest heartbeat that `id` acknowledged was sent, by this leader's clock.
    pub fn acked_heartbeat_us(&self, id: NodeId) -> Option<u64> {
        match &self.role {
            Role::Leader(leader) => leader.acked_heartbeat(id).map(Timestamp::as_micros),
            _ => None,
        }
    }

    /// Returns whether all entries of the log are durable on this node.
    pub fn is_synced(&self) -> bool {
        self.synced_index >= self.log.last_index()
    }

    /// Takes what the driver has to do.
    pub fn take_output(&mut self) -> RaftOutput {
        std::mem::take(&mut self.output)
    }

    /// Takes the snapshot that a leader sent in place of entries.
    pub fn take_installed_snapshot(&mut self) -> Option<Snapshot> {
        self.installed_snapshot.take()
    }

    /// Handles a completed sync: the entries up to `index`, the last of them of `term`, are durable on this node.
    pub fn on_synced(&mut self, index: Index, term: Term) {
        if self.log.term(index) == Some(term) {
            self.synced_index = self.synced_index.max(index);
        }
        self.advance_commit();
    }

    /// Replaces the committed entries up to the end of `snapshot` by the snapshot, and writes the remaining
    /// entries again.
    pub fn compact(&mut self, snapshot: Snapshot) {
        assert!(
            snapshot.last.index <= self.commit,
            "a snapshot must cover committed entries only"
        );
        self.log.compact(snapshot.last.index);
        let first = snapshot.last.index + 1;
        self.output.writes.push(StorageWrite::Snapshot(snapshot));
        self.output
            .writes
            .push(StorageWrite::HardState(self.hard_state));
        let rest = self.log.range(first, usize::MAX);
        self.output
            .writes
            .extend(rest.into_iter().map(StorageWrite::Entry));
    }

    /// Sends heartbeats, probes the other voters after a restart, or starts an election, if due.
    pub fn tick(&mut self, now: Timestamp) {
        match &self.role {
            Role::Leader(_) => self.tick_leader(now),
            _ if self.is_probe_due(now) => self.probe(now),
            _ if now >= self.election_at && self.is_voter() => self.campaign(now),
            _ => {}
        }
    }

    /// Returns the latest time at which [`Raft::tick`] must be called.
    pub fn next_tick(&self) -> Timestamp {
        match &self.role {
            Role::Leader(leader) => leader.next_heartbeat,
            _ => self
                .next_probe()
                .map_or(self.election_at, |at| at.min(self.election_at)),
        }
    }

    /// Handles a message from another node.
    pub fn step(&mut self, now: Timestamp, from: NodeId, message: RaftMessage) {
        match message {
            RaftMessage::PreVote { term, last } => self.on_pre_vote(now, from, term, last),
            RaftMessage::PreVoteReply {
                term,
                granted,
                is_leader,
            } => {
                self.on_probe_reply(now, from, is_leader);
                self.on_pre_vote_reply(now, from, term, granted);
            }
            RaftMessage::RequestVote {
                term,
                last,
                transfer,
            } => {
                self.on_vote(now, from, term, last, transfer);
            }
            RaftMessage::VoteReply { term, granted } => {
                self.on_vote_reply(now, from, term, granted)
            }
            RaftMessage::AppendEntries(append) => self.on_append(now, from, append),
            RaftMessage::AppendEntriesReply(reply) => self.on_append_reply(now, from, reply),
            RaftMessage::InstallSnapshot {
                term,
                snapshot,
                sent_us,
            } => {
                self.on_install_snapshot(now, from, term, snapshot, sent_us);
            }
            RaftMessage::TimeoutNow { term } => {
                if term == self.hard_state.term && self.is_voter() && !self.is_leader() {
                    self.start_election(now, true);
                }
            }
        }
    }

    /// Handles the exit of the leader's process: no lease prevents an election any more.
    pub fn on_leader_exit(&mut self, now: Timestamp) {
        if !self.is_leader() {
            self.leader_heard_at = Timestamp::ZERO;
            self.leader = None;
            let spread = MAX_ELECTION_DELAY_AFTER_EXIT.as_micros() as u64;
            self.election_at = now + Duration::from_micros(self.rng.random_range(0..spread));
        }
    }

    fn reset_election(&mut self, now: Timestamp) {
        let spread = (MAX_ELECTION_TIMEOUT - MIN_ELECTION_TIMEOUT).as_micros() as u64;
        self.election_at =
            now + MIN_ELECTION_TIMEOUT + Duration::from_micros(self.rng.random_range(0..spread));
    }

    fn quorum(&self) -> usize {
        self.members().len() / 2 + 1
    }

    /// Returns whether `granted` holds a quorum; votes of nodes that are no longer members do not count.
    fn has_quorum(&self, granted: &[NodeId]) -> bool {
        let votes = self
            .members()
            .iter()
            .filter(|m| granted.contains(&m.id))
            .count();
        votes >= self.quorum()
    }

    fn peers(&self) -> Vec<NodeId> {
        self.members()
            .iter()
            .map(|m| m.id)
            .filter(|id| *id != self.id)
            .collect()
    }

    fn append_entry(&mut self, entry: Entry) {
        self.synced_index = self.synced_index.min(entry.index - 1);
        self.output.writes.push(StorageWrite::Entry(entry.clone()));
        self.log.append(entry);
    }

    fn become_follower(&mut self, now: Timestamp, term: Term, leader: Option<NodeId>) {
        if term > self.hard_state.term {
            self.hard_state = HardState { term, vote: None };
            self.output
                .writes
                .push(StorageWrite::HardState(self.hard_state));
        }
        self.role = Role::Follower;
        if leader.is_some() {
            self.restart = None;
        }
        self.leader = leader;
        self.reset_election(now);
    }

    fn campaign(&mut self, now: Timestamp) {
        self.leader = None;
        self.reset_election(now);
        self.schedule_fast_election(now);
        self.role = Role::PreCandidate {
            granted: vec![self.id],
        };
        let (term, last) = (self.hard_state.term + 1, self.log.last());
        for peer in self.peers() {
            self.output
                .send
                .push((peer, RaftMessage::PreVote { term, last }));
        }
        if self.has_quorum(&[self.id]) {
            self.start_election(now, false);
        }
    }

    fn start_election(&mut self, now: Timestamp, transfer: bool) {
        self.hard_state = HardState {
            term: self.hard_state.term + 1,
            vote: Some(self.id),
        };
        self.output
            .writes
            .push(StorageWrite::HardState(self.hard_state));
        self.leader = None;
        self.reset_election(now);
        self.role = Role::Candidate {
            granted: Vec::new(),
        };
        let (term, last) = (self.hard_state.term, self.log.last());
        for peer in self.peers() {
            self.output.send_after_sync.push((
                peer,
                RaftMessage::RequestVote {
                    term,
                    last,
                    transfer,
                },
            ));
        }
        // The own vote counts only once it is durable: the driver passes this message back after the sync.
        self.output.send_after_sync.push((
            self.id,
            RaftMessage::VoteReply {
                term,
                granted: true,
            },
        ));
    }

    fn on_pre_vote(&mut self, now: Timestamp, from: NodeId, term: Term, last: log::Position) {
        let granted = term > self.hard_state.term
            && last >= self.log.last()
            && !self.may_leader_hold_lease(now);
        let is_leader = self.is_leader();
        let reply = RaftMessage::PreVoteReply {
            term,
            granted,
            is_leader,
        };
        self.output.send.push((from, reply));
    }

    /// Returns whether a leader may still hold a lease that this node acknowledged.
    fn may_leader_hold_lease(&self, now: Timestamp) -> bool {
        self.is_leader() || self.leader_heard_at + MIN_ELECTION_TIMEOUT > now
    }

    fn on_pre_vote_reply(&mut self, now: Timestamp, from: NodeId, term: Term, vote_granted: bool) {
        let Role::PreCandidate { granted } = &mut self.role else {
            return;
        };
        if !vote_granted || term != self.hard_state.term + 1 {
            return;
        }
        if !granted.contains(&from) {
            granted.push(from);
        }
        let granted = granted.clone();
        if self.has_quorum(&granted) {
            self.start_election(now, false);
        }
    }

    fn on_vote(
        &mut self,
        now: Timestamp,
        from: NodeId,
        term: Term,
        last: log::Position,
        transfer: bool,
    ) {
        if term > self.hard_state.term {
            if self.may_leader_hold_lease(now) && !transfer {
                return;
            }
            self.become_follower(now, term, None);
        }
        let vote_available = self.hard_state.vote.is_none() || self.hard_state.vote == Some(from);
        let granted = term == self.hard_state.term && vote_available && last >= self.log.last();
        if granted && self.hard_state.vote.is_none() {
            self.hard_state.vote = Some(from);
            self.output
                .writes
                .push(StorageWrite::HardState(self.hard_state));
            self.reset_election(now);
        }
        let reply = RaftMessage::VoteReply {
            term: self.hard_state.term,
            granted,
        };
        self.output.send_after_sync.push((from, reply));
    }

    fn on_vote_reply(&mut self, now: Timestamp, from: NodeId, term: Term, vote_granted: bool) {
        if term > self.hard_state.term {
            self.become_follower(now, term, None);
            return;
        }
        let Role::Candidate { granted } = &mut self.role else {
            return;
        };
        if !vote_granted || term != self.hard_state.term {
            return;
        }
        if !granted.contains(&from) {
            granted.push(from);
        }
        let granted = granted.clone();
        if self.has_quorum(&granted) {
            self.become_leader(now);
        }
    }
}
