//! Jobs at the leader that are not in the replicated state: those whose entry is not committed yet, and volatile ones.

use std::collections::BTreeMap;

use crate::{job::JobId, stored_size::QueueBytes};

/// What these jobs hold.
#[derive(Debug, Default)]
pub(super) struct OpenJobs {
    /// Queue and bytes of each job.
    jobs: BTreeMap<JobId, (String, usize)>,
    held: QueueBytes,
}

impl OpenJobs {
    /// Adds a job that holds `bytes`, unless it is known.
    pub(super) fn add(&mut self, id: JobId, queue: &str, bytes: usize) {
        if self.jobs.contains_key(&id) {
            return;
        }
        self.held.add(queue, bytes);
        self.jobs.insert(id, (queue.to_owned(), bytes));
    }

    /// Removes a job that is in the replicated state now, or that has ended.
    pub(super) fn remove(&mut self, id: JobId) {
        if let Some((queue, bytes)) = self.jobs.remove(&id) {
            self.held.remove(&queue, bytes);
        }
    }

    /// Returns what the jobs of each queue hold.
    pub(super) fn held(&self) -> &QueueBytes {
        &self.held
    }
}
