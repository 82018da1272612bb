//! Collection of the results of a dead owner's job from the agents.

use std::sync::Arc;

use super::{
    Action, EntryCore, FETCH_TIMEOUT,
    job::{JobKey, JobPhase, PartialResults},
};
use crate::{
    dedup::TaskResult,
    fleet::AgentKey,
    id::SubmissionKey,
    outcome::{Outcome, TaskState},
    time::Timestamp,
};

/// The results that one agent holds of a submission, after it fenced the tasks that have not started.
#[derive(Debug, Clone, Default)]
pub struct CollectedResults {
    /// Results of ended tasks, with the index of the task.
    pub results: Vec<(u16, TaskResult)>,
}

impl EntryCore {
    /// Asks all agents for the results of a dead owner's job.
    pub(super) fn start_collection(&mut self, key: JobKey, now: Timestamp) {
        let job = &mut self.jobs[key];
        let count = usize::from(job.digest.tasks());
        let agents: Vec<AgentKey> = self.fleet.iter().map(|(k, _)| k).collect();
        let id = job.key;
        // A takeover for a fetch does not know the deadlines of the tasks.
        let min_time = match job.tasks.is_empty() {
            true => FETCH_TIMEOUT,
            false => self.limits.unplaceable_after,
        };
        job.deadline = job.deadline.max(now + min_time);
        job.phase = JobPhase::Collecting(PartialResults {
            results: vec![None; count],
            states: vec![TaskState::MayHaveRun; count],
            pending_agents: agents.clone(),
        });
        let deadline = job.deadline;
        self.deadlines.insert((deadline, key));
        let collects = agents.iter().map(|&agent| Action::Collect {
            agent,
            key: id,
            timeout: deadline.since(now),
        });
        self.actions.extend(collects);
        if agents.is_empty() {
            self.finish_collection(key, now);
        }
    }

    /// Handles the results of one agent; `None` if the agent cannot be reached.
    pub fn on_collected(
        &mut self,
        agent: AgentKey,
        id: SubmissionKey,
        collected: Option<CollectedResults>,
        now: Timestamp,
    ) {
        let Some(&key) = self.job_keys.get(&id) else {
            return;
        };
        let JobPhase::Collecting(collection) = &mut self.jobs[key].phase else {
            return;
        };
        collection.pending_agents.retain(|a| *a != agent);
        for (index, result) in collected.unwrap_or_default().results {
            let index = usize::from(index);
            let Some(state) = collection.states.get_mut(index) else {
                continue;
            };
            match result {
                TaskResult::Done(bytes) => {
                    *state = TaskState::Done;
                    collection.results[index] = Some(bytes);
                }
                TaskResult::Failed => *state = TaskState::Failed,
                TaskResult::Unknown => {}
            }
        }
        if collection.pending_agents.is_empty() {
            self.finish_collection(key, now);
        }
    }

    /// Finishes a collection with the results so far: complete, or failed with the known state of each task.
    pub(super) fn finish_collection(&mut self, key: JobKey, now: Timestamp) {
        let JobPhase::Collecting(collection) = &mut self.jobs[key].phase else {
            return;
        };
        let collection = std::mem::take(collection);
        let results: Option<Vec<Vec<u8>>> = collection.results.into_iter().collect();
        let outcome = match results {
            Some(results) => Outcome::Complete(results),
            None => Outcome::Failed(collection.states),
        };
        self.finish_with(key, Arc::new(outcome), now);
    }
}
