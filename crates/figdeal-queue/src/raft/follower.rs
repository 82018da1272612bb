//! Entries and snapshots from a leader.

use figdeal_core::time::Timestamp;

use super::{
    Index, Raft, Role, Term, Write,
    log::{Log, Snapshot},
    message::{Append, AppendReply, Message, NodeId},
};

impl Raft {
    pub(super) fn on_append(&mut self, now: Timestamp, from: NodeId, append: Append) {
        if !self.accept_leader(now, from, append.term, append.sent) {
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
            self.reply(
                from,
                AppendReply {
                    term: self.hard.term,
                    index: index.max(self.commit),
                    conflict: true,
                    sent: append.sent,
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
                self.store(entry);
            }
        }
        self.commit = self.commit.max(append.commit.min(last));
        self.reply(
            from,
            AppendReply {
                term: self.hard.term,
                index: last,
                conflict: false,
                sent: append.sent,
            },
        );
    }

    /// Whether the sender leads the current term; the vote is withheld from others for a while.
    fn accept_leader(&mut self, now: Timestamp, from: NodeId, term: Term, sent: u64) -> bool {
        if term < self.hard.term {
            let index: Index = 0;
            let reply = AppendReply {
                term: self.hard.term,
                index,
                conflict: true,
                sent,
            };
            self.out.send.push((from, Message::AppendReply(reply)));
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
    fn reply(&mut self, to: NodeId, reply: AppendReply) {
        self.out.after.push((to, Message::AppendReply(reply)));
    }

    pub(super) fn on_install(
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
            self.log = Log::after(last, snapshot.members.clone());
            self.commit = last.index;
            self.synced = 0;
            self.out.writes.push(Write::Snapshot(snapshot.clone()));
            self.restored = Some(snapshot);
        }
        let index = last.index;
        self.reply(
            from,
            AppendReply {
                term: self.hard.term,
                index,
                conflict: false,
                sent,
            },
        );
    }

    /// Whether this node follows a leader that it heard within an election timeout.
    pub fn is_following(&self, now: Timestamp) -> bool {
        matches!(self.role, Role::Follower)
            && self.leader.is_some()
            && self.heard + super::ELECTION_MIN > now
    }
}
