//! The sections of the configuration, one module each.

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

use crate::key::{Key, Scope};

/// Heading of each section in the files, with its keys.
pub const SECTIONS: [(&str, &[Key]); 5] = [
    ("kinds", Kind::KEYS),
    ("teams", Team::KEYS),
    ("limits", Limits::KEYS),
    ("time_outs", TimeOuts::KEYS),
    ("objectives", Objective::KEYS),
];

impl Scope {
    /// The keys that the table may hold.
    pub fn keys(&self) -> &'static [Key] {
        match self {
            Scope::Limits => Limits::KEYS,
            Scope::TimeOuts => TimeOuts::KEYS,
            Scope::Kind(_) => Kind::KEYS,
            Scope::Team(_) => Team::KEYS,
            Scope::Objective(..) => Objective::KEYS,
        }
    }
}
