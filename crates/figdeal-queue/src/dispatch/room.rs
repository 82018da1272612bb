//! Index of the free room of the workers, so that the work to place a task does not grow with the fleet.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    time::Duration,
};

use figdeal_core::time::Timestamp;

use super::{
    AGENT_SILENCE_TIMEOUT, AgentKey, AgentView, Dispatcher, Limits, RackKey,
    backlog::BacklogKey,
    overload::{PoolRoom, millis},
};
use crate::job::{JobId, Resources, Step};

/// Number of workers with room that are compared for one task.
const MAX_CANDIDATES: usize = 64;
/// Largest fraction of the workers of a pool that may be ejected at a time.
const MAX_EJECTED_FRACTION: f64 = 0.5;

/// What workers that are alike offer.
#[derive(Debug)]
struct WorkerKind {
    capacity: Resources,
    labels: Vec<String>,
}

/// Workers of one pool.
#[derive(Debug, Default)]
pub(super) struct Pool {
    /// Agents whose workers may take tasks, by free millicores.
    by_free: BTreeMap<u32, Vec<AgentKey>>,
    /// Capacities and labels of all workers, without duplicates.
    kinds: Vec<WorkerKind>,
    /// Number of the workers that take tasks.
    worker_count: u64,
    /// Millicores of the workers that take tasks.
    total_millicores: u64,
    /// Millicores of these workers that no run uses.
    free_millicores: u64,
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
        keys.retain(|k| *k != key);
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

    /// Returns the number of workers that take tasks.
    pub(super) fn worker_count(&self) -> u64 {
        self.worker_count
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
        let can_run = |kind: &WorkerKind| {
            step.needs.fits_into(kind.capacity) && has_required_label(&kind.labels, step)
        };
        self.kinds.iter().any(can_run)
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
}

/// Returns whether the worker may take tasks, apart from pauses, ejection and silence.
fn is_usable(agent: &AgentView) -> bool {
    let draining = agent.worker.as_ref().is_none_or(|w| w.draining);
    agent.registered && agent.runs_known && !draining
}

fn is_reachable(agent: &AgentView, now: Timestamp) -> bool {
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
        let agent = &mut self.agents[key];
        let usable = agent.worker.as_ref().filter(|_| is_usable(agent));
        let entry = usable.map(|worker| RoomEntry {
            pool: worker.pool.clone(),
            free: worker.capacity.saturating_sub(agent.used),
            capacity: worker.capacity,
        });
        if agent.room == entry {
            return;
        }
        let previous = std::mem::replace(&mut agent.room, entry.clone());
        self.update_rack_room(key, previous.as_ref());
        if let Some(previous) = previous {
            let pool = self.pools.entry(previous.pool).or_default();
            pool.remove(previous.free.millicores, key);
            pool.worker_count -= 1;
            pool.total_millicores -= u64::from(previous.capacity.millicores);
            pool.free_millicores -= u64::from(previous.free.millicores);
        }
        if let Some(entry) = entry {
            let pool = self.pools.entry(entry.pool).or_default();
            pool.by_free
                .entry(entry.free.millicores)
                .or_default()
                .push(key);
            pool.worker_count += 1;
            pool.total_millicores += u64::from(entry.capacity.millicores);
            pool.free_millicores += u64::from(entry.free.millicores);
        }
    }

    /// Collects what all workers offer again, also those that take no tasks at the moment.
    pub(super) fn refresh_kinds(&mut self) {
        for pool in self.pools.values_mut() {
            pool.kinds.clear();
        }
        let mut seen = HashSet::new();
        for worker in self.agents.values().filter_map(|a| a.worker.as_ref()) {
            if seen.insert((&worker.pool, worker.capacity, &worker.labels)) {
                let pool = self.pools.entry(worker.pool.clone()).or_default();
                pool.kinds.push(WorkerKind {
                    capacity: worker.capacity,
                    labels: worker.labels.clone(),
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
            pool.ejection_suspended = suspended;
        }
    }

    /// Returns the room of a pool for its active queues, to which a queue with the priority `added` is counted.
    pub(super) fn pool_room(&self, name: &str, added: Option<u8>) -> PoolRoom {
        let active = self
            .backlogs
            .values()
            .filter(|b| b.pool == name && b.is_active());
        let priorities: Vec<u8> = active.map(|b| b.priority).chain(added).collect();
        let pool = self.pools.get(name);
        PoolRoom::new(
            pool.map_or(0, |p| p.total_millicores),
            pool.map_or(0, |p| p.free_millicores),
            &priorities,
        )
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
        let own = agent.health.score() * agent.remote_factor(step, self.limits);
        match self.is_in_contended_rack(agent, rack) {
            true => own * self.limits.remote_factor,
            false => own,
        }
    }

    /// Returns by which factor a run of the step takes longer at this agent because of the place of its data.
    pub(super) fn remote_factor(&self, key: AgentKey, step: &Step) -> f64 {
        self.agents[key].remote_factor(step, self.limits)
    }

    /// Returns the agent with the lowest score among those that can start a task of step `number` now. Among equal
    /// scores, the worker with the least room is taken, which leaves room for larger tasks elsewhere.
    pub(super) fn choose_agent(
        &self,
        now: Timestamp,
        id: JobId,
        number: u16,
        pool: &str,
        step: &Step,
        rack: Option<RackKey>,
    ) -> Option<AgentKey> {
        let pool = self.pools.get(pool)?;
        let with_ejection = !pool.ejection_suspended;
        let fits = |agent: &AgentView| {
            let free = agent.room.as_ref().map(|room| room.free);
            let worker = agent.worker.as_ref();
            free.is_some_and(|free| step.needs.fits_into(free))
                && is_reachable(agent, now)
                && agent.health.is_available(now, with_ejection)
                && worker.is_some_and(|w| has_required_label(&w.labels, step))
                && below_worker_limit(agent, id, number, step.max_per_worker)
        };
        let with_room = pool.by_free.range(step.needs.millicores..);
        let candidates = with_room
            .flat_map(|(_, keys)| keys)
            .copied()
            .filter(|key| fits(&self.agents[*key]))
            .take(MAX_CANDIDATES);
        // The workers of the rack need not be among the first with room.
        let in_rack = rack.and_then(|rack| self.racks.get(rack)).into_iter();
        let in_rack = in_rack
            .flat_map(|rack| rack.by_free.range(step.needs.millicores..))
            .flat_map(|(_, keys)| keys)
            .copied()
            .filter(|key| fits(&self.agents[*key]))
            .take(MAX_CANDIDATES);
        let score = |key: AgentKey| (self.score(key, step, rack), key);
        let scores = in_rack.chain(candidates).map(score);
        let best = scores.min_by(|a, b| a.0.total_cmp(&b.0));
        best.map(|(_, key)| key)
    }
}

fn has_required_label(labels: &[String], step: &Step) -> bool {
    step.label.as_ref().is_none_or(|l| labels.contains(l))
}

/// Returns whether the worker may run another task of the step.
fn below_worker_limit(agent: &AgentView, id: JobId, number: u16, limit: u32) -> bool {
    let runs = agent.placed.keys();
    limit == 0 || runs.filter(|t| t.job == id && t.step == number).count() < limit as usize
}
