//! What an entry enforces on submissions, taken from the configuration in force.

use std::{collections::BTreeMap, time::Duration};

use figdeal_core::share::KindShare;

/// Rules of one kind of task.
#[derive(Debug, Clone, Copy)]
pub struct KindRule {
    /// Weight and urgency.
    pub share: KindShare,
    /// Deadline of tasks that state none.
    pub deadline: Duration,
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
    /// Largest number of tasks in a job.
    pub max_tasks: usize,
    /// Largest body in bytes.
    pub max_body: usize,
    /// Largest deadline of a task.
    pub max_deadline: Duration,
    /// How long a submission is remembered.
    pub retention: Duration,
    /// How far clocks may differ.
    pub max_skew: Duration,
}

impl Default for Rules {
    fn default() -> Rules {
        Rules {
            version: 0,
            kinds: BTreeMap::new(),
            teams: BTreeMap::new(),
            max_tasks: 390,
            max_body: 4 << 20,
            max_deadline: Duration::from_secs(600),
            retention: Duration::from_secs(3600),
            max_skew: Duration::from_secs(2),
        }
    }
}

impl Rules {
    /// Adds a kind.
    pub fn with_kind(mut self, name: &str, weight: u32, urgency: u32, deadline: Duration) -> Rules {
        let share = KindShare { weight, urgency };
        self.kinds
            .insert(name.to_owned(), KindRule { share, deadline });
        self
    }

    /// Adds a team.
    pub fn with_team(mut self, name: &str, max_tasks: u32) -> Rules {
        self.teams.insert(name.to_owned(), TeamRule { max_tasks });
        self
    }
}
