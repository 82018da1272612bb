//! Regression tests of the entry and the agent for faults that were found by fault injection.

use std::{sync::Arc, time::Duration};

use figdeal_core::{
    agent::{self, AgentCore, DeclineReason, RunOutcome, TaskRequest, TaskStatus},
    dedup::{DedupLimits, TaskResult},
    entry::{
        Action, Answer, ClaimResult, EntryCore, EntryLimits, Submission, TakeoverRequest,
        TaskDispatch, TaskSpec, WaiterId,
    },
    fleet::{AgentInfo, AgentKey, AgentLoad},
    id::{Digest, EntryId, Incarnation, KindId, SubmissionKey, TaskId, TeamId},
    outcome::{Outcome, RefusalReason, TaskState},
    time::{Timestamp, UnixMillis},
};

const KEY: SubmissionKey = SubmissionKey([7; 16]);
const OWNER: (EntryId, Incarnation) = (EntryId(2), Incarnation(20));
const WAITER: WaiterId = WaiterId(1);
const DEADLINE: Duration = Duration::from_millis(200);
/// A caller must be answered at most this long after its deadline.
const MAX_ANSWER_DELAY: Duration = Duration::from_secs(1);

fn at(ms: u64) -> Timestamp {
    Timestamp::from_micros(ms * 1_000)
}

fn digest() -> Digest {
    Digest::new([3; 14], 1)
}

fn submission() -> Submission {
    let spec = TaskSpec {
        kind: KindId(0),
        payload: Arc::from(&b"1 swap"[..]),
        deadline: DEADLINE,
        size: 1,
        declared_run_time: Some(Duration::from_millis(1)),
    };
    Submission {
        key: KEY,
        digest: digest(),
        created: UnixMillis(1),
        team: TeamId(0),
        tasks: vec![spec],
    }
}

fn announce(entry: &mut EntryCore, name: &str, incarnation: u64, now: Timestamp) -> AgentKey {
    let info = AgentInfo {
        name: name.to_owned(),
        address: "127.0.0.1:1".to_owned(),
        incarnation: Incarnation(incarnation),
        slots: 1,
        kinds: Vec::new(),
        max_task_size: 64,
        draining: false,
    };
    let load = AgentLoad {
        free_slots: 1,
        ..AgentLoad::default()
    };
    entry.announce(info, load, now).expect("a new incarnation")
}

fn new_entry() -> EntryCore {
    EntryCore::new(EntryLimits::default(), 1)
}

/// Submits the job and makes the entry its owner.
fn submit_owned_job(entry: &mut EntryCore, now: Timestamp) {
    entry.submit(submission(), WAITER, true, now);
    entry.on_claim_result(KEY, ClaimResult::Owner, now);
}

fn take_dispatches(entry: &mut EntryCore) -> Vec<TaskDispatch> {
    let actions = entry.take_actions().into_iter();
    actions
        .filter_map(|a| match a {
            Action::Run(dispatch) => Some(dispatch),
            _ => None,
        })
        .collect()
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

fn not_run(answers: &[Answer], expected: RefusalReason) -> bool {
    let [Answer::Final(outcome)] = answers else {
        return false;
    };
    matches!(&**outcome, Outcome::NotRun { reason, .. } if *reason == expected)
}

/// Guards against tasks that stay assigned to a killed agent: a refused connection proves that the task was not sent.
#[test]
fn unsent_task_goes_elsewhere() {
    let mut entry = new_entry();
    let first = announce(&mut entry, "a", 1, at(0));
    submit_owned_job(&mut entry, at(0));
    assert_eq!(take_dispatches(&mut entry)[0].agent, first);
    let second = announce(&mut entry, "b", 2, at(1));
    let task = TaskId { key: KEY, index: 0 };
    entry.on_connect_failed(first, task, at(2));
    let again = take_dispatches(&mut entry);
    assert_eq!(again.len(), 1);
    assert_eq!(again[0].agent, second);
    // A second failure report for the first agent changes nothing.
    entry.on_connect_failed(first, task, at(3));
    assert!(take_dispatches(&mut entry).is_empty());
}

/// Guards against using up all dispatch attempts within a few milliseconds at an agent that declines every task.
#[test]
fn unreachable_agent_gets_work_only_after_it_announces_itself() {
    for declined in [
        None,
        Some(DeclineReason::Draining),
        Some(DeclineReason::Incarnation),
    ] {
        let mut entry = new_entry();
        let agent = announce(&mut entry, "a", 1, at(0));
        submit_owned_job(&mut entry, at(0));
        assert_eq!(take_dispatches(&mut entry).len(), 1);
        let task = TaskId { key: KEY, index: 0 };
        match declined {
            None => entry.on_connect_failed(agent, task, at(1)),
            Some(reason) => {
                entry.on_run_outcome(agent, task, RunOutcome::NotStarted(reason), None, at(1))
            }
        }
        entry.tick(at(2));
        assert!(take_dispatches(&mut entry).is_empty(), "{declined:?}");
        announce(&mut entry, "a", 1, at(100));
        assert_eq!(take_dispatches(&mut entry).len(), 1, "{declined:?}");
    }
}

/// Guards against `may_have_run` for a task whose upstream refused the connection, and against further calls to it.
#[test]
fn refused_call_leaves_the_task_unstarted_and_stops_the_upstream() {
    let mut agent = AgentCore::new(Incarnation(1), DedupLimits::default());
    agent.set_clock(UnixMillis(0), at(0));
    agent.set_slots(1);
    let request = |index| TaskRequest {
        task: TaskId { key: KEY, index },
        kind: KindId(0),
        team: TeamId(0),
        remaining_work_us: 0,
        deadline: at(10_000),
        incarnation: Incarnation(1),
        entry: EntryId(0),
        sent_at: UnixMillis(0),
    };
    let (first, second) = (request(0), request(1));
    let reply = |task| agent::Action::Reply(task, RunOutcome::NotStarted(DeclineReason::Draining));
    assert_eq!(
        agent.run(first.clone(), at(0)),
        [agent::Action::Call(first.task)]
    );
    assert_eq!(agent.run(second.clone(), at(0)), []);
    assert_eq!(
        agent.on_unreachable(first.task, at(1)),
        [reply(first.task), reply(second.task)]
    );
    assert!(agent.is_draining() && agent.is_idle());
    agent.set_slots(1);
    let fenced = RunOutcome::NotStarted(DeclineReason::Fenced);
    let again = agent.run(first.clone(), at(2));
    assert_eq!(again, [agent::Action::Reply(first.task, fenced.clone())]);
    let known = agent.query(first.task, Incarnation(1), at(3));
    assert_eq!(known, TaskStatus::Ended(fenced));
}

/// Guards against callers that wait beyond their deadline for a claim, for an owner that does not answer, or for
/// agents.
#[test]
fn caller_is_told_to_ask_again_when_nothing_is_known_at_the_deadline() {
    for claimed in [
        None,
        Some(ClaimResult::OwnedBy(OWNER.0, OWNER.1)),
        Some(ClaimResult::Collector),
    ] {
        let mut entry = new_entry();
        announce(&mut entry, "a", 1, at(0));
        entry.submit(submission(), WAITER, true, at(0));
        if let Some(claimed) = claimed {
            entry.on_claim_result(KEY, claimed, at(0));
        }
        let mut now = at(0);
        while let Some(wake) = entry.next_wake()
            && wake < at(0) + DEADLINE + MAX_ANSWER_DELAY
        {
            now = wake;
            entry.tick(now);
        }
        assert_eq!(answers(&mut entry), [Answer::Undecided], "{claimed:?}");
        assert!(now <= at(0) + DEADLINE + MAX_ANSWER_DELAY);
        // A caller that asks again gets the answer that has arrived in the meantime.
        if claimed.is_some_and(|c| c != ClaimResult::Collector) {
            let outcome = Arc::new(Outcome::Complete(vec![b"1 swap".to_vec()]));
            let answer = Answer::Final(outcome);
            entry.on_owner_answer(KEY, Some(answer.clone()), now);
            entry.submit(submission(), WaiterId(2), true, now);
            assert_eq!(answers(&mut entry), [answer]);
        }
    }
}

/// Guards against tasks that start after the deadline because the claim took longer than the caller waits.
#[test]
fn late_claim_starts_nothing() {
    let mut entry = new_entry();
    announce(&mut entry, "a", 1, at(0));
    entry.submit(submission(), WAITER, true, at(0));
    entry.on_claim_result(KEY, ClaimResult::Owner, at(0) + DEADLINE);
    let actions = answers(&mut entry);
    assert!(
        not_run(&actions, RefusalReason::DeadlinePassed),
        "{actions:?}"
    );
}

/// Guards against a lost cancellation that arrives during the claim, or at an entry that does not own the job.
#[test]
fn cancellation_reaches_the_owner() {
    for is_early in [true, false] {
        let mut entry = new_entry();
        let claimed = ClaimResult::OwnedBy(OWNER.0, OWNER.1);
        entry.submit(submission(), WAITER, true, at(0));
        if is_early {
            entry.cancel(KEY, WaiterId(2), at(1));
            entry.on_claim_result(KEY, claimed, at(2));
        } else {
            entry.on_claim_result(KEY, claimed, at(1));
            entry.cancel(KEY, WaiterId(2), at(2));
        }
        let actions = entry.take_actions();
        let is_relayed = |a: &Action| matches!(a, Action::CancelAtOwner { key: KEY, owner } if *owner == OWNER.0);
        assert_eq!(actions.iter().filter(|a| is_relayed(a)).count(), 1);
        let outcome = Arc::new(Outcome::Cancelled(vec![TaskState::NotStarted]));
        entry.on_owner_answer(KEY, Some(Answer::Final(outcome)), at(3));
        assert_eq!(answers(&mut entry).len(), 2);
    }
}

/// Guards against two entries that forward a cancellation to each other forever.
#[test]
fn relayed_cancellation_is_not_relayed_again() {
    let mut entry = new_entry();
    entry.submit(submission(), WAITER, true, at(0));
    entry.on_claim_result(KEY, ClaimResult::OwnedBy(OWNER.0, OWNER.1), at(1));
    entry.take_actions();
    entry.cancel_owned(KEY, WaiterId(2), at(2));
    let actions = entry.take_actions();
    assert!(
        matches!(&actions[..], [Action::Answer { waiter: WaiterId(2), answer }] if *answer == Answer::Unknown)
    );
}

/// Guards against running a job that was cancelled before its claim was decided.
#[test]
fn cancelled_claim_starts_nothing() {
    let mut entry = new_entry();
    announce(&mut entry, "a", 1, at(0));
    entry.submit(submission(), WAITER, true, at(0));
    entry.cancel(KEY, WaiterId(2), at(1));
    entry.on_claim_result(KEY, ClaimResult::Owner, at(2));
    let outcome = Arc::new(Outcome::Cancelled(vec![TaskState::NotStarted]));
    let answer = Answer::Final(outcome);
    assert_eq!(answers(&mut entry), [answer.clone(), answer]);
}

fn takeover_request() -> TakeoverRequest {
    TakeoverRequest {
        key: KEY,
        digest: digest(),
        created: UnixMillis(1),
        owner: OWNER,
    }
}

/// Guards against a takeover from a running owner after one broken connection, which would fence the owner's tasks.
#[test]
fn fetch_asks_the_owner_before_it_takes_over() {
    let mut entry = new_entry();
    entry.take_over(takeover_request(), WAITER, at(0));
    let actions = entry.take_actions();
    assert!(matches!(
        actions[..],
        [Action::AwaitAnswer { key: KEY, .. }]
    ));
    entry.on_owner_answer(KEY, None, at(1));
    let actions = entry.take_actions();
    assert!(
        matches!(actions[..], [Action::Claim { dead_owner: Some(owner), .. }] if owner == OWNER)
    );
}

/// Guards against the answer `expired` for a submission that certainly never ran, because the entry that handled the
/// fetch became its owner.
#[test]
fn fetch_that_becomes_the_owner_knows_that_nothing_ran() {
    let mut entry = new_entry();
    entry.take_over(takeover_request(), WAITER, at(0));
    entry.on_owner_answer(KEY, None, at(1));
    entry.take_actions();
    entry.on_claim_result(KEY, ClaimResult::Owner, at(2));
    let first = answers(&mut entry);
    assert!(not_run(&first, RefusalReason::OwnerLost), "{first:?}");
    entry.submit(submission(), WaiterId(2), true, at(3));
    assert_eq!(answers(&mut entry), first);
}

/// Guards against tasks of a restarted agent that are placed again, or that stay open until their deadline.
#[test]
fn restarted_agent_ends_its_tasks_at_once() {
    let mut entry = new_entry();
    let old = announce(&mut entry, "a", 1, at(0));
    submit_owned_job(&mut entry, at(0));
    assert_eq!(take_dispatches(&mut entry).len(), 1);
    let task = TaskId { key: KEY, index: 0 };
    announce(&mut entry, "a", 2, at(1));
    let outcome = Arc::new(Outcome::Failed(vec![TaskState::MayHaveRun]));
    assert_eq!(answers(&mut entry), [Answer::Final(outcome)]);
    // The replies to the query and to the task itself arrive too late and are ignored.
    entry.on_incarnation_gone(old, task, at(2));
    let result = TaskResult::Done(b"late".to_vec());
    let run_time = Duration::from_millis(1);
    entry.on_run_outcome(old, task, RunOutcome::Ran { result, run_time }, None, at(3));
    assert!(entry.take_actions().is_empty());
}

/// Guards against tasks without an agent that get no final state at their deadline.
#[test]
fn unplaced_task_ends_at_the_deadline() {
    let mut entry = new_entry();
    submit_owned_job(&mut entry, at(0));
    entry.tick(at(0) + DEADLINE);
    let answers = answers(&mut entry);
    assert!(
        not_run(&answers, RefusalReason::DeadlinePassed),
        "{answers:?}"
    );
    announce(&mut entry, "a", 1, at(300));
    assert!(take_dispatches(&mut entry).is_empty());
}
