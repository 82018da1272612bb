//! What an entry learned about owners from its own claims.

use super::{limits::ClaimLimits, member::Known, message::Owner, table::Table};
use crate::{id::SubmissionKey, time::UnixMillis};

/// Submissions that this process owns, and a bounded number of those that it knows to be owned elsewhere.
///
/// An own submission is remembered as long as it can be claimed, so that this process becomes its owner only once.
#[derive(Debug)]
pub(super) struct Owners {
    me: Owner,
    own: Table<Known>,
    others: Table<Known>,
}

impl Owners {
    pub(super) fn new(me: Owner, limits: &ClaimLimits) -> Owners {
        Owners {
            me,
            own: Table::new(limits.max_records, limits.keep()),
            others: Table::new(limits.max_records, limits.keep()),
        }
    }

    pub(super) fn get(&self, key: SubmissionKey) -> Option<&Known> {
        self.own.get(key).or_else(|| self.others.get(key))
    }

    pub(super) fn own(&self, key: SubmissionKey) -> Option<&Known> {
        self.own.get(key)
    }

    pub(super) fn own_len(&self) -> usize {
        self.own.len()
    }

    /// Remembers the owner of a submission. A full table drops only what others own.
    pub(super) fn record(&mut self, key: SubmissionKey, known: Known) {
        if known.owner == self.me {
            let added = self.own.insert(key, known.created, known);
            assert!(
                added.is_ok(),
                "claims are admitted only with room for {key}"
            );
        } else if let Some(before) = self.others.get_mut(key) {
            *before = known;
        } else {
            // Without room the owner is found again by a claim.
            let _ = self.others.insert(key, known.created, known);
        }
    }

    pub(super) fn expire(&mut self, wall: UnixMillis, limit: usize) {
        self.own.expire(wall, limit);
        self.others.expire(wall, limit);
    }

    pub(super) fn due(&self) -> Option<UnixMillis> {
        self.own.due().into_iter().chain(self.others.due()).min()
    }
}
