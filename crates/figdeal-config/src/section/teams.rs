//! `[teams.NAME]`: one table for each team.

use crate::schema::section;

section! {
    /// Quota and share of one team.
    Team {
        /// Tasks of the team in progress over all entries.
        [max_tasks: u32 as Count = 10_000, 1, 10_000_000];
        /// Share of a kind's slots relative to the other teams.
        [weight: u32 as Count = 1, 1, 1_000];
    }
}
