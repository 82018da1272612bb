//! Breadth-first search over all orders of events.

use std::collections::{HashSet, VecDeque};

use crate::model::{Rules, State, World};

/// What a search has found.
pub(crate) struct Outcome {
    /// Number of different states.
    pub(crate) state_count: usize,
    /// Shortest order of events that breaks the promise, with the broken rule at its end.
    pub(crate) violation: Option<Vec<&'static str>>,
}

/// Largest number of states, which bounds the memory of a search.
const MAX_STATES: usize = 30_000_000;

/// How a state was reached: the index of the state before it, and the event between them.
type Origin = (usize, &'static str);

/// Tries all orders of up to `max_events` events, the shortest first.
pub(crate) fn search(start: State, max_events: usize, rules: &Rules, world: &World) -> Outcome {
    let mut known = HashSet::from([start.clone()]);
    let mut origins: Vec<Origin> = vec![(0, "")];
    let mut open = VecDeque::from([(0, 0, start)]);
    while let Some((index, events, state)) = open.pop_front() {
        if events == max_events {
            break;
        }
        for (event, after) in state.successors(rules, world) {
            if let Some(rule) = after.broken() {
                let mut trace = trace(&origins, index);
                trace.extend([event, rule]);
                return Outcome {
                    state_count: origins.len(),
                    violation: Some(trace),
                };
            }
            if known.insert(after.clone()) {
                open.push_back((origins.len(), events + 1, after));
                origins.push((index, event));
                assert!(origins.len() <= MAX_STATES, "the bounds are too large");
            }
        }
    }
    Outcome {
        state_count: origins.len(),
        violation: None,
    }
}

fn trace(origins: &[Origin], last: usize) -> Vec<&'static str> {
    let mut events = Vec::new();
    let mut index = last;
    while index > 0 {
        let (before, event) = origins[index];
        events.push(event);
        index = before;
    }
    events.reverse();
    events
}
