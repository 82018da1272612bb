//! Tests of the agent and its deduplication of tasks.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use figdeal_core::{
    agent::{Action, AgentCore, DeclineReason, RunOutcome, TaskRequest, TaskStatus},
    dedup::{DedupLimits, TaskResult},
    fair_queue::KindShare,
    id::{EntryId, Incarnation, KindId, SubmissionKey, TaskId, TeamId},
    time::{Timestamp, UnixMillis},
};
use rand::{Rng, rngs::SmallRng};

use crate::for_seeds;

const INCARNATION: Incarnation = Incarnation(1);
const WALL_START_MS: u64 = 1_000_000_000;

fn task(key: u8, index: u16) -> TaskId {
    TaskId {
        key: SubmissionKey([key; 16]),
        index,
    }
}

fn request(task: TaskId, kind: u16, now: Timestamp) -> TaskRequest {
    TaskRequest {
        task,
        kind: KindId(kind),
        team: TeamId(0),
        remaining_work_us: 0,
        deadline: now + Duration::from_secs(10),
        incarnation: INCARNATION,
        entry: EntryId(0),
        sent_at: wall(now),
    }
}

fn wall(now: Timestamp) -> UnixMillis {
    UnixMillis(WALL_START_MS + now.as_micros() / 1_000)
}

fn new_agent(slots: u32, limits: DedupLimits) -> AgentCore {
    let mut agent = AgentCore::new(INCARNATION, limits);
    agent.set_clock(UnixMillis(WALL_START_MS), Timestamp::ZERO);
    agent.set_slots(slots);
    agent
}

fn not_started(task: TaskId, declined: DeclineReason) -> Vec<Action> {
    vec![Action::Reply(task, RunOutcome::NotStarted(declined))]
}

/// Everything that the requests and replies so far say about an agent and its tasks.
#[derive(Default)]
struct Observed {
    sent: Vec<TaskRequest>,
    started: BTreeSet<TaskId>,
    running: Vec<TaskId>,
    ended: BTreeMap<TaskId, TaskResult>,
    /// Tasks that must never start, even if further requests for them arrive.
    fenced: BTreeSet<TaskId>,
    collected: BTreeMap<SubmissionKey, Timestamp>,
    latest: Timestamp,
}

impl Observed {
    fn take(&mut self, actions: Vec<Action>, now: Timestamp) {
        self.latest = self.latest.max(now);
        let (latest, keep) = (
            self.latest,
            DedupLimits::default().submission_fence_retention,
        );
        self.collected.retain(|_, at| latest.since(*at) < keep);
        for action in actions {
            match action {
                Action::Call(task) => {
                    assert!(self.started.insert(task), "{task} started twice");
                    assert!(
                        !self.fenced.contains(&task),
                        "{task} started after its fence"
                    );
                    let is_collected = self.collected.contains_key(&task.key);
                    assert!(!is_collected, "{task} started after a collection");
                    let sent = self.sent.iter().filter(|o| o.task == task);
                    assert!(
                        sent.clone().any(|o| o.deadline > now),
                        "{task} started too late"
                    );
                    self.running.push(task);
                }
                Action::Reply(task, outcome) => self.check(task, outcome),
            }
        }
    }

    fn check(&mut self, task: TaskId, outcome: RunOutcome) {
        match outcome {
            RunOutcome::Ran { result, .. } => assert_eq!(self.ended.get(&task), Some(&result)),
            RunOutcome::ResultDropped => assert!(self.ended.contains_key(&task)),
            RunOutcome::NotStarted(DeclineReason::Incarnation | DeclineReason::Stale) => {}
            // These reject one request and store no mark.
            RunOutcome::NotStarted(DeclineReason::Full | DeclineReason::Draining) => {}
            RunOutcome::NotStarted(declined) => {
                assert!(
                    !self.started.contains(&task),
                    "{task} was started, but the answer was {declined:?}"
                );
                if declined != DeclineReason::Deadline {
                    self.fenced.insert(task);
                }
            }
        }
    }
}

fn step(
    rng: &mut SmallRng,
    agent: &mut AgentCore,
    observed: &mut Observed,
    now: Timestamp,
    next: &mut u16,
) {
    // No query or cancellation arrives later than this: a run request is rejected after 60 s, and an entry asks only
    // until the deadline.
    let recent: Vec<TaskRequest> = observed
        .sent
        .iter()
        .filter(|o| now.since(o.deadline) < Duration::from_secs(300))
        .cloned()
        .collect();
    let any = (!recent.is_empty()).then(|| recent[rng.random_range(0..recent.len())].task);
    let fresh = task(rng.random_range(0..20), *next);
    let known = any.filter(|_| rng.random_bool(0.9)).unwrap_or(fresh);
    match rng.random_range(0..100) {
        0..45 => {
            *next += 1;
            let mut new = request(fresh, rng.random_range(0..3), now);
            new.deadline = now + Duration::from_millis(rng.random_range(0..20_000));
            observed.sent.push(new.clone());
            if rng.random_bool(0.9) {
                observed.take(agent.run(new, now), now);
            }
        }
        45..55 if !observed.sent.is_empty() => {
            // A duplicate or delayed request of any age.
            let mut old = observed.sent[rng.random_range(0..observed.sent.len())].clone();
            let age = wall(now).distance(old.sent_at);
            if rng.random_bool(0.1) {
                old.incarnation = Incarnation(9);
            }
            let (task, incarnation) = (old.task, old.incarnation);
            let actions = agent.run(old, now);
            if incarnation != INCARNATION {
                assert_eq!(actions, not_started(task, DeclineReason::Incarnation));
            }
            let is_call = |a: &Action| *a == Action::Call(task);
            assert!(age <= Duration::from_secs(60) || !actions.iter().any(is_call));
            observed.take(actions, now);
        }
        55..80 if !observed.running.is_empty() => {
            let task = observed
                .running
                .swap_remove(rng.random_range(0..observed.running.len()));
            let result = match rng.random_range(0..10) {
                0 => TaskResult::Failed,
                1 => TaskResult::Unknown,
                n => TaskResult::Done(vec![0; n * 10]),
            };
            observed.ended.insert(task, result.clone());
            observed.take(agent.finish(task, result, now), now);
        }
        80..85 => {
            assert_eq!(
                agent.query(known, Incarnation(9), now),
                TaskStatus::Unproven
            );
            assert!(agent.cancel_for(known, Incarnation(9), now).is_none());
            if let TaskStatus::Ended(outcome) = agent.query(known, INCARNATION, now) {
                observed.check(known, outcome);
            }
        }
        85..89 => observed.take(agent.cancel(known, now), now),
        89 => {
            let cancelled: Vec<TaskId> = recent.iter().map(|o| o.task).collect();
            cancelled
                .into_iter()
                .for_each(|task| observed.take(agent.cancel(task, now), now));
        }
        90 if now.as_micros() > 50_000_000 => {
            let collected = agent.collect(known.key, now);
            if collected.is_fenced {
                observed.collected.insert(known.key, now);
            }
            observed.take(collected.actions, now);
            collected
                .ended
                .into_iter()
                .for_each(|(task, outcome)| observed.check(task, outcome));
            let mut running: Vec<TaskId> = observed
                .running
                .iter()
                .copied()
                .filter(|t| t.key == known.key)
                .collect();
            running.sort();
            assert_eq!(collected.running, running);
        }
        91 => agent.set_slots(rng.random_range(1..9)),
        92 => agent.set_reserved_slots(rng.random_range(0..3)),
        93 if rng.random_bool(0.2) => {
            observed.take(agent.drain(now), now);
            assert_eq!(agent.queued(), 0);
        }
        _ => observed.take(agent.tick(now), now),
    }
}

/// Guards against second starts, starts after a fence, a collection or the deadline, false "not started" answers and
/// results that differ, with duplicates and delays of any length, many cancellations at once and a full deduplication
/// table.
#[test]
fn never_starts_twice_or_after_a_fence() {
    for_seeds(|rng| {
        let limits = DedupLimits {
            max_marks: 600,
            max_result_bytes: 2_000,
            max_fenced_submissions: 15,
            ..DedupLimits::default()
        };
        let mut agent = new_agent(4, limits);
        for kind in 0..3 {
            agent.set_share(
                KindId(kind),
                KindShare {
                    weight: 1,
                    urgency: u32::from(kind),
                },
            );
        }
        let (mut observed, mut now, mut next) = (Observed::default(), Timestamp::ZERO, 0);
        for _ in 0..12_000 {
            step(rng, &mut agent, &mut observed, now, &mut next);
            assert_eq!(agent.busy_slots() as usize, observed.running.len());
            let pause = if rng.random_bool(0.002) { 400_000 } else { 500 };
            let pause = Duration::from_millis(rng.random_range(0..pause));
            // Time that goes backwards must not make a mark expire early.
            let is_back = rng.random_bool(0.01);
            let back = now.as_micros().saturating_sub(pause.as_micros() as u64);
            now = if is_back {
                Timestamp::from_micros(back)
            } else {
                now + pause
            };
        }
        assert!(
            observed.started.len() > 1_000,
            "only {} tasks started",
            observed.started.len()
        );
    });
}

/// Guards against a new incarnation that reports a task as not started although it ran at the old one.
#[test]
fn another_incarnation_proves_nothing() {
    let mut agent = new_agent(1, DedupLimits::default());
    let (now, old) = (Timestamp::ZERO, Incarnation(0));
    assert_eq!(agent.query(task(1, 0), old, now), TaskStatus::Unproven);
    assert_eq!(agent.cancel_for(task(1, 0), old, now), None);
    let started = agent.run(request(task(1, 0), 0, now), now);
    assert_eq!(
        started,
        [Action::Call(task(1, 0))],
        "the query must not fence the task"
    );
}

/// Guards against delayed run requests that arrive after the start marks have expired, and against clock differences
/// that make old requests look recent.
#[test]
fn refuses_requests_older_than_a_minute() {
    let mut agent = new_agent(8, DedupLimits::default());
    let (now, sent) = (Timestamp::from_micros(200_000_000), 200_000);
    for (index, (offset, is_stale)) in [
        (-60_001, true),
        (-60_000, false),
        (0, false),
        (60_000, false),
        (60_001, true),
    ]
    .into_iter()
    .enumerate()
    {
        let mut request = request(task(1, index as u16), 0, now);
        request.sent_at = UnixMillis(WALL_START_MS.saturating_add_signed(sent + offset));
        let expected = match is_stale {
            true => not_started(request.task, DeclineReason::Stale),
            false => vec![Action::Call(request.task)],
        };
        assert_eq!(agent.run(request, now), expected, "{offset} ms");
    }
    let mut agent = AgentCore::new(INCARNATION, DedupLimits::default());
    agent.set_slots(1);
    let refused = agent.run(request(task(1, 0), 0, now), now);
    assert_eq!(
        refused,
        not_started(task(1, 0), DeclineReason::Stale),
        "without a wall clock, every request is stale"
    );
}

/// Guards against unlimited fences: queries about unknown tasks must not add marks to a full deduplication table.
#[test]
fn full_table_proves_nothing_about_unknown_tasks() {
    let mut agent = new_agent(
        1,
        DedupLimits {
            max_marks: 2,
            ..DedupLimits::default()
        },
    );
    let now = Timestamp::ZERO;
    agent.run(request(task(1, 0), 0, now), now);
    agent.run(request(task(1, 1), 0, now), now);
    assert_eq!(
        agent.query(task(1, 2), INCARNATION, now),
        TaskStatus::Unproven
    );
    assert_eq!(agent.cancel(task(1, 2), now), []);
    assert_eq!(
        agent.run(request(task(1, 3), 0, now), now),
        not_started(task(1, 3), DeclineReason::Full)
    );
    let fenced = TaskStatus::Ended(RunOutcome::NotStarted(DeclineReason::Fenced));
    agent.collect(SubmissionKey([2; 16]), now);
    assert_eq!(
        agent.query(task(2, 0), INCARNATION, now),
        fenced,
        "the submission is fenced"
    );
}

/// Guards against tasks that stay in the queue of a busy agent after their deadline, and against a failure when the
/// upstream reduces its slots: fewer slots than running tasks used to fail an assertion.
#[test]
fn queued_tasks_expire_while_all_slots_are_busy() {
    let mut agent = new_agent(2, DedupLimits::default());
    let now = Timestamp::ZERO;
    (0..3).for_each(|i| drop(agent.run(request(task(1, i), 0, now), now)));
    agent.set_slots(1);
    assert_eq!(agent.tick(now + Duration::from_millis(9_999)), []);
    let late = agent.tick(now + Duration::from_secs(10));
    assert_eq!(late, not_started(task(1, 2), DeclineReason::Deadline));
    assert_eq!(agent.finish(task(1, 0), TaskResult::Failed, now).len(), 1);
}

/// Runs a flood of long tasks of kind 0 and a light load of kind 1. Returns the longest time that a task of kind 1
/// waits.
fn wait_in_flood(rng: &mut SmallRng, urgency: u32, reserve: u32) -> Duration {
    let mut agent = new_agent(8, DedupLimits::default());
    agent.set_share(KindId(0), KindShare { weight: 1, urgency });
    agent.set_share(
        KindId(1),
        KindShare {
            weight: 1,
            urgency: 5,
        },
    );
    agent.set_reserved_slots(reserve);
    let mut sent_at: BTreeMap<TaskId, Timestamp> = BTreeMap::new();
    let mut ends: BTreeSet<(Timestamp, TaskId)> = BTreeSet::new();
    let mut longest = Duration::ZERO;
    let mut now = Timestamp::ZERO;
    for index in 0..20_000 {
        now = now + Duration::from_millis(1);
        let mut actions = Vec::new();
        let is_light = index % 400 == 0;
        if is_light || agent.queued() < 50 {
            let task = task(u8::from(is_light), index);
            sent_at.insert(task, now);
            actions.extend(agent.run(request(task, u16::from(is_light), now), now));
        }
        while let Some(&(end, task)) = ends.first()
            && end <= now
        {
            ends.pop_first();
            actions.extend(agent.finish(task, TaskResult::Failed, now));
        }
        for action in actions {
            let Action::Call(started) = action else {
                continue;
            };
            let is_light = started.key == task(1, 0).key;
            let run = if is_light {
                100
            } else {
                rng.random_range(1_000..5_000)
            };
            ends.insert((now + Duration::from_millis(run), started));
            let sent = sent_at.remove(&started).expect("a task starts once");
            if is_light {
                longest = longest.max(now.since(sent));
            }
        }
    }
    let is_light = |(task, _): &(&TaskId, &Timestamp)| task.key == SubmissionKey([1; 16]);
    let waits = sent_at
        .iter()
        .filter(is_light)
        .map(|(_, sent)| now.since(*sent));
    waits.fold(longest, Duration::max)
}

/// Guards against a flood of one kind that takes every slot. Without a reserved slot, a task of another kind waits for
/// the next free slot; with one, it starts immediately.
#[test]
fn a_flood_leaves_slots_to_other_kinds() {
    for_seeds(|rng| {
        for urgency in [0, 9] {
            let wait = wait_in_flood(rng, urgency, 0);
            assert!(
                wait < Duration::from_secs(5),
                "{wait:?} is longer than the longest task"
            );
            assert_eq!(wait_in_flood(rng, urgency, 1), Duration::ZERO);
        }
    });
}

/// Guards against a small job that waits for a slot behind a large one, and against an agent with only one slot that
/// reserves it and never runs a large job.
#[test]
fn small_jobs_find_a_slot_beside_a_large_one() {
    let now = Timestamp::ZERO;
    let request = |index: u16, remaining_work_us: u64| TaskRequest {
        task: TaskId {
            key: SubmissionKey([7; 16]),
            index,
        },
        kind: KindId(0),
        team: TeamId(0),
        remaining_work_us,
        deadline: now + Duration::from_secs(60),
        incarnation: Incarnation(1),
        entry: EntryId(0),
        sent_at: UnixMillis(1_000_000),
    };
    for (slots, large) in [(8, 7), (1, 1)] {
        let mut agent = AgentCore::new(Incarnation(1), DedupLimits::default());
        agent.set_clock(UnixMillis(1_000_000), now);
        agent.set_slots(slots);
        agent.set_small_job_slots(1, Duration::from_secs(4));
        for index in 0..10 {
            agent.run(request(index, 60_000_000), now);
        }
        assert_eq!(agent.busy_slots(), large);
        let actions = agent.run(request(100, 3_000_000), now);
        assert_eq!(
            !actions.is_empty(),
            slots > large,
            "the reserved slot is for the small job"
        );
    }
}
