//! Limits the load of cold workers, which are slow for some time after a start or an evacuation.
//!
//! The load that is meant: the free capacity of a data centre whose evacuation is revoked, while the other workers are
//! busy. Without a limit, the next jobs would all go to the cold workers and miss their goals there.

use std::time::Duration;

use figdeal_core::time::Timestamp;

use super::{AgentKey, AgentView, Dispatcher, room::Pool};

/// Factor by which a task is assumed to run longer on a cold worker. The platform does not tell how slow the worker is.
const COLD_FACTOR: f64 = 2.0;

/// Returns by which factor a task is assumed to run longer because the worker is cold.
pub(super) fn run_time_factor(agent: &AgentView) -> f64 {
    match agent.cold_until {
        Some(_) => COLD_FACTOR,
        None => 1.0,
    }
}

impl Dispatcher {
    /// Records for how long a worker will still be cold. Without a limit for cold workers, this has no effect.
    pub(super) fn record_cold(&mut self, now: Timestamp, key: AgentKey, cold_ms: u32) {
        if self.limits.cold.is_none() {
            return;
        }
        let is_cold = cold_ms > 0;
        let cold_until = is_cold.then(|| now + Duration::from_millis(u64::from(cold_ms)));
        let previous = std::mem::replace(&mut self.agents[key].cold_until, cold_until);
        if previous.is_some() != is_cold {
            self.on_cold_change(key, cold_ms);
        }
    }

    /// Lifts the limit from workers whose cold time has passed.
    pub(super) fn end_cold_times(&mut self, now: Timestamp) {
        let is_over = |agent: &AgentView| agent.cold_until.is_some_and(|until| until <= now);
        let over = self.agents.iter().filter(|(_, agent)| is_over(agent));
        for key in over.map(|(key, _)| key).collect::<Vec<_>>() {
            self.agents[key].cold_until = None;
            self.on_cold_change(key, 0);
        }
    }

    fn on_cold_change(&mut self, key: AgentKey, cold_ms: u32) {
        self.update_room(key);
        let agent = &self.agents[key];
        log::info!(
            "E684 worker became cold or warm agent={} cold_ms={cold_ms} runs={}",
            agent.address,
            agent.placed.len()
        );
    }

    /// Returns whether the worker is warm or may get another run.
    pub(super) fn is_below_cold_limit(&self, pool: &Pool, agent: &AgentView) -> bool {
        let limit = self.limits.cold.filter(|_| agent.cold_until.is_some());
        let (warm_count, warm_runs) = pool.warm();
        limit.is_none_or(|limit| limit.allows(agent.placed.len() as u64, warm_count, warm_runs))
    }
}
