//! Tests of one agent beside a worker that restarts under its identity, leaves, or does not answer.

use std::time::Duration;

use figdeal_core::time::Timestamp;
use figdeal_queue::{
    agent::{
        AGENT_LOSS_TIMEOUT, Action, Agent, Heartbeat, ListedOutcome, PollCall, PollReply,
        StartCall, StartReply, UNANSWERED_START_TIMEOUT,
    },
    job::{JobId, Resources, TaskId},
    message::{AgentReport, LossReason, Order, Orders, PeerMessage, RunOutcome, StartRejection},
};
use figdeal_stand_in::worker::{PausedClock, Run, Worker};

/// Step of the simulated time.
const STEP: Duration = Duration::from_millis(5);
/// Interval between two messages of the leader, in steps.
const ORDERS_STEPS: u64 = 20;
/// Clock of the worker when a test begins. An expiry by it is far ahead for a worker that has just started.
const WORKER_AGE: Duration = Duration::from_secs(100);
/// Run time of a task, unless a test sets another one.
const RUN_TIME: Duration = Duration::from_millis(400);
const ID: &str = "w";
/// Identity of the first process of the agent.
const FIRST_SESSION: u64 = 7;
const LOST: RunOutcome = RunOutcome::Lost(LossReason::LeaseExpired);
const NOT_LISTED: RunOutcome = RunOutcome::Lost(LossReason::NotListed);
const NEEDS: Resources = Resources {
    millicores: 1_000,
    memory_mb: 0,
    gpus: 0,
};

/// An agent, its worker, and a leader that renews the lease of the agent.
struct Pair {
    agent: Agent,
    worker: Worker,
    now: Timestamp,
    /// Whether calls are carried out and answered at once. Otherwise they get no answer and are kept in `held`.
    answers: bool,
    held: Vec<Action>,
    /// Whether polls without an answer stay pending.
    polls_hang: bool,
    run_time: Duration,
    steps: u64,
    /// Identity of the agent's process.
    session: u64,
    /// Whether the leader renews the lease of the agent.
    renews: bool,
    /// Start of the agent's lease in messages of the leader, if it is not the present time.
    lease_start: Option<Timestamp>,
    term: u64,
    last_orders: u64,
    /// Newest event that was reported.
    last_event: u64,
    outcomes: Vec<(TaskId, RunOutcome)>,
    report: Option<AgentReport>,
}

impl Pair {
    fn new(started_at_ms: u64) -> Pair {
        let now = Timestamp::ZERO + WORKER_AGE;
        let seed = "127.0.0.3:7000".parse().unwrap();
        let mut pair = Pair {
            agent: Agent::new("127.0.0.9:7000".parse().unwrap(), FIRST_SESSION, vec![seed]),
            worker: Worker::new(Timestamp::ZERO, started_at_ms, 8_000),
            now,
            answers: true,
            held: Vec::new(),
            polls_hang: false,
            run_time: RUN_TIME,
            steps: 0,
            session: FIRST_SESSION,
            renews: true,
            lease_start: None,
            term: 1,
            last_orders: 0,
            last_event: 0,
            outcomes: Vec::new(),
            report: None,
        };
        pair.heartbeat();
        pair.order(Vec::new());
        pair.advance(Duration::from_millis(300));
        pair
    }

    fn heartbeat(&mut self) {
        let heartbeat = Heartbeat {
            id: ID.to_owned(),
            started_at_ms: Some(self.worker.incarnation),
            sequence: 1,
            pool: "pool".to_owned(),
            capacity: self.worker.capacity,
            labels: Vec::new(),
            draining: false,
            data_centre: None,
            cold_time: Duration::ZERO,
        };
        self.agent.on_heartbeat(self.now, heartbeat);
    }

    /// Delivers a message of the leader.
    fn order(&mut self, orders: Vec<Order>) {
        self.last_orders += 1;
        let message = Orders {
            leader: "127.0.0.3:7000".parse().unwrap(),
            term: self.term,
            session: self.session,
            fence: 4 + self.term + self.session - FIRST_SESSION,
            lease_start_us: self.lease_start.unwrap_or(self.now).as_micros(),
            number: self.last_orders,
            acked_event: self.last_event,
            orders,
        };
        self.agent
            .on_message(self.now, PeerMessage::Orders(message));
        self.run_actions();
    }

    /// Orders the start of a task and returns it.
    fn start(&mut self, index: u32) -> TaskId {
        let task = TaskId {
            job: JobId(1),
            step: 0,
            index,
        };
        let reported = self.report.as_ref().and_then(|r| r.worker.as_ref());
        let incarnation = reported.map_or(1, |w| w.incarnation);
        let start = Order::Start {
            task,
            run: 1,
            incarnation,
            needs: NEEDS,
            expected_ms: 400,
            payload: "x".to_owned(),
        };
        self.order(vec![start]);
        task
    }

    /// Replaces the worker by a new incarnation with the same identity.
    fn restart(&mut self, started_at_ms: u64) {
        self.worker = Worker::new(self.now, started_at_ms, 8_000);
    }

    /// Replaces the process of the agent, which the leader registers.
    fn replace_agent(&mut self) {
        let seed = "127.0.0.3:7000".parse().unwrap();
        self.session += 1;
        self.agent = Agent::new("127.0.0.9:7000".parse().unwrap(), self.session, vec![seed]);
        self.last_event = 0;
        self.heartbeat();
        self.order(Vec::new());
    }

    fn advance(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now = self.now + STEP;
            self.steps += 1;
            self.worker.advance(self.now);
            if self.renews && self.steps.is_multiple_of(ORDERS_STEPS) {
                self.order(Vec::new());
            }
            self.agent.tick(self.now);
            self.run_actions();
        }
    }

    fn run_actions(&mut self) {
        loop {
            let actions = self.agent.take_actions();
            if actions.is_empty() {
                return;
            }
            for action in actions {
                match action {
                    Action::Send(_, message) => self.on_sent(message),
                    call if self.answers => self.carry_out(&call),
                    call => {
                        self.leave_unanswered(&call);
                        self.held.push(call);
                    }
                }
            }
        }
    }

    fn on_sent(&mut self, message: PeerMessage) {
        let PeerMessage::Report(report) = message else {
            return;
        };
        for event in &report.events {
            if event.seq > self.last_event {
                self.last_event = event.seq;
                self.outcomes.push((event.task, event.outcome));
            }
        }
        self.report = Some(*report);
    }

    fn carry_out(&mut self, call: &Action) {
        match call {
            Action::Poll(call) => {
                let reply = self.poll_worker(call);
                self.agent.on_poll_reply(self.now, call.number, reply);
            }
            Action::Start(call) => {
                let reply = self.start_run(call);
                self.agent
                    .on_start_reply(self.now, call.task, call.run, reply);
            }
            Action::Stop(call) => self.worker.stop(self.now, call),
            Action::Send(..) => {}
        }
    }

    fn poll_worker(&mut self, call: &PollCall) -> Option<PollReply> {
        self.worker.renew_lease(self.now, call)?;
        Some(self.worker.status(self.now))
    }

    fn start_run(&mut self, call: &StartCall) -> StartReply {
        let reply = self.worker.check_start(self.now, call);
        if reply == StartReply::Started && !self.runs(call.task) {
            let run = Run {
                run: call.run,
                start: self.now,
                end: self.now + self.run_time,
                outcome: ListedOutcome::Done,
                needs: NEEDS,
            };
            self.worker.start_run(self.now, call, run);
        }
        reply
    }

    fn leave_unanswered(&mut self, call: &Action) {
        match call {
            Action::Poll(_) if self.polls_hang => {}
            Action::Poll(call) => self.agent.on_poll_reply(self.now, call.number, None),
            Action::Start(call) => {
                let reply = StartReply::Unknown;
                self.agent
                    .on_start_reply(self.now, call.task, call.run, reply);
            }
            _ => {}
        }
    }

    /// Lets the present worker carry out the starts that got no answer.
    fn carry_out_held_starts(&mut self) {
        for call in std::mem::take(&mut self.held) {
            if let Action::Start(call) = call {
                self.start_run(&call);
            }
        }
    }

    fn runs(&self, task: TaskId) -> bool {
        self.worker.runs.contains_key(&task)
    }

    /// Returns for how long the task goes on within the next 2 s although its run was reported as lost.
    fn overlap(&mut self, task: TaskId) -> Duration {
        let mut overlap = Duration::ZERO;
        for _ in 0..400 {
            self.advance(STEP);
            if self.runs(task) && !self.outcomes_of(task).is_empty() {
                overlap += STEP;
            }
        }
        overlap
    }

    fn outcomes_of(&self, task: TaskId) -> Vec<RunOutcome> {
        let outcomes = self.outcomes.iter().filter(|(t, _)| *t == task);
        outcomes.map(|(_, outcome)| *outcome).collect()
    }
}

/// Guards against a task that runs again after it was started elsewhere: its start was carried out late by a worker
/// that had restarted unnoticed, and whose new clock was far below the expiry (soak seeds 409, 515 and 517).
#[test]
fn a_start_that_a_restarted_worker_may_still_carry_out_is_not_lost() {
    let mut pair = Pair::new(1);
    pair.restart(2);
    pair.answers = false;
    let task = pair.start(0);
    pair.advance(Duration::from_millis(2_500));
    pair.carry_out_held_starts();
    assert!(pair.runs(task), "the expiry is by the former clock");
    assert_eq!(pair.outcomes_of(task), [], "it may run");
    pair.answers = true;
    pair.advance(Duration::from_millis(600));
    assert_eq!(pair.outcomes_of(task), [RunOutcome::Done]);
}

/// Guards against a task that is held back for longer than needed after its worker has restarted.
#[test]
fn a_reply_under_a_higher_fence_decides_a_start_without_an_answer() {
    let mut pair = Pair::new(1);
    pair.restart(2);
    pair.answers = false;
    let task = pair.start(0);
    pair.advance(Duration::from_millis(800));
    pair.answers = true;
    pair.advance(Duration::from_millis(100));
    assert_eq!(pair.outcomes_of(task), [NOT_LISTED]);
    pair.carry_out_held_starts();
    assert!(!pair.runs(task), "the worker knows a higher fence");
}

/// Guards against a task that waits for ever for a worker that is gone.
#[test]
fn a_start_without_an_answer_is_lost_in_the_end() {
    let mut pair = Pair::new(1);
    pair.answers = false;
    let task = pair.start(0);
    pair.advance(UNANSWERED_START_TIMEOUT);
    assert_eq!(pair.outcomes_of(task), []);
    pair.advance(Duration::from_millis(100));
    assert_eq!(pair.outcomes_of(task), [LOST]);
}

/// Guards against starts that can only be decided late, because they are sent to a worker that does not answer.
#[test]
fn a_worker_that_does_not_answer_gets_no_starts() {
    let mut pair = Pair::new(1);
    pair.answers = false;
    pair.start(0);
    let next = pair.start(1);
    pair.advance(Duration::from_millis(20));
    let silent = RunOutcome::NotStarted(StartRejection::WorkerSilent);
    assert_eq!(pair.outcomes_of(next), [silent]);
}

/// Guards against a run that is started elsewhere before it ends: a start reached a worker that had restarted
/// unnoticed, whose new clock made a lease of up to 1 s of an expiry in 0.5 s.
#[test]
fn a_run_whose_lease_was_granted_by_a_former_clock_is_lost_only_after_the_longest_lease() {
    let mut pair = Pair::new(1);
    pair.run_time = Duration::from_secs(5);
    pair.restart(2);
    let task = pair.start(0);
    pair.answers = false;
    assert_eq!(pair.overlap(task), Duration::ZERO);
    assert_eq!(pair.outcomes_of(task), [LOST]);
}

/// Guards against a worker that is ignored for good, and whose runs are started elsewhere while they go on, because
/// the time of day went back before it started again.
#[test]
fn a_worker_that_started_again_at_an_earlier_time_of_day_is_used() {
    let mut pair = Pair::new(9_000);
    pair.restart(7_000);
    pair.heartbeat();
    pair.advance(Duration::from_millis(300));
    let reported = pair.report.as_ref().and_then(|r| r.worker.clone());
    assert_eq!(reported.map(|w| w.incarnation), Some(2));
    let task = pair.start(0);
    pair.advance(Duration::from_millis(600));
    assert_eq!(pair.outcomes_of(task), [RunOutcome::Done]);
}

/// Guards against runs that are started elsewhere while they go on, because a departure of the worker's former
/// incarnation arrived late.
#[test]
fn a_departure_does_not_end_runs_that_go_on() {
    let mut pair = Pair::new(1);
    let task = pair.start(0);
    pair.advance(Duration::from_millis(50));
    pair.agent.worker_left(pair.now, ID);
    pair.advance(Duration::from_millis(500));
    assert_eq!(pair.outcomes_of(task), [RunOutcome::Done]);
    let reported = pair.report.as_ref().and_then(|r| r.worker.clone());
    assert_eq!(reported.map(|w| w.draining), Some(false));
}

/// Guards against runs of a worker that has left and that are reported as lost late or never.
#[test]
fn runs_of_a_worker_that_left_are_lost_with_their_lease() {
    let mut pair = Pair::new(1);
    let task = pair.start(0);
    pair.advance(Duration::from_millis(50));
    pair.answers = false;
    pair.agent.worker_left(pair.now, ID);
    pair.advance(Duration::from_millis(600));
    let left = RunOutcome::Lost(LossReason::WorkerLeft);
    assert_eq!(pair.outcomes_of(task), [left]);
    pair.advance(Duration::from_millis(200));
    let reported = pair.report.as_ref().and_then(|r| r.worker.clone());
    assert!(reported.is_none_or(|w| w.draining));
}

/// Guards against an agent that loses its lease again and again and holds up each new leader, because its worker is
/// gone.
#[test]
fn an_agent_without_a_worker_reports_that_nothing_runs() {
    let mut pair = Pair::new(1);
    pair.answers = false;
    pair.advance(UNANSWERED_START_TIMEOUT + Duration::from_millis(500));
    let running = pair.report.as_ref().and_then(|r| r.running.clone());
    assert_eq!(running.map(|r| r.len()), Some(0));
    let reported = pair.report.as_ref().and_then(|r| r.worker.clone());
    assert!(reported.is_none_or(|w| w.draining));
}

/// Guards against a run that is started elsewhere before it ends: the agent knows by then that the worker has
/// restarted, but the lease was granted by the former clock.
#[test]
fn a_listed_run_with_a_lease_by_a_former_clock_is_lost_only_after_the_longest_lease() {
    let mut pair = Pair::new(1);
    pair.run_time = Duration::from_secs(5);
    pair.restart(2);
    pair.heartbeat();
    let task = pair.start(0);
    pair.advance(Duration::from_millis(20));
    pair.answers = false;
    pair.agent.worker_left(pair.now, ID);
    assert_eq!(pair.overlap(task), Duration::ZERO);
    assert_eq!(pair.outcomes_of(task).len(), 1);
}

/// Guards against an end of the new incarnation that is forgotten, because an acknowledgement for the former one has
/// the same number.
#[test]
fn ends_of_a_former_incarnation_are_not_acknowledged_to_one_that_may_be_new() {
    let mut pair = Pair::new(1);
    pair.start(0);
    pair.advance(Duration::from_millis(800));
    pair.restart(2);
    pair.answers = false;
    pair.start(1);
    pair.advance(Duration::from_millis(500));
    let acked = pair.held.iter().filter_map(|call| match call {
        Action::Poll(call) => Some(call.acked_end),
        _ => None,
    });
    assert_eq!(acked.max(), Some(0));
}

/// Guards against an end of the new incarnation that is forgotten, because a hedged poll acknowledges ends of the former one
/// before the agent learns of the restart (soak seeds 1017, 1020 and 1023).
#[test]
fn hedged_polls_acknowledge_no_ends() {
    let mut pair = Pair::new(1);
    pair.start(0);
    pair.advance(Duration::from_millis(800));
    pair.answers = false;
    pair.polls_hang = true;
    pair.advance(Duration::from_millis(300));
    let polls = pair.held.iter().filter_map(|call| match call {
        Action::Poll(call) => Some(call.acked_end),
        _ => None,
    });
    let acked: Vec<u64> = polls.collect();
    assert!(acked.len() > 1 && acked[0] > 0, "{acked:?}");
    assert!(acked[1..].iter().all(|end| *end == 0), "{acked:?}");
}

/// Guards against a start that is carried out after a pause of the whole machine, when its run has been reported as
/// lost.
#[test]
fn a_pause_of_the_machine_decides_no_start() {
    let mut pair = Pair::new(1);
    pair.answers = false;
    let task = pair.start(0);
    pair.worker.pause(pair.now);
    pair.now = pair.now + UNANSWERED_START_TIMEOUT + Duration::from_millis(500);
    pair.worker.resume(pair.now, PausedClock::StandsStill);
    pair.agent.tick(pair.now);
    pair.run_actions();
    pair.carry_out_held_starts();
    assert!(pair.runs(task));
    pair.answers = true;
    assert_eq!(pair.overlap(task), Duration::ZERO);
}

/// Guards against a new leader that starts a task elsewhere while its start may still be carried out, because the
/// agent tells its runs only once the worker replies.
#[test]
fn a_new_leader_is_told_of_starts_without_an_answer() {
    let mut pair = Pair::new(1);
    pair.answers = false;
    let task = pair.start(0);
    pair.term = 2;
    pair.advance(Duration::from_millis(500));
    let undecided = pair.report.as_ref().map(|r| r.undecided.clone());
    let undecided = undecided.unwrap_or_default();
    assert!(undecided.iter().any(|id| id.task == task), "{undecided:?}");
}

/// Guards against a task that runs twice because the fencing token that decided its start is gone with the incarnation that
/// replied: the next one gets the start before the first poll.
#[test]
fn a_start_is_not_lost_while_it_may_reach_the_next_incarnation() {
    let mut pair = Pair::new(1);
    pair.answers = false;
    let task = pair.start(0);
    pair.answers = true;
    pair.advance(Duration::from_millis(200));
    let outcomes = pair.outcomes_of(task);
    pair.answers = false;
    pair.restart(2);
    pair.carry_out_held_starts();
    assert!(
        outcomes.is_empty() || !pair.runs(task),
        "{outcomes:?}, and it runs"
    );
}

/// Guards against a task that the leader starts elsewhere while it goes on at an agent that is cut off: its worker has
/// restarted unnoticed and took the expiry for its longest lease.
#[test]
fn runs_end_before_the_leader_gives_up_their_agent() {
    let mut pair = Pair::new(1);
    pair.run_time = Duration::from_secs(5);
    pair.order(Vec::new());
    pair.renews = false;
    let lease_start = pair.now;
    pair.lease_start = Some(lease_start);
    pair.advance(Duration::from_millis(300));
    pair.restart(2);
    let task = pair.start(0);
    while pair.runs(task) {
        pair.advance(STEP);
    }
    let time = pair.now.since(lease_start);
    assert!(time <= AGENT_LOSS_TIMEOUT, "it ended after {time:?}");
}

/// Guards against a run that is started elsewhere before it ends, because a new process of the agent takes its lease for one
/// that it has granted itself.
#[test]
fn a_run_that_a_new_process_finds_is_lost_only_after_the_longest_lease() {
    let mut pair = Pair::new(1);
    pair.run_time = Duration::from_secs(5);
    pair.restart(2);
    let task = pair.start(0);
    // The new process polls for 0.1 s only, and gets its next lease before the run ends.
    pair.renews = false;
    pair.lease_start = Some(Timestamp::from_micros(pair.now.as_micros() - 450_000));
    pair.replace_agent();
    pair.advance(Duration::from_millis(20));
    pair.answers = false;
    pair.advance(Duration::from_millis(700));
    pair.lease_start = None;
    pair.order(Vec::new());
    pair.advance(STEP);
    assert!(pair.runs(task));
    assert_eq!(pair.outcomes_of(task), []);
}
/// Guards against a run that is started elsewhere before it ends, because its start was carried out as late as a call can
/// be and got the longest lease.
#[test]
fn a_start_that_is_carried_out_last_is_lost_only_after_its_lease() {
    let mut pair = Pair::new(1);
    pair.run_time = Duration::from_secs(5);
    pair.restart(2);
    pair.answers = false;
    let task = pair.start(0);
    pair.advance(Duration::from_millis(12_000));
    pair.carry_out_held_starts();
    assert!(pair.runs(task));
    assert_eq!(pair.overlap(task), Duration::ZERO);
    assert_eq!(pair.outcomes_of(task), [LOST]);
}
