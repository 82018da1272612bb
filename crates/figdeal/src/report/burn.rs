//! The report as data: counts, burn rates and budgets, and the sum over entries.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::TaskEnd;

/// Smallest budget, the unit of the configured ratios. It keeps the burn of an objective of 100% finite.
const MIN_BUDGET: f64 = 1e-6;
/// Part of the tasks that may exceed the latency of an objective.
const LATENCY_BUDGET: f64 = 0.01;

/// Tasks by their end.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// All tasks.
    pub tasks: u64,
    /// Complete after their deadline.
    pub late: u64,
    /// Failed, or of a failed job.
    pub failed: u64,
    /// Never started.
    pub not_run: u64,
    /// Fate unknown.
    pub may_have_run: u64,
    /// Complete, but not within the latency of the objective; may be in time.
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

    /// Tasks that are not in time.
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
    /// Length in seconds.
    pub seconds: u64,
    /// Tasks that ended in it.
    #[serde(flatten)]
    pub counts: Counts,
    /// Rate at which the budget of `in_time` burns; 1 uses it up exactly. Absent where no task ended.
    pub burn: Option<f64>,
    /// Rate at which the 1% that may exceed the latency burns.
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

/// One objective.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ObjectiveBurn {
    /// The kind of task.
    pub kind: String,
    /// The team, where the objective is for one team only.
    pub team: Option<String>,
    /// Part of the tasks that should be in time.
    pub in_time: f64,
    /// Response time in milliseconds that 99% of the tasks should stay within.
    pub latency_ms: u64,
    /// Windows, the shortest first; the last one is the period of the budget.
    pub windows: Vec<Window>,
    /// Tasks and bad tasks of each step of the period, oldest first.
    pub plot: Vec<(u64, u64)>,
}

impl ObjectiveBurn {
    /// Fills the burn rates from the counts.
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

    /// Part of the tasks that may miss the objective.
    pub fn budget(&self) -> f64 {
        (1.0 - self.in_time).max(MIN_BUDGET)
    }

    /// The period of the budget.
    pub fn period(&self) -> Option<&Window> {
        self.windows.last()
    }

    /// Part of the budget of the period that is left, below 0 when the objective is missed.
    pub fn budget_left(&self) -> f64 {
        1.0 - self.period().and_then(|w| w.burn).unwrap_or(0.0)
    }

    /// The kind, with the team where there is one.
    pub fn name(&self) -> String {
        match &self.team {
            Some(team) => format!("{} / {team}", self.kind),
            None => self.kind.clone(),
        }
    }
}

/// The objectives of one entry, or of several after [`BurnReport::merge`].
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct BurnReport {
    /// Length of a step of the plots in seconds.
    pub plot_step_s: u64,
    /// The objectives by kind and team.
    pub objectives: Vec<ObjectiveBurn>,
}

impl BurnReport {
    /// Adds the counts of another entry. Where the objectives differ, because one entry has an older configuration,
    /// those of `self` are kept.
    pub fn merge(&mut self, other: BurnReport) {
        self.plot_step_s = self.plot_step_s.max(other.plot_step_s);
        for line in other.objectives {
            let is_same = |own: &&mut ObjectiveBurn| own.kind == line.kind && own.team == line.team;
            let Some(own) = self.objectives.iter_mut().find(is_same) else {
                self.objectives.push(line);
                continue;
            };
            for (own, other) in own.windows.iter_mut().zip(&line.windows) {
                own.counts.merge(&other.counts);
            }
            for (own, other) in own.plot.iter_mut().zip(&line.plot) {
                *own = (own.0 + other.0, own.1 + other.1);
            }
            *own = own.clone().with_burn_rates();
        }
        let name = |line: &ObjectiveBurn| (line.kind.clone(), line.team.clone());
        self.objectives.sort_by_key(name);
    }
}
