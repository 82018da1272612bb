//! Descriptions of tables and keys, and the macro that declares a section, that is, the keys of one type of table.

use std::fmt;

use crate::units::{Unit, Value};

/// Description of one key of a section.
#[derive(Debug)]
pub struct KeySpec {
    /// Name of the key in the file.
    pub name: &'static str,
    /// Meaning of the key, as the configuration page shows it.
    pub doc: &'static str,
    /// Value if no file sets the key.
    pub default: Value,
    /// Smallest allowed value.
    pub min: Value,
    /// Largest allowed value.
    pub max: Value,
    /// Whether only the base may set the key, because its value must be equal at every site.
    pub base_only: bool,
}

impl KeySpec {
    /// Returns the unit of the value.
    pub fn unit(&self) -> Unit {
        self.default.unit()
    }
}

/// Name of a TOML table in the files.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum TableName {
    /// `[limits]`
    Limits,
    /// `[time_outs]`
    TimeOuts,
    /// `[kinds.NAME]`
    Kind(String),
    /// `[teams.NAME]`
    Team(String),
    /// `[objectives.KIND]`, or `[objectives.KIND.teams.TEAM]`
    Objective(String, Option<String>),
}

impl fmt::Display for TableName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            TableName::Limits => write!(f, "limits"),
            TableName::TimeOuts => write!(f, "time_outs"),
            TableName::Kind(kind) => write!(f, "kinds.{kind}"),
            TableName::Team(team) => write!(f, "teams.{team}"),
            TableName::Objective(kind, None) => write!(f, "objectives.{kind}"),
            TableName::Objective(kind, Some(team)) => write!(f, "objectives.{kind}.teams.{team}"),
        }
    }
}

/// Declares the struct of a section, its list of keys and its construction from values.
///
/// Each key is declared as `[name: type as Variant = default, min, max]`, where `Variant` is the variant of [`Value`]
/// that holds it. The word `base_only` before it means that only the base may set the key.
macro_rules! section {
    (
        $(#[doc = $about:literal])+
        $name:ident {
            $(
                #[doc = $doc:literal]
                $($base_only:ident)? [$field:ident: $type:ty as $unit:ident = $default:expr, $min:expr, $max:expr];
            )+
        }
    ) => {
        $(#[doc = $about])+
        #[derive(Debug, Clone, PartialEq)]
        pub struct $name {
            $(#[doc = $doc] pub $field: $type,)+
        }

        impl $name {
            /// The keys of the section.
            pub const KEYS: &[crate::schema::KeySpec] = &[$(crate::schema::KeySpec {
                name: stringify!($field),
                doc: $doc.trim_ascii(),
                default: crate::units::Value::$unit($default),
                min: crate::units::Value::$unit($min),
                max: crate::units::Value::$unit($max),
                base_only: section!(@base_only $($base_only)?),
            },)+];

            /// Builds the section from the value of each key.
            pub(crate) fn from_values(get: impl Fn(&'static str) -> crate::units::Value) -> $name {
                $name {
                    $($field: match get(stringify!($field)) {
                        crate::units::Value::$unit(value) => value,
                        other => unreachable!("{} holds {other:?}", stringify!($field)),
                    },)+
                }
            }
        }

        impl Default for $name {
            fn default() -> $name {
                $name { $($field: $default,)+ }
            }
        }
    };
    (@base_only) => { false };
    (@base_only base_only) => { true };
}

pub(crate) use section;
