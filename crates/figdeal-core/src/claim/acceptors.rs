//! Selection of the entries that are the acceptors of a submission.

use displaydoc::Display;

use crate::{
    id::{EntryId, SubmissionKey},
    time::UnixMillis,
};

/// Largest number of acceptors of a register.
pub const MAX_ACCEPTORS: usize = 3;

/// Why a list of entries is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum EpochError {
    /// the list of entries from {0} is empty or names an entry twice
    InvalidEntries(UnixMillis),
    /// the list of entries from {0} does not start later than the list before it
    OutOfOrder(UnixMillis),
    /// the list of entries from {0} was added too late to take effect at that time
    TooLate(UnixMillis),
}

impl std::error::Error for EpochError {}

/// The acceptors of one submission, ordered by their rendezvous hash.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AcceptorSet {
    ids: [EntryId; MAX_ACCEPTORS],
    len: u8,
}

impl AcceptorSet {
    /// Selects up to three of `entries` for `key` by rendezvous hashing.
    ///
    /// ```
    /// use figdeal_core::{
    ///     claim::AcceptorSet,
    ///     id::{EntryId, SubmissionKey},
    /// };
    ///
    /// let entries = [EntryId(0), EntryId(1), EntryId(2), EntryId(3)];
    /// let acceptors = AcceptorSet::select(SubmissionKey([7; 16]), &entries);
    /// assert_eq!(acceptors.as_slice().len(), 3);
    /// assert_eq!(acceptors.quorum(), 2);
    /// ```
    pub fn select(key: SubmissionKey, entries: &[EntryId]) -> AcceptorSet {
        let mut ids = [EntryId(0); MAX_ACCEPTORS];
        let mut weights = [0; MAX_ACCEPTORS];
        let mut len = 0;
        for &entry in entries {
            let weight = rendezvous_weight(key, entry);
            let is_ahead = |i: &usize| (weights[*i], ids[*i].0) > (weight, entry.0);
            let position = (0..len).take_while(is_ahead).count();
            if position == MAX_ACCEPTORS {
                continue;
            }
            len = (len + 1).min(MAX_ACCEPTORS);
            ids[position..len].rotate_right(1);
            weights[position..len].rotate_right(1);
            ids[position] = entry;
            weights[position] = weight;
        }
        AcceptorSet {
            ids,
            len: len as u8,
        }
    }

    /// The acceptors in rendezvous order.
    pub fn as_slice(&self) -> &[EntryId] {
        &self.ids[..usize::from(self.len)]
    }

    /// The first acceptor in rendezvous order, the only one that grants round 0.
    pub fn first(&self) -> Option<EntryId> {
        self.as_slice().first().copied()
    }

    /// Position of `entry` in rendezvous order.
    pub fn position(&self, entry: EntryId) -> Option<usize> {
        self.as_slice().iter().position(|&e| e == entry)
    }

    /// Number of acceptors that form a quorum.
    pub fn quorum(&self) -> usize {
        usize::from(self.len) / 2 + 1
    }
}

/// The lists of entries over time; each applies to the submissions created from its start until the next list.
#[derive(Debug, Clone)]
pub struct MembershipEpochs {
    lists: Vec<(UnixMillis, Vec<EntryId>)>,
}

impl MembershipEpochs {
    /// Creates epochs from lists and their starts. The first list also applies to all older submissions.
    ///
    /// # Errors
    /// [`EpochError`] for an empty list, a duplicate entry, or lists that are not ordered by their start.
    pub fn new(lists: Vec<(UnixMillis, Vec<EntryId>)>) -> Result<MembershipEpochs, EpochError> {
        if lists.is_empty() {
            return Err(EpochError::InvalidEntries(UnixMillis(0)));
        }
        let mut epochs = MembershipEpochs { lists: Vec::new() };
        for (from, entries) in lists {
            epochs.push(from, entries)?;
        }
        Ok(epochs)
    }

    /// Adds a list that applies to submissions created at `from` or later.
    ///
    /// # Errors
    /// [`EpochError`] for an empty list, a duplicate entry, or a `from` that is not later than the last one.
    pub fn push(&mut self, from: UnixMillis, entries: Vec<EntryId>) -> Result<(), EpochError> {
        let mut sorted = entries.clone();
        sorted.sort_unstable();
        sorted.dedup();
        if entries.is_empty() || sorted.len() != entries.len() {
            return Err(EpochError::InvalidEntries(from));
        }
        if self.lists.last().is_some_and(|(last, _)| from <= *last) {
            return Err(EpochError::OutOfOrder(from));
        }
        self.lists.push((from, entries));
        Ok(())
    }

    /// Returns the acceptors of a submission.
    pub fn acceptors(&self, key: SubmissionKey, created: UnixMillis) -> AcceptorSet {
        let after = self.lists.partition_point(|(from, _)| *from <= created);
        AcceptorSet::select(key, &self.lists[after.saturating_sub(1)].1)
    }
}

fn rendezvous_weight(key: SubmissionKey, entry: EntryId) -> u64 {
    let bits = u128::from_le_bytes(key.0);
    mix(mix(bits as u64 ^ mix(u64::from(entry.0) + 1)) ^ (bits >> 64) as u64)
}

/// Finaliser of SplitMix64: each input bit affects about half of the output bits.
pub(super) fn mix(value: u64) -> u64 {
    let mut z = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}
