//! Service-level burn: which objectives lose their budget, how fast, and to what.
//!
//! Decisions without I/O: ends of tasks and the time go in, a [`View`] comes out. `docs/OPERATIONS.md` has the
//! definitions.

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

use self::ring::Ring;
pub use self::{
    html::render as render_html,
    text::render as render_text,
    view::{Counts, Line, View, Window},
};

pub(crate) use self::text::table;

mod html;
mod ring;
mod text;
mod view;

/// Length of a short bucket; 30 of them are the shortest window.
const SHORT: Duration = Duration::from_secs(10);
/// Number of short buckets.
const SHORT_COUNT: usize = 30;
/// Length of a long bucket; it is also the step of the plot.
const LONG: Duration = Duration::from_secs(300);
/// Number of long buckets, which cover a day.
const LONG_COUNT: usize = 288;

/// Name of an objective: the kind, and the team where the objective is for one team only.
pub type Name = (String, Option<String>);

/// How a task ended for its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// Its job was complete within the deadline of the task.
    InTime,
    /// Its job was complete after the deadline of the task.
    Late,
    /// It failed, or its job did.
    Failed,
    /// It never started.
    NotRun,
    /// Its fate is unknown.
    MayHaveRun,
}

impl End {
    /// The name in metrics.
    pub fn name(self) -> &'static str {
        match self {
            End::InTime => "in_time",
            End::Late => "late",
            End::Failed => "failed",
            End::NotRun => "not_run",
            End::MayHaveRun => "may_have_run",
        }
    }

    /// The end of each task of a job, in order; `None` for a cancelled job, which says nothing about the service.
    pub fn of(ended: &FinishedJob) -> Option<Vec<End>> {
        use figdeal_core::outcome::TaskState;
        let ends = match &*ended.outcome {
            Outcome::Complete(_) => ended
                .tasks
                .iter()
                .map(|(_, deadline)| match ended.response <= *deadline {
                    true => End::InTime,
                    false => End::Late,
                })
                .collect(),
            Outcome::Failed(states) => states
                .iter()
                .map(|state| match state {
                    TaskState::Done | TaskState::Failed => End::Failed,
                    TaskState::MayHaveRun => End::MayHaveRun,
                    TaskState::NotStarted => End::NotRun,
                })
                .collect(),
            Outcome::NotRun { .. } => vec![End::NotRun; ended.tasks.len()],
            Outcome::Cancelled(_) => return None,
        };
        Some(ends)
    }
}

#[derive(Debug)]
struct Series {
    objective: Objective,
    short: Ring<SHORT_COUNT>,
    long: Ring<LONG_COUNT>,
}

/// Burn of the objectives in force at one entry. The memory depends on their number only.
#[derive(Debug, Default)]
pub struct Report {
    names: BTreeMap<Name, (KindId, Option<TeamId>)>,
    series: HashMap<(KindId, Option<TeamId>), Series>,
}

impl Report {
    /// Takes the objectives in force. Counts of those that stay are kept.
    pub fn set_objectives(
        &mut self,
        objectives: &BTreeMap<Name, Objective>,
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
                short: Ring::new(SHORT),
                long: Ring::new(LONG),
            });
            series.objective = objective.clone();
            self.series.insert(id, series);
        }
    }

    /// Counts the tasks of a job that this entry owned.
    pub fn record(&mut self, ended: &FinishedJob, now: Timestamp) {
        let Some(ends) = End::of(ended) else { return };
        assert_eq!(ends.len(), ended.tasks.len(), "every task has one end");
        for ((kind, _), end) in ended.tasks.iter().zip(ends) {
            for team in [None, Some(ended.team)] {
                if let Some(series) = self.series.get_mut(&(*kind, team)) {
                    let is_slow = ended.response > series.objective.latency;
                    series.short.at(now).add(end, is_slow);
                    series.long.at(now).add(end, is_slow);
                }
            }
        }
    }

    /// What the objectives lost until `now`.
    pub fn view(&mut self, now: Timestamp) -> View {
        let lines = self.names.iter().map(|((kind, team), id)| {
            let series = self.series.get_mut(id).expect("each name has a series");
            let windows = [
                (
                    SHORT * SHORT_COUNT as u32,
                    series.short.sum(now, SHORT_COUNT),
                ),
                (LONG * 12, series.long.sum(now, 12)),
                (LONG * 72, series.long.sum(now, 72)),
                (LONG * LONG_COUNT as u32, series.long.sum(now, LONG_COUNT)),
            ];
            let windows = windows.map(|(length, counts)| Window::new(length, counts));
            Line {
                kind: kind.clone(),
                team: team.clone(),
                in_time: series.objective.in_time.ratio(),
                latency_ms: series.objective.latency.as_millis() as u64,
                windows: windows.to_vec(),
                plot: series.long.iter(now).map(|c| (c.tasks, c.bad())).collect(),
            }
            .judged()
        });
        View {
            plot_step_s: LONG.as_secs(),
            objectives: lines.collect(),
        }
    }
}
