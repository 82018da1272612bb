//! Tests of the weighted fair queue.

use std::collections::BTreeMap;

use figdeal_core::{
    fair_queue::{FairQueue, ItemKey, KindShare, QueueFull, QueueLimits},
    id::{KindId, TeamId},
};
use rand::{Rng, rngs::SmallRng};

use crate::for_seeds;

const VIRTUAL_TIME_PER_START: u64 = 1 << 20;

#[derive(Clone, Copy)]
struct Item {
    kind: u16,
    team: u16,
    sort_key: u64,
    arrival: u64,
}

/// Reference model: scans all items, and removes the teams of a kind only when the kind has no items.
#[derive(Default)]
struct ScanQueue {
    items: Vec<Item>,
    active: BTreeMap<(u16, u16), u32>,
    team_times: BTreeMap<(u16, u16), u64>,
    kind_times: BTreeMap<u16, u64>,
    starts_passed_over: BTreeMap<u16, u64>,
    shares: Vec<(u32, u32)>,
    weights: Vec<u32>,
}

impl ScanQueue {
    fn active_items(&self, kind: u16) -> u64 {
        let of_kind = self.active.iter().filter(|((k, _), _)| *k == kind);
        of_kind.map(|(_, n)| u64::from(*n)).sum()
    }

    fn queued(&self, kind: u16) -> usize {
        self.items.iter().filter(|i| i.kind == kind).count()
    }

    fn push(&mut self, item: Item) {
        let now = self.kind_times.get(&item.kind).copied().unwrap_or(0);
        if !self
            .items
            .iter()
            .any(|i| (i.kind, i.team) == (item.kind, item.team))
        {
            let team = self.team_times.entry((item.kind, item.team)).or_default();
            *team = now.max(*team);
        }
        self.items.push(item);
    }

    fn pop(&mut self, eligible: impl Fn(u16) -> bool) -> Option<Item> {
        let open: Vec<u16> = (0..self.shares.len() as u16)
            .filter(|k| self.queued(*k) > 0)
            .collect();
        let weight = |k: u16| u64::from(self.shares[usize::from(k)].0);
        let sum: u64 = open.iter().map(|k| weight(*k)).sum();
        let passed = |k: u16| self.starts_passed_over.get(&k).copied().unwrap_or(0) * weight(k);
        let kind = open
            .iter()
            .copied()
            .filter(|k| eligible(*k))
            .min_by(|&a, &b| {
                let is_overdue = |k: u16| self.active_items(k) == 0 && passed(k) >= sum;
                let load =
                    (self.active_items(a) * weight(b)).cmp(&(self.active_items(b) * weight(a)));
                let urgency = |k: u16| self.shares[usize::from(k)].1;
                let rest = urgency(b).cmp(&urgency(a)).then(passed(b).cmp(&passed(a)));
                is_overdue(b).cmp(&is_overdue(a)).then(load).then(rest)
            })?;
        for other in open {
            let is_passed = other != kind && self.active_items(other) == 0;
            let count = self.starts_passed_over.entry(other).or_default();
            *count = if is_passed { *count + 1 } else { 0 };
        }
        let rank = |i: &Item| {
            let active = self.active.get(&(kind, i.team)).copied().unwrap_or(0);
            let load = (u64::from(active) << 32) / u64::from(self.weights[usize::from(i.team)]);
            (
                load,
                self.team_times[&(kind, i.team)],
                i.team,
                i.sort_key,
                i.arrival,
            )
        };
        let of_kind = |i: &usize| self.items[*i].kind == kind;
        let best = (0..self.items.len())
            .filter(of_kind)
            .min_by_key(|i| rank(&self.items[*i]))?;
        let item = self.items.swap_remove(best);
        let now = self.kind_times.entry(kind).or_default();
        let team = self.team_times.get_mut(&(kind, item.team)).unwrap();
        *now = (*now).max(*team);
        *team = *now + VIRTUAL_TIME_PER_START / u64::from(self.weights[usize::from(item.team)]);
        *self.active.entry((kind, item.team)).or_default() += 1;
        Some(item)
    }

    fn remove_if_idle(&mut self, kind: u16) {
        if self.queued(kind) == 0 && self.active_items(kind) == 0 {
            self.kind_times.remove(&kind);
            self.starts_passed_over.remove(&kind);
            self.team_times.retain(|(k, _), _| *k != kind);
        }
    }
}

/// Guards against indexes that differ from the selection rule, teams that are never removed, and wrong counts, by
/// comparing the queue with a model that scans all items.
#[test]
fn agrees_with_a_scan() {
    for_seeds(|rng| {
        let limits = QueueLimits {
            max_per_kind: 60,
            max_total: 150,
        };
        let mut queue = FairQueue::with_limits(limits);
        let mut model = ScanQueue {
            shares: (0..5).map(|i| (rng.random_range(1..6), i % 3)).collect(),
            weights: (0..12).map(|_| rng.random_range(1..5)).collect(),
            ..ScanQueue::default()
        };
        for (i, &(weight, urgency)) in model.shares.iter().enumerate() {
            queue.set_share(KindId(i as u16), KindShare { weight, urgency });
        }
        for (i, &weight) in model.weights.iter().enumerate() {
            queue.set_team_weight(TeamId(i as u16), weight);
        }
        let mut keys: Vec<(ItemKey, Item)> = Vec::new();
        let mut active: Vec<(u16, u16)> = Vec::new();
        for arrival in 0..20_000 {
            // The load alternates, so that the queue becomes both full and empty.
            let push = if arrival / 2_000 % 2 == 0 { 55 } else { 25 };
            match rng.random_range(0..100) {
                n if n < push => {
                    let (kind, team) = (rng.random_range(0..5), rng.random_range(0..12));
                    let item = Item {
                        kind,
                        team,
                        sort_key: rng.random_range(0..4),
                        arrival,
                    };
                    let full = if model.items.len() >= limits.max_total {
                        Some(QueueFull::Total {
                            limit: limits.max_total,
                        })
                    } else if model.queued(kind) >= limits.max_per_kind {
                        Some(QueueFull::Kind {
                            kind: KindId(kind),
                            limit: limits.max_per_kind,
                        })
                    } else {
                        None
                    };
                    let pushed = queue.try_push(KindId(kind), TeamId(team), item.sort_key, arrival);
                    assert_eq!(pushed.err(), full);
                    if let Ok(key) = pushed {
                        keys.push((key, item));
                        model.push(item);
                    }
                }
                n if n < push + 20 && active.len() < 30 => {
                    let mask: u32 = rng.random_range(0..32) | rng.random_range(0..32);
                    let expected = model.pop(|k| mask & (1 << k) != 0);
                    let peeked = queue.peek(|k| mask & (1 << k.0) != 0).map(|(_, a)| *a);
                    let popped = queue.pop(|k| mask & (1 << k.0) != 0);
                    assert_eq!(popped.map(|(_, a)| a), expected.map(|i| i.arrival));
                    assert_eq!(peeked, expected.map(|i| i.arrival));
                    if let Some(item) = expected {
                        keys.retain(|(_, i)| i.arrival != item.arrival);
                        active.push((item.kind, item.team));
                    }
                }
                n if n < push + 25 && !keys.is_empty() => {
                    let (key, item) = keys.swap_remove(rng.random_range(0..keys.len()));
                    assert_eq!(queue.remove(key), Some(item.arrival));
                    assert_eq!(queue.remove(key), None);
                    model.items.retain(|i| i.arrival != item.arrival);
                    model.remove_if_idle(item.kind);
                }
                _ if !active.is_empty() => {
                    let (kind, team) = active.swap_remove(rng.random_range(0..active.len()));
                    queue.finish(KindId(kind), TeamId(team));
                    *model.active.get_mut(&(kind, team)).unwrap() -= 1;
                    model.remove_if_idle(kind);
                }
                _ => {}
            }
            assert_eq!(queue.len(), model.items.len());
        }
        keys.into_iter()
            .for_each(|(key, _)| assert!(queue.remove(key).is_some()));
        active
            .into_iter()
            .for_each(|(k, t)| queue.finish(KindId(k), TeamId(t)));
        assert_eq!(queue.team_count(), 0, "an empty queue has no teams");
    });
}

/// Keeps `slots` slots busy with queued items of three kinds and four teams, and returns the slot time that each kind
/// and each team got.
fn flood(rng: &mut SmallRng, slots: usize, runs: [u64; 3]) -> ([u64; 3], [u64; 4]) {
    let mut queue = FairQueue::new();
    for (kind, (weight, urgency)) in [(1, 9), (1, 5), (2, 0)].into_iter().enumerate() {
        queue.set_share(KindId(kind as u16), KindShare { weight, urgency });
        for team in 0..4 {
            queue.set_team_weight(TeamId(team), if team == 0 { 3 } else { 1 });
            for sort_key in 0..5_000 {
                queue.push(KindId(kind as u16), TeamId(team), sort_key, ());
            }
        }
    }
    let (mut kinds, mut teams) = ([0; 3], [0; 4]);
    let mut busy: Vec<(u64, KindId, TeamId)> = Vec::new();
    for _ in 0..6_000 {
        while busy.len() < slots {
            let (key, ()) = queue.pop(|_| true).expect("the queue never runs empty");
            let mean = runs[usize::from(key.kind().0)];
            let run = rng.random_range(mean / 2..=mean * 3 / 2);
            busy.push((run, key.kind(), key.team()));
        }
        let step = busy.iter().map(|b| b.0).min().unwrap();
        for (left, kind, team) in &mut busy {
            *left -= step;
            kinds[usize::from(kind.0)] += step;
            teams[usize::from(team.0)] += step;
        }
        let (done, rest) = busy.into_iter().partition(|b| b.0 == 0);
        busy = rest;
        let done: Vec<_> = done;
        done.into_iter()
            .for_each(|(_, kind, team)| queue.finish(kind, team));
    }
    (kinds, teams)
}

/// Guards against kinds that get more than their share of the slots because of long tasks or a high urgency.
#[test]
fn floods_get_slots_by_weight() {
    for_seeds(|rng| {
        for runs in [[100, 100, 100], [100, 3_000, 50], [2_000, 100, 100]] {
            let (kinds, teams) = flood(rng, 32, runs);
            let sum: u64 = kinds.iter().sum();
            for (got, weight) in kinds.iter().zip([1, 1, 2]) {
                let fraction = *got as f64 / sum as f64 * 4.0 / f64::from(weight);
                assert!((0.9..1.1).contains(&fraction), "{kinds:?} for {runs:?}");
            }
            let fraction = teams[0] as f64 / sum as f64;
            assert!(
                (0.4..0.6).contains(&fraction),
                "{teams:?}: team 0 has half the weight"
            );
        }
    });
}

/// Guards against starvation of the less urgent kinds and of teams when there are fewer slots than kinds. All kinds tie
/// then, and each tie used to go to the most urgent kind and the first team.
#[test]
fn one_slot_starves_nobody() {
    for_seeds(|rng| {
        let (kinds, teams) = flood(rng, 1, [100, 100, 100]);
        let sum: u64 = kinds.iter().sum();
        assert!(kinds.iter().all(|k| *k > sum / 8), "{kinds:?}");
        let fraction = teams[0] as f64 / sum as f64;
        assert!(
            (0.45..0.55).contains(&fraction),
            "{teams:?}: team 0 has half the weight"
        );
        assert!(teams.iter().all(|t| *t > sum / 8), "{teams:?}");
    });
}
