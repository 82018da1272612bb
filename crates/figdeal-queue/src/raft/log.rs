//! Entries in memory, from the snapshot to the last one.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use super::{Index, Term, message::Member};

/// Content of an entry.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Payload {
    /// First entry of a leader.
    Noop,
    /// The voters from here on.
    Members(Vec<Member>),
    /// Commands for the state machine.
    Data(#[serde(with = "serde_bytes")] Vec<u8>),
}

/// One entry of the log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// Position in the log.
    pub index: Index,
    /// Term of the leader that wrote it.
    pub term: Term,
    /// Content.
    pub payload: Payload,
}

/// Term and index of an entry; the order decides which log is newer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Serialize, Deserialize)]
pub struct Position {
    /// Term of the entry.
    pub term: Term,
    /// Index of the entry.
    pub index: Index,
}

/// The state up to an entry.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Snapshot {
    /// Last entry that the state covers.
    pub last: Position,
    /// The voters at that entry.
    pub members: Vec<Member>,
    /// The encoded state.
    #[serde(with = "serde_bytes")]
    pub data: Vec<u8>,
}

/// The log after a snapshot.
#[derive(Debug, Clone, Default)]
pub struct Log {
    base: Position,
    base_members: Vec<Member>,
    entries: VecDeque<Entry>,
    /// The newest list of voters and its index, committed or not.
    members: (Index, Vec<Member>),
    bytes: usize,
}

impl Log {
    /// An empty log after a snapshot.
    pub fn from_snapshot(last: Position, members: Vec<Member>) -> Log {
        Log {
            base: last,
            base_members: members.clone(),
            members: (last.index, members),
            ..Log::default()
        }
    }

    /// The last entry that is covered by the snapshot.
    pub fn base(&self) -> Position {
        self.base
    }

    /// The position of the last entry.
    pub fn last(&self) -> Position {
        self.entries.back().map_or(self.base, |e| Position {
            term: e.term,
            index: e.index,
        })
    }

    /// The index of the last entry.
    pub fn last_index(&self) -> Index {
        self.last().index
    }

    /// The newest list of voters.
    pub fn members(&self) -> &[Member] {
        &self.members.1
    }

    /// The index of the newest list of voters.
    pub fn members_index(&self) -> Index {
        self.members.0
    }

    /// The voters at `index`.
    pub fn members_at(&self, index: Index) -> Vec<Member> {
        let found = self
            .entries
            .iter()
            .rev()
            .filter(|e| e.index <= index)
            .find_map(voters);
        found.unwrap_or_else(|| self.base_members.clone())
    }

    /// Bytes of data in the entries that are held.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// The term of an entry, if it is held or the base.
    pub fn term(&self, index: Index) -> Option<Term> {
        if index == self.base.index {
            return Some(self.base.term);
        }
        self.get(index).map(|e| e.term)
    }

    /// One entry.
    pub fn get(&self, index: Index) -> Option<&Entry> {
        let offset = index.checked_sub(self.base.index + 1)?;
        self.entries.get(offset as usize)
    }

    /// Entries from `index` on, up to about `bytes` of data and at least one.
    pub fn range(&self, index: Index, bytes: usize) -> Vec<Entry> {
        let start = index.saturating_sub(self.base.index + 1) as usize;
        let mut size = 0;
        let entries = self.entries.iter().skip(start);
        let taken = entries.take_while(|e| {
            let fits = size == 0 || size + weight(e) <= bytes;
            size += weight(e);
            fits
        });
        taken.cloned().collect()
    }

    /// Adds an entry; those at its index and later are dropped.
    pub fn append(&mut self, entry: Entry) {
        self.truncate(entry.index);
        assert_eq!(entry.index, self.last_index() + 1, "the log has no holes");
        if let Some(members) = voters(&entry) {
            self.members = (entry.index, members);
        }
        self.bytes += weight(&entry);
        self.entries.push_back(entry);
    }

    fn truncate(&mut self, index: Index) {
        assert!(
            index > self.base.index,
            "entries below the snapshot are committed"
        );
        while self.last_index() >= index {
            let Some(entry) = self.entries.pop_back() else {
                break;
            };
            self.bytes -= weight(&entry);
        }
        if self.members.0 >= index {
            let last = self.last_index();
            let found = self
                .entries
                .iter()
                .rev()
                .find_map(|e| Some((e.index, voters(e)?)));
            self.members =
                found.unwrap_or_else(|| (self.base.index.min(last), self.base_members.clone()));
        }
    }

    /// Drops entries up to `index`, which a snapshot covers.
    pub(super) fn compact(&mut self, index: Index) {
        let Some(term) = self.term(index) else { return };
        self.base_members = self.members_at(index);
        while self.entries.front().is_some_and(|e| e.index <= index) {
            let entry = self.entries.pop_front().expect("the first entry exists");
            self.bytes -= weight(&entry);
        }
        self.base = Position { term, index };
    }
}

fn voters(entry: &Entry) -> Option<Vec<Member>> {
    match &entry.payload {
        Payload::Members(members) => Some(members.clone()),
        _ => None,
    }
}

/// Bytes of an entry, roughly.
fn weight(entry: &Entry) -> usize {
    const ENTRY_OVERHEAD_BYTES: usize = 24;
    match &entry.payload {
        Payload::Data(data) => ENTRY_OVERHEAD_BYTES + data.len(),
        Payload::Members(members) => ENTRY_OVERHEAD_BYTES + 32 * members.len(),
        Payload::Noop => ENTRY_OVERHEAD_BYTES,
    }
}
