//! Weighted fair queue over kinds and, inside a kind, over teams.
//!
//! Shares are enforced on what is in progress: the kind with the smallest progress/weight goes next, so a kind
//! that holds slots with long tasks is charged for as long as it holds them.

use std::collections::{BTreeMap, HashMap};

use crate::id::{KindId, TeamId};

/// Weight and urgency of a kind.
#[derive(Debug, Clone, Copy)]
pub struct KindShare {
    /// Share of the slots relative to the other kinds.
    pub weight: u32,
    /// Breaks ties between kinds; a larger value goes first.
    pub urgency: u32,
}

impl Default for KindShare {
    fn default() -> KindShare {
        KindShare {
            weight: 1,
            urgency: 0,
        }
    }
}

/// Key of a queued item: its order inside the team, then its arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ItemKey {
    kind: KindId,
    team: TeamId,
    order: u64,
    arrival: u64,
}

impl ItemKey {
    /// The kind of the item.
    pub fn kind(&self) -> KindId {
        self.kind
    }

    /// The team of the item.
    pub fn team(&self) -> TeamId {
        self.team
    }
}

#[derive(Debug)]
struct TeamQueue<T> {
    items: BTreeMap<(u64, u64), T>,
    active: u32,
}

impl<T> Default for TeamQueue<T> {
    fn default() -> Self {
        TeamQueue {
            items: BTreeMap::new(),
            active: 0,
        }
    }
}

#[derive(Debug)]
struct KindQueue<T> {
    share: KindShare,
    teams: BTreeMap<TeamId, TeamQueue<T>>,
    queued: usize,
    active: u32,
}

impl<T> KindQueue<T> {
    fn new(share: KindShare) -> Self {
        KindQueue {
            share,
            teams: BTreeMap::new(),
            queued: 0,
            active: 0,
        }
    }
}

/// Weighted fair queue. Items move from queued to active by [`FairQueue::pop`] and leave by
/// [`FairQueue::finish`].
///
/// ```
/// use figdeal_core::{
///     id::{KindId, TeamId},
///     share::FairQueue,
/// };
///
/// let mut queue = FairQueue::new();
/// queue.push(KindId(0), TeamId(0), 5, "late");
/// queue.push(KindId(0), TeamId(0), 1, "early");
/// let (key, item) = queue.pop(|_| true).unwrap();
/// assert_eq!(item, "early");
/// queue.finish(key.kind(), key.team());
/// ```
#[derive(Debug)]
pub struct FairQueue<T> {
    kinds: BTreeMap<KindId, KindQueue<T>>,
    shares: HashMap<KindId, KindShare>,
    arrivals: u64,
    queued: usize,
}

impl<T> Default for FairQueue<T> {
    fn default() -> Self {
        FairQueue::new()
    }
}

impl<T> FairQueue<T> {
    /// Creates an empty queue in which every kind has the default share.
    pub fn new() -> Self {
        FairQueue {
            kinds: BTreeMap::new(),
            shares: HashMap::new(),
            arrivals: 0,
            queued: 0,
        }
    }

    /// Sets the share of a kind.
    pub fn set_share(&mut self, kind: KindId, share: KindShare) {
        self.shares.insert(kind, share);
        if let Some(queue) = self.kinds.get_mut(&kind) {
            queue.share = share;
        }
    }

    /// Adds an item; inside a team the smallest `order` goes first.
    pub fn push(&mut self, kind: KindId, team: TeamId, order: u64, item: T) -> ItemKey {
        self.arrivals += 1;
        self.queued += 1;
        let key = ItemKey {
            kind,
            team,
            order,
            arrival: self.arrivals,
        };
        let queue = self.kind_mut(kind);
        queue.queued += 1;
        queue
            .teams
            .entry(team)
            .or_default()
            .items
            .insert((order, key.arrival), item);
        key
    }

    /// Takes the next item of the kinds that `eligible` admits and counts it as active.
    pub fn pop(&mut self, mut eligible: impl FnMut(KindId) -> bool) -> Option<(ItemKey, T)> {
        let kind = self.next_kind(&mut eligible)?;
        let queue = self.kinds.get_mut(&kind)?;
        let (&team, team_queue) = queue
            .teams
            .iter_mut()
            .filter(|(_, t)| !t.items.is_empty())
            .min_by_key(|(_, t)| t.active)?;
        let ((order, arrival), item) = team_queue.items.pop_first()?;
        team_queue.active += 1;
        queue.active += 1;
        queue.queued -= 1;
        self.queued -= 1;
        Some((
            ItemKey {
                kind,
                team,
                order,
                arrival,
            },
            item,
        ))
    }

    /// Removes a queued item, for example after a cancellation.
    pub fn remove(&mut self, key: ItemKey) -> Option<T> {
        let queue = self.kinds.get_mut(&key.kind)?;
        let item = queue
            .teams
            .get_mut(&key.team)?
            .items
            .remove(&(key.order, key.arrival))?;
        queue.queued -= 1;
        self.queued -= 1;
        Some(item)
    }

    /// Releases the place of an active item.
    ///
    /// # Panics
    /// Panics when nothing of the kind and team is active.
    pub fn finish(&mut self, kind: KindId, team: TeamId) {
        let queue = self
            .kinds
            .get_mut(&kind)
            .expect("the kind has active items");
        let team_queue = queue
            .teams
            .get_mut(&team)
            .expect("the team has active items");
        assert!(
            queue.active > 0 && team_queue.active > 0,
            "finished more items than were active"
        );
        queue.active -= 1;
        team_queue.active -= 1;
        if team_queue.active == 0 && team_queue.items.is_empty() {
            queue.teams.remove(&team);
        }
    }

    /// Number of queued items.
    pub fn len(&self) -> usize {
        self.queued
    }

    /// Whether no item is queued.
    pub fn is_empty(&self) -> bool {
        self.queued == 0
    }

    /// Number of queued items of a kind.
    pub fn queued(&self, kind: KindId) -> usize {
        self.kinds.get(&kind).map_or(0, |k| k.queued)
    }

    /// Number of active items of a kind.
    pub fn active(&self, kind: KindId) -> u32 {
        self.kinds.get(&kind).map_or(0, |k| k.active)
    }

    /// The kinds with queued items and their number.
    pub fn backlog(&self) -> impl Iterator<Item = (KindId, usize)> + '_ {
        self.kinds
            .iter()
            .filter(|(_, k)| k.queued > 0)
            .map(|(&id, k)| (id, k.queued))
    }

    fn kind_mut(&mut self, kind: KindId) -> &mut KindQueue<T> {
        let share = self.shares.get(&kind).copied().unwrap_or_default();
        self.kinds
            .entry(kind)
            .or_insert_with(|| KindQueue::new(share))
    }

    fn next_kind(&self, eligible: &mut impl FnMut(KindId) -> bool) -> Option<KindId> {
        self.kinds
            .iter()
            .filter(|(_, k)| k.queued > 0)
            .filter(|(id, _)| eligible(**id))
            .min_by(|(_, a), (_, b)| {
                let left = u64::from(a.active) * u64::from(b.share.weight.max(1));
                let right = u64::from(b.active) * u64::from(a.share.weight.max(1));
                left.cmp(&right).then(b.share.urgency.cmp(&a.share.urgency))
            })
            .map(|(&id, _)| id)
    }
}
