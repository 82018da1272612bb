//! Outlier ejection: an agent whose upstream fails tasks that succeed elsewhere gets no tasks except probes.

use std::{collections::BTreeMap, time::Duration};

use super::{Agent, AgentKey, Fleet};
use crate::{id::KindId, time::Timestamp};

/// Longest time from an ejection, or a failed probe, to the next probe.
const MAX_EJECTION_BACKOFF: Duration = Duration::from_secs(60);
/// Half-life of the result counts.
const COUNT_HALF_LIFE: Duration = Duration::from_secs(10);
/// The earlier counts of a kind are multiplied by this at each new result. It bounds a count at 14, so that a kind that
/// starts to fail everywhere shows similar failure rates at agents with a long and with a short history.
const RESULT_DECAY_FACTOR: f64 = 0.93;
/// Minimum number of failures above the expected number for an ejection.
const MIN_EXCESS_FAILURES: f64 = 4.0;
/// Minimum excess failures as a fraction of the largest possible excess. It is also the failure rate at other agents
/// from which a failed probe says nothing about the probed agent.
const MIN_EXCESS_FRACTION: f64 = 0.5;
/// Minimum excess failures in standard deviations. With a kind that failed 30% of its tasks at all agents, 63,000 tasks
/// ejected 6 agents without this bound and one agent with a bound of 6.
const MIN_STANDARD_DEVIATIONS: f64 = 7.0;
/// Upper bound of the sum of the squared weights of the results: 1 / (1 - RESULT_DECAY_FACTOR^2).
const MAX_SQUARED_WEIGHTS: f64 = 7.4;
/// Minimum decayed number of results from which an agent has a failure rate of a kind.
const MIN_RATE_RESULTS: f64 = 0.9;
/// Fleets up to this number of agents compute the fleet-wide failure rate at each failure; larger ones reuse it for
/// `FLEET_RATE_MAX_AGE`, because it takes a pass over all agents.
const MAX_SMALL_FLEET_AGENTS: usize = 64;
/// Time for which a large fleet reuses the failure rate of a kind.
const FLEET_RATE_MAX_AGE: Duration = Duration::from_millis(250);
/// Maximum number of ejected agents that one placement examines for a due probe.
const MAX_PROBE_CANDIDATES: usize = 8;

/// What the end of a task says about the health of its agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HealthSample {
    /// The upstream succeeded, with this run time.
    Success(Duration),
    /// The upstream reported a failure or did not answer.
    Failure,
    /// The end says nothing about the agent, for example after a cancellation.
    Inconclusive,
}

/// State of an agent in outlier ejection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AgentHealth {
    /// The agent gets tasks.
    Healthy,
    /// The agent gets no tasks until the backoff has passed, then one probe.
    Ejected {
        /// Time at which the probe is due.
        until: Timestamp,
    },
    /// One task was sent as a probe and has not been answered.
    Probing,
}

/// Numbers of successes and failures with exponential decay.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct ResultCounts {
    successes: f64,
    failures: f64,
    /// Time up to which the decay has been applied.
    decayed_at: Timestamp,
}

impl ResultCounts {
    fn decayed(&self, now: Timestamp) -> ResultCounts {
        let age = now.since(self.decayed_at).as_secs_f64() / COUNT_HALF_LIFE.as_secs_f64();
        let factor = 0.5f64.powf(age);
        ResultCounts {
            successes: self.successes * factor,
            failures: self.failures * factor,
            decayed_at: now.max(self.decayed_at),
        }
    }

    fn add(&mut self, is_success: bool, now: Timestamp) {
        let mut counts = self.decayed(now);
        counts.successes *= RESULT_DECAY_FACTOR;
        counts.failures *= RESULT_DECAY_FACTOR;
        *(if is_success {
            &mut counts.successes
        } else {
            &mut counts.failures
        }) += 1.0;
        *self = counts;
    }

    fn total(&self) -> f64 {
        self.successes + self.failures
    }

    /// Failure rate, `None` with too few results.
    fn rate(&self) -> Option<f64> {
        (self.total() >= MIN_RATE_RESULTS).then(|| self.failures / self.total())
    }
}

/// Ejection state and recent results of one agent.
#[derive(Debug)]
pub(super) struct HealthRecord {
    pub(super) health: AgentHealth,
    pub(super) counts: BTreeMap<KindId, ResultCounts>,
    /// The last backoff, zero before the first ejection.
    backoff: Duration,
    /// Time of the last successful probe or restoration.
    recovered_at: Timestamp,
}

impl HealthRecord {
    pub(super) fn new() -> HealthRecord {
        HealthRecord {
            health: AgentHealth::Healthy,
            counts: BTreeMap::new(),
            backoff: Duration::ZERO,
            recovered_at: Timestamp::ZERO,
        }
    }
}

/// Sum of the failure rates of a kind over the agents that have enough results of it.
#[derive(Debug, Clone, Copy)]
pub(super) struct FleetFailureRate {
    computed_at: Timestamp,
    agents: f64,
    rate_sum: f64,
}

impl Agent {
    /// Returns the state of the agent in outlier ejection.
    pub fn health(&self) -> AgentHealth {
        self.health_record.health
    }

    /// Returns the decayed numbers of successes and failures of a kind at the agent.
    pub fn results(&self, kind: KindId, now: Timestamp) -> (f64, f64) {
        let counts = self.health_record.counts.get(&kind).map(|c| c.decayed(now));
        counts.map_or((0.0, 0.0), |c| (c.successes, c.failures))
    }
}

impl Fleet {
    /// Ends an outstanding task and records what its result says about the agent and about the run time of the kind.
    ///
    /// # Panics
    /// Panics when the agent is known and has no outstanding task of the kind.
    pub fn record_result(
        &mut self,
        key: AgentKey,
        kind: KindId,
        sample: HealthSample,
        now: Timestamp,
    ) {
        self.advance(now);
        let now = self.now;
        if let HealthSample::Success(run) = sample {
            self.run_times.record(kind, run);
        }
        let Some(agent) = self.agents.get_mut(key) else {
            return;
        };
        agent.remove_outstanding(kind);
        let is_success = match sample {
            HealthSample::Success(_) => true,
            HealthSample::Failure => false,
            HealthSample::Inconclusive => {
                self.reschedule_probe(key);
                self.reindex(key);
                return;
            }
        };
        agent
            .health_record
            .counts
            .entry(kind)
            .or_default()
            .add(is_success, now);
        match (agent.health_record.health, is_success) {
            (AgentHealth::Probing, true) => self.restore(key),
            (AgentHealth::Probing, false) => self.fail_probe(key, kind),
            (AgentHealth::Healthy, false) if agent.is_available && self.is_outlier(key) => {
                self.eject(key)
            }
            _ => {}
        }
        self.reindex(key);
    }

    /// Number of ejected agents, without those that are expired, draining or replaced.
    pub fn ejected_count(&self) -> usize {
        self.ejected_count
    }

    /// Returns an ejected agent whose probe is due, that accepts the task and has no outstanding tasks.
    pub(super) fn due_probe(&self, kind: KindId, size: u32, now: Timestamp) -> Option<AgentKey> {
        self.probes
            .iter()
            .take_while(|(due, _)| *due <= now)
            .take(MAX_PROBE_CANDIDATES)
            .map(|&(_, key)| key)
            .find(|&key| {
                let agent = &self.agents[key];
                agent.accepts(kind, size) && agent.outstanding() == 0 && self.is_live(key, now)
            })
    }

    pub(super) fn start_probe(&mut self, key: AgentKey) {
        let record = &mut self.agents[key].health_record;
        let AgentHealth::Ejected { until } = record.health else {
            panic!("a probe is sent only to an ejected agent");
        };
        let is_due = self.probes.remove(&(until, key));
        assert!(is_due, "an ejected agent has a scheduled probe");
        record.health = AgentHealth::Probing;
    }

    /// Schedules the next probe of an agent whose probe ended without a usable result.
    pub(super) fn reschedule_probe(&mut self, key: AgentKey) {
        if self.agents[key].health_record.health == AgentHealth::Probing {
            self.schedule_probe(key);
        }
    }

    /// Makes an agent available or unavailable. Only available agents count in the bound on ejections.
    pub(super) fn set_available(&mut self, key: AgentKey, is_available: bool) {
        let agent = &mut self.agents[key];
        if agent.is_available == is_available {
            return;
        }
        agent.is_available = is_available;
        let health = agent.health_record.health;
        if is_available {
            self.available_count += 1;
            if health != AgentHealth::Healthy {
                self.ejected_count += 1;
                self.schedule_probe(key);
            }
        } else {
            self.available_count -= 1;
            if health != AgentHealth::Healthy {
                self.ejected_count -= 1;
            }
            if let AgentHealth::Ejected { until } = health {
                self.probes.remove(&(until, key));
            }
        }
        self.bound_ejected();
    }

    fn max_ejected(&self) -> usize {
        self.available_count * self.limits.max_ejected_percent as usize / 100
    }

    /// Restores agents while more are ejected than the bound allows: those with the earliest probes first, then those
    /// that are being probed.
    pub(super) fn bound_ejected(&mut self) {
        while self.ejected_count > self.max_ejected() {
            let waiting = self.probes.first().map(|&(_, key)| key);
            let key = waiting.or_else(|| {
                let is_ejected =
                    |a: &Agent| a.is_available && a.health_record.health != AgentHealth::Healthy;
                self.agents
                    .iter()
                    .find(|(_, a)| is_ejected(a))
                    .map(|(key, _)| key)
            });
            let key = key.expect("ejected agents are counted only while they are available");
            self.restore(key);
            self.reindex(key);
        }
    }

    /// Whether an agent must be ejected: its failures exceed those of the other agents, for one kind or for all kinds
    /// together, and the bound allows one more ejection.
    fn is_outlier(&mut self, key: AgentKey) -> bool {
        if self.ejected_count + 1 > self.max_ejected() {
            return false;
        }
        let now = self.now;
        let counts: Vec<(KindId, ResultCounts)> = self.agents[key]
            .health_record
            .counts
            .iter()
            .map(|(&kind, counts)| (kind, counts.decayed(now)))
            .collect();
        let mut total = ExcessFailures::default();
        for (kind, counts) in counts {
            let Some(rate) = self.rate_elsewhere(kind, counts) else {
                continue;
            };
            let excess = ExcessFailures {
                failures: counts.failures - counts.total() * rate,
                possible: counts.total() * (1.0 - rate),
                variance: rate * (1.0 - rate) * counts.total().min(MAX_SQUARED_WEIGHTS),
            };
            if excess.is_outlier() {
                return true;
            }
            total.failures += excess.failures;
            total.possible += excess.possible;
            total.variance += excess.variance;
        }
        total.is_outlier()
    }

    /// Mean failure rate of a kind at the other agents. Each agent has the same weight, because an upstream that fails
    /// every task at once has far more results than the others. `None` if no other agent has enough results.
    fn rate_elsewhere(&mut self, kind: KindId, own: ResultCounts) -> Option<f64> {
        let now = self.now;
        let is_small = self.agents.len() <= MAX_SMALL_FLEET_AGENTS;
        let cached = self.failure_rates.get(&kind).copied();
        let fleet_rate = match cached {
            Some(rate) if !is_small && now.since(rate.computed_at) < FLEET_RATE_MAX_AGE => rate,
            _ => {
                let rates = self
                    .agents
                    .values()
                    .filter(|a| a.is_available)
                    .filter_map(|agent| {
                        agent
                            .health_record
                            .counts
                            .get(&kind)
                            .and_then(|c| c.decayed(now).rate())
                    });
                let (agents, rate_sum) =
                    rates.fold((0.0, 0.0), |(n, sum), rate| (n + 1.0, sum + rate));
                let fleet_rate = FleetFailureRate {
                    computed_at: now,
                    agents,
                    rate_sum,
                };
                self.failure_rates.insert(kind, fleet_rate);
                fleet_rate
            }
        };
        let (agents, rate_sum) = match own.rate() {
            Some(rate) => (fleet_rate.agents - 1.0, fleet_rate.rate_sum - rate),
            None => (fleet_rate.agents, fleet_rate.rate_sum),
        };
        (agents >= 1.0).then(|| (rate_sum / agents).clamp(0.0, 1.0))
    }

    fn eject(&mut self, key: AgentKey) {
        let now = self.now;
        let base = self.limits.base_ejection_time;
        let record = &mut self.agents[key].health_record;
        // An agent that fails again soon after a successful probe continues with its last backoff, doubled.
        let is_repeated =
            !record.backoff.is_zero() && now.since(record.recovered_at) < MAX_EJECTION_BACKOFF;
        record.backoff = if is_repeated {
            (record.backoff * 2).min(MAX_EJECTION_BACKOFF)
        } else {
            base
        };
        self.ejected_count += 1;
        assert!(
            self.ejected_count <= self.max_ejected(),
            "the number of ejected agents stays within the bound"
        );
        self.schedule_probe(key);
    }

    /// Handles a failed probe: doubles the backoff, unless the kind also fails elsewhere and the failure says nothing.
    fn fail_probe(&mut self, key: AgentKey, kind: KindId) {
        let own = self.agents[key].health_record.counts[&kind].decayed(self.now);
        let is_evidence = self
            .rate_elsewhere(kind, own)
            .is_none_or(|rate| rate < MIN_EXCESS_FRACTION);
        let record = &mut self.agents[key].health_record;
        if is_evidence {
            record.backoff = (record.backoff * 2).min(MAX_EJECTION_BACKOFF);
        }
        self.schedule_probe(key);
    }

    fn schedule_probe(&mut self, key: AgentKey) {
        let agent = &mut self.agents[key];
        let until = self.now + agent.health_record.backoff;
        agent.health_record.health = AgentHealth::Ejected { until };
        if agent.is_available {
            self.probes.insert((until, key));
        }
    }

    fn restore(&mut self, key: AgentKey) {
        let agent = &mut self.agents[key];
        if let AgentHealth::Ejected { until } = agent.health_record.health {
            self.probes.remove(&(until, key));
        }
        agent.health_record.health = AgentHealth::Healthy;
        agent.health_record.counts.clear();
        agent.health_record.recovered_at = self.now;
        if agent.is_available {
            self.ejected_count -= 1;
        }
    }
}

/// Failures of an agent above the number expected from the failure rate at the other agents.
#[derive(Debug, Default)]
struct ExcessFailures {
    failures: f64,
    /// The excess if every result were a failure.
    possible: f64,
    variance: f64,
}

impl ExcessFailures {
    /// Whether the excess is large enough in number, as a fraction and compared with the random variation.
    fn is_outlier(&self) -> bool {
        self.failures >= MIN_EXCESS_FAILURES
            && self.failures >= MIN_EXCESS_FRACTION * self.possible
            && self.failures >= MIN_STANDARD_DEVIATIONS * self.variance.sqrt()
    }
}
