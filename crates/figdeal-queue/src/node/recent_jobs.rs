//! Lists of recently accepted volatile jobs, which the leader sends to the voters with the heartbeats of the log.
//!
//! Volatile jobs are not in the log, so a new leader does not know which of them run at unreachable agents. A job
//! that no earlier leader can have had does not need to wait for these agents. This holds because the leader, while
//! it holds its lease, lists every job that it accepted before the voter's newest acknowledgement that it has seen.
//! Any other job was accepted after that acknowledgement, and its caller resubmits it only after the minimum resubmit
//! delay.

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

/// How long a leader lists a job. A job that runs longer makes the list incomplete.
const LIST_RETENTION: Duration = Duration::from_secs(10);
/// Age of a running volatile job from which on the list counts as incomplete, because the job may leave the list
/// while it runs.
const MAX_COMPLETE_AGE: Duration = Duration::from_secs(5);
/// How long a voter keeps a listed job. It exceeds [`LIST_RETENTION`] by more than the delay of any message.
const RECEIVED_RETENTION: Duration = Duration::from_secs(20);
/// Interval between two full lists to a voter. A full list makes up for a lost message.
const FULL_LIST_INTERVAL: Duration = Duration::from_secs(10);
/// Number of heartbeats whose arrival is remembered.
const MAX_ARRIVALS: usize = 64;
/// Fraction of the minimum resubmit delay that is relied upon; the rest covers clocks that differ by 2% and rounding.
const RESUBMIT_DELAY_FRACTION: f64 = 0.95;

/// What a new leader knows about the jobs of earlier leaders.
#[derive(Debug, Default)]
pub(crate) struct EarlierJobs {
    ids: HashSet<JobId>,
    /// Until this time, a job that is not listed was at no earlier leader.
    valid_until: Option<Timestamp>,
}

impl EarlierJobs {
    /// Returns whether no earlier leader can have had the job. Its entry node must submit it for the first time.
    pub(crate) fn is_new(&self, now: Timestamp, id: JobId) -> bool {
        self.valid_until.is_some_and(|until| now < until) && !self.ids.contains(&id)
    }
}

/// Which part of the list was sent to a voter.
#[derive(Debug)]
struct Cursor {
    address: SocketAddr,
    next_number: u64,
    next_full_list: Timestamp,
}

/// List of the jobs of this node as leader, and lists received from other leaders.
#[derive(Debug, Default)]
pub(super) struct RecentJobLists {
    /// Jobs accepted by this node as leader. `first_number` is the number of the first of them.
    accepted: VecDeque<(Timestamp, JobId)>,
    first_number: u64,
    cursors: HashMap<NodeId, Cursor>,
    /// Jobs accepted by other leaders, the oldest first.
    received: VecDeque<(Timestamp, JobId)>,
    /// Term of the received list. `next_number` is the number of the next job on it; `None` after a lost message.
    term: Term,
    next_number: Option<u64>,
    heartbeat_arrivals: VecDeque<(u64, Timestamp)>,
    /// All jobs that were accepted before this time are listed.
    complete_until: Option<Timestamp>,
}

impl RecentJobLists {
    /// Records a volatile job that this leader accepted.
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

    /// Starts a full list for the voter at `address`, because messages to it were lost.
    pub(super) fn on_connection_lost(&mut self, address: SocketAddr) {
        self.cursors.retain(|_, cursor| cursor.address != address);
    }

    /// Records the arrival of a log heartbeat. Its acknowledgement is sent later than `now`.
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

    /// Processes a list from a leader. `current` means that no newer term is known.
    pub(super) fn on_recent_jobs(&mut self, now: Timestamp, list: RecentJobs, current: bool) {
        if !current || list.term != self.term {
            return;
        }
        let follows = self.next_number == Some(list.first);
        let count = list.ids.len() as u64;
        self.received.extend(list.ids.iter().map(|id| (now, *id)));
        while self
            .received
            .front()
            .is_some_and(|(at, _)| *at + RECEIVED_RETENTION < now)
        {
            self.received.pop_front();
        }
        if !list.is_full && !follows {
            self.next_number = None;
            return;
        }
        self.next_number = Some(list.first + count);
        let arrival = self
            .heartbeat_arrivals
            .iter()
            .find(|(sent, _)| *sent == list.acked_heartbeat_us);
        match arrival {
            Some((_, at)) if list.is_complete => self.complete_until = Some(*at),
            _ => {}
        }
    }

    /// Returns what this node knows when it becomes leader. `delay` is the minimum delay after which a caller
    /// resubmits a job.
    pub(super) fn earlier_jobs(&mut self, delay: Duration) -> EarlierJobs {
        self.accepted.clear();
        self.first_number = 0;
        self.cursors.clear();
        EarlierJobs {
            ids: self.received.iter().map(|(_, id)| *id).collect(),
            valid_until: self
                .complete_until
                .map(|at| at + delay.mul_f64(RESUBMIT_DELAY_FRACTION)),
        }
    }
}

impl Node {
    /// Sends a voter the jobs that this leader has accepted since the last message to it.
    pub(super) fn send_recent_jobs(&mut self, to: NodeId) {
        let now = self.clock.now;
        let (Some(dispatcher), Some(address)) = (&self.dispatcher, self.address_of(to)) else {
            return;
        };
        if !self.raft.is_serving(now) || self.options.min_resubmit_delay.is_zero() {
            return;
        }
        let is_complete = dispatcher.is_settled(now, MAX_COMPLETE_AGE);
        let Some(acked_heartbeat_us) = self.raft.acked_heartbeat_us(to) else {
            return;
        };
        let lists = &mut self.recent_jobs;
        let (first, end) = (
            lists.first_number,
            lists.first_number + lists.accepted.len() as u64,
        );
        let cursor = lists.cursors.entry(to).or_insert(Cursor {
            address,
            next_number: 0,
            next_full_list: now,
        });
        let is_full = cursor.next_number < first || cursor.next_full_list <= now;
        if is_full {
            cursor.next_full_list = now + FULL_LIST_INTERVAL;
        }
        let from = if is_full { first } else { cursor.next_number };
        cursor.next_number = end;
        let skip = (from - first) as usize;
        let ids = lists.accepted.iter().skip(skip).map(|(_, id)| *id);
        let list = RecentJobs {
            term: self.raft.term(),
            first: from,
            is_full,
            ids: ids.collect(),
            acked_heartbeat_us,
            is_complete,
        };
        self.send(address, PeerMessage::RecentJobs(list));
    }
}
