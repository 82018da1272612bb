//! An agent by itself: its search for the leader.

use std::{net::SocketAddr, time::Duration};

use figdeal_core::time::Timestamp;
use figdeal_queue::{
    agent::{Action, Agent},
    message::{Directory, Peer},
};

fn address(host: u8) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, host], 7_000))
}

/// To whom the agent has announced itself.
fn announced(agent: &mut Agent) -> Vec<SocketAddr> {
    let actions = agent.take_actions().into_iter();
    let sent = actions.filter_map(|action| match action {
        Action::Send(to, Peer::Announce(_)) => Some(to),
        _ => None,
    });
    sent.collect()
}

/// Answer of a node that keeps no log, so that it names the leader but no voters.
fn named(from: SocketAddr, leader: SocketAddr) -> Peer {
    Peer::Directory(Directory {
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
