//! What an entry enforces on submissions, taken from the configuration in force.

use std::{collections::BTreeMap, time::Duration};

use figdeal_config::{SiteConfig, section::Objective};
use figdeal_core::{
    claim::ClaimLimits, entry::EntryLimits, fair_queue::KindShare, fleet::FleetLimits,
};
use figdeal_wire::channel;

/// Rules of one kind of task.
#[derive(Debug, Clone, Copy)]
pub struct KindRule {
    /// Weight and urgency.
    pub share: KindShare,
    /// Deadline of tasks that state none.
    pub deadline: Duration,
    /// Largest number of its queued tasks at an entry.
    pub queue_bound: usize,
}

/// Rules of one team.
#[derive(Debug, Clone, Copy)]
pub struct TeamRule {
    /// Largest number of tasks in progress in the whole deployment.
    pub max_tasks: u32,
}

/// Rules in force at an entry.
#[derive(Debug, Clone)]
pub struct Rules {
    /// Version of the configuration that they come from; 0 for built-in rules.
    pub version: u64,
    /// Known kinds.
    pub kinds: BTreeMap<String, KindRule>,
    /// Known teams.
    pub teams: BTreeMap<String, TeamRule>,
    /// Service-level objectives by kind, and by team where the objective is for one team only.
    pub objectives: BTreeMap<(String, Option<String>), Objective>,
    /// Largest number of tasks in a job.
    pub max_tasks: usize,
    /// Largest body in bytes.
    pub max_body: usize,
    /// Largest deadline of a task.
    pub max_deadline: Duration,
    /// Longest time that a planned stop may take.
    pub stop_limit: Duration,
    /// Bounds of the job table and of placement.
    pub entry: EntryLimits,
    /// Bounds and times of claims; read at the start of the process only.
    pub claims: ClaimLimits,
    /// Time limits of connections; for connections that are opened from now on.
    pub connections: channel::ChannelTimeouts,
}

impl Default for Rules {
    fn default() -> Rules {
        Rules {
            version: 0,
            kinds: BTreeMap::new(),
            teams: BTreeMap::new(),
            objectives: BTreeMap::new(),
            max_tasks: 390,
            max_body: 4 << 20,
            max_deadline: Duration::from_secs(600),
            stop_limit: Duration::from_secs(60),
            entry: EntryLimits::default(),
            claims: ClaimLimits::default(),
            connections: channel::ChannelTimeouts::default(),
        }
    }
}

impl Rules {
    /// Takes the rules of a site from version `version` of the configuration.
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
            max_tasks: limits.job_tasks as usize,
            max_body: limits.body_size as usize,
            stop_limit: times.stop_limit,
            entry: EntryLimits {
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
            claims: ClaimLimits {
                retention: limits.retention,
                max_skew: limits.max_skew,
                max_records: limits.max_records as usize,
                ..ClaimLimits::default()
            },
            connections: channel::ChannelTimeouts {
                ping_after: times.ping_after,
                silent_after: times.silent_after,
                ..channel::ChannelTimeouts::default()
            },
            ..Rules::default()
        }
    }

    /// Adds a kind.
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

    /// Adds an objective, for one team or for all.
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
