//! Checks that involve several keys, tables or files.

use crate::{
    layer::Layer,
    problem::{Fault, Problem},
    schema::TableName,
    site::{Origin, Setting, SiteSettings},
};

/// Largest number of kinds, and of teams. They have 16-bit ids in `figdeal-core`, and every agent keeps counters for
/// each of them.
const MAX_NAMED_TABLES: usize = 1_000;

/// Required relation between two values.
#[derive(Debug, Clone, Copy)]
enum Relation {
    LessThan,
    AtMost,
}

impl Relation {
    fn holds(self, left: &Setting, right: &Setting) -> bool {
        match self {
            Relation::LessThan => left.value < right.value,
            Relation::AtMost => left.value <= right.value,
        }
    }

    /// Returns the wording of the relation from the left to the right value, and from the right to the left one.
    fn wording(self) -> [&'static str; 2] {
        match self {
            Relation::LessThan => ["less than", "greater than"],
            Relation::AtMost => ["at most", "at least"],
        }
    }
}

/// Relations between keys outside of kinds and objectives. They must hold at every site.
const KEY_RELATIONS: [(TableName, &str, Relation, TableName, &str); 6] = [
    (
        TableName::TimeOuts,
        "ping_after",
        Relation::LessThan,
        TableName::TimeOuts,
        "silent_after",
    ),
    // Another entry collects the submissions of a silent owner only after the owner had time to answer a ping.
    (
        TableName::TimeOuts,
        "ping_after",
        Relation::LessThan,
        TableName::TimeOuts,
        "owner_after",
    ),
    (
        TableName::TimeOuts,
        "announce_every",
        Relation::LessThan,
        TableName::TimeOuts,
        "expire_after",
    ),
    (
        TableName::TimeOuts,
        "probe_after",
        Relation::AtMost,
        TableName::TimeOuts,
        "probe_limit",
    ),
    // A delayed run request must be refused because of its age before the start mark that detects its duplicates is
    // dropped.
    (
        TableName::TimeOuts,
        "request_age",
        Relation::LessThan,
        TableName::TimeOuts,
        "mark_keep",
    ),
    (
        TableName::Limits,
        "max_skew",
        Relation::LessThan,
        TableName::Limits,
        "retention",
    ),
];

/// Checks that the base defines the kinds and teams that it refers to, and their number.
pub(crate) fn check_base(base: &Layer) -> Vec<Problem> {
    let mut problems = Vec::new();
    let mut report = |line, key: String, fault| {
        problems.push(Problem {
            file: base.file_name.clone(),
            line,
            key,
            fault,
        });
    };
    let kinds = base
        .tables
        .keys()
        .filter(|table_name| matches!(table_name, TableName::Kind(_)))
        .count();
    let teams = base
        .tables
        .keys()
        .filter(|table_name| matches!(table_name, TableName::Team(_)))
        .count();
    for (name, count) in [("kinds", kinds), ("teams", teams)] {
        if count == 0 {
            report(0, name.to_owned(), Fault::NoneDefined(name));
        }
        if count > MAX_NAMED_TABLES {
            report(0, name.to_owned(), Fault::TooMany(MAX_NAMED_TABLES));
        }
    }
    for (table_name, table) in &base.tables {
        let TableName::Objective(kind, team) = table_name else {
            continue;
        };
        let referenced = [
            Some(TableName::Kind(kind.clone())),
            team.clone().map(TableName::Team),
        ];
        for referenced in referenced.into_iter().flatten() {
            if !base.tables.contains_key(&referenced) {
                report(
                    table.line,
                    table_name.to_string(),
                    Fault::UndefinedTable(referenced.to_string()),
                );
            }
        }
    }
    problems
}

/// Checks that an overlay only sets keys of tables that the base defines, and only keys that may differ between sites.
pub(crate) fn check_overlay(base: &Layer, overlay: &Layer) -> Vec<Problem> {
    let mut problems = Vec::new();
    let mut report = |line, key: String, fault| {
        problems.push(Problem {
            file: overlay.file_name.clone(),
            line,
            key,
            fault,
        });
    };
    for (table_name, table) in &overlay.tables {
        let is_always_present = matches!(table_name, TableName::Limits | TableName::TimeOuts);
        if !is_always_present && !base.tables.contains_key(table_name) {
            report(
                table.line,
                table_name.to_string(),
                Fault::UndefinedTable(table_name.to_string()),
            );
        }
        for key in table_name.keys().iter().filter(|key| key.base_only) {
            if let Some(found) = table.values.get(key.name) {
                report(
                    found.line,
                    format!("{table_name}.{}", key.name),
                    Fault::BaseOnlyKey,
                );
            }
        }
    }
    problems
}

/// Checks the relations between the values of a site. `site` is the name of its overlay file.
pub(crate) fn check_site(settings: &SiteSettings, site: Option<&str>) -> Vec<Problem> {
    let mut checker = Checker {
        settings,
        site,
        problems: Vec::new(),
    };
    for (table_name, key, relation, other_table, other_key) in &KEY_RELATIONS {
        checker.require((table_name, key), *relation, (other_table, other_key));
    }
    // The queue must have room for a job of the largest size.
    checker.require(
        (&TableName::Limits, "job_tasks"),
        Relation::AtMost,
        (&TableName::Limits, "queue_bound"),
    );
    for table_name in settings.tables.keys() {
        match table_name {
            TableName::Kind(_) => checker.check_kind(table_name),
            TableName::Objective(kind, _) => {
                checker.check_objective(table_name, &TableName::Kind(kind.clone()))
            }
            TableName::Limits | TableName::TimeOuts | TableName::Team(_) => {}
        }
    }
    checker.problems
}

/// Checks the values of one site and collects the problems.
struct Checker<'a> {
    settings: &'a SiteSettings,
    site: Option<&'a str>,
    problems: Vec<Problem>,
}

impl Checker<'_> {
    fn check_kind(&mut self, table_name: &TableName) {
        let deadline = (table_name, "deadline");
        self.require((table_name, "run_time"), Relation::AtMost, deadline);
        // A planned stop must not interrupt a request in progress.
        self.require(
            deadline,
            Relation::AtMost,
            (&TableName::TimeOuts, "stop_limit"),
        );
        // An outcome must be kept for as long as a caller may wait for it.
        self.require(
            deadline,
            Relation::LessThan,
            (&TableName::Limits, "retention"),
        );
        self.require(
            (table_name, "queue_bound"),
            Relation::AtMost,
            (&TableName::Limits, "queue_bound"),
        );
    }

    fn check_objective(&mut self, table_name: &TableName, kind: &TableName) {
        let latency = (table_name, "latency");
        self.require(latency, Relation::AtMost, (kind, "deadline"));
        self.require((kind, "run_time"), Relation::AtMost, latency);
    }

    /// Reports a problem unless two values have the required relation.
    ///
    /// The problem is reported at the value whose origin has the highest precedence (overlay, base, default), or at the
    /// left value if both are equal. If that value is a default, it is reported at the heading of its table.
    fn require(&mut self, left: (&TableName, &str), relation: Relation, right: (&TableName, &str)) {
        let find = |(table_name, key): (&TableName, &str)| self.settings.get(table_name, key);
        // An objective of an unknown kind is reported by `check_base`.
        let (Some(a), Some(b)) = (find(left), find(right)) else {
            return;
        };
        if !a.is_valid || !b.is_valid || relation.holds(a, b) {
            return;
        }
        let [forward, backward] = relation.wording();
        let report_right = self.precedence(&b.origin) > self.precedence(&a.origin);
        let (key, setting, wording, other_key, other_setting) = if report_right {
            (right, b, backward, left, a)
        } else {
            (left, a, forward, right, b)
        };
        let (file, line) = self.locate(key.0, &setting.origin);
        let fault = Fault::Contradiction {
            value: setting.value.to_string(),
            relation: wording,
            other: format!("{}.{}", other_key.0, other_key.1),
            limit: other_setting.value.to_string(),
            origin: other_setting.origin.to_string(),
        };
        self.problems.push(Problem {
            file,
            line,
            key: format!("{}.{}", key.0, key.1),
            fault,
        });
    }

    /// Returns 2 for a value of the overlay, 1 for a value of the base and 0 for a default.
    fn precedence(&self, origin: &Origin) -> u8 {
        match origin {
            Origin::Default => 0,
            Origin::File { name, .. } if Some(name.as_str()) != self.site => 1,
            Origin::File { .. } => 2,
        }
    }

    /// Returns the file and line of a value, or of the heading of its table if the value is a default.
    fn locate(&self, table_name: &TableName, origin: &Origin) -> (String, usize) {
        let heading = &self.settings.tables[table_name].origin;
        for origin in [origin, heading] {
            if let Origin::File { name, line } = origin {
                return (name.clone(), *line);
            }
        }
        (crate::bundle::BASE_FILE.to_owned(), 0)
    }
}
