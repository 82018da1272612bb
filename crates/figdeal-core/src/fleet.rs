//! An entry's view of the fleet: announcements, load, placement and ejection.
//!
//! With `n` agents and `k` kinds, a placement takes `O(k log n)`: one search in the order of the kind, and one
//! update of the chosen agent in the order of each kind. An announcement, a report and a result take the same.
//! Only the evidence for an ejection needs a pass over the fleet, at most four times a second for each kind in a
//! large fleet.

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

use eject::{Evidence, Record};
use index::{KindIndex, Score, size_class};

pub use eject::{AgentHealth, HealthSample};
pub use status::{AgentState, AgentStatus, KindResults};

/// Replaced incarnations of an upstream that are remembered to recognise their late announcements.
const PAST_INCARNATIONS: usize = 8;
/// Time after its last announcement at which an agent without outstanding tasks is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(600);

/// Largest number of slots, and of queued tasks of a kind, that an agent may report.
const MAX_COUNT: u32 = 65_536;
/// Largest number of kinds with queued tasks in a report.
const MAX_KINDS: usize = 1_024;
/// Longest time until the next free slot that is believed.
const MAX_WAIT: Duration = Duration::from_secs(3_600);

new_key_type! {
    /// An agent in the fleet view of one entry. A restarted agent gets a new key.
    pub struct AgentKey;
}

/// What an agent announces about its upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AgentInfo {
    /// Name of the upstream, stable over restarts.
    pub name: String,
    /// Where entries reach the agent.
    pub address: String,
    /// This run of the agent.
    pub incarnation: Incarnation,
    /// Tasks that the upstream runs at the same time.
    pub slots: u32,
    /// Kinds that the upstream accepts; empty accepts every kind.
    pub kinds: Vec<KindId>,
    /// Largest task size that the upstream accepts.
    pub max_task_size: u32,
    /// Whether the upstream or the agent is leaving.
    pub draining: bool,
}

/// AgentLoad of an agent as it reported it.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct AgentLoad {
    /// Slots without a task.
    pub free_slots: u32,
    /// Queued tasks of each kind, of all entries.
    pub queued: Vec<(KindId, u32)>,
    /// Expected time until the next slot is free.
    pub next_slot_wait: Duration,
}

/// Settings of placement and ejection.
#[derive(Debug, Clone, Copy)]
pub struct FleetLimits {
    /// Tasks of a kind that an entry sends beyond the slots of an agent.
    pub window: u32,
    /// Slots of each agent that are kept free of tasks of large jobs.
    pub small_job_slots: u32,
    /// Time without an announcement after which an agent gets no new work.
    pub expire_after: Duration,
    /// Largest part of the fleet that may be ejected, in percent.
    pub max_ejected_percent: u32,
    /// First back-off of an ejected agent.
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

/// What decides where a task has room: its kind, and whether its job has little work left.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct PlacementClass {
    /// The kind.
    pub kind: KindId,
    /// Whether the job has little work left, so that the task may take a slot that is kept free of large jobs.
    pub is_small: bool,
}

impl PlacementClass {
    /// The lane of a large job's tasks.
    pub fn new(kind: KindId) -> PlacementClass {
        PlacementClass {
            kind,
            is_small: false,
        }
    }
}

/// One agent as the entry sees it.
#[derive(Debug)]
pub struct Agent {
    /// The last announcement.
    pub info: AgentInfo,
    /// The last reported load.
    pub load: AgentLoad,
    seen: Timestamp,
    reported: Timestamp,
    /// Tasks sent since the last report.
    sent: BTreeMap<KindId, u32>,
    outstanding: BTreeMap<KindId, u32>,
    record: Record,
    /// Place among the agents that look alike, redrawn at each placement.
    turn: u64,
    /// Whether the agent is live, not draining and not replaced.
    is_member: bool,
    is_replaced: bool,
}

impl Agent {
    /// Tasks sent to the agent and not answered.
    pub fn outstanding(&self) -> u32 {
        self.outstanding.values().sum()
    }

    fn accepts(&self, kind: KindId, size: u32) -> bool {
        size <= self.info.max_task_size
            && (self.info.kinds.is_empty() || self.info.kinds.contains(&kind))
    }

    fn sent(&self) -> u32 {
        self.sent.values().sum()
    }

    /// Tasks of this entry that hold a slot or are under way, even if all queued tasks are its own.
    fn held(&self) -> u32 {
        let queued: u32 = self.load.queued.iter().map(|(_, n)| n).sum();
        self.outstanding().saturating_sub(queued)
    }

    /// Free slots. A report may have been made before the last tasks arrived, so that the tasks of this entry
    /// bound what it says.
    fn free(&self) -> u32 {
        let unsent = self.load.free_slots.saturating_sub(self.sent());
        unsent.min(self.info.slots.saturating_sub(self.held()))
    }

    fn queued(&self) -> u32 {
        let reported: u32 = self.load.queued.iter().map(|(_, n)| n).sum();
        reported + self.sent().saturating_sub(self.load.free_slots)
    }

    fn queued_kind(&self, kind: KindId) -> u32 {
        let reported = self.load.queued.iter().find(|(k, _)| *k == kind);
        reported.map_or(0, |(_, n)| *n)
    }

    /// Slots that the lane may not take; one slot at least stays for large jobs.
    fn kept(&self, lane: PlacementClass, limits: &FleetLimits) -> u32 {
        if lane.is_small {
            return 0;
        }
        limits
            .small_job_slots
            .min(self.info.slots.saturating_sub(1))
    }

    /// Whether one more task of the kind keeps the agent's queue short. Tasks that queue at an agent keep their
    /// place there, so that a job with less remaining work that arrives later would wait behind them. A free
    /// slot counts only as far as it is not taken by what was sent, and not by tasks that queue in spite of it,
    /// which an agent with a reserve does not start.
    ///
    /// An entry whose own tasks hold all slots of an agent queues nothing there: each freed slot brings it a reply
    /// anyway, at the cost of one round trip. An entry that holds fewer needs the queue to get its share of the
    /// slots that other entries free.
    fn has_room(&self, lane: PlacementClass, limits: &FleetLimits) -> bool {
        let (kind, window) = (lane.kind, limits.window);
        if lane.is_small && limits.small_job_slots > 0 && self.free() > 0 {
            return true;
        }
        let kept = self.kept(lane, limits);
        let outstanding = self.outstanding.get(&kind).copied().unwrap_or(0);
        let sent = self.sent.get(&kind).copied().unwrap_or(0);
        let others = self.held().saturating_sub(sent);
        let free = self.load.free_slots.saturating_sub(self.sent() - sent);
        let free = free
            .min(self.info.slots.saturating_sub(others))
            .saturating_sub(kept);
        let window = if self.held() < self.info.slots {
            window
        } else {
            0
        };
        outstanding < self.info.slots + window && self.queued_kind(kind) + sent < free + window
    }

    /// When a task of the kind is expected to start, zero for now. The agent takes queued kinds in turn, so that
    /// each other kind has at most as many tasks before this one as its own kind, and one more.
    fn expected_start(
        &self,
        lane: PlacementClass,
        limits: &FleetLimits,
        runs: &RunTimeEstimator,
    ) -> u64 {
        let kind = lane.kind;
        let own = self.queued_kind(kind);
        let is_express = lane.is_small && limits.small_job_slots > 0;
        let kept = self.kept(lane, limits);
        if self.free() > kept && (own == 0 || is_express) {
            return 0;
        }
        let mut ahead = Duration::ZERO;
        for &(other, queued) in &self.load.queued {
            let count = if other == kind {
                queued
            } else {
                queued.min(own + 1)
            };
            ahead += runs.estimate(other, None) * count;
        }
        let unseen = self.sent().saturating_sub(self.load.free_slots);
        ahead += runs.estimate(kind, None) * unseen;
        let start = self.reported + self.load.next_slot_wait + ahead / self.info.slots.max(1);
        start.as_micros().max(1)
    }

    fn take_outstanding(&mut self, kind: KindId) {
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

    /// Takes a load as far as it is plausible: it comes from another process, and its sums must not overflow.
    fn take_load(&mut self, mut load: AgentLoad, now: Timestamp) {
        load.free_slots = load.free_slots.min(self.info.slots);
        load.next_slot_wait = load.next_slot_wait.min(MAX_WAIT);
        load.queued.truncate(MAX_KINDS);
        load.queued
            .iter_mut()
            .for_each(|(_, n)| *n = (*n).min(MAX_COUNT));
        self.load = load;
        self.reported = now;
        self.sent.clear();
    }
}

/// Change of the fleet that an announcement brought.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnnounceOutcome {
    /// The agent was not known.
    New(AgentKey),
    /// The agent was known.
    Renewed(AgentKey),
    /// A new incarnation replaced a known one.
    Replaced {
        /// The new incarnation.
        new: AgentKey,
        /// The incarnation that is gone.
        old: AgentKey,
    },
    /// The announcement is from an incarnation that was replaced by one that is live.
    Stale,
}

/// The current incarnation of an upstream and those that it replaced.
#[derive(Debug)]
struct Named {
    key: AgentKey,
    past: VecDeque<Incarnation>,
}

/// The fleet as one entry sees it.
///
/// ```
/// use figdeal_core::{
///     fleet::{AgentInfo, AnnounceOutcome, Fleet, FleetLimits, AgentLoad, HealthSample},
///     id::{Incarnation, KindId},
///     time::Timestamp,
/// };
///
/// let (now, kind) = (Timestamp::ZERO, KindId(0));
/// let mut fleet = Fleet::with_seed(FleetLimits::default(), 1);
/// let info = AgentInfo {
///     name: "desk-1".to_owned(),
///     address: "127.0.0.1:9000".to_owned(),
///     incarnation: Incarnation(1),
///     slots: 1,
///     kinds: Vec::new(),
///     max_task_size: 10,
///     draining: false,
/// };
/// let load = AgentLoad { free_slots: 1, ..AgentLoad::default() };
/// assert!(matches!(fleet.announce(info, load, now), AnnounceOutcome::New(_)));
/// assert!(fleet.place(kind, 11, now).is_none());
/// let agent = fleet.place(kind, 10, now).unwrap();
/// fleet.record_result(agent, kind, HealthSample::Failure, now);
/// ```
#[derive(Debug)]
pub struct Fleet {
    limits: FleetLimits,
    agents: SlotMap<AgentKey, Agent>,
    names: HashMap<String, Named>,
    /// Last announcements of the agents that have not expired.
    seen: BTreeSet<(Timestamp, AgentKey)>,
    /// For each kind that was placed, the agents with room.
    index: BTreeMap<PlacementClass, KindIndex>,
    /// The ejected members and when their probes are due.
    probes: BTreeSet<(Timestamp, AgentKey)>,
    evidence: HashMap<KindId, Evidence>,
    runs: RunTimeEstimator,
    members: usize,
    ejected: usize,
    /// The latest time seen.
    now: Timestamp,
    random: u64,
    placed: u64,
}

impl Fleet {
    /// Creates an empty fleet view. Several entries should use [`Fleet::with_seed`] with different seeds.
    pub fn new(limits: FleetLimits) -> Fleet {
        Fleet::with_seed(limits, 0)
    }

    /// Creates an empty fleet view. The seed decides between agents that look alike; entries with different seeds
    /// do not all choose the same one.
    pub fn with_seed(limits: FleetLimits, seed: u64) -> Fleet {
        Fleet {
            limits,
            agents: SlotMap::with_key(),
            names: HashMap::new(),
            seen: BTreeSet::new(),
            index: BTreeMap::new(),
            probes: BTreeSet::new(),
            evidence: HashMap::new(),
            runs: RunTimeEstimator::default(),
            members: 0,
            ejected: 0,
            now: Timestamp::ZERO,
            random: seed,
            placed: 0,
        }
    }

    /// Sets the limits.
    pub fn set_limits(&mut self, limits: FleetLimits) {
        self.limits = limits;
        self.bound_ejected();
        let keys: Vec<AgentKey> = self.agents.keys().collect();
        keys.into_iter().for_each(|key| self.reindex(key));
    }

    /// Takes an announcement.
    pub fn announce(
        &mut self,
        info: AgentInfo,
        load: AgentLoad,
        now: Timestamp,
    ) -> AnnounceOutcome {
        self.advance(now);
        let Some(named) = self.names.get_mut(&info.name) else {
            let name = info.name.clone();
            let key = self.insert(info, load);
            self.names.insert(
                name,
                Named {
                    key,
                    past: VecDeque::new(),
                },
            );
            return AnnounceOutcome::New(key);
        };
        let old = named.key;
        if self.agents[old].info.incarnation == info.incarnation {
            self.renew(old, info, load);
            return AnnounceOutcome::Renewed(old);
        }
        // Incarnations have no order. If the late announcement of a dead one replaced the living one, the latter
        // must get in again once the dead one has expired.
        let is_live = self.now.since(self.agents[old].seen) < self.limits.expire_after;
        if is_live && named.past.contains(&info.incarnation) {
            return AnnounceOutcome::Stale;
        }
        named.past.retain(|past| *past != info.incarnation);
        named.past.push_back(self.agents[old].info.incarnation);
        if named.past.len() > PAST_INCARNATIONS {
            named.past.pop_front();
        }
        self.retire(old);
        self.agents[old].is_replaced = true;
        let name = info.name.clone();
        let new = self.insert(info, load);
        self.names.get_mut(&name).expect("the name is known").key = new;
        AnnounceOutcome::Replaced { new, old }
    }

    /// Removes an agent, after its outstanding tasks were resolved.
    pub fn remove(&mut self, key: AgentKey) {
        if !self.agents.contains_key(key) {
            return;
        }
        self.retire(key);
        if let Some(agent) = self.agents.remove(key)
            && !agent.is_replaced
        {
            self.names.remove(&agent.info.name);
        }
    }

    /// Takes the load that rode on a reply, as of `now`. The reply shows that the
    /// agent lives, so that it need not announce itself while replies flow; an agent that has expired or is draining
    /// needs an announcement to get work again.
    pub fn report(&mut self, key: AgentKey, load: AgentLoad, now: Timestamp) {
        self.advance(now);
        let now = self.now;
        let Some(agent) = self.agents.get_mut(key) else {
            return;
        };
        agent.take_load(load, now);
        if agent.is_member {
            self.seen.remove(&(agent.seen, key));
            self.seen.insert((now, key));
            agent.seen = now;
        }
        self.reindex(key);
    }

    /// Drops expired agents from placement, and forgets those without outstanding tasks that expired long ago.
    /// Returns the agents that expired since the last call of this or another command.
    pub fn tick(&mut self, now: Timestamp) -> Vec<AgentKey> {
        let expired = self.advance(now);
        let forgotten: Vec<AgentKey> = self
            .agents
            .iter()
            .filter(|(_, a)| a.outstanding.is_empty() && self.now.since(a.seen) >= FORGET_AFTER)
            .map(|(key, _)| key)
            .collect();
        forgotten.into_iter().for_each(|key| self.remove(key));
        expired
    }

    /// Whether any agent accepts the kind and size at all. Takes a pass over the agents that do not.
    pub fn is_placeable(&self, kind: KindId, size: u32, now: Timestamp) -> bool {
        self.agents
            .iter()
            .any(|(key, a)| a.is_member && a.accepts(kind, size) && self.is_live(key, now))
    }

    /// Whether some agent has a place for a task of the kind, whatever its size.
    pub fn has_room(&self, kind: KindId, now: Timestamp) -> bool {
        self.has_room_for(kind, 0, now)
    }

    /// Whether [`Fleet::place`] finds an agent for a task of the kind and size.
    pub fn has_room_for(&self, kind: KindId, size: u32, now: Timestamp) -> bool {
        self.has_room_for_class(PlacementClass::new(kind), size, now)
    }

    /// Whether [`Fleet::place_class`] finds an agent for a task of the lane and size.
    pub fn has_room_for_class(&self, lane: PlacementClass, size: u32, now: Timestamp) -> bool {
        let kind = lane.kind;
        let now = self.now.max(now);
        if self.due_probe(kind, size, now).is_some() {
            return true;
        }
        let accept = |key| self.agents[key].accepts(kind, size) && self.is_live(key, now);
        match self.index.get(&lane) {
            Some(index) => index.best(size, accept)[0].is_some(),
            None => self
                .agents
                .iter()
                .any(|(key, a)| accept(key) && self.gets_work(a, lane)),
        }
    }

    /// Chooses the agent where a task is expected to start soonest and counts the task as sent.
    ///
    /// Among the agents with free slots, two random ones are compared and the one with more free slots is taken.
    /// Reports are a little old, and entries that all took the best agent would flood it.
    pub fn place(&mut self, kind: KindId, size: u32, now: Timestamp) -> Option<AgentKey> {
        self.place_class(PlacementClass::new(kind), size, now)
    }

    /// As [`Fleet::place`], for a task of a lane.
    pub fn place_class(
        &mut self,
        lane: PlacementClass,
        size: u32,
        now: Timestamp,
    ) -> Option<AgentKey> {
        let kind = lane.kind;
        self.advance(now);
        let now = self.now;
        self.add_index(lane);
        let key = match self.due_probe(kind, size, now) {
            Some(key) => {
                self.start_probe(key);
                key
            }
            None => {
                let accept = |key| self.agents[key].accepts(kind, size) && self.is_live(key, now);
                let [first, second] = self.index[&lane].best(size, accept);
                let ((start, _), first) = first?;
                match second {
                    Some(((0, _), second))
                        if start == 0 && self.agents[second].free() > self.agents[first].free() =>
                    {
                        second
                    }
                    _ => first,
                }
            }
        };
        let turn = self.next_turn();
        let agent = &mut self.agents[key];
        agent.turn = turn;
        *agent.sent.entry(kind).or_default() += 1;
        *agent.outstanding.entry(kind).or_default() += 1;
        self.reindex(key);
        Some(key)
    }

    /// Records that a task that was sent is resolved, without evidence about the agent, see [`Fleet::record_result`].
    ///
    /// # Panics
    /// Panics when the agent is known and has no outstanding task of the kind.
    pub fn release_task(&mut self, key: AgentKey, kind: KindId) {
        self.record_result(key, kind, HealthSample::Inconclusive, self.now);
    }

    /// Looks an agent up.
    pub fn get(&self, key: AgentKey) -> Option<&Agent> {
        self.agents.get(key)
    }

    /// All known agents, the expired ones included.
    pub fn iter(&self) -> impl ExactSizeIterator<Item = (AgentKey, &Agent)> {
        self.agents.iter()
    }

    /// Whether the agent announced itself recently and was not replaced.
    pub fn is_live(&self, key: AgentKey, now: Timestamp) -> bool {
        let expire_after = self.limits.expire_after;
        self.agents
            .get(key)
            .is_some_and(|a| !a.is_replaced && now.since(a.seen) < expire_after)
    }

    /// Slots of the agents that get work, for estimates of the completion of a job.
    pub fn available_slots(&self, now: Timestamp) -> u32 {
        let gets_work = |a: &Agent| a.is_member && a.health() == AgentHealth::Healthy;
        self.agents
            .iter()
            .filter(|(key, a)| gets_work(a) && self.is_live(*key, now))
            .map(|(_, a)| a.info.slots)
            .sum()
    }

    fn insert(&mut self, info: AgentInfo, load: AgentLoad) -> AgentKey {
        let now = self.now;
        let turn = self.next_turn();
        let key = self.agents.insert(Agent {
            info,
            load: AgentLoad::default(),
            seen: now,
            reported: now,
            sent: BTreeMap::new(),
            outstanding: BTreeMap::new(),
            record: Record::new(),
            turn,
            is_member: false,
            is_replaced: false,
        });
        let info = self.agents[key].info.clone();
        self.renew(key, info, load);
        key
    }

    fn renew(&mut self, key: AgentKey, info: AgentInfo, load: AgentLoad) {
        let now = self.now;
        let agent = &mut self.agents[key];
        self.seen.remove(&(agent.seen, key));
        self.seen.insert((now, key));
        let is_member = !info.draining;
        agent.info = info;
        agent.info.slots = agent.info.slots.min(MAX_COUNT);
        agent.seen = now;
        agent.take_load(load, now);
        self.set_member(key, is_member);
        self.reindex(key);
    }

    fn retire(&mut self, key: AgentKey) {
        let seen = self.agents[key].seen;
        self.seen.remove(&(seen, key));
        self.set_member(key, false);
        self.reindex(key);
    }

    /// Moves the time forward and retires the agents that expired meanwhile.
    fn advance(&mut self, now: Timestamp) -> Vec<AgentKey> {
        self.now = self.now.max(now);
        let mut expired = Vec::new();
        while let Some(&(seen, key)) = self.seen.first()
            && self.now.since(seen) >= self.limits.expire_after
        {
            self.retire(key);
            expired.push(key);
        }
        expired
    }

    fn gets_work(&self, agent: &Agent, lane: PlacementClass) -> bool {
        agent.is_member
            && agent.health() == AgentHealth::Healthy
            && agent.accepts(lane.kind, 0)
            && agent.has_room(lane, &self.limits)
    }

    fn score(&mut self, key: AgentKey, lane: PlacementClass) -> Option<Score> {
        let agent = &self.agents[key];
        if !self.gets_work(agent, lane) {
            return None;
        }
        let (start, turn) = (
            agent.expected_start(lane, &self.limits, &self.runs),
            agent.turn,
        );
        let slots = agent.info.slots.max(1);
        let spread = (self.runs.estimate(lane.kind, None) / slots).as_micros() as u64;
        let random = self.next_random();
        let start = if start == 0 {
            0
        } else {
            start + random % (spread + 1)
        };
        Some((start, turn))
    }

    fn reindex(&mut self, key: AgentKey) {
        let lanes: Vec<PlacementClass> = self.index.keys().copied().collect();
        for lane in lanes {
            self.reindex_lane(key, lane);
        }
    }

    fn reindex_lane(&mut self, key: AgentKey, lane: PlacementClass) {
        let class = size_class(self.agents[key].info.max_task_size);
        let score = self.score(key, lane);
        let index = self.index.get_mut(&lane).expect("the lane has an index");
        index.set(key, class, score);
    }

    fn add_index(&mut self, lane: PlacementClass) {
        if self.index.contains_key(&lane) {
            return;
        }
        self.index.insert(lane, KindIndex::default());
        let keys: Vec<AgentKey> = self.agents.keys().collect();
        keys.into_iter()
            .for_each(|key| self.reindex_lane(key, lane));
    }

    /// A place in the order of agents that look alike: after the agents that were not chosen for long, but random
    /// among the others. A plain random number would choose the last chosen agents again and again, because those
    /// that were passed over keep their high numbers.
    fn next_turn(&mut self) -> u64 {
        self.placed += 1;
        self.placed + self.next_random() % (2 * self.agents.len() as u64 + 1)
    }

    /// The next number of the splitmix64 sequence, which only breaks ties.
    fn next_random(&mut self) -> u64 {
        self.random = self.random.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.random;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }
}
