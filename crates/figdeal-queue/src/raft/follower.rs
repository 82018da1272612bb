//! Entries and snapshots from a leader.

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
        let known = self.log.term(append.prev.index);
        let covered = append.prev.index < self.log.base().index;
        if !covered && known != Some(append.prev.term) {
            // The last index that may match: before the conflicting entry, or the end of a shorter log.
            let index = match known {
                Some(_) => append.prev.index.saturating_sub(1),
                None => self.log.last_index(),
            };
            self.reply_after_sync(
                from,
                AppendEntriesReply {
                    term: self.hard.term,
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
                assert!(entry.index > self.commit, "a committed entry is replaced");
                self.append_entry(entry);
            }
        }
        self.commit = self.commit.max(append.commit.min(last));
        self.reply_after_sync(
            from,
            AppendEntriesReply {
                term: self.hard.term,
                index: last,
                conflict: false,
                sent_us: append.sent_us,
            },
        );
    }

    /// Whether the sender leads the current term; the vote is withheld from others for a while.
    fn accept_leader(&mut self, now: Timestamp, from: NodeId, term: Term, sent: u64) -> bool {
        if term < self.hard.term {
            let index: Index = 0;
            let reply = AppendEntriesReply {
                term: self.hard.term,
                index,
                conflict: true,
                sent_us: sent,
            };
            self.out
                .send
                .push((from, RaftMessage::AppendEntriesReply(reply)));
            return false;
        }
        assert!(
            !(self.is_leader() && term == self.hard.term),
            "two leaders in term {term}: {from} and {}",
            self.id
        );
        self.become_follower(now, term, Some(from));
        self.heard = now;
        true
    }

    /// Replies are sent after the writes before them, so `index` is durable when the leader counts it.
    fn reply_after_sync(&mut self, to: NodeId, reply: AppendEntriesReply) {
        self.out
            .send_after_sync
            .push((to, RaftMessage::AppendEntriesReply(reply)));
    }

    pub(super) fn on_install_snapshot(
        &mut self,
        now: Timestamp,
        from: NodeId,
        term: Term,
        snapshot: Snapshot,
        sent: u64,
    ) {
        if !self.accept_leader(now, from, term, sent) {
            return;
        }
        let last = snapshot.last;
        if last.index > self.commit {
            self.log = Log::from_snapshot(last, snapshot.members.clone());
            self.commit = last.index;
            self.synced = 0;
            self.out
                .writes
                .push(StorageWrite::Snapshot(snapshot.clone()));
            self.restored = Some(snapshot);
        }
        let index = last.index;
        self.reply_after_sync(
            from,
            AppendEntriesReply {
                term: self.hard.term,
                index,
                conflict: false,
                sent_us: sent,
            },
        );
    }

    /// Whether this node follows a leader that it heard within an election timeout.
    pub fn is_following(&self, now: Timestamp) -> bool {
        matches!(self.role, Role::Follower)
            && self.leader.is_some()
            && self.heard + super::MIN_ELECTION_TIMEOUT > now
    }
}
