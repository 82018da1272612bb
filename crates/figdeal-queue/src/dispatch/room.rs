//! Index of the free room of the workers, so that the work to place a task does not grow with the fleet.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, HashSet},
    ops::RangeInclusive,
    time::Duration,
};

use figdeal_core::time::Timestamp;

use super::{
    AGENT_SILENCE_TIMEOUT, AgentKey, AgentView, Dispatcher, Limits, RackKey,
    backlog::BacklogKey,
    cold, evacuation,
    overload::{PoolRoom, millis},
};
use crate::job::{JobId, Resources, Step, TaskId};

/// Number of workers with room that are compared for one task.
pub(super) const MAX_CANDIDATES: usize = 24;
/// Largest fraction of the workers of a pool that may be ejected at a time.
const MAX_EJECTED_FRACTION: f64 = 0.5;

/// What workers that are alike offer.
#[derive(Debug)]
struct WorkerKind {
    capacity: Resources,
    labels: Vec<String>,
    /// Whether the workers are in an evacuated data centre.
    evacuated: bool,
}

impl WorkerKind {
    fn can_run(&self, step: &Step) -> bool {
        let has_label = has_required_label(&self.labels, step.label.as_ref());
        step.needs.fits_into(self.capacity) && has_label
    }
}

/// Workers of one pool.
#[derive(Debug, Default)]
pub(super) struct Pool {
    /// Agents whose workers may take tasks, by free millicores.
    by_free: BTreeMap<u32, BTreeSet<AgentKey>>,
    /// Capacities and labels of all workers, without duplicates.
    kinds: Vec<WorkerKind>,
    /// Number of the workers that take tasks.
    worker_count: u64,
    /// Millicores of the workers that take tasks.
    total_millicores: u64,
    /// Millicores of these workers that no run uses.
    free_millicores: u64,
    /// Part of `free_millicores` at the last sweep that was on ejected and unreachable workers.
    withheld_millicores: u64,
    /// Number of the workers that take tasks and are not cold.
    warm_count: u64,
    /// Number of the runs of these workers.
    warm_runs: u64,
    /// Racks of its workers that hold the data of steps, by label.
    pub(super) racks: HashMap<String, RackKey>,
    /// Whether so many workers are slow or fail that the tasks must be the cause. None is ejected then.
    ejection_suspended: bool,
}

impl Pool {
    fn remove(&mut self, free: u32, key: AgentKey) {
        let Some(keys) = self.by_free.get_mut(&free) else {
            return;
        };
        keys.remove(&key);
        if keys.is_empty() {
            self.by_free.remove(&free);
        }
    }

    /// Returns the number of workers that take tasks, and their total and free millicores.
    pub(super) fn totals(&self) -> (u64, u64, u64) {
        (
            self.worker_count,
            self.total_millicores,
            self.free_millicores,
        )
    }

    /// Returns the number of warm workers that take tasks, and the number of their runs.
    pub(super) fn warm(&self) -> (u64, u64) {
        (self.warm_count, self.warm_runs)
    }

    /// Returns the number of workers that take tasks.
    pub(super) fn worker_count(&self) -> u64 {
        self.worker_count
    }

    /// Returns whether workers that fail or are slow are ejected.
    pub(super) fn has_ejection(&self) -> bool {
        !self.ejection_suspended
    }

    /// Returns whether the pool has workers, but none that is large enough even when it is idle.
    pub(super) fn is_too_small(&self, needs: Resources) -> bool {
        self.has_workers() && !self.kinds.iter().any(|k| needs.fits_into(k.capacity))
    }

    /// Returns whether the pool has workers, whether or not they take tasks at the moment.
    pub(super) fn has_workers(&self) -> bool {
        !self.kinds.is_empty()
    }

    /// Returns whether a worker of the pool has the label.
    pub(super) fn has_label(&self, label: &String) -> bool {
        self.kinds.iter().any(|kind| kind.labels.contains(label))
    }

    /// Returns whether a worker of the pool can run a task of the step when it is idle.
    pub(super) fn can_run(&self, step: &Step) -> bool {
        self.kinds.iter().any(|kind| kind.can_run(step))
    }

    /// Returns whether a worker outside the evacuated data centres can run a task of the step when it is idle.
    pub(super) fn can_place(&self, step: &Step) -> bool {
        let mut kinds = self.kinds.iter().filter(|kind| !kind.evacuated);
        kinds.any(|kind| kind.can_run(step))
    }
}

/// Pools by name.
pub(super) type Pools = HashMap<String, Pool>;

/// Where an agent is listed in the index.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct RoomEntry {
    pool: String,
    pub(super) free: Resources,
    pub(super) capacity: Resources,
    runs: u64,
    is_cold: bool,
    /// Whether the agent can carry out another start.
    takes_starts: bool,
}

impl RoomEntry {
    pub(super) fn pool(&self) -> &str {
        &self.pool
    }

    pub(super) fn is_in(&self, pool: &str) -> bool {
        self.pool == pool
    }

    /// Returns what no run uses.
    pub(super) fn free(&self) -> Resources {
        self.free
    }

    /// Returns whether the worker is listed among those with room.
    pub(super) fn is_listed(&self) -> bool {
        self.takes_starts
    }

    /// Returns whether the worker can start tasks that it could not start before.
    fn has_gained(&self, before: Option<&RoomEntry>) -> bool {
        let grew = |before: &RoomEntry| {
            let was_limited = !before.takes_starts || (before.is_cold && !self.is_cold);
            was_limited || !self.free.fits_into(before.free) || before.pool != self.pool
        };
        self.takes_starts && before.is_none_or(grew)
    }
}

/// Returns whether the worker may take tasks, apart from pauses, ejection and silence.
fn is_usable(agent: &AgentView) -> bool {
    let draining = agent.worker.as_ref().is_none_or(|w| w.draining);
    agent.registered && agent.runs_known && !draining
}

pub(super) fn is_reachable(agent: &AgentView, now: Timestamp) -> bool {
    agent.heard_at + AGENT_SILENCE_TIMEOUT > now
}

impl AgentView {
    /// Returns by which factor a run of the step takes longer on the worker because of the place of its data.
    pub(super) fn remote_factor(&self, step: &Step, limits: Limits) -> f64 {
        let labels = self.worker.as_ref().map_or(&[][..], |w| &w.labels);
        match step.rack.as_ref().is_some_and(|r| !labels.contains(r)) {
            true => limits.remote_factor,
            false => 1.0,
        }
    }
}

impl Dispatcher {
    /// Brings the index up to date after a change of an agent, its worker or its runs.
    pub(super) fn update_room(&mut self, key: AgentKey) {
        let agent = &self.agents[key];
        let may_start = is_usable(agent) && !self.is_evacuated(agent);
        let usable = agent.worker.as_ref().filter(|_| may_start);
        let entry = usable.map(|worker| RoomEntry {
            pool: worker.pool.clone(),
            free: worker.capacity.saturating_sub(agent.used),
            capacity: worker.capacity,
            runs: agent.placed.len() as u64,
            is_cold: agent.cold_until.is_some(),
            takes_starts: agent.start_flow.is_open(),
        });
        let agent = &mut self.agents[key];
        if agent.room == entry {
            return;
        }
        let previous = std::mem::replace(&mut agent.room, entry.clone());
        let gained = entry
            .as_ref()
            .is_some_and(|entry| entry.has_gained(previous.as_ref()));
        let joined = previous.is_none();
        self.update_rack_room(key, previous.as_ref());
        if let Some(previous) = previous {
            let pool = self.pools.entry(previous.pool).or_default();
            pool.remove(previous.free.millicores, key);
            pool.worker_count -= 1;
            pool.total_millicores -= u64::from(previous.capacity.millicores);
            pool.free_millicores -= u64::from(previous.free.millicores);
            if !previous.is_cold {
                pool.warm_count -= 1;
                pool.warm_runs -= previous.runs;
            }
        }
        if let Some(entry) = entry {
            let pool = self.pools.entry(entry.pool).or_default();
            if entry.takes_starts {
                let same_free = pool.by_free.entry(entry.free.millicores);
                same_free.or_default().insert(key);
            }
            pool.worker_count += 1;
            pool.total_millicores += u64::from(entry.capacity.millicores);
            pool.free_millicores += u64::from(entry.free.millicores);
            if !entry.is_cold {
                pool.warm_count += 1;
                pool.warm_runs += entry.runs;
            }
        }
        if gained {
            self.worker_gained(key, joined);
        }
    }

    /// Collects what all workers offer again, also those that take no tasks at the moment.
    pub(super) fn refresh_kinds(&mut self) {
        for pool in self.pools.values_mut() {
            pool.kinds.clear();
        }
        let mut seen = HashSet::new();
        for worker in self.agents.values().filter_map(|a| a.worker.as_ref()) {
            let evacuated = evacuation::covers(&self.evacuated, worker);
            if seen.insert((&worker.pool, worker.capacity, &worker.labels, evacuated)) {
                let pool = self.pools.entry(worker.pool.clone()).or_default();
                pool.kinds.push(WorkerKind {
                    capacity: worker.capacity,
                    labels: worker.labels.clone(),
                    evacuated,
                });
            }
        }
    }

    /// Suspends ejection in the pools in which more workers than [`MAX_EJECTED_FRACTION`] allows would be ejected.
    pub(super) fn limit_ejection(&mut self, now: Timestamp) {
        let mut ejected: HashMap<&str, u64> = HashMap::new();
        for agent in self.agents.values().filter(|a| a.health.is_ejected()) {
            if let Some(room) = &agent.room {
                *ejected.entry(&room.pool).or_default() += 1;
            }
        }
        let mut reopened = HashSet::new();
        for (name, pool) in &mut self.pools {
            let count = ejected.get(name.as_str()).copied().unwrap_or(0);
            let suspended = count as f64 > pool.worker_count as f64 * MAX_EJECTED_FRACTION;
            if suspended != pool.ejection_suspended {
                log::info!(
                    "E638 ejection changed pool={name} suspended={suspended} ejected={count} \
                     workers={} after_ms={}",
                    pool.worker_count,
                    now.since(self.leading_since).as_millis()
                );
            }
            if suspended && !pool.ejection_suspended {
                reopened.insert(name.clone());
            }
            pool.ejection_suspended = suspended;
        }
        let is_reopened = |agent: &AgentView| {
            let room = agent.room.as_ref();
            room.is_some_and(|room| reopened.contains(&room.pool))
        };
        let agents = self.agents.iter().filter(|(_, agent)| is_reopened(agent));
        for key in agents.map(|(key, _)| key).collect::<Vec<_>>() {
            self.worker_gained(key, true);
        }
    }

    /// Counts the free room of workers that get no tasks at present. Without that, a job would be accepted for room that
    /// it cannot have, wait in vain and be late.
    pub(super) fn count_withheld_room(&mut self, now: Timestamp) {
        for pool in self.pools.values_mut() {
            pool.withheld_millicores = 0;
        }
        for agent in self.agents.values() {
            let Some(room) = &agent.room else {
                continue;
            };
            let Some(pool) = self.pools.get_mut(&room.pool) else {
                continue;
            };
            let is_ejected = agent.health.is_ejected() && pool.has_ejection();
            if is_ejected || !is_reachable(agent, now) {
                pool.withheld_millicores += u64::from(room.free.millicores);
            }
        }
    }

    /// Returns the room of a pool for its active queues, to which a queue with the priority `added` is counted.
    pub(super) fn pool_room(&self, name: &str, added: Option<u8>) -> PoolRoom {
        let active = self
            .backlogs
            .values()
            .filter(|b| b.pool == name && b.is_active());
        let priorities: Vec<u8> = active.map(|b| b.priority).chain(added).collect();
        let (total, free) = self.pools.get(name).map_or((0, 0), |pool| {
            let withheld = pool.withheld_millicores.min(pool.free_millicores);
            let total = pool.total_millicores - withheld;
            (total, pool.free_millicores - withheld)
        });
        PoolRoom::new(total, free, &priorities)
    }

    /// Returns the rack of a step's data, if it is known.
    pub(super) fn known_rack(&self, pool: &str, step: &Step) -> Option<RackKey> {
        let racks = &self.pools.get(pool)?.racks;
        racks.get(step.rack.as_ref()?).copied()
    }

    /// Returns how long a run of the step is expected to take at this agent.
    pub(super) fn expected_run_time(
        &self,
        key: AgentKey,
        backlog: BacklogKey,
        step: &Step,
    ) -> Duration {
        let agent = &self.agents[key];
        let ratio = self.backlogs[backlog].run_time_ratio.value();
        let factor = ratio * agent.health.run_time_ratio() * self.remote_factor(key, step);
        millis(f64::from(step.estimate_ms) * factor)
    }

    /// Returns the score of an agent for a task of the step; lower is better. It grows with the expected end of the run,
    /// and for workers of racks that other tasks need more.
    fn score(&self, key: AgentKey, step: &Step, rack: Option<RackKey>) -> f64 {
        let agent = &self.agents[key];
        let own = agent.health.score()
            * agent.remote_factor(step, self.limits)
            * cold::run_time_factor(agent);
        match self.is_in_contended_rack(agent, rack) {
            true => own * self.limits.remote_factor,
            false => own,
        }
    }

    /// Returns by which factor a run of the step takes longer at this agent because of the place of its data.
    pub(super) fn remote_factor(&self, key: AgentKey, step: &Step) -> f64 {
        self.agents[key].remote_factor(step, self.limits)
    }

    /// Returns the agent with the lowest score among those that can start a task of step `number` now, other than
    /// `excluded`. Compared are the workers with the least and with the most room, at most [`MAX_CANDIDATES`], and as many
    /// in the rack of the data. Among equal scores the least room wins, which leaves room for larger tasks elsewhere.
    pub(super) fn choose_agent(
        &self,
        now: Timestamp,
        id: JobId,
        number: u16,
        pool: &str,
        step: &Step,
        excluded: Option<AgentKey>,
    ) -> Option<AgentKey> {
        let rack = self.known_rack(pool, step);
        let pool = self.pools.get(pool)?;
        let with_ejection = !pool.ejection_suspended;
        let fits = |agent: &AgentView| {
            let room = agent.room.as_ref().filter(|room| room.is_listed());
            let worker = agent.worker.as_ref();
            room.is_some_and(|room| step.needs.fits_into(room.free))
                && is_reachable(agent, now)
                && self.is_below_cold_limit(pool, agent)
                && agent.health.is_available(now, with_ejection)
                && worker.is_some_and(|w| has_required_label(&w.labels, step.label.as_ref()))
                && below_worker_limit(agent, id, number, step.max_per_worker)
        };
        let can_start = |key: &AgentKey| Some(*key) != excluded && fits(&self.agents[*key]);
        let with_room = || {
            let by_room = pool.by_free.range(step.needs.millicores..);
            by_room
                .flat_map(|(_, keys)| keys)
                .copied()
                .filter(can_start)
        };
        // Fast workers have the least room under load and the most after it.
        let fullest = with_room().take(MAX_CANDIDATES / 2);
        let emptiest = with_room().rev().take(MAX_CANDIDATES / 2);
        // The workers of the rack need not be among these.
        let in_rack = rack.and_then(|rack| self.racks.get(rack)).into_iter();
        let in_rack = in_rack
            .flat_map(|rack| rack.by_free.range(step.needs.millicores..))
            .flat_map(|(_, keys)| keys)
            .copied()
            .filter(can_start)
            .take(MAX_CANDIDATES);
        let score = |key: AgentKey| (self.score(key, step, rack), key);
        let scores = in_rack.chain(fullest).chain(emptiest).map(score);
        let best = scores.min_by(|a, b| a.0.total_cmp(&b.0));
        best.map(|(_, key)| key)
    }
}

/// Returns whether a worker with these labels has the one that is required, if any.
pub(super) fn has_required_label(labels: &[String], required: Option<&String>) -> bool {
    required.is_none_or(|label| labels.contains(label))
}

/// Returns the identities of all tasks of a step.
pub(super) fn task_range(job: JobId, step: u16) -> RangeInclusive<TaskId> {
    let task = |index| TaskId { job, step, index };
    task(0)..=task(u32::MAX)
}

/// Returns whether the worker may run another task of the step.
pub(super) fn below_worker_limit(agent: &AgentView, id: JobId, number: u16, limit: u32) -> bool {
    if limit == 0 {
        return true;
    }
    let limit = limit as usize;
    let runs = agent.placed.range(task_range(id, number));
    runs.take(limit).count() < limit
}
