//! Collection of a dead owner's results from the agents.

use std::sync::Arc;

use super::{
    Action, EntryCore, FETCH_LIMIT,
    job::{Collection, JobKey, Phase},
};
use crate::{
    dedup::TaskResult,
    fleet::AgentKey,
    id::SubmissionKey,
    outcome::{Outcome, TaskState},
    time::Timestamp,
};

/// What one agent holds of a submission, after it fenced the rest.
#[derive(Debug, Clone, Default)]
pub struct CollectedResults {
    /// Results of ended tasks by index.
    pub results: Vec<(u16, TaskResult)>,
}

impl EntryCore {
    pub(super) fn start_collect(&mut self, key: JobKey, now: Timestamp) {
        let job = &mut self.jobs[key];
        let count = usize::from(job.digest.tasks());
        let agents: Vec<AgentKey> = self.fleet.iter().map(|(k, _)| k).collect();
        let id = job.key;
        // A fetch does not know how long the tasks may still run.
        let least = match job.tasks.is_empty() {
            true => FETCH_LIMIT,
            false => self.limits.unplaceable_after,
        };
        job.deadline = job.deadline.max(now + least);
        job.phase = Phase::Collecting(Collection {
            results: vec![None; count],
            states: vec![TaskState::MayHaveRun; count],
            agents: agents.clone(),
        });
        let deadline = job.deadline;
        self.deadlines.insert((deadline, key));
        let collects = agents.iter().map(|&agent| Action::Collect {
            agent,
            key: id,
            remaining: deadline.since(now),
        });
        self.actions.extend(collects);
        if agents.is_empty() {
            self.finish_collect(key, now);
        }
    }

    /// Takes what an agent holds; `None` when the agent cannot be reached.
    pub fn on_collected(
        &mut self,
        agent: AgentKey,
        id: SubmissionKey,
        held: Option<CollectedResults>,
        now: Timestamp,
    ) {
        let Some(&key) = self.keys.get(&id) else {
            return;
        };
        let Phase::Collecting(collection) = &mut self.jobs[key].phase else {
            return;
        };
        collection.agents.retain(|a| *a != agent);
        for (index, result) in held.unwrap_or_default().results {
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
        if collection.agents.is_empty() {
            self.finish_collect(key, now);
        }
    }

    pub(super) fn finish_collect(&mut self, key: JobKey, now: Timestamp) {
        let Phase::Collecting(collection) = &mut self.jobs[key].phase else {
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
