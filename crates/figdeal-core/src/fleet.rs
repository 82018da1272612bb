//! An entry's view of the fleet: announcements, load, placement and ejection.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use slotmap::{SlotMap, new_key_type};

use crate::{
    id::{Incarnation, KindId},
    time::Timestamp,
};

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
    pub size: u32,
    /// Whether the upstream or the agent is leaving.
    pub draining: bool,
}

/// Load of an agent as it reported it.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Load {
    /// Slots without a task.
    pub free: u32,
    /// Queued tasks of each kind, of all entries.
    pub queued: Vec<(KindId, u32)>,
    /// Expected time until the next slot is free.
    pub wait: Duration,
}

/// Settings of placement and ejection.
#[derive(Debug, Clone, Copy)]
pub struct FleetLimits {
    /// Tasks of a kind that an entry sends beyond the slots of an agent.
    pub window: u32,
    /// Time without an announcement after which an agent gets no new work.
    pub expire_after: Duration,
    /// Largest part of the fleet that may be ejected, in percent.
    pub max_ejected: u32,
    /// First back-off of an ejected agent.
    pub eject_for: Duration,
}

impl Default for FleetLimits {
    fn default() -> FleetLimits {
        FleetLimits {
            window: 2,
            expire_after: Duration::from_secs(3),
            max_ejected: 30,
            eject_for: Duration::from_secs(1),
        }
    }
}

/// One agent as the entry sees it.
#[derive(Debug)]
pub struct Agent {
    /// The last announcement.
    pub info: AgentInfo,
    /// The last reported load.
    pub load: Load,
    seen: Timestamp,
    sent: u32,
    outstanding: BTreeMap<KindId, u32>,
}

impl Agent {
    /// Tasks sent to the agent and not answered.
    pub fn outstanding(&self) -> u32 {
        self.outstanding.values().sum()
    }

    fn accepts(&self, kind: KindId, size: u32) -> bool {
        size <= self.info.size && (self.info.kinds.is_empty() || self.info.kinds.contains(&kind))
    }

    fn free(&self) -> u32 {
        self.load.free.saturating_sub(self.sent)
    }

    fn queued(&self) -> u32 {
        let reported: u32 = self.load.queued.iter().map(|(_, n)| n).sum();
        reported + self.sent.saturating_sub(self.load.free)
    }
}

/// Change of the fleet that an announcement brought.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Announced {
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
    /// The announcement is from an incarnation that was replaced.
    Stale,
}

/// The fleet as one entry sees it.
#[derive(Debug)]
pub struct Fleet {
    limits: FleetLimits,
    agents: SlotMap<AgentKey, Agent>,
    names: HashMap<String, AgentKey>,
    turn: usize,
}

impl Fleet {
    /// Creates an empty fleet view.
    pub fn new(limits: FleetLimits) -> Fleet {
        Fleet {
            limits,
            agents: SlotMap::with_key(),
            names: HashMap::new(),
            turn: 0,
        }
    }

    /// Sets the bounds.
    pub fn set_limits(&mut self, limits: FleetLimits) {
        self.limits = limits;
    }

    /// Takes an announcement.
    pub fn announce(&mut self, info: AgentInfo, load: Load, now: Timestamp) -> Announced {
        let known = self.names.get(&info.name).copied();
        if let Some(key) = known
            && let Some(agent) = self.agents.get_mut(key)
            && agent.info.incarnation == info.incarnation
        {
            agent.info = info;
            agent.load = load;
            agent.sent = 0;
            agent.seen = now;
            return Announced::Renewed(key);
        }
        let name = info.name.clone();
        let new = self.agents.insert(Agent {
            info,
            load,
            seen: now,
            sent: 0,
            outstanding: BTreeMap::new(),
        });
        match self.names.insert(name, new) {
            Some(old) => Announced::Replaced { new, old },
            None => Announced::New(new),
        }
    }

    /// Removes an agent, after its outstanding tasks were resolved.
    pub fn remove(&mut self, key: AgentKey) {
        if let Some(agent) = self.agents.remove(key)
            && self.names.get(&agent.info.name) == Some(&key)
        {
            self.names.remove(&agent.info.name);
        }
    }

    /// Takes the load that rode on a reply.
    pub fn report(&mut self, key: AgentKey, load: Load) {
        if let Some(agent) = self.agents.get_mut(key) {
            agent.load = load;
            agent.sent = 0;
        }
    }

    /// Whether any agent accepts the kind and size at all.
    pub fn is_placeable(&self, kind: KindId, size: u32, now: Timestamp) -> bool {
        self.live(now).any(|(_, a)| a.accepts(kind, size))
    }

    /// Whether some agent has a place for a task of the kind.
    pub fn has_room(&self, kind: KindId, now: Timestamp) -> bool {
        self.live(now)
            .any(|(_, a)| a.accepts(kind, 0) && self.room(a, kind))
    }

    /// Chooses the agent where a task is expected to start soonest and counts the task as sent.
    pub fn place(&mut self, kind: KindId, size: u32, now: Timestamp) -> Option<AgentKey> {
        let count = self.agents.len().max(1);
        self.turn = (self.turn + 1) % count;
        let turn = self.turn;
        let key = self
            .live(now)
            .enumerate()
            .filter(|(_, (_, a))| a.accepts(kind, size) && self.room(a, kind))
            .min_by_key(|(i, (_, a))| {
                let spread = (i + turn) % count;
                (
                    a.queued() * 1000 / a.info.slots.max(1),
                    u32::MAX - a.free(),
                    spread,
                )
            })
            .map(|(_, (key, _))| key)?;
        let agent = &mut self.agents[key];
        agent.sent += 1;
        *agent.outstanding.entry(kind).or_default() += 1;
        Some(key)
    }

    /// Records that a task that was sent is resolved.
    ///
    /// # Panics
    /// Panics when the agent is known and has no outstanding task of the kind.
    pub fn resolve(&mut self, key: AgentKey, kind: KindId) {
        let Some(agent) = self.agents.get_mut(key) else {
            return;
        };
        let count = agent
            .outstanding
            .get_mut(&kind)
            .expect("the kind has outstanding tasks");
        assert!(*count > 0, "resolved more tasks than were sent");
        *count -= 1;
    }

    /// Looks an agent up.
    pub fn get(&self, key: AgentKey) -> Option<&Agent> {
        self.agents.get(key)
    }

    /// All known agents, the expired ones included.
    pub fn iter(&self) -> impl Iterator<Item = (AgentKey, &Agent)> {
        self.agents.iter()
    }

    /// Whether the agent announced itself recently.
    pub fn is_live(&self, key: AgentKey, now: Timestamp) -> bool {
        self.agents
            .get(key)
            .is_some_and(|a| now.since(a.seen) < self.limits.expire_after)
    }

    fn live(&self, now: Timestamp) -> impl Iterator<Item = (AgentKey, &Agent)> {
        let expire_after = self.limits.expire_after;
        self.agents
            .iter()
            .filter(move |(_, a)| !a.info.draining && now.since(a.seen) < expire_after)
    }

    fn room(&self, agent: &Agent, kind: KindId) -> bool {
        let sent = agent.outstanding.get(&kind).copied().unwrap_or(0);
        sent < agent.info.slots + self.limits.window
            && (agent.free() > 0 || agent.queued() < self.limits.window * 4)
    }
}
