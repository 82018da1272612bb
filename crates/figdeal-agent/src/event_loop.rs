//! Event loop of the agent: the thread that owns the state of the agent and processes all events.

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

use crate::{agent::Options, upstream::UpstreamCall};

/// Interval at which timeouts are checked when no event arrives.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Announcement of an upstream.
#[derive(Debug, Clone, PartialEq, Eq, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Upstream {
    /// Address at which the agent calls the upstream.
    pub(crate) address: SocketAddr,
    /// Number of tasks that the upstream runs concurrently.
    pub(crate) slots: u32,
    /// Number of connections that the upstream accepts.
    pub(crate) connections: u32,
    /// Kinds that the upstream accepts. An empty list accepts all.
    #[serde(default)]
    pub(crate) kinds: Vec<String>,
    /// Largest task size, as declared by callers, that the upstream accepts.
    #[serde(default = "max_size")]
    pub(crate) size: u32,
    /// Data centre of the upstream; if empty, that of the agent applies.
    #[serde(default)]
    pub(crate) data_centre: String,
}

fn max_size() -> u32 {
    u32::MAX
}

/// State that the announcers announce to the entries.
#[derive(Debug, Clone, Default)]
pub(crate) struct AnnouncedState {
    pub(crate) upstream: Option<Upstream>,
    pub(crate) draining: bool,
    pub(crate) load: LoadReport,
    pub(crate) config_version: u64,
}

/// Event that the event loop processes.
#[derive(Debug)]
pub(crate) enum Event {
    Run(RunRequest, oneshot::Sender<TaskReply>),
    Query(QueryRequest, oneshot::Sender<TaskReply>),
    Cancel(Vec<TaskId>),
    Collect(SubmissionKey, oneshot::Sender<CollectReply>),
    RunFinished(TaskId, TaskResult),
    /// The upstream refused the connection for a task, so the task did not start.
    UpstreamUnreachable(TaskId),
    UpstreamAnnounced(Upstream),
    UpstreamLeft,
    ConfigReceived(u64, Box<SiteConfig>),
    /// The agent shuts down: drains and ignores further announcements of the upstream.
    Drain,
    /// Notifies the sender once no task is queued or running.
    NotifyIdle(mpsc::Sender<()>),
    /// Updates the gauges and confirms, so that the metrics can be rendered.
    UpdateGauges(oneshot::Sender<()>),
    /// Ends the event loop at once, like a crash.
    Kill,
}

/// Content of a task, kept until the task ends.
#[derive(Debug)]
struct TaskBody {
    kind: String,
    payload: Vec<u8>,
    deadline: Timestamp,
}

/// A collect request that waits until the running tasks of the submission have ended.
#[derive(Debug)]
struct PendingCollect {
    key: SubmissionKey,
    reply: oneshot::Sender<CollectReply>,
}

/// State of the event loop.
struct EventLoop {
    core: AgentCore,
    start: Instant,
    kind_names: Interner,
    team_names: Interner,
    task_bodies: HashMap<TaskId, TaskBody>,
    /// Requests that wait for the outcome of a task.
    reply_waiters: HashMap<TaskId, Vec<oneshot::Sender<TaskReply>>>,
    pending_collects: Vec<PendingCollect>,
    /// Notified once no task is queued or running.
    idle_waiters: Vec<mpsc::Sender<()>>,
    calls: mpsc::Sender<UpstreamCall>,
    announced: watch::Sender<AnnouncedState>,
    upstream: Option<Upstream>,
    /// When the upstream last announced itself.
    last_announced_at: Timestamp,
    /// Time without an announcement of the upstream after which the agent drains.
    expire_after: Duration,
    /// Version of the applied configuration, 0 before the first.
    config_version: u64,
    /// Set by [`Event::Drain`]; announcements of the upstream are then ignored.
    is_stopping: bool,
}

/// Starts the thread of the event loop.
pub(crate) fn spawn(
    options: &Options,
    incarnation: Incarnation,
    events: mpsc::Receiver<Event>,
    calls: mpsc::Sender<UpstreamCall>,
    state: watch::Sender<AnnouncedState>,
    runtime: &Handle,
) -> io::Result<()> {
    let mut core = AgentCore::new(incarnation, options.dedup_limits);
    core.set_clock(UnixMillis::now(), Timestamp::ZERO);
    let mut kind_names = Interner::default();
    for (name, share) in &options.shares {
        core.set_share(KindId(kind_names.intern(name)), *share);
    }

    let expire_after = options.expire_after;
    let runtime = runtime.clone();
    thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || {
            let _guard = runtime.enter();
            let event_loop = EventLoop {
                core,
                start: Instant::now(),
                kind_names,
                team_names: Interner::default(),
                task_bodies: HashMap::new(),
                reply_waiters: HashMap::new(),
                pending_collects: Vec::new(),
                idle_waiters: Vec::new(),
                calls,
                announced: state,
                upstream: None,
                last_announced_at: Timestamp::ZERO,
                expire_after,
                config_version: 0,
                is_stopping: false,
            };
            event_loop.run(events);
        })?;
    Ok(())
}

impl EventLoop {
    fn run(mut self, events: mpsc::Receiver<Event>) {
        loop {
            match events.recv_timeout(TICK_INTERVAL) {
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
            Event::Run(request, reply) => self.submit_task(request, reply, now),
            Event::Query(request, reply) => self.query(request, reply, now),
            Event::Cancel(tasks) => {
                for task in tasks {
                    let actions = self.core.cancel(task, now);
                    self.run_actions(actions, now);
                }
            }
            Event::Collect(key, reply) => self.collect(key, reply, now),
            Event::RunFinished(task, result) => {
                count_result(&result);
                let actions = self.core.finish(task, result, now);
                self.run_actions(actions, now);
                self.reply_to_collects(now);
            }
            Event::UpstreamUnreachable(task) => {
                let actions = self.core.on_unreachable(task, now);
                self.run_actions(actions, now);
                self.publish_state(now, true);
                self.reply_to_collects(now);
            }
            Event::UpstreamAnnounced(upstream) => self.on_announcement(upstream, now),
            Event::UpstreamLeft => self.drain(now),
            Event::ConfigReceived(version, site) => self.apply_config(version, &site, now),
            Event::Drain => {
                self.is_stopping = true;
                self.drain(now);
            }
            Event::NotifyIdle(sender) => self.idle_waiters.push(sender),
            Event::UpdateGauges(done) => {
                self.set_gauges();
                let _ = done.send(());
            }
            // Handled by `run`.
            Event::Kill => {}
        }
    }

    fn tick(&mut self) {
        let now = self.now();
        let is_expired = now.since(self.last_announced_at) > self.expire_after;
        if self.upstream.is_some() && is_expired && !self.core.is_draining() {
            log::warn!("E201 upstream announcement expired, draining");
            self.drain(now);
        }
        let actions = self.core.tick(now);
        self.run_actions(actions, now);
        if self.core.is_idle() {
            for sender in self.idle_waiters.drain(..) {
                let _ = sender.send(());
            }
        }
    }

    fn on_announcement(&mut self, upstream: Upstream, now: Timestamp) {
        if self.is_stopping {
            return;
        }
        self.last_announced_at = now;
        let is_new = self.core.is_draining() || self.upstream.as_ref() != Some(&upstream);
        if is_new {
            log::info!(
                "E202 upstream at {} announced {} slots",
                upstream.address,
                upstream.slots
            );
            self.core.set_slots(upstream.slots);
            self.upstream = Some(upstream);
            self.publish_state(now, false);
        }
    }

    fn drain(&mut self, now: Timestamp) {
        let actions = self.core.drain(now);
        self.run_actions(actions, now);
        self.publish_state(now, true);
    }

    fn publish_state(&self, now: Timestamp, draining: bool) {
        let load = self.load(now);
        let upstream = self.upstream.clone();
        let config_version = self.config_version;
        self.announced.send_replace(AnnouncedState {
            upstream,
            draining,
            load,
            config_version,
        });
    }

    /// Applies a newer version of the configuration. Older versions, from an entry that lags behind, are ignored.
    fn apply_config(&mut self, version: u64, site: &SiteConfig, now: Timestamp) {
        if version <= self.config_version {
            return;
        }
        for (name, kind) in &site.kinds {
            let id = KindId(self.kind_names.intern(name));
            let share = KindShare {
                weight: kind.weight,
                urgency: kind.urgency,
            };
            self.core.set_share(id, share);
        }
        for (name, team) in &site.teams {
            let id = TeamId(self.team_names.intern(name));
            self.core.set_team_weight(id, team.weight);
        }
        self.core.set_reserved_slots(site.limits.reserve);
        self.core
            .set_small_job_slots(site.limits.small_slots, site.limits.small_work);
        self.expire_after = site.time_outs.expire_after;
        self.config_version = version;
        log::info!("E212 version {version} is in force");
        self.publish_state(now, self.core.is_draining());
    }

    fn submit_task(
        &mut self,
        request: RunRequest,
        reply: oneshot::Sender<TaskReply>,
        now: Timestamp,
    ) {
        let deadline = now + Duration::from_micros(request.time_left_us);
        let task_request = TaskRequest {
            task: request.task,
            kind: KindId(self.kind_names.intern(&request.kind)),
            team: TeamId(self.team_names.intern(&request.team)),
            remaining_work_us: request.remaining_work_us,
            deadline,
            incarnation: request.incarnation,
            entry: request.entry,
            sent_at: request.sent_at,
        };
        self.reply_waiters
            .entry(request.task)
            .or_default()
            .push(reply);
        self.task_bodies.entry(request.task).or_insert(TaskBody {
            kind: request.kind,
            payload: request.payload,
            deadline,
        });
        let actions = self.core.run(task_request, now);
        self.run_actions(actions, now);
    }

    fn query(&mut self, request: QueryRequest, reply: oneshot::Sender<TaskReply>, now: Timestamp) {
        match self.core.query(request.task, request.incarnation, now) {
            TaskStatus::Pending => self
                .reply_waiters
                .entry(request.task)
                .or_default()
                .push(reply),
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
            TaskStatus::Ended(outcome) => {
                let _ = reply.send(self.reply(request.task, outcome, now));
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
        self.run_actions(collected.actions, now);
        self.pending_collects.push(PendingCollect { key, reply });
        self.reply_to_collects(now);
    }

    fn reply_to_collects(&mut self, now: Timestamp) {
        let (ready, waiting): (Vec<_>, Vec<_>) = std::mem::take(&mut self.pending_collects)
            .into_iter()
            .partition(|c| self.core.running(c.key).is_empty());
        self.pending_collects = waiting;
        for pending in ready {
            let collected = self.core.collect(pending.key, now);
            let results = collected
                .ended
                .into_iter()
                .map(|(task, outcome)| (task.index, task_outcome(outcome).0));
            let _ = pending.reply.send(CollectReply {
                results: results.collect(),
            });
        }
    }

    fn run_actions(&mut self, actions: Vec<Action>, now: Timestamp) {
        for action in actions {
            match action {
                Action::Call(task) => self.call_upstream(task, now),
                Action::Reply(task, outcome) => {
                    self.task_bodies.remove(&task);
                    let reply = self.reply(task, outcome, now);
                    for waiter in self.reply_waiters.remove(&task).unwrap_or_default() {
                        let _ = waiter.send(reply.clone());
                    }
                }
            }
        }
    }

    fn call_upstream(&mut self, task: TaskId, now: Timestamp) {
        let body = self
            .task_bodies
            .get_mut(&task)
            .expect("a started task has a body");
        let upstream = self
            .upstream
            .as_ref()
            .expect("a task starts only at an announced upstream");
        let call = UpstreamCall {
            task,
            kind: body.kind.clone(),
            payload: std::mem::take(&mut body.payload),
            address: upstream.address,
            slots: upstream.slots,
            connections: upstream.connections,
            time_left: body.deadline.since(now),
        };
        self.calls
            .send(call)
            .expect("the call threads outlive the event loop");
    }

    fn reply(&self, task: TaskId, outcome: RunOutcome, now: Timestamp) -> TaskReply {
        let (outcome, run) = task_outcome(outcome);
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
        gauge!("figdeal_agent_config_version").set(self.config_version as f64);
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
            .map(|(k, n)| (self.kind_names.name(k.0).to_owned(), n))
            .collect();
        LoadReport {
            free_slots,
            queued_tasks: queued,
            next_slot_wait_us: next_slot_wait.as_micros() as u64,
        }
    }
}

fn task_outcome(outcome: RunOutcome) -> (TaskOutcome, Duration) {
    match outcome {
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
        RunOutcome::NotStarted(reason) => (
            TaskOutcome::NotStarted(not_started_reason(reason)),
            Duration::ZERO,
        ),
    }
}

fn not_started_reason(reason: DeclineReason) -> NotStartedReason {
    match reason {
        DeclineReason::Incarnation => NotStartedReason::Incarnation,
        DeclineReason::Draining => NotStartedReason::Draining,
        DeclineReason::Full => NotStartedReason::Full,
        DeclineReason::Fenced => NotStartedReason::Fenced,
        DeclineReason::Deadline => NotStartedReason::Deadline,
        DeclineReason::Cancelled => NotStartedReason::Cancelled,
        DeclineReason::Stale => NotStartedReason::Stale,
    }
}

fn count_result(result: &TaskResult) {
    let state = match result {
        TaskResult::Done(_) => "done",
        TaskResult::Failed => "failed",
        TaskResult::Unknown => "may_have_run",
    };
    counter!("figdeal_agent_tasks_total", "state" => state).increment(1);
}
