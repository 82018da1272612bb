//! Data of the burn report: counts, burn rates and budgets, and how reports of several entries are merged.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::TaskEnd;

/// Minimum error budget, which is the resolution of the configured ratios. It keeps the burn rate of an objective of
/// 100% finite.
const MIN_BUDGET: f64 = 1e-6;
/// Fraction of the tasks that may exceed the latency of an objective.
const LATENCY_BUDGET: f64 = 0.01;

/// Number of tasks by how they ended.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// All tasks, however they ended.
    pub tasks: u64,
    /// Tasks completed after their deadline.
    pub late: u64,
    /// Tasks that failed or belong to a failed job.
    pub failed: u64,
    /// Tasks that never started.
    pub not_run: u64,
    /// Tasks for which it is unknown whether they ran.
    pub may_have_run: u64,
    /// Completed tasks, in time or late, whose job took longer than the latency of the objective.
    pub slow: u64,
}

impl Counts {
    pub(super) fn add(&mut self, end: TaskEnd, is_slow: bool) {
        self.tasks += 1;
        match end {
            TaskEnd::InTime => {}
            TaskEnd::Late => self.late += 1,
            TaskEnd::Failed => self.failed += 1,
            TaskEnd::NotRun => self.not_run += 1,
            TaskEnd::MayHaveRun => self.may_have_run += 1,
        }
        if is_slow && matches!(end, TaskEnd::InTime | TaskEnd::Late) {
            self.slow += 1;
        }
    }

    /// Returns the number of tasks that did not complete in time.
    pub fn bad(&self) -> u64 {
        self.late + self.failed + self.not_run + self.may_have_run
    }

    pub(super) fn merge(&mut self, other: &Counts) {
        self.tasks += other.tasks;
        self.late += other.late;
        self.failed += other.failed;
        self.not_run += other.not_run;
        self.may_have_run += other.may_have_run;
        self.slow += other.slow;
    }
}

/// Counts and burn rates of one window.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Window {
    /// Length of the window in seconds.
    pub seconds: u64,
    /// Tasks that ended in the window.
    #[serde(flatten)]
    pub counts: Counts,
    /// Burn rate of the error budget of `in_time`: the fraction of tasks not completed in time, divided by the budget.
    /// At a rate of 1 the budget is used up exactly. `None` if no task ended in the window.
    pub burn: Option<f64>,
    /// Burn rate of the latency budget: the fraction of slow tasks, divided by the 1% that may exceed the latency.
    /// `None` if no task ended in the window.
    pub latency_burn: Option<f64>,
}

impl Window {
    pub(super) fn new(length: Duration, counts: Counts) -> Window {
        Window {
            seconds: length.as_secs(),
            counts,
            burn: None,
            latency_burn: None,
        }
    }
}

/// Burn rates of one objective.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ObjectiveBurn {
    /// The kind of task.
    pub kind: String,
    /// The team, if the objective is for one team only.
    pub team: Option<String>,
    /// Target fraction of tasks that complete in time.
    pub in_time: f64,
    /// Target response time in milliseconds for 99% of the tasks.
    pub latency_ms: u64,
    /// Windows, shortest first; the last one is the period of the error budget.
    pub windows: Vec<Window>,
    /// Number of tasks, and number of those that did not complete in time, for each step of the period, oldest first.
    pub plot: Vec<(u64, u64)>,
}

impl ObjectiveBurn {
    /// Computes the burn rates from the counts.
    pub(super) fn with_burn_rates(mut self) -> ObjectiveBurn {
        let budget = self.budget();
        for window in &mut self.windows {
            let Counts { tasks, slow, .. } = window.counts;
            let bad = window.counts.bad();
            let rate = |n: u64, budget| (tasks > 0).then(|| n as f64 / tasks as f64 / budget);
            window.burn = rate(bad, budget);
            window.latency_burn = rate(slow, LATENCY_BUDGET);
        }
        self
    }

    /// Returns the error budget: the fraction of tasks that may miss the objective.
    pub fn budget(&self) -> f64 {
        (1.0 - self.in_time).max(MIN_BUDGET)
    }

    /// Returns the window that is the period of the error budget.
    pub fn period(&self) -> Option<&Window> {
        self.windows.last()
    }

    /// Returns the fraction of the error budget that is left; negative if the objective is missed.
    pub fn budget_left(&self) -> f64 {
        1.0 - self.period().and_then(|w| w.burn).unwrap_or(0.0)
    }

    /// Returns the kind, followed by the team if there is one.
    pub fn name(&self) -> String {
        match &self.team {
            Some(team) => format!("{} / {team}", self.kind),
            None => self.kind.clone(),
        }
    }
}

/// Burn rates of the objectives of one entry, or of several after [`BurnReport::merge`].
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct BurnReport {
    /// Length of a step of the plots in seconds.
    pub plot_step_s: u64,
    /// The objectives, sorted by kind and team.
    pub objectives: Vec<ObjectiveBurn>,
}

impl BurnReport {
    /// Adds the counts of another entry. If an objective differs because one entry has an older configuration, that of
    /// `self` is kept.
    pub fn merge(&mut self, other: BurnReport) {
        self.plot_step_s = self.plot_step_s.max(other.plot_step_s);
        for objective in other.objectives {
            let is_same =
                |own: &&mut ObjectiveBurn| own.kind == objective.kind && own.team == objective.team;
            let Some(own) = self.objectives.iter_mut().find(is_same) else {
                self.objectives.push(objective);
                continue;
            };
            for (own, other) in own.windows.iter_mut().zip(&objective.windows) {
                own.counts.merge(&other.counts);
            }
            for (own, other) in own.plot.iter_mut().zip(&objective.plot) {
                *own = (own.0 + other.0, own.1 + other.1);
            }
            *own = own.clone().with_burn_rates();
        }
        let name = |objective: &ObjectiveBurn| (objective.kind.clone(), objective.team.clone());
        self.objectives.sort_by_key(name);
    }
}
