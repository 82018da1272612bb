//! Membership of the group: chooses the initial voters and replaces lost ones.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use figdeal_core::time::Timestamp;

use super::Node;
use crate::{
    dispatch::Limits,
    message::{Hello, PeerMessage},
    raft::{Member, NodeId},
};

/// How long the bootstrapping node collects the machines that may vote. All start within 0.3 s.
const BOOTSTRAP_WAIT: Duration = Duration::from_millis(1_500);
/// Interval between two steps of a membership change.
const REVIEW_INTERVAL: Duration = Duration::from_millis(300);
/// Time without an acknowledgement after which a voter is replaced if another node with a disk is available.
const VOTER_LOSS_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Time without a message after which a node is no candidate for a voter any more.
const CANDIDATE_MAX_AGE: Duration = Duration::from_millis(1_000);

/// Settings of a node.
#[derive(Debug, Clone)]
pub struct Options {
    /// Address where the node listens for other processes.
    pub address: SocketAddr,
    /// Data centre of the node's machine.
    pub data_centre: String,
    /// Whether the node can store the log.
    pub has_disk: bool,
    /// Whether the system starts for the first time, so that a group has to be created.
    pub bootstrap: bool,
    /// Addresses of nodes that may know the others.
    pub seeds: Vec<SocketAddr>,
    /// Target number of voters: twice the number of losses to tolerate, plus one.
    pub voter_count: usize,
    /// Minimum delay after which a caller resubmits a volatile job; zero if that is not known.
    pub min_resubmit_delay: Duration,
    /// Data centres of the deployment; empty if the settings do not list them.
    pub data_centres: BTreeSet<String>,
    /// Bounds of the deployment for the scheduler.
    pub limits: Limits,
    /// Bytes that all jobs and outcomes may hold, see [`stored_size`](crate::stored_size).
    pub stored_bytes: usize,
}

/// A node with a disk, which may become a voter.
#[derive(Debug)]
struct Standby {
    id: NodeId,
    data_centre: String,
    bootstrap: bool,
    heard_at: Timestamp,
}

/// State of the membership changes.
#[derive(Debug)]
pub(super) struct Membership {
    started_at: Timestamp,
    pub(super) next_review: Timestamp,
    /// Nodes with a disk, by address; a node with new storage at the same address replaces the previous one.
    standbys: BTreeMap<SocketAddr, Standby>,
    initial_voters: Option<Vec<Member>>,
}

impl Membership {
    pub(super) fn new(now: Timestamp) -> Membership {
        Membership {
            started_at: now,
            next_review: now + REVIEW_INTERVAL,
            standbys: BTreeMap::new(),
            initial_voters: None,
        }
    }
}

impl Node {
    pub(super) fn record_standby(&mut self, hello: Hello) {
        if hello.has_disk {
            let heard_at = self.clock.now;
            let Hello {
                node: id,
                data_centre,
                bootstrap,
                ..
            } = hello;
            self.membership.standbys.insert(
                hello.address,
                Standby {
                    id,
                    data_centre,
                    bootstrap,
                    heard_at,
                },
            );
        }
    }

    pub(super) fn tick_membership(&mut self) {
        if self.clock.now < self.membership.next_review {
            return;
        }
        self.membership.next_review = self.clock.now + REVIEW_INTERVAL;
        if self.is_serving() {
            self.review_voters();
        } else {
            self.bootstrap_group();
        }
    }

    /// Creates the group if this node is the first seed. Only one process does so, so that there cannot be two
    /// groups.
    fn bootstrap_group(&mut self) {
        let is_bootstrapper =
            self.options.bootstrap && self.options.seeds.first() == Some(&self.options.address);
        let too_early = self.clock.now < self.membership.started_at + BOOTSTRAP_WAIT;
        if !is_bootstrapper
            || too_early
            || self.leader_address().is_some()
            || self.raft.log().last_index() > 1
        {
            return;
        }
        if self.membership.initial_voters.is_none() {
            let own = self.hello();
            self.record_standby(own);
            self.membership.initial_voters = self.choose_initial_voters();
        }
        let Some(members) = self.membership.initial_voters.clone() else {
            return;
        };
        for member in &members {
            self.send(member.address, PeerMessage::Bootstrap(members.clone()));
        }
    }

    /// Chooses the initial voters, spread over the data centres.
    fn choose_initial_voters(&self) -> Option<Vec<Member>> {
        let mut by_data_centre: BTreeMap<&str, Vec<Member>> = BTreeMap::new();
        for (address, standby) in self.membership.standbys.iter().filter(|(_, s)| s.bootstrap) {
            let member = Member {
                id: standby.id,
                address: *address,
            };
            by_data_centre
                .entry(&standby.data_centre)
                .or_default()
                .push(member);
        }
        let mut members = Vec::new();
        while members.len() < self.options.voter_count {
            let before = members.len();
            for candidates in by_data_centre.values_mut() {
                if members.len() < self.options.voter_count
                    && let Some(member) = candidates.pop()
                {
                    members.push(member);
                }
            }
            if members.len() == before {
                break;
            }
        }
        log::info!("E626 bootstrapping the group members={members:?}");
        (!members.is_empty()).then_some(members)
    }

    pub(super) fn on_bootstrap(&mut self, members: Vec<Member>) {
        let own = members.iter().any(|m| m.id == self.raft.id());
        if self.options.has_disk && own && self.raft.log().last_index() == 0 {
            log::info!("E627 bootstrapped as a voter members={members:?}");
            self.raft.bootstrap(members);
        }
    }

    /// Replaces lost voters by other nodes with a disk, one step at a time: replicate the log to the new node, add
    /// it, remove the lost one.
    fn review_voters(&mut self) {
        let now = self.clock.now;
        let own = self.raft.id();
        let members = self.raft.members().to_vec();
        let is_wiped = |m: &Member| {
            self.membership
                .standbys
                .get(&m.address)
                .is_some_and(|s| s.id != m.id && s.heard_at + CANDIDATE_MAX_AGE > now)
        };
        let is_lost = |m: &Member| {
            m.id != own && (is_wiped(m) || self.raft.time_since_ack(now, m.id) > VOTER_LOSS_TIMEOUT)
        };
        let lost: Vec<Member> = members.iter().filter(|m| is_lost(m)).cloned().collect();
        let healthy = members.len() - lost.len();
        let missing = healthy < self.options.voter_count;
        let is_member = |id: NodeId| members.iter().any(|m| m.id == id);
        let standbys = self.membership.standbys.iter();
        let mut candidates =
            standbys.filter(|(_, s)| s.heard_at + CANDIDATE_MAX_AGE > now && !is_member(s.id));
        let learner = candidates.next().map(|(a, s)| Member {
            id: s.id,
            address: *a,
        });
        match learner {
            Some(learner) if missing => {
                self.raft.retain_learners(&[learner.id]);
                if self.raft.replicate_to_learner(now, learner.id) {
                    log::info!("E628 adding a voter member={learner:?} lost={lost:?}");
                    let mut members = members;
                    members.push(learner);
                    self.raft.propose_members(now, members);
                }
            }
            _ if members.len() > self.options.voter_count && !lost.is_empty() => {
                log::info!("E629 removing a voter member={:?}", lost[0]);
                let members = members.into_iter().filter(|m| *m != lost[0]).collect();
                self.raft.propose_members(now, members);
                self.raft.retain_learners(&[]);
            }
            _ => {}
        }
    }
}
