//! The thread that owns the entry's control state.

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

mod observe;
mod send;

use super::{Options, Shared, claims::ClaimDriver, peers::Peers, spread};
use crate::{
    report::{Report, View},
    rules::Rules,
    submission::JobRequest,
};

/// Largest number of events that are handled before a tick.
const MAX_BATCH: usize = 256;
/// Longest time between two ticks.
const MAX_WAIT: Duration = Duration::from_millis(100);
/// Time between two attempts to ask an agent about a task.
const QUERY_PAUSE: Duration = Duration::from_millis(200);
/// Longest wait for the verdict on a task before its agent is asked again.
const QUERY_LIMIT: Duration = Duration::from_secs(30);
/// Times that an agent is asked for what it holds of a submission before it counts as gone.
const COLLECT_ATTEMPTS: u32 = 3;
/// Longest wait for a cancellation to be taken.
const CANCEL_LIMIT: Duration = Duration::from_secs(2);

/// Gets the answer to one request.
pub(crate) type Responder = Box<dyn FnOnce(Answer) + Send>;

/// What is asked of the other entries about a submission that this one does not know.
#[derive(Debug, Clone, Copy)]
enum Search {
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
    Report(Box<dyn FnOnce(View) + Send>),
    /// Sets the gauges, which are read when the metrics are rendered.
    Gauges(oneshot::Sender<()>),
    Announce(Announcement, oneshot::Sender<AnnounceReply>),
    ClaimRequest(ClaimRequest, oneshot::Sender<ClaimReply>),
    ClaimReply {
        from: EntryId,
        keys: Vec<SubmissionKey>,
        reply: Option<ClaimReply>,
    },
    PeerAwait {
        key: SubmissionKey,
        wait: bool,
        responder: Responder,
    },
    TakeOver {
        orphan: TakeoverRequest,
        responder: Responder,
    },
    PeerCancel(SubmissionKey, Responder),
    Find(SubmissionKey, oneshot::Sender<Option<OwnerRecord>>),
    Task {
        agent: AgentKey,
        task: TaskId,
        reply: channel::Result<TaskReply>,
    },
    /// The connection for a task could not be opened.
    Unsent {
        agent: AgentKey,
        task: TaskId,
    },
    Collected {
        agent: AgentKey,
        key: SubmissionKey,
        reply: Option<CollectReply>,
    },
    Owner {
        key: SubmissionKey,
        answer: Option<Answer>,
    },
    /// Refuses new work from now on and tells when nothing is in progress.
    Stop(mpsc::Sender<()>),
    Kill,
}

struct Control {
    id: EntryId,
    core: EntryCore,
    claims: ClaimDriver,
    start: Instant,
    kinds: Interner,
    teams: Interner,
    shared: Arc<Shared>,
    events: mpsc::Sender<Event>,
    runtime: Handle,
    limits: ChannelTimeouts,
    peers: Peers,
    agents: HashMap<AgentKey, Arc<Channel<AgentRpcClient>>>,
    responders: HashMap<WaiterId, Responder>,
    next_waiter: u64,
    idle: Vec<mpsc::Sender<()>>,
    report: Report,
    entries: u32,
    applied: Option<Arc<Rules>>,
}

/// Starts the control thread.
pub(crate) fn spawn(
    options: &Options,
    incarnation: Incarnation,
    inbox: mpsc::Receiver<Event>,
    events: mpsc::Sender<Event>,
    shared: Arc<Shared>,
    runtime: &Handle,
) -> io::Result<()> {
    let options = options.clone();
    let runtime = runtime.clone();
    thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || {
            let _guard = runtime.enter();
            let mut control = Control {
                id: options.id,
                core: EntryCore::new(options.rules.entry, incarnation.0),
                claims: ClaimDriver::new(&options, incarnation),
                start: Instant::now(),
                kinds: Interner::default(),
                teams: Interner::default(),
                shared,
                events,
                runtime: runtime.clone(),
                limits: options.rules.connections,
                peers: Peers::new(&options.peers, options.rules.connections),
                agents: HashMap::new(),
                responders: HashMap::new(),
                next_waiter: 0,
                idle: Vec::new(),
                report: Report::default(),
                entries: options.peers.len() as u32 + 1,
                applied: None,
            };
            control.apply_rules();
            control.run(inbox);
        })?;
    Ok(())
}

impl Control {
    fn run(mut self, inbox: mpsc::Receiver<Event>) {
        loop {
            match inbox.recv_timeout(self.wait()) {
                Ok(Event::Kill) | Err(mpsc::RecvTimeoutError::Disconnected) => return,
                Ok(event) => self.take(event),
                Err(mpsc::RecvTimeoutError::Timeout) => {}
            }
            // Events that are there already share the claim messages of this round.
            for event in inbox.try_iter().take(MAX_BATCH) {
                if matches!(event, Event::Kill) {
                    return;
                }
                self.take(event);
            }
            self.tick();
        }
    }

    /// Handles an event and performs what follows from it: a later one may remove the agent that an action names.
    fn take(&mut self, event: Event) {
        self.handle(event);
        self.perform();
    }

    fn wait(&self) -> Duration {
        let now = self.now();
        let wakes = [self.core.next_wake(), self.claims.next_wake()];
        let wake = wakes.into_iter().flatten().min();
        wake.map_or(MAX_WAIT, |at| at.since(now).min(MAX_WAIT))
    }

    fn tick(&mut self) {
        let now = self.now();
        self.apply_rules();
        self.core.set_claims_scarce(self.claims.is_scarce());
        self.core.tick(now);
        let decided = self.claims.tick(now);
        self.take_decisions(decided, now);
        self.perform();
        self.claims.flush(&self.peers, &self.events, now);
        if self.claims.is_ready(now) {
            self.shared.is_claimable.store(true, Ordering::Relaxed);
        }
        self.observe_ended(now);
        self.drop_channels();
        self.notify_idle();
    }

    /// Closes the connections to agents that the fleet view has forgotten.
    fn drop_channels(&mut self) {
        if self.agents.len() > self.core.fleet().iter().len() {
            let fleet = self.core.fleet();
            self.agents.retain(|key, _| fleet.get(*key).is_some());
        }
    }

    fn take_decisions(&mut self, decided: Vec<(SubmissionKey, ClaimResult)>, now: Timestamp) {
        for (key, claimed) in decided {
            observe::count_claim(claimed);
            self.core.on_claim_result(key, claimed, now);
        }
    }

    fn now(&self) -> Timestamp {
        Timestamp::from_micros(self.start.elapsed().as_micros() as u64)
    }

    /// Takes over rules that changed; the pointer tells, so that an unchanged version costs nothing.
    fn apply_rules(&mut self) {
        let rules = self.shared.rules();
        if self
            .applied
            .as_ref()
            .is_some_and(|applied| Arc::ptr_eq(applied, &rules))
        {
            return;
        }
        let had_version = self
            .applied
            .as_ref()
            .is_some_and(|applied| applied.version > 0);
        if rules.version > 0 && !had_version {
            self.claims.configure(rules.claims);
        }
        self.core.set_limits(rules.entry);
        let entries = self.entries;
        for (name, rule) in &rules.kinds {
            let kind = KindId(self.kinds.intern(name));
            self.core.set_share(kind, rule.share);
            self.core.set_queue_bound(kind, rule.queue_bound);
        }
        for (name, rule) in &rules.teams {
            let team = TeamId(self.teams.intern(name));
            self.core.set_quota(team, rule.max_tasks.div_ceil(entries));
        }
        self.report
            .set_objectives(&rules.objectives, &mut self.kinds, &mut self.teams);
        self.applied = Some(rules);
    }

    fn handle(&mut self, event: Event) {
        let now = self.now();
        match event {
            Event::Submit {
                job,
                wait,
                responder,
            } => {
                if !self.idle.is_empty() && !self.core.contains(job.key()) {
                    return responder(Answer::Undecided);
                }
                let waiter = self.add_waiter(responder);
                let submission = self.submission(job);
                self.core.submit(submission, waiter, wait, now);
            }
            Event::Fetch {
                key,
                wait,
                responder,
            } => {
                let search = Search::Fetch { wait };
                let waiter = self.add_waiter(self.search_responder(key, responder, search));
                self.core.fetch(key, waiter, wait, now);
            }
            Event::Cancel { key, responder } => {
                let waiter = self.add_waiter(self.search_responder(key, responder, Search::Cancel));
                self.core.cancel(key, waiter, now);
            }
            Event::PeerAwait {
                key,
                wait,
                responder,
            } => {
                let waiter = self.add_waiter(responder);
                self.core.fetch(key, waiter, wait, now);
            }
            Event::TakeOver { orphan, responder } => {
                let waiter = self.add_waiter(responder);
                self.core.take_over(orphan, waiter, now);
            }
            Event::PeerCancel(key, responder) => {
                let waiter = self.add_waiter(responder);
                self.core.cancel_owned(key, waiter, now);
            }
            Event::Status(responder) => responder(self.status(now)),
            Event::Report(responder) => responder(self.report.view(now)),
            Event::Gauges(done) => {
                self.set_gauges(now);
                let _ = done.send(());
            }
            Event::Announce(announcement, reply) => {
                self.announce(announcement, now);
                let _ = reply.send(AnnounceReply {
                    entry: self.id,
                    config_version: self.shared.rules().version,
                });
            }
            Event::ClaimRequest(request, reply) => {
                // Without a configuration the limits of the claims are not known; the claimant asks another member.
                if self.shared.is_configured() {
                    let _ = reply.send(self.claims.on_request(&request, now));
                }
            }
            Event::ClaimReply { from, keys, reply } => {
                let decided = self.claims.on_reply(from, &keys, reply, now);
                self.take_decisions(decided, now);
            }
            Event::Find(key, reply) => {
                let _ = reply.send(self.claims.find(key));
            }
            Event::Task { agent, task, reply } => self.take_reply(agent, task, reply, now),
            Event::Unsent { agent, task } => self.core.on_connect_failed(agent, task, now),
            Event::Collected { agent, key, reply } => {
                let held = reply.map(held);
                self.core.on_collected(agent, key, held, now);
            }
            Event::Owner { key, answer } => self.core.on_owner_answer(key, answer, now),
            Event::Stop(sender) => self.idle.push(sender),
            Event::Kill => {}
        }
    }

    fn notify_idle(&mut self) {
        if !self.idle.is_empty() && self.core.open_jobs() == 0 && self.responders.is_empty() {
            for sender in self.idle.drain(..) {
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

    /// Asks the other entries when this one does not know the submission. When none answers, and an entry remembers
    /// that it was claimed, this one takes it over to collect its results.
    fn search_responder(
        &self,
        key: SubmissionKey,
        responder: Responder,
        search: Search,
    ) -> Responder {
        let peers = self.peers.clone();
        let runtime = self.runtime.clone();
        let events = self.events.clone();
        let known = self.claims.find(key);
        Box::new(move |answer| {
            if answer != Answer::Unknown {
                return responder(answer);
            }
            runtime.spawn(async move {
                let found = match search {
                    Search::Cancel => peers.cancel(key).await,
                    Search::Fetch { wait } => peers.search(key, wait).await,
                };
                if let Some(answer) = found {
                    return responder(answer);
                }
                let record = match known {
                    Some(record) => Some(record),
                    None => peers.find(key).await,
                };
                let Some(OwnerRecord {
                    digest,
                    created,
                    owner,
                }) = record
                else {
                    return responder(Answer::Unknown);
                };
                let orphan = TakeoverRequest {
                    key,
                    digest,
                    created,
                    owner,
                };
                let _ = events.send(Event::TakeOver { orphan, responder });
            });
        })
    }

    fn submission(&mut self, job: JobRequest) -> Submission {
        let rules = self.shared.rules();
        let (key, digest, created) = (job.key(), job.digest(), job.created());
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

    fn announce(&mut self, announcement: Announcement, now: Timestamp) {
        let kinds = announcement
            .kinds
            .iter()
            .map(|k| KindId(self.kinds.intern(k)))
            .collect();
        let load = self.load(&announcement.load);
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
        let limits = self.limits;
        let channel = self
            .agents
            .entry(key)
            .or_insert_with(|| Channel::new(&*address, limits));
        if channel.peer() != address {
            *channel = Channel::new(address, limits);
        }
    }

    fn load(&mut self, report: &LoadReport) -> AgentLoad {
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

    fn take_reply(
        &mut self,
        agent: AgentKey,
        task: TaskId,
        reply: channel::Result<TaskReply>,
        now: Timestamp,
    ) {
        let reply = match reply {
            Ok(reply) => reply,
            Err(e) => {
                log::info!("E304 task {task}: {e}");
                return self.core.on_connection_lost(agent, task);
            }
        };
        assert_eq!(reply.task, task, "a reply is about the task of its request");
        let load = self.load(&reply.load);
        let run = Duration::from_micros(reply.run_time_us);
        let verdict = match reply.outcome {
            TaskOutcome::Done(bytes) => RunOutcome::Ran {
                result: TaskResult::Done(bytes),
                run,
            },
            TaskOutcome::Failed => RunOutcome::Ran {
                result: TaskResult::Failed,
                run,
            },
            TaskOutcome::Unknown => RunOutcome::Ran {
                result: TaskResult::Unknown,
                run: Duration::ZERO,
            },
            TaskOutcome::NotStarted(reason) => RunOutcome::NotStarted(declined(reason)),
            TaskOutcome::Unproven => {
                return self.core.on_incarnation_gone(agent, task, now);
            }
        };
        self.core
            .on_run_outcome(agent, task, verdict, Some(load), now);
    }

    fn perform(&mut self) {
        loop {
            let actions = self.core.take_actions();
            if actions.is_empty() {
                return;
            }
            for action in actions {
                self.perform_one(action);
            }
        }
    }

    fn perform_one(&mut self, action: Action) {
        match action {
            Action::Claim {
                key,
                digest,
                created,
                dead,
            } => {
                let now = self.now();
                let decided = self.claims.start((key, digest, created), dead, now);
                self.take_decisions(decided, now);
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
                    let _ = events.send(Event::Owner { key, answer });
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
                    let call = channel.call(CANCEL_LIMIT, |client, context| async move {
                        client.cancel(context, tasks).await
                    });
                    match call.await {
                        Ok(()) => message_count::record(MessageClass::Recovery),
                        Err(e) => log::info!("E305 cancellation: {e}"),
                    }
                });
            }
            Action::CancelAtOwner { key, owner } => {
                let peers = self.peers.clone();
                self.runtime
                    .spawn(async move { peers.cancel_at(owner, key).await });
            }
            Action::Collect {
                agent,
                key,
                remaining,
            } => self.send_collect(agent, key, remaining),
            Action::Answer { waiter, answer } => {
                let responder = self
                    .responders
                    .remove(&waiter)
                    .expect("a waiter is answered once");
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
            .map(observe::describe)
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
            "version_age_ms": self.shared.in_force().map(|f| spread::age(&f).as_millis() as u64),
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

fn declined(reason: NotStartedReason) -> DeclineReason {
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

fn held(reply: CollectReply) -> CollectedResults {
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
