//! Tests of an entry when the deadline of a job passes.

use std::{sync::Arc, time::Duration};

use figdeal_core::{
    agent::RunOutcome,
    dedup::TaskResult,
    entry::{Action, Answer, ClaimResult, EntryCore, EntryLimits, Submission, TaskSpec, WaiterId},
    fleet::{AgentInfo, AgentLoad, FleetLimits},
    id::{Digest, Incarnation, KindId, SubmissionKey, TeamId},
    outcome::{Outcome, TaskState},
    time::{Timestamp, UnixMillis},
};

const KIND: KindId = KindId(0);
const KEY: SubmissionKey = SubmissionKey([1; 16]);
const DEADLINE: Duration = Duration::from_secs(1);

fn task(declared_ms: u64) -> TaskSpec {
    TaskSpec {
        kind: KIND,
        payload: Arc::from([]),
        deadline: DEADLINE,
        size: 1,
        declared_run_time: Some(Duration::from_millis(declared_ms)),
    }
}

fn one_slot() -> AgentInfo {
    AgentInfo {
        name: "desk-1".to_owned(),
        address: "127.0.0.1:9000".to_owned(),
        incarnation: Incarnation(1),
        slots: 1,
        kinds: Vec::new(),
        max_task_size: 10,
        draining: false,
    }
}

/// An entry with a job of two tasks on one slot: the second, longer task has ended and the first is queued.
fn half_finished_job() -> EntryCore {
    let limits = EntryLimits {
        fleet: FleetLimits {
            window: 0,
            ..FleetLimits::default()
        },
        ..EntryLimits::default()
    };
    let mut entry = EntryCore::new(limits, 1);
    let start = Timestamp::ZERO;
    let free = AgentLoad {
        free_slots: 1,
        ..AgentLoad::default()
    };
    let agent = entry.announce(one_slot(), free, start).unwrap();
    let submission = Submission {
        key: KEY,
        digest: Digest([1; 16]),
        created: UnixMillis(0),
        team: TeamId(0),
        tasks: vec![task(10), task(500)],
    };
    entry.submit(submission, WaiterId(1), true, start);
    entry.on_claim_result(KEY, ClaimResult::Owner, start);
    let actions = entry.take_actions().into_iter();
    let sent: Vec<_> = actions
        .filter_map(|a| match a {
            Action::Run(dispatch) => Some(dispatch.task),
            _ => None,
        })
        .collect();
    assert_eq!(sent.len(), 1, "one slot takes one task");
    assert_eq!(sent[0].index, 1, "the longest task goes first");
    let run_time = Duration::from_millis(500);
    let result = TaskResult::Done(Vec::new());
    let outcome = RunOutcome::Ran { result, run_time };
    entry.on_run_outcome(
        agent,
        sent[0],
        outcome,
        Some(AgentLoad::default()),
        start + run_time,
    );
    entry
}

fn answers(entry: &mut EntryCore) -> Vec<Answer> {
    let actions = entry.take_actions().into_iter();
    actions
        .filter_map(|a| match a {
            Action::Answer { answer, .. } => Some(answer),
            _ => None,
        })
        .collect()
}

fn expected() -> [Answer; 1] {
    let states = vec![TaskState::NotStarted, TaskState::Done];
    [Answer::Final(Arc::new(Outcome::Failed(states)))]
}

/// Guards against an entry that stops working when the deadline removes the last open task of a job from the queue and
/// the job has finished tasks with a higher index. A flood of jobs that missed their deadlines stopped entries this
/// way.
#[test]
fn the_deadline_passes_with_a_finished_task_after_the_last_open_one() {
    let mut entry = half_finished_job();
    entry.tick(Timestamp::ZERO + DEADLINE);
    assert_eq!(answers(&mut entry), expected());
}

/// Guards against jobs that are never answered because the driver was delayed for longer than the grace time.
#[test]
fn a_first_tick_after_the_grace_answers_the_job() {
    let mut entry = half_finished_job();
    entry.tick(Timestamp::ZERO + DEADLINE * 5);
    assert_eq!(answers(&mut entry), expected());
}
