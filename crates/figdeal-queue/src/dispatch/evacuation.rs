//! Evacuated data centres: their workers get no starts and do not count as capacity. Their runs end normally.

use std::collections::BTreeSet;

use super::{AgentKey, AgentView, Dispatcher};
use crate::message::WorkerInfo;

/// Maximum number of agents that a log line about an evacuation names.
const MAX_LOGGED_AGENTS: usize = 16;

/// Returns whether the worker is in one of the evacuated data centres.
pub(super) fn covers(evacuated: &BTreeSet<String>, worker: &WorkerInfo) -> bool {
    let data_centre = worker.data_centre.as_ref();
    data_centre.is_some_and(|name| evacuated.contains(name))
}

impl Dispatcher {
    /// Replaces the set of evacuated data centres. No start is ordered in them afterwards.
    pub fn set_evacuated(&mut self, evacuated: &BTreeSet<String>) {
        if self.evacuated == *evacuated {
            return;
        }
        let previous = std::mem::replace(&mut self.evacuated, evacuated.clone());
        self.refresh_kinds();
        for key in self.agents.keys().collect::<Vec<_>>() {
            self.update_room(key);
        }
        for data_centre in previous.symmetric_difference(evacuated) {
            self.log_change(data_centre);
        }
    }

    fn log_change(&self, data_centre: &str) {
        let is_inside = |agent: &&AgentView| {
            let worker = agent.worker.as_ref();
            worker.is_some_and(|w| w.data_centre.as_deref() == Some(data_centre))
        };
        let agents: Vec<&AgentView> = self.agents.values().filter(is_inside).collect();
        let runs: usize = agents.iter().map(|a| a.placed.len()).sum();
        let named = agents.iter().take(MAX_LOGGED_AGENTS).map(|a| a.address);
        log::info!(
            "E682 evacuation changed data_centre={data_centre:?} evacuated={} workers={} runs={runs} \
             agents={:?} suppressed={}",
            self.evacuated.contains(data_centre),
            agents.len(),
            named.collect::<Vec<_>>(),
            agents.len().saturating_sub(MAX_LOGGED_AGENTS)
        );
    }

    /// Returns the data centres of the known workers, with duplicates.
    pub fn data_centres(&self) -> impl Iterator<Item = &str> {
        let workers = self.agents.values().filter_map(|a| a.worker.as_ref());
        workers.filter_map(|w| w.data_centre.as_deref())
    }

    /// Returns whether agents of earlier terms have not reported yet, so that their workers are not known.
    pub fn awaits_agents(&self) -> bool {
        !self.agents_with_unknown_runs.is_empty()
    }

    pub(super) fn is_evacuated(&self, agent: &AgentView) -> bool {
        let worker = agent.worker.as_ref();
        worker.is_some_and(|worker| covers(&self.evacuated, worker))
    }

    /// Logs that a new or changed worker is in an evacuated data centre.
    pub(super) fn log_if_evacuated(&self, key: AgentKey) {
        let agent = &self.agents[key];
        if self.is_evacuated(agent) {
            let worker = agent.worker.as_ref();
            log::info!(
                "E683 worker in an evacuated data centre gets no starts agent={} data_centre={:?}",
                agent.address,
                worker.and_then(|w| w.data_centre.as_deref())
            );
        }
    }
}
