//! Order of the agents that have room for a kind, by the expected start of a task.

use std::collections::{BTreeMap, BTreeSet};

use slotmap::SecondaryMap;

use super::AgentKey;

/// Expected start in microseconds, zero for a free slot, then the turn that spreads ties.
pub(super) type Score = (u64, u64);

/// The agents with room for one kind. With `n` agents, a change takes `O(log n)`, and so does a search, but for
/// the agents that `accept` refuses: those of the task's own size class that are too small.
#[derive(Debug, Default)]
pub(super) struct KindIndex {
    classes: BTreeMap<u32, BTreeSet<(Score, AgentKey)>>,
    places: SecondaryMap<AgentKey, (u32, Score)>,
}

/// The class of a size: all sizes of a larger class are larger.
pub(super) fn size_class(size: u32) -> u32 {
    u32::BITS - size.leading_zeros()
}

impl KindIndex {
    /// Sets the place of an agent; `None` removes it.
    pub(super) fn set(&mut self, key: AgentKey, class: u32, score: Option<Score>) {
        if let Some((class, score)) = self.places.remove(key)
            && let Some(agents) = self.classes.get_mut(&class)
        {
            let is_removed = agents.remove(&(score, key));
            assert!(is_removed, "each place is in its class");
            if agents.is_empty() {
                self.classes.remove(&class);
            }
        }
        if let Some(score) = score {
            self.classes.entry(class).or_default().insert((score, key));
            self.places.insert(key, (class, score));
        }
    }

    /// The two agents with the smallest scores among those that `accept` admits, which must refuse agents that
    /// are too small for `size`.
    pub(super) fn best(
        &self,
        size: u32,
        accept: impl Fn(AgentKey) -> bool,
    ) -> [Option<(Score, AgentKey)>; 2] {
        let mut best = [None; 2];
        for agents in self.classes.range(size_class(size)..).map(|(_, a)| a) {
            for &found in agents.iter().filter(|(_, key)| accept(*key)).take(2) {
                if best[0].is_none_or(|b| found < b) {
                    best = [Some(found), best[0]];
                } else if best[1].is_none_or(|b| found < b) {
                    best[1] = Some(found);
                }
            }
        }
        best
    }
}
