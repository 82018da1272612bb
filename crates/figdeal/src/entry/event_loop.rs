//! The event loop of an entry: one thread that owns its job table, claims and fleet view and performs their actions.

use std::{
    collections::HashMap,
    io,
    sync::{Arc, atomic::Ordering, mpsc},
    thread,
    time::Duration,
};

use figdeal_core::{
    agent::{DeclineReason, RunOutcome},
    claim::{ClaimReply, ClaimRequest},
    dedup::TaskResult,
    entry::{
        Action, Answer, ClaimResult, CollectedResults, EntryCore, Submission, TakeoverRequest,
        TaskSpec, WaiterId,
    },
    fleet::{AgentInfo, AgentKey, AgentLoad},
    id::{EntryId, Incarnation, Interner, KindId, SubmissionKey, TaskId, TeamId},
    time::Timestamp,
};
use figdeal_wire::{
    channel::{self, Channel, ChannelTimeouts},
    message::{
        AnnounceReply, Announcement, CollectReply, LoadReport, NotStartedReason, OwnerRecord,
        PeerQuery, TaskOutcome, TaskReply,
    },
    message_count::{self, MessageClass},
    service::AgentRpcClient,
};
use serde_json::{Value, json};
use tokio::{runtime::Handle, sync::oneshot, time::Instant};

mod agent_calls;
mod observe;

use super::{Options, SharedState, claims::ClaimDriver, config_store, peers::Peers};
use crate::{
    report::{BurnReport, BurnTracker},
    rules::Rules,
    submission::JobRequest,
};

/// Maximum number of queued events that are processed between two ticks.
const MAX_EVENTS_PER_TICK: usize = 256;
/// Maximum time between two ticks.
const MAX_TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Delay before an agent is queried about a task, and before a failed collection is repeated.
const QUERY_DELAY: Duration = Duration::from_millis(200);
/// Timeout of a query about a task; after it the agent is asked again.
const QUERY_TIMEOUT: Duration = Duration::from_secs(30);
/// Number of attempts to collect the results of a submission from an agent before the agent is considered gone.
const MAX_COLLECT_ATTEMPTS: u32 = 3;
/// Timeout of a cancel request to an agent.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);

/// Callback that delivers the answer to one request.
pub(crate) type Responder = Box<dyn FnOnce(Answer) + Send>;

/// Request that is forwarded to the other entries when this one does not know the submission.
#[derive(Debug, Clone, Copy)]
enum PeerSearch {
    Fetch { wait: bool },
    Cancel,
}

pub(crate) enum Event {
    Submit {
        job: JobRequest,
        wait: bool,
        responder: Responder,
    },
    Fetch {
        key: SubmissionKey,
        wait: bool,
        responder: Responder,
    },
    Cancel {
        key: SubmissionKey,
        responder: Responder,
    },
    Status(Box<dyn FnOnce(Value) + Send>),
    Report(Box<dyn FnOnce(BurnReport) + Send>),
    /// Updates the gauges before the metrics are rendered.
    UpdateGauges(oneshot::Sender<()>),
    Announce(Announcement, oneshot::Sender<AnnounceReply>),
    ClaimRequest(ClaimRequest, oneshot::Sender<ClaimReply>),
    /// Reply of another entry to a claim request; `None` if it could not be reached.
    ClaimReply {
        from: EntryId,
        keys: Vec<SubmissionKey>,
        reply: Option<ClaimReply>,
    },
    PeerFetch {
        key: SubmissionKey,
        wait: bool,
        responder: Responder,
    },
    /// Collects the results of a submission whose owner is gone.
    TakeOver {
        request: TakeoverRequest,
        responder: Responder,
    },
    PeerCancel(SubmissionKey, Responder),
    FindOwner(SubmissionKey, oneshot::Sender<Option<OwnerRecord>>),
    /// Reply of an agent to a task or to a query about it.
    TaskReply {
        agent: AgentKey,
        task: TaskId,
        reply: channel::Result<TaskReply>,
    },
    /// The connection for a task could not be opened.
    ConnectFailed {
        agent: AgentKey,
        task: TaskId,
    },
    /// Results that an agent holds; `None` if it could not be reached.
    CollectReply {
        agent: AgentKey,
        key: SubmissionKey,
        reply: Option<CollectReply>,
    },
    /// Answer of the owner of a submission; `None` if it is gone or has restarted.
    OwnerAnswer {
        key: SubmissionKey,
        answer: Option<Answer>,
    },
    /// Refuses new jobs from now on; the sender is notified when no job is in progress.
    Stop(mpsc::Sender<()>),
    /// Ends the thread at once.
    Kill,
}

struct EventLoop {
    id: EntryId,
    core: EntryCore,
    claims: ClaimDriver,
    started_at: Instant,
    kinds: Interner,
    teams: Interner,
    shared: Arc<SharedState>,
    events: mpsc::Sender<Event>,
    runtime: Handle,
    channel_timeouts: ChannelTimeouts,
    peers: Peers,
    agents: HashMap<AgentKey, Arc<Channel<AgentRpcClient>>>,
    responders: HashMap<WaiterId, Responder>,
    next_waiter: u64,
    /// Notified when no job is in progress; not empty once the entry is stopping.
    idle_waiters: Vec<mpsc::Sender<()>>,
    burn_tracker: BurnTracker,
    /// Number of entries, including this one; a quota is divided by it.
    entry_count: u32,
    applied_rules: Option<Arc<Rules>>,
}

/// Starts the event loop in a thread of its own.
pub(crate) fn spawn(
    options: &Options,
    incarnation: Incarnation,
    inbox: mpsc::Receiver<Event>,
    events: mpsc::Sender<Event>,
    shared: Arc<SharedState>,
    runtime: &Handle,
) -> io::Result<()> {
    let options = options.clone();
    let runtime = runtime.clone();
    thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || {
            let _guard = runtime.enter();
            let mut event_loop = EventLoop {
                id: options.id,
                core: EntryCore::new(options.rules.entry_limits, incarnation.0),
                claims: ClaimDriver::new(&options, incarnation),
                started_at: Instant::now(),
                kinds: Interner::default(),
                teams: Interner::default(),
                shared,
                events,
                runtime: runtime.clone(),
                channel_timeouts: options.rules.channel_timeouts,
                peers: Peers::new(&options.peers, options.rules.channel_timeouts),
                agents: HashMap::new(),
                responders: HashMap::new(),
                next_waiter: 0,
                idle_waiters: Vec::new(),
                burn_tracker: BurnTracker::default(),
                entry_count: options.peers.len() as u32 + 1,
                applied_rules: None,
            };
            event_loop.apply_rules();
            event_loop.run(inbox);
        })?;
    Ok(())
}

impl EventLoop {
    fn run(mut self, inbox: mpsc::Receiver<Event>) {
        loop {
            match inbox.recv_timeout(self.next_tick_timeout()) {
                Ok(Event::Kill) | Err(mpsc::RecvTimeoutError::Disconnected) => return,
                Ok(event) => self.process_event(event),
                Err(mpsc::RecvTimeoutError::Timeout) => {}
            }
            // Events that are already queued share one claim message to each entry with this one.
            for event in inbox.try_iter().take(MAX_EVENTS_PER_TICK) {
                if matches!(event, Event::Kill) {
                    return;
                }
                self.process_event(event);
            }
            self.tick();
        }
    }

    /// Handles an event and performs its actions at once: a later event may remove the agent that an action names.
    fn process_event(&mut self, event: Event) {
        self.handle(event);
        self.perform_actions();
    }

    fn next_tick_timeout(&self) -> Duration {
        let now = self.now();
        let wakes = [self.core.next_wake(), self.claims.next_wake()];
        let wake = wakes.into_iter().flatten().min();
        wake.map_or(MAX_TICK_INTERVAL, |at| at.since(now).min(MAX_TICK_INTERVAL))
    }

    fn tick(&mut self) {
        let now = self.now();
        self.apply_rules();
        self.core.set_claims_scarce(self.claims.is_scarce());
        self.core.tick(now);
        let decided = self.claims.tick(now);
        self.apply_decisions(decided, now);
        self.perform_actions();
        self.claims.flush(&self.peers, &self.events, now);
        if self.claims.is_ready(now) {
            self.shared.can_claim.store(true, Ordering::Relaxed);
        }
        self.record_finished_jobs(now);
        self.close_unused_channels();
        self.notify_idle();
    }

    /// Closes the connections to agents that were removed from the fleet view.
    fn close_unused_channels(&mut self) {
        if self.agents.len() > self.core.fleet().iter().len() {
            let fleet = self.core.fleet();
            self.agents.retain(|key, _| fleet.get(*key).is_some());
        }
    }

    fn apply_decisions(&mut self, decided: Vec<(SubmissionKey, ClaimResult)>, now: Timestamp) {
        for (key, claimed) in decided {
            observe::count_claim(claimed);
            self.core.on_claim_result(key, claimed, now);
        }
    }

    fn now(&self) -> Timestamp {
        Timestamp::from_micros(self.started_at.elapsed().as_micros() as u64)
    }

    /// Applies the rules if they changed. The comparison by pointer makes the check cheap for unchanged rules.
    fn apply_rules(&mut self) {
        let rules = self.shared.rules();
        if self
            .applied_rules
            .as_ref()
            .is_some_and(|applied| Arc::ptr_eq(applied, &rules))
        {
            return;
        }
        let had_version = self
            .applied_rules
            .as_ref()
            .is_some_and(|applied| applied.version > 0);
        if rules.version > 0 && !had_version {
            self.claims.configure(rules.claim_limits);
        }
        self.core.set_limits(rules.entry_limits);
        let entries = self.entry_count;
        for (name, rule) in &rules.kinds {
            let kind = KindId(self.kinds.intern(name));
            self.core.set_share(kind, rule.share);
            self.core.set_queue_bound(kind, rule.queue_bound);
        }
        for (name, rule) in &rules.teams {
            let team = TeamId(self.teams.intern(name));
            self.core.set_quota(team, rule.max_tasks.div_ceil(entries));
        }
        self.burn_tracker
            .set_objectives(&rules.objectives, &mut self.kinds, &mut self.teams);
        self.applied_rules = Some(rules);
    }

    fn handle(&mut self, event: Event) {
        let now = self.now();
        match event {
            Event::Submit {
                job,
                wait,
                responder,
            } => {
                if !self.idle_waiters.is_empty() && !self.core.contains(job.key()) {
                    return responder(Answer::Undecided);
                }
                let waiter = self.add_waiter(responder);
                let submission = self.build_submission(job);
                self.core.submit(submission, waiter, wait, now);
            }
            Event::Fetch {
                key,
                wait,
                responder,
            } => {
                let search = PeerSearch::Fetch { wait };
                let waiter = self.add_waiter(self.search_peers(key, responder, search));
                self.core.fetch(key, waiter, wait, now);
            }
            Event::Cancel { key, responder } => {
                let waiter = self.add_waiter(self.search_peers(key, responder, PeerSearch::Cancel));
                self.core.cancel(key, waiter, now);
            }
            Event::PeerFetch {
                key,
                wait,
                responder,
            } => {
                let waiter = self.add_waiter(responder);
                self.core.fetch(key, waiter, wait, now);
            }
            Event::TakeOver { request, responder } => {
                let waiter = self.add_waiter(responder);
                self.core.take_over(request, waiter, now);
            }
            Event::PeerCancel(key, responder) => {
                let waiter = self.add_waiter(responder);
                self.core.cancel_owned(key, waiter, now);
            }
            Event::Status(responder) => responder(self.status(now)),
            Event::Report(responder) => responder(self.burn_tracker.report(now)),
            Event::UpdateGauges(done) => {
                self.set_gauges(now);
                let _ = done.send(());
            }
            Event::Announce(announcement, reply) => {
                self.on_announcement(announcement, now);
                let _ = reply.send(AnnounceReply {
                    entry: self.id,
                    config_version: self.shared.rules().version,
                });
            }
            Event::ClaimRequest(request, reply) => {
                // Without a configuration the claim limits are unknown; the sender asks another entry.
                if self.shared.is_configured() {
                    let _ = reply.send(self.claims.on_request(&request, now));
                }
            }
            Event::ClaimReply { from, keys, reply } => {
                let decided = self.claims.on_reply(from, &keys, reply, now);
                self.apply_decisions(decided, now);
            }
            Event::FindOwner(key, reply) => {
                let _ = reply.send(self.claims.find_owner(key));
            }
            Event::TaskReply { agent, task, reply } => self.on_task_reply(agent, task, reply, now),
            Event::ConnectFailed { agent, task } => self.core.on_connect_failed(agent, task, now),
            Event::CollectReply { agent, key, reply } => {
                let held = reply.map(collected_results);
                self.core.on_collected(agent, key, held, now);
            }
            Event::OwnerAnswer { key, answer } => self.core.on_owner_answer(key, answer, now),
            Event::Stop(sender) => self.idle_waiters.push(sender),
            Event::Kill => {}
        }
    }

    fn notify_idle(&mut self) {
        if !self.idle_waiters.is_empty() && self.core.open_jobs() == 0 && self.responders.is_empty()
        {
            for sender in self.idle_waiters.drain(..) {
                let _ = sender.send(());
            }
        }
    }

    fn add_waiter(&mut self, responder: Responder) -> WaiterId {
        self.next_waiter += 1;
        let waiter = WaiterId(self.next_waiter);
        self.responders.insert(waiter, responder);
        waiter
    }

    /// Wraps `responder` so that an answer `Unknown` makes this entry ask the other entries. If none of them has the
    /// answer, but an entry has a record of the submission's owner, this entry takes the submission over and collects
    /// its results.
    fn search_peers(
        &self,
        key: SubmissionKey,
        responder: Responder,
        search: PeerSearch,
    ) -> Responder {
        let peers = self.peers.clone();
        let runtime = self.runtime.clone();
        let events = self.events.clone();
        let known = self.claims.find_owner(key);
        Box::new(move |answer| {
            if answer != Answer::Unknown {
                return responder(answer);
            }
            runtime.spawn(async move {
                let found = match search {
                    PeerSearch::Cancel => peers.cancel_at_any(key).await,
                    PeerSearch::Fetch { wait } => peers.find_answer(key, wait).await,
                };
                if let Some(answer) = found {
                    return responder(answer);
                }
                let record = match known {
                    Some(record) => Some(record),
                    None => peers.find_owner(key).await,
                };
                let Some(OwnerRecord {
                    digest,
                    created,
                    owner,
                }) = record
                else {
                    return responder(Answer::Unknown);
                };
                let request = TakeoverRequest {
                    key,
                    digest,
                    created,
                    owner,
                };
                let _ = events.send(Event::TakeOver { request, responder });
            });
        })
    }

    fn build_submission(&mut self, job: JobRequest) -> Submission {
        let rules = self.shared.rules();
        let (key, digest, created) = (job.key(), job.digest(), job.created_at());
        let team = TeamId(self.teams.intern(&job.team));
        let tasks = job
            .tasks
            .into_iter()
            .map(|task| TaskSpec {
                kind: KindId(self.kinds.intern(&task.kind)),
                deadline: task.deadline(&rules),
                size: task.size,
                declared_run_time: task.run_ms.map(Duration::from_millis),
                payload: task.payload.into_bytes().into(),
            })
            .collect();
        Submission {
            key,
            digest,
            created,
            team,
            tasks,
        }
    }

    fn on_announcement(&mut self, announcement: Announcement, now: Timestamp) {
        let kinds = announcement
            .kinds
            .iter()
            .map(|k| KindId(self.kinds.intern(k)))
            .collect();
        let load = self.agent_load(&announcement.load);
        let info = AgentInfo {
            name: announcement.name,
            address: announcement.address,
            incarnation: announcement.incarnation,
            slots: announcement.slots,
            kinds,
            max_task_size: announcement.max_task_size,
            draining: announcement.draining,
        };
        let address = info.address.clone();
        let Some(key) = self.core.announce(info, load, now) else {
            return;
        };
        let timeouts = self.channel_timeouts;
        let channel = self
            .agents
            .entry(key)
            .or_insert_with(|| Channel::new(&*address, timeouts));
        if channel.peer() != address {
            *channel = Channel::new(address, timeouts);
        }
    }

    fn agent_load(&mut self, report: &LoadReport) -> AgentLoad {
        let queued = report
            .queued_tasks
            .iter()
            .map(|(k, n)| (KindId(self.kinds.intern(k)), *n))
            .collect();
        AgentLoad {
            free_slots: report.free_slots,
            queued,
            next_slot_wait: Duration::from_micros(report.next_slot_wait_us),
        }
    }

    fn on_task_reply(
        &mut self,
        agent: AgentKey,
        task: TaskId,
        reply: channel::Result<TaskReply>,
        now: Timestamp,
    ) {
        let reply = match reply {
            Ok(reply) => reply,
            Err(e) => {
                log::info!(
                    "E304 connection to an agent failed while a task was in progress: {e}; task={task}"
                );
                return self.core.on_connection_lost(agent, task);
            }
        };
        assert_eq!(
            reply.task, task,
            "the reply is for another task than the request"
        );
        let load = self.agent_load(&reply.load);
        let run_time = Duration::from_micros(reply.run_time_us);
        let outcome = match reply.outcome {
            TaskOutcome::Done(bytes) => RunOutcome::Ran {
                result: TaskResult::Done(bytes),
                run_time,
            },
            TaskOutcome::Failed => RunOutcome::Ran {
                result: TaskResult::Failed,
                run_time,
            },
            TaskOutcome::Unknown => RunOutcome::Ran {
                result: TaskResult::Unknown,
                run_time: Duration::ZERO,
            },
            TaskOutcome::NotStarted(reason) => RunOutcome::NotStarted(decline_reason(reason)),
            TaskOutcome::Unproven => {
                return self.core.on_incarnation_gone(agent, task, now);
            }
        };
        self.core
            .on_run_outcome(agent, task, outcome, Some(load), now);
    }

    fn perform_actions(&mut self) {
        loop {
            let actions = self.core.take_actions();
            if actions.is_empty() {
                return;
            }
            for action in actions {
                self.perform_action(action);
            }
        }
    }

    fn perform_action(&mut self, action: Action) {
        match action {
            Action::Claim {
                key,
                digest,
                created,
                dead_owner,
            } => {
                let now = self.now();
                let decided = self.claims.start((key, digest, created), dead_owner, now);
                self.apply_decisions(decided, now);
            }
            Action::AwaitAnswer {
                key,
                owner,
                incarnation,
            } => {
                let peers = self.peers.clone();
                let events = self.events.clone();
                self.runtime.spawn(async move {
                    let query = PeerQuery {
                        key,
                        wait: true,
                        incarnation: Some(incarnation),
                    };
                    let answer = peers.await_owner(owner, query).await;
                    let _ = events.send(Event::OwnerAnswer { key, answer });
                });
            }
            Action::Run(dispatch) => self.send_run(dispatch),
            Action::Query { agent, task } => self.send_query(agent, task),
            Action::Cancel { agent, tasks } => {
                let Some(channel) = self.agents.get(&agent).cloned() else {
                    return;
                };
                self.runtime.spawn(async move {
                    message_count::record(MessageClass::Recovery);
                    let call = channel.call(CANCEL_TIMEOUT, |client, context| async move {
                        client.cancel(context, tasks).await
                    });
                    match call.await {
                        Ok(()) => message_count::record(MessageClass::Recovery),
                        Err(e) => log::info!("E305 cancel request to an agent failed: {e}"),
                    }
                });
            }
            Action::CancelAtOwner { key, owner } => {
                let peers = self.peers.clone();
                self.runtime
                    .spawn(async move { peers.cancel_at_owner(owner, key).await });
            }
            Action::Collect {
                agent,
                key,
                timeout,
            } => self.send_collect(agent, key, timeout),
            Action::Answer { waiter, answer } => {
                let responder = self
                    .responders
                    .remove(&waiter)
                    .expect("a waiter is answered only once");
                responder(answer);
            }
        }
    }

    fn status(&self, now: Timestamp) -> Value {
        let agents: Vec<Value> = self
            .core
            .fleet()
            .status(now)
            .iter()
            .map(observe::agent_json)
            .collect();
        let queue: serde_json::Map<String, Value> = self
            .shared
            .rules()
            .kinds
            .keys()
            .filter_map(|name| Some((name, self.kinds.get(name)?)))
            .map(|(name, id)| (name.clone(), json!(self.core.queued(KindId(id)))))
            .collect();
        let counts = self.core.counts();
        json!({
            "entry": self.id.0,
            "version": self.shared.rules().version,
            "version_age_ms": self.shared.active_config().map(|f| config_store::config_age(&f).as_millis() as u64),
            "agents": agents,
            "queue": queue,
            "queued": self.core.queue_len(),
            "open_jobs": self.core.open_jobs(),
            "counts": {
                "sent": counts.sent,
                "replaced": counts.replaced,
                "complete": counts.complete,
                "failed": counts.failed,
                "not_run": counts.refused,
                "cancelled": counts.cancelled,
            },
        })
    }
}

fn decline_reason(reason: NotStartedReason) -> DeclineReason {
    match reason {
        NotStartedReason::Incarnation => DeclineReason::Incarnation,
        NotStartedReason::Draining => DeclineReason::Draining,
        NotStartedReason::Full => DeclineReason::Full,
        NotStartedReason::Fenced => DeclineReason::Fenced,
        NotStartedReason::Deadline => DeclineReason::Deadline,
        NotStartedReason::Cancelled => DeclineReason::Cancelled,
        NotStartedReason::Stale => DeclineReason::Stale,
    }
}

fn collected_results(reply: CollectReply) -> CollectedResults {
    let results = reply
        .results
        .into_iter()
        .map(|(index, word)| {
            let result = match word {
                TaskOutcome::Done(bytes) => TaskResult::Done(bytes),
                TaskOutcome::Failed => TaskResult::Failed,
                _ => TaskResult::Unknown,
            };
            (index, result)
        })
        .collect();
    CollectedResults { results }
}
