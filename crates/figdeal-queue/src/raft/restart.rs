//! Shortens the wait for an election after a restart when no leader lease can exist.
//!
//! A restarted node may have acknowledged a heartbeat just before it stopped, so it neither votes nor asks for votes
//! for an election timeout. If the last entry of its log has the newest term, the leader of that heartbeat is among
//! the voters that the log names. Once each of them has answered after the restart that it is not the leader, no
//! lease can exist and the wait ends. So after the loss of all processes or of all power, the group has a leader as
//! soon as all voters are back.

use std::time::Duration;

use figdeal_core::time::Timestamp;
use rand::Rng;

use super::{NodeId, Raft, RaftMessage, Role};

/// Interval between two pre-vote requests to the other voters; some may not be listening yet.
const PROBE_INTERVAL: Duration = Duration::from_millis(30);
/// Upper bound of the random delay from the end of the wait to an election; about two disk syncs.
const MAX_ELECTION_DELAY: Duration = Duration::from_millis(30);
/// How long after the end of the wait a lost election is repeated within [`MAX_ELECTION_DELAY`] plus
/// [`PROBE_INTERVAL`].
const FAST_ELECTION_WINDOW: Duration = Duration::from_millis(400);

/// What a node has learned since its restart.
#[derive(Debug)]
pub(super) struct RestartState {
    /// Voters that answered that they are not the leader.
    non_leaders: Vec<NodeId>,
    next_probe: Timestamp,
    /// When the wait was cut short.
    wait_ended_at: Option<Timestamp>,
}

impl Raft {
    pub(super) fn begin_restart(&mut self, now: Timestamp) {
        let last = self.log.last();
        // If the term is newer than the last entry, the last leader may not be among the voters that the log names.
        if last.index > 0 && last.term == self.hard_state.term && self.is_voter() {
            self.restart = Some(RestartState {
                non_leaders: Vec::new(),
                next_probe: now,
                wait_ended_at: None,
            });
        }
    }

    /// Returns when the other voters are asked next.
    pub(super) fn next_probe(&self) -> Option<Timestamp> {
        let restart = self.restart.as_ref()?;
        restart
            .wait_ended_at
            .is_none()
            .then_some(restart.next_probe)
    }

    pub(super) fn is_probe_due(&self, now: Timestamp) -> bool {
        self.next_probe().is_some_and(|at| at <= now) && now < self.election_at
    }

    /// Asks the other voters, with a pre-vote request, whether one of them is the leader.
    pub(super) fn probe(&mut self, now: Timestamp) {
        let (term, last) = (self.hard_state.term + 1, self.log.last());
        for peer in self.peers() {
            self.output
                .send
                .push((peer, RaftMessage::PreVote { term, last }));
        }
        if let Some(restart) = &mut self.restart {
            restart.next_probe = now + PROBE_INTERVAL;
        }
        self.try_end_wait(now);
    }

    /// Records a voter's answer whether it is the leader.
    pub(super) fn on_probe_reply(&mut self, now: Timestamp, from: NodeId, is_leader: bool) {
        let Some(restart) = &mut self.restart else {
            return;
        };
        match is_leader {
            true => restart.non_leaders.clear(),
            false if !restart.non_leaders.contains(&from) => restart.non_leaders.push(from),
            false => {}
        }
        self.try_end_wait(now);
    }

    fn try_end_wait(&mut self, now: Timestamp) {
        let peers = self.peers();
        let is_follower = matches!(self.role, Role::Follower);
        let Some(restart) = &mut self.restart else {
            return;
        };
        let all_answered = peers.iter().all(|peer| restart.non_leaders.contains(peer));
        if !all_answered || !is_follower || restart.wait_ended_at.is_some() {
            return;
        }
        restart.wait_ended_at = Some(now);
        log::info!(
            "E635 no voter is leader after the restart; scheduling an early election term={}",
            self.hard_state.term
        );
        self.leader_heard_at = Timestamp::ZERO;
        self.schedule_fast_election(now);
    }

    /// Schedules an early election if the wait was cut short recently.
    pub(super) fn schedule_fast_election(&mut self, now: Timestamp) {
        let ended_at = self.restart.as_ref().and_then(|r| r.wait_ended_at);
        if ended_at.is_some_and(|at| now < at + FAST_ELECTION_WINDOW) {
            let spread = MAX_ELECTION_DELAY.as_micros() as u64;
            let delay = Duration::from_micros(self.rng.random_range(0..spread));
            let is_first = ended_at == Some(now);
            self.election_at = now
                + delay
                + if is_first {
                    Duration::ZERO
                } else {
                    PROBE_INTERVAL
                };
        }
    }
}
