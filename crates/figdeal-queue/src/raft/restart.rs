//! The wait after a restart, and when it may be cut short.
//!
//! A node that restarts may have acknowledged a heartbeat just before, so it neither votes nor asks for votes for an
//! election timeout. The leader of that heartbeat is among the voters of its log if the log has an entry of the newest
//! term. Once each of them has said after the restart that it does not lead, no lease can stand, and the wait ends: after
//! the loss of all processes or of all power the group has a leader as soon as all voters are back.

use std::time::Duration;

use figdeal_core::time::Timestamp;
use rand::Rng;

use super::{NodeId, Raft, RaftMessage, Role};

/// Time between two questions to the other voters; some may not listen yet.
const PROBE_INTERVAL: Duration = Duration::from_millis(30);
/// Longest time from the end of the wait to an election; it spreads them over about two syncs.
const MAX_ELECTION_DELAY: Duration = Duration::from_millis(30);
/// Time after the end of the wait in which a lost election is repeated within [`MAX_ELECTION_DELAY`] and [`PROBE_INTERVAL`].
const FAST_ELECTION_WINDOW: Duration = Duration::from_millis(400);

/// What a node knows since its restart.
#[derive(Debug)]
pub(super) struct RestartState {
    /// Voters that have said that they do not lead.
    idle: Vec<NodeId>,
    probe: Timestamp,
    /// The wait was cut short at this time.
    free: Option<Timestamp>,
}

impl Raft {
    pub(super) fn begin_restart(&mut self, now: Timestamp) {
        let last = self.log.last();
        // With a newer term than the log, the last leader may not be among the voters that the log names.
        if last.index > 0 && last.term == self.hard.term && self.is_voter() {
            self.restart = Some(RestartState {
                idle: Vec::new(),
                probe: now,
                free: None,
            });
        }
    }

    /// When the other voters are asked next.
    pub(super) fn next_probe(&self) -> Option<Timestamp> {
        let restart = self.restart.as_ref()?;
        restart.free.is_none().then_some(restart.probe)
    }

    pub(super) fn is_probe_due(&self, now: Timestamp) -> bool {
        self.next_probe().is_some_and(|at| at <= now) && now < self.election
    }

    /// Asks the other voters whether one of them leads.
    pub(super) fn probe(&mut self, now: Timestamp) {
        let (term, last) = (self.hard.term + 1, self.log.last());
        for peer in self.peers() {
            self.out
                .send
                .push((peer, RaftMessage::PreVote { term, last }));
        }
        if let Some(restart) = &mut self.restart {
            restart.probe = now + PROBE_INTERVAL;
        }
        self.try_end_wait(now);
    }

    /// A voter says whether it leads.
    pub(super) fn on_probe_reply(&mut self, now: Timestamp, from: NodeId, leading: bool) {
        let Some(restart) = &mut self.restart else {
            return;
        };
        match leading {
            true => restart.idle.clear(),
            false if !restart.idle.contains(&from) => restart.idle.push(from),
            false => {}
        }
        self.try_end_wait(now);
    }

    fn try_end_wait(&mut self, now: Timestamp) {
        let peers = self.peers();
        let follower = matches!(self.role, Role::Follower);
        let Some(restart) = &mut self.restart else {
            return;
        };
        let all = peers.iter().all(|peer| restart.idle.contains(peer));
        if !all || !follower || restart.free.is_some() {
            return;
        }
        restart.free = Some(now);
        log::info!(
            "E635 no voter leads after the restart term={}",
            self.hard.term
        );
        self.heard = Timestamp::ZERO;
        self.schedule_fast_election(now);
    }

    /// After the wait was cut short, elections follow soon until one has succeeded.
    pub(super) fn schedule_fast_election(&mut self, now: Timestamp) {
        let free = self.restart.as_ref().and_then(|r| r.free);
        if free.is_some_and(|at| now < at + FAST_ELECTION_WINDOW) {
            let spread = MAX_ELECTION_DELAY.as_micros() as u64;
            let wait = Duration::from_micros(self.rng.random_range(0..spread));
            let first = free == Some(now);
            self.election = now
                + wait
                + if first {
                    Duration::ZERO
                } else {
                    PROBE_INTERVAL
                };
        }
    }
}
