//! Racks that hold the data of steps: an index of their room, what runs in them, and which steps wait for them.
//!
//! All sums are kept up to date with each run, so a decision looks at no runs. A rack is known from the first time that
//! a step names it while a worker has its label.

use std::{collections::BTreeMap, time::Duration};

use figdeal_core::time::Timestamp;
use slotmap::new_key_type;

use super::{
    AgentKey, AgentView, Dispatcher, PlacedRun, SWEEP_INTERVAL,
    backlog::{BacklogKey, StepRank, rank},
    cold,
    locality::{
        Choice, MIN_RECONSIDER_DELAY, RackLoad, expected_wait, is_contended,
        misses_goal_everywhere, wait_end,
    },
    overload::{decayed_peak, millis},
    room::{MAX_CANDIDATES, RoomEntry, is_reachable},
};
use crate::job::{JobId, JobSpec, Step};

/// Number of workers of a rack whose speed is averaged for the expected run time in it.
const MAX_SPEED_SAMPLES: usize = 16;
/// Number of waiting steps that are summed for an estimate; if more are before a step, all are assumed to be.
const MAX_SUMMED_WAITS: usize = 128;
/// Time after the latest start of a step within which the sweep has refused its job.
const REFUSAL_DELAY: Duration = SWEEP_INTERVAL.saturating_add(Duration::from_millis(10));
/// A run that takes longer than expected is assumed to go on for its time so far divided by this.
const OVERDUE_DIVISOR: u32 = 2;

new_key_type! {
    /// Key of a rack.
    pub(super) struct RackKey;
}

/// A step that waits for its rack.
#[derive(Debug, Clone, Copy)]
pub(super) struct RackWait {
    /// Time after which the step no longer waits.
    pub(super) until: Timestamp,
    rack: RackKey,
    rank: StepRank,
    /// Its ready tasks.
    demand: Demand,
}

impl RackWait {
    pub(super) fn rack(self) -> RackKey {
        self.rack
    }
}

/// Numbers of waits that ended with a start in the rack, and of those that ended with a start elsewhere.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RackWaitCounts {
    /// Steps that started in their rack after a wait.
    pub local: u64,
    /// Steps that started elsewhere after a wait.
    pub gave_up: u64,
}

/// Workers of a pool with the label of a rack.
#[derive(Debug)]
pub(super) struct Rack {
    name: String,
    /// Agents whose workers may take tasks, by free millicores.
    pub(super) by_free: BTreeMap<u32, Vec<AgentKey>>,
    total_millicores: u64,
    free_millicores: u64,
    running_millicores: u64,
    /// Sum over the runs of millicores times expected end in microseconds.
    running_ends: u128,
    /// Millicores of the runs whose data is in the rack.
    local_millicores: u64,
    /// Most millicores that runs and waiting tasks whose data is in the rack needed recently.
    peak_millicores: u64,
    was_contended: bool,
    /// Waiting steps, by latest start.
    waiting: BTreeMap<(Timestamp, BacklogKey, StepRank), Demand>,
    /// Sum over `waiting`.
    demand: Demand,
}

/// Tasks that wait for a rack.
#[derive(Debug, Clone, Copy, Default)]
struct Demand {
    millicores: u64,
    /// Expected work, in millicores times microseconds.
    work: u128,
}

impl Demand {
    fn add(&mut self, other: Demand) {
        self.millicores += other.millicores;
        self.work += other.work;
    }

    fn subtract(&mut self, other: Demand) {
        self.millicores -= other.millicores;
        self.work -= other.work;
    }
}

impl Rack {
    fn new(name: &str) -> Rack {
        Rack {
            name: name.to_owned(),
            by_free: BTreeMap::new(),
            total_millicores: 0,
            free_millicores: 0,
            running_millicores: 0,
            running_ends: 0,
            local_millicores: 0,
            peak_millicores: 0,
            was_contended: false,
            waiting: BTreeMap::new(),
            demand: Demand::default(),
        }
    }

    /// Returns what waits before a step with this latest start.
    fn demand_before(&self, latest_start: Timestamp) -> Demand {
        let before = self
            .waiting
            .iter()
            .take_while(|((start, ..), _)| *start < latest_start);
        let mut sum = Demand::default();
        for (count, (_, demand)) in before.enumerate() {
            if count == MAX_SUMMED_WAITS {
                return self.demand;
            }
            sum.add(*demand);
        }
        sum
    }

    /// Returns the load for a step with this latest start.
    fn load(&self, now: Timestamp, latest_start: Timestamp) -> RackLoad {
        let before = self.demand_before(latest_start);
        let past = u128::from(self.running_millicores) * u128::from(now.as_micros());
        RackLoad {
            total_millicores: self.total_millicores,
            running_millicores: self.running_millicores,
            running_work: self.running_ends.saturating_sub(past) as f64 / 1_000.0,
            waiting_millicores: before.millicores,
            waiting_work: before.work as f64 / 1_000.0,
        }
    }

    /// Returns whether tasks that could run anywhere should leave the rack to its own.
    pub(super) fn is_contended(&self) -> bool {
        is_contended(self.peak_millicores, self.total_millicores)
    }

    fn record_demand(&mut self) {
        let demand = self.local_millicores + self.demand.millicores;
        self.peak_millicores = self.peak_millicores.max(demand);
    }

    pub(super) fn add_room(&mut self, key: AgentKey, room: &RoomEntry) {
        let free = room.free.millicores;
        self.by_free.entry(free).or_default().push(key);
        self.total_millicores += u64::from(room.capacity.millicores);
        self.free_millicores += u64::from(free);
    }

    pub(super) fn remove_room(&mut self, key: AgentKey, room: &RoomEntry) {
        let free = room.free.millicores;
        if let Some(keys) = self.by_free.get_mut(&free) {
            keys.retain(|k| *k != key);
            if keys.is_empty() {
                self.by_free.remove(&free);
            }
        }
        self.total_millicores -= u64::from(room.capacity.millicores);
        self.free_millicores -= u64::from(free);
    }

    fn add_run(&mut self, own: RackKey, run: &PlacedRun) {
        let millicores = u64::from(run.needs.millicores);
        self.running_millicores += millicores;
        self.running_ends += u128::from(millicores) * u128::from(run.expected_end.as_micros());
        if run.data_rack == Some(own) {
            self.local_millicores += millicores;
            self.record_demand();
        }
    }

    fn remove_run(&mut self, own: RackKey, run: &PlacedRun) {
        let millicores = u64::from(run.needs.millicores);
        self.running_millicores -= millicores;
        self.running_ends -= u128::from(millicores) * u128::from(run.expected_end.as_micros());
        if run.data_rack == Some(own) {
            self.local_millicores -= millicores;
        }
    }

    /// Returns the totals that the audit recounts.
    pub(super) fn totals(&self) -> (u64, u64, u64, u128, usize) {
        (
            self.total_millicores,
            self.free_millicores,
            self.running_millicores,
            self.running_ends,
            self.waiting.len(),
        )
    }
}

impl Dispatcher {
    /// Returns the rack of a step's data, if a worker of the pool has its label.
    pub(super) fn rack_of(&mut self, pool: &str, step: &Step) -> Option<RackKey> {
        let name = step.rack.as_ref()?;
        let pool = self.pools.get_mut(pool)?;
        if let Some(key) = pool.racks.get(name) {
            return Some(*key);
        }
        if !pool.has_label(name) {
            return None;
        }
        let key = self.racks.insert(Rack::new(name));
        pool.racks.insert(name.clone(), key);
        for agent in self.agents.keys().collect::<Vec<_>>() {
            self.update_racks(agent);
        }
        Some(key)
    }

    /// Brings the racks of an agent up to date after a change of its worker, or with a new rack.
    pub(super) fn update_racks(&mut self, key: AgentKey) {
        let agent = &self.agents[key];
        let known = |worker: &crate::message::WorkerInfo| {
            let racks = &self.pools.get(&worker.pool)?.racks;
            let found = worker.labels.iter().filter_map(|l| racks.get(l).copied());
            Some(found.collect::<Vec<RackKey>>())
        };
        let mut racks = agent.worker.as_ref().and_then(known).unwrap_or_default();
        racks.sort_unstable();
        racks.dedup();
        if agent.racks == racks {
            return;
        }
        self.list_in_racks(key, false);
        self.agents[key].racks = racks;
        self.list_in_racks(key, true);
    }

    /// Adds an agent's room and runs to its racks, or removes them.
    pub(super) fn list_in_racks(&mut self, key: AgentKey, add: bool) {
        let agent = &self.agents[key];
        for rack_key in &agent.racks {
            let Some(rack) = self.racks.get_mut(*rack_key) else {
                continue;
            };
            match (&agent.room, add) {
                (Some(room), true) => rack.add_room(key, room),
                (Some(room), false) => rack.remove_room(key, room),
                (None, _) => {}
            }
            for run in agent.placed.values() {
                match add {
                    true => rack.add_run(*rack_key, run),
                    false => rack.remove_run(*rack_key, run),
                }
            }
            self.racks_to_wake.push(*rack_key);
        }
    }

    /// Counts a run in the racks of its agent.
    pub(super) fn add_rack_run(&mut self, key: AgentKey, run: &PlacedRun) {
        for rack in &self.agents[key].racks {
            self.racks[*rack].add_run(*rack, run);
        }
    }

    /// Removes a run from the racks of its agent.
    pub(super) fn remove_rack_run(&mut self, key: AgentKey, run: &PlacedRun) {
        for rack in &self.agents[key].racks {
            self.racks[*rack].remove_run(*rack, run);
        }
    }

    /// Moves an agent's entry in the index of its racks.
    pub(super) fn update_rack_room(&mut self, key: AgentKey, previous: Option<&RoomEntry>) {
        let agent = &self.agents[key];
        for rack_key in &agent.racks {
            let rack = &mut self.racks[*rack_key];
            if let Some(previous) = previous {
                rack.remove_room(key, previous);
            }
            if let Some(room) = &agent.room {
                rack.add_room(key, room);
            }
            if !rack.waiting.is_empty() {
                self.racks_to_wake.push(*rack_key);
            }
        }
    }

    /// Returns whether an agent's worker is in a rack that should be left to the tasks whose data it holds.
    pub(super) fn is_in_contended_rack(&self, agent: &AgentView, own: Option<RackKey>) -> bool {
        let others = agent.racks.iter().filter(|rack| Some(**rack) != own);
        others
            .filter_map(|rack| self.racks.get(*rack))
            .any(Rack::is_contended)
    }

    /// Returns whether a worker in the rack of a step's data has room and takes the next start as soon as it has replied to
    /// the last ones, so that a start elsewhere does not pay off.
    pub(super) fn awaits_start_replies(
        &self,
        now: Timestamp,
        id: JobId,
        number: u16,
        rack: RackKey,
    ) -> bool {
        let job = &self.jobs[&id];
        let needs = job.spec.steps[usize::from(number)].needs;
        let is_busy = |key: &AgentKey| {
            let agent = &self.agents[*key];
            let room = agent.room.as_ref();
            room.is_some_and(|room| !room.is_listed() && needs.fits_into(room.free))
                && is_reachable(agent, now)
        };
        let with_room = self.racks[rack].by_free.range(needs.millicores..);
        let mut with_room = with_room.flat_map(|(_, keys)| keys).take(MAX_CANDIDATES);
        now < job.steps[usize::from(number)].latest_start && with_room.any(is_busy)
    }

    /// Decides whether a step waits for the rack of its data instead of a start at `other`, which is in another rack, now.
    /// Records the wait.
    pub(super) fn waits_for_rack(
        &mut self,
        now: Timestamp,
        id: JobId,
        number: u16,
        rack_key: RackKey,
        other: AgentKey,
    ) -> bool {
        let job = &self.jobs[&id];
        let step = &job.spec.steps[usize::from(number)];
        let view = &job.steps[usize::from(number)];
        let rack = &self.racks[rack_key];
        // If a worker of the rack has room and does not get the task, room is not what is missing.
        if rack.by_free.range(step.needs.millicores..).next().is_some() {
            return false;
        }
        let other = &self.agents[other];
        let factor = other.health.run_time_ratio()
            * other.remote_factor(step, self.limits)
            * cold::run_time_factor(other);
        let choice = self.rack_choice(job.backlog, step, rack, factor, view.latest_start);
        // The job ends with the last task of the step.
        let ready = view.ready_tasks.len() as u64;
        let needs = u64::from(step.needs.millicores) * ready;
        let wait = expected_wait(rack.load(now, view.latest_start), needs);
        let can_be_refused = job.spec.volatile && !job.resubmitted && !job.started;
        let refusal = view.latest_start + REFUSAL_DELAY;
        let is_refused_soon =
            can_be_refused && misses_goal_everywhere(now, choice, wait) && now < refusal;
        let until = wait_end(now, choice, wait)
            .or_else(|| is_refused_soon.then(|| refusal.min(now + MIN_RECONSIDER_DELAY)));
        let Some(until) = until else {
            return false;
        };
        let wait = RackWait {
            until,
            rack: rack_key,
            rank: rank(view, id, number),
            demand: Demand {
                millicores: needs,
                work: u128::from(needs) * choice.local.as_micros(),
            },
        };
        self.start_wait(now, id, number, wait);
        true
    }

    /// Returns what a task of the step can choose from. Elsewhere its run takes `factor` times the normal time.
    fn rack_choice(
        &self,
        backlog: BacklogKey,
        step: &Step,
        rack: &Rack,
        factor: f64,
        latest_start: Timestamp,
    ) -> Choice {
        let backlog = &self.backlogs[backlog];
        let normal_ms = f64::from(step.estimate_ms) * backlog.run_time_ratio.value();
        let pool = self.pools.get(&backlog.pool);
        let (_, total, free) = pool.map_or((0, 0, 0), |p| p.totals());
        Choice {
            local: millis(normal_ms * self.mean_run_time_ratio(rack)),
            remote: millis(normal_ms * factor),
            used_fraction: 1.0 - free as f64 / total.max(1) as f64,
            latest_start,
        }
    }

    /// Returns how long a new job would wait for the racks of its data, if it would then miss its response-time goal and
    /// would miss it elsewhere as well. `slack` is the time that the job may wait.
    pub(super) fn rack_wait_beyond_goal(
        &self,
        now: Timestamp,
        backlog: BacklogKey,
        spec: &JobSpec,
        slack: Duration,
    ) -> Option<Duration> {
        let pool = &self.backlogs[backlog].pool;
        let late = spec.steps.iter().filter_map(|step| {
            let rack = &self.racks[self.known_rack(pool, step)?];
            let needs = u64::from(step.needs.millicores) * u64::from(step.count);
            // Nothing waits for a rack without workers.
            if rack.total_millicores == 0 || needs <= rack.free_millicores {
                return None;
            }
            let factor = self.limits.remote_factor;
            let choice = self.rack_choice(backlog, step, rack, factor, now + slack);
            let wait = expected_wait(rack.load(now, now + slack), needs);
            misses_goal_everywhere(now, choice, wait).then_some(wait.unwrap_or_default())
        });
        late.max()
    }

    /// Returns the mean ratio of run time to expected run time on the workers of a rack.
    fn mean_run_time_ratio(&self, rack: &Rack) -> f64 {
        let keys = rack.by_free.values().flatten().take(MAX_SPEED_SAMPLES);
        let ratios = keys.map(|key| self.agents[*key].health.run_time_ratio());
        let (sum, count) = ratios.fold((0.0, 0.0), |(sum, n), ratio| (sum + ratio, n + 1.0));
        if count > 0.0 { sum / count } else { 1.0 }
    }

    fn start_wait(&mut self, now: Timestamp, id: JobId, number: u16, wait: RackWait) {
        let job = self.jobs.get_mut(&id).expect("the job must be known");
        let step = &mut job.steps[usize::from(number)];
        let previous = step.rack_wait.replace(wait);
        debug_assert!(previous.is_none(), "a step waits once");
        step.waiting_since.get_or_insert(now);
        let backlog = &mut self.backlogs[job.backlog];
        backlog.rack_work += wait.demand.work;
        let rack = &mut self.racks[wait.rack];
        let entry = (wait.rank.latest_start, job.backlog, wait.rank);
        rack.waiting.insert(entry, wait.demand);
        rack.demand.add(wait.demand);
        rack.record_demand();
        self.wait_ends.insert((wait.until, job.backlog, wait.rank));
    }

    /// Lets a step no longer wait for its rack.
    pub(super) fn end_wait(&mut self, backlog: BacklogKey, wait: RackWait) {
        let waiting = &mut self.backlogs[backlog];
        waiting.rack_work -= wait.demand.work;
        waiting.waiting.wake(wait.rank.job, wait.rank.step);
        self.wait_ends.remove(&(wait.until, backlog, wait.rank));
        let rack = &mut self.racks[wait.rack];
        let entry = (wait.rank.latest_start, backlog, wait.rank);
        rack.waiting.remove(&entry);
        rack.demand.subtract(wait.demand);
    }

    /// Lets a step no longer wait for its rack if it does.
    pub(super) fn end_step_wait(&mut self, id: JobId, number: u16) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let backlog = job.backlog;
        if let Some(wait) = job.steps[usize::from(number)].rack_wait.take() {
            self.end_wait(backlog, wait);
        }
    }

    /// Lets no step of a job wait for its rack.
    pub(super) fn end_job_waits(&mut self, id: JobId) {
        let count = self.jobs.get(&id).map_or(0, |job| job.steps.len());
        for number in 0..count {
            self.end_step_wait(id, number as u16);
        }
    }

    /// Ends the waits whose time has passed, and those for racks that have room again or have lost their workers.
    pub(super) fn wake_rack_waits(&mut self, now: Timestamp) {
        while let Some((_, _, rank)) = self.wait_ends.first().filter(|(until, ..)| *until <= now) {
            let rank = *rank;
            self.end_step_wait(rank.job, rank.step);
        }
        for key in std::mem::take(&mut self.racks_to_wake) {
            self.wake_rack(key);
        }
    }

    /// Ends as many waits for a rack as its free room can serve.
    fn wake_rack(&mut self, key: RackKey) {
        let mut left = self.racks[key].free_millicores;
        while let Some((&(_, _, rank), _)) = self.racks[key].waiting.first_key_value() {
            let rack = &self.racks[key];
            let needs = self.jobs[&rank.job].spec.steps[usize::from(rank.step)].needs;
            let largest = rack.by_free.last_key_value().map_or(0, |(free, _)| *free);
            let has_room = needs.millicores <= largest && u64::from(needs.millicores) <= left;
            if rack.total_millicores > 0 && !has_room {
                return;
            }
            let step = &self.jobs[&rank.job].steps[usize::from(rank.step)];
            let tasks = step.ready_tasks.len() as u64;
            left = left.saturating_sub(u64::from(needs.millicores).saturating_mul(tasks));
            self.end_step_wait(rank.job, rank.step);
        }
    }

    /// Counts the outcome of a step's wait with its first start after it.
    pub(super) fn count_wait_outcome(
        &mut self,
        now: Timestamp,
        id: JobId,
        number: u16,
        is_local: bool,
    ) {
        let step = self
            .jobs
            .get_mut(&id)
            .and_then(|job| job.steps.get_mut(usize::from(number)));
        let Some(since) = step.and_then(|step| step.waiting_since.take()) else {
            return;
        };
        match is_local {
            true => self.rack_wait_counts.local += 1,
            false => self.rack_wait_counts.gave_up += 1,
        }
        log::info!(
            "E900 wait for a rack ended job={id} step={number} is_local={is_local} waited_ms={}",
            now.since(since).as_millis()
        );
    }

    /// Takes the numbers of waits for racks that have ended since the last call.
    pub fn take_rack_waits(&mut self) -> RackWaitCounts {
        std::mem::take(&mut self.rack_wait_counts)
    }

    /// Moves the expected ends of runs that take longer than expected, and lets the recent demand of racks fade.
    pub(super) fn review_racks(&mut self, now: Timestamp) {
        for agent in self.agents.values_mut().filter(|a| !a.racks.is_empty()) {
            for run in agent.placed.values_mut().filter(|r| r.expected_end < now) {
                let end = now + now.since(run.placed_at) / OVERDUE_DIVISOR;
                let delay = end.since(run.expected_end).as_micros();
                for rack in &agent.racks {
                    self.racks[*rack].running_ends += u128::from(run.needs.millicores) * delay;
                }
                run.expected_end = end;
            }
        }
        for rack in self.racks.values_mut() {
            let demand = rack.local_millicores + rack.demand.millicores;
            rack.peak_millicores = decayed_peak(rack.peak_millicores, demand);
            let contended = rack.is_contended();
            if contended != rack.was_contended {
                rack.was_contended = contended;
                log::info!(
                    "E901 demand for a rack changed rack={} contended={contended} \
                     local_millicores={} waiting_millicores={} total_millicores={}",
                    rack.name,
                    rack.local_millicores,
                    rack.demand.millicores,
                    rack.total_millicores
                );
            }
        }
    }
}
