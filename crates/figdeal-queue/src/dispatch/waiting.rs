//! Steps that are set aside until a condition is met, so that they neither hold up other steps nor cost time.
//!
//! The load that is meant: thousands of waiting steps, of which most cannot be placed now. A step that was tried without
//! success is not tried again before its condition is met. Of the steps of a queue that wait for room only the first is
//! woken for a worker; the next one follows once that one is placed, so few steps are tried for each run that ends.
//! Finding that first one costs a look at each distinct combination of needs and label among them.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, HashSet},
    ops::Bound::{Excluded, Unbounded},
};

use figdeal_core::time::Timestamp;

use super::{
    AgentKey, AgentView, Dispatcher,
    backlog::{BacklogKey, StepRank},
    room::{below_worker_limit, has_required_label, task_range},
};
use crate::job::{JobId, Resources, Step};

/// Number of conditions of the kind [`WakeCondition::RoomElsewhere`] that are checked for one worker. The sweep finds the
/// others.
const MAX_LIMIT_CHECKS: usize = 16;

/// Number of conditions of a queue that one sweep checks for missed wake-ups. Each check may look at all workers.
const MAX_WAKE_CHECKS: usize = 32;

/// What makes a step that was set aside be tried again. The variants that a worker can meet come first.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum WakeCondition {
    /// A worker with the label, if one is required, can start a task with these needs.
    Room {
        needs: Resources,
        label: Option<String>,
    },
    /// A worker that is below [`Step::max_per_worker`] for this step can start a task of it.
    RoomElsewhere {
        job: JobId,
        step: u16,
        needs: Resources,
        label: Option<String>,
        max_per_worker: u32,
    },
    /// A run of this step ends, or a worker joins: all present ones have [`Step::max_per_worker`] runs of the step.
    RunEnd { job: JobId, step: u16 },
    /// The room that is left to more urgent queues allows for a task of this size.
    Reserve { millicores: u32 },
    /// The time has come.
    Time { at: Timestamp },
    /// The wait of this step for the rack of its data ends, see [`super::racks`].
    Rack { job: JobId, step: u16 },
}

impl WakeCondition {
    /// Returns the condition of a step that no worker has room for.
    pub(super) fn room(step: &Step) -> WakeCondition {
        WakeCondition::Room {
            needs: step.needs,
            label: step.label.clone(),
        }
    }

    /// Returns whether the step lacks room, also if there is some that its queue has to leave to others.
    pub(super) fn lacks_room(&self) -> bool {
        matches!(
            self,
            WakeCondition::Room { .. } | WakeCondition::Reserve { .. }
        )
    }

    /// Returns whether a worker that can start more tasks than before meets the condition.
    fn is_met_by(&self, agent: &AgentView) -> bool {
        let Some(worker) = &agent.worker else {
            return false;
        };
        let offers = |needs: &Resources, label: &Option<String>| {
            let room = agent.room.as_ref().filter(|room| room.is_listed());
            room.is_some_and(|room| needs.fits_into(room.free()))
                && has_required_label(&worker.labels, label.as_ref())
        };
        match self {
            WakeCondition::Room { needs, label } => offers(needs, label),
            WakeCondition::RoomElsewhere {
                job,
                step,
                needs,
                label,
                max_per_worker,
            } => offers(needs, label) && below_worker_limit(agent, *job, *step, *max_per_worker),
            WakeCondition::RunEnd { .. }
            | WakeCondition::Reserve { .. }
            | WakeCondition::Time { .. }
            | WakeCondition::Rack { .. } => false,
        }
    }
}

/// A step that was set aside.
#[derive(Debug)]
struct SetAside {
    rank: StepRank,
    condition: WakeCondition,
    /// Millicores that its ready tasks need.
    millicores: u64,
}

/// Waiting steps of one queue: those that are tried with the next placement, and those that were set aside.
#[derive(Debug, Default)]
pub(super) struct WaitingSteps {
    awake: BTreeSet<StepRank>,
    set_aside: HashMap<(JobId, u16), SetAside>,
    by_condition: BTreeMap<WakeCondition, BTreeSet<StepRank>>,
    /// Millicores that the ready tasks of the steps that were set aside need.
    aside_millicores: u64,
    /// Condition that the sweep has checked last, if some are left.
    checked: Option<WakeCondition>,
}

impl WaitingSteps {
    /// Returns the step that is tried next.
    pub(super) fn first_awake(&self) -> Option<StepRank> {
        self.awake.first().copied()
    }

    /// Returns the number of steps that are tried with the next placement, and of those that were set aside.
    pub(super) fn counts(&self) -> (usize, usize) {
        (self.awake.len(), self.set_aside.len())
    }

    /// Returns the millicores that the ready tasks of the steps that were set aside need.
    pub(super) fn aside_millicores(&self) -> u64 {
        self.aside_millicores
    }

    /// Adds a step, or wakes it if it was set aside.
    pub(super) fn insert(&mut self, rank: StepRank) {
        self.remove(&rank);
        self.awake.insert(rank);
    }

    /// Removes a step.
    pub(super) fn remove(&mut self, rank: &StepRank) {
        self.wake(rank.job, rank.step);
        self.awake.remove(rank);
    }

    /// Sets a step aside whose ready tasks need `millicores`.
    pub(super) fn set_aside(&mut self, rank: StepRank, condition: WakeCondition, millicores: u64) {
        self.remove(&rank);
        self.aside_millicores += millicores;
        let same = self.by_condition.entry(condition.clone()).or_default();
        same.insert(rank);
        let aside = SetAside {
            rank,
            condition,
            millicores,
        };
        self.set_aside.insert((rank.job, rank.step), aside);
    }

    /// Wakes a step if it was set aside.
    pub(super) fn wake(&mut self, job: JobId, step: u16) {
        let Some(aside) = self.set_aside.remove(&(job, step)) else {
            return;
        };
        self.aside_millicores -= aside.millicores;
        if let Some(same) = self.by_condition.get_mut(&aside.condition) {
            same.remove(&aside.rank);
            if same.is_empty() {
                self.by_condition.remove(&aside.condition);
            }
        }
        self.awake.insert(aside.rank);
    }

    /// Wakes a step that waits for the end of one of its own runs.
    pub(super) fn run_ended(&mut self, job: JobId, step: u16) {
        let aside = self.set_aside.get(&(job, step));
        let waits_for_run = aside.is_some_and(|aside| {
            matches!(
                aside.condition,
                WakeCondition::RunEnd { .. } | WakeCondition::RoomElsewhere { .. }
            )
        });
        if waits_for_run {
            self.wake(job, step);
        }
    }

    /// Wakes the first step with this condition.
    pub(super) fn wake_first(&mut self, condition: &WakeCondition) {
        let same = self.by_condition.get(condition);
        if let Some(rank) = same.and_then(|same| same.first()).copied() {
            self.wake(rank.job, rank.step);
        }
    }

    /// Wakes the steps with a limit for each worker that a worker which can start more tasks than before may take: the
    /// first of those with a common condition. `joined` tells whether the worker took no tasks before.
    fn wake_limited(&mut self, agent: &AgentView, joined: bool) {
        let mut limit_checks = 0;
        let mut met = Vec::new();
        for condition in self.by_condition.keys() {
            let is_met = match condition {
                WakeCondition::Room { .. } => continue,
                WakeCondition::RoomElsewhere { .. } => {
                    limit_checks += 1;
                    condition.is_met_by(agent)
                }
                WakeCondition::RunEnd { .. } => joined,
                WakeCondition::Reserve { .. }
                | WakeCondition::Time { .. }
                | WakeCondition::Rack { .. } => break,
            };
            if is_met {
                met.push(condition.clone());
            }
            if !joined && limit_checks >= MAX_LIMIT_CHECKS {
                break;
            }
        }
        for condition in met {
            self.wake_first(&condition);
        }
    }

    /// Wakes the first of the steps that wait for room which the worker has. Returns whether there is one.
    fn wake_for_room(&mut self, agent: &AgentView) -> bool {
        let for_room = self
            .by_condition
            .iter()
            .take_while(|(condition, _)| matches!(condition, WakeCondition::Room { .. }));
        let met = for_room.filter(|(condition, _)| condition.is_met_by(agent));
        let first = met.filter_map(|(_, same)| same.first()).min().copied();
        if let Some(rank) = first {
            self.wake(rank.job, rank.step);
        }
        first.is_some()
    }

    /// Wakes the steps whose time has come.
    fn time_passed(&mut self, now: Timestamp) {
        let start = WakeCondition::Time {
            at: Timestamp::ZERO,
        };
        let end = WakeCondition::Time { at: now };
        let due = self.by_condition.range(start..=end);
        let due: Vec<StepRank> = due.flat_map(|(_, same)| same).copied().collect();
        for rank in due {
            self.wake(rank.job, rank.step);
        }
    }

    /// Returns the millicores of the smallest task that waits for the reserve.
    fn smallest_reserved(&self) -> Option<u32> {
        let start = WakeCondition::Reserve { millicores: 0 };
        match self.by_condition.range(start..).next() {
            Some((WakeCondition::Reserve { millicores }, _)) => Some(*millicores),
            _ => None,
        }
    }

    /// Returns the first step for each of the next [`MAX_WAKE_CHECKS`] conditions, so that each has its turn.
    fn next_checks(&mut self) -> Vec<(WakeCondition, StepRank)> {
        let start = self.checked.take().map_or(Unbounded, Excluded);
        let with_first = |(condition, same): (&WakeCondition, &BTreeSet<StepRank>)| {
            same.first().map(|rank| (condition.clone(), *rank))
        };
        let next = self.by_condition.range((start, Unbounded));
        let checks: Vec<_> = next.filter_map(with_first).take(MAX_WAKE_CHECKS).collect();
        if checks.len() == MAX_WAKE_CHECKS {
            self.checked = checks.last().map(|(condition, _)| condition.clone());
        }
        checks
    }
}

impl Dispatcher {
    /// Sets a step aside until the condition is met, and wakes the next one that waits for the same room.
    pub(super) fn set_aside(&mut self, key: BacklogKey, rank: StepRank, condition: WakeCondition) {
        let job = &self.jobs[&rank.job];
        let number = usize::from(rank.step);
        let step = &job.spec.steps[number];
        let tasks = job.steps[number].ready_tasks.len() as u64;
        let waiting = &mut self.backlogs[key].waiting;
        let lacks_room = condition.lacks_room();
        let millicores = u64::from(step.needs.millicores) * tasks;
        log::debug!(
            "E694 step was set aside job={} step={} tasks={tasks} condition={condition:?}",
            rank.job,
            rank.step
        );
        waiting.set_aside(rank, condition, millicores);
        if !lacks_room {
            waiting.wake_first(&WakeCondition::room(step));
        }
    }

    /// Returns what a step waits for that no worker can start a task of now.
    pub(super) fn wait_condition(
        &self,
        now: Timestamp,
        key: BacklogKey,
        rank: StepRank,
        step: &Step,
    ) -> WakeCondition {
        let (job, number) = (rank.job, rank.step);
        let pool = &self.backlogs[key].pool;
        let unlimited = Step {
            max_per_worker: 0,
            ..step.clone()
        };
        let lacks_room = step.max_per_worker == 0
            || self
                .choose_agent(now, job, number, pool, &unlimited, None)
                .is_none();
        if lacks_room {
            return WakeCondition::room(step);
        }
        match self.is_limit_reached(pool, job, number, step.max_per_worker) {
            true => WakeCondition::RunEnd { job, step: number },
            false => WakeCondition::RoomElsewhere {
                job,
                step: number,
                needs: step.needs,
                label: step.label.clone(),
                max_per_worker: step.max_per_worker,
            },
        }
    }

    /// Returns whether every worker that takes tasks has as many runs of the step as allowed.
    fn is_limit_reached(&self, pool: &str, job: JobId, number: u16, limit: u32) -> bool {
        let mut at_limit: HashSet<AgentKey> = HashSet::new();
        for (_, agents) in self.placed_tasks.range(task_range(job, number)) {
            at_limit.extend(agents.iter().filter(|key| {
                let agent = &self.agents[**key];
                let is_listed = agent.room.as_ref().is_some_and(|room| room.is_in(pool));
                is_listed && !below_worker_limit(agent, job, number, limit)
            }));
        }
        let workers = self.pools.get(pool).map_or(0, |pool| pool.worker_count());
        at_limit.len() as u64 >= workers
    }

    /// Wakes the steps that a worker may take which has more room, has joined, or takes starts again. Those that wait for
    /// room only are woken with the next placement.
    pub(super) fn worker_gained(&mut self, key: AgentKey, joined: bool) {
        let agent = &self.agents[key];
        let Some(room) = &agent.room else {
            return;
        };
        for backlog in self.backlogs.values_mut() {
            if room.is_in(&backlog.pool) {
                backlog.waiting.wake_limited(agent, joined);
            }
        }
        self.gained_agents.insert(key);
    }

    /// Wakes the first step of each queue that a worker with more room can take, and forgets the workers that can take
    /// none. A step is tried for each free place, not for each step that waits for one.
    pub(super) fn wake_for_room(&mut self) {
        let mut gained = std::mem::take(&mut self.gained_agents);
        gained.retain(|key| {
            let Some(agent) = self.agents.get(*key) else {
                return false;
            };
            let Some(room) = &agent.room else {
                return false;
            };
            let same_pool = self.backlogs.values_mut().filter(|b| room.is_in(&b.pool));
            // Each queue is looked at, whether or not another one has a step for the worker.
            let woken = same_pool.filter_map(|b| b.waiting.wake_for_room(agent).then_some(()));
            woken.count() > 0
        });
        self.gained_agents = gained;
    }

    /// Wakes the steps that waited for the reserve or for a time, as far as they may be tried now.
    pub(super) fn wake_due(&mut self, now: Timestamp) {
        let mut allowed = Vec::new();
        for (key, backlog) in &mut self.backlogs {
            backlog.waiting.time_passed(now);
            if let Some(millicores) = backlog.waiting.smallest_reserved() {
                allowed.push((key, millicores));
            }
        }
        allowed.retain(|(key, millicores)| self.is_allowed(*key, *millicores));
        for (key, millicores) in allowed {
            let waiting = &mut self.backlogs[key].waiting;
            waiting.wake_first(&WakeCondition::Reserve { millicores });
        }
    }

    /// Wakes the steps that workers may take which were paused, ejected or silent at the check before.
    pub(super) fn wake_for_available(&mut self, since: Timestamp, now: Timestamp) {
        let mut available = Vec::new();
        for (key, agent) in &self.agents {
            let Some(pool) = agent.room.as_ref().and_then(|r| self.pools.get(r.pool())) else {
                continue;
            };
            let at = agent.health.available_at(pool.has_ejection());
            if since < at && at <= now {
                available.push(key);
            }
        }
        for key in available {
            self.worker_gained(key, true);
        }
    }

    /// Wakes steps that were set aside although a task of them can be started, for some conditions of each queue in turn.
    /// Such a step is a missed wake-up, unless [`MAX_LIMIT_CHECKS`] left its condition out.
    ///
    /// # Panics
    /// Panics on a missed wake-up in debug builds.
    pub(super) fn wake_missed(&mut self, now: Timestamp) {
        let mut missed = Vec::new();
        for key in self.backlogs.keys().collect::<Vec<_>>() {
            let waiting = &mut self.backlogs[key].waiting;
            let has_reserved = waiting.smallest_reserved().is_some();
            let checks = waiting.next_checks();
            let backlog = &self.backlogs[key];
            for (condition, rank) in checks {
                if matches!(
                    condition,
                    WakeCondition::Reserve { .. }
                        | WakeCondition::Time { .. }
                        | WakeCondition::Rack { .. }
                ) {
                    break;
                }
                let spec = &self.jobs[&rank.job].spec;
                let step = &spec.steps[usize::from(rank.step)];
                let can_start = self.is_allowed(key, step.needs.millicores)
                    && self
                        .choose_agent(now, rank.job, rank.step, &backlog.pool, step, None)
                        .is_some();
                if can_start {
                    missed.push((key, rank, condition, has_reserved));
                }
            }
        }
        for (key, rank, condition, has_reserved) in missed {
            // The reserve may have changed since the step was tried.
            if !has_reserved && !matches!(condition, WakeCondition::RoomElsewhere { .. }) {
                log::warn!(
                    "E693 step was not woken although it can start job={} step={} \
                     condition={condition:?} term={}",
                    rank.job,
                    rank.step,
                    self.term
                );
                // The limit of cold workers follows the load of the warm ones, which wakes no step.
                debug_assert!(
                    self.limits.cold.is_some(),
                    "missed wake-up of {rank:?}, {condition:?}"
                );
            }
            self.backlogs[key].waiting.wake(rank.job, rank.step);
        }
    }
}
