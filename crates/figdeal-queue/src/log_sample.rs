//! Bounds the log lines about single jobs.
//!
//! The load that is meant: a flood of which hundreds of jobs a second are refused or end, each with lines of its own at
//! its entry node and at the leader. A line for each costs the leader processor time that it needs for placement, and
//! fills the log. So the first lines of each event, reason and queue in a second are written in full. Of the others,
//! the identities are written together, many in one line, so that a job can still be found by its identity.

use std::{
    fmt::{self, Display, Formatter},
    time::Duration,
};

use figdeal_core::time::Timestamp;

use crate::job::JobId;

/// Period for which the lines are counted.
const PERIOD: Duration = Duration::from_secs(1);
/// Maximum number of groups in a period. Further ones share a group without a queue for each event and reason.
const MAX_GROUPS: usize = 64;
/// Maximum number of identities in one line.
const MAX_JOBS_PER_LINE: usize = 200;

/// Bounds of a [`LogSample`] in each second.
#[derive(Debug, Clone, Copy)]
pub struct SampleLimits {
    /// Number of lines in full for each event, reason and queue.
    pub lines: u64,
    /// Number of identities in all lines about the lines left out.
    pub jobs: usize,
}

impl SampleLimits {
    /// Bounds for jobs that were refused, late, failed, withdrawn or submitted again. The largest load of the design is
    /// 930 jobs a second, so that all of them are named.
    pub const FAULTS: SampleLimits = SampleLimits {
        lines: 10,
        jobs: 2_000,
    };
}

/// Lines of one event, reason and queue.
#[derive(Debug)]
struct Group {
    event: &'static str,
    reason: &'static str,
    queue: String,
    lines: u64,
    jobs: Vec<JobId>,
}

/// Decides which lines about single jobs are written, and writes the identities of the others once a second.
///
/// ```
/// use figdeal_core::time::Timestamp;
/// use figdeal_queue::{job::JobId, log_sample::{LogSample, SampleLimits}};
///
/// let mut sample = LogSample::new(SampleLimits { lines: 1, jobs: 100 });
/// let now = Timestamp::ZERO;
/// assert!(sample.admit(now, "E622", "Overload", "main", Some(JobId(1))));
/// assert!(!sample.admit(now, "E622", "Overload", "main", Some(JobId(2))));
/// assert!(sample.admit(now, "E622", "TooLarge", "main", Some(JobId(3))));
/// ```
#[derive(Debug)]
pub struct LogSample {
    limits: SampleLimits,
    period_start: Timestamp,
    groups: Vec<Group>,
    /// Number of identities in all groups.
    kept_jobs: usize,
}

impl LogSample {
    /// Creates a sample.
    pub fn new(limits: SampleLimits) -> LogSample {
        LogSample {
            limits,
            period_start: Timestamp::ZERO,
            groups: Vec::new(),
            kept_jobs: 0,
        }
    }

    /// Returns whether to write a line in full. Otherwise counts it, and keeps the identity of its job.
    pub fn admit(
        &mut self,
        now: Timestamp,
        event: &'static str,
        reason: &'static str,
        queue: &str,
        job: Option<JobId>,
    ) -> bool {
        self.write_omitted(now);
        if self.groups.is_empty() {
            self.period_start = now;
        }
        let has_jobs_left = self.kept_jobs < self.limits.jobs;
        let limit = self.limits.lines;
        let group = self.group(event, reason, queue);
        group.lines += 1;
        if group.lines <= limit {
            return true;
        }
        if let Some(job) = job.filter(|_| has_jobs_left) {
            group.jobs.push(job);
            self.kept_jobs += 1;
        }
        false
    }

    /// Writes how many lines were left out, if the second is over.
    pub fn write_omitted(&mut self, now: Timestamp) {
        if !self.groups.is_empty() && now >= self.period_start + PERIOD {
            self.finish();
        }
    }

    /// Writes how many lines were left out so far.
    pub fn finish(&mut self) {
        self.kept_jobs = 0;
        for group in std::mem::take(&mut self.groups) {
            group.write_omitted(self.limits.lines);
        }
    }

    fn group(&mut self, event: &'static str, reason: &'static str, queue: &str) -> &mut Group {
        let position = |groups: &[Group], queue: &str| {
            let same = |g: &Group| g.event == event && g.reason == reason && g.queue == queue;
            groups.iter().position(same)
        };
        let found = position(&self.groups, queue);
        let is_full = found.is_none() && self.groups.len() >= MAX_GROUPS;
        let queue = if is_full { "-" } else { queue };
        let found = found.or_else(|| position(&self.groups, queue));
        let index = found.unwrap_or_else(|| {
            self.groups.push(Group {
                event,
                reason,
                queue: queue.to_owned(),
                lines: 0,
                jobs: Vec::new(),
            });
            self.groups.len() - 1
        });
        &mut self.groups[index]
    }
}

impl Group {
    /// Writes the identities of the jobs without a line, and the number of all lines that were left out.
    fn write_omitted(&self, limit: u64) {
        let mut omitted = self.lines.saturating_sub(limit);
        let mut jobs = self.jobs.chunks(MAX_JOBS_PER_LINE).peekable();
        while omitted > 0 {
            let chunk = jobs.next().unwrap_or_default();
            let suppressed = match jobs.peek() {
                Some(_) => chunk.len() as u64,
                None => omitted,
            };
            omitted -= suppressed;
            log::info!(
                "E930 lines about jobs were left out event={} reason={} queue={} \
                 suppressed={suppressed} jobs={}",
                self.event,
                self.reason,
                self.queue,
                JobList(chunk)
            );
        }
    }
}

/// Identities with commas between them, or `-` if there are none.
struct JobList<'a>(&'a [JobId]);

impl Display for JobList<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let Some((first, others)) = self.0.split_first() else {
            return f.write_str("-");
        };
        write!(f, "{first}")?;
        others.iter().try_for_each(|job| write!(f, ",{job}"))
    }
}
