//! An agent by itself: its search for the leader, and the progress of runs.

use std::{net::SocketAddr, time::Duration};

use figdeal_core::time::Timestamp;
use figdeal_queue::{
    agent::{Action, Agent, Heartbeat, ListedRun, PollReply, StartReply},
    job::{JobId, Resources, TaskId},
    message::{LeaderInfo, Order, Orders, PeerMessage, SlowRun},
};

fn address(host: u8) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, host], 7_000))
}

/// To whom the agent has announced itself.
fn announced(agent: &mut Agent) -> Vec<SocketAddr> {
    let actions = agent.take_actions().into_iter();
    let sent = actions.filter_map(|action| match action {
        Action::Send(to, PeerMessage::Announce(_)) => Some(to),
        _ => None,
    });
    sent.collect()
}

/// Answer of a node that keeps no log, so that it names the leader but no voters.
fn named(from: SocketAddr, leader: SocketAddr) -> PeerMessage {
    PeerMessage::LeaderInfo(LeaderInfo {
        from,
        leader: Some(leader),
        serving: false,
        term: 3,
        members: Vec::new(),
    })
}

/// Guards against an agent that never finds the leader since all its seeds are nodes without a log: the answer came within
/// the pause after its own question and was dropped (kuorotee-rota `scale-2`, seed 87028824851).
#[test]
fn leader_that_a_seed_names_is_asked() {
    let (seed, leader) = (address(2), address(3));
    let mut agent = Agent::new(address(9), 7, vec![seed]);
    let mut now = Timestamp::from_micros(1_000_000);
    agent.tick(now);
    assert_eq!(announced(&mut agent), [seed]);
    now = now + Duration::from_millis(2);
    agent.on_peer(now, named(seed, leader));
    assert_eq!(announced(&mut agent), [leader]);
}

/// Guards against a storm between two nodes that name each other as the leader.
#[test]
fn nodes_that_name_each_other_are_asked_slowly() {
    let (one, two) = (address(2), address(3));
    let mut agent = Agent::new(address(9), 7, vec![one]);
    let mut asked = 0;
    for milli in 0..200 {
        let now = Timestamp::from_micros(1_000_000 + milli * 1_000);
        agent.tick(now);
        for to in announced(&mut agent) {
            asked += 1;
            let other = if to == one { two } else { one };
            agent.on_peer(now, named(to, other));
        }
    }
    assert!((3..=10).contains(&asked), "asked {asked} times in 200 ms");
}

/// An agent with a leader and a worker that runs one task, expected to take 100 ms.
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
    agent.heartbeat(
        now,
        Heartbeat {
            id: "w".to_owned(),
            started_at_ms: Some(1),
            sequence: 1,
            pool: "pool".to_owned(),
            capacity: needs,
            labels: Vec::new(),
            draining: false,
        },
    );
    let orders = |number, orders| {
        PeerMessage::Orders(Orders {
            leader,
            term: 1,
            session: 7,
            fence: 5,
            lease_start_us: now.as_micros(),
            number,
            acked_event: 0,
            orders,
        })
    };
    agent.on_peer(now, orders(1, Vec::new()));
    look(&mut agent, now, &[]);
    let start = Order::Start {
        task,
        run: 1,
        incarnation: 1,
        needs,
        expected_ms: 100,
        payload: "x".to_owned(),
    };
    agent.on_peer(now, orders(2, vec![start]));
    agent.on_start_reply(now, task, 1, StartReply::Started);
    (agent, task)
}

/// Answers the looks that are out and returns the runs that the agent reports as behind.
fn look(agent: &mut Agent, now: Timestamp, running: &[ListedRun]) -> Vec<SlowRun> {
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

/// Plays a run that has done `percent` at each tenth of its time. Returns whether it was reported.
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
        !look(&mut agent, now, &[listed]).is_empty()
    })
}

/// Guards against a run that stands still, or lags far behind, until four times its time have passed.
#[test]
fn runs_that_lag_are_reported() {
    assert!(is_reported(|_| 0), "it stands still");
    assert!(
        is_reported(|tenth| tenth as u8 * 2),
        "it takes five times its time"
    );
}

/// Guards against a run that is taken from a sound worker since its estimate was too low.
#[test]
fn runs_that_take_twice_their_estimate_are_not_reported() {
    assert!(!is_reported(|tenth| tenth as u8 * 5));
}
