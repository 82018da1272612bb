//! Serves requests at the leader.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use super::{Answer, Node, Origin};
use crate::{
    dispatch::{Rejection, Submission},
    job::{JobId, JobSpec, Queue},
    message::{RefusalReason, Request},
    state::Command,
    stored_size::{has_room, job_bytes},
};

/// Milliseconds after which a caller may try again if there is no configuration yet.
const NO_CONFIG_RETRY_AFTER_MS: u32 = 1_000;
/// Milliseconds after which a caller may try again if its volatile job was dropped because no worker was free in time.
pub(super) const OVERLOAD_RETRY_AFTER_MS: u32 = 1_000;
/// Time after which a caller may try again if the jobs of its queue hold as much memory as they may.
const STORAGE_RETRY_DELAY: Duration = Duration::from_secs(2);

impl Node {
    /// Serves a request. This node must be the leader with a valid lease.
    pub(super) fn serve(&mut self, origin: Origin, request: Request) {
        let answer = match request {
            Request::Submit {
                host,
                path,
                spec,
                age_ms,
                resubmitted,
            } => {
                let submission = Submission {
                    age: Duration::from_millis(u64::from(age_ms)),
                    resubmitted,
                };
                self.submit(origin, &host, &path, spec, submission)
            }
            Request::Query { host, path } => self.query(origin, &host, &path),
            Request::Cancel { host, path } => self.cancel(origin, &host, &path),
            Request::Configure(config) => {
                self.waiters.configs.push((config.version, origin));
                self.push_command(Command::Configure(config));
                None
            }
            Request::ReadConfig => Some(match &self.state.queues {
                Some(config) => Answer::Config(config.text.clone()),
                None => no_config(),
            }),
            Request::SetEvacuation {
                data_centre,
                evacuated,
            } => self.set_evacuation(origin, data_centre, evacuated),
        };
        if let Some(answer) = answer {
            if answer == no_config() {
                self.job_log.count_refusal(RefusalReason::NoConfig);
            }
            self.answer(origin, answer);
        }
    }

    pub(super) fn push_command(&mut self, command: Command) {
        let dispatcher = self
            .dispatcher
            .as_mut()
            .expect("a serving node must be the leader");
        dispatcher.push_command(command);
    }

    /// Handles the submission of a job. Returns `None` if the answer follows after the commit, or after the end of a
    /// volatile job.
    fn submit(
        &mut self,
        origin: Origin,
        host: &str,
        path: &str,
        spec: JobSpec,
        submission: Submission,
    ) -> Option<Answer> {
        let Some(queues) = &self.state.queues else {
            return Some(no_config());
        };
        let Some((queue, rest)) = queues.route(host, path) else {
            return Some(Answer::NoQueue);
        };
        let Ok(id) = rest.parse::<JobId>() else {
            return Some(Answer::Invalid);
        };
        if self.is_other_kind(id, spec.volatile) {
            log::info!(
                "E643 rejected a job under the identity of another one job={id} volatile={}",
                spec.volatile
            );
            return Some(Answer::Invalid);
        }
        if self.state.contains(id) {
            return Some(Answer::Accepted);
        }
        if let Some(waiting) = self.waiters.submits.get_mut(&id) {
            waiting.push(origin);
            return None;
        }
        if !spec.is_valid() {
            return Some(Answer::Invalid);
        }
        let dispatcher = self
            .dispatcher
            .as_ref()
            .expect("a serving node must be the leader");
        let is_known = dispatcher.state_of(id).is_some();
        if !submission.resubmitted
            && !is_known
            && let Some(rejection) =
                dispatcher.rejection(self.clock.now, queue, id, &spec, submission.age)
        {
            return Some(self.refuse_job(id, &queue.name.clone(), rejection));
        }
        let bytes = job_bytes(&spec);
        if !submission.resubmitted && !is_known && !self.has_room(queue, bytes) {
            let rejection = Rejection {
                reason: RefusalReason::Storage,
                retry_after: STORAGE_RETRY_DELAY,
            };
            return Some(self.refuse_job(id, &queue.name.clone(), rejection));
        }
        self.open_jobs.add(id, &queue.name, bytes);
        if spec.volatile {
            let queue = queue.clone();
            self.submit_volatile(origin, id, &queue, spec, submission);
            return None;
        }
        let command = Command::Accept {
            id,
            queue: queue.name.clone(),
            pool: queue.pool.clone(),
            policy: queue.policy.clone(),
            spec: Arc::new(spec),
            term: self.raft.term(),
        };
        self.waiters.submits.insert(id, vec![origin]);
        self.push_command(command);
        None
    }

    /// Logs and counts the refusal of a job.
    fn refuse_job(&mut self, id: JobId, queue: &str, rejection: Rejection) -> Answer {
        self.job_log
            .job_refused(self.clock.now, id, queue, rejection);
        Answer::Refused {
            retry_after_ms: rejection.retry_after.as_millis() as u32,
            reason: rejection.reason,
        }
    }

    /// Returns whether the jobs of a queue may hold this many bytes more.
    fn has_room(&self, queue: &Queue, bytes: usize) -> bool {
        let queues = self.state.queues.iter().flat_map(|config| &config.queues);
        let names: BTreeSet<&str> = queues.map(|q| q.name.as_str()).collect();
        let names: Vec<&str> = names.into_iter().collect();
        let held = [self.state.held(), self.open_jobs.held()];
        has_room(self.options.stored_bytes, &names, &held, &queue.name, bytes)
    }

    /// Returns whether this leader knows the job as a volatile one and `volatile` is not set, or the other way round.
    fn is_other_kind(&self, id: JobId, volatile: bool) -> bool {
        let is_stored = self.state.contains(id) || self.waiters.submits.contains_key(&id);
        let dispatcher = self.dispatcher.as_ref();
        let is_volatile = dispatcher.is_some_and(|d| d.is_volatile(id));
        match volatile {
            true => is_stored,
            false => is_volatile,
        }
    }

    /// Accepts a volatile job, whose caller waits for its end.
    fn submit_volatile(
        &mut self,
        origin: Origin,
        id: JobId,
        queue: &Queue,
        spec: JobSpec,
        submission: Submission,
    ) {
        let now = self.clock.now;
        self.job_log.job_accepted(now, id, queue, &spec, submission);
        let dispatcher = self
            .dispatcher
            .as_mut()
            .expect("a serving node must be the leader");
        dispatcher.submit(now, id, queue, &Arc::new(spec), submission);
        self.recent_jobs.add(now, id);
        self.waiters.add_volatile(id, origin);
        self.placement_due = true;
    }

    fn query(&mut self, origin: Origin, host: &str, path: &str) -> Option<Answer> {
        let Some(queues) = &self.state.queues else {
            return Some(no_config());
        };
        let Some((queue, rest)) = queues.route(host, path) else {
            return Some(Answer::NoQueue);
        };
        let dispatcher = self
            .dispatcher
            .as_ref()
            .expect("a serving node must be the leader");
        if rest.is_empty() {
            return Some(Answer::QueuedJobs(dispatcher.queued_jobs(&queue.name)));
        }
        let Ok(id) = rest.parse::<JobId>() else {
            return Some(Answer::NoJob);
        };
        if dispatcher.is_ending(id) {
            // The outcome is known once the log entry for it is committed, a few milliseconds from now.
            self.waiters.queries.entry(id).or_default().push(origin);
            return None;
        }
        Some(self.job_state(id).map_or(Answer::NoJob, Answer::State))
    }

    fn cancel(&mut self, origin: Origin, host: &str, path: &str) -> Option<Answer> {
        let Some(queues) = &self.state.queues else {
            return Some(no_config());
        };
        let Some((_, rest)) = queues.route(host, path) else {
            return Some(Answer::NoQueue);
        };
        let Ok(id) = rest.parse::<JobId>() else {
            return Some(Answer::NoJob);
        };
        if self.state.outcome_of(id).is_some() {
            return Some(Answer::Cancelled);
        }
        let pending = self.waiters.submits.contains_key(&id);
        if !pending && !self.state.jobs.contains_key(&id) {
            return Some(Answer::NoJob);
        }
        log::info!("E623 cancelling a job job={id}");
        self.waiters.cancels.entry(id).or_default().push(origin);
        self.push_command(Command::Cancel(id));
        None
    }
}

fn no_config() -> Answer {
    Answer::Refused {
        retry_after_ms: NO_CONFIG_RETRY_AFTER_MS,
        reason: RefusalReason::NoConfig,
    }
}
