//! Short numbers for the processes named in records.

use std::{collections::HashMap, num::NonZeroU16};

use super::message::EntryProcess;

/// Number of a process in the records of one acceptor. Not zero, so that an `Option` of it takes no more room.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct ProcessId(NonZeroU16);

/// The processes that an acceptor has heard of, at most 65,535. A record names up to three; as numbers they take 6
/// instead of 48 bytes. Each restart of an entry adds one.
#[derive(Debug, Default)]
pub(super) struct ProcessTable {
    list: Vec<EntryProcess>,
    ids: HashMap<EntryProcess, ProcessId>,
}

impl ProcessTable {
    /// The number of a process, `None` if there is no room for another one.
    pub(super) fn id(&mut self, process: EntryProcess) -> Option<ProcessId> {
        if let Some(&id) = self.ids.get(&process) {
            return Some(id);
        }
        let number = u16::try_from(self.list.len() + 1).ok()?;
        let id = ProcessId(NonZeroU16::new(number)?);
        self.list.push(process);
        self.ids.insert(process, id);
        Some(id)
    }

    pub(super) fn get(&self, id: ProcessId) -> EntryProcess {
        self.list[usize::from(id.0.get()) - 1]
    }
}
