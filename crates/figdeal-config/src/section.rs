//! Sections of the configuration, one module each.

pub mod kinds;
pub mod limits;
pub mod objectives;
pub mod teams;
pub mod time_outs;

pub use kinds::Kind;
pub use limits::Limits;
pub use objectives::Objective;
pub use teams::Team;
pub use time_outs::TimeOuts;

use crate::schema::{KeySpec, TableName};

/// Name of each section in the files, with its keys.
pub const SECTIONS: [(&str, &[KeySpec]); 5] = [
    ("kinds", Kind::KEYS),
    ("teams", Team::KEYS),
    ("limits", Limits::KEYS),
    ("time_outs", TimeOuts::KEYS),
    ("objectives", Objective::KEYS),
];

impl TableName {
    /// Returns the keys that the table may contain.
    pub fn keys(&self) -> &'static [KeySpec] {
        match self {
            TableName::Limits => Limits::KEYS,
            TableName::TimeOuts => TimeOuts::KEYS,
            TableName::Kind(_) => Kind::KEYS,
            TableName::Team(_) => Team::KEYS,
            TableName::Objective(..) => Objective::KEYS,
        }
    }
}
