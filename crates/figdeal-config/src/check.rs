//! Checks over several keys, tables and files.

use crate::{
    key::Scope,
    layer::Layer,
    problem::{Fault, Problem},
    site::{Origin, Setting, Settings},
};

/// Kinds and teams have 16-bit ids in `figdeal-core`, and every agent keeps counters for each of them.
const MAX_NAMES: usize = 1_000;

/// How two values must compare.
#[derive(Debug, Clone, Copy)]
enum Relation {
    Below,
    AtMost,
}

impl Relation {
    fn holds(self, left: &Setting, right: &Setting) -> bool {
        match self {
            Relation::Below => left.value < right.value,
            Relation::AtMost => left.value <= right.value,
        }
    }

    /// The words for the left value, and for the right value.
    fn words(self) -> [&'static str; 2] {
        match self {
            Relation::Below => ["less than", "greater than"],
            Relation::AtMost => ["at most", "at least"],
        }
    }
}

/// Pairs of keys that hold at every site, whatever the kinds are.
const RULES: [(Scope, &str, Relation, Scope, &str); 6] = [
    (
        Scope::TimeOuts,
        "ping_after",
        Relation::Below,
        Scope::TimeOuts,
        "silent_after",
    ),
    // An owner is given up only after it had the time to answer a ping.
    (
        Scope::TimeOuts,
        "ping_after",
        Relation::Below,
        Scope::TimeOuts,
        "owner_after",
    ),
    (
        Scope::TimeOuts,
        "announce_every",
        Relation::Below,
        Scope::TimeOuts,
        "expire_after",
    ),
    (
        Scope::TimeOuts,
        "probe_after",
        Relation::AtMost,
        Scope::TimeOuts,
        "probe_limit",
    ),
    // A delayed run request must be refused by its age before the mark that fences it is dropped.
    (
        Scope::TimeOuts,
        "request_age",
        Relation::Below,
        Scope::TimeOuts,
        "mark_keep",
    ),
    (
        Scope::Limits,
        "max_skew",
        Relation::Below,
        Scope::Limits,
        "retention",
    ),
];

/// Checks that the base defines what it refers to.
pub(crate) fn check_base(base: &Layer) -> Vec<Problem> {
    let mut problems = Vec::new();
    let mut report = |line, key: String, fault| {
        problems.push(Problem {
            file: base.file.clone(),
            line,
            key,
            fault,
        });
    };
    let kinds = base
        .tables
        .keys()
        .filter(|scope| matches!(scope, Scope::Kind(_)))
        .count();
    let teams = base
        .tables
        .keys()
        .filter(|scope| matches!(scope, Scope::Team(_)))
        .count();
    for (name, count) in [("kinds", kinds), ("teams", teams)] {
        if count == 0 {
            report(0, name.to_owned(), Fault::Empty(name));
        }
        if count > MAX_NAMES {
            report(0, name.to_owned(), Fault::TooMany(MAX_NAMES));
        }
    }
    for (scope, table) in &base.tables {
        let Scope::Objective(kind, team) = scope else {
            continue;
        };
        let needed = [
            Some(Scope::Kind(kind.clone())),
            team.clone().map(Scope::Team),
        ];
        for needed in needed.into_iter().flatten() {
            if !base.tables.contains_key(&needed) {
                report(
                    table.line,
                    scope.to_string(),
                    Fault::Undefined(needed.to_string()),
                );
            }
        }
    }
    problems
}

/// Checks that an overlay only changes what the base defines and what may differ between sites.
pub(crate) fn check_overlay(base: &Layer, overlay: &Layer) -> Vec<Problem> {
    let mut problems = Vec::new();
    let mut report = |line, key: String, fault| {
        problems.push(Problem {
            file: overlay.file.clone(),
            line,
            key,
            fault,
        });
    };
    for (scope, table) in &overlay.tables {
        let always = matches!(scope, Scope::Limits | Scope::TimeOuts);
        if !always && !base.tables.contains_key(scope) {
            report(
                table.line,
                scope.to_string(),
                Fault::Undefined(scope.to_string()),
            );
        }
        for key in scope.keys().iter().filter(|key| key.shared) {
            if let Some(found) = table.values.get(key.name) {
                report(
                    found.line,
                    format!("{scope}.{}", key.name),
                    Fault::SharedKey,
                );
            }
        }
    }
    problems
}

/// Checks the values of a site against each other.
pub(crate) fn check_site(settings: &Settings, site: Option<&str>) -> Vec<Problem> {
    let mut checker = Checker {
        settings,
        site,
        problems: Vec::new(),
    };
    for (scope, key, relation, other, limit) in &RULES {
        checker.require((scope, key), *relation, (other, limit));
    }
    // A job of the largest size must be able to wait.
    checker.require(
        (&Scope::Limits, "job_tasks"),
        Relation::AtMost,
        (&Scope::Limits, "queue_bound"),
    );
    for scope in settings.groups.keys() {
        match scope {
            Scope::Kind(_) => checker.kind(scope),
            Scope::Objective(kind, _) => checker.objective(scope, &Scope::Kind(kind.clone())),
            Scope::Limits | Scope::TimeOuts | Scope::Team(_) => {}
        }
    }
    checker.problems
}

struct Checker<'a> {
    settings: &'a Settings,
    site: Option<&'a str>,
    problems: Vec<Problem>,
}

impl Checker<'_> {
    fn kind(&mut self, scope: &Scope) {
        let deadline = (scope, "deadline");
        self.require((scope, "run_time"), Relation::AtMost, deadline);
        // A planned stop interrupts no request in progress.
        self.require(deadline, Relation::AtMost, (&Scope::TimeOuts, "stop_limit"));
        // The outcome must be known for as long as a caller may wait for it.
        self.require(deadline, Relation::Below, (&Scope::Limits, "retention"));
        self.require(
            (scope, "queue_bound"),
            Relation::AtMost,
            (&Scope::Limits, "queue_bound"),
        );
    }

    fn objective(&mut self, scope: &Scope, kind: &Scope) {
        let latency = (scope, "latency");
        self.require(latency, Relation::AtMost, (kind, "deadline"));
        self.require((kind, "run_time"), Relation::AtMost, latency);
    }

    /// Requires that two values compare. The place of the report is the value that was set last: the one of
    /// the overlay, else the left one, else the right one, else the heading of the left table.
    fn require(&mut self, left: (&Scope, &str), relation: Relation, right: (&Scope, &str)) {
        let find = |(scope, key): (&Scope, &str)| self.settings.get(scope, key);
        // An objective for an unknown kind is reported by `check_base`.
        let (Some(a), Some(b)) = (find(left), find(right)) else {
            return;
        };
        if !a.sound || !b.sound || relation.holds(a, b) {
            return;
        }
        let [forward, backward] = relation.words();
        let blame_right = self.rank(&b.origin) > self.rank(&a.origin);
        let (at, here, words, other, there) = if blame_right {
            (right, b, backward, left, a)
        } else {
            (left, a, forward, right, b)
        };
        let (file, line) = self.place(at.0, &here.origin);
        let fault = Fault::Contradiction {
            value: here.value.to_string(),
            relation: words,
            other: format!("{}.{}", other.0, other.1),
            limit: there.value.to_string(),
            origin: there.origin.to_string(),
        };
        self.problems.push(Problem {
            file,
            line,
            key: format!("{}.{}", at.0, at.1),
            fault,
        });
    }

    fn rank(&self, origin: &Origin) -> u8 {
        match origin {
            Origin::Default => 0,
            Origin::File { name, .. } if Some(name.as_str()) != self.site => 1,
            Origin::File { .. } => 2,
        }
    }

    fn place(&self, scope: &Scope, origin: &Origin) -> (String, usize) {
        let heading = &self.settings.groups[scope].origin;
        for origin in [origin, heading] {
            if let Origin::File { name, line } = origin {
                return (name.clone(), *line);
            }
        }
        (crate::bundle::BASE.to_owned(), 0)
    }
}
