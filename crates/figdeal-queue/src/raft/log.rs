//! In-memory log: the entries after the newest snapshot.

use std::collections::VecDeque;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::{Index, Term, message::Member};

/// Content of a log entry.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Payload {
    /// Empty entry that a new leader appends first.
    Noop,
    /// Set of voters, in force from this entry on.
    Members(Vec<Member>),
    /// Commands for the state machine.
    Data(#[serde(with = "serde_bytes")] Vec<u8>),
}

/// One entry of the log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// Position in the log.
    pub index: Index,
    /// Term of the leader that created the entry.
    pub term: Term,
    /// Content.
    pub payload: Payload,
}

/// Term and index of an entry; logs are compared in this order to find the more recent one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Serialize, Deserialize)]
pub struct Position {
    /// Term of the entry.
    pub term: Term,
    /// Index of the entry.
    pub index: Index,
}

/// State machine up to a log entry.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Snapshot {
    /// Last entry that the snapshot covers.
    pub last: Position,
    /// Voters as of that entry.
    pub members: Vec<Member>,
    /// Encoded state.
    pub data: Bytes,
}

/// Log after a snapshot.
#[derive(Debug, Clone, Default)]
pub struct Log {
    base: Position,
    base_members: Vec<Member>,
    entries: VecDeque<Entry>,
    /// Newest set of voters and its index, committed or not.
    members: (Index, Vec<Member>),
    bytes: usize,
}

impl Log {
    /// Creates an empty log that starts after a snapshot.
    pub fn from_snapshot(last: Position, members: Vec<Member>) -> Log {
        Log {
            base: last,
            base_members: members.clone(),
            members: (last.index, members),
            ..Log::default()
        }
    }

    /// Returns the position of the last entry that the snapshot covers.
    pub fn base(&self) -> Position {
        self.base
    }

    /// Returns the position of the last entry.
    pub fn last(&self) -> Position {
        self.entries.back().map_or(self.base, |e| Position {
            term: e.term,
            index: e.index,
        })
    }

    /// Returns the index of the last entry.
    pub fn last_index(&self) -> Index {
        self.last().index
    }

    /// Returns the newest set of voters, committed or not.
    pub fn members(&self) -> &[Member] {
        &self.members.1
    }

    /// Returns the index of the newest set of voters.
    pub fn members_index(&self) -> Index {
        self.members.0
    }

    /// Returns the set of voters as of `index`.
    pub fn members_at(&self, index: Index) -> Vec<Member> {
        let found = self
            .entries
            .iter()
            .rev()
            .filter(|e| e.index <= index)
            .find_map(voters);
        found.unwrap_or_else(|| self.base_members.clone())
    }

    /// Returns the approximate size of the entries in memory.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the term of an entry, if it is in the log or is the snapshot base.
    pub fn term(&self, index: Index) -> Option<Term> {
        if index == self.base.index {
            return Some(self.base.term);
        }
        self.get(index).map(|e| e.term)
    }

    /// Returns the entry at `index`, if it is in the log.
    pub fn get(&self, index: Index) -> Option<&Entry> {
        let offset = index.checked_sub(self.base.index + 1)?;
        self.entries.get(offset as usize)
    }

    /// Returns entries from `index` on, up to about `bytes` of data and at least one.
    pub fn range(&self, index: Index, bytes: usize) -> Vec<Entry> {
        let start = index.saturating_sub(self.base.index + 1) as usize;
        let mut size = 0;
        let entries = self.entries.iter().skip(start);
        let taken = entries.take_while(|e| {
            let fits = size == 0 || size + entry_bytes(e) <= bytes;
            size += entry_bytes(e);
            fits
        });
        taken.cloned().collect()
    }

    /// Appends an entry, after dropping the entries at its index and later.
    pub fn append(&mut self, entry: Entry) {
        self.truncate(entry.index);
        assert_eq!(
            entry.index,
            self.last_index() + 1,
            "log entries must be contiguous"
        );
        if let Some(members) = voters(&entry) {
            self.members = (entry.index, members);
        }
        self.bytes += entry_bytes(&entry);
        self.entries.push_back(entry);
    }

    fn truncate(&mut self, index: Index) {
        assert!(
            index > self.base.index,
            "entries covered by the snapshot are committed and cannot be dropped"
        );
        while self.last_index() >= index {
            let Some(entry) = self.entries.pop_back() else {
                break;
            };
            self.bytes -= entry_bytes(&entry);
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
            self.bytes -= entry_bytes(&entry);
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

/// Returns the approximate size of an entry.
pub(super) fn entry_bytes(entry: &Entry) -> usize {
    const ENTRY_OVERHEAD_BYTES: usize = 24;
    match &entry.payload {
        Payload::Data(data) => ENTRY_OVERHEAD_BYTES + data.len(),
        Payload::Members(members) => ENTRY_OVERHEAD_BYTES + 32 * members.len(),
        Payload::Noop => ENTRY_OVERHEAD_BYTES,
    }
}
