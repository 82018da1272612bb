//! Burn rates of the error budgets of the service-level objectives, with the causes of the loss.
//!
//! Pure logic without I/O: the ends of tasks and the time are the input, a [`BurnReport`] is the output. The
//! definitions are in `docs/OPERATIONS.md`.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use figdeal_config::section::Objective;
use figdeal_core::{
    entry::FinishedJob,
    id::{Interner, KindId, TeamId},
    outcome::Outcome,
    time::Timestamp,
};

use self::bucket_ring::BucketRing;
pub use self::{
    burn::{BurnReport, Counts, ObjectiveBurn, Window},
    html::render as render_html,
    text::render as render_text,
};

pub(crate) use self::text::format_table;

mod bucket_ring;
mod burn;
mod html;
mod text;

/// Length of a short bucket; `SHORT_BUCKETS` of them make up the shortest window.
const SHORT_BUCKET_LENGTH: Duration = Duration::from_secs(10);
/// Number of short buckets.
const SHORT_BUCKETS: usize = 30;
/// Length of a long bucket, which is also the step of the plot.
const LONG_BUCKET_LENGTH: Duration = Duration::from_secs(300);
/// Number of long buckets; they cover one day.
const LONG_BUCKETS: usize = 288;

/// Name of an objective: the kind, and the team if the objective is for one team only.
pub type ObjectiveName = (String, Option<String>);

/// How a task ended from the caller's point of view.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TaskEnd {
    /// Its job completed within the deadline of the task.
    InTime,
    /// Its job completed after the deadline of the task.
    Late,
    /// The task or its job failed.
    Failed,
    /// The task never started.
    NotRun,
    /// It is unknown whether the task ran.
    MayHaveRun,
}

impl TaskEnd {
    /// Returns the label in the metrics.
    pub fn name(self) -> &'static str {
        match self {
            TaskEnd::InTime => "in_time",
            TaskEnd::Late => "late",
            TaskEnd::Failed => "failed",
            TaskEnd::NotRun => "not_run",
            TaskEnd::MayHaveRun => "may_have_run",
        }
    }

    /// Returns the end of each task of a job, in order; `None` for a cancelled job, which is not counted because it
    /// says nothing about the service.
    pub fn of(ended: &FinishedJob) -> Option<Vec<TaskEnd>> {
        use figdeal_core::outcome::TaskState;
        let ends = match &*ended.outcome {
            Outcome::Complete(_) => ended
                .tasks
                .iter()
                .map(|(_, deadline)| match ended.response_time <= *deadline {
                    true => TaskEnd::InTime,
                    false => TaskEnd::Late,
                })
                .collect(),
            Outcome::Failed(states) => states
                .iter()
                .map(|state| match state {
                    TaskState::Done | TaskState::Failed => TaskEnd::Failed,
                    TaskState::MayHaveRun => TaskEnd::MayHaveRun,
                    TaskState::NotStarted => TaskEnd::NotRun,
                })
                .collect(),
            Outcome::NotRun { .. } => vec![TaskEnd::NotRun; ended.tasks.len()],
            Outcome::Cancelled(_) => return None,
        };
        Some(ends)
    }
}

/// Counts of one objective.
#[derive(Debug)]
struct Series {
    objective: Objective,
    short: BucketRing<SHORT_BUCKETS>,
    long: BucketRing<LONG_BUCKETS>,
}

/// Counts the tasks of one entry for each active objective. Memory use depends only on the number of objectives.
#[derive(Debug, Default)]
pub struct BurnTracker {
    names: BTreeMap<ObjectiveName, (KindId, Option<TeamId>)>,
    series: HashMap<(KindId, Option<TeamId>), Series>,
}

impl BurnTracker {
    /// Replaces the objectives. The counts of objectives that remain are kept.
    pub fn set_objectives(
        &mut self,
        objectives: &BTreeMap<ObjectiveName, Objective>,
        kinds: &mut Interner,
        teams: &mut Interner,
    ) {
        let mut kept = std::mem::take(&mut self.series);
        self.names.clear();
        for ((kind, team), objective) in objectives {
            let id = (
                KindId(kinds.intern(kind)),
                team.as_ref().map(|team| TeamId(teams.intern(team))),
            );
            self.names.insert((kind.clone(), team.clone()), id);
            let mut series = kept.remove(&id).unwrap_or_else(|| Series {
                objective: objective.clone(),
                short: BucketRing::new(SHORT_BUCKET_LENGTH),
                long: BucketRing::new(LONG_BUCKET_LENGTH),
            });
            series.objective = objective.clone();
            self.series.insert(id, series);
        }
    }

    /// Counts the tasks of a job that this entry owned.
    pub fn record(&mut self, ended: &FinishedJob, now: Timestamp) {
        let Some(ends) = TaskEnd::of(ended) else {
            return;
        };
        assert_eq!(
            ends.len(),
            ended.tasks.len(),
            "every task has exactly one end"
        );
        for ((kind, _), end) in ended.tasks.iter().zip(ends) {
            for team in [None, Some(ended.team)] {
                if let Some(series) = self.series.get_mut(&(*kind, team)) {
                    let is_slow = ended.response_time > series.objective.latency;
                    series.short.at(now).add(end, is_slow);
                    series.long.at(now).add(end, is_slow);
                }
            }
        }
    }

    /// Returns the burn rates of all objectives at `now`.
    pub fn report(&mut self, now: Timestamp) -> BurnReport {
        let objectives = self.names.iter().map(|((kind, team), id)| {
            let series = self
                .series
                .get_mut(id)
                .expect("every objective has a series");
            let windows = [
                (
                    SHORT_BUCKET_LENGTH * SHORT_BUCKETS as u32,
                    series.short.sum(now, SHORT_BUCKETS),
                ),
                (LONG_BUCKET_LENGTH * 12, series.long.sum(now, 12)),
                (LONG_BUCKET_LENGTH * 72, series.long.sum(now, 72)),
                (
                    LONG_BUCKET_LENGTH * LONG_BUCKETS as u32,
                    series.long.sum(now, LONG_BUCKETS),
                ),
            ];
            let windows = windows.map(|(length, counts)| Window::new(length, counts));
            ObjectiveBurn {
                kind: kind.clone(),
                team: team.clone(),
                in_time: series.objective.in_time.ratio(),
                latency_ms: series.objective.latency.as_millis() as u64,
                windows: windows.to_vec(),
                plot: series.long.iter(now).map(|c| (c.tasks, c.bad())).collect(),
            }
            .with_burn_rates()
        });
        BurnReport {
            plot_step_s: LONG_BUCKET_LENGTH.as_secs(),
            objectives: objectives.collect(),
        }
    }
}
