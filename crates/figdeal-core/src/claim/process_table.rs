//! Table that replaces the processes named in records by small numbers.

use std::{collections::HashMap, num::NonZeroU16};

use super::message::EntryProcess;

/// Number of a process in the records of one acceptor. It is never zero, so that an `Option` of it is not larger.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct ProcessId(NonZeroU16);

/// The processes that occurred in requests to an acceptor, at most 65,535. A record refers to up to three of them,
/// which takes 6 bytes as numbers instead of 48. Each restart of an entry adds one process.
#[derive(Debug, Default)]
pub(super) struct ProcessTable {
    processes: Vec<EntryProcess>,
    ids: HashMap<EntryProcess, ProcessId>,
}

impl ProcessTable {
    /// Returns the number of a process, adding it if it is new; `None` if the table is full.
    pub(super) fn id(&mut self, process: EntryProcess) -> Option<ProcessId> {
        if let Some(&id) = self.ids.get(&process) {
            return Some(id);
        }
        let number = u16::try_from(self.processes.len() + 1).ok()?;
        let id = ProcessId(NonZeroU16::new(number)?);
        self.processes.push(process);
        self.ids.insert(process, id);
        Some(id)
    }

    pub(super) fn get(&self, id: ProcessId) -> EntryProcess {
        self.processes[usize::from(id.0.get()) - 1]
    }
}
