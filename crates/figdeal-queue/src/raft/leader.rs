//! The leader: replication, commit, lease, changes of the voters.

use std::collections::BTreeMap;

use figdeal_core::time::Timestamp;

use super::{
    HEARTBEAT_INTERVAL, Index, LEADER_LEASE, MAX_APPEND_BYTES, MIN_ELECTION_TIMEOUT, Raft, Role,
    log::{Entry, Payload, Position, Snapshot},
    message::{AppendEntries, AppendEntriesReply, Member, NodeId, RaftMessage, stamp},
};

/// Entries sent to a follower before it acknowledges the first of them.
const MAX_IN_FLIGHT_ENTRIES: u64 = 512;

/// What a leader knows of another replica.
#[derive(Debug, Clone)]
pub(super) struct Progress {
    next: Index,
    /// Durable there.
    matched: Index,
    /// The leader's clock in the newest message that was acknowledged.
    acked: Option<Timestamp>,
    /// When `next` was set back last. Conflicts of messages before that tell nothing new.
    rewound: Timestamp,
    /// A snapshot was sent at this time and not acknowledged yet.
    installing: Option<Timestamp>,
}

impl Progress {
    fn new(next: Index) -> Progress {
        Progress {
            next,
            matched: 0,
            acked: None,
            rewound: Timestamp::ZERO,
            installing: None,
        }
    }
}

/// State of a leader.
#[derive(Debug)]
pub(super) struct LeaderState {
    progress: BTreeMap<NodeId, Progress>,
    /// Index of the first entry of this term.
    pub(super) first: Index,
    pub(super) heartbeat: Timestamp,
    since: Timestamp,
    /// When the leadership was handed over; the lease must not be used from then on.
    closing: Option<Timestamp>,
}

impl LeaderState {
    pub(super) fn is_open(&self) -> bool {
        self.closing.is_none()
    }

    /// The newest heartbeat that `id` has answered.
    pub(super) fn acked_heartbeat(&self, id: NodeId) -> Option<Timestamp> {
        self.progress.get(&id)?.acked
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
            first,
            heartbeat: now,
            since: now,
            closing: None,
        });
        self.leader = Some(self.id);
        self.append_payload(Payload::Noop);
        self.tick_leader(now);
    }

    fn leader_state(&mut self) -> Option<&mut LeaderState> {
        match &mut self.role {
            Role::Leader(leading) => Some(leading),
            _ => None,
        }
    }

    fn append_payload(&mut self, payload: Payload) -> Index {
        let index = self.log.last_index() + 1;
        self.append_entry(Entry {
            index,
            term: self.hard.term,
            payload,
        });
        index
    }

    /// Adds commands to the log. Returns the index of the entry, or nothing if this node does not lead.
    pub fn propose(&mut self, now: Timestamp, data: Vec<u8>) -> Option<Index> {
        if !self.is_leader() {
            return None;
        }
        let index = self.append_payload(Payload::Data(data));
        self.replicate(now);
        Some(index)
    }

    /// Changes the voters by one. Refused while the change before it is not committed.
    pub fn propose_members(&mut self, now: Timestamp, members: Vec<Member>) -> Option<Index> {
        let first = match &self.role {
            Role::Leader(leading) if leading.is_open() => leading.first,
            _ => return None,
        };
        if self.commit < first || self.log.members_index() > self.commit {
            return None;
        }
        let changed = |a: &[Member], b: &[Member]| a.iter().filter(|m| !b.contains(m)).count();
        let (gone, new) = (
            changed(self.members(), &members),
            changed(&members, self.members()),
        );
        assert!(gone + new <= 1, "voters change one at a time");
        let index = self.append_payload(Payload::Members(members));
        self.add_progress();
        self.replicate(now);
        Some(index)
    }

    fn add_progress(&mut self) {
        let (peers, next) = (self.peers(), self.log.last_index() + 1);
        let Some(leading) = self.leader_state() else {
            return;
        };
        for peer in peers {
            let fresh = Progress::new(next);
            leading.progress.entry(peer).or_insert(fresh);
        }
    }

    /// Sends the log to a node that is to become a voter. Returns whether it holds every committed entry.
    pub fn replicate_to_learner(&mut self, now: Timestamp, id: NodeId) -> bool {
        let (next, commit) = (self.log.last_index() + 1, self.commit);
        let Some(leading) = self.leader_state() else {
            return false;
        };
        let fresh = Progress::new(next);
        let progress = leading.progress.entry(id).or_insert(fresh);
        let taught = progress.matched >= commit && progress.matched > 0;
        if progress.matched == 0 {
            self.send_append(now, id, true);
        }
        taught
    }

    /// Stops sending the log to nodes that are neither voters nor in `learners`.
    pub fn retain_learners(&mut self, learners: &[NodeId]) {
        let peers = self.peers();
        if let Some(leading) = self.leader_state() {
            leading
                .progress
                .retain(|id, _| peers.contains(id) || learners.contains(id));
        }
    }

    /// How long a voter has not acknowledged anything.
    pub fn time_since_ack(&self, now: Timestamp, id: NodeId) -> std::time::Duration {
        match &self.role {
            Role::Leader(leading) => {
                let acked = leading.progress.get(&id).and_then(|p| p.acked);
                now.since(acked.unwrap_or(leading.since).max(leading.since))
            }
            _ => std::time::Duration::ZERO,
        }
    }

    /// Hands the leadership to the voter that holds most of the log. The lease of this node ends here.
    pub fn transfer_leadership(&mut self, now: Timestamp) -> Option<NodeId> {
        let (term, peers) = (self.hard.term, self.peers());
        let leading = self.leader_state()?;
        let recent = leading
            .progress
            .iter()
            .filter(|(id, p)| peers.contains(id) && p.matched > 0);
        let (&id, _) = recent.max_by_key(|(_, p)| (p.matched, p.acked))?;
        leading.closing = Some(now);
        self.out
            .send_after_sync
            .push((id, RaftMessage::TimeoutNow { term }));
        Some(id)
    }

    pub(super) fn tick_leader(&mut self, now: Timestamp) {
        let Role::Leader(leading) = &self.role else {
            return;
        };
        let start = self.lease_start(leading, now).max(leading.since);
        let unanswered = leading
            .closing
            .is_some_and(|at| at + HEARTBEAT_INTERVAL < now);
        if start + MIN_ELECTION_TIMEOUT + LEADER_LEASE < now || unanswered {
            // A majority is out of reach, so another leader may stand by now, or the successor has not.
            self.become_follower(now, self.hard.term, None);
            return;
        }
        let due = leading.heartbeat <= now;
        if due {
            let leading = self.leader_state().expect("this node leads");
            leading.heartbeat = now + HEARTBEAT_INTERVAL;
            let ids: Vec<NodeId> = leading.progress.keys().copied().collect();
            for id in ids {
                self.send_append(now, id, true);
            }
        }
    }

    /// The newest time at which a majority is known to have followed this leader.
    pub(super) fn lease_start(&self, leading: &LeaderState, now: Timestamp) -> Timestamp {
        let acked = |id| {
            leading
                .progress
                .get(&id)
                .and_then(|p| p.acked)
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
        let Some(leading) = self.leader_state() else {
            return;
        };
        let ids: Vec<NodeId> = leading.progress.keys().copied().collect();
        for id in ids {
            self.send_append(now, id, false);
        }
    }

    /// Sends what the node lacks; with `heartbeat` also if it lacks nothing.
    fn send_append(&mut self, now: Timestamp, id: NodeId, heartbeat: bool) {
        let (term, commit) = (self.hard.term, self.commit);
        let (base, last) = (self.log.base(), self.log.last_index());
        let Role::Leader(leading) = &mut self.role else {
            return;
        };
        let Some(progress) = leading.progress.get_mut(&id) else {
            return;
        };
        if progress.next <= base.index {
            // The driver fills in the state when it sends this.
            let waits = progress
                .installing
                .is_some_and(|at| at + MIN_ELECTION_TIMEOUT > now);
            if !waits {
                progress.installing = Some(now);
                let snapshot = Snapshot {
                    last: base,
                    ..Snapshot::default()
                };
                let sent = stamp(now);
                self.out.send.push((
                    id,
                    RaftMessage::InstallSnapshot {
                        term,
                        snapshot,
                        sent_us: sent,
                    },
                ));
            }
            return;
        }
        let full = progress.next > progress.matched + MAX_IN_FLIGHT_ENTRIES && progress.matched > 0;
        let entries = match full || progress.next > last {
            true => Vec::new(),
            false => self.log.range(progress.next, MAX_APPEND_BYTES),
        };
        if entries.is_empty() && !heartbeat {
            return;
        }
        let prev = progress.next - 1;
        let prev_term = self
            .log
            .term(prev)
            .expect("the entry before is held or the base");
        progress.next += entries.len() as u64;
        let append = AppendEntries {
            term,
            prev: Position {
                term: prev_term,
                index: prev,
            },
            entries,
            commit,
            sent_us: stamp(now),
        };
        self.out.send.push((id, RaftMessage::AppendEntries(append)));
    }

    pub(super) fn on_append_reply(
        &mut self,
        now: Timestamp,
        from: NodeId,
        reply: AppendEntriesReply,
    ) {
        if reply.term > self.hard.term {
            self.become_follower(now, reply.term, None);
            return;
        }
        let (last, term) = (self.log.last_index(), self.hard.term);
        let Some(leading) = self.leader_state() else {
            return;
        };
        let Some(progress) = leading.progress.get_mut(&from) else {
            return;
        };
        if reply.term < term {
            return;
        }
        let sent = Timestamp::from_micros(reply.sent_us);
        progress.acked = progress.acked.max(Some(sent));
        if reply.conflict {
            if reply.index + 1 < progress.next && sent >= progress.rewound {
                progress.rewound = now;
                progress.next = (reply.index + 1).max(progress.matched + 1);
                self.send_append(now, from, false);
            }
            return;
        }
        progress.installing = None;
        progress.matched = progress.matched.max(reply.index.min(last));
        progress.next = progress.next.max(progress.matched + 1);
        let lacks = progress.next <= last;
        self.advance_commit();
        if lacks {
            self.send_append(now, from, false);
        }
    }

    pub(super) fn advance_commit(&mut self) {
        let Role::Leader(leading) = &self.role else {
            return;
        };
        let matched = |id| leading.progress.get(&id).map_or(0, |p| p.matched);
        let voters = self.members().iter().map(|m| m.id);
        let mut indexes: Vec<Index> = voters
            .map(|id| {
                if id == self.id {
                    self.synced
                } else {
                    matched(id)
                }
            })
            .collect();
        indexes.sort_unstable_by(|a, b| b.cmp(a));
        let Some(&index) = indexes.get(self.quorum() - 1) else {
            return;
        };
        // Only an entry of the own term proves that the entries before it stay.
        if index > self.commit && self.log.term(index) == Some(self.hard.term) {
            self.commit = index;
        }
    }
}
