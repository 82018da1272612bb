//! The owners of submissions that an entry learned from its own claims.

use super::{
    acceptor::KnownOwner, expiring_table::ExpiringTable, limits::ClaimLimits, message::EntryProcess,
};
use crate::{id::SubmissionKey, time::UnixMillis};

/// The submissions that this process owns, and a bounded number of submissions that other processes own.
///
/// The process remembers a submission of its own for as long as it can be claimed, so that it becomes its owner only
/// once.
#[derive(Debug)]
pub(super) struct KnownOwners {
    me: EntryProcess,
    own: ExpiringTable<KnownOwner>,
    others: ExpiringTable<KnownOwner>,
}

impl KnownOwners {
    pub(super) fn new(me: EntryProcess, limits: &ClaimLimits) -> KnownOwners {
        KnownOwners {
            me,
            own: ExpiringTable::new(limits.max_records, limits.record_retention()),
            others: ExpiringTable::new(limits.max_records, limits.record_retention()),
        }
    }

    pub(super) fn get(&self, key: SubmissionKey) -> Option<&KnownOwner> {
        self.own.get(key).or_else(|| self.others.get(key))
    }

    pub(super) fn own(&self, key: SubmissionKey) -> Option<&KnownOwner> {
        self.own.get(key)
    }

    pub(super) fn own_len(&self) -> usize {
        self.own.len()
    }

    /// Remembers the owner of a submission. When the tables are full, only owners elsewhere are not remembered.
    pub(super) fn record(&mut self, key: SubmissionKey, known: KnownOwner) {
        if known.owner == self.me {
            let added = self.own.insert(key, known.created, known);
            assert!(
                added.is_ok(),
                "a claim is admitted only if the table has room for {key}"
            );
        } else if let Some(before) = self.others.get_mut(key) {
            *before = known;
        } else {
            // If the table is full, a later claim finds the owner again.
            let _ = self.others.insert(key, known.created, known);
        }
    }

    pub(super) fn expire(&mut self, wall: UnixMillis, limit: usize) {
        self.own.expire(wall, limit);
        self.others.expire(wall, limit);
    }

    pub(super) fn next_expiry(&self) -> Option<UnixMillis> {
        self.own
            .next_expiry()
            .into_iter()
            .chain(self.others.next_expiry())
            .min()
    }
}
