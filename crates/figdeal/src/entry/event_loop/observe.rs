//! Metrics and status of the event loop.

use std::collections::{BTreeMap, BTreeSet};

use figdeal_core::{
    entry::{ClaimResult, FinishedJob},
    fleet::{AgentState, AgentStatus},
    id::KindId,
    outcome::Outcome,
    time::Timestamp,
};
use metrics::{counter, gauge, histogram};
use serde_json::{Value, json};

use super::{super::config_store, EventLoop};
use crate::report::TaskEnd;

/// All states of an agent. The gauge of each state is always set, so that it returns to zero when no agent is in it.
const STATE_NAMES: [&str; 6] = [
    "live", "ejected", "probing", "draining", "expired", "replaced",
];

impl EventLoop {
    /// Records the jobs that ended in the metrics and in the burn rates.
    pub(super) fn record_finished_jobs(&mut self, now: Timestamp) {
        for ended in self.core.take_finished() {
            counter!("figdeal_jobs_total", "outcome" => ended.outcome.name()).increment(1);
            self.count_tasks(&ended);
            self.burn_tracker.record(&ended, now);
        }
    }

    fn count_tasks(&self, ended: &FinishedJob) {
        let ends = TaskEnd::of(ended);
        let state = |i: usize| -> &'static str {
            let end = ends.as_ref().map(|ends| ends[i]);
            end.map_or("cancelled", TaskEnd::name)
        };
        // A job has many tasks of few kinds, so the counter is looked up once for each kind and state.
        let mut counts: BTreeMap<(KindId, &str), u64> = BTreeMap::new();
        for (i, (kind, _)) in ended.tasks.iter().enumerate() {
            *counts.entry((*kind, state(i))).or_default() += 1;
        }
        let kinds: BTreeSet<KindId> = counts.keys().map(|(kind, _)| *kind).collect();
        for ((kind, state), count) in counts {
            let name = self.kinds.name(kind.0).to_owned();
            counter!("figdeal_tasks_total", "kind" => name, "state" => state).increment(count);
        }
        if !matches!(*ended.outcome, Outcome::Complete(_)) {
            return;
        }
        for kind in kinds {
            let name = self.kinds.name(kind.0).to_owned();
            histogram!("figdeal_response_seconds", "kind" => name).record(ended.response_time);
        }
    }

    /// Sets the metrics that are computed at the time of a scrape.
    pub(super) fn set_gauges(&self, now: Timestamp) {
        let rules = self.shared.rules();
        for name in rules.kinds.keys() {
            let queued = self
                .kinds
                .get(name)
                .map_or(0, |id| self.core.queued(KindId(id)));
            gauge!("figdeal_queued_tasks", "kind" => name.clone()).set(queued as f64);
        }
        let agents = self.core.fleet().status(now);
        let live: Vec<&AgentStatus> = agents.iter().filter(|a| state_name(a) == "live").collect();
        let sum =
            |count: fn(&AgentStatus) -> u32| f64::from(live.iter().map(|a| count(a)).sum::<u32>());
        gauge!("figdeal_slots").set(sum(|a| a.slots));
        gauge!("figdeal_free_slots").set(sum(|a| a.free));
        for name in STATE_NAMES {
            let count = agents.iter().filter(|a| state_name(a) == name).count();
            gauge!("figdeal_agents", "state" => name).set(count as f64);
        }
        gauge!("figdeal_open_jobs").set(self.core.open_jobs() as f64);
        gauge!("figdeal_ready").set(f64::from(u8::from(self.shared.is_ready())));
        gauge!("figdeal_config_version").set(rules.version as f64);
        if let Some(active_config) = self.shared.active_config() {
            gauge!("figdeal_config_age_seconds")
                .set(config_store::config_age(&active_config).as_secs_f64());
        }
        let counts = self.core.counts();
        counter!("figdeal_sent_tasks_total").absolute(counts.sent);
        counter!("figdeal_replaced_tasks_total").absolute(counts.replaced);
    }
}

/// Counts a claim by its result.
pub(super) fn count_claim(claimed: ClaimResult) {
    let decision = match claimed {
        ClaimResult::Owner => "owner",
        ClaimResult::OwnedBy(..) => "other_entry",
        ClaimResult::Collector => "collector",
        ClaimResult::Conflict => "conflict",
        ClaimResult::Expired => "expired",
        ClaimResult::Undecided => "undecided",
        ClaimResult::CreatedInFuture => "invalid",
    };
    counter!("figdeal_claims_total", "decision" => decision).increment(1);
}

/// Returns the status of an agent as JSON.
pub(super) fn agent_json(agent: &AgentStatus) -> Value {
    let probe = match agent.state {
        AgentState::Ejected { probe_in } => Some(probe_in.as_millis() as u64),
        _ => None,
    };
    json!({
        "name": agent.name,
        "address": agent.address,
        "state": state_name(agent),
        "live": !matches!(agent.state, AgentState::Expired | AgentState::Replaced),
        "draining": agent.state == AgentState::Draining,
        "probe_in_ms": probe,
        "age_ms": agent.announcement_age.as_millis() as u64,
        "slots": agent.slots,
        "free": agent.free,
        "queued": agent.queued,
        "outstanding": agent.outstanding,
    })
}

fn state_name(agent: &AgentStatus) -> &'static str {
    match agent.state {
        AgentState::Live => "live",
        AgentState::Ejected { .. } => "ejected",
        AgentState::Probing => "probing",
        AgentState::Draining => "draining",
        AgentState::Expired => "expired",
        AgentState::Replaced => "replaced",
    }
}
