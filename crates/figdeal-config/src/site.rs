//! Effective configuration of a site: defaults, then the base, then the overlay.

use std::{collections::BTreeMap, fmt};

use crate::{
    key::{Key, Scope},
    layer::Layer,
    section::{Kind, Limits, Objective, Team, TimeOuts},
    units::Value,
};

/// Column of the origins in a printout.
const ORIGIN_COLUMN: usize = 32;

/// Where a value comes from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Origin {
    /// No file sets the key.
    Default,
    /// A line of a file.
    File {
        /// Name of the file in the bundle.
        name: String,
        /// Line from 1.
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

/// The value of a key at a site with its origin.
#[derive(Debug, Clone)]
pub struct Setting {
    /// The key.
    pub key: &'static Key,
    /// The value.
    pub value: Value,
    /// Where it comes from.
    pub origin: Origin,
    /// Whether every file that sets the key has a readable value.
    pub(crate) sound: bool,
}

/// A table at a site.
#[derive(Debug, Clone)]
pub(crate) struct Group {
    /// The heading in the base.
    pub(crate) origin: Origin,
    pub(crate) settings: Vec<Setting>,
}

/// All values of a site with their origins. `Display` prints them as TOML, with the origins as comments.
#[derive(Debug, Clone)]
pub struct Settings {
    pub(crate) groups: BTreeMap<Scope, Group>,
}

impl Settings {
    /// Applies the base and then the overlay to the defaults. Tables that only the overlay has are left out.
    pub(crate) fn merge(base: &Layer, overlay: Option<&Layer>) -> Settings {
        let mut settings = Settings {
            groups: BTreeMap::new(),
        };
        for scope in [Scope::Limits, Scope::TimeOuts] {
            settings.add(scope, Origin::Default);
        }
        for (scope, table) in &base.tables {
            let origin = Origin::File {
                name: base.file.clone(),
                line: table.line,
            };
            settings.add(scope.clone(), origin);
        }
        for layer in [Some(base), overlay].into_iter().flatten() {
            settings.apply(layer);
        }
        settings.inherit();
        settings
    }

    /// Fills the unset keys of a team's objective from the objective of the kind.
    fn inherit(&mut self) {
        let is_parent = |scope: &Scope| matches!(scope, Scope::Objective(_, None));
        let parents: BTreeMap<_, _> = self
            .groups
            .iter()
            .filter(|(scope, _)| is_parent(scope))
            .map(|(scope, group)| (scope.clone(), group.clone()))
            .collect();
        for (scope, group) in &mut self.groups {
            let Scope::Objective(kind, Some(_)) = scope else {
                continue;
            };
            let Some(parent) = parents.get(&Scope::Objective(kind.clone(), None)) else {
                continue;
            };
            for (own, parent) in group.settings.iter_mut().zip(&parent.settings) {
                if own.origin == Origin::Default && own.sound {
                    own.clone_from(parent);
                }
            }
        }
    }

    fn add(&mut self, scope: Scope, origin: Origin) {
        let default = |key: &'static Key| Setting {
            key,
            value: key.default,
            origin: Origin::Default,
            sound: true,
        };
        let settings = scope.keys().iter().map(default).collect();
        self.groups.insert(scope, Group { origin, settings });
    }

    fn apply(&mut self, layer: &Layer) {
        for (scope, table) in &layer.tables {
            let Some(group) = self.groups.get_mut(scope) else {
                continue;
            };
            for setting in &mut group.settings {
                setting.sound &= !table.broken.contains(setting.key.name);
                let Some(found) = table.values.get(setting.key.name) else {
                    continue;
                };
                setting.value = found.value;
                setting.origin = Origin::File {
                    name: layer.file.clone(),
                    line: found.line,
                };
            }
        }
    }

    /// The value of a key with its origin.
    pub fn get(&self, scope: &Scope, key: &str) -> Option<&Setting> {
        self.groups
            .get(scope)?
            .settings
            .iter()
            .find(|setting| setting.key.name == key)
    }

    /// Every value with its table, sorted by table.
    pub fn iter(&self) -> impl Iterator<Item = (&Scope, &Setting)> {
        self.groups
            .iter()
            .flat_map(|(scope, group)| group.settings.iter().map(move |setting| (scope, setting)))
    }

    fn value(&self, scope: &Scope, key: &'static str) -> Value {
        self.get(scope, key)
            .expect("every table holds every key of its section")
            .value
    }
}

impl fmt::Display for Settings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, (scope, group)) in self.groups.iter().enumerate() {
            if index > 0 {
                writeln!(f)?;
            }
            writeln!(f, "[{scope}]")?;
            for setting in &group.settings {
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
    /// Bounds.
    pub limits: Limits,
    /// Intervals and limits of the traffic.
    pub time_outs: TimeOuts,
    /// Objectives by kind, and by team where the objective is for one team only.
    pub objectives: BTreeMap<(String, Option<String>), Objective>,
}

impl SiteConfig {
    /// The objective for a team's tasks of a kind: the team's own, else the one of the kind.
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

impl From<&Settings> for SiteConfig {
    fn from(settings: &Settings) -> SiteConfig {
        let mut config = SiteConfig::default();
        for scope in settings.groups.keys() {
            let get = |key| settings.value(scope, key);
            match scope.clone() {
                Scope::Limits => config.limits = Limits::from_values(get),
                Scope::TimeOuts => config.time_outs = TimeOuts::from_values(get),
                Scope::Kind(name) => drop(config.kinds.insert(name, Kind::from_values(get))),
                Scope::Team(name) => drop(config.teams.insert(name, Team::from_values(get))),
                Scope::Objective(kind, team) => {
                    config
                        .objectives
                        .insert((kind, team), Objective::from_values(get));
                }
            }
        }
        config
    }
}
