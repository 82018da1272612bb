//! Index of the agents that have room for a class of tasks, ordered by the expected start of a task.

use std::collections::{BTreeMap, BTreeSet};

use slotmap::SecondaryMap;

use super::AgentKey;

/// Sort key of an agent: the expected start of a task in microseconds (0 for a free slot), then the tie-break number.
pub(super) type Score = (u64, u64);

/// The agents with room for one class of tasks, grouped by the bucket of their largest task size. With `n` agents, a
/// change costs `O(log n)`, and so does a search, apart from the agents that its `accept` rejects: those in the task's
/// own size bucket that are too small for the task.
#[derive(Debug, Default)]
pub(super) struct PlacementIndex {
    buckets: BTreeMap<u32, BTreeSet<(Score, AgentKey)>>,
    positions: SecondaryMap<AgentKey, (u32, Score)>,
}

/// Bucket of a size: its number of significant bits. All sizes in a higher bucket are larger.
pub(super) fn size_bucket(size: u32) -> u32 {
    u32::BITS - size.leading_zeros()
}

impl PlacementIndex {
    /// Inserts or moves an agent; a score of `None` removes it.
    pub(super) fn set(&mut self, key: AgentKey, bucket: u32, score: Option<Score>) {
        if let Some((bucket, score)) = self.positions.remove(key)
            && let Some(agents) = self.buckets.get_mut(&bucket)
        {
            let is_removed = agents.remove(&(score, key));
            assert!(
                is_removed,
                "every indexed agent is in the set of its size bucket"
            );
            if agents.is_empty() {
                self.buckets.remove(&bucket);
            }
        }
        if let Some(score) = score {
            self.buckets.entry(bucket).or_default().insert((score, key));
            self.positions.insert(key, (bucket, score));
        }
    }

    /// Returns the two agents with the smallest scores among those that `accept` admits. `accept` must reject agents
    /// that are too small for `size`.
    pub(super) fn best_two(
        &self,
        size: u32,
        accept: impl Fn(AgentKey) -> bool,
    ) -> [Option<(Score, AgentKey)>; 2] {
        let mut best = [None; 2];
        for agents in self.buckets.range(size_bucket(size)..).map(|(_, a)| a) {
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
