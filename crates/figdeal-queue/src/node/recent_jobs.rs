//! Volatile jobs that the leader has taken lately, told to the voters with the heartbeats of the log.
//!
//! Volatile jobs are not in the log, so a new leader does not know which of them run at agents out of reach. A job that
//! no earlier leader can have had needs no wait for these agents. The proof: the leader lists every job taken before the
//! voter's last answer that the leader has seen, while it still holds its lease. Any other job was taken after that
//! answer, and its caller hands it in again only after the resubmission gap.

use std::{
    collections::{HashMap, HashSet, VecDeque},
    net::SocketAddr,
    time::Duration,
};

use figdeal_core::time::Timestamp;

use super::Node;
use crate::{
    job::JobId,
    message::{PeerMessage, RecentJobs},
    raft::{NodeId, Term},
};

/// Time for which a leader lists a job. A job that lasts longer makes the list incomplete.
const LIST_RETENTION: Duration = Duration::from_secs(10);
/// Age of a volatile job from which on the list is incomplete, since the job may leave it while it runs.
const MAX_COMPLETE_AGE: Duration = Duration::from_secs(5);
/// Time for which a voter keeps a job. It exceeds [`LIST_RETENTION`] by more than any message takes.
const HEARD_RETENTION: Duration = Duration::from_secs(20);
/// Time between two complete lists for a voter, which replace one with a lost message.
const FULL_LIST_INTERVAL: Duration = Duration::from_secs(10);
/// Heartbeats whose arrival is remembered.
const MAX_ARRIVALS: usize = 64;
/// Share of the resubmission gap that counts; the rest is for clocks that differ by 2% and for rounding.
const RESUBMIT_DELAY_FRACTION: f64 = 0.95;

/// Jobs that earlier leaders had, as far as a new leader knows.
#[derive(Debug, Default)]
pub(crate) struct EarlierJobs {
    ids: HashSet<JobId>,
    /// Until then a job that is not listed was at no earlier leader.
    valid_until: Option<Timestamp>,
}

impl EarlierJobs {
    /// Whether no earlier leader can have had the job, which its node hands in for the first time.
    pub(crate) fn is_new(&self, now: Timestamp, id: JobId) -> bool {
        self.valid_until.is_some_and(|until| now < until) && !self.ids.contains(&id)
    }
}

/// How far a voter has been told.
#[derive(Debug)]
struct Cursor {
    address: SocketAddr,
    next_number: u64,
    next_full_list: Timestamp,
}

/// Both sides of the list.
#[derive(Debug, Default)]
pub(super) struct RecentJobLists {
    /// Jobs taken by this node as the leader, and the number of the first of them.
    accepted: VecDeque<(Timestamp, JobId)>,
    first_number: u64,
    cursors: HashMap<NodeId, Cursor>,
    /// Jobs of other leaders, the oldest first.
    received: VecDeque<(Timestamp, JobId)>,
    /// Term of the list, and the number that comes next; nothing after a lost message.
    term: Term,
    next_number: Option<u64>,
    heartbeat_arrivals: VecDeque<(u64, Timestamp)>,
    /// Every job that was taken before this time is listed.
    complete_until: Option<Timestamp>,
}

impl RecentJobLists {
    /// The leader has taken a volatile job.
    pub(super) fn add(&mut self, now: Timestamp, id: JobId) {
        self.accepted.push_back((now, id));
        while self
            .accepted
            .front()
            .is_some_and(|(at, _)| *at + LIST_RETENTION < now)
        {
            self.accepted.pop_front();
            self.first_number += 1;
        }
    }

    /// What was on its way to `address` is lost.
    pub(super) fn on_connection_lost(&mut self, address: SocketAddr) {
        self.cursors.retain(|_, cursor| cursor.address != address);
    }

    /// A heartbeat of the log has arrived; its answer goes out later than now.
    pub(super) fn on_heartbeat(&mut self, term: Term, sent: u64, now: Timestamp) {
        if term != self.term {
            self.term = term;
            self.next_number = None;
            self.heartbeat_arrivals.clear();
        }
        self.heartbeat_arrivals.push_back((sent, now));
        if self.heartbeat_arrivals.len() > MAX_ARRIVALS {
            self.heartbeat_arrivals.pop_front();
        }
    }

    /// Takes a list. `current` means that no newer term is known.
    pub(super) fn on_recent_jobs(&mut self, now: Timestamp, taken: RecentJobs, current: bool) {
        if !current || taken.term != self.term {
            return;
        }
        let follows = self.next_number == Some(taken.first);
        let count = taken.ids.len() as u64;
        self.received.extend(taken.ids.iter().map(|id| (now, *id)));
        while self
            .received
            .front()
            .is_some_and(|(at, _)| *at + HEARD_RETENTION < now)
        {
            self.received.pop_front();
        }
        if !taken.is_full && !follows {
            self.next_number = None;
            return;
        }
        self.next_number = Some(taken.first + count);
        let arrival = self
            .heartbeat_arrivals
            .iter()
            .find(|(sent, _)| *sent == taken.acked_heartbeat_us);
        match arrival {
            Some((_, at)) if taken.is_complete => self.complete_until = Some(*at),
            _ => {}
        }
    }

    /// What this node knows when it begins to lead. `gap` is the shortest time after which a caller hands a job in again.
    pub(super) fn earlier_jobs(&mut self, gap: Duration) -> EarlierJobs {
        self.accepted.clear();
        self.first_number = 0;
        self.cursors.clear();
        EarlierJobs {
            ids: self.received.iter().map(|(_, id)| *id).collect(),
            valid_until: self
                .complete_until
                .map(|at| at + gap.mul_f64(RESUBMIT_DELAY_FRACTION)),
        }
    }
}

impl Node {
    /// Tells a voter which jobs this leader has taken since the last time.
    pub(super) fn send_recent_jobs(&mut self, to: NodeId) {
        let now = self.clock.now;
        let (Some(leading), Some(address)) = (&self.dispatcher, self.address_of(to)) else {
            return;
        };
        if !self.raft.is_serving(now) || self.options.min_resubmit_delay.is_zero() {
            return;
        }
        let complete = leading.is_settled(now, MAX_COMPLETE_AGE);
        let Some(answered) = self.raft.acked_heartbeat_us(to) else {
            return;
        };
        let recent = &mut self.recent_jobs;
        let (first, end) = (
            recent.first_number,
            recent.first_number + recent.accepted.len() as u64,
        );
        let cursor = recent.cursors.entry(to).or_insert(Cursor {
            address,
            next_number: 0,
            next_full_list: now,
        });
        let begins = cursor.next_number < first || cursor.next_full_list <= now;
        if begins {
            cursor.next_full_list = now + FULL_LIST_INTERVAL;
        }
        let from = if begins { first } else { cursor.next_number };
        cursor.next_number = end;
        let skip = (from - first) as usize;
        let ids = recent.accepted.iter().skip(skip).map(|(_, id)| *id);
        let taken = RecentJobs {
            term: self.raft.term(),
            first: from,
            is_full: begins,
            ids: ids.collect(),
            acked_heartbeat_us: answered,
            is_complete: complete,
        };
        self.send(address, PeerMessage::RecentJobs(taken));
    }
}
