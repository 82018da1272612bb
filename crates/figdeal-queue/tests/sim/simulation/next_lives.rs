//! Workers whose next incarnation is of another kind and capacity, and jobs that require a kind.

use figdeal_stand_in::server::{KINDS, kind_label};

use super::*;

/// Smallest and largest capacity in thousandths of a core of a worker that changes its kind. Each task fits into the
/// smallest.
const CAPACITIES: (u32, u32) = (3_000, 10_000);
/// Smallest and largest capacity of a worker that keeps its kind. It can run all tasks of its kind.
const LARGE_CAPACITIES: (u32, u32) = (12_000, 20_000);

impl Simulation {
    /// Gives the present incarnation of a worker a random kind and capacity. Of each kind, one worker stays.
    pub(super) fn change_kind(&mut self, n: usize) {
        let (kind, (smallest, largest)) = match n {
            0..KINDS => (n, LARGE_CAPACITIES),
            _ => (self.rng.random_range(0..KINDS), CAPACITIES),
        };
        let worker = &mut self.agent_hosts[n].worker;
        worker.labels = labels_of(n);
        worker.labels.push(kind_label(kind));
        worker.capacity.millicores = self.rng.random_range(smallest..=largest);
    }

    /// Returns the label that a task requires.
    pub(super) fn random_label(&mut self) -> Option<String> {
        let requires = self.plan.kinds_change && self.rng.random_bool(0.7);
        requires.then(|| kind_label(self.rng.random_range(0..KINDS)))
    }
}
