//! Ids of submissions, tasks, processes, kinds and teams.

use std::{collections::HashMap, fmt, ops::RangeInclusive};

use serde::{Deserialize, Serialize};

/// Key of a submission: a hash of the team and the submission id chosen by the caller.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SubmissionKey(pub [u8; 16]);

/// Hash of the content of a submission, followed by the number of its tasks in the last two bytes. From this number, an
/// entry that collects results without having the content knows when the answer is complete.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Digest(pub [u8; 16]);

impl Digest {
    /// Combines a hash of the content and the number of tasks.
    pub fn new(hash: [u8; 14], tasks: u16) -> Digest {
        let mut bytes = [0; 16];
        bytes[..14].copy_from_slice(&hash);
        bytes[14..].copy_from_slice(&tasks.to_le_bytes());
        Digest(bytes)
    }

    /// The number of tasks of the submission.
    pub fn tasks(&self) -> u16 {
        u16::from_le_bytes([self.0[14], self.0[15]])
    }
}

/// Position of an entry in the list of entries in the settings.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct EntryId(pub u16);

/// Id of one incarnation of a process, from its start to its end; a restart draws a new one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation(pub u64);

/// One task of a submission.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskId {
    /// Submission to which the task belongs.
    pub key: SubmissionKey,
    /// Position of the task in its submission.
    pub index: u16,
}

impl TaskId {
    /// Returns the range of all task ids of a submission, for searches in ordered maps.
    ///
    /// ```
    /// use figdeal_core::id::{SubmissionKey, TaskId};
    ///
    /// let key = SubmissionKey([1; 16]);
    /// assert!(TaskId::all_of(key).contains(&TaskId { key, index: 389 }));
    /// ```
    pub fn all_of(key: SubmissionKey) -> RangeInclusive<TaskId> {
        let last = TaskId {
            key,
            index: u16::MAX,
        };
        TaskId { key, index: 0 }..=last
    }
}

/// Interned name of a kind of tasks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KindId(pub u16);

/// Interned name of a team.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TeamId(pub u16);

fn write_hex(bytes: &[u8], f: &mut fmt::Formatter<'_>) -> fmt::Result {
    bytes.iter().try_for_each(|b| write!(f, "{b:02x}"))
}

impl fmt::Display for SubmissionKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write_hex(&self.0, f)
    }
}

impl fmt::Debug for SubmissionKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write_hex(&self.0[..4], f)
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write_hex(&self.0[..4], f)
    }
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.key, self.index)
    }
}

/// Maps names to small consecutive ids. Names are never removed, so an id stays valid.
///
/// ```
/// use figdeal_core::id::Interner;
///
/// let mut names = Interner::default();
/// let swap = names.intern("swap-check");
/// assert_eq!(names.intern("swap-check"), swap);
/// assert_eq!(names.name(swap), "swap-check");
/// ```
#[derive(Debug, Default)]
pub struct Interner {
    ids: HashMap<String, u16>,
    names: Vec<String>,
}

impl Interner {
    /// Returns the id of `name`, adding it if it is new.
    ///
    /// # Panics
    /// Panics if there are more than 65,536 names; the configuration limits the names that are interned.
    pub fn intern(&mut self, name: &str) -> u16 {
        if let Some(&id) = self.ids.get(name) {
            return id;
        }
        let id = u16::try_from(self.names.len()).expect("at most 65,536 names");
        self.ids.insert(name.to_owned(), id);
        self.names.push(name.to_owned());
        id
    }

    /// Returns the id of `name` if it is known.
    pub fn get(&self, name: &str) -> Option<u16> {
        self.ids.get(name).copied()
    }

    /// Returns the name of an id that was returned by this interner.
    pub fn name(&self, id: u16) -> &str {
        &self.names[usize::from(id)]
    }
}
