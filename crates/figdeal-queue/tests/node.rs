//! Tests of one node in isolation: the answers to callers without a leader and during a shutdown.

use std::{collections::BTreeSet, time::Duration};

use figdeal_core::time::Timestamp;
use figdeal_queue::{
    dispatch::Limits,
    job::{JobSpec, Step},
    message::{Answer, LeaderInfo, PeerMessage, RefusalReason, Request},
    node::{Action, Clock, Node, Options},
    raft::{HardState, Log, NodeId, Raft},
};

const CALLER_TIMEOUT: Duration = Duration::from_secs(10);

fn clock(millis: u64) -> Clock {
    Clock {
        now: Timestamp::from_micros(1_000_000 + millis * 1_000),
        wall_ms: 1_700_000_000_000 + millis,
    }
}

fn node() -> Node {
    let options = Options {
        address: "127.0.0.1:7000".parse().unwrap(),
        data_centre: "a".to_owned(),
        has_disk: false,
        bootstrap: false,
        seeds: Vec::new(),
        voter_count: 3,
        min_resubmit_delay: Duration::ZERO,
        stored_bytes: 64 << 20,
        data_centres: BTreeSet::new(),
        limits: Limits::default(),
    };
    let now = clock(0);
    let raft = Raft::new(NodeId(1), HardState::default(), Log::default(), now.now, 1);
    Node::new(options, raft, None, now).unwrap()
}

fn submit(node: &mut Node, at: u64, token: u64, estimate: u32) {
    submit_step(node, at, token, estimate, Vec::new(), true);
}

fn submit_step(
    node: &mut Node,
    at: u64,
    token: u64,
    estimate: u32,
    depends_on: Vec<u16>,
    volatile: bool,
) {
    let step = Step {
        count: 1,
        estimate_ms: estimate,
        depends_on,
        ..Step::default()
    };
    let spec = JobSpec {
        steps: vec![step],
        volatile,
        ..JobSpec::default()
    };
    let request = Request::Submit {
        host: "host".to_owned(),
        path: "/q/00000000000000aa".to_owned(),
        spec,
        age_ms: 0,
        resubmitted: false,
    };
    node.on_request(clock(at), token, request, CALLER_TIMEOUT);
}

fn replies(node: &mut Node) -> Vec<(u64, Answer)> {
    let actions = node.take_actions().into_iter();
    let replies = actions.filter_map(|action| match action {
        Action::Reply(token, answer) => Some((token, answer)),
        _ => None,
    });
    replies.collect()
}

fn reason(answer: &Answer) -> Option<RefusalReason> {
    match answer {
        Answer::Refused { reason, .. } => Some(*reason),
        _ => None,
    }
}

/// Guards against a job that a node accepts late in its shutdown, so that the connection ends without an answer. This
/// lost a job (LOST) during a rolling stop, when a zone had no other node in rotation.
#[test]
fn node_in_shutdown_refuses_jobs_that_cannot_end() {
    let mut node = node();
    node.shut_down(clock(0), clock(5_000).now);
    submit(&mut node, 100, 1, 900);
    assert!(
        replies(&mut node).is_empty(),
        "the job can end before the process exits"
    );
    submit(&mut node, 3_900, 2, 900);
    let refused = replies(&mut node);
    assert_eq!(refused.len(), 1);
    assert_eq!(reason(&refused[0].1), Some(RefusalReason::ShuttingDown));
}

/// Guards against requests that get no answer when the process exits.
#[test]
fn exiting_node_answers_all_requests() {
    let mut node = node();
    submit(&mut node, 0, 1, 60);
    submit(&mut node, 1, 2, 900);
    node.answer_pending(clock(5));
    let answered: Vec<u64> = replies(&mut node).iter().map(|(t, _)| *t).collect();
    assert_eq!(answered, [1, 2]);
}

/// Guards against a caller that waits until its own timeout at a node without a reachable leader.
#[test]
fn job_without_a_leader_is_refused_soon() {
    let mut node = node();
    submit(&mut node, 0, 1, 60);
    for at in 1..60 {
        node.tick(clock(at));
    }
    let refused = replies(&mut node);
    assert_eq!(refused.len(), 1);
    assert_eq!(reason(&refused[0].1), Some(RefusalReason::NoLeader));
}

/// Guards against a node without a vote that is woken a thousand times a second because its election was always due.
#[test]
fn node_without_a_vote_is_not_woken_for_elections() {
    let mut node = node();
    for at in [600, 1_000, 2_000] {
        node.tick(clock(at));
        assert!(
            node.next_tick() > clock(at).now,
            "the next tick is already due at {at} ms"
        );
    }
}

/// Returns what the caller of a volatile job is answered when a leader that had the job is lost, and the next one gives
/// `answer`.
fn answer_of_the_next_leader(answer: Answer) -> Answer {
    let mut node = node();
    let [first, second] = ["127.0.0.2:7000", "127.0.0.3:7000"].map(|a| a.parse().unwrap());
    let leader_info = |from, term| {
        PeerMessage::LeaderInfo(LeaderInfo {
            from,
            leader: Some(from),
            serving: true,
            term,
            members: Vec::new(),
        })
    };
    node.on_message(clock(0), leader_info(first, 1));
    submit(&mut node, 1, 7, 900);
    node.on_connection_lost(clock(100), first, true);
    node.on_message(clock(150), leader_info(second, 2));
    node.tick(clock(151));
    let forwards = node
        .take_actions()
        .into_iter()
        .filter_map(|action| match action {
            Action::Send(to, PeerMessage::Forward { request, .. }) => Some((to, request)),
            _ => None,
        });
    let resubmitted: Vec<_> = forwards
        .map(|(to, request)| {
            (
                to,
                matches!(
                    request,
                    Request::Submit {
                        resubmitted: true,
                        ..
                    }
                ),
            )
        })
        .collect();
    assert_eq!(resubmitted, [(first, false), (second, true)]);
    let reply = PeerMessage::Reply {
        from: second,
        token: 7,
        answer,
    };
    node.on_message(clock(152), reply);
    let replies = replies(&mut node);
    assert_eq!(replies.len(), 1, "{replies:?}");
    replies[0].1.clone()
}

/// Guards against a caller that is told that its job was not accepted and never runs, although an earlier leader may have
/// started it (REFUSED, review/5: the route of the job was removed meanwhile).
#[test]
fn a_job_that_an_earlier_leader_had_is_not_said_to_be_refused() {
    let refused = Answer::Refused {
        retry_after_ms: 1_000,
        reason: RefusalReason::Overload,
    };
    for answer in [refused, Answer::NoQueue, Answer::Invalid] {
        let told = answer_of_the_next_leader(answer.clone());
        assert_eq!(told, Answer::OutcomeUnknown, "{answer:?}");
    }
    let ended = Answer::VolatileEnded(true);
    assert_eq!(answer_of_the_next_leader(ended.clone()), ended);
}

/// Guards against a job with a dependency on a step that it does not have, or on itself, which ended the process of the
/// node that read it (review/4).
#[test]
fn jobs_with_wrong_dependencies_are_rejected_at_once() {
    for (volatile, dependency) in [(true, 7), (false, 7), (true, 0), (true, u16::MAX)] {
        let mut node = node();
        submit_step(&mut node, 0, 1, 60, vec![dependency], volatile);
        assert_eq!(replies(&mut node), [(1, Answer::Invalid)], "{dependency}");
    }
}

/// Guards against a request about an evacuation that waited in the socket of a paused node and takes effect after its operator
/// has sent the opposite one to another node.
#[test]
fn evacuation_requests_from_before_a_pause_are_refused() {
    let mut node = node();
    let leader = "127.0.0.2:7000".parse().unwrap();
    let info = LeaderInfo {
        from: leader,
        leader: Some(leader),
        serving: true,
        term: 1,
        members: Vec::new(),
    };
    let request = Request::SetEvacuation {
        data_centre: "a".to_owned(),
        evacuated: true,
    };
    let mut send = |at: u64| {
        let info = PeerMessage::LeaderInfo(info.clone());
        node.on_message(clock(at), info);
        node.take_actions();
        node.on_request(clock(at), at, request.clone(), CALLER_TIMEOUT);
        let actions = node.take_actions();
        for later in 1..10 {
            node.tick(clock(at + later * 100));
        }
        node.take_actions();
        actions
    };
    let is_forwarded = |actions: &[Action]| {
        let forward = |a: &Action| matches!(a, Action::Send(_, PeerMessage::Forward { .. }));
        actions.iter().any(forward)
    };
    assert!(is_forwarded(&send(100)));
    let refused = send(4_000);
    let reasons = refused.iter().filter_map(|action| match action {
        Action::Reply(_, answer) => reason(answer),
        _ => None,
    });
    assert!(reasons.eq([RefusalReason::AfterPause]));
    assert!(!is_forwarded(&refused));
    assert!(is_forwarded(&send(5_100)));
}
