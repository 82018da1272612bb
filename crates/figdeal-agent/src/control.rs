//! The thread that owns the agent's control state.

use std::{collections::HashMap, io, net::SocketAddr, sync::mpsc, thread, time::Duration};

use figdeal_config::SiteConfig;
use figdeal_core::{
    agent::{Action, AgentCore, DeclineReason, RunOutcome, TaskRequest, TaskStatus},
    dedup::TaskResult,
    fair_queue::KindShare,
    fleet::AgentLoad,
    id::{Incarnation, Interner, KindId, SubmissionKey, TaskId, TeamId},
    time::{Timestamp, UnixMillis},
};
use figdeal_wire::message::{
    CollectReply, LoadReport, NotStartedReason, QueryRequest, RunRequest, TaskOutcome, TaskReply,
};
use metrics::{counter, gauge};
use tokio::{
    runtime::Handle,
    sync::{oneshot, watch},
    time::Instant,
};

use crate::{agent::Options, upstream::Call};

/// How often expiries are checked when no event arrives.
const TICK: Duration = Duration::from_millis(20);

/// What an upstream announced.
#[derive(Debug, Clone, PartialEq, Eq, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Upstream {
    /// Where the agent calls it.
    pub(crate) address: SocketAddr,
    /// Tasks that it runs at the same time.
    pub(crate) slots: u32,
    /// Connections that it accepts.
    pub(crate) connections: u32,
    /// Kinds that it accepts; empty accepts all.
    #[serde(default)]
    pub(crate) kinds: Vec<String>,
    /// Largest task size.
    #[serde(default = "max_size")]
    pub(crate) size: u32,
    /// Its data centre.
    #[serde(default)]
    pub(crate) data_centre: String,
}

fn max_size() -> u32 {
    u32::MAX
}

/// What the announcers tell the entries.
#[derive(Debug, Clone, Default)]
pub(crate) struct Presence {
    pub(crate) upstream: Option<Upstream>,
    pub(crate) draining: bool,
    pub(crate) load: LoadReport,
    pub(crate) version: u64,
}

#[derive(Debug)]
pub(crate) enum Event {
    Run(RunRequest, oneshot::Sender<TaskReply>),
    Query(QueryRequest, oneshot::Sender<TaskReply>),
    Cancel(Vec<TaskId>),
    Collect(SubmissionKey, oneshot::Sender<CollectReply>),
    Finished(TaskId, TaskResult),
    /// The upstream refused the connection for a task.
    Unreached(TaskId),
    Announce(Upstream),
    Leave,
    Config(u64, Box<SiteConfig>),
    Stop,
    NotifyIdle(mpsc::Sender<()>),
    /// Sets the gauges, which are read when the metrics are rendered.
    Gauges(mpsc::Sender<()>),
    Kill,
}

#[derive(Debug)]
struct Order {
    kind: String,
    payload: Vec<u8>,
    deadline: Timestamp,
}

#[derive(Debug)]
struct Collecting {
    key: SubmissionKey,
    reply: oneshot::Sender<CollectReply>,
}

struct Control {
    core: AgentCore,
    start: Instant,
    names: Interner,
    teams: Interner,
    orders: HashMap<TaskId, Order>,
    waiters: HashMap<TaskId, Vec<oneshot::Sender<TaskReply>>>,
    collecting: Vec<Collecting>,
    idle: Vec<mpsc::Sender<()>>,
    calls: mpsc::Sender<Call>,
    presence: watch::Sender<Presence>,
    upstream: Option<Upstream>,
    renewed: Timestamp,
    expire_after: Duration,
    version: u64,
    is_stopping: bool,
}

/// Starts the control thread.
pub(crate) fn spawn(
    options: &Options,
    incarnation: Incarnation,
    inbox: mpsc::Receiver<Event>,
    calls: mpsc::Sender<Call>,
    presence: watch::Sender<Presence>,
    runtime: &Handle,
) -> io::Result<()> {
    let mut core = AgentCore::new(incarnation, options.ledger);
    core.set_clock(UnixMillis::now(), Timestamp::ZERO);
    let mut names = Interner::default();
    for (name, share) in &options.shares {
        core.set_share(KindId(names.intern(name)), *share);
    }

    let expire_after = options.expire_after;
    let runtime = runtime.clone();
    thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || {
            let _guard = runtime.enter();
            let control = Control {
                core,
                start: Instant::now(),
                names,
                teams: Interner::default(),
                orders: HashMap::new(),
                waiters: HashMap::new(),
                collecting: Vec::new(),
                idle: Vec::new(),
                calls,
                presence,
                upstream: None,
                renewed: Timestamp::ZERO,
                expire_after,
                version: 0,
                is_stopping: false,
            };
            control.run(inbox);
        })?;
    Ok(())
}

impl Control {
    fn run(mut self, inbox: mpsc::Receiver<Event>) {
        loop {
            match inbox.recv_timeout(TICK) {
                Ok(Event::Kill) | Err(mpsc::RecvTimeoutError::Disconnected) => return,
                Ok(event) => self.handle(event),
                Err(mpsc::RecvTimeoutError::Timeout) => {}
            }
            self.tick();
        }
    }

    fn now(&self) -> Timestamp {
        Timestamp::from_micros(self.start.elapsed().as_micros() as u64)
    }

    fn handle(&mut self, event: Event) {
        let now = self.now();
        match event {
            Event::Run(request, reply) => self.take_order(request, reply, now),
            Event::Query(request, reply) => self.query(request, reply, now),
            Event::Cancel(tasks) => {
                for task in tasks {
                    let actions = self.core.cancel(task, now);
                    self.perform(actions, now);
                }
            }
            Event::Collect(key, reply) => self.collect(key, reply, now),
            Event::Finished(task, result) => {
                count_end(&result);
                let actions = self.core.finish(task, result, now);
                self.perform(actions, now);
                self.answer_collects(now);
            }
            Event::Unreached(task) => {
                let actions = self.core.on_unreachable(task, now);
                self.perform(actions, now);
                self.publish(now, true);
                self.answer_collects(now);
            }
            Event::Announce(upstream) => self.announce(upstream, now),
            Event::Leave => self.leave(now),
            Event::Config(version, site) => self.take_config(version, &site, now),
            Event::Stop => {
                self.is_stopping = true;
                self.leave(now);
            }
            Event::NotifyIdle(sender) => self.idle.push(sender),
            Event::Gauges(done) => {
                self.set_gauges();
                let _ = done.send(());
            }
            Event::Kill => {}
        }
    }

    fn tick(&mut self) {
        let now = self.now();
        let is_expired = now.since(self.renewed) > self.expire_after;
        if self.upstream.is_some() && is_expired && !self.core.is_draining() {
            log::warn!("E201 upstream did not renew its announcement, draining");
            self.leave(now);
        }
        let actions = self.core.tick(now);
        self.perform(actions, now);
        if self.core.is_idle() {
            for sender in self.idle.drain(..) {
                let _ = sender.send(());
            }
        }
    }

    fn announce(&mut self, upstream: Upstream, now: Timestamp) {
        if self.is_stopping {
            return;
        }
        self.renewed = now;
        let is_new = self.core.is_draining() || self.upstream.as_ref() != Some(&upstream);
        if is_new {
            log::info!(
                "E202 upstream at {} announced {} slots",
                upstream.address,
                upstream.slots
            );
            self.core.set_slots(upstream.slots);
            self.upstream = Some(upstream);
            self.publish(now, false);
        }
    }

    fn leave(&mut self, now: Timestamp) {
        let actions = self.core.drain(now);
        self.perform(actions, now);
        self.publish(now, true);
    }

    fn publish(&self, now: Timestamp, draining: bool) {
        let load = self.load(now);
        let upstream = self.upstream.clone();
        let version = self.version;
        self.presence.send_replace(Presence {
            upstream,
            draining,
            load,
            version,
        });
    }

    /// Puts a newer version in force. An entry that lags behind does not take the agent back.
    fn take_config(&mut self, version: u64, site: &SiteConfig, now: Timestamp) {
        if version <= self.version {
            return;
        }
        for (name, kind) in &site.kinds {
            let id = KindId(self.names.intern(name));
            let share = KindShare {
                weight: kind.weight,
                urgency: kind.urgency,
            };
            self.core.set_share(id, share);
        }
        for (name, team) in &site.teams {
            let id = TeamId(self.teams.intern(name));
            self.core.set_team_weight(id, team.weight);
        }
        self.core.set_reserved_slots(site.limits.reserve);
        self.core
            .set_small_job_slots(site.limits.small_slots, site.limits.small_work);
        self.expire_after = site.time_outs.expire_after;
        self.version = version;
        log::info!("E212 version {version} is in force");
        self.publish(now, self.core.is_draining());
    }

    fn take_order(
        &mut self,
        request: RunRequest,
        reply: oneshot::Sender<TaskReply>,
        now: Timestamp,
    ) {
        let deadline = now + Duration::from_micros(request.time_left_us);
        let order = TaskRequest {
            task: request.task,
            kind: KindId(self.names.intern(&request.kind)),
            team: TeamId(self.teams.intern(&request.team)),
            remaining_work_us: request.remaining_work_us,
            deadline,
            incarnation: request.incarnation,
            entry: request.entry,
            sent_at: request.sent_at,
        };
        self.waiters.entry(request.task).or_default().push(reply);
        self.orders.entry(request.task).or_insert(Order {
            kind: request.kind,
            payload: request.payload,
            deadline,
        });
        let actions = self.core.run(order, now);
        self.perform(actions, now);
    }

    fn query(&mut self, request: QueryRequest, reply: oneshot::Sender<TaskReply>, now: Timestamp) {
        match self.core.query(request.task, request.incarnation, now) {
            TaskStatus::Pending => self.waiters.entry(request.task).or_default().push(reply),
            TaskStatus::Unproven => {
                let outcome = TaskOutcome::Unproven;
                let load = self.load(now);
                let _ = reply.send(TaskReply {
                    task: request.task,
                    outcome,
                    run_time_us: 0,
                    load,
                });
            }
            TaskStatus::Ended(verdict) => {
                let _ = reply.send(self.reply(request.task, verdict, now));
            }
        }
    }

    fn collect(
        &mut self,
        key: SubmissionKey,
        reply: oneshot::Sender<CollectReply>,
        now: Timestamp,
    ) {
        let collected = self.core.collect(key, now);
        self.perform(collected.actions, now);
        self.collecting.push(Collecting { key, reply });
        self.answer_collects(now);
    }

    fn answer_collects(&mut self, now: Timestamp) {
        let (ready, waiting): (Vec<_>, Vec<_>) = std::mem::take(&mut self.collecting)
            .into_iter()
            .partition(|c| self.core.running(c.key).is_empty());
        self.collecting = waiting;
        for collecting in ready {
            let collected = self.core.collect(collecting.key, now);
            let results = collected
                .ended
                .into_iter()
                .map(|(task, verdict)| (task.index, task_outcome(verdict).0));
            let _ = collecting.reply.send(CollectReply {
                results: results.collect(),
            });
        }
    }

    fn perform(&mut self, actions: Vec<Action>, now: Timestamp) {
        for action in actions {
            match action {
                Action::Call(task) => self.call(task, now),
                Action::Reply(task, verdict) => {
                    self.orders.remove(&task);
                    let reply = self.reply(task, verdict, now);
                    for waiter in self.waiters.remove(&task).unwrap_or_default() {
                        let _ = waiter.send(reply.clone());
                    }
                }
            }
        }
    }

    fn call(&mut self, task: TaskId, now: Timestamp) {
        let order = self
            .orders
            .get_mut(&task)
            .expect("a started task has an order");
        let upstream = self
            .upstream
            .as_ref()
            .expect("a task starts only at an announced upstream");
        let call = Call {
            task,
            kind: order.kind.clone(),
            payload: std::mem::take(&mut order.payload),
            address: upstream.address,
            slots: upstream.slots,
            connections: upstream.connections,
            remaining: order.deadline.since(now),
        };
        self.calls
            .send(call)
            .expect("the call threads outlive the control thread");
    }

    fn reply(&self, task: TaskId, verdict: RunOutcome, now: Timestamp) -> TaskReply {
        let (outcome, run) = task_outcome(verdict);
        TaskReply {
            task,
            outcome,
            run_time_us: run.as_micros() as u64,
            load: self.load(now),
        }
    }

    fn set_gauges(&self) {
        let slots = self.upstream.as_ref().map_or(0, |u| u.slots);
        let (marks, bytes) = self.core.dedup_usage();
        gauge!("figdeal_agent_slots").set(f64::from(slots));
        gauge!("figdeal_agent_busy_slots").set(f64::from(self.core.busy_slots()));
        gauge!("figdeal_agent_queued_tasks").set(self.core.queued() as f64);
        gauge!("figdeal_agent_marks").set(marks as f64);
        gauge!("figdeal_agent_held_bytes").set(bytes as f64);
        gauge!("figdeal_agent_draining").set(f64::from(u8::from(self.core.is_draining())));
        gauge!("figdeal_agent_config_version").set(self.version as f64);
    }

    fn load(&self, now: Timestamp) -> LoadReport {
        let AgentLoad {
            free_slots,
            queued,
            next_slot_wait,
            ..
        } = self.core.load(now);
        let queued = queued
            .into_iter()
            .map(|(k, n)| (self.names.name(k.0).to_owned(), n))
            .collect();
        LoadReport {
            free_slots,
            queued_tasks: queued,
            next_slot_wait_us: next_slot_wait.as_micros() as u64,
        }
    }
}

fn task_outcome(verdict: RunOutcome) -> (TaskOutcome, Duration) {
    match verdict {
        RunOutcome::Ran {
            result: TaskResult::Done(bytes),
            run_time,
        } => (TaskOutcome::Done(bytes), run_time),
        RunOutcome::Ran {
            result: TaskResult::Failed,
            run_time,
        } => (TaskOutcome::Failed, run_time),
        RunOutcome::Ran {
            result: TaskResult::Unknown,
            run_time,
        } => (TaskOutcome::Unknown, run_time),
        RunOutcome::ResultDropped => (TaskOutcome::Unknown, Duration::ZERO),
        RunOutcome::NotStarted(declined) => {
            (TaskOutcome::NotStarted(reason(declined)), Duration::ZERO)
        }
    }
}

fn reason(declined: DeclineReason) -> NotStartedReason {
    match declined {
        DeclineReason::Incarnation => NotStartedReason::Incarnation,
        DeclineReason::Draining => NotStartedReason::Draining,
        DeclineReason::Full => NotStartedReason::Full,
        DeclineReason::Fenced => NotStartedReason::Fenced,
        DeclineReason::Deadline => NotStartedReason::Deadline,
        DeclineReason::Cancelled => NotStartedReason::Cancelled,
        DeclineReason::Stale => NotStartedReason::Stale,
    }
}

fn count_end(result: &TaskResult) {
    let state = match result {
        TaskResult::Done(_) => "done",
        TaskResult::Failed => "failed",
        TaskResult::Unknown => "may_have_run",
    };
    counter!("figdeal_agent_tasks_total", "state" => state).increment(1);
}
