//! Leader side: replication, commit index, leader lease, membership changes and leadership transfer.

use std::collections::BTreeMap;

use figdeal_core::time::Timestamp;

use super::{
    HEARTBEAT_INTERVAL, Index, LEADER_LEASE, MAX_APPEND_BYTES, MIN_ELECTION_TIMEOUT, Raft, Role,
    log::{Entry, Payload, Position, Snapshot},
    message::{AppendEntries, AppendEntriesReply, Member, NodeId, RaftMessage, to_micros},
};

/// Maximum number of unacknowledged entries sent to a follower.
const MAX_IN_FLIGHT_ENTRIES: u64 = 512;

/// Replication progress of another replica.
#[derive(Debug, Clone)]
pub(super) struct Progress {
    next_index: Index,
    /// Index of the last entry known to be durable on the replica.
    match_index: Index,
    /// Leader's clock at the sending of the newest message that the replica acknowledged.
    acked_sent_at: Option<Timestamp>,
    /// When `next_index` was last set back. Conflicts reported for messages sent before that are ignored.
    rewound_at: Timestamp,
    /// When a snapshot was sent that is not acknowledged yet.
    snapshot_sent_at: Option<Timestamp>,
}

impl Progress {
    fn new(next: Index) -> Progress {
        Progress {
            next_index: next,
            match_index: 0,
            acked_sent_at: None,
            rewound_at: Timestamp::ZERO,
            snapshot_sent_at: None,
        }
    }
}

/// State that exists only while this node leads.
#[derive(Debug)]
pub(super) struct LeaderState {
    progress: BTreeMap<NodeId, Progress>,
    /// Index of the first entry of this term.
    pub(super) first_index: Index,
    pub(super) next_heartbeat: Timestamp,
    elected_at: Timestamp,
    /// When the leadership was transferred. The leader lease must not be used from then on.
    transferred_at: Option<Timestamp>,
}

impl LeaderState {
    /// Returns whether the leadership has not been transferred.
    pub(super) fn is_active(&self) -> bool {
        self.transferred_at.is_none()
    }

    /// Returns when the newest heartbeat that `id` acknowledged was sent.
    pub(super) fn acked_heartbeat(&self, id: NodeId) -> Option<Timestamp> {
        self.progress.get(&id)?.acked_sent_at
    }
}

impl Raft {
    pub(super) fn become_leader(&mut self, now: Timestamp) {
        let first = self.log.last_index() + 1;
        let progress = Progress::new(first);
        let progress = self
            .peers()
            .into_iter()
            .map(|id| (id, progress.clone()))
            .collect();
        self.role = Role::Leader(LeaderState {
            progress,
            first_index: first,
            next_heartbeat: now,
            elected_at: now,
            transferred_at: None,
        });
        self.leader = Some(self.id);
        self.append_payload(Payload::Noop);
        self.tick_leader(now);
    }

    fn leader_state(&mut self) -> Option<&mut LeaderState> {
        match &mut self.role {
            Role::Leader(leader) => Some(leader),
            _ => None,
        }
    }

    fn append_payload(&mut self, payload: Payload) -> Index {
        let index = self.log.last_index() + 1;
        self.append_entry(Entry {
            index,
            term: self.hard_state.term,
            payload,
        });
        index
    }

    /// Appends commands to the log. Returns the index of the entry, or `None` if this node is not the leader.
    pub fn propose(&mut self, now: Timestamp, data: Vec<u8>) -> Option<Index> {
        if !self.is_leader() {
            return None;
        }
        let index = self.append_payload(Payload::Data(data));
        self.replicate(now);
        Some(index)
    }

    /// Proposes a set of voters that differs by one member. Returns the index of the entry, or `None` if this node is
    /// not the leader, has transferred the leadership, or has not committed an earlier change or its first entry.
    pub fn propose_members(&mut self, now: Timestamp, members: Vec<Member>) -> Option<Index> {
        let first = match &self.role {
            Role::Leader(leader) if leader.is_active() => leader.first_index,
            _ => return None,
        };
        if self.commit < first || self.log.members_index() > self.commit {
            return None;
        }
        let changed = |a: &[Member], b: &[Member]| a.iter().filter(|m| !b.contains(m)).count();
        let (removed, new) = (
            changed(self.members(), &members),
            changed(&members, self.members()),
        );
        assert!(removed + new <= 1, "voters must be changed one at a time");
        let index = self.append_payload(Payload::Members(members));
        self.add_progress();
        self.replicate(now);
        Some(index)
    }

    fn add_progress(&mut self) {
        let (peers, next) = (self.peers(), self.log.last_index() + 1);
        let Some(leader) = self.leader_state() else {
            return;
        };
        for peer in peers {
            let new_progress = Progress::new(next);
            leader.progress.entry(peer).or_insert(new_progress);
        }
    }

    /// Replicates the log to a node that is to become a voter. Returns whether that node has every committed entry.
    pub fn replicate_to_learner(&mut self, now: Timestamp, id: NodeId) -> bool {
        let (next, commit) = (self.log.last_index() + 1, self.commit);
        let Some(leader) = self.leader_state() else {
            return false;
        };
        let new_progress = Progress::new(next);
        let progress = leader.progress.entry(id).or_insert(new_progress);
        let caught_up = progress.match_index >= commit && progress.match_index > 0;
        if progress.match_index == 0 {
            self.send_append(now, id, true);
        }
        caught_up
    }

    /// Stops replicating to nodes that are neither voters nor in `learners`.
    pub fn retain_learners(&mut self, learners: &[NodeId]) {
        let peers = self.peers();
        if let Some(leader) = self.leader_state() {
            leader
                .progress
                .retain(|id, _| peers.contains(id) || learners.contains(id));
        }
    }

    /// Returns the age of the newest message that a voter has acknowledged, or the time since the election if that is
    /// shorter; zero if this node is not the leader.
    pub fn time_since_ack(&self, now: Timestamp, id: NodeId) -> std::time::Duration {
        match &self.role {
            Role::Leader(leader) => {
                let acked = leader.progress.get(&id).and_then(|p| p.acked_sent_at);
                now.since(acked.unwrap_or(leader.elected_at).max(leader.elected_at))
            }
            _ => std::time::Duration::ZERO,
        }
    }

    /// Transfers the leadership to the voter whose log is most complete, and returns that voter. The leader lease of
    /// this node ends here. Returns `None` without effect if no voter can take over.
    pub fn transfer_leadership(&mut self, now: Timestamp) -> Option<NodeId> {
        let (term, peers) = (self.hard_state.term, self.peers());
        let leader = self.leader_state()?;
        let recent = leader
            .progress
            .iter()
            .filter(|(id, p)| peers.contains(id) && p.match_index > 0);
        let (&id, _) = recent.max_by_key(|(_, p)| (p.match_index, p.acked_sent_at))?;
        leader.transferred_at = Some(now);
        self.output
            .send_after_sync
            .push((id, RaftMessage::TimeoutNow { term }));
        Some(id)
    }

    pub(super) fn tick_leader(&mut self, now: Timestamp) {
        let Role::Leader(leader) = &self.role else {
            return;
        };
        let start = self.lease_start(leader, now).max(leader.elected_at);
        let transfer_unanswered = leader
            .transferred_at
            .is_some_and(|at| at + HEARTBEAT_INTERVAL < now);
        if start + MIN_ELECTION_TIMEOUT + LEADER_LEASE < now || transfer_unanswered {
            // Without contact to a quorum another leader may exist by now; after a transfer, the successor has not
            // started an election.
            self.become_follower(now, self.hard_state.term, None);
            return;
        }
        let due = leader.next_heartbeat <= now;
        if due {
            let leader = self.leader_state().expect("this node is the leader");
            leader.next_heartbeat = now + HEARTBEAT_INTERVAL;
            let ids: Vec<NodeId> = leader.progress.keys().copied().collect();
            for id in ids {
                self.send_append(now, id, true);
            }
        }
    }

    /// Returns the newest time at which a quorum is known to have followed this leader; the leader lease counts from
    /// it.
    pub(super) fn lease_start(&self, leader: &LeaderState, now: Timestamp) -> Timestamp {
        let acked = |id| {
            leader
                .progress
                .get(&id)
                .and_then(|p| p.acked_sent_at)
                .unwrap_or(Timestamp::ZERO)
        };
        let voters = self.members().iter().map(|m| m.id);
        let mut times: Vec<Timestamp> = voters
            .map(|id| if id == self.id { now } else { acked(id) })
            .collect();
        times.sort_unstable_by(|a, b| b.cmp(a));
        times
            .get(self.quorum() - 1)
            .copied()
            .unwrap_or(Timestamp::ZERO)
    }

    fn replicate(&mut self, now: Timestamp) {
        let Some(leader) = self.leader_state() else {
            return;
        };
        let ids: Vec<NodeId> = leader.progress.keys().copied().collect();
        for id in ids {
            self.send_append(now, id, false);
        }
    }

    /// Sends the entries that the replica lacks; with `heartbeat` it sends a message even if there are none.
    fn send_append(&mut self, now: Timestamp, id: NodeId, heartbeat: bool) {
        let (term, commit) = (self.hard_state.term, self.commit);
        let (base, last) = (self.log.base(), self.log.last_index());
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let Some(progress) = leader.progress.get_mut(&id) else {
            return;
        };
        if progress.next_index <= base.index {
            // The node adds the data of the snapshot when it sends this message.
            let snapshot_pending = progress
                .snapshot_sent_at
                .is_some_and(|at| at + MIN_ELECTION_TIMEOUT > now);
            if !snapshot_pending {
                progress.snapshot_sent_at = Some(now);
                let snapshot = Snapshot {
                    last: base,
                    ..Snapshot::default()
                };
                let sent_us = to_micros(now);
                self.output.send.push((
                    id,
                    RaftMessage::InstallSnapshot {
                        term,
                        snapshot,
                        sent_us,
                    },
                ));
            }
            return;
        }
        let window_full = progress.next_index > progress.match_index + MAX_IN_FLIGHT_ENTRIES
            && progress.match_index > 0;
        let entries = match window_full || progress.next_index > last {
            true => Vec::new(),
            false => self.log.range(progress.next_index, MAX_APPEND_BYTES),
        };
        if entries.is_empty() && !heartbeat {
            return;
        }
        let prev = progress.next_index - 1;
        let prev_term = self
            .log
            .term(prev)
            .expect("the previous entry must be in the log or be the snapshot base");
        progress.next_index += entries.len() as u64;
        let append = AppendEntries {
            term,
            prev: Position {
                term: prev_term,
                index: prev,
            },
            entries,
            commit,
            sent_us: to_micros(now),
        };
        self.output
            .send
            .push((id, RaftMessage::AppendEntries(append)));
    }

    pub(super) fn on_append_reply(
        &mut self,
        now: Timestamp,
        from: NodeId,
        reply: AppendEntriesReply,
    ) {
        if reply.term > self.hard_state.term {
            self.become_follower(now, reply.term, None);
            return;
        }
        let (last, term) = (self.log.last_index(), self.hard_state.term);
        let Some(leader) = self.leader_state() else {
            return;
        };
        let Some(progress) = leader.progress.get_mut(&from) else {
            return;
        };
        if reply.term < term {
            return;
        }
        let sent = Timestamp::from_micros(reply.sent_us);
        progress.acked_sent_at = progress.acked_sent_at.max(Some(sent));
        if reply.conflict {
            if reply.index + 1 < progress.next_index && sent >= progress.rewound_at {
                progress.rewound_at = now;
                progress.next_index = (reply.index + 1).max(progress.match_index + 1);
                self.send_append(now, from, false);
            }
            return;
        }
        progress.snapshot_sent_at = None;
        progress.match_index = progress.match_index.max(reply.index.min(last));
        progress.next_index = progress.next_index.max(progress.match_index + 1);
        let lacks_entries = progress.next_index <= last;
        self.advance_commit();
        if lacks_entries {
            self.send_append(now, from, false);
        }
    }

    pub(super) fn advance_commit(&mut self) {
        let Role::Leader(leader) = &self.role else {
            return;
        };
        let matched = |id| leader.progress.get(&id).map_or(0, |p| p.match_index);
        let voters = self.members().iter().map(|m| m.id);
        let mut indexes: Vec<Index> = voters
            .map(|id| {
                if id == self.id {
                    self.synced_index
                } else {
                    matched(id)
                }
            })
            .collect();
        indexes.sort_unstable_by(|a, b| b.cmp(a));
        let Some(&index) = indexes.get(self.quorum() - 1) else {
            return;
        };
        // Raft commits by counting replicas only for entries of the current term; earlier entries are committed with
        // them.
        if index > self.commit && self.log.term(index) == Some(self.hard_state.term) {
            self.commit = index;
        }
    }
}
