//! Log lines about single jobs, bounded in each second, and counts of refusals.
//!
//! Under a flood, a volatile job that ends in order needs no line, and a refused, late or failed one needs a single line
//! that tells all about it. So what the line about the acceptance would say is kept until the end.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use figdeal_core::time::Timestamp;

use crate::{
    dispatch::{Rejection, Submission, VolatileOutcome},
    job::{JobId, JobSpec, Queue},
    log_sample::{LogSample, SampleLimits},
    message::RefusalReason,
    refusals::{OVERLOAD_IN_QUEUE, RefusalCounts, UNKNOWN_QUEUE, log_name, metric_name},
};

/// Bounds for jobs that are accepted and end in order.
const ROUTINE_LIMITS: SampleLimits = SampleLimits { lines: 10, jobs: 0 };

/// What is kept of a volatile job until it ends.
#[derive(Debug)]
struct OpenJob {
    queue: String,
    accepted_at: Timestamp,
    /// Time since the job arrived at its entry node, when it was accepted.
    age: Duration,
    /// Response-time goal by the estimates of the caller.
    goal: Duration,
    resubmitted: bool,
}

#[derive(Debug)]
pub(super) struct JobLog {
    faults: LogSample,
    routine: LogSample,
    refusals: RefusalCounts,
    open: HashMap<JobId, OpenJob>,
}

impl JobLog {
    pub(super) fn new() -> JobLog {
        JobLog {
            faults: LogSample::new(SampleLimits::FAULTS),
            routine: LogSample::new(ROUTINE_LIMITS),
            refusals: RefusalCounts::default(),
            open: HashMap::new(),
        }
    }

    /// Writes how many lines were left out in the last second.
    pub(super) fn tick(&mut self, now: Timestamp) {
        self.faults.write_omitted(now);
        self.routine.write_omitted(now);
    }

    /// Forgets the open jobs, which belong to the next leader, and writes how many lines were left out so far.
    pub(super) fn lose_leadership(&mut self) {
        self.faults.finish();
        self.routine.finish();
        self.open.clear();
    }

    pub(super) fn take_refusals(&mut self) -> RefusalCounts {
        std::mem::take(&mut self.refusals)
    }

    /// Counts a request that this node refused before its queue was known.
    pub(super) fn count_refusal(&mut self, reason: RefusalReason) {
        self.refusals.add(metric_name(reason), UNKNOWN_QUEUE);
    }

    pub(super) fn job_refused(
        &mut self,
        now: Timestamp,
        id: JobId,
        queue: &str,
        rejection: Rejection,
    ) {
        self.refusals.add(metric_name(rejection.reason), queue);
        let reason = log_name(rejection.reason);
        if self.faults.admit(now, "E622", reason, queue, Some(id)) {
            log::info!(
                "E622 refused a job job={id} queue={queue} reason={reason} retry_after_ms={}",
                rejection.retry_after.as_millis()
            );
        }
    }

    pub(super) fn job_accepted(
        &mut self,
        now: Timestamp,
        id: JobId,
        queue: &Queue,
        spec: &JobSpec,
        submission: Submission,
    ) {
        let Submission { age, resubmitted } = submission;
        let run_ms = spec.critical_paths_ms().into_iter().max().unwrap_or(0) as f64;
        let goal_ms =
            run_ms * f64::from(queue.policy.goal_factor) + f64::from(queue.policy.goal_slack_ms);
        self.open.entry(id).or_insert_with(|| OpenJob {
            queue: queue.name.clone(),
            accepted_at: now,
            age,
            goal: Duration::from_millis(goal_ms as u64),
            resubmitted,
        });
        let (sample, reason) = match resubmitted {
            true => (&mut self.faults, "Resubmitted"),
            false => (&mut self.routine, "Accepted"),
        };
        if sample.admit(now, "E632", reason, &queue.name, Some(id)) {
            log::info!(
                "E632 accepted a volatile job job={id} queue={} age_ms={} resubmitted={resubmitted}",
                queue.name,
                age.as_millis()
            );
        }
    }

    pub(super) fn job_ended(&mut self, now: Timestamp, id: JobId, outcome: VolatileOutcome) {
        let Some(job) = self.open.remove(&id) else {
            return;
        };
        let took = job.age + now.since(job.accepted_at);
        let late = outcome == VolatileOutcome::Done && took > job.goal;
        let reason = match outcome {
            VolatileOutcome::Done if late => "Late",
            VolatileOutcome::Done => "Done",
            VolatileOutcome::Failed => "Failed",
            VolatileOutcome::Refused => "Refused",
            VolatileOutcome::Expired => "Expired",
        };
        if outcome == VolatileOutcome::Refused {
            self.refusals.add(OVERLOAD_IN_QUEUE, &job.queue);
        }
        let sample = match reason {
            "Done" => &mut self.routine,
            _ => &mut self.faults,
        };
        if sample.admit(now, "E630", reason, &job.queue, Some(id)) {
            log::info!(
                "E630 volatile job ended job={id} outcome={outcome:?} queue={} late={late} \
                 took_ms={} goal_ms={} age_ms={} resubmitted={}",
                job.queue,
                took.as_millis(),
                job.goal.as_millis(),
                job.age.as_millis(),
                job.resubmitted
            );
        }
    }

    pub(super) fn request_given_up(
        &mut self,
        now: Timestamp,
        token: u64,
        path: &str,
        leader: Option<SocketAddr>,
    ) {
        let job = JobId::of_path(path);
        let queue = UNKNOWN_QUEUE;
        if self.faults.admit(now, "E614", "NoAnswer", queue, job) {
            log::warn!(
                "E614 giving up a request without an answer token={token} path={path} \
                 leader={leader:?}"
            );
        }
    }

    pub(super) fn job_withdrawn(&mut self, now: Timestamp, id: JobId) {
        let open = self.open.remove(&id);
        let queue = open.as_ref().map_or(UNKNOWN_QUEUE, |job| &job.queue);
        if self.faults.admit(now, "E631", "Withdrawn", queue, Some(id)) {
            let age = open.as_ref().map(|job| now.since(job.accepted_at));
            log::info!(
                "E631 withdrew a volatile job job={id} queue={queue} waited_ms={}",
                age.unwrap_or_default().as_millis()
            );
        }
    }
}
