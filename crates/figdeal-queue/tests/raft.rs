//! The replicated log by itself.

use std::time::Duration;

use figdeal_core::time::Timestamp;
use figdeal_queue::raft::{
    HardState, Log, Member, Message, NodeId, Raft, log::Position, message::AppendReply,
};

fn member(id: u64) -> Member {
    let address = format!("127.0.0.{id}:7000").parse().unwrap();
    Member {
        id: NodeId(id),
        address,
    }
}

/// A leader of three voters whose other members do not answer by themselves.
fn leader() -> (Raft, Timestamp) {
    let mut now = Timestamp::from_micros(1_000_000);
    let mut raft = Raft::new(NodeId(1), HardState::default(), Log::default(), now, 7);
    raft.found((1..=3).map(member).collect());
    raft.synced(1, 1);
    now = now + Duration::from_secs(2);
    raft.tick(now);
    let term = raft.term() + 1;
    raft.step(
        now,
        NodeId(2),
        Message::PreVoteReply {
            term,
            granted: true,
        },
    );
    raft.step(
        now,
        NodeId(1),
        Message::VoteReply {
            term,
            granted: true,
        },
    );
    raft.step(
        now,
        NodeId(2),
        Message::VoteReply {
            term,
            granted: true,
        },
    );
    assert!(raft.is_leader());
    raft.take_output();
    (raft, now)
}

fn sent_bytes(raft: &mut Raft) -> usize {
    let sizes = raft
        .take_output()
        .send
        .into_iter()
        .map(|(_, message)| match message {
            Message::Append(append) => append.entries.len() * ENTRY,
            _ => 0,
        });
    sizes.sum()
}

const ENTRY: usize = 1_000;

/// Guards against a follower that was cut off and gets the log again for each message that it could not use: the queue of
/// its connection grew until the leader ran out of memory.
#[test]
fn stale_conflicts_send_nothing_again() {
    let (mut raft, mut now) = leader();
    let term = raft.term();
    let mut stamps = Vec::new();
    for _ in 0..200 {
        now = now + Duration::from_millis(1);
        raft.propose(now, vec![0; ENTRY]);
        stamps.push(now.as_micros());
    }
    raft.take_output();
    let mut sent = 0;
    for stamp in stamps {
        now = now + Duration::from_millis(1);
        let reply = AppendReply {
            term,
            index: 1,
            conflict: true,
            sent: stamp,
        };
        raft.step(now, NodeId(3), Message::AppendReply(reply));
        sent += sent_bytes(&mut raft);
    }
    assert!(sent > 0, "the log is sent from the point of the conflict");
    assert!(
        sent <= 300 * ENTRY,
        "sent {sent} bytes for {} in the log",
        200 * ENTRY
    );
}

/// Guards against an entry that counts as committed on the word of one voter of three.
#[test]
fn majority_commits() {
    let (mut raft, now) = leader();
    let index = raft.propose(now, vec![0; ENTRY]).unwrap();
    let term = raft.term();
    raft.synced(index, term);
    assert!(raft.commit() < index);
    let reply = AppendReply {
        term,
        index,
        conflict: false,
        sent: now.as_micros(),
    };
    raft.step(now, NodeId(2), Message::AppendReply(reply));
    assert_eq!(raft.commit(), index);
}

/// Guards against a vote for a log that lacks entries of the voter, and against two votes in one term.
#[test]
fn votes_go_to_newer_logs_once() {
    let now = Timestamp::from_micros(10_000_000);
    let mut raft = Raft::new(
        NodeId(2),
        HardState::default(),
        Log::default(),
        Timestamp::ZERO,
        7,
    );
    raft.found((1..=3).map(member).collect());
    raft.take_output();
    let granted = |raft: &mut Raft, from: u64, index: u64| {
        let last = Position { term: 1, index };
        let vote = Message::Vote {
            term: 5,
            last,
            transfer: false,
        };
        raft.step(now, NodeId(from), vote);
        let replies = raft.take_output().after;
        replies
            .iter()
            .any(|(_, m)| matches!(m, Message::VoteReply { granted: true, .. }))
    };
    assert!(
        !granted(&mut raft, 1, 0),
        "the log of the candidate is older"
    );
    assert!(granted(&mut raft, 3, 1));
    assert!(!granted(&mut raft, 1, 1), "the vote of the term is given");
    assert!(
        granted(&mut raft, 3, 1),
        "a repeated request gets the same answer"
    );
}
