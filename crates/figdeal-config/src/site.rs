//! Effective configuration of a site: defaults, overridden by the base, overridden by the overlay.

use std::{collections::BTreeMap, fmt};

use crate::{
    layer::Layer,
    schema::{KeySpec, TableName},
    section::{Kind, Limits, Objective, Team, TimeOuts},
    units::Value,
};

/// Column in which the origin of a value is printed.
const ORIGIN_COLUMN: usize = 32;

/// Origin of a value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Origin {
    /// Default value; no file sets the key.
    Default,
    /// Set by a line of a file.
    File {
        /// Name of the file in the bundle.
        name: String,
        /// Line, counted from 1.
        line: usize,
    },
}

impl fmt::Display for Origin {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Origin::Default => write!(f, "default"),
            Origin::File { name, line } => write!(f, "{name}:{line}"),
        }
    }
}

/// Value of a key at a site, with its origin.
#[derive(Debug, Clone)]
pub struct Setting {
    /// Description of the key.
    pub key: &'static KeySpec,
    /// Value in force at the site.
    pub value: Value,
    /// Origin of the value.
    pub origin: Origin,
    /// Whether the key has a valid value in every file that sets it.
    pub(crate) is_valid: bool,
}

/// A table of the configuration of a site.
#[derive(Debug, Clone)]
pub(crate) struct SiteTable {
    /// Position of the table's heading in the base.
    pub(crate) origin: Origin,
    pub(crate) settings: Vec<Setting>,
}

/// All values of a site with their origins. `Display` prints them as TOML with the origins as comments.
#[derive(Debug, Clone)]
pub struct SiteSettings {
    pub(crate) tables: BTreeMap<TableName, SiteTable>,
}

impl SiteSettings {
    /// Applies the base and then the overlay to the defaults. Ignores tables that only the overlay has.
    pub(crate) fn merge(base: &Layer, overlay: Option<&Layer>) -> SiteSettings {
        let mut settings = SiteSettings {
            tables: BTreeMap::new(),
        };
        for table_name in [TableName::Limits, TableName::TimeOuts] {
            settings.add_table(table_name, Origin::Default);
        }
        for (table_name, table) in &base.tables {
            let origin = Origin::File {
                name: base.file_name.clone(),
                line: table.line,
            };
            settings.add_table(table_name.clone(), origin);
        }
        for layer in [Some(base), overlay].into_iter().flatten() {
            settings.apply(layer);
        }
        settings.inherit_objectives();
        settings
    }

    /// Sets the unset keys of each team's objective from the objective of the kind.
    fn inherit_objectives(&mut self) {
        let is_parent =
            |table_name: &TableName| matches!(table_name, TableName::Objective(_, None));
        let parents: BTreeMap<_, _> = self
            .tables
            .iter()
            .filter(|(table_name, _)| is_parent(table_name))
            .map(|(table_name, site_table)| (table_name.clone(), site_table.clone()))
            .collect();
        for (table_name, site_table) in &mut self.tables {
            let TableName::Objective(kind, Some(_)) = table_name else {
                continue;
            };
            let Some(parent) = parents.get(&TableName::Objective(kind.clone(), None)) else {
                continue;
            };
            for (own, parent) in site_table.settings.iter_mut().zip(&parent.settings) {
                if own.origin == Origin::Default && own.is_valid {
                    own.clone_from(parent);
                }
            }
        }
    }

    /// Adds a table with the default values.
    fn add_table(&mut self, table_name: TableName, origin: Origin) {
        let default = |key: &'static KeySpec| Setting {
            key,
            value: key.default,
            origin: Origin::Default,
            is_valid: true,
        };
        let settings = table_name.keys().iter().map(default).collect();
        self.tables
            .insert(table_name, SiteTable { origin, settings });
    }

    /// Overrides the values that `layer` sets. Ignores its tables that are not in the base.
    fn apply(&mut self, layer: &Layer) {
        for (table_name, table) in &layer.tables {
            let Some(site_table) = self.tables.get_mut(table_name) else {
                continue;
            };
            for setting in &mut site_table.settings {
                setting.is_valid &= !table.invalid.contains(setting.key.name);
                let Some(found) = table.values.get(setting.key.name) else {
                    continue;
                };
                setting.value = found.value;
                setting.origin = Origin::File {
                    name: layer.file_name.clone(),
                    line: found.line,
                };
            }
        }
    }

    /// Returns the value of a key with its origin.
    pub fn get(&self, table_name: &TableName, key: &str) -> Option<&Setting> {
        self.tables
            .get(table_name)?
            .settings
            .iter()
            .find(|setting| setting.key.name == key)
    }

    /// Returns every value with its table, sorted by table.
    pub fn iter(&self) -> impl Iterator<Item = (&TableName, &Setting)> {
        self.tables.iter().flat_map(|(table_name, site_table)| {
            site_table
                .settings
                .iter()
                .map(move |setting| (table_name, setting))
        })
    }

    fn value(&self, table_name: &TableName, key: &'static str) -> Value {
        self.get(table_name, key)
            .expect("each table has all keys of its section")
            .value
    }
}

impl fmt::Display for SiteSettings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, (table_name, site_table)) in self.tables.iter().enumerate() {
            if index > 0 {
                writeln!(f)?;
            }
            writeln!(f, "[{table_name}]")?;
            for setting in &site_table.settings {
                let line = format!("{} = {}", setting.key.name, setting.value.to_toml());
                writeln!(f, "{line:ORIGIN_COLUMN$} # {}", setting.origin)?;
            }
        }
        Ok(())
    }
}

/// Typed configuration of a site.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct SiteConfig {
    /// Kinds of task by name.
    pub kinds: BTreeMap<String, Kind>,
    /// Teams by name.
    pub teams: BTreeMap<String, Team>,
    /// Bounds on queues, jobs, memory and placement.
    pub limits: Limits,
    /// Intervals and timeouts of the traffic between processes.
    pub time_outs: TimeOuts,
    /// Objectives by kind and team; the team is `None` for the objective of a whole kind.
    pub objectives: BTreeMap<(String, Option<String>), Objective>,
}

impl SiteConfig {
    /// Returns the objective for a team's tasks of a kind: that of the team if it has one, else that of the kind.
    ///
    /// ```
    /// let config = figdeal_config::SiteConfig::default();
    /// assert!(config.objective("reminder", "choirs").is_none());
    /// ```
    pub fn objective(&self, kind: &str, team: &str) -> Option<&Objective> {
        let own = self
            .objectives
            .get(&(kind.to_owned(), Some(team.to_owned())));
        own.or_else(|| self.objectives.get(&(kind.to_owned(), None)))
    }
}

impl From<&SiteSettings> for SiteConfig {
    fn from(settings: &SiteSettings) -> SiteConfig {
        let mut config = SiteConfig::default();
        for table_name in settings.tables.keys() {
            let get = |key| settings.value(table_name, key);
            match table_name.clone() {
                TableName::Limits => config.limits = Limits::from_values(get),
                TableName::TimeOuts => config.time_outs = TimeOuts::from_values(get),
                TableName::Kind(name) => drop(config.kinds.insert(name, Kind::from_values(get))),
                TableName::Team(name) => drop(config.teams.insert(name, Team::from_values(get))),
                TableName::Objective(kind, team) => {
                    config
                        .objectives
                        .insert((kind, team), Objective::from_values(get));
                }
            }
        }
        config
    }
}
