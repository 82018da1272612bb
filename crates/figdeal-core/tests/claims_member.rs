//! Tests of the acceptor against a simple reference model, and of single claims whose messages the test delivers
//! itself.

use std::{collections::HashMap, time::Duration};

use bolero::generator::produce;
use figdeal_core::{
    claim::{
        AcceptedValue, Acceptor, Action, Ballot, ClaimLimits, ClaimReply, Claims, Decision,
        EntryProcess, EpochError, MembershipEpochs, SteadyClock, Step, StepReply, StepRequest,
        StepResult, UndecidedReason,
    },
    id::{Digest, EntryId, Incarnation, SubmissionKey},
    time::{Timestamp, UnixMillis},
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

const WALL_START_MS: u64 = 1_000_000_000;
const DIGEST: Digest = Digest([9; 16]);

fn process(entry: u16, incarnation: u64) -> EntryProcess {
    EntryProcess {
        entry: EntryId(entry),
        incarnation: Incarnation(incarnation),
    }
}

fn epochs(count: u16) -> MembershipEpochs {
    MembershipEpochs::new(vec![(UnixMillis(0), (0..count).map(EntryId).collect())]).unwrap()
}

fn claims(me: EntryProcess, count: u16, limits: ClaimLimits) -> Claims {
    let clock = SteadyClock::new(UnixMillis(WALL_START_MS), Timestamp::ZERO);
    Claims::new(me, epochs(count), clock, limits)
}

fn at(millis: u64) -> Timestamp {
    Timestamp::ZERO + Duration::from_millis(millis)
}

/// Record of the reference acceptor, which keeps all records and has no limits.
#[derive(Clone, Copy)]
struct ModelRecord {
    content: (Digest, UnixMillis),
    promised: Ballot,
    accepted: Option<AcceptedValue>,
}

/// Returns the answer that an acceptor must give, considering only its earlier promises and votes for the key.
fn expected_result(
    map: &mut HashMap<SubmissionKey, ModelRecord>,
    from: EntryProcess,
    request: &StepRequest,
) -> StepResult {
    let round = request.step.round();
    let ballot = Ballot {
        round,
        proposer: from,
    };
    let content = (request.digest, request.created);
    let known = map.get(&request.key).copied();
    if known.is_some_and(|n| n.content != content) {
        return StepResult::Conflict;
    }
    let promised = known.map(|n| n.promised);
    let accepted = known.and_then(|n| n.accepted);
    let vote = match request.step {
        Step::Grant | Step::Vote => Some(from),
        Step::Prepare { .. } => None,
        Step::Accept { owner, .. } => Some(owner),
    };
    let is_second_owner =
        accepted.is_some_and(|a| a.ballot == ballot && vote.is_some_and(|v| v != a.owner));
    let is_granted_to_other = round == 0 && promised.is_some_and(|p| p != ballot);
    if promised.is_some_and(|p| p > ballot) || is_granted_to_other || is_second_owner {
        let promised = promised.map_or(0, |p| p.round);
        return StepResult::Refused { promised, accepted };
    }
    let voted = vote.map(|owner| AcceptedValue { ballot, owner });
    let record = ModelRecord {
        content,
        promised: ballot,
        accepted: voted.or(accepted),
    };
    map.insert(request.key, record);
    voted.map_or(StepResult::Promised(accepted), |_| StepResult::Voted)
}

/// Guards against a promise that decreases, a second grant of round 0, two owners in one ballot and an undetected
/// conflict, for arbitrary sequences of messages.
#[test]
fn acceptor_answers_like_the_model() {
    figdeal_testing::for_each(1_000, produce::<Vec<(u8, u8, u8, u8)>>(), |input| {
        let clock = SteadyClock::new(UnixMillis(WALL_START_MS), Timestamp::ZERO);
        let mut acceptor = Acceptor::new(EntryId(0), clock, ClaimLimits::default());
        let (epochs, now) = (epochs(3), at(10_000));
        let mut map = HashMap::new();
        for &(key, from, step, round) in &input {
            let key = SubmissionKey([key % 4; 16]);
            let first =
                epochs.acceptors(key, UnixMillis(WALL_START_MS)).first() == Some(EntryId(0));
            let round = u32::from(round % 5);
            let request = StepRequest {
                claim: 0,
                key,
                digest: Digest([u8::from(step > 240); 16]),
                created: UnixMillis(WALL_START_MS + 9_000),
                step: match step % 4 {
                    0 => Step::Grant,
                    1 => Step::Vote,
                    2 => Step::Prepare { round },
                    _ => Step::Accept {
                        round,
                        owner: process(u16::from(from / 16 % 3), 1),
                    },
                },
            };
            let from = process(u16::from(from % 3), u64::from(from / 8 % 2));
            let is_valid = match request.step {
                Step::Grant => first,
                Step::Vote => !first,
                _ => round > 0,
            };
            let expected = match is_valid {
                true => expected_result(&mut map, from, &request),
                false => StepResult::Invalid,
            };
            assert_eq!(
                acceptor.answer(&epochs, from, clock.read(now), &request, now),
                expected
            );
        }
    });
}

/// Guards against decisions that differ from a single map of the first claim of each key, over the whole retention.
#[test]
fn claims_decide_like_a_single_map() {
    for count in [1, 2, 3, 5] {
        let mut rng = SmallRng::seed_from_u64(u64::from(count));
        let owners: Vec<_> = (0..count).map(|e| process(e, 1)).collect();
        let limits = ClaimLimits::default();
        let mut entries: Vec<_> = owners.iter().map(|o| claims(*o, count, limits)).collect();
        let mut map = HashMap::new();
        let mut millis = 10_000;
        for _ in 0..20_000 {
            millis += rng.random_range(0..1_000);
            let now = at(millis);
            let number: u64 =
                rng.random_range(millis.saturating_sub(3_700_000) / 1_500..=millis / 1_500);
            let created = UnixMillis(WALL_START_MS + number * 1_500);
            let digest = Digest([rng.random_range(0..12) / 11; 16]);
            let mut bytes = [0; 16];
            bytes[..8].copy_from_slice(&number.to_le_bytes());
            let key = SubmissionKey(bytes);
            let start = rng.random_range(0..usize::from(count));
            let mut actions = entries[start].start(key, digest, created, None, now);
            while let Some(i) = actions
                .iter()
                .position(|a| matches!(a, Action::Send { .. }))
            {
                let Action::Send { to, request } = actions.remove(i) else {
                    unreachable!()
                };
                let request = entries[start].build_request(vec![request], now);
                let reply = entries[usize::from(to.0)].on_request(&request, now);
                actions.extend(entries[start].on_reply(to, &reply, now));
            }
            let expected = if millis - number * 1_500 > 3_600_000 {
                Decision::Expired
            } else if number * 1_500 <= 4_000 {
                Decision::Undecided(UndecidedReason::Restarted)
            } else {
                match *map.entry(key).or_insert((owners[start], digest, true)) {
                    (_, first, _) if first != digest => Decision::Conflict,
                    (_, _, true) => Decision::Owner,
                    (owner, _, false) => Decision::OwnedBy(owner),
                }
            };
            map.entry(key).and_modify(|m| m.2 = false);
            let decision = decided(&actions);
            assert_eq!(decision, expected, "{count} entries at {millis} ms");
        }
    }
}

fn decided(actions: &[Action]) -> Decision {
    match *actions {
        [Action::Decided { decision, .. }] => decision,
        _ => panic!("not decided: {actions:?}"),
    }
}

/// Guards against tasks that start twice because the wall clock was set back by a restart.
#[test]
fn clock_set_back_by_a_restart_starts_nothing_twice() {
    let limits = ClaimLimits::default();
    let key = SubmissionKey([1; 16]);
    let before = SteadyClock::new(UnixMillis(WALL_START_MS + 2_000), Timestamp::ZERO);
    let mut first = Claims::new(process(0, 1), epochs(1), before, limits);
    let created = before.read(at(5_000)).plus(limits.max_skew);
    let actions = first.start(key, DIGEST, created, None, at(5_000));
    assert_eq!(decided(&actions), Decision::Owner);
    let after = SteadyClock::new(UnixMillis(WALL_START_MS + 5_001), at(5_001));
    let mut second = Claims::new(process(0, 2), epochs(1), after, limits);
    let actions = second.start(key, DIGEST, created, None, at(9_500));
    assert_eq!(
        decided(&actions),
        Decision::Undecided(UndecidedReason::Restarted)
    );
}

/// Guards against evictions from a full table, and against a table that stays full after its records have expired.
#[test]
fn full_table_refuses_until_records_expire() {
    let limits = ClaimLimits {
        max_records: 50,
        ..ClaimLimits::default()
    };
    let mut entry = claims(process(0, 1), 1, limits);
    let mut claim = |number: u8, created: u64, now: u64| {
        let created = UnixMillis(WALL_START_MS + created);
        decided(&entry.start(SubmissionKey([number; 16]), DIGEST, created, None, at(now)))
    };
    assert!((0..50).all(|n| claim(n, 10_000, 10_000) == Decision::Owner));
    assert_eq!(
        claim(50, 10_000, 10_000),
        Decision::Undecided(UndecidedReason::Full)
    );
    assert!((0..50).all(|n| claim(n, 10_000, 3_609_999) == Decision::OwnedBy(process(0, 1))));
    assert_eq!(claim(0, 10_000, 3_610_001), Decision::Expired);
    assert_eq!(claim(50, 3_615_000, 3_616_000), Decision::Owner);
}

/// Guards against counting a vote from another incarnation of an acceptor than the one that promised, or a reply to
/// another incarnation of the proposer.
#[test]
fn vote_of_another_incarnation_is_not_counted() {
    let key = SubmissionKey([1; 16]);
    let acceptors = epochs(3).acceptors(key, UnixMillis(WALL_START_MS));
    let &[first, second, third] = acceptors.as_slice() else {
        panic!("three acceptors")
    };
    let mut entry = claims(process(first.0, 1), 3, ClaimLimits::default());
    let now = at(10_000);
    let dead = Some(process(second.0, 1));
    let created = UnixMillis(WALL_START_MS + 9_000);
    let sent = entry.start(key, DIGEST, created, dead, now);
    let Action::Send { request, .. } = sent[0] else {
        panic!("the claim must send a prepare")
    };
    let mut reply = |acceptor, (incarnation, to), result| {
        let (claim, round) = (request.claim, request.step.round());
        let replies = vec![StepReply {
            claim,
            round,
            result,
        }];
        let (from, to) = (Incarnation(incarnation), Incarnation(to));
        let actions = entry.on_reply(acceptor, &ClaimReply { from, to, replies }, now);
        actions.len()
    };
    assert_eq!(
        reply(second, (5, 1), StepResult::Promised(None)),
        1,
        "an accept is sent"
    );
    assert_eq!(
        reply(second, (5, 0), StepResult::Voted),
        0,
        "the request was sent by the previous incarnation"
    );
    assert_eq!(
        reply(second, (6, 1), StepResult::Voted),
        0,
        "another incarnation than the one that promised"
    );
    assert_eq!(
        reply(third, (7, 1), StepResult::Voted),
        0,
        "this acceptor has not promised"
    );
    assert_eq!(
        reply(second, (5, 1), StepResult::Voted),
        0,
        "this acceptor has restarted since its promise"
    );
    assert_eq!(entry.in_progress(), 1);
}

/// Guards against votes for a proposer whose clock differs by more than `max_skew`, or for a submission created further
/// in the future than that. The time for which a restarted acceptor abstains relies on both bounds.
#[test]
fn clock_further_off_than_the_bound_is_refused() {
    let clock = SteadyClock::new(UnixMillis(WALL_START_MS), Timestamp::ZERO);
    let mut acceptor = Acceptor::new(EntryId(0), clock, ClaimLimits::default());
    let mut answer = |sent: u64, created: u64| {
        let request = StepRequest {
            claim: 0,
            key: SubmissionKey([1; 16]),
            digest: DIGEST,
            created: UnixMillis(WALL_START_MS + created),
            step: Step::Grant,
        };
        let sent = UnixMillis(WALL_START_MS + sent);
        acceptor.answer(&epochs(1), process(1, 1), sent, &request, at(10_000))
    };
    assert_eq!(answer(7_999, 9_000), StepResult::ClockDiffers);
    assert_eq!(answer(12_001, 9_000), StepResult::ClockDiffers);
    assert_eq!(answer(10_000, 12_001), StepResult::CreatedInFuture);
    assert_eq!(answer(10_000, 4_000), StepResult::Abstained);
    assert_eq!(answer(8_000, 12_000), StepResult::Voted);
}

/// Guards against acceptors of a known submission that change when a list of entries is added.
#[test]
fn new_list_leaves_older_submissions_alone() {
    let mut entry = claims(process(0, 1), 3, ClaimLimits::default());
    let list: Vec<_> = (1..4).map(EntryId).collect();
    let from = |millis| UnixMillis(WALL_START_MS + millis);
    let late = entry.add_epoch(from(14_000), list.clone(), at(10_000));
    assert_eq!(late, Err(EpochError::TooLate(from(14_000))));
    assert_eq!(
        entry.add_epoch(from(14_001), list.clone(), at(10_000)),
        Ok(())
    );
    let lists = vec![(from(0), vec![EntryId(0)]), (from(5), list)];
    let epochs = MembershipEpochs::new(lists.clone()).unwrap();
    let key = SubmissionKey([1; 16]);
    assert_eq!(epochs.acceptors(key, from(4)).as_slice(), [EntryId(0)]);
    assert_eq!(epochs.acceptors(key, from(5)).position(EntryId(0)), None);
    let swapped = vec![lists[1].clone(), lists[0].clone()];
    assert_eq!(
        MembershipEpochs::new(swapped).unwrap_err(),
        EpochError::OutOfOrder(from(0))
    );
}
