//! Tests of the fair queue.

use std::collections::BTreeMap;

use figdeal_core::{
    fair_queue::{FairQueue, ItemKey, KindShare, QueueFull, QueueLimits},
    id::{KindId, TeamId},
};
use rand::{Rng, rngs::SmallRng};

use crate::for_seeds;

const TURN: u64 = 1 << 20;

#[derive(Clone, Copy)]
struct Item {
    kind: u16,
    team: u16,
    order: u64,
    arrival: u64,
}

/// Scans all items and never forgets a team while its kind is in use.
#[derive(Default)]
struct Naive {
    items: Vec<Item>,
    active: BTreeMap<(u16, u16), u32>,
    teams: BTreeMap<(u16, u16), u64>,
    kinds: BTreeMap<u16, u64>,
    passed: BTreeMap<u16, u64>,
    shares: Vec<(u32, u32)>,
    weights: Vec<u32>,
}

impl Naive {
    fn held(&self, kind: u16) -> u64 {
        let of_kind = self.active.iter().filter(|((k, _), _)| *k == kind);
        of_kind.map(|(_, n)| u64::from(*n)).sum()
    }

    fn queued(&self, kind: u16) -> usize {
        self.items.iter().filter(|i| i.kind == kind).count()
    }

    fn push(&mut self, item: Item) {
        let now = self.kinds.get(&item.kind).copied().unwrap_or(0);
        if !self
            .items
            .iter()
            .any(|i| (i.kind, i.team) == (item.kind, item.team))
        {
            let team = self.teams.entry((item.kind, item.team)).or_default();
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
        let passed = |k: u16| self.passed.get(&k).copied().unwrap_or(0) * weight(k);
        let kind = open
            .iter()
            .copied()
            .filter(|k| eligible(*k))
            .min_by(|&a, &b| {
                let is_due = |k: u16| self.held(k) == 0 && passed(k) >= sum;
                let load = (self.held(a) * weight(b)).cmp(&(self.held(b) * weight(a)));
                let urgency = |k: u16| self.shares[usize::from(k)].1;
                let rest = urgency(b).cmp(&urgency(a)).then(passed(b).cmp(&passed(a)));
                is_due(b).cmp(&is_due(a)).then(load).then(rest)
            })?;
        for other in open {
            let is_passed = other != kind && self.held(other) == 0;
            let count = self.passed.entry(other).or_default();
            *count = if is_passed { *count + 1 } else { 0 };
        }
        let rank = |i: &Item| {
            let active = self.active.get(&(kind, i.team)).copied().unwrap_or(0);
            let load = (u64::from(active) << 32) / u64::from(self.weights[usize::from(i.team)]);
            (
                load,
                self.teams[&(kind, i.team)],
                i.team,
                i.order,
                i.arrival,
            )
        };
        let of_kind = |i: &usize| self.items[*i].kind == kind;
        let best = (0..self.items.len())
            .filter(of_kind)
            .min_by_key(|i| rank(&self.items[*i]))?;
        let item = self.items.swap_remove(best);
        let now = self.kinds.entry(kind).or_default();
        let team = self.teams.get_mut(&(kind, item.team)).unwrap();
        *now = (*now).max(*team);
        *team = *now + TURN / u64::from(self.weights[usize::from(item.team)]);
        *self.active.entry((kind, item.team)).or_default() += 1;
        Some(item)
    }

    fn forget(&mut self, kind: u16) {
        if self.queued(kind) == 0 && self.held(kind) == 0 {
            self.kinds.remove(&kind);
            self.passed.remove(&kind);
            self.teams.retain(|(k, _), _| *k != kind);
        }
    }
}

/// Guards against an index that disagrees with the rule, leaked teams and wrong counts.
#[test]
fn agrees_with_a_scan() {
    for_seeds(|rng| {
        let limits = QueueLimits {
            max_per_kind: 60,
            max_total: 150,
        };
        let mut queue = FairQueue::with_limits(limits);
        let mut naive = Naive {
            shares: (0..5).map(|i| (rng.random_range(1..6), i % 3)).collect(),
            weights: (0..12).map(|_| rng.random_range(1..5)).collect(),
            ..Naive::default()
        };
        for (i, &(weight, urgency)) in naive.shares.iter().enumerate() {
            queue.set_share(KindId(i as u16), KindShare { weight, urgency });
        }
        for (i, &weight) in naive.weights.iter().enumerate() {
            queue.set_team_weight(TeamId(i as u16), weight);
        }
        let mut keys: Vec<(ItemKey, Item)> = Vec::new();
        let mut active: Vec<(u16, u16)> = Vec::new();
        for arrival in 0..20_000 {
            // The load swings, so that the queue runs both full and empty.
            let push = if arrival / 2_000 % 2 == 0 { 55 } else { 25 };
            match rng.random_range(0..100) {
                n if n < push => {
                    let (kind, team) = (rng.random_range(0..5), rng.random_range(0..12));
                    let item = Item {
                        kind,
                        team,
                        order: rng.random_range(0..4),
                        arrival,
                    };
                    let full = if naive.items.len() >= limits.max_total {
                        Some(QueueFull::Total {
                            limit: limits.max_total,
                        })
                    } else if naive.queued(kind) >= limits.max_per_kind {
                        Some(QueueFull::Kind {
                            kind: KindId(kind),
                            limit: limits.max_per_kind,
                        })
                    } else {
                        None
                    };
                    let pushed = queue.try_push(KindId(kind), TeamId(team), item.order, arrival);
                    assert_eq!(pushed.err(), full);
                    if let Ok(key) = pushed {
                        keys.push((key, item));
                        naive.push(item);
                    }
                }
                n if n < push + 20 && active.len() < 30 => {
                    let mask: u32 = rng.random_range(0..32) | rng.random_range(0..32);
                    let expected = naive.pop(|k| mask & (1 << k) != 0);
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
                    naive.items.retain(|i| i.arrival != item.arrival);
                    naive.forget(item.kind);
                }
                _ if !active.is_empty() => {
                    let (kind, team) = active.swap_remove(rng.random_range(0..active.len()));
                    queue.finish(KindId(kind), TeamId(team));
                    *naive.active.get_mut(&(kind, team)).unwrap() -= 1;
                    naive.forget(kind);
                }
                _ => {}
            }
            assert_eq!(queue.len(), naive.items.len());
        }
        keys.into_iter()
            .for_each(|(key, _)| assert!(queue.remove(key).is_some()));
        active
            .into_iter()
            .for_each(|(k, t)| queue.finish(KindId(k), TeamId(t)));
        assert_eq!(queue.team_count(), 0, "an empty queue remembers no team");
    });
}

/// Keeps `slots` slots busy with floods of three kinds and returns the slot time that each kind and team got.
fn flood(rng: &mut SmallRng, slots: usize, runs: [u64; 3]) -> ([u64; 3], [u64; 4]) {
    let mut queue = FairQueue::new();
    for (kind, (weight, urgency)) in [(1, 9), (1, 5), (2, 0)].into_iter().enumerate() {
        queue.set_share(KindId(kind as u16), KindShare { weight, urgency });
        for team in 0..4 {
            queue.set_team_weight(TeamId(team), if team == 0 { 3 } else { 1 });
            for order in 0..5_000 {
                queue.push(KindId(kind as u16), TeamId(team), order, ());
            }
        }
    }
    let (mut kinds, mut teams) = ([0; 3], [0; 4]);
    let mut busy: Vec<(u64, KindId, TeamId)> = Vec::new();
    for _ in 0..6_000 {
        while busy.len() < slots {
            let (key, ()) = queue.pop(|_| true).expect("the flood lasts");
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

/// Guards against long tasks or urgent kinds that take more than their share of the slots.
#[test]
fn floods_get_slots_by_weight() {
    for_seeds(|rng| {
        for runs in [[100, 100, 100], [100, 3_000, 50], [2_000, 100, 100]] {
            let (kinds, teams) = flood(rng, 32, runs);
            let sum: u64 = kinds.iter().sum();
            for (got, weight) in kinds.iter().zip([1, 1, 2]) {
                let part = *got as f64 / sum as f64 * 4.0 / f64::from(weight);
                assert!((0.9..1.1).contains(&part), "{kinds:?} for {runs:?}");
            }
            let part = teams[0] as f64 / sum as f64;
            assert!(
                (0.4..0.6).contains(&part),
                "{teams:?}: team 0 has half the weight"
            );
        }
    });
}

/// Guards against the starvation of the least urgent kinds and of teams where slots are fewer than kinds: all
/// kinds tie there, and the tie went to the most urgent kind and the first team each time.
#[test]
fn one_slot_starves_nobody() {
    for_seeds(|rng| {
        let (kinds, teams) = flood(rng, 1, [100, 100, 100]);
        let sum: u64 = kinds.iter().sum();
        assert!(kinds.iter().all(|k| *k > sum / 8), "{kinds:?}");
        let part = teams[0] as f64 / sum as f64;
        assert!(
            (0.45..0.55).contains(&part),
            "{teams:?}: team 0 has half the weight"
        );
        assert!(teams.iter().all(|t| *t > sum / 8), "{teams:?}");
    });
}
