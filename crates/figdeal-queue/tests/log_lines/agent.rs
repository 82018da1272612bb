//! Lines of an agent that explain why the runs of its worker are lost.

use std::{net::SocketAddr, time::Duration};

use figdeal_core::time::Timestamp;
use figdeal_queue::{
    agent::{Action, Agent, FORMER_CLOCK_LOSS_TIMEOUT, Heartbeat, PollReply},
    job::Resources,
    message::{Orders, PeerMessage},
};

use crate::{capture_lines, field, lines};

fn address(host: u8) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, host], 7_000))
}

fn orders(now: Timestamp, number: u64) -> PeerMessage {
    PeerMessage::Orders(Orders {
        leader: address(3),
        term: 4,
        session: 7,
        fence: 5,
        lease_start_us: now.as_micros(),
        number,
        acked_event: 0,
        orders: Vec::new(),
    })
}

fn heartbeat(id: &str, started_at_ms: u64) -> Heartbeat {
    Heartbeat {
        id: id.to_owned(),
        started_at_ms: Some(started_at_ms),
        sequence: 1,
        pool: "pool".to_owned(),
        capacity: Resources::default(),
        labels: Vec::new(),
        draining: false,
        data_centre: None,
        cold_time: Duration::ZERO,
    }
}

/// Plays 25 s of an agent that has no lease but for the announcements that the leader answers at once, and that gets no
/// answer to its reports. Its worker `w`, which started at 50 as far as the agent knows, replies to each poll as
/// `started_at_ms` says.
fn play_silent_worker(started_at_ms: Option<u64>) {
    capture_lines();
    let mut agent = Agent::new(address(9), 7, vec![address(3)]);
    let start = Timestamp::from_micros(1_000_000);
    agent.on_message(start, orders(start, 1));
    agent.on_heartbeat(start, heartbeat("w", 50));
    let mut worker_start = Some(50);
    let mut number = 1;
    for step in 0..2_500 {
        let now = start + Duration::from_millis(10) * step;
        agent.tick(now);
        for action in agent.take_actions() {
            match action {
                Action::Send(_, PeerMessage::Announce(_)) => {
                    number += 1;
                    agent.on_message(now, orders(now, number));
                }
                Action::Poll(call) => {
                    let reply = worker_start.map(|started_at_ms| PollReply {
                        clock_ms: now.as_micros() / 1_000,
                        started_at_ms: Some(started_at_ms),
                        running: Vec::new(),
                        ended: Vec::new(),
                        more_ends: false,
                    });
                    agent.on_poll_reply(now, call.number, reply);
                    worker_start = started_at_ms;
                }
                _ => {}
            }
        }
    }
}

/// Guards against two lines each 0.6 s that an agent with a silent worker wrote for as long as that lasted, and
/// against lines that do not tell that the worker is the reason.
#[test]
fn a_silent_worker_is_named_once_per_interval() {
    play_silent_worker(None);
    let expired = lines("E701");
    assert!((3..=5).contains(&expired.len()), "{expired:#?}");
    let granted = lines("E710");
    assert!((3..=5).contains(&granted.len()), "{granted:#?}");
    let last = expired.last().unwrap();
    assert_eq!(
        ["worker", "started_at_ms", "incarnation", "term"].map(|name| field(last, name)),
        ["w", "50", "1", "4"]
    );
    let silent_ms: u64 = field(last, "worker_silent_ms").parse().unwrap();
    assert!((20_000..25_000).contains(&silent_ms), "{last}");
    let suppressed: u64 = field(last, "suppressed").parse().unwrap();
    assert!((10..20).contains(&suppressed), "{last}");
}

/// Guards against a restart at an earlier time of day that leaves no trace in the log.
#[test]
fn a_new_incarnation_with_an_earlier_start_is_logged() {
    play_silent_worker(Some(20));
    let replaced = lines("E706");
    assert_eq!(replaced.len(), 1, "{replaced:#?}");
    assert_eq!(
        ["worker", "started_at_ms", "new_started_at_ms"].map(|name| field(&replaced[0], name)),
        ["w", "50", "20"]
    );
    assert!(lines("E716").is_empty(), "the worker has replied");
}

/// Guards against a departure and a heartbeat of another writer that do not tell which worker the agent held.
#[test]
fn lines_about_the_worker_name_the_one_that_the_agent_holds() {
    capture_lines();
    let mut agent = Agent::new(address(9), 7, vec![address(3)]);
    let now = Timestamp::from_micros(1_000_000);
    agent.on_message(now, orders(now, 1));
    agent.on_heartbeat(now, heartbeat("w", 50));
    for action in agent.take_actions() {
        if let Action::Poll(call) = action {
            let reply = PollReply {
                clock_ms: 1_000,
                started_at_ms: Some(50),
                running: Vec::new(),
                ended: Vec::new(),
                more_ends: false,
            };
            agent.on_poll_reply(now, call.number, Some(reply));
        }
    }
    agent.on_heartbeat(now, heartbeat("other", 50));
    agent.worker_left(now, "w");
    agent.tick(now + FORMER_CLOCK_LOSS_TIMEOUT + Duration::from_millis(1));
    let held = |line: &str| {
        ["worker", "started_at_ms", "incarnation"].map(|name| field(line, name).to_owned())
    };
    let expected = ["w", "50", "1"].map(str::to_owned);
    for event in ["E705", "E706", "E727"] {
        let found = lines(event);
        let line = found.last().unwrap_or_else(|| panic!("no {event}"));
        assert_eq!(held(line), expected, "{line}");
    }
    assert_eq!(field(&lines("E727")[0], "heartbeat_worker"), "other");
    let replaced = lines("E706").pop().unwrap();
    assert_eq!(field(&replaced, "reason"), "WorkerLeft");
    assert_eq!(field(&replaced, "new_started_at_ms"), "-");
}
