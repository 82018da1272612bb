//! Outlier ejection: an upstream that fails work which succeeds elsewhere gets no work but probes.

use std::{collections::BTreeMap, time::Duration};

use super::{Agent, AgentKey, Fleet};
use crate::{id::KindId, time::Timestamp};

/// Longest back-off of an ejected agent.
const MAX_BACK_OFF: Duration = Duration::from_secs(60);
/// Time in which the counts halve.
const HALF_LIFE: Duration = Duration::from_secs(10);
/// Factor on the counts at each new result. It bounds a count at 14, so that a kind that starts to fail everywhere
/// looks alike at agents with a long and with a short history.
const STEP_DECAY: f64 = 0.93;
/// Failures beyond the expected ones that are needed for an ejection.
const MIN_EXCESS: f64 = 4.0;
/// Part of an agent's results that must be failures beyond the expected ones.
const EXCESS_PART: f64 = 0.5;
/// Standard deviations that the failures must exceed the expected ones by. While a kind failed 30% everywhere,
/// 63,000 tasks ejected 6 agents without this bound and one with a bound of 6.
const MIN_DEVIATIONS: f64 = 7.0;
/// Bound of the sum of the squared weights of results: 1 / (1 - STEP_DECAY^2).
const MAX_SQUARES: f64 = 7.4;
/// Decayed results from which an agent counts as evidence about a kind.
const MIN_EVIDENCE: f64 = 0.9;
/// Fleets up to this size compute the evidence anew for each failure; larger ones reuse it for `EVIDENCE_AGE`,
/// because it takes a pass over the fleet.
const SMALL_FLEET: usize = 64;
/// How long a large fleet reuses the evidence about a kind.
const EVIDENCE_AGE: Duration = Duration::from_millis(250);
/// Ejected agents that one placement tries for a probe.
const PROBE_TRIES: usize = 8;

/// What a resolved task says about its agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HealthSample {
    /// The upstream ran the task in this time.
    Success(Duration),
    /// The upstream failed the task or did not answer.
    Failure,
    /// Nothing, for example after a cancellation.
    Inconclusive,
}

/// Whether an agent gets work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AgentHealth {
    /// It gets work.
    Healthy,
    /// It gets no work until the back-off has passed, then one probe.
    Ejected {
        /// When the probe is due.
        until: Timestamp,
    },
    /// One task was sent as a probe.
    Probing,
}

/// Decayed numbers of results.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Counts {
    success: f64,
    failure: f64,
    at: Timestamp,
}

impl Counts {
    fn at(&self, now: Timestamp) -> Counts {
        let age = now.since(self.at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        let factor = 0.5f64.powf(age);
        Counts {
            success: self.success * factor,
            failure: self.failure * factor,
            at: now.max(self.at),
        }
    }

    fn add(&mut self, is_success: bool, now: Timestamp) {
        let mut counts = self.at(now);
        counts.success *= STEP_DECAY;
        counts.failure *= STEP_DECAY;
        *(if is_success {
            &mut counts.success
        } else {
            &mut counts.failure
        }) += 1.0;
        *self = counts;
    }

    fn total(&self) -> f64 {
        self.success + self.failure
    }

    /// The part of failures, `None` without evidence.
    fn rate(&self) -> Option<f64> {
        (self.total() >= MIN_EVIDENCE).then(|| self.failure / self.total())
    }
}

/// Results of one agent that decide on its ejection.
#[derive(Debug)]
pub(super) struct Record {
    pub(super) health: AgentHealth,
    pub(super) counts: BTreeMap<KindId, Counts>,
    /// The last back-off, zero before the first ejection.
    back_off: Duration,
    recovered: Timestamp,
}

impl Record {
    pub(super) fn new() -> Record {
        Record {
            health: AgentHealth::Healthy,
            counts: BTreeMap::new(),
            back_off: Duration::ZERO,
            recovered: Timestamp::ZERO,
        }
    }
}

/// Failure rates of the agents with evidence about a kind.
#[derive(Debug, Clone, Copy)]
pub(super) struct Evidence {
    at: Timestamp,
    agents: f64,
    rates: f64,
}

impl Agent {
    /// Whether the agent gets work as far as its results go.
    pub fn health(&self) -> AgentHealth {
        self.record.health
    }

    /// The decayed numbers of successes and failures of a kind at the agent.
    pub fn results(&self, kind: KindId, now: Timestamp) -> (f64, f64) {
        let counts = self.record.counts.get(&kind).map(|c| c.at(now));
        counts.map_or((0.0, 0.0), |c| (c.success, c.failure))
    }
}

impl Fleet {
    /// Records that a task that was sent is resolved, and what it says about the agent and the kind.
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
            self.runs.record(kind, run);
        }
        let Some(agent) = self.agents.get_mut(key) else {
            return;
        };
        agent.take_outstanding(kind);
        let is_success = match sample {
            HealthSample::Success(_) => true,
            HealthSample::Failure => false,
            HealthSample::Inconclusive => {
                self.end_unanswered_probe(key);
                self.reindex(key);
                return;
            }
        };
        agent
            .record
            .counts
            .entry(kind)
            .or_default()
            .add(is_success, now);
        match (agent.record.health, is_success) {
            (AgentHealth::Probing, true) => self.restore(key),
            (AgentHealth::Probing, false) => self.fail_probe(key, kind),
            (AgentHealth::Healthy, false) if agent.is_member && self.is_outlier(key) => {
                self.eject(key)
            }
            _ => {}
        }
        self.reindex(key);
    }

    /// Number of ejected agents among those that would get work.
    pub fn ejected_count(&self) -> usize {
        self.ejected
    }

    /// A due probe that accepts the task, if there is one.
    pub(super) fn due_probe(&self, kind: KindId, size: u32, now: Timestamp) -> Option<AgentKey> {
        self.probes
            .iter()
            .take_while(|(due, _)| *due <= now)
            .take(PROBE_TRIES)
            .map(|&(_, key)| key)
            .find(|&key| {
                let agent = &self.agents[key];
                agent.accepts(kind, size) && agent.outstanding() == 0 && self.is_live(key, now)
            })
    }

    pub(super) fn start_probe(&mut self, key: AgentKey) {
        let record = &mut self.agents[key].record;
        let AgentHealth::Ejected { until } = record.health else {
            panic!("only an ejected agent is probed");
        };
        let is_due = self.probes.remove(&(until, key));
        assert!(is_due, "an ejected agent waits for its probe");
        record.health = AgentHealth::Probing;
    }

    /// Returns an agent whose probe was resolved without evidence to the wait for the next one.
    pub(super) fn end_unanswered_probe(&mut self, key: AgentKey) {
        if self.agents[key].record.health == AgentHealth::Probing {
            self.wait_for_probe(key);
        }
    }

    /// Takes an agent into the members, or out of them. Only members count in the bound on ejections.
    pub(super) fn set_member(&mut self, key: AgentKey, is_member: bool) {
        let agent = &mut self.agents[key];
        if agent.is_member == is_member {
            return;
        }
        agent.is_member = is_member;
        let health = agent.record.health;
        if is_member {
            self.members += 1;
            if health != AgentHealth::Healthy {
                self.ejected += 1;
                self.wait_for_probe(key);
            }
        } else {
            self.members -= 1;
            if health != AgentHealth::Healthy {
                self.ejected -= 1;
            }
            if let AgentHealth::Ejected { until } = health {
                self.probes.remove(&(until, key));
            }
        }
        self.bound_ejected();
    }

    fn max_ejected(&self) -> usize {
        self.members * self.limits.max_ejected_percent as usize / 100
    }

    /// Restores the agents whose probes are due first while the fleet is too small for the ejected ones.
    pub(super) fn bound_ejected(&mut self) {
        while self.ejected > self.max_ejected() {
            let waiting = self.probes.first().map(|&(_, key)| key);
            let key = waiting.or_else(|| {
                let is_ejected = |a: &Agent| a.is_member && a.record.health != AgentHealth::Healthy;
                self.agents
                    .iter()
                    .find(|(_, a)| is_ejected(a))
                    .map(|(key, _)| key)
            });
            let key = key.expect("the ejected agents are members");
            self.restore(key);
            self.reindex(key);
        }
    }

    fn is_outlier(&mut self, key: AgentKey) -> bool {
        if self.ejected + 1 > self.max_ejected() {
            return false;
        }
        let now = self.now;
        let counts: Vec<(KindId, Counts)> = self.agents[key]
            .record
            .counts
            .iter()
            .map(|(&kind, counts)| (kind, counts.at(now)))
            .collect();
        let mut all = Excess::default();
        for (kind, counts) in counts {
            let Some(rate) = self.rate_elsewhere(kind, counts) else {
                continue;
            };
            let excess = Excess {
                failures: counts.failure - counts.total() * rate,
                possible: counts.total() * (1.0 - rate),
                variance: rate * (1.0 - rate) * counts.total().min(MAX_SQUARES),
            };
            if excess.is_outlier() {
                return true;
            }
            all.failures += excess.failures;
            all.possible += excess.possible;
            all.variance += excess.variance;
        }
        all.is_outlier()
    }

    /// Mean failure rate of a kind at the other agents, each counting alike: an upstream that fails everything
    /// at once has far more results than the others. `None` without evidence elsewhere.
    fn rate_elsewhere(&mut self, kind: KindId, own: Counts) -> Option<f64> {
        let now = self.now;
        let is_small = self.agents.len() <= SMALL_FLEET;
        let cached = self.evidence.get(&kind).copied();
        let evidence = match cached {
            Some(e) if !is_small && now.since(e.at) < EVIDENCE_AGE => e,
            _ => {
                let rates = self
                    .agents
                    .values()
                    .filter(|a| a.is_member)
                    .filter_map(|agent| {
                        agent
                            .record
                            .counts
                            .get(&kind)
                            .and_then(|c| c.at(now).rate())
                    });
                let (agents, rates) =
                    rates.fold((0.0, 0.0), |(n, sum), rate| (n + 1.0, sum + rate));
                let evidence = Evidence {
                    at: now,
                    agents,
                    rates,
                };
                self.evidence.insert(kind, evidence);
                evidence
            }
        };
        let (agents, rates) = match own.rate() {
            Some(rate) => (evidence.agents - 1.0, evidence.rates - rate),
            None => (evidence.agents, evidence.rates),
        };
        (agents >= 1.0).then(|| (rates / agents).clamp(0.0, 1.0))
    }

    fn eject(&mut self, key: AgentKey) {
        let now = self.now;
        let first = self.limits.base_ejection_time;
        let record = &mut self.agents[key].record;
        // An agent that fails again soon after its probe succeeded goes on where its back-off was.
        let is_repeated = !record.back_off.is_zero() && now.since(record.recovered) < MAX_BACK_OFF;
        record.back_off = if is_repeated {
            (record.back_off * 2).min(MAX_BACK_OFF)
        } else {
            first
        };
        self.ejected += 1;
        assert!(
            self.ejected <= self.max_ejected(),
            "more agents ejected than allowed"
        );
        self.wait_for_probe(key);
    }

    /// A failed probe doubles the back-off, unless the kind fails elsewhere too and so proves nothing.
    fn fail_probe(&mut self, key: AgentKey, kind: KindId) {
        let own = self.agents[key].record.counts[&kind].at(self.now);
        let proves = self
            .rate_elsewhere(kind, own)
            .is_none_or(|rate| rate < EXCESS_PART);
        let record = &mut self.agents[key].record;
        if proves {
            record.back_off = (record.back_off * 2).min(MAX_BACK_OFF);
        }
        self.wait_for_probe(key);
    }

    fn wait_for_probe(&mut self, key: AgentKey) {
        let agent = &mut self.agents[key];
        let until = self.now + agent.record.back_off;
        agent.record.health = AgentHealth::Ejected { until };
        if agent.is_member {
            self.probes.insert((until, key));
        }
    }

    fn restore(&mut self, key: AgentKey) {
        let agent = &mut self.agents[key];
        if let AgentHealth::Ejected { until } = agent.record.health {
            self.probes.remove(&(until, key));
        }
        agent.record.health = AgentHealth::Healthy;
        agent.record.counts.clear();
        agent.record.recovered = self.now;
        if agent.is_member {
            self.ejected -= 1;
        }
    }
}

/// Failures of an agent beyond those that the same results would hold elsewhere.
#[derive(Debug, Default)]
struct Excess {
    failures: f64,
    /// The excess if every result were a failure.
    possible: f64,
    variance: f64,
}

impl Excess {
    fn is_outlier(&self) -> bool {
        self.failures >= MIN_EXCESS
            && self.failures >= EXCESS_PART * self.possible
            && self.failures >= MIN_DEVIATIONS * self.variance.sqrt()
    }
}
