//! Weighted fair queue over kinds and, inside a kind, over teams.
//!
//! Shares apply to the active items: the kind with the smallest ratio of active items to weight goes next, so a kind
//! with long tasks is charged for as long as they hold their slots. The same rule applies to the teams of a kind. With
//! `k` kinds, `t` teams and `n` items, each operation costs `O(k + log t + log n)`.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    error::Error,
};

use displaydoc::Display;

use crate::id::{KindId, TeamId};

/// Weight and urgency of a kind.
#[derive(Debug, Clone, Copy)]
pub struct KindShare {
    /// Share of the slots in proportion to the weights of the other kinds.
    pub weight: u32,
    /// Breaks ties between kinds; the larger value goes first.
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

/// Key of a queued item. Inside a team, items are ordered by sort key, then by arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ItemKey {
    kind: KindId,
    team: TeamId,
    sort_key: u64,
    arrival: u64,
}

impl ItemKey {
    /// Returns the kind of the item.
    pub fn kind(&self) -> KindId {
        self.kind
    }

    /// Returns the sort key, which orders the item inside its team.
    pub fn sort_key(&self) -> u64 {
        self.sort_key
    }

    /// Returns the team of the item.
    pub fn team(&self) -> TeamId {
        self.team
    }
}

/// Limits of a queue. They apply to queued items, not to active ones.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueLimits {
    /// Maximum number of queued items of one kind.
    pub max_per_kind: usize,
    /// Maximum number of queued items of all kinds.
    pub max_total: usize,
}

impl QueueLimits {
    /// No limits, for users that limit the number of items by other means.
    pub const UNBOUNDED: QueueLimits = QueueLimits {
        max_per_kind: usize::MAX,
        max_total: usize::MAX,
    };
}

/// Why a queue rejects an item.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum QueueFull {
    /// the queue of kind {kind:?} holds its maximum of {limit} tasks
    Kind {
        /// The kind of the rejected item.
        kind: KindId,
        /// The limit that was reached.
        limit: usize,
    },
    /// the queue holds its maximum of {limit} tasks
    Total {
        /// The limit that was reached.
        limit: usize,
    },
}

impl Error for QueueFull {}

/// Result of the fallible operations of a queue.
pub type Result<T> = std::result::Result<T, QueueFull>;

/// Virtual time that is charged for one start of a team with weight 1.
const VIRTUAL_TIME_PER_START: u64 = 1 << 20;

/// Sort key of a team in the order in which the teams of a kind are served: active items divided by weight, then
/// virtual time. The virtual time preserves the shares when the first part is equal, as it often is at an agent with
/// fewer slots than teams.
type TeamRank = (u64, u64, TeamId);

#[derive(Debug)]
struct TeamQueue<T> {
    /// The queued items, ordered by sort key and arrival.
    items: BTreeMap<(u64, u64), T>,
    active: u32,
    weight: u32,
    /// Virtual time up to which the starts of the team have been charged.
    virtual_time: u64,
}

impl<T> TeamQueue<T> {
    fn rank(&self, team: TeamId) -> TeamRank {
        let load = (u64::from(self.active) << 32) / u64::from(self.weight);
        (load, self.virtual_time, team)
    }
}

#[derive(Debug)]
struct KindQueue<T> {
    share: KindShare,
    teams: HashMap<TeamId, TeamQueue<T>>,
    /// The teams with queued items.
    ready_teams: BTreeSet<TeamRank>,
    /// The teams without items whose virtual time is ahead of the queue's. If they were removed immediately, a team
    /// that submits one task at a time could exceed its share.
    idle_teams_ahead: BTreeSet<(u64, TeamId)>,
    /// Virtual time of the last start.
    virtual_time: u64,
    queued: usize,
    active: u32,
    /// Number of starts of other kinds since this kind last started an item, counted while it had queued items but no
    /// active ones.
    starts_passed_over: u64,
}

impl<T> KindQueue<T> {
    fn new(share: KindShare) -> Self {
        KindQueue {
            share,
            teams: HashMap::new(),
            ready_teams: BTreeSet::new(),
            idle_teams_ahead: BTreeSet::new(),
            virtual_time: 0,
            queued: 0,
            active: 0,
            starts_passed_over: 0,
        }
    }

    fn weight(&self) -> u64 {
        u64::from(self.share.weight.max(1))
    }

    fn is_idle(&self) -> bool {
        self.queued == 0 && self.active == 0
    }

    /// The first team in service order whose next item has a sort key of at most `max_sort_key`.
    fn small_job_team(&self, max_sort_key: u64) -> Option<TeamId> {
        let next = |team: &TeamId| self.teams[team].items.first_key_value();
        let is_small =
            |team: &TeamId| next(team).is_some_and(|(&(sort_key, _), _)| sort_key <= max_sort_key);
        self.ready_teams
            .iter()
            .map(|&(_, _, team)| team)
            .find(is_small)
    }

    /// Applies `change` to a team, creating it if needed, and updates the indexes and counts.
    fn update<R>(
        &mut self,
        team: TeamId,
        weight: u32,
        change: impl FnOnce(&mut TeamQueue<T>) -> R,
    ) -> R {
        let virtual_time = self.virtual_time;
        let queue = self.teams.entry(team).or_insert_with(|| TeamQueue {
            items: BTreeMap::new(),
            active: 0,
            weight,
            virtual_time,
        });
        if queue.items.is_empty() {
            self.idle_teams_ahead.remove(&(queue.virtual_time, team));
            queue.virtual_time = queue.virtual_time.max(virtual_time);
        } else {
            self.ready_teams.remove(&queue.rank(team));
        }
        let (items, active) = (queue.items.len(), queue.active);
        let result = change(queue);
        self.queued = self.queued + queue.items.len() - items;
        self.active = self.active + queue.active - active;
        if !queue.items.is_empty() {
            self.ready_teams.insert(queue.rank(team));
        } else if queue.active == 0 {
            self.idle_teams_ahead.insert((queue.virtual_time, team));
        }
        self.remove_idle_teams();
        result
    }

    /// Removes the teams without items that are no longer ahead, and all teams once the kind has no items.
    fn remove_idle_teams(&mut self) {
        while let Some(&(at, team)) = self.idle_teams_ahead.first() {
            if at > self.virtual_time && !self.is_idle() {
                break;
            }
            self.idle_teams_ahead.pop_first();
            self.teams.remove(&team);
        }
        assert!(
            !self.is_idle() || self.teams.is_empty(),
            "a kind without items has no teams"
        );
    }
}

/// Weighted fair queue. [`FairQueue::pop`] makes a queued item active, and [`FairQueue::finish`] ends it.
///
/// ```
/// use figdeal_core::{
///     fair_queue::FairQueue,
///     id::{KindId, TeamId},
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
    /// The kinds with queued or active items.
    kinds: BTreeMap<KindId, KindQueue<T>>,
    /// The configured shares, also of kinds without items.
    shares: HashMap<KindId, KindShare>,
    team_weights: HashMap<TeamId, u32>,
    limits: QueueLimits,
    /// Number of items that were ever pushed; orders items with the same sort key.
    arrivals: u64,
    /// Number of queued items of all kinds.
    queued: usize,
    /// Number of active items of all kinds.
    active: u32,
}

impl<T> Default for FairQueue<T> {
    fn default() -> Self {
        FairQueue::new()
    }
}

impl<T> FairQueue<T> {
    /// Creates an empty queue without limits, in which every kind has the default share.
    pub fn new() -> Self {
        FairQueue::with_limits(QueueLimits::UNBOUNDED)
    }

    /// Creates an empty queue with limits.
    ///
    /// ```
    /// use figdeal_core::{
    ///     fair_queue::{FairQueue, QueueFull, QueueLimits},
    ///     id::{KindId, TeamId},
    /// };
    ///
    /// let mut queue = FairQueue::with_limits(QueueLimits { max_per_kind: 1, max_total: 10 });
    /// assert!(queue.try_push(KindId(0), TeamId(0), 0, "first").is_ok());
    /// let full = queue.try_push(KindId(0), TeamId(0), 0, "second").unwrap_err();
    /// assert_eq!(full, QueueFull::Kind { kind: KindId(0), limit: 1 });
    /// ```
    pub fn with_limits(limits: QueueLimits) -> Self {
        FairQueue {
            kinds: BTreeMap::new(),
            shares: HashMap::new(),
            team_weights: HashMap::new(),
            limits,
            arrivals: 0,
            queued: 0,
            active: 0,
        }
    }

    /// Sets the limits. Items that are already queued stay, even above a lowered limit.
    pub fn set_limits(&mut self, limits: QueueLimits) {
        self.limits = limits;
    }

    /// Sets the share of a kind.
    pub fn set_share(&mut self, kind: KindId, share: KindShare) {
        self.shares.insert(kind, share);
        if let Some(queue) = self.kinds.get_mut(&kind) {
            queue.share = share;
        }
    }

    /// Removes the share of a kind that is no longer configured; its queued items get the default share.
    pub fn clear_share(&mut self, kind: KindId) {
        self.shares.remove(&kind);
        if let Some(queue) = self.kinds.get_mut(&kind) {
            queue.share = KindShare::default();
        }
    }

    /// Sets the weight of a team, which should be in proportion to its quota. The default weight is 1.
    pub fn set_team_weight(&mut self, team: TeamId, weight: u32) {
        let weight = weight.max(1);
        self.team_weights.insert(team, weight);
        for kind in self.kinds.values_mut() {
            if kind.teams.contains_key(&team) {
                kind.update(team, weight, |t| t.weight = weight);
            }
        }
    }

    /// Adds an item; inside a team, the smallest `sort_key` goes first.
    ///
    /// # Panics
    /// Panics when the queue is full; a queue of [`FairQueue::new`] never is.
    pub fn push(&mut self, kind: KindId, team: TeamId, sort_key: u64, item: T) -> ItemKey {
        match self.try_push(kind, team, sort_key, item) {
            Ok(key) => key,
            Err(full) => panic!("pushed to a full queue: {full}"),
        }
    }

    /// Adds an item if the limits allow it; inside a team, the smallest `sort_key` goes first.
    ///
    /// # Errors
    /// [`QueueFull`] names the limit that was reached.
    pub fn try_push(
        &mut self,
        kind: KindId,
        team: TeamId,
        sort_key: u64,
        item: T,
    ) -> Result<ItemKey> {
        let (limits, queued) = (self.limits, self.queued(kind));
        if self.queued >= limits.max_total {
            return Err(QueueFull::Total {
                limit: limits.max_total,
            });
        }
        if queued >= limits.max_per_kind {
            return Err(QueueFull::Kind {
                kind,
                limit: limits.max_per_kind,
            });
        }
        self.arrivals += 1;
        self.queued += 1;
        let arrival = self.arrivals;
        let weight = self.team_weight(team);
        let share = self.shares.get(&kind).copied().unwrap_or_default();
        self.kinds
            .entry(kind)
            .or_insert_with(|| KindQueue::new(share))
            .update(team, weight, |t| t.items.insert((sort_key, arrival), item));
        Ok(ItemKey {
            kind,
            team,
            sort_key,
            arrival,
        })
    }

    /// Number of items of a kind that the limits still admit. A job is admitted only if all its tasks fit.
    pub fn free_space(&self, kind: KindId) -> usize {
        let total = self.limits.max_total.saturating_sub(self.queued);
        total.min(self.limits.max_per_kind.saturating_sub(self.queued(kind)))
    }

    /// Removes the next item of the kinds that `eligible` admits from the queue and counts it as active.
    pub fn pop(&mut self, eligible: impl FnMut(KindId) -> bool) -> Option<(ItemKey, T)> {
        let kind = self.next_kind(eligible)?;
        self.pop_kind(kind)
    }

    /// Takes the next item to run on one of `slots` slots; each active item holds one of them. A kind that already
    /// holds its share of the slots may not take the last `reserved_slots` free ones.
    pub fn pop_for_slot(&mut self, slots: u32, reserved_slots: u32) -> Option<(ItemKey, T)> {
        let free = slots.saturating_sub(self.active);
        if free == 0 {
            return None;
        }
        let kind =
            self.next_kind(|kind| free > reserved_slots || !self.holds_share(kind, slots))?;
        self.pop_kind(kind)
    }

    /// Like [`FairQueue::pop_for_slot`], but takes only items whose sort key is at most `max_sort_key`.
    pub fn pop_small_for_slot(
        &mut self,
        slots: u32,
        reserved_slots: u32,
        max_sort_key: u64,
    ) -> Option<(ItemKey, T)> {
        let free = slots.saturating_sub(self.active);
        if free == 0 {
            return None;
        }
        let kind = self.next_kind(|kind| {
            let is_eligible = free > reserved_slots || !self.holds_share(kind, slots);
            is_eligible && self.kinds[&kind].small_job_team(max_sort_key).is_some()
        })?;
        let team = self.kinds[&kind].small_job_team(max_sort_key)?;
        self.pop_team(kind, team)
    }

    /// Takes the next item to run on one of `slots` slots, of a kind that holds less than its share of `shared_slots`.
    pub fn pop_below_share(&mut self, slots: u32, shared_slots: u32) -> Option<(ItemKey, T)> {
        if self.active >= slots {
            return None;
        }
        let kind = self.next_kind(|kind| !self.holds_share(kind, shared_slots))?;
        self.pop_kind(kind)
    }

    /// The sort key of the item of a kind that would go next.
    pub fn next_sort_key(&self, kind: KindId) -> Option<u64> {
        let queue = self.kinds.get(&kind)?;
        let &(_, _, team) = queue.ready_teams.first()?;
        queue.teams[&team]
            .items
            .first_key_value()
            .map(|(&(sort_key, _), _)| sort_key)
    }

    /// Returns the item that [`FairQueue::pop`] would take.
    pub fn peek(&self, eligible: impl FnMut(KindId) -> bool) -> Option<(ItemKey, &T)> {
        let kind = self.next_kind(eligible)?;
        let queue = &self.kinds[&kind];
        let &(_, _, team) = queue.ready_teams.first()?;
        let (&(sort_key, arrival), item) = queue.teams[&team].items.first_key_value()?;
        Some((
            ItemKey {
                kind,
                team,
                sort_key,
                arrival,
            },
            item,
        ))
    }

    /// Removes a queued item, for example after a cancellation.
    pub fn remove(&mut self, key: ItemKey) -> Option<T> {
        let queue = self.kinds.get_mut(&key.kind)?;
        let weight = queue.teams.get(&key.team)?.weight;
        let item = queue.update(key.team, weight, |t| {
            t.items.remove(&(key.sort_key, key.arrival))
        })?;
        self.queued -= 1;
        self.remove_idle_kind(key.kind);
        Some(item)
    }

    /// Ends an active item.
    ///
    /// # Panics
    /// Panics when no item of the kind and team is active.
    pub fn finish(&mut self, kind: KindId, team: TeamId) {
        let queue = self
            .kinds
            .get_mut(&kind)
            .expect("the kind has active items");
        let weight = queue
            .teams
            .get(&team)
            .expect("the team has active items")
            .weight;
        queue.update(team, weight, |t| {
            assert!(t.active > 0, "finished more items than were active");
            t.active -= 1;
        });
        self.active -= 1;
        self.remove_idle_kind(kind);
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

    /// Number of teams that the queue stores, for checks that it does not leak memory.
    pub fn team_count(&self) -> usize {
        self.kinds.values().map(|k| k.teams.len()).sum()
    }

    /// The kinds with queued items, with the number of these items.
    pub fn backlog(&self) -> impl Iterator<Item = (KindId, usize)> + '_ {
        self.kinds
            .iter()
            .filter(|(_, k)| k.queued > 0)
            .map(|(&id, k)| (id, k.queued))
    }

    /// Whether the active items of a kind hold at least its share of `slots` among all configured kinds. A kind without
    /// a configured share has weight 1.
    pub fn holds_share(&self, kind: KindId, slots: u32) -> bool {
        let weights = |share: &KindShare| u64::from(share.weight.max(1));
        let configured: u64 = self.shares.values().map(weights).sum();
        let (own, sum) = match self.shares.get(&kind) {
            Some(share) => (weights(share), configured),
            None => (1, configured + 1),
        };
        u64::from(self.active(kind)) * sum >= u64::from(slots) * own
    }

    fn team_weight(&self, team: TeamId) -> u32 {
        self.team_weights.get(&team).copied().unwrap_or(1)
    }

    /// The eligible kind with the smallest ratio of active items to weight. Ties go to the more urgent kind, then to
    /// the kind with the larger product of weight and `starts_passed_over`. However, a kind without active items goes
    /// first once it was passed over for a full round: by as many starts as the total weight of the kinds with queued
    /// items divided by its own. Without that exception, the least urgent kinds would starve when there are fewer slots
    /// than kinds.
    fn next_kind(&self, mut eligible: impl FnMut(KindId) -> bool) -> Option<KindId> {
        let sum: u64 = self
            .kinds
            .values()
            .filter(|k| k.queued > 0)
            .map(KindQueue::weight)
            .sum();
        self.kinds
            .iter()
            .filter(|(id, k)| k.queued > 0 && eligible(**id))
            .min_by(|(_, a), (_, b)| {
                let is_overdue =
                    |k: &KindQueue<T>| k.active == 0 && k.starts_passed_over * k.weight() >= sum;
                let load_a = u64::from(a.active) * b.weight();
                let load_b = u64::from(b.active) * a.weight();
                is_overdue(b)
                    .cmp(&is_overdue(a))
                    .then(load_a.cmp(&load_b))
                    .then(b.share.urgency.cmp(&a.share.urgency))
                    .then(
                        (b.starts_passed_over * b.weight())
                            .cmp(&(a.starts_passed_over * a.weight())),
                    )
            })
            .map(|(&id, _)| id)
    }

    fn pop_kind(&mut self, kind: KindId) -> Option<(ItemKey, T)> {
        let &(_, _, team) = self.kinds.get(&kind)?.ready_teams.first()?;
        self.pop_team(kind, team)
    }

    fn pop_team(&mut self, kind: KindId, team: TeamId) -> Option<(ItemKey, T)> {
        for (&id, other) in &mut self.kinds {
            other.starts_passed_over = if id != kind && other.queued > 0 && other.active == 0 {
                other.starts_passed_over + 1
            } else {
                0
            };
        }
        let queue = self.kinds.get_mut(&kind)?;
        let virtual_time = queue.virtual_time.max(queue.teams[&team].virtual_time);
        queue.virtual_time = virtual_time;
        let weight = queue.teams[&team].weight;
        let ((sort_key, arrival), item) = queue.update(team, weight, |t| {
            t.active += 1;
            // A team that fell behind does not catch up; otherwise a team with long tasks would later starve the
            // others.
            t.virtual_time = virtual_time + VIRTUAL_TIME_PER_START / u64::from(t.weight);
            t.items
                .pop_first()
                .expect("a team in the ready index has queued items")
        });
        self.queued -= 1;
        self.active += 1;
        assert!(
            self.active >= queue.active,
            "the total includes the active items of every kind"
        );
        Some((
            ItemKey {
                kind,
                team,
                sort_key,
                arrival,
            },
            item,
        ))
    }

    fn remove_idle_kind(&mut self, kind: KindId) {
        if self.kinds.get(&kind).is_some_and(KindQueue::is_idle) {
            self.kinds.remove(&kind);
        }
    }
}
