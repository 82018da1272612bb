//! AgentState of the fleet as operators see it.

use std::time::Duration;

use super::{Agent, AgentHealth, AgentKey, Fleet};
use crate::{
    id::{Incarnation, KindId},
    time::Timestamp,
};

/// Why an agent gets work or not.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AgentState {
    /// It gets work.
    Live,
    /// It gets no work because its results are bad, until its probe is due.
    Ejected {
        /// Time until the probe is due, zero when it only waits for a task.
        probe_in: Duration,
    },
    /// One task was sent as a probe.
    Probing,
    /// It is leaving.
    Draining,
    /// It has not announced itself for too long.
    Expired,
    /// A new incarnation took its place.
    Replaced,
}

/// Results of one kind at an agent, decayed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct KindResults {
    /// The kind.
    pub kind: KindId,
    /// Successes.
    pub success: f64,
    /// Failures.
    pub failure: f64,
}

/// One agent as operators see it.
#[derive(Debug, Clone, PartialEq)]
pub struct AgentStatus {
    /// The key in this entry.
    pub key: AgentKey,
    /// Name of the upstream.
    pub name: String,
    /// Where entries reach the agent.
    pub address: String,
    /// The run of the agent.
    pub incarnation: Incarnation,
    /// Why it gets work or not.
    pub state: AgentState,
    /// Time since the last announcement.
    pub announcement_age: Duration,
    /// Slots of the upstream.
    pub slots: u32,
    /// Free slots, less what was sent since the last report.
    pub free: u32,
    /// Queued tasks of all entries, with what was sent since the last report.
    pub queued: u32,
    /// Tasks of this entry without an answer.
    pub outstanding: u32,
    /// Results for each kind.
    pub results: Vec<KindResults>,
}

impl Fleet {
    /// The state of every known agent, ordered by name.
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
        let results = agent.record.counts.keys().map(|&kind| {
            let (success, failure) = agent.results(kind, now);
            KindResults {
                kind,
                success,
                failure,
            }
        });
        AgentStatus {
            key,
            name: agent.info.name.clone(),
            address: agent.info.address.clone(),
            incarnation: agent.info.incarnation,
            state: self.state(key, agent, now),
            announcement_age: now.since(agent.seen),
            slots: agent.info.slots,
            free: agent.free(),
            queued: agent.queued(),
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
