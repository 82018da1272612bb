//! Tests of one agent in isolation: how it finds the leader, and the detection of slow runs.

use std::{net::SocketAddr, time::Duration};

use figdeal_core::time::Timestamp;
use figdeal_queue::{
    agent::{
        Action, Agent, Heartbeat, ListedOutcome, ListedRun, PollReply, RUN_LOSS_TIMEOUT, StartReply,
    },
    job::{JobId, Resources, TaskId},
    message::{LeaderInfo, LossReason, Order, Orders, PeerMessage, RunEvent, RunOutcome, SlowRun},
};

fn address(host: u8) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, host], 7_000))
}

/// Returns the nodes that the agent has sent an announcement to.
fn announced_to(agent: &mut Agent) -> Vec<SocketAddr> {
    let actions = agent.take_actions().into_iter();
    let sent = actions.filter_map(|action| match action {
        Action::Send(to, PeerMessage::Announce(_)) => Some(to),
        _ => None,
    });
    sent.collect()
}

/// Answer of a node without a log, which names the leader but no voters.
fn leader_info(from: SocketAddr, leader: SocketAddr) -> PeerMessage {
    PeerMessage::LeaderInfo(LeaderInfo {
        from,
        leader: Some(leader),
        serving: false,
        term: 3,
        members: Vec::new(),
    })
}

/// Guards against an agent that never finds the leader because all its seeds are nodes without a log. The answer
/// arrived within the pause after the agent's own announcement and was dropped (kuorotee-rota `scale-2`, seed
/// 87028824851).
#[test]
fn agent_follows_the_leader_named_by_a_seed() {
    let (seed, leader) = (address(2), address(3));
    let mut agent = Agent::new(address(9), 7, vec![seed]);
    let mut now = Timestamp::from_micros(1_000_000);
    agent.tick(now);
    assert_eq!(announced_to(&mut agent), [seed]);
    now = now + Duration::from_millis(2);
    agent.on_message(now, leader_info(seed, leader));
    assert_eq!(announced_to(&mut agent), [leader]);
}

/// Guards against a message storm between two nodes that name each other as the leader.
#[test]
fn announcements_between_nodes_that_name_each_other_are_limited() {
    let (one, two) = (address(2), address(3));
    let mut agent = Agent::new(address(9), 7, vec![one]);
    let mut announcements = 0;
    for elapsed_ms in 0..200 {
        let now = Timestamp::from_micros(1_000_000 + elapsed_ms * 1_000);
        agent.tick(now);
        for to in announced_to(&mut agent) {
            announcements += 1;
            let other = if to == one { two } else { one };
            agent.on_message(now, leader_info(to, other));
        }
    }
    assert!(
        (3..=10).contains(&announcements),
        "asked {announcements} times in 200 ms"
    );
}

/// Returns a message of the leader, which renews the lease of the agent.
fn orders(now: Timestamp, number: u64, orders: Vec<Order>) -> PeerMessage {
    PeerMessage::Orders(Orders {
        leader: address(3),
        term: 1,
        session: 7,
        fence: 5,
        lease_start_us: now.as_micros(),
        number,
        acked_event: 0,
        orders,
    })
}

/// Returns an agent with a leader and a worker that runs one task, which is expected to take 100 ms.
fn busy_agent(now: Timestamp) -> (Agent, TaskId) {
    let leader = address(3);
    let task = TaskId {
        job: JobId(1),
        step: 0,
        index: 0,
    };
    let needs = Resources {
        millicores: 1_000,
        ..Resources::default()
    };
    let mut agent = Agent::new(address(9), 7, vec![leader]);
    agent.on_heartbeat(
        now,
        Heartbeat {
            id: "w".to_owned(),
            started_at_ms: Some(1),
            sequence: 1,
            pool: "pool".to_owned(),
            capacity: needs,
            labels: Vec::new(),
            draining: false,
            data_centre: None,
            cold_time: Duration::ZERO,
        },
    );
    agent.on_message(now, orders(now, 1, Vec::new()));
    answer_polls(&mut agent, now, &[]);
    let start = Order::Start {
        task,
        run: 1,
        incarnation: 1,
        needs,
        expected_ms: 100,
        payload: "x".to_owned(),
    };
    agent.on_message(now, orders(now, 2, vec![start]));
    agent.on_start_reply(now, task, 1, StartReply::Started);
    (agent, task)
}

/// Answers the pending polls and returns the runs that the agent reports as slow.
fn answer_polls(agent: &mut Agent, now: Timestamp, running: &[ListedRun]) -> Vec<SlowRun> {
    agent.tick(now);
    let mut slow = Vec::new();
    for _ in 0..2 {
        for action in agent.take_actions() {
            match action {
                Action::Poll(call) => {
                    let held = PollReply {
                        clock_ms: now.as_micros() / 1_000,
                        started_at_ms: Some(1),
                        running: running.to_vec(),
                        ended: Vec::new(),
                        more_ends: false,
                    };
                    agent.on_poll_reply(now, call.number, Some(held));
                }
                Action::Send(_, PeerMessage::Report(report)) => slow.extend(report.slow),
                _ => {}
            }
        }
        agent.tick(now);
    }
    slow
}

/// Simulates a run with the progress `percent` after each tenth of its expected time. Returns whether it was reported
/// as slow.
fn is_reported(percent: impl Fn(u64) -> u8) -> bool {
    let start = Timestamp::from_micros(5_000_000);
    let (mut agent, task) = busy_agent(start);
    (1..8).any(|tenth| {
        let now = start + Duration::from_millis(10 * tenth);
        let listed = ListedRun {
            task,
            run: 1,
            progress_percent: Some(percent(tenth)),
        };
        !answer_polls(&mut agent, now, &[listed]).is_empty()
    })
}

/// Guards against a run that stands still or is very slow and is detected only after four times its expected time.
#[test]
fn very_slow_runs_are_reported() {
    assert!(is_reported(|_| 0), "it stands still");
    assert!(
        is_reported(|tenth| tenth as u8 * 2),
        "it takes five times its time"
    );
}

/// Guards against a run that is moved from a healthy worker because its estimate was too low.
#[test]
fn runs_that_take_twice_their_estimate_are_not_reported() {
    assert!(!is_reported(|tenth| tenth as u8 * 5));
}

/// Guards against an entry of another writer that takes the worker away: with another pool, or without the start that
/// the worker tells, it counted as a new incarnation whose predecessor had lost its runs.
#[test]
fn foreign_heartbeats_leave_the_worker_in_use() {
    let now = Timestamp::from_micros(1_000_000);
    let (mut agent, _) = busy_agent(now);
    let foreign = |id: &str, started_at_ms, pool: &str| Heartbeat {
        id: id.to_owned(),
        started_at_ms,
        sequence: 9,
        pool: pool.to_owned(),
        capacity: Resources::default(),
        labels: Vec::new(),
        draining: true,
        data_centre: None,
        cold_time: Duration::ZERO,
    };
    let odd = [
        foreign("w", Some(1), "other"),
        foreign("x", None, "pool"),
        foreign("w", None, "pool"),
    ];
    for (number, heartbeat) in odd.into_iter().enumerate() {
        let at = now + Duration::from_millis(160) * (number as u32 + 1);
        agent.take_actions();
        agent.on_heartbeat(at, heartbeat.clone());
        agent.tick(at);
        let reported = agent
            .take_actions()
            .into_iter()
            .find_map(|action| match action {
                Action::Send(_, PeerMessage::Report(report)) => report.worker,
                _ => None,
            });
        let worker = reported.unwrap_or_else(|| panic!("no worker after {heartbeat:?}"));
        assert_eq!(
            (worker.pool.as_str(), worker.draining),
            ("pool", false),
            "{heartbeat:?}"
        );
        assert_eq!(worker.incarnation, 1, "{heartbeat:?}");
    }
}

/// What an agent does after a heartbeat, for as long as its worker answers each poll that it started at `started_at_ms`.
struct AfterHeartbeat {
    /// Incarnation of the worker in the last report.
    incarnation: Option<u32>,
    /// Pool of the worker in the last report.
    pool: Option<String>,
    /// For each run that was reported as lost, the reason.
    lost_runs: Vec<LossReason>,
}

fn loss_reasons(events: &[RunEvent]) -> Vec<LossReason> {
    let reasons = events.iter().filter_map(|event| match event.outcome {
        RunOutcome::Lost(reason) => Some(reason),
        _ => None,
    });
    reasons.collect()
}

fn after_heartbeat(heartbeat: Heartbeat, started_at_ms: u64) -> AfterHeartbeat {
    let start = Timestamp::from_micros(1_000_000);
    let (mut agent, task) = busy_agent(start);
    let mut after = AfterHeartbeat {
        incarnation: None,
        pool: None,
        lost_runs: Vec::new(),
    };
    let own_worker = started_at_ms == 1;
    for step in 1..60 {
        let now = start + Duration::from_millis(10) * step;
        if step == 5 {
            agent.on_heartbeat(now, heartbeat.clone());
        }
        if step % 10 == 0 {
            agent.on_message(now, orders(now, 2 + u64::from(step), Vec::new()));
        }
        agent.tick(now);
        for action in agent.take_actions() {
            match action {
                Action::Poll(call) => {
                    // A call that names another worker than the one that runs is rejected.
                    let id = if own_worker { "w" } else { "next" };
                    let is_meant = call.worker_id.is_none_or(|meant| meant == id);
                    let running = ListedRun {
                        task,
                        run: 1,
                        progress_percent: Some(1),
                    };
                    let reply = PollReply {
                        clock_ms: now.as_micros() / 1_000,
                        started_at_ms: Some(started_at_ms),
                        running: own_worker.then_some(running).into_iter().collect(),
                        ended: Vec::new(),
                        more_ends: false,
                    };
                    agent.on_poll_reply(now, call.number, is_meant.then_some(reply));
                }
                Action::Send(_, PeerMessage::Report(report)) => {
                    after.incarnation = report.worker.as_ref().map(|w| w.incarnation);
                    after.pool = report.worker.map(|w| w.pool);
                    let lost = loss_reasons(&report.events);
                    if lost.len() > after.lost_runs.len() {
                        after.lost_runs = lost;
                    }
                }
                _ => {}
            }
        }
    }
    after
}

fn heartbeat(id: &str, started_at_ms: u64, pool: &str) -> Heartbeat {
    Heartbeat {
        id: id.to_owned(),
        started_at_ms: Some(started_at_ms),
        sequence: 9,
        pool: pool.to_owned(),
        capacity: Resources {
            millicores: 1_000,
            ..Resources::default()
        },
        labels: Vec::new(),
        draining: false,
        data_centre: None,
        cold_time: Duration::ZERO,
    }
}

/// Guards against runs that are started a second time elsewhere, because a heartbeat of another writer counted as a new
/// incarnation of the worker, whose runs were reported as lost while they went on (TWICE).
#[test]
fn a_worker_is_not_replaced_before_it_confirms_that() {
    for (id, started_at_ms) in [("next", 9), ("w", 9), ("next", 1)] {
        let after = after_heartbeat(heartbeat(id, started_at_ms, "other"), 1);
        let text = format!("worker {id}, started at {started_at_ms}");
        assert_eq!(after.lost_runs, [], "{text}");
        assert_eq!(after.incarnation, Some(1), "{text}");
        assert_eq!(after.pool.as_deref(), Some("pool"), "{text}");
    }
}

/// Guards against an agent that no longer notices a new worker at the address of the former one.
#[test]
fn a_new_worker_is_used_once_it_confirms_its_start() {
    let after = after_heartbeat(heartbeat("next", 9, "pool"), 9);
    // The former worker never listed the run, so a poll of the new one decides.
    assert_eq!(after.lost_runs, [LossReason::NotListed]);
    assert_eq!(after.incarnation, Some(2));
}

/// Guards against an agent that takes the first heartbeat for its worker's, and then ignores the worker for good because
/// that one has started earlier.
#[test]
fn a_foreign_heartbeat_before_the_first_one_does_not_hide_the_worker() {
    let now = Timestamp::from_micros(1_000_000);
    let mut agent = Agent::new(address(9), 7, vec![address(3)]);
    agent.on_heartbeat(now, heartbeat("next", 9, "other"));
    agent.on_heartbeat(now, heartbeat("w", 1, "pool"));
    agent.on_message(now, orders(now, 1, Vec::new()));
    let later = now + Duration::from_millis(160);
    answer_polls(&mut agent, now, &[]);
    agent.on_message(later, orders(later, 2, Vec::new()));
    agent.tick(later);
    let reported = agent.take_actions().into_iter().find_map(|a| match a {
        Action::Send(_, PeerMessage::Report(report)) => report.worker,
        _ => None,
    });
    assert_eq!(reported.map(|w| w.pool).as_deref(), Some("pool"));
}

/// Returns an agent whose worker has listed its run, the run, and the time of that.
fn agent_with_listed_run() -> (Agent, ListedRun, Timestamp) {
    let start = Timestamp::from_micros(1_000_000);
    let (mut agent, task) = busy_agent(start);
    let run = ListedRun {
        task,
        run: 1,
        progress_percent: None,
    };
    let now = start + Duration::from_millis(100);
    answer_polls(&mut agent, now, &[run]);
    (agent, run, now)
}

/// Returns the reasons of the runs that the next report tells as lost.
fn reported_losses(agent: &mut Agent, now: Timestamp) -> Vec<LossReason> {
    agent.tick(now);
    let actions = agent.take_actions().into_iter();
    let reasons = actions.filter_map(|action| match action {
        Action::Send(_, PeerMessage::Report(report)) => Some(loss_reasons(&report.events)),
        _ => None,
    });
    reasons.flatten().collect()
}

/// Guards against a departure that the leader cannot tell from other losses, when tasks are found to run twice.
#[test]
fn a_departure_is_the_reason_of_its_losses() {
    let (mut agent, _, now) = agent_with_listed_run();
    agent.worker_left(now, "w");
    assert_eq!(reported_losses(&mut agent, now), [], "they may go on");
    let later = now + RUN_LOSS_TIMEOUT + Duration::from_millis(1);
    agent.on_message(later, orders(later, 3, Vec::new()));
    assert_eq!(reported_losses(&mut agent, later), [LossReason::WorkerLeft]);
}

/// Guards against a counter of lost runs that misses a run or counts it again with each report of it.
#[test]
fn a_lost_run_is_counted_once() {
    let (mut agent, _, now) = agent_with_listed_run();
    agent.worker_left(now, "w");
    let later = now + Duration::from_millis(700);
    agent.tick(later);
    let counts = agent.take_losses();
    assert_eq!(counts.iter().collect::<Vec<_>>(), [("worker_left", 1)]);
    agent.on_message(later, orders(later, 9, Vec::new()));
    assert_eq!(
        reported_losses(&mut agent, later),
        [LossReason::WorkerLeft],
        "the event is sent again"
    );
    assert_eq!(agent.take_losses().iter().count(), 0);
}

/// Guards against a restart of the worker that the leader cannot tell from other losses.
#[test]
fn a_new_incarnation_is_the_reason_of_its_losses() {
    let (mut agent, _, start) = agent_with_listed_run();
    let now = start + Duration::from_millis(100);
    agent.tick(now);
    for action in agent.take_actions() {
        if let Action::Poll(call) = action {
            let reply = PollReply {
                clock_ms: 1,
                started_at_ms: Some(2),
                running: Vec::new(),
                ended: Vec::new(),
                more_ends: false,
            };
            agent.on_poll_reply(now, call.number, Some(reply));
        }
    }
    let losses = reported_losses(&mut agent, now);
    assert_eq!(losses, [LossReason::NewIncarnation]);
}

/// Guards against an expired worker lease that the leader cannot tell from other losses: the agent holds a lease, but
/// its worker does not reply.
#[test]
fn an_expired_worker_lease_is_the_reason_of_its_losses() {
    let (mut agent, _, start) = agent_with_listed_run();
    let mut losses = Vec::new();
    for step in 1..150 {
        let now = start + Duration::from_millis(10) * step;
        if step % 10 == 0 {
            agent.on_message(now, orders(now, 2 + u64::from(step), Vec::new()));
        }
        losses.extend(reported_losses(&mut agent, now));
    }
    assert_eq!(losses.first(), Some(&LossReason::LeaseExpired));
    assert!(losses.iter().all(|l| *l == LossReason::LeaseExpired));
}

/// Guards against a run that the worker stopped or no longer lists, and that the leader cannot tell from a run whose
/// worker is gone.
#[test]
fn the_list_of_the_worker_is_the_reason_of_its_losses() {
    for (ended, expected) in [
        (true, LossReason::EndedWithoutResult),
        (false, LossReason::NotListed),
    ] {
        let (mut agent, run, start) = agent_with_listed_run();
        let now = start + Duration::from_millis(100);
        agent.tick(now);
        for action in agent.take_actions() {
            if let Action::Poll(call) = action {
                let end = (1, run.task, run.run, ListedOutcome::Lost);
                let reply = PollReply {
                    clock_ms: now.as_micros() / 1_000,
                    started_at_ms: Some(1),
                    running: Vec::new(),
                    ended: ended.then_some(end).into_iter().collect(),
                    more_ends: false,
                };
                agent.on_poll_reply(now, call.number, Some(reply));
            }
        }
        assert_eq!(reported_losses(&mut agent, now), [expected]);
    }
}

/// Guards against a leader that does not learn the data centre of a worker, or takes it for cold after its cold time.
#[test]
fn data_centre_and_remaining_cold_time_are_reported() {
    let at = |millis| Timestamp::from_micros(1_000_000 + millis * 1_000);
    let (mut agent, _) = busy_agent(at(0));
    agent.take_actions();
    let beat = Heartbeat {
        sequence: 2,
        data_centre: Some("a".to_owned()),
        cold_time: Duration::from_millis(300),
        ..heartbeat("w", 1, "pool")
    };
    agent.on_heartbeat(at(10), beat);
    let mut reported = Vec::new();
    for millis in [10, 210, 410] {
        agent.on_message(at(millis), orders(at(millis), 3 + millis, Vec::new()));
        agent.tick(at(millis));
        let reports = agent.take_actions().into_iter();
        let workers = reports.filter_map(|action| match action {
            Action::Send(_, PeerMessage::Report(report)) => report.worker,
            _ => None,
        });
        reported.extend(workers.map(|w| (w.data_centre, w.cold_ms)));
    }
    let a = Some("a".to_owned());
    assert_eq!(reported, [(a.clone(), 300), (a.clone(), 100), (a, 0)]);
}

/// Guards against a leader that waits for the interval between two reports although the worker has replied to the starts
/// that it ordered.
#[test]
fn replies_to_starts_are_reported_before_the_interval() {
    let mut now = Timestamp::from_micros(1_000_000);
    let (mut agent, first) = busy_agent(now);
    let tasks = (1..=32).map(|index| TaskId { index, ..first });
    let starts = tasks.clone().map(|task| Order::Start {
        task,
        run: 1,
        incarnation: 1,
        needs: Resources::default(),
        expected_ms: 100,
        payload: "x".to_owned(),
    });
    // A periodic report comes first, which counts from there.
    now = now + Duration::from_millis(150);
    agent.tick(now);
    agent.take_actions();
    agent.on_message(now, orders(now, 3, starts.collect()));
    let mut reported = Vec::new();
    for task in tasks {
        agent.on_start_reply(now, task, 1, StartReply::Started);
        agent.tick(now);
        for action in agent.take_actions() {
            if let Action::Send(_, PeerMessage::Report(report)) = action {
                reported.push((report.last_orders, report.unanswered_starts));
            }
        }
    }
    assert_eq!(reported, [(3, 16), (3, 0)]);
}
