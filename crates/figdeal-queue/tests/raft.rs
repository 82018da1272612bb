//! Tests of the Raft replica in isolation.

use std::time::Duration;

use figdeal_core::time::Timestamp;
use figdeal_queue::raft::{
    HardState, Log, Member, NodeId, Raft, RaftMessage, log::Position, message::AppendEntriesReply,
};

fn member(id: u64) -> Member {
    let address = format!("127.0.0.{id}:7000").parse().unwrap();
    Member {
        id: NodeId(id),
        address,
    }
}

/// Returns a leader of three voters; the other two do not answer by themselves.
fn leader() -> (Raft, Timestamp) {
    let mut now = Timestamp::from_micros(1_000_000);
    let mut raft = Raft::new(NodeId(1), HardState::default(), Log::default(), now, 7);
    raft.bootstrap((1..=3).map(member).collect());
    raft.on_synced(1, 1);
    now = now + Duration::from_secs(2);
    raft.tick(now);
    let term = raft.term() + 1;
    raft.step(
        now,
        NodeId(2),
        RaftMessage::PreVoteReply {
            term,
            granted: true,
            is_leader: false,
        },
    );
    raft.step(
        now,
        NodeId(1),
        RaftMessage::VoteReply {
            term,
            granted: true,
        },
    );
    raft.step(
        now,
        NodeId(2),
        RaftMessage::VoteReply {
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
            RaftMessage::AppendEntries(append) => append.entries.len() * ENTRY_BYTES,
            _ => 0,
        });
    sizes.sum()
}

const ENTRY_BYTES: usize = 1_000;

/// Guards against a follower that was disconnected and gets the log again for each message that it could not use. The
/// send queue of its connection grew until the leader ran out of memory.
#[test]
fn stale_conflicts_send_nothing_again() {
    let (mut raft, mut now) = leader();
    let term = raft.term();
    let mut stamps = Vec::new();
    for _ in 0..200 {
        now = now + Duration::from_millis(1);
        raft.propose(now, vec![0; ENTRY_BYTES]);
        stamps.push(now.as_micros());
    }
    raft.take_output();
    let mut sent = 0;
    for stamp in stamps {
        now = now + Duration::from_millis(1);
        let reply = AppendEntriesReply {
            term,
            index: 1,
            conflict: true,
            sent_us: stamp,
        };
        raft.step(now, NodeId(3), RaftMessage::AppendEntriesReply(reply));
        sent += sent_bytes(&mut raft);
    }
    assert!(
        sent > 0,
        "the log must be sent again from the conflicting entry"
    );
    assert!(
        sent <= 300 * ENTRY_BYTES,
        "sent {sent} bytes for {} in the log",
        200 * ENTRY_BYTES
    );
}

/// Guards against an entry that is committed although only one of three voters has it.
#[test]
fn majority_commits() {
    let (mut raft, now) = leader();
    let index = raft.propose(now, vec![0; ENTRY_BYTES]).unwrap();
    let term = raft.term();
    raft.on_synced(index, term);
    assert!(raft.commit() < index);
    let reply = AppendEntriesReply {
        term,
        index,
        conflict: false,
        sent_us: now.as_micros(),
    };
    raft.step(now, NodeId(2), RaftMessage::AppendEntriesReply(reply));
    assert_eq!(raft.commit(), index);
}

/// Guards against a vote for a candidate whose log lacks entries of the voter, and against two votes in one term.
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
    raft.bootstrap((1..=3).map(member).collect());
    raft.take_output();
    let granted = |raft: &mut Raft, from: u64, index: u64| {
        let last = Position { term: 1, index };
        let vote = RaftMessage::RequestVote {
            term: 5,
            last,
            transfer: false,
        };
        raft.step(now, NodeId(from), vote);
        let replies = raft.take_output().send_after_sync;
        replies
            .iter()
            .any(|(_, m)| matches!(m, RaftMessage::VoteReply { granted: true, .. }))
    };
    assert!(!granted(&mut raft, 1, 0), "the candidate's log is older");
    assert!(granted(&mut raft, 3, 1));
    assert!(
        !granted(&mut raft, 1, 1),
        "the voter has already voted in this term"
    );
    assert!(
        granted(&mut raft, 3, 1),
        "a repeated request gets the same answer"
    );
}

/// Returns a voter of three that has restarted with a log whose last entry has the newest term.
fn restarted(id: u64, now: Timestamp) -> Raft {
    let mut first = Raft::new(NodeId(id), HardState::default(), Log::default(), now, 7);
    first.bootstrap((1..=3).map(member).collect());
    let hard = HardState {
        term: first.term(),
        vote: None,
    };
    let mut log = Log::default();
    for entry in first.log().range(1, usize::MAX) {
        log.append(entry);
    }
    Raft::new(NodeId(id), hard, log, now, id)
}

/// Passes messages between voters that store immediately, until one becomes leader. Returns the milliseconds that
/// this took.
fn elect(voters: &mut [Raft], start: Timestamp) -> Option<u64> {
    for elapsed_ms in 0..1_000 {
        let now = start + Duration::from_millis(elapsed_ms);
        for n in 0..voters.len() {
            voters[n].tick(now);
            let last = voters[n].log().last();
            voters[n].on_synced(last.index, last.term);
            let from = voters[n].id();
            let out = voters[n].take_output();
            for (to, message) in out.send.into_iter().chain(out.send_after_sync) {
                if let Some(voter) = voters.iter_mut().find(|v| v.id() == to) {
                    voter.step(now, from, message);
                }
            }
        }
        if voters.iter().any(Raft::is_leader) {
            return Some(elapsed_ms);
        }
    }
    None
}

/// Guards against waiting for an election timeout after all processes have restarted.
#[test]
fn voters_elect_at_once_when_all_have_restarted() {
    let now = Timestamp::from_micros(10_000_000);
    let mut voters: Vec<Raft> = (1..=3).map(|id| restarted(id, now)).collect();
    let took = elect(&mut voters, now).expect("a voter leads");
    assert!(took < 150, "the election took {took} ms");
}

/// Guards against an election while a leader lease may still hold: a voter that has not answered may be the leader.
#[test]
fn voters_wait_when_one_has_not_answered() {
    let now = Timestamp::from_micros(10_000_000);
    let mut voters: Vec<Raft> = (1..=2).map(|id| restarted(id, now)).collect();
    let took = elect(&mut voters, now).expect("a voter leads");
    assert!(took >= 330, "the election took {took} ms");
}

/// Guards against a restarted voter that votes although a leader that it followed before may still hold its lease.
#[test]
fn voters_wait_when_one_leads() {
    let now = Timestamp::from_micros(10_000_000);
    let mut voter = restarted(1, now);
    let reply = |leading| RaftMessage::PreVoteReply {
        term: 2,
        granted: false,
        is_leader: leading,
    };
    voter.step(now, NodeId(2), reply(false));
    voter.step(now, NodeId(3), reply(true));
    let ask = RaftMessage::PreVote {
        term: 2,
        last: voter.log().last(),
    };
    voter.take_output();
    voter.step(now, NodeId(2), ask);
    let refused =
        voter.take_output().send.into_iter().all(|(_, message)| {
            matches!(message, RaftMessage::PreVoteReply { granted: false, .. })
        });
    assert!(refused);
}
