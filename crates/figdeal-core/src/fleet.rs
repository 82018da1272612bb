//! The agents known to one entry, the process that accepts jobs and sends their tasks to agents: announcements, load
//! reports, placement of tasks and outlier ejection.
//!
//! With `n` agents and `k` task classes, placements, announcements, load reports and results cost `O(k log n)`. Results
//! may also take a pass over all agents for the failure rates, in a large fleet at most four times a second per kind.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, VecDeque},
    time::Duration,
};

use slotmap::{SlotMap, new_key_type};

use crate::{
    id::{Incarnation, KindId},
    run_time::RunTimeEstimator,
    time::Timestamp,
};

mod eject;
mod index;
mod status;

use eject::{FleetFailureRate, HealthRecord};
use index::{PlacementIndex, Score, size_bucket};

pub use eject::{AgentHealth, HealthSample};
pub use status::{AgentState, AgentStatus, KindResults};

/// Replaced incarnations remembered for each upstream, to recognise their delayed announcements.
const MAX_PAST_INCARNATIONS: usize = 8;
/// An agent without outstanding tasks is removed this long after its last announcement or load report.
const REMOVE_AFTER: Duration = Duration::from_secs(600);

/// Maximum of `AgentInfo::slots` and of each count in `AgentLoad::queued`; larger numbers are clamped to it.
const MAX_REPORTED_COUNT: u32 = 65_536;
/// Kinds with queued tasks that are read from one load report; further ones are ignored.
const MAX_REPORTED_KINDS: usize = 1_024;
/// A longer reported time until the next free slot is clamped to this.
const MAX_SLOT_WAIT: Duration = Duration::from_secs(3_600);

new_key_type! {
    /// Key of one agent incarnation in the fleet of one entry; a restarted agent gets a new key.
    pub struct AgentKey;
}

/// What an agent announces about its upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AgentInfo {
    /// Name of the upstream, stable over restarts.
    pub name: String,
    /// Address at which entries connect to the agent.
    pub address: String,
    /// Incarnation of the agent process; incarnations are not ordered.
    pub incarnation: Incarnation,
    /// Number of tasks that the upstream runs concurrently.
    pub slots: u32,
    /// Kinds that the upstream accepts; an empty list means every kind.
    pub kinds: Vec<KindId>,
    /// Largest task size, as declared by callers, that the upstream accepts.
    pub max_task_size: u32,
    /// Whether the upstream or the agent is shutting down and takes no new tasks.
    pub draining: bool,
}

/// Load of an agent, as the agent reported it.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct AgentLoad {
    /// Number of slots without a task.
    pub free_slots: u32,
    /// Number of tasks of each kind in the agent's queue, from all entries.
    pub queued: Vec<(KindId, u32)>,
    /// Expected time until the next slot is free.
    pub next_slot_wait: Duration,
}

/// Settings for placement and outlier ejection.
#[derive(Debug, Clone, Copy)]
pub struct FleetLimits {
    /// Maximum number of tasks of one kind that an entry has outstanding at an agent beyond the agent's slots.
    pub window: u32,
    /// Number of slots of each agent that only tasks of small jobs may take.
    pub small_job_slots: u32,
    /// An agent expires, and gets no new tasks, when this time has passed since its last announcement or load report.
    pub expire_after: Duration,
    /// Largest part of the available agents that may be ejected at the same time.
    pub max_ejected_percent: u32,
    /// Time from the first ejection of an agent to its probe, a normal task; it doubles with each failed probe.
    pub base_ejection_time: Duration,
}

impl Default for FleetLimits {
    fn default() -> FleetLimits {
        FleetLimits {
            window: 2,
            small_job_slots: 1,
            expire_after: Duration::from_secs(3),
            max_ejected_percent: 30,
            base_ejection_time: Duration::from_secs(1),
        }
    }
}

/// Kind of a task, and whether it may take slots reserved for small jobs. Each class has its own placement index.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct TaskClass {
    /// Kind of the task.
    pub kind: KindId,
    /// Whether the task belongs to a small job and may take a slot that is reserved for such jobs.
    pub is_small: bool,
}

impl TaskClass {
    /// Creates the class of a task that may not take slots reserved for small jobs.
    pub fn large(kind: KindId) -> TaskClass {
        TaskClass {
            kind,
            is_small: false,
        }
    }
}

/// State of one agent at the entry.
#[derive(Debug)]
pub struct Agent {
    /// Content of the last announcement.
    pub info: AgentInfo,
    /// Load from the last announcement or load report.
    pub load: AgentLoad,
    /// Time of the last announcement, or of a later load report that came while the agent was available.
    seen_at: Timestamp,
    load_at: Timestamp,
    /// Tasks of each kind that were sent since `load` was set.
    sent_since_report: BTreeMap<KindId, u32>,
    outstanding: BTreeMap<KindId, u32>,
    health_record: HealthRecord,
    /// Orders agents with the same expected start, the smaller first; drawn anew when the agent is chosen.
    tie_break: u64,
    /// Whether the agent is not expired, not draining and not replaced; an ejected agent stays available.
    is_available: bool,
    is_replaced: bool,
}

impl Agent {
    /// Number of tasks that were sent to the agent and not answered.
    pub fn outstanding(&self) -> u32 {
        self.outstanding.values().sum()
    }

    fn accepts(&self, kind: KindId, size: u32) -> bool {
        size <= self.info.max_task_size
            && (self.info.kinds.is_empty() || self.info.kinds.contains(&kind))
    }

    fn sent_sum(&self) -> u32 {
        self.sent_since_report.values().sum()
    }

    /// Minimum number of outstanding tasks that run or are in transit: all queued tasks may be from this entry.
    fn min_unqueued(&self) -> u32 {
        let queued: u32 = self.load.queued.iter().map(|(_, n)| n).sum();
        self.outstanding().saturating_sub(queued)
    }

    /// Estimated free slots. The load may be older than the last tasks, so at most the slots minus `min_unqueued`.
    fn estimated_free(&self) -> u32 {
        let unused = self.load.free_slots.saturating_sub(self.sent_sum());
        unused.min(self.info.slots.saturating_sub(self.min_unqueued()))
    }

    fn estimated_queued(&self) -> u32 {
        let reported: u32 = self.load.queued.iter().map(|(_, n)| n).sum();
        reported + self.sent_sum().saturating_sub(self.load.free_slots)
    }

    fn reported_queued(&self, kind: KindId) -> u32 {
        let reported = self.load.queued.iter().find(|(k, _)| *k == kind);
        reported.map_or(0, |(_, n)| *n)
    }

    /// Number of slots that are reserved for others than the class; at least one slot is open to large jobs.
    fn reserved_slots(&self, class: TaskClass, limits: &FleetLimits) -> u32 {
        if class.is_small {
            return 0;
        }
        limits
            .small_job_slots
            .min(self.info.slots.saturating_sub(1))
    }

    /// Whether one more task of the class keeps the agent's queue short. Tasks queued at an agent cannot move to
    /// another one, so a job with less remaining work that arrives later would wait behind them. Tasks sent since the
    /// last report count against the free slots. So do queued tasks: an agent may keep reserved slots free beside them.
    ///
    /// An entry whose own tasks hold all slots of an agent queues nothing there: it gets a reply when a slot becomes
    /// free, so the slot is idle for only one round trip. An entry that holds fewer slots needs queued tasks to get its
    /// share of the slots that the tasks of other entries free.
    fn has_room(&self, class: TaskClass, limits: &FleetLimits) -> bool {
        let (kind, window) = (class.kind, limits.window);
        if class.is_small && limits.small_job_slots > 0 && self.estimated_free() > 0 {
            return true;
        }
        let reserved = self.reserved_slots(class, limits);
        let outstanding = self.outstanding.get(&kind).copied().unwrap_or(0);
        let sent = self.sent_since_report.get(&kind).copied().unwrap_or(0);
        let other_unqueued = self.min_unqueued().saturating_sub(sent);
        // `sent` is not subtracted from the free slots, because it is added to the queued tasks below.
        let free = self.load.free_slots.saturating_sub(self.sent_sum() - sent);
        let free = free
            .min(self.info.slots.saturating_sub(other_unqueued))
            .saturating_sub(reserved);
        let window = if self.min_unqueued() < self.info.slots {
            window
        } else {
            0
        };
        outstanding < self.info.slots + window && self.reported_queued(kind) + sent < free + window
    }

    /// Time in microseconds (as of a `Timestamp`) at which a task of the class should start, 0 for at once. The agent
    /// serves its queued kinds in turn, so of each other kind, at most one task more than of this kind starts before.
    fn start_time(&self, class: TaskClass, limits: &FleetLimits, times: &RunTimeEstimator) -> u64 {
        let kind = class.kind;
        let same_kind = self.reported_queued(kind);
        let uses_reserved_slot = class.is_small && limits.small_job_slots > 0;
        let reserved = self.reserved_slots(class, limits);
        if self.estimated_free() > reserved && (same_kind == 0 || uses_reserved_slot) {
            return 0;
        }
        let mut ahead = Duration::ZERO;
        for &(other, queued) in &self.load.queued {
            let count = if other == kind {
                queued
            } else {
                queued.min(same_kind + 1)
            };
            ahead += times.estimate(other, None) * count;
        }
        let sent_beyond_free = self.sent_sum().saturating_sub(self.load.free_slots);
        ahead += times.estimate(kind, None) * sent_beyond_free;
        let start = self.load_at + self.load.next_slot_wait + ahead / self.info.slots.max(1);
        start.as_micros().max(1)
    }

    fn remove_outstanding(&mut self, kind: KindId) {
        let count = self
            .outstanding
            .get_mut(&kind)
            .expect("the kind has outstanding tasks");
        assert!(*count > 0, "resolved more tasks than were sent");
        *count -= 1;
        if *count == 0 {
            self.outstanding.remove(&kind);
        }
    }

    /// Stores a load report. Its numbers come from another process and are clamped, so that sums don't overflow.
    fn set_load(&mut self, mut load: AgentLoad, now: Timestamp) {
        load.free_slots = load.free_slots.min(self.info.slots);
        load.next_slot_wait = load.next_slot_wait.min(MAX_SLOT_WAIT);
        load.queued.truncate(MAX_REPORTED_KINDS);
        load.queued
            .iter_mut()
            .for_each(|(_, n)| *n = (*n).min(MAX_REPORTED_COUNT));
        self.load = load;
        self.load_at = now;
        self.sent_since_report.clear();
    }
}

/// Effect of an announcement on the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FleetChange {
    /// The upstream was unknown and its agent was added.
    New(AgentKey),
    /// The incarnation was known and its state was updated.
    Renewed(AgentKey),
    /// Another incarnation replaced the current one of the upstream.
    Replaced {
        /// Key of the new incarnation.
        new: AgentKey,
        /// Key of the incarnation that it replaced.
        old: AgentKey,
    },
    /// The announcement was ignored: its incarnation has been replaced by one that has not expired.
    Stale,
}

/// The current agent incarnation of an upstream and the ones that it replaced.
#[derive(Debug)]
struct UpstreamIncarnations {
    key: AgentKey,
    past: VecDeque<Incarnation>,
}

/// All agents that one entry knows.
///
/// ```
/// use figdeal_core::{
///     fleet::{AgentInfo, AgentLoad, Fleet, FleetChange, FleetLimits, HealthSample},
///     id::{Incarnation, KindId},
///     time::Timestamp,
/// };
///
/// let (now, kind) = (Timestamp::ZERO, KindId(0));
/// let mut fleet = Fleet::with_seed(FleetLimits::default(), 1);
/// let info = AgentInfo {
///     name: "upstream-1".to_owned(),
///     address: "127.0.0.1:9000".to_owned(),
///     incarnation: Incarnation(1),
///     slots: 1,
///     kinds: Vec::new(),
///     max_task_size: 10,
///     draining: false,
/// };
/// let load = AgentLoad { free_slots: 1, ..AgentLoad::default() };
/// assert!(matches!(fleet.announce(info, load, now), FleetChange::New(_)));
/// assert!(fleet.place(kind, 11, now).is_none());
/// let agent = fleet.place(kind, 10, now).unwrap();
/// fleet.record_result(agent, kind, HealthSample::Failure, now);
/// ```
#[derive(Debug)]
pub struct Fleet {
    limits: FleetLimits,
    agents: SlotMap<AgentKey, Agent>,
    upstreams: HashMap<String, UpstreamIncarnations>,
    /// The agents that have not expired, ordered by their last announcement or load report.
    by_seen_at: BTreeSet<(Timestamp, AgentKey)>,
    /// For each task class for which a placement was tried so far, the agents with room for it.
    indexes: BTreeMap<TaskClass, PlacementIndex>,
    /// The ejected available agents, ordered by the time at which their probes are due.
    probes: BTreeSet<(Timestamp, AgentKey)>,
    failure_rates: HashMap<KindId, FleetFailureRate>,
    run_times: RunTimeEstimator,
    available_count: usize,
    ejected_count: usize,
    /// The latest time passed to a method that advances it; it never goes back.
    now: Timestamp,
    random_state: u64,
    tie_breaks_drawn: u64,
}

impl Fleet {
    /// Creates an empty fleet with seed 0. Several entries should use [`Fleet::with_seed`] with different seeds.
    pub fn new(limits: FleetLimits) -> Fleet {
        Fleet::with_seed(limits, 0)
    }

    /// Creates an empty fleet. Entries with different seeds do not all choose the same agent among equal ones.
    pub fn with_seed(limits: FleetLimits, seed: u64) -> Fleet {
        Fleet {
            limits,
            agents: SlotMap::with_key(),
            upstreams: HashMap::new(),
            by_seen_at: BTreeSet::new(),
            indexes: BTreeMap::new(),
            probes: BTreeSet::new(),
            failure_rates: HashMap::new(),
            run_times: RunTimeEstimator::default(),
            available_count: 0,
            ejected_count: 0,
            now: Timestamp::ZERO,
            random_state: seed,
            tie_breaks_drawn: 0,
        }
    }

    /// Replaces the limits and applies them to all known agents.
    pub fn set_limits(&mut self, limits: FleetLimits) {
        self.limits = limits;
        self.bound_ejected();
        let keys: Vec<AgentKey> = self.agents.keys().collect();
        keys.into_iter().for_each(|key| self.reindex(key));
    }

    /// Processes an announcement: adds the agent, updates it, or replaces an earlier incarnation of its upstream.
    pub fn announce(&mut self, info: AgentInfo, load: AgentLoad, now: Timestamp) -> FleetChange {
        self.advance(now);
        let Some(upstream) = self.upstreams.get_mut(&info.name) else {
            let name = info.name.clone();
            let key = self.insert(info, load);
            self.upstreams.insert(
                name,
                UpstreamIncarnations {
                    key,
                    past: VecDeque::new(),
                },
            );
            return FleetChange::New(key);
        };
        let old = upstream.key;
        if self.agents[old].info.incarnation == info.incarnation {
            self.update(old, info, load);
            return FleetChange::Renewed(old);
        }
        // Incarnations are not ordered. If a delayed announcement of a dead incarnation replaced the running one, the
        // running one must be accepted again once the dead one has expired.
        let is_live = self.now.since(self.agents[old].seen_at) < self.limits.expire_after;
        if is_live && upstream.past.contains(&info.incarnation) {
            return FleetChange::Stale;
        }
        upstream.past.retain(|past| *past != info.incarnation);
        upstream.past.push_back(self.agents[old].info.incarnation);
        if upstream.past.len() > MAX_PAST_INCARNATIONS {
            upstream.past.pop_front();
        }
        self.make_unavailable(old);
        self.agents[old].is_replaced = true;
        let name = info.name.clone();
        let new = self.insert(info, load);
        self.upstreams.get_mut(&name).expect("a known name").key = new;
        FleetChange::Replaced { new, old }
    }

    /// Removes an agent. `record_result` or `release_task` must have ended each of its outstanding tasks before.
    pub fn remove(&mut self, key: AgentKey) {
        if !self.agents.contains_key(key) {
            return;
        }
        self.make_unavailable(key);
        if let Some(agent) = self.agents.remove(key)
            && !agent.is_replaced
        {
            self.upstreams.remove(&agent.info.name);
        }
    }

    /// Stores the load report that came with a reply. The reply also shows that the agent is alive, so it need not
    /// announce itself while replies arrive. An agent that has expired or is draining needs an announcement before it
    /// gets tasks again.
    pub fn report_load(&mut self, key: AgentKey, load: AgentLoad, now: Timestamp) {
        self.advance(now);
        let now = self.now;
        let Some(agent) = self.agents.get_mut(key) else {
            return;
        };
        agent.set_load(load, now);
        if agent.is_available {
            self.by_seen_at.remove(&(agent.seen_at, key));
            self.by_seen_at.insert((now, key));
            agent.seen_at = now;
        }
        self.reindex(key);
    }

    /// Stops placement at expired agents, and removes those without outstanding tasks that expired long ago. Returns
    /// the agents that this call found expired, without those that another method had found before.
    pub fn tick(&mut self, now: Timestamp) -> Vec<AgentKey> {
        let expired = self.advance(now);
        let forgotten: Vec<AgentKey> = self
            .agents
            .iter()
            .filter(|(_, a)| a.outstanding.is_empty() && self.now.since(a.seen_at) >= REMOVE_AFTER)
            .map(|(key, _)| key)
            .collect();
        forgotten.into_iter().for_each(|key| self.remove(key));
        expired
    }

    /// Whether any available agent accepts the kind and size, busy or not. Scans the agents until it finds one.
    pub fn is_placeable(&self, kind: KindId, size: u32, now: Timestamp) -> bool {
        self.agents
            .iter()
            .any(|(key, a)| a.is_available && a.accepts(kind, size) && self.is_live(key, now))
    }

    /// Whether some agent has room for a task of the kind in a large job, without a check of the size.
    pub fn has_room(&self, kind: KindId, now: Timestamp) -> bool {
        self.has_room_for(kind, 0, now)
    }

    /// Whether [`Fleet::place`] finds an agent for a task of the kind and size in a large job.
    pub fn has_room_for(&self, kind: KindId, size: u32, now: Timestamp) -> bool {
        self.has_room_for_class(TaskClass::large(kind), size, now)
    }

    /// Whether [`Fleet::place_class`] finds an agent for a task of the class and size.
    pub fn has_room_for_class(&self, class: TaskClass, size: u32, now: Timestamp) -> bool {
        let kind = class.kind;
        let now = self.now.max(now);
        if self.due_probe(kind, size, now).is_some() {
            return true;
        }
        let accept = |key| self.agents[key].accepts(kind, size) && self.is_live(key, now);
        match self.indexes.get(&class) {
            Some(index) => index.best_two(size, accept)[0].is_some(),
            None => self
                .agents
                .iter()
                .any(|(key, a)| accept(key) && self.can_take(a, class)),
        }
    }

    /// Chooses the agent for a task of a large job and counts the task as sent. An agent whose probe is due goes first,
    /// then the agent where the task is expected to start soonest. Among the agents with free slots, it compares two
    /// random ones and takes the one with more free slots (power of two choices): load reports are slightly out of
    /// date, and entries that all chose the best agent would flood it.
    pub fn place(&mut self, kind: KindId, size: u32, now: Timestamp) -> Option<AgentKey> {
        self.place_class(TaskClass::large(kind), size, now)
    }

    /// Like [`Fleet::place`], for a task of any class.
    pub fn place_class(&mut self, class: TaskClass, size: u32, now: Timestamp) -> Option<AgentKey> {
        let kind = class.kind;
        self.advance(now);
        let now = self.now;
        self.add_index(class);
        let key = match self.due_probe(kind, size, now) {
            Some(key) => {
                self.start_probe(key);
                key
            }
            None => {
                let accept = |key| self.agents[key].accepts(kind, size) && self.is_live(key, now);
                let [first, second] = self.indexes[&class].best_two(size, accept);
                let ((start, _), first) = first?;
                match second {
                    Some(((0, _), second))
                        if start == 0
                            && self.agents[second].estimated_free()
                                > self.agents[first].estimated_free() =>
                    {
                        second
                    }
                    _ => first,
                }
            }
        };
        let tie_break = self.next_tie_break();
        let agent = &mut self.agents[key];
        agent.tie_break = tie_break;
        *agent.sent_since_report.entry(kind).or_default() += 1;
        *agent.outstanding.entry(kind).or_default() += 1;
        self.reindex(key);
        Some(key)
    }

    /// Ends an outstanding task whose end says nothing about the agent, for example because it was cancelled.
    ///
    /// # Panics
    /// Panics when the agent is known and has no outstanding task of the kind.
    pub fn release_task(&mut self, key: AgentKey, kind: KindId) {
        self.record_result(key, kind, HealthSample::Inconclusive, self.now);
    }

    /// Returns an agent by its key.
    pub fn get(&self, key: AgentKey) -> Option<&Agent> {
        self.agents.get(key)
    }

    /// All known agents, including expired and replaced ones.
    pub fn iter(&self) -> impl ExactSizeIterator<Item = (AgentKey, &Agent)> {
        self.agents.iter()
    }

    /// Whether the agent has neither expired nor been replaced.
    pub fn is_live(&self, key: AgentKey, now: Timestamp) -> bool {
        let expire_after = self.limits.expire_after;
        self.agents
            .get(key)
            .is_some_and(|a| !a.is_replaced && now.since(a.seen_at) < expire_after)
    }

    /// Total slots, free or not, of the available agents that are not ejected, for estimates of completion times.
    pub fn healthy_slots(&self, now: Timestamp) -> u32 {
        let is_usable = |a: &Agent| a.is_available && a.health() == AgentHealth::Healthy;
        self.agents
            .iter()
            .filter(|(key, a)| is_usable(a) && self.is_live(*key, now))
            .map(|(_, a)| a.info.slots)
            .sum()
    }

    fn insert(&mut self, info: AgentInfo, load: AgentLoad) -> AgentKey {
        let now = self.now;
        let tie_break = self.next_tie_break();
        let key = self.agents.insert(Agent {
            info,
            load: AgentLoad::default(),
            seen_at: now,
            load_at: now,
            sent_since_report: BTreeMap::new(),
            outstanding: BTreeMap::new(),
            health_record: HealthRecord::new(),
            tie_break,
            is_available: false,
            is_replaced: false,
        });
        let info = self.agents[key].info.clone();
        self.update(key, info, load);
        key
    }

    fn update(&mut self, key: AgentKey, info: AgentInfo, load: AgentLoad) {
        let now = self.now;
        let agent = &mut self.agents[key];
        self.by_seen_at.remove(&(agent.seen_at, key));
        self.by_seen_at.insert((now, key));
        let is_available = !info.draining;
        agent.info = info;
        agent.info.slots = agent.info.slots.min(MAX_REPORTED_COUNT);
        agent.seen_at = now;
        agent.set_load(load, now);
        self.set_available(key, is_available);
        self.reindex(key);
    }

    fn make_unavailable(&mut self, key: AgentKey) {
        let seen_at = self.agents[key].seen_at;
        self.by_seen_at.remove(&(seen_at, key));
        self.set_available(key, false);
        self.reindex(key);
    }

    /// Advances the time and makes the agents that have expired by then unavailable. Returns these agents.
    fn advance(&mut self, now: Timestamp) -> Vec<AgentKey> {
        self.now = self.now.max(now);
        let mut expired = Vec::new();
        while let Some(&(seen_at, key)) = self.by_seen_at.first()
            && self.now.since(seen_at) >= self.limits.expire_after
        {
            self.make_unavailable(key);
            expired.push(key);
        }
        expired
    }

    fn can_take(&self, agent: &Agent, class: TaskClass) -> bool {
        agent.is_available
            && agent.health() == AgentHealth::Healthy
            && agent.accepts(class.kind, 0)
            && agent.has_room(class, &self.limits)
    }

    /// Sort key of the agent for the class, smaller is better; `None` if it may not get a task.
    fn score(&mut self, key: AgentKey, class: TaskClass) -> Option<Score> {
        let agent = &self.agents[key];
        if !self.can_take(agent, class) {
            return None;
        }
        let (start, tie_break) = (
            agent.start_time(class, &self.limits, &self.run_times),
            agent.tie_break,
        );
        let slots = agent.info.slots.max(1);
        // A random delay of up to the estimated run time, divided by the number of slots, spreads the placements.
        let spread = (self.run_times.estimate(class.kind, None) / slots).as_micros() as u64;
        let random = self.next_random();
        let start = if start == 0 {
            0
        } else {
            start + random % (spread + 1)
        };
        Some((start, tie_break))
    }

    fn reindex(&mut self, key: AgentKey) {
        let classes: Vec<TaskClass> = self.indexes.keys().copied().collect();
        for class in classes {
            self.reindex_class(key, class);
        }
    }

    fn reindex_class(&mut self, key: AgentKey, class: TaskClass) {
        let size_bucket = size_bucket(self.agents[key].info.max_task_size);
        let score = self.score(key, class);
        let index = self.indexes.get_mut(&class).expect("the class is indexed");
        index.set(key, size_bucket, score);
    }

    fn add_index(&mut self, class: TaskClass) {
        if self.indexes.contains_key(&class) {
            return;
        }
        self.indexes.insert(class, PlacementIndex::default());
        let keys: Vec<AgentKey> = self.agents.keys().collect();
        keys.into_iter()
            .for_each(|key| self.reindex_class(key, class));
    }

    /// Draws a tie-break number for an agent that was added or chosen: larger than those of agents that were last
    /// chosen long ago, but random compared with the others. With plain random numbers, the same agents would be chosen
    /// again and again, because the agents that are not chosen keep their large numbers.
    fn next_tie_break(&mut self) -> u64 {
        self.tie_breaks_drawn += 1;
        self.tie_breaks_drawn + self.next_random() % (2 * self.agents.len() as u64 + 1)
    }

    /// The next number of the SplitMix64 sequence; it only breaks ties and spreads placements.
    fn next_random(&mut self) -> u64 {
        self.random_state = self.random_state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.random_state;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }
}
