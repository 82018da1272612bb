//! Replicated log of one group: elections, replication, membership, read leases.
//!
//! [`Raft`] takes time and messages and fills an [`RaftOutput`]. The driver stores `writes`, reports them with
//! [`Raft::synced`], and sends `after` only once the writes before them are durable.

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

/// Time between two heartbeats of a leader.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(80);
/// Shortest time without a leader after which a voter asks for votes. It exceeds [`LEADER_LEASE`], the delay of a heartbeat
/// and a pause of a processor whose share is used up.
pub const MIN_ELECTION_TIMEOUT: Duration = Duration::from_millis(330);
/// Longest such time; the spread keeps two voters from splitting the votes again and again.
pub const MAX_ELECTION_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after the sending of a heartbeat, acknowledged by a majority, in which a leader may act. It is shorter than
/// [`MIN_ELECTION_TIMEOUT`] by more than the drift of two clocks.
pub const LEADER_LEASE: Duration = Duration::from_millis(290);
/// Spread of the elections after the process of the leader has ended; about two syncs.
const MAX_ELECTION_DELAY_AFTER_EXIT: Duration = Duration::from_millis(40);
/// Bytes of entries in one message.
const MAX_APPEND_BYTES: usize = 256 * 1024;

/// Position in the log, counted from 1.
pub type Index = u64;
/// Number of an election.
pub type Term = u64;

/// Term and vote, which must survive a restart.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct HardState {
    /// Newest term that was seen.
    pub term: Term,
    /// The candidate that got the vote of this node in `term`.
    pub vote: Option<NodeId>,
}

/// A record for the storage.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum StorageWrite {
    /// Replaces term and vote.
    HardState(HardState),
    /// Adds an entry; entries at its index and later are dropped first.
    Entry(Entry),
    /// Replaces the whole log.
    Snapshot(Snapshot),
}

/// What the driver has to do.
#[derive(Debug, Default)]
pub struct RaftOutput {
    /// Messages that may go out at once.
    pub send: Vec<(NodeId, RaftMessage)>,
    /// Records to store and sync, in this order.
    pub writes: Vec<StorageWrite>,
    /// Messages that may go out only after all writes so far are durable.
    pub send_after_sync: Vec<(NodeId, RaftMessage)>,
}

#[derive(Debug)]
enum Role {
    Follower,
    /// Asks whether an election could be won, without raising the term.
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
    hard: HardState,
    log: Log,
    commit: Index,
    /// Entries up to here are durable on this node.
    synced: Index,
    role: Role,
    leader: Option<NodeId>,
    /// When a leader was heard last; votes are refused for [`MIN_ELECTION_TIMEOUT`] after it.
    heard: Timestamp,
    election: Timestamp,
    /// What is known since the restart, until a leader is heard or cannot exist.
    restart: Option<restart::RestartState>,
    rng: SmallRng,
    out: RaftOutput,
    /// A snapshot from the leader that the driver has not taken yet.
    restored: Option<Snapshot>,
}

impl Raft {
    /// Starts a replica from what its storage holds. `seed` spreads the elections.
    ///
    /// ```
    /// use figdeal_core::time::Timestamp;
    /// use figdeal_queue::raft::{HardState, Log, NodeId, Raft};
    ///
    /// let raft = Raft::new(NodeId(1), HardState::default(), Log::default(), Timestamp::ZERO, 7);
    /// assert!(!raft.is_voter() && !raft.is_leader());
    /// ```
    pub fn new(id: NodeId, hard: HardState, log: Log, now: Timestamp, seed: u64) -> Raft {
        let mut raft = Raft {
            id,
            hard,
            commit: log.base().index,
            synced: log.last_index(),
            log,
            role: Role::Follower,
            leader: None,
            // A restarted node may have acknowledged a heartbeat just before, so it counts as one heard now.
            heard: now,
            election: now,
            restart: None,
            rng: SmallRng::seed_from_u64(seed ^ id.0),
            out: RaftOutput::default(),
            restored: None,
        };
        raft.reset_election(now);
        raft.begin_restart(now);
        raft
    }

    /// Writes the first entry of a new group; every founding voter gets the same list.
    pub fn bootstrap(&mut self, voters: Vec<Member>) {
        if self.log.last_index() > 0 || self.hard.term > 0 {
            return;
        }
        self.hard.term = 1;
        self.out.writes.push(StorageWrite::HardState(self.hard));
        let entry = Entry {
            index: 1,
            term: 1,
            payload: Payload::Members(voters),
        };
        self.append_entry(entry);
    }

    /// The identity of this node.
    pub fn id(&self) -> NodeId {
        self.id
    }

    /// The newest term seen.
    pub fn term(&self) -> Term {
        self.hard.term
    }

    /// The leader of the current term, if it is known.
    pub fn leader(&self) -> Option<NodeId> {
        self.leader
    }

    /// The index up to which entries are committed.
    pub fn commit(&self) -> Index {
        self.commit
    }

    /// The log of this node.
    pub fn log(&self) -> &Log {
        &self.log
    }

    /// The voters by the newest entry of this node.
    pub fn members(&self) -> &[Member] {
        self.log.members()
    }

    /// Whether this node may vote.
    pub fn is_voter(&self) -> bool {
        self.members().iter().any(|m| m.id == self.id)
    }

    /// Whether this node leads its term.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// Whether this node leads, has committed an entry of its term and no other leader can exist now.
    pub fn is_serving(&self, now: Timestamp) -> bool {
        match &self.role {
            Role::Leader(leading) => {
                leading.is_open()
                    && self.commit >= leading.first
                    && self.lease_start(leading, now) + LEADER_LEASE > now
            }
            _ => false,
        }
    }

    /// The newest heartbeat of this leader that `id` has answered, by the own clock in microseconds.
    pub fn acked_heartbeat_us(&self, id: NodeId) -> Option<u64> {
        match &self.role {
            Role::Leader(leading) => leading.acked_heartbeat(id).map(Timestamp::as_micros),
            _ => None,
        }
    }

    /// Whether everything up to the last entry is durable here.
    pub fn is_synced(&self) -> bool {
        self.synced >= self.log.last_index()
    }

    /// Takes what the driver has to do.
    pub fn take_output(&mut self) -> RaftOutput {
        std::mem::take(&mut self.out)
    }

    /// Takes the snapshot that a leader sent in place of entries.
    pub fn take_installed_snapshot(&mut self) -> Option<Snapshot> {
        self.restored.take()
    }

    /// Reports that entries up to `index`, the last of them of `term`, are durable on this node.
    pub fn on_synced(&mut self, index: Index, term: Term) {
        if self.log.term(index) == Some(term) {
            self.synced = self.synced.max(index);
        }
        self.advance_commit();
    }

    /// Replaces the entries up to the end of `snapshot`, which is committed, and stores what remains anew.
    pub fn compact(&mut self, snapshot: Snapshot) {
        assert!(
            snapshot.last.index <= self.commit,
            "a snapshot covers committed entries only"
        );
        self.log.compact(snapshot.last.index);
        let first = snapshot.last.index + 1;
        self.out.writes.push(StorageWrite::Snapshot(snapshot));
        self.out.writes.push(StorageWrite::HardState(self.hard));
        let rest = self.log.range(first, usize::MAX);
        self.out
            .writes
            .extend(rest.into_iter().map(StorageWrite::Entry));
    }

    /// Acts on the passing of time.
    pub fn tick(&mut self, now: Timestamp) {
        match &self.role {
            Role::Leader(_) => self.tick_leader(now),
            _ if self.is_probe_due(now) => self.probe(now),
            _ if now >= self.election && self.is_voter() => self.campaign(now),
            _ => {}
        }
    }

    /// When [`Raft::tick`] has something to do at the latest.
    pub fn next_tick(&self) -> Timestamp {
        match &self.role {
            Role::Leader(leading) => leading.heartbeat,
            _ => self
                .next_probe()
                .map_or(self.election, |at| at.min(self.election)),
        }
    }

    /// Handles a message of another node.
    pub fn step(&mut self, now: Timestamp, from: NodeId, message: RaftMessage) {
        match message {
            RaftMessage::PreVote { term, last } => self.on_pre_vote(now, from, term, last),
            RaftMessage::PreVoteReply {
                term,
                granted,
                is_leader: leading,
            } => {
                self.on_probe_reply(now, from, leading);
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
                sent_us: sent,
            } => {
                self.on_install_snapshot(now, from, term, snapshot, sent);
            }
            RaftMessage::TimeoutNow { term } => {
                if term == self.hard.term && self.is_voter() && !self.is_leader() {
                    self.start_election(now, true);
                }
            }
        }
    }

    /// The process of the leader has ended, so nothing stands against an election.
    pub fn on_leader_exit(&mut self, now: Timestamp) {
        if !self.is_leader() {
            self.heard = Timestamp::ZERO;
            self.leader = None;
            let spread = MAX_ELECTION_DELAY_AFTER_EXIT.as_micros() as u64;
            self.election = now + Duration::from_micros(self.rng.random_range(0..spread));
        }
    }

    fn reset_election(&mut self, now: Timestamp) {
        let spread = (MAX_ELECTION_TIMEOUT - MIN_ELECTION_TIMEOUT).as_micros() as u64;
        self.election =
            now + MIN_ELECTION_TIMEOUT + Duration::from_micros(self.rng.random_range(0..spread));
    }

    fn quorum(&self) -> usize {
        self.members().len() / 2 + 1
    }

    /// Counts the voters among `granted`; a node that was removed meanwhile does not count.
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
        self.synced = self.synced.min(entry.index - 1);
        self.out.writes.push(StorageWrite::Entry(entry.clone()));
        self.log.append(entry);
    }

    fn become_follower(&mut self, now: Timestamp, term: Term, leader: Option<NodeId>) {
        if term > self.hard.term {
            self.hard = HardState { term, vote: None };
            self.out.writes.push(StorageWrite::HardState(self.hard));
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
        let (term, last) = (self.hard.term + 1, self.log.last());
        for peer in self.peers() {
            self.out
                .send
                .push((peer, RaftMessage::PreVote { term, last }));
        }
        if self.has_quorum(&[self.id]) {
            self.start_election(now, false);
        }
    }

    fn start_election(&mut self, now: Timestamp, transfer: bool) {
        self.hard = HardState {
            term: self.hard.term + 1,
            vote: Some(self.id),
        };
        self.out.writes.push(StorageWrite::HardState(self.hard));
        self.leader = None;
        self.reset_election(now);
        self.role = Role::Candidate {
            granted: Vec::new(),
        };
        let (term, last) = (self.hard.term, self.log.last());
        for peer in self.peers() {
            self.out.send_after_sync.push((
                peer,
                RaftMessage::RequestVote {
                    term,
                    last,
                    transfer,
                },
            ));
        }
        // The own vote counts once it is durable: the driver hands this message back.
        self.out.send_after_sync.push((
            self.id,
            RaftMessage::VoteReply {
                term,
                granted: true,
            },
        ));
    }

    fn on_pre_vote(&mut self, now: Timestamp, from: NodeId, term: Term, last: log::Position) {
        let granted =
            term > self.hard.term && last >= self.log.last() && !self.may_leader_hold_lease(now);
        let leading = self.is_leader();
        let reply = RaftMessage::PreVoteReply {
            term,
            granted,
            is_leader: leading,
        };
        self.out.send.push((from, reply));
    }

    /// Whether a leader may still hold a lease that this node took part in.
    fn may_leader_hold_lease(&self, now: Timestamp) -> bool {
        self.is_leader() || self.heard + MIN_ELECTION_TIMEOUT > now
    }

    fn on_pre_vote_reply(&mut self, now: Timestamp, from: NodeId, term: Term, yes: bool) {
        let Role::PreCandidate { granted } = &mut self.role else {
            return;
        };
        if !yes || term != self.hard.term + 1 {
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
        if term > self.hard.term {
            if self.may_leader_hold_lease(now) && !transfer {
                return;
            }
            self.become_follower(now, term, None);
        }
        let free = self.hard.vote.is_none() || self.hard.vote == Some(from);
        let granted = term == self.hard.term && free && last >= self.log.last();
        if granted && self.hard.vote.is_none() {
            self.hard.vote = Some(from);
            self.out.writes.push(StorageWrite::HardState(self.hard));
            self.reset_election(now);
        }
        let reply = RaftMessage::VoteReply {
            term: self.hard.term,
            granted,
        };
        self.out.send_after_sync.push((from, reply));
    }

    fn on_vote_reply(&mut self, now: Timestamp, from: NodeId, term: Term, yes: bool) {
        if term > self.hard.term {
            self.become_follower(now, term, None);
            return;
        }
        let Role::Candidate { granted } = &mut self.role else {
            return;
        };
        if !yes || term != self.hard.term {
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
