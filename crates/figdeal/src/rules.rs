//! Limits and parameters that an entry applies: built-in ones, or those of the active configuration.

use std::{collections::BTreeMap, time::Duration};

use figdeal_config::{SiteConfig, section::Objective};
use figdeal_core::{
    claim::ClaimLimits, entry::EntryLimits, fair_queue::KindShare, fleet::FleetLimits,
};
use figdeal_wire::channel;

/// Rules of one kind of task.
#[derive(Debug, Clone, Copy)]
pub struct KindRule {
    /// Weight and urgency of the kind in the fair queue.
    pub share: KindShare,
    /// Deadline of tasks without a deadline of their own.
    pub deadline: Duration,
    /// Maximum number of queued tasks of this kind at one entry.
    pub queue_bound: usize,
}

/// Rules of one team.
#[derive(Debug, Clone, Copy)]
pub struct TeamRule {
    /// Maximum number of tasks in progress in the whole deployment; each entry enforces an equal part, rounded up.
    pub max_tasks: u32,
}

/// Active rules of an entry.
#[derive(Debug, Clone)]
pub struct Rules {
    /// Version of the configuration from which the rules come; 0 for built-in rules.
    pub version: u64,
    /// Configured kinds; if empty, all kinds are accepted.
    pub kinds: BTreeMap<String, KindRule>,
    /// Configured teams; if empty, all teams are accepted.
    pub teams: BTreeMap<String, TeamRule>,
    /// Service-level objectives by kind and team; without a team the objective covers all teams.
    pub objectives: BTreeMap<(String, Option<String>), Objective>,
    /// Maximum number of tasks in a job.
    pub max_job_tasks: usize,
    /// Maximum size of a request body in bytes. The HTTP server applies the value of the rules with which the entry was
    /// started, and keeps it when a configuration becomes active.
    pub max_body_bytes: usize,
    /// Maximum deadline and maximum declared run time of a task. The configuration does not change it.
    pub max_deadline: Duration,
    /// Maximum duration of a planned stop.
    pub stop_timeout: Duration,
    /// Limits of the job table and of placement.
    pub entry_limits: EntryLimits,
    /// Limits and timeouts of claims. Those of the first configuration apply until the process ends.
    pub claim_limits: ClaimLimits,
    /// Timeouts of the connections to agents and other entries; changes apply to new connections only.
    pub channel_timeouts: channel::ChannelTimeouts,
}

impl Default for Rules {
    fn default() -> Rules {
        Rules {
            version: 0,
            kinds: BTreeMap::new(),
            teams: BTreeMap::new(),
            objectives: BTreeMap::new(),
            max_job_tasks: 390,
            max_body_bytes: 4 << 20,
            max_deadline: Duration::from_secs(600),
            stop_timeout: Duration::from_secs(60),
            entry_limits: EntryLimits::default(),
            claim_limits: ClaimLimits::default(),
            channel_timeouts: channel::ChannelTimeouts::default(),
        }
    }
}

impl Rules {
    /// Creates the rules of a site from version `version` of the configuration.
    pub fn new(version: u64, site: &SiteConfig) -> Rules {
        let limits = &site.limits;
        let times = &site.time_outs;
        let kinds = site.kinds.iter().map(|(name, kind)| {
            let share = KindShare {
                weight: kind.weight,
                urgency: kind.urgency,
            };
            (
                name.clone(),
                KindRule {
                    share,
                    deadline: kind.deadline,
                    queue_bound: kind.queue_bound as usize,
                },
            )
        });
        let teams = site.teams.iter().map(|(name, team)| {
            (
                name.clone(),
                TeamRule {
                    max_tasks: team.max_tasks,
                },
            )
        });
        Rules {
            version,
            kinds: kinds.collect(),
            teams: teams.collect(),
            objectives: site.objectives.clone(),
            max_job_tasks: limits.job_tasks as usize,
            max_body_bytes: limits.body_size as usize,
            stop_timeout: times.stop_limit,
            entry_limits: EntryLimits {
                max_queued_tasks: limits.queue_bound as usize,
                retention: limits.retention,
                unplaceable_after: limits.unplaceable_after,
                small_job_work: limits.small_work,
                fleet: FleetLimits {
                    window: limits.window,
                    expire_after: times.expire_after,
                    max_ejected_percent: (limits.max_ejected.ratio() * 100.0) as u32,
                    base_ejection_time: times.probe_after,
                    small_job_slots: limits.small_slots,
                },
                ..EntryLimits::default()
            },
            claim_limits: ClaimLimits {
                retention: limits.retention,
                max_skew: limits.max_skew,
                max_records: limits.max_records as usize,
                ..ClaimLimits::default()
            },
            channel_timeouts: channel::ChannelTimeouts {
                ping_after: times.ping_after,
                silent_after: times.silent_after,
                ..channel::ChannelTimeouts::default()
            },
            ..Rules::default()
        }
    }

    /// Adds a kind with an unbounded queue.
    pub fn with_kind(mut self, name: &str, weight: u32, urgency: u32, deadline: Duration) -> Rules {
        let share = KindShare { weight, urgency };
        self.kinds.insert(
            name.to_owned(),
            KindRule {
                share,
                deadline,
                queue_bound: usize::MAX,
            },
        );
        self
    }

    /// Adds an objective for one team, or for all teams if `team` is `None`.
    pub fn with_objective(mut self, kind: &str, team: Option<&str>, objective: Objective) -> Rules {
        let name = (kind.to_owned(), team.map(str::to_owned));
        self.objectives.insert(name, objective);
        self
    }

    /// Adds a team.
    pub fn with_team(mut self, name: &str, max_tasks: u32) -> Rules {
        self.teams.insert(name.to_owned(), TeamRule { max_tasks });
        self
    }
}
