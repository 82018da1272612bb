//! Status of the agents, for the status call of an entry.

use std::time::Duration;

use super::{Agent, AgentHealth, AgentKey, Fleet};
use crate::{
    id::{Incarnation, KindId},
    time::Timestamp,
};

/// Whether an agent gets tasks, and why not.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AgentState {
    /// The agent gets tasks.
    Live,
    /// The agent was ejected as an outlier and gets no tasks until its probe is due.
    Ejected {
        /// Time until the probe is due; zero when the probe only waits for a task.
        probe_in: Duration,
    },
    /// The agent was ejected, and one task was sent to it as a probe.
    Probing,
    /// The agent or its upstream is shutting down.
    Draining,
    /// The agent has not announced itself within the expiry time.
    Expired,
    /// A new incarnation of the agent replaced this one.
    Replaced,
}

/// Numbers of results of one kind at an agent, with exponential decay.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct KindResults {
    /// Kind of the tasks.
    pub kind: KindId,
    /// Decayed number of successes.
    pub successes: f64,
    /// Decayed number of failures.
    pub failures: f64,
}

/// Status of one agent at this entry.
#[derive(Debug, Clone, PartialEq)]
pub struct AgentStatus {
    /// Key of the agent in the fleet of this entry.
    pub key: AgentKey,
    /// Name of the upstream.
    pub name: String,
    /// Address at which entries connect to the agent.
    pub address: String,
    /// Incarnation of the agent process.
    pub incarnation: Incarnation,
    /// Whether the agent gets tasks, and why not.
    pub state: AgentState,
    /// Time since the last announcement or load report.
    pub announcement_age: Duration,
    /// Number of slots of the upstream.
    pub slots: u32,
    /// Estimated free slots: the reported ones less the tasks sent since the report.
    pub free: u32,
    /// Estimated queue length: the reported tasks of all entries plus those sent since the report.
    pub queued: u32,
    /// Number of tasks that this entry sent and the agent has not answered.
    pub outstanding: u32,
    /// Recent results of each kind.
    pub results: Vec<KindResults>,
}

impl Fleet {
    /// Returns the status of every known agent, ordered by name.
    pub fn status(&self, now: Timestamp) -> Vec<AgentStatus> {
        let mut all: Vec<AgentStatus> = self
            .agents
            .iter()
            .map(|(key, agent)| self.describe(key, agent, now))
            .collect();
        all.sort_by(|a, b| a.name.cmp(&b.name).then(a.key.cmp(&b.key)));
        all
    }

    fn describe(&self, key: AgentKey, agent: &Agent, now: Timestamp) -> AgentStatus {
        let results = agent.health_record.counts.keys().map(|&kind| {
            let (successes, failures) = agent.results(kind, now);
            KindResults {
                kind,
                successes,
                failures,
            }
        });
        AgentStatus {
            key,
            name: agent.info.name.clone(),
            address: agent.info.address.clone(),
            incarnation: agent.info.incarnation,
            state: self.state(key, agent, now),
            announcement_age: now.since(agent.seen_at),
            slots: agent.info.slots,
            free: agent.estimated_free(),
            queued: agent.estimated_queued(),
            outstanding: agent.outstanding(),
            results: results.collect(),
        }
    }

    fn state(&self, key: AgentKey, agent: &Agent, now: Timestamp) -> AgentState {
        if agent.is_replaced {
            return AgentState::Replaced;
        }
        if !self.is_live(key, now) {
            return AgentState::Expired;
        }
        if agent.info.draining {
            return AgentState::Draining;
        }
        match agent.health() {
            AgentHealth::Healthy => AgentState::Live,
            AgentHealth::Ejected { until } => AgentState::Ejected {
                probe_in: until.since(now),
            },
            AgentHealth::Probing => AgentState::Probing,
        }
    }
}
