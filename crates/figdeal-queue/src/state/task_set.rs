//! Set of the tasks of a step.

use serde::{Deserialize, Serialize};

/// Number of tasks in one word.
const WORD_BITS: u32 = u64::BITS;

/// A set of tasks by their index, with one bit for each.
///
/// ```
/// use figdeal_queue::state::TaskSet;
///
/// let mut done = TaskSet::default();
/// done.insert(70);
/// assert!(done.contains(70) && !done.contains(6) && !done.is_empty());
/// ```
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct TaskSet {
    words: Vec<u64>,
}

impl TaskSet {
    /// Adds a task.
    pub fn insert(&mut self, index: u32) {
        let word = (index / WORD_BITS) as usize;
        if self.words.len() <= word {
            self.words.resize(word + 1, 0);
        }
        self.words[word] |= 1 << (index % WORD_BITS);
    }

    /// Returns whether the set has a task.
    pub fn contains(&self, index: u32) -> bool {
        let word = self.words.get((index / WORD_BITS) as usize);
        word.is_some_and(|w| w & (1 << (index % WORD_BITS)) != 0)
    }

    /// Returns whether the set has no tasks.
    pub fn is_empty(&self) -> bool {
        self.words.is_empty()
    }
}
