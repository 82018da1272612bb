//! Requests of this node's callers and operators: hands them to the leader, submits volatile jobs again after its loss, and
//! answers them.

use std::{net::SocketAddr, time::Duration};

use figdeal_core::time::Timestamp;

use super::{Action, Clock, Node, Origin};
use crate::message::{Answer, PeerMessage, RefusalReason, Request};

/// Timeout of every request that is not a volatile job. Callers wait for 1.5 s.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Timeout of a request about an evacuation. Its operator tries another node after 1 s.
const EVACUATION_TIMEOUT: Duration = Duration::from_millis(800);
/// Fraction of its critical path, by estimated run times, for which a new volatile job waits for a leader. The
/// response-time goal is at least the run time, so the wait stays well under half of the goal.
const FIRST_LEADER_WAIT_FRACTION: f64 = 0.35;
/// Constant part of the time for which a new volatile job waits for a leader.
const MIN_FIRST_LEADER_WAIT: Duration = Duration::from_millis(15);
/// Time without any reachable leader after which a node gives up volatile jobs that a leader has had; their outcome
/// is unknown. An election takes half of this time, and callers resubmit the job at another node.
const LEADERLESS_TIMEOUT: Duration = Duration::from_millis(1_200);
/// A node that shuts down accepts a job only if the time left is at least the job's critical path multiplied by this,
/// plus [`SHUTDOWN_SLACK`]. Estimates are off by 0.4, and tasks wait.
const SHUTDOWN_WORK_FACTOR: u32 = 2;
/// Constant part of the time that a job needs before the node shuts down.
const SHUTDOWN_SLACK: Duration = Duration::from_millis(400);
/// Milliseconds after which a caller may try again if no leader can be reached.
const NO_LEADER_RETRY_AFTER_MS: u32 = 500;

/// A request of this node's caller that waits for the answer of the leader.
#[derive(Debug)]
pub(super) struct PendingRequest {
    /// Node that has the request; `None` while a volatile job waits for a leader.
    pub(super) leader: Option<SocketAddr>,
    received_at: Timestamp,
    deadline: Timestamp,
    /// The request if it is a volatile job, which is resubmitted to the next leader.
    volatile_request: Option<Request>,
    /// How often the request was handed to a leader.
    offers: u32,
}

impl PendingRequest {
    /// Returns the path of the request if it is a volatile job, or `-`.
    fn path(&self) -> &str {
        self.volatile_request.as_ref().map_or("-", request_path)
    }

    /// Returns how long the request waits for a first leader.
    fn first_leader_wait(&self) -> Duration {
        let critical_path = match &self.volatile_request {
            Some(Request::Submit { spec, .. }) => {
                spec.critical_paths_ms().into_iter().max().unwrap_or(0)
            }
            _ => 0,
        };
        MIN_FIRST_LEADER_WAIT
            + Duration::from_millis(critical_path).mul_f64(FIRST_LEADER_WAIT_FRACTION)
    }
}

impl Node {
    /// Handles a request of a caller or an operator, who waits for at most `max_wait`. A malformed job is rejected at once.
    pub fn on_request(&mut self, clock: Clock, token: u64, request: Request, max_wait: Duration) {
        self.clock = clock;
        if matches!(&request, Request::Submit { spec, .. } if !spec.is_valid()) {
            return self.reply(token, Answer::Invalid);
        }
        let is_volatile = matches!(&request, Request::Submit { spec, .. } if spec.volatile);
        if is_volatile && self.ends_before_job(&request) {
            log::info!(
                "E636 refused a job that would outlast this process token={token} path={}",
                request_path(&request)
            );
            let refused = Answer::Refused {
                retry_after_ms: NO_LEADER_RETRY_AFTER_MS,
                reason: RefusalReason::ShuttingDown,
            };
            return self.reply(token, refused);
        }
        if matches!(request, Request::SetEvacuation { .. }) && self.has_just_resumed() {
            return self.reply(token, super::evacuation::after_pause());
        }
        let timeout = match &request {
            Request::SetEvacuation { .. } => max_wait.min(EVACUATION_TIMEOUT),
            _ if is_volatile => max_wait,
            _ => max_wait.min(REQUEST_TIMEOUT),
        };
        let pending = PendingRequest {
            leader: None,
            received_at: clock.now,
            deadline: clock.now + timeout,
            volatile_request: is_volatile.then(|| request.clone()),
            offers: 0,
        };
        self.requests.insert(token, pending);
        if !self.route_request(token, request) && !is_volatile {
            self.answer(Origin::Local(token), no_leader());
        }
        self.advance();
    }

    /// Returns whether the process exits before a job of this length would end.
    fn ends_before_job(&self, request: &Request) -> bool {
        let Request::Submit { spec, .. } = request else {
            return false;
        };
        let critical_path = spec.critical_paths_ms().into_iter().max().unwrap_or(0);
        let needed = Duration::from_millis(critical_path) * SHUTDOWN_WORK_FACTOR + SHUTDOWN_SLACK;
        self.shutdown_deadline
            .is_some_and(|end| self.clock.now + needed > end)
    }

    /// Serves a request here or forwards it to the leader. Returns whether there is a leader.
    fn route_request(&mut self, token: u64, request: Request) -> bool {
        let own_address = self.options.address;
        let to = match self.is_serving() {
            true => Some(own_address),
            false => self.leader_address().filter(|to| *to != own_address),
        };
        let (Some(to), Some(pending)) = (to, self.requests.get_mut(&token)) else {
            return false;
        };
        pending.leader = Some(to);
        pending.offers += 1;
        match to == own_address {
            true => self.serve(Origin::Local(token), request),
            false => self.send(
                to,
                PeerMessage::Forward {
                    origin: own_address,
                    token,
                    request,
                },
            ),
        }
        true
    }

    /// Handles a caller that no longer waits for its answer.
    pub fn withdraw(&mut self, clock: Clock, token: u64) {
        self.clock = clock;
        self.drop_request(token);
        self.advance();
    }

    fn drop_request(&mut self, token: u64) {
        let Some(pending) = self.requests.remove(&token) else {
            return;
        };
        let Some(to) = pending
            .leader
            .filter(|_| pending.volatile_request.is_some())
        else {
            return;
        };
        let origin = self.options.address;
        match to == origin {
            true => self.on_withdraw(Origin::Local(token)),
            false => self.send(to, PeerMessage::Withdraw { origin, token }),
        }
    }

    pub(super) fn on_withdraw(&mut self, origin: Origin) {
        if let Some(id) = self.waiters.withdraw(origin)
            && let Some(dispatcher) = &mut self.dispatcher
        {
            dispatcher.job_ended(id);
            self.open_jobs.remove(id);
            self.job_log.job_withdrawn(self.clock.now, id);
            self.placement_due = true;
        }
    }

    /// Handles the loss of the leader of a request: a volatile job waits for the next leader, the outcome of other
    /// requests is unknown.
    pub(super) fn on_request_lost(&mut self, token: u64) {
        let Some(pending) = self.requests.get_mut(&token) else {
            return;
        };
        pending.leader = None;
        if pending.volatile_request.is_none() {
            self.answer(Origin::Local(token), Answer::OutcomeUnknown);
        }
    }

    /// Answers all pending requests, because the process exits.
    pub fn answer_pending(&mut self, clock: Clock) {
        self.clock = clock;
        let tokens: Vec<u64> = self.requests.keys().copied().collect();
        for token in tokens {
            self.give_up_request(token);
        }
        self.advance();
    }

    /// Gives up a request. If a leader has had it, the outcome is unknown.
    fn give_up_request(&mut self, token: u64) {
        let offered = self.requests.get(&token).is_some_and(|p| p.offers > 0);
        self.drop_request(token);
        let answer = if offered {
            Answer::OutcomeUnknown
        } else {
            no_leader()
        };
        self.reply(token, answer);
    }

    /// Answers a caller of this node, and counts a refusal that no leader has decided.
    fn reply(&mut self, token: u64, answer: Answer) {
        if let Answer::Refused { reason, .. } = &answer
            && matches!(
                reason,
                RefusalReason::NoLeader | RefusalReason::ShuttingDown | RefusalReason::AfterPause
            )
        {
            self.job_log.count_refusal(*reason);
        }
        self.actions.push(Action::Reply(token, answer));
    }

    pub(super) fn answer(&mut self, origin: Origin, answer: Answer) {
        match origin {
            Origin::Local(token) => {
                let Some(pending) = self.requests.get(&token) else {
                    return;
                };
                let is_volatile = pending.volatile_request.is_some();
                if is_volatile && answer == no_leader() {
                    self.on_request_lost(token);
                } else if answer.rejects_job() && pending.offers > 1 {
                    log::info!(
                        "E640 a rejected job may have run at an earlier leader token={token} \
                         path={} offers={} answer={answer:?}",
                        pending.path(),
                        pending.offers
                    );
                    self.drop_request(token);
                    self.actions
                        .push(Action::Reply(token, Answer::OutcomeUnknown));
                } else {
                    self.requests.remove(&token);
                    self.reply(token, answer);
                }
            }
            Origin::Remote(address, token) => {
                let from = self.options.address;
                self.send(
                    address,
                    PeerMessage::Reply {
                        from,
                        token,
                        answer,
                    },
                );
            }
        }
    }

    /// Submits waiting volatile jobs to the present leader, and gives up requests that have waited too long.
    pub(super) fn tick_requests(&mut self) {
        let now = self.clock.now;
        let own_address = self.options.address;
        let current = if self.is_serving() {
            Some(own_address)
        } else {
            self.leader_address()
        };
        match current {
            Some(_) => self.leaderless_since = None,
            None => {
                self.leaderless_since.get_or_insert(now);
            }
        }
        let without_leader = self
            .leaderless_since
            .is_some_and(|at| at + LEADERLESS_TIMEOUT <= now);
        let (mut to_submit, mut overdue, mut unserved) = (Vec::new(), Vec::new(), Vec::new());
        for (token, pending) in &self.requests {
            let reached_leader = pending.volatile_request.is_some() && pending.offers > 0;
            if pending.deadline <= now || (without_leader && reached_leader) {
                overdue.push(*token);
            } else if pending.leader.is_none()
                && pending.offers == 0
                && pending.received_at + pending.first_leader_wait() <= now
            {
                unserved.push(*token);
            } else if pending.volatile_request.is_some()
                && current.is_some()
                && pending.leader != current
            {
                to_submit.push(*token);
            }
        }
        for token in overdue {
            let path = self.requests[&token].path();
            self.job_log.request_given_up(now, token, path, current);
            self.give_up_request(token);
        }
        for token in unserved {
            self.requests.remove(&token);
            self.reply(token, no_leader());
        }
        for token in to_submit {
            let pending = &self.requests[&token];
            let waited = now.since(pending.received_at).as_millis() as u32;
            let resubmitted = pending.offers > 0;
            if let Some(Request::Submit {
                host, path, spec, ..
            }) = pending.volatile_request.clone()
            {
                self.route_request(
                    token,
                    Request::Submit {
                        host,
                        path,
                        spec,
                        age_ms: waited,
                        resubmitted,
                    },
                );
            }
        }
    }
}

fn request_path(request: &Request) -> &str {
    match request {
        Request::Submit { path, .. }
        | Request::Query { path, .. }
        | Request::Cancel { path, .. } => path,
        Request::Configure(_) | Request::ReadConfig | Request::SetEvacuation { .. } => "-",
    }
}

pub(super) fn no_leader() -> Answer {
    Answer::Refused {
        retry_after_ms: NO_LEADER_RETRY_AFTER_MS,
        reason: RefusalReason::NoLeader,
    }
}
