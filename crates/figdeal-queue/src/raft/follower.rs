//! Follower side of replication: AppendEntries and InstallSnapshot.

use figdeal_core::time::Timestamp;

use super::{
    Index, Raft, Role, StorageWrite, Term,
    log::{Log, Snapshot},
    message::{AppendEntries, AppendEntriesReply, NodeId, RaftMessage},
};

impl Raft {
    pub(super) fn on_append(&mut self, now: Timestamp, from: NodeId, append: AppendEntries) {
        if !self.accept_leader(now, from, append.term, append.sent_us) {
            return;
        }
        let known_term = self.log.term(append.prev.index);
        let prev_in_snapshot = append.prev.index < self.log.base().index;
        if !prev_in_snapshot && known_term != Some(append.prev.term) {
            // Last index that may match the leader's log: before the conflicting entry, or the end of a shorter log.
            let index = match known_term {
                Some(_) => append.prev.index.saturating_sub(1),
                None => self.log.last_index(),
            };
            self.reply_after_sync(
                from,
                AppendEntriesReply {
                    term: self.hard_state.term,
                    index: index.max(self.commit),
                    conflict: true,
                    sent_us: append.sent_us,
                },
            );
            return;
        }
        let last = append.prev.index + append.entries.len() as u64;
        for entry in append.entries {
            if entry.index <= self.log.base().index {
                continue;
            }
            if self.log.term(entry.index) != Some(entry.term) {
                assert!(
                    entry.index > self.commit,
                    "a committed entry would be replaced"
                );
                self.append_entry(entry);
            }
        }
        self.commit = self.commit.max(append.commit.min(last));
        self.reply_after_sync(
            from,
            AppendEntriesReply {
                term: self.hard_state.term,
                index: last,
                conflict: false,
                sent_us: append.sent_us,
            },
        );
    }

    /// Returns whether the sender leads the current term. If so, this node follows it and refuses votes to others for
    /// an election timeout.
    fn accept_leader(&mut self, now: Timestamp, from: NodeId, term: Term, sent_us: u64) -> bool {
        if term < self.hard_state.term {
            let index: Index = 0;
            let reply = AppendEntriesReply {
                term: self.hard_state.term,
                index,
                conflict: true,
                sent_us,
            };
            self.output
                .send
                .push((from, RaftMessage::AppendEntriesReply(reply)));
            return false;
        }
        assert!(
            !(self.is_leader() && term == self.hard_state.term),
            "two leaders in term {term}: {from} and {}",
            self.id
        );
        self.become_follower(now, term, Some(from));
        self.leader_heard_at = now;
        true
    }

    /// Queues the reply until the writes before it are durable, so that the leader counts only durable entries.
    fn reply_after_sync(&mut self, to: NodeId, reply: AppendEntriesReply) {
        self.output
            .send_after_sync
            .push((to, RaftMessage::AppendEntriesReply(reply)));
    }

    pub(super) fn on_install_snapshot(
        &mut self,
        now: Timestamp,
        from: NodeId,
        term: Term,
        snapshot: Snapshot,
        sent_us: u64,
    ) {
        if !self.accept_leader(now, from, term, sent_us) {
            return;
        }
        let last = snapshot.last;
        if last.index > self.commit {
            self.log = Log::from_snapshot(last, snapshot.members.clone());
            self.commit = last.index;
            self.synced_index = 0;
            self.output
                .writes
                .push(StorageWrite::Snapshot(snapshot.clone()));
            self.installed_snapshot = Some(snapshot);
        }
        let index = last.index;
        self.reply_after_sync(
            from,
            AppendEntriesReply {
                term: self.hard_state.term,
                index,
                conflict: false,
                sent_us,
            },
        );
    }

    /// Returns whether this node follows a leader that it heard within an election timeout.
    pub fn is_following(&self, now: Timestamp) -> bool {
        matches!(self.role, Role::Follower)
            && self.leader.is_some()
            && self.leader_heard_at + super::MIN_ELECTION_TIMEOUT > now
    }
}
