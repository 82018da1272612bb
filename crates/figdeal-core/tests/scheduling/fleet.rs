//! Tests of placement, expiry and outlier ejection of agents.

use std::{collections::BTreeMap, time::Duration};

use figdeal_core::{
    fleet::{
        AgentHealth, AgentInfo, AgentKey, AgentLoad, AgentState, Fleet, FleetChange, FleetLimits,
        HealthSample, TaskClass,
    },
    id::{Incarnation, KindId},
    time::Timestamp,
};
use rand::{Rng, rngs::SmallRng, seq::IndexedRandom};

use crate::for_seeds;

const KIND: KindId = KindId(0);
const OTHER: KindId = KindId(1);
const SECOND: Duration = Duration::from_secs(1);

fn info(name: usize, incarnation: u64) -> AgentInfo {
    AgentInfo {
        name: format!("desk-{name}"),
        address: format!("127.0.0.1:{}", 9_000 + name),
        incarnation: Incarnation(incarnation),
        slots: 8,
        kinds: Vec::new(),
        max_task_size: 100,
        draining: false,
    }
}

fn free(free: u32) -> AgentLoad {
    AgentLoad {
        free_slots: free,
        ..AgentLoad::default()
    }
}

fn announce_all(fleet: &mut Fleet, agents: usize, now: Timestamp) {
    for agent in 0..agents {
        fleet.announce(info(agent, 1), free(8), now);
    }
}

fn new_fleet(agents: usize, seed: u64) -> Fleet {
    let mut fleet = Fleet::with_seed(FleetLimits::default(), seed);
    announce_all(&mut fleet, agents, Timestamp::ZERO);
    fleet
}

/// Reference model of one agent; placements are checked by a scan over all models.
struct AgentModel {
    info: AgentInfo,
    load: AgentLoad,
    seen_at: Timestamp,
    sent_since_report: BTreeMap<KindId, u32>,
    outstanding: BTreeMap<KindId, u32>,
    is_replaced: bool,
}

impl AgentModel {
    fn accepts(&self, kind: KindId, size: u32, now: Timestamp) -> bool {
        let is_kind = self.info.kinds.is_empty() || self.info.kinds.contains(&kind);
        self.is_available(now) && is_kind && size <= self.info.max_task_size
    }

    fn is_available(&self, now: Timestamp) -> bool {
        let is_live = !self.is_replaced && now.since(self.seen_at) < 3 * SECOND;
        is_live && !self.info.draining
    }

    fn min_running(&self) -> u32 {
        let outstanding: u32 = self.outstanding.values().sum();
        outstanding.saturating_sub(self.load.queued.iter().map(|q| q.1).sum())
    }

    fn free(&self) -> u32 {
        let unsent = self
            .load
            .free_slots
            .saturating_sub(self.sent_since_report.values().sum());
        unsent.min(self.info.slots.saturating_sub(self.min_running()))
    }

    fn withheld_slots(&self, class: TaskClass) -> u32 {
        u32::from(!class.is_small && self.info.slots > 1)
    }

    fn has_room(&self, class: TaskClass) -> bool {
        if class.is_small && self.free() > 0 {
            return true;
        }
        let kind = class.kind;
        let of = |counts: &BTreeMap<KindId, u32>| counts.get(&kind).copied().unwrap_or(0);
        let (sent, outstanding) = (of(&self.sent_since_report), of(&self.outstanding));
        let others = self.sent_since_report.values().sum::<u32>() - sent;
        let reported = self.load.free_slots.saturating_sub(others);
        let slots_left = self
            .info
            .slots
            .saturating_sub(self.min_running().saturating_sub(sent));
        let window = if self.min_running() < self.info.slots {
            2
        } else {
            0
        };
        let queued = self
            .load
            .queued
            .iter()
            .find(|q| q.0 == kind)
            .map_or(0, |q| q.1);
        let free = reported
            .min(slots_left)
            .saturating_sub(self.withheld_slots(class));
        outstanding < self.info.slots + window && queued + sent < free + window
    }

    fn is_free(&self, class: TaskClass) -> bool {
        let is_queued = self
            .load
            .queued
            .iter()
            .any(|q| q.0 == class.kind && q.1 > 0);
        self.free() > self.withheld_slots(class) && (class.is_small || !is_queued)
    }
}

fn random_load(rng: &mut SmallRng) -> AgentLoad {
    let free = rng.random_range(0..9) / 2;
    let queued = (0..4)
        .map(|k| (KindId(k), rng.random_range(0..3)))
        .collect();
    let wait = if free == 0 {
        rng.random_range(0..500)
    } else {
        0
    };
    AgentLoad {
        free_slots: free,
        queued,
        next_slot_wait: Duration::from_millis(wait),
    }
}

/// Guards against placement indexes that miss changes: every placement must match a scan over all agents, with lost and
/// repeated announcements, delayed ones of old incarnations, agents that leave and restart, ejections, cancellations
/// and size limits.
#[test]
fn placement_agrees_with_a_scan() {
    for_seeds(|rng| {
        let mut fleet = Fleet::with_seed(FleetLimits::default(), rng.random());
        let mut models: BTreeMap<AgentKey, AgentModel> = BTreeMap::new();
        let mut names = [1; 12];
        let mut now = Timestamp::ZERO;
        let (mut placed, mut ejections) = (0, 0);
        for _ in 0..20_000 {
            now = now + Duration::from_millis(rng.random_range(0..20));
            let (kind, size) = (KindId(rng.random_range(0..4)), rng.random_range(0..130));
            match rng.random_range(0..100) {
                0..20 => {
                    let name = rng.random_range(0..names.len());
                    names[name] += u64::from(rng.random_bool(0.02));
                    let is_late = rng.random_bool(0.02) && names[name] > 2;
                    let mut info = info(name, names[name] - u64::from(is_late));
                    info.max_task_size = [10, 64, 100, 120][name % 4];
                    info.kinds = if name % 3 == 0 {
                        vec![KIND, OTHER]
                    } else {
                        Vec::new()
                    };
                    info.draining = rng.random_bool(0.05);
                    let load = random_load(rng);
                    let model = AgentModel {
                        info: info.clone(),
                        load: load.clone(),
                        seen_at: now,
                        sent_since_report: BTreeMap::new(),
                        outstanding: BTreeMap::new(),
                        is_replaced: false,
                    };
                    match fleet.announce(info, load, now) {
                        FleetChange::New(key) => drop(models.insert(key, model)),
                        FleetChange::Renewed(key) => {
                            let outstanding =
                                std::mem::take(&mut models.get_mut(&key).unwrap().outstanding);
                            models.insert(
                                key,
                                AgentModel {
                                    outstanding,
                                    ..model
                                },
                            );
                        }
                        FleetChange::Replaced { new, old } => {
                            models.insert(new, model);
                            models.get_mut(&old).unwrap().is_replaced = true;
                        }
                        FleetChange::Stale => {
                            let (name, incarnation) = (&model.info.name, model.info.incarnation);
                            let is_current =
                                |m: &&AgentModel| !m.is_replaced && m.info.name == *name;
                            let current = models.values().find(is_current).expect("one is current");
                            assert!(
                                current.info.incarnation != incarnation
                                    && now.since(current.seen_at) < 3 * SECOND
                            );
                        }
                    }
                }
                20..65 => {
                    let class = TaskClass {
                        kind,
                        is_small: rng.random_bool(0.3),
                    };
                    let has_room = fleet.has_room_for_class(class, size, now);
                    let key = fleet.place_class(class, size, now);
                    assert_eq!(key.is_some(), has_room);
                    let healthy =
                        |k: &AgentKey| fleet.get(*k).unwrap().health() == AgentHealth::Healthy;
                    let open: Vec<&AgentKey> = models
                        .iter()
                        .filter(|(_, m)| m.accepts(kind, size, now) && m.has_room(class))
                        .map(|(k, _)| k)
                        .filter(|k| healthy(k))
                        .collect();
                    let Some(key) = key else {
                        assert!(open.is_empty(), "the scan finds an agent with room");
                        continue;
                    };
                    placed += 1;
                    let is_free = open.iter().any(|k| models[k].is_free(class));
                    let model = &models[&key];
                    assert!(model.accepts(kind, size, now));
                    if healthy(&key) {
                        assert!(model.has_room(class));
                        assert!(
                            model.is_free(class) || !is_free,
                            "another agent had a free slot"
                        );
                    } else {
                        assert!(
                            model.outstanding.is_empty(),
                            "an agent with a probe has no other task"
                        );
                    }
                    let model = models.get_mut(&key).unwrap();
                    *model.sent_since_report.entry(kind).or_default() += 1;
                    *model.outstanding.entry(kind).or_default() += 1;
                }
                65..95 => {
                    let busy: Vec<(AgentKey, KindId)> = models
                        .iter()
                        .flat_map(|(k, m)| m.outstanding.keys().map(|kind| (*k, *kind)))
                        .collect();
                    let Some(&(key, kind)) = busy.choose(rng) else {
                        continue;
                    };
                    let model = models.get_mut(&key).unwrap();
                    let count = model.outstanding.get_mut(&kind).unwrap();
                    *count -= 1;
                    if *count == 0 {
                        model.outstanding.remove(&kind);
                    }
                    let is_bad = model.info.name.ends_with('1')
                        && (now.as_micros() / 30_000_000).is_multiple_of(2);
                    let before = fleet.ejected_count();
                    match rng.random_range(0..10) {
                        0 => fleet.release_task(key, kind),
                        _ if is_bad => fleet.record_result(key, kind, HealthSample::Failure, now),
                        _ => fleet.record_result(key, kind, HealthSample::Success(SECOND / 4), now),
                    }
                    ejections += usize::from(fleet.ejected_count() > before);
                    if rng.random_bool(0.8) {
                        model.load = random_load(rng);
                        model.sent_since_report.clear();
                        // A reply renews the announcement of an agent that is not expired and not draining.
                        if model.is_available(now) {
                            model.seen_at = now;
                        }
                        fleet.report_load(key, model.load.clone(), now);
                    }
                }
                95 => {
                    let idle = |m: &&AgentKey| models[m].outstanding.is_empty();
                    let idle_agents: Vec<AgentKey> = models.keys().filter(idle).copied().collect();
                    if let Some(key) = idle_agents.choose(rng).copied() {
                        fleet.remove(key);
                        models.remove(&key);
                    }
                }
                _ => drop(fleet.tick(now)),
            }
            let available = models.values().filter(|m| m.accepts(KIND, 0, now)).count();
            fleet.tick(now);
            assert!(
                fleet.ejected_count() <= available * 30 / 100,
                "{} of {available}",
                fleet.ejected_count()
            );
            let accepts = models.values().any(|m| m.accepts(kind, size, now));
            assert_eq!(fleet.is_placeable(kind, size, now), accepts);
            assert_eq!(fleet.status(now).len(), models.len());
        }
        assert!(
            placed > 2_000 && ejections > 0,
            "{placed} placements, {ejections} ejections"
        );
    });
}

/// Guards against entries that all choose the same agent between two load reports: no agent may get more tasks than its
/// slots and a short queue take while others have free slots.
#[test]
fn entries_spread_between_reports() {
    for_seeds(|rng| {
        let mut sent: BTreeMap<String, u32> = BTreeMap::new();
        for _ in 0..3 {
            let mut entry = new_fleet(10, rng.random());
            for _ in 0..20 {
                let key = entry.place(KIND, 1, Timestamp::ZERO).unwrap();
                *sent
                    .entry(entry.get(key).unwrap().info.name.clone())
                    .or_default() += 1;
            }
        }
        assert!(
            sent.values().all(|n| *n <= 10),
            "{sent:?}: 60 tasks for 80 slots"
        );
    });
}

/// Guards against long queues at the agents: an entry whose tasks hold all slots queues nothing behind them, and one
/// that holds no slots queues at most the window.
#[test]
fn a_busy_fleet_gets_short_queues() {
    let now = Timestamp::ZERO;
    let mut fleet = new_fleet(4, 1);
    let mut placed = |kind| {
        (0..1_000)
            .filter(|_| fleet.place(kind, 1, now).is_some())
            .count()
    };
    assert_eq!((placed(KIND), placed(OTHER)), (4 * 8, 0));
    let mut fleet = new_fleet(4, 2);
    for agent in 0..4 {
        fleet.announce(info(agent, 1), free(0), now);
    }
    let mut placed = |kind| {
        (0..1_000)
            .filter(|_| fleet.place(kind, 1, now).is_some())
            .count()
    };
    assert_eq!(
        (placed(KIND), placed(OTHER)),
        (4 * 2, 4 * 2),
        "each kind has its own window"
    );
}

/// Guards against counting reserved slots as free for a kind whose tasks the agent does not start on them.
#[test]
fn tasks_that_queue_beside_free_slots_are_bounded() {
    let (mut fleet, now) = (new_fleet(1, 1), Timestamp::ZERO);
    let load = AgentLoad {
        free_slots: 2,
        queued: vec![(KIND, 4)],
        next_slot_wait: Duration::ZERO,
    };
    fleet.announce(info(0, 1), load, now);
    assert!(!fleet.has_room(KIND, now) && fleet.has_room(OTHER, now));
}

/// Guards against a reserved slot that an entry does not use for another kind because its tasks of a kind that exceeds
/// its share are queued at the same agent.
#[test]
fn a_reserved_slot_is_open_to_other_kinds() {
    let (mut fleet, now) = (new_fleet(1, 1), Timestamp::ZERO);
    let placed: Vec<AgentKey> = (0..8).map_while(|_| fleet.place(KIND, 1, now)).collect();
    let load = AgentLoad {
        free_slots: 1,
        queued: vec![(KIND, 1)],
        next_slot_wait: Duration::ZERO,
    };
    fleet.report_load(placed[7], load, now);
    assert_eq!(fleet.place(OTHER, 1, now), Some(placed[0]));
    assert_eq!(fleet.status(now)[0].free, 0);
}

/// Places one task and ends it immediately; `fails` decides by agent name and kind whether it fails.
fn run_task(fleet: &mut Fleet, kind: KindId, now: Timestamp, fails: impl Fn(&str, KindId) -> bool) {
    if let Some(key) = fleet.place(kind, 1, now) {
        let is_failed = fails(&fleet.get(key).unwrap().info.name, kind);
        let sample = if is_failed {
            HealthSample::Failure
        } else {
            HealthSample::Success(SECOND / 10)
        };
        fleet.record_result(key, kind, sample, now);
        fleet.report_load(key, free(8), now);
    }
}

/// Runs tasks for some seconds while all agents announce themselves each second. Returns the number of ejections of
/// each agent.
fn run_for(
    fleet: &mut Fleet,
    rng: &mut SmallRng,
    seconds: std::ops::Range<u64>,
    fails: impl Fn(&str, KindId) -> bool,
) -> BTreeMap<String, u32> {
    let mut ejections: BTreeMap<String, u32> = BTreeMap::new();
    let agents = fleet.iter().count();
    for tick in seconds.start * 100..seconds.end * 100 {
        let now = Timestamp::from_micros(tick * 10_000);
        if tick % 100 == 0 {
            announce_all(fleet, agents, now);
        }
        let health =
            |fleet: &Fleet| -> Vec<AgentHealth> { fleet.iter().map(|(_, a)| a.health()).collect() };
        let before = health(fleet);
        (0..3).for_each(|_| run_task(fleet, KindId(rng.random_range(0..3)), now, &fails));
        for ((_, agent), before) in fleet.iter().zip(before) {
            let is_ejected = matches!(agent.health(), AgentHealth::Ejected { .. });
            if is_ejected && !matches!(before, AgentHealth::Ejected { .. }) {
                *ejections.entry(agent.info.name.clone()).or_default() += 1;
            }
        }
    }
    ejections
}

/// Guards against ejecting healthy agents because a kind fails, always or often, at all agents.
#[test]
fn a_kind_that_fails_everywhere_ejects_nobody() {
    for_seeds(|rng| {
        let mut fleet = new_fleet(10, rng.random());
        let seed: u64 = rng.random();
        let healthy = run_for(&mut fleet, rng, 0..30, |_, _| false);
        let failing = run_for(&mut fleet, rng, 30..90, |_, kind| kind == OTHER);
        let flaky = std::cell::Cell::new(seed);
        let often = run_for(&mut fleet, rng, 90..300, |_, _| {
            flaky.set(
                flaky
                    .get()
                    .wrapping_mul(6_364_136_223_846_793_005)
                    .wrapping_add(1),
            );
            (flaky.get() >> 33) % 10 < 3
        });
        assert_eq!((healthy.len(), failing.len(), often.len()), (0, 0, 0));
    });
}

/// Guards against an upstream that fails tasks immediately, therefore looks idle and attracts all tasks, alone or with
/// two others, for all kinds or for one. Also guards against agents that get no tasks after they were repaired.
#[test]
fn failing_agents_are_ejected_and_recover() {
    for_seeds(|rng| {
        let all = |name: &str, _| ["desk-1", "desk-2", "desk-3"].contains(&name);
        let one = |name: &str, kind| name == "desk-1" && kind == OTHER;
        for (fails, bad) in [(&all as &dyn Fn(&str, KindId) -> bool, 3), (&one, 1)] {
            let mut fleet = new_fleet(10, rng.random());
            run_for(&mut fleet, rng, 0..10, |_, _| false);
            let ejections = run_for(&mut fleet, rng, 10..200, fails);
            assert_eq!(ejections.len(), bad, "{ejections:?}");
            run_for(&mut fleet, rng, 200..300, |_, _| false);
            assert_eq!(
                fleet.ejected_count(),
                0,
                "repaired agents get tasks after the longest backoff"
            );
        }
    });
}

/// Guards against a backoff that does not double or exceeds 60 s, and against lost or simultaneous probes.
#[test]
fn backoff_doubles_up_to_a_minute() {
    for_seeds(|rng| {
        let mut fleet = new_fleet(10, rng.random());
        let fails = |name: &str, _: KindId| name == "desk-1";
        run_for(&mut fleet, rng, 0..10, fails);
        let key = fleet
            .iter()
            .find(|(_, a)| a.info.name == "desk-1")
            .unwrap()
            .0;
        let mut now = Timestamp::from_micros(10_000_000);
        let mut until = |fleet: &mut Fleet, sample| {
            let AgentHealth::Ejected { until } = fleet.get(key).unwrap().health() else {
                panic!("the agent is ejected");
            };
            while now < until {
                now = until.min(now + SECOND);
                announce_all(fleet, 10, now);
            }
            assert_eq!(fleet.place(KIND, 1, until), Some(key), "the probe is due");
            assert_ne!(
                fleet.place(KIND, 1, until),
                Some(key),
                "one probe at a time"
            );
            let probing = fleet
                .status(until)
                .iter()
                .any(|s| s.key == key && s.state == AgentState::Probing);
            assert!(probing, "the status names the probe");
            fleet.record_result(key, KIND, sample, until);
            match fleet.get(key).unwrap().health() {
                AgentHealth::Ejected { until: next } => next.since(until),
                _ => Duration::ZERO,
            }
        };
        let mut last = until(&mut fleet, HealthSample::Inconclusive);
        for _ in 0..8 {
            let next = until(&mut fleet, HealthSample::Failure);
            assert_eq!(next, (last * 2).min(60 * SECOND));
            last = next;
        }
        assert_eq!(
            until(&mut fleet, HealthSample::Inconclusive),
            60 * SECOND,
            "an inconclusive probe keeps the backoff"
        );
        assert_eq!(
            until(&mut fleet, HealthSample::Success(SECOND)),
            Duration::ZERO
        );
    });
}

/// Guards against tasks for agents that expired, left or were replaced, and against a delayed announcement of an old
/// incarnation that makes an agent available again.
#[test]
fn leaving_agents_get_no_work() {
    let (mut fleet, now) = (new_fleet(1, 1), Timestamp::ZERO);
    let key = fleet.iter().next().unwrap().0;
    let last = now + (3 * SECOND - Duration::from_micros(1));
    assert!(fleet.has_room(KIND, last) && !fleet.has_room(KIND, now + 3 * SECOND));
    assert_eq!(fleet.place(KIND, 1, now + 3 * SECOND), None);
    let later = now + 4 * SECOND;
    assert_eq!(
        fleet.announce(info(0, 1), free(8), later),
        FleetChange::Renewed(key)
    );
    let FleetChange::Replaced { new, old } = fleet.announce(info(0, 2), free(8), later) else {
        panic!("a new incarnation replaces the old one");
    };
    assert_eq!((old, fleet.place(KIND, 1, later)), (key, Some(new)));
    assert_eq!(
        fleet.announce(info(0, 1), free(8), later),
        FleetChange::Stale
    );
    let leave = AgentInfo {
        draining: true,
        ..info(0, 2)
    };
    fleet.announce(leave, free(8), later);
    assert_eq!(
        (
            fleet.place(KIND, 1, later),
            fleet.is_placeable(KIND, 1, later)
        ),
        (None, false)
    );
    fleet.release_task(new, KIND);
    fleet.tick(later + Duration::from_secs(700));
    assert_eq!(
        fleet.iter().count(),
        0,
        "agents that expired long ago are removed"
    );
}

/// Guards against overflows and panics for arbitrary announcements and load reports, which come from other processes.
#[test]
fn takes_any_load() {
    bolero::check!()
        .with_type::<Vec<(u8, u32, u32, u32, Vec<(u8, u32)>, Duration)>>()
        .for_each(|reports| {
            let (mut fleet, mut now) =
                (Fleet::with_seed(FleetLimits::default(), 1), Timestamp::ZERO);
            for (name, slots, size, free, queued, wait) in reports {
                let queued = queued
                    .iter()
                    .map(|&(k, n)| (KindId(u16::from(k % 4)), n))
                    .collect();
                let load = AgentLoad {
                    free_slots: *free,
                    queued,
                    next_slot_wait: *wait,
                };
                let info = AgentInfo {
                    slots: *slots,
                    max_task_size: *size,
                    ..info(usize::from(name % 4), 1)
                };
                fleet.announce(info, load.clone(), now);
                let kind = KindId(u16::from(name % 3));
                let has_room = fleet.has_room_for(kind, size / 2, now);
                let placed = fleet.place(kind, size / 2, now);
                assert_eq!(placed.is_some(), has_room);
                if let Some(key) = placed {
                    fleet.report_load(key, load, now);
                    let run = if name % 2 == 0 {
                        HealthSample::Success(*wait)
                    } else {
                        HealthSample::Failure
                    };
                    fleet.record_result(key, kind, run, now);
                }
                fleet.healthy_slots(now);
                now = now + Duration::from_millis(u64::from(*name));
            }
        });
}
