//! Applies committed entries, handles changes of the leader, and exchanges messages and records with the Raft
//! replica.

use super::{
    Action, Answer, Node, Origin, SNAPSHOT_LOG_BYTES, decode, open_jobs::OpenJobs,
    requests::no_leader, serve::OVERLOAD_RETRY_AFTER_MS,
};
use crate::{
    dispatch::{Dispatcher, VolatileOutcome},
    job::JobState,
    message::{PeerMessage, RefusalReason},
    raft::{Payload, RaftMessage, log::Position, log::Snapshot},
    state::{Batch, Change, Command, ReplicatedState},
};

/// Size of the commands after which further ones of a batch go into the next log entry.
const ENTRY_BYTES: usize = 128 * 1024;

impl Node {
    /// Applies committed entries, lets the leader place tasks and propose commands, and collects messages and records.
    /// Runs after every input.
    pub(super) fn advance(&mut self) {
        self.load_installed_snapshot();
        self.apply();
        self.change_role();
        self.run_leader();
        self.compact();
        self.drain_raft_output();
    }

    fn load_installed_snapshot(&mut self) {
        let Some(snapshot) = self.raft.take_installed_snapshot() else {
            return;
        };
        match ReplicatedState::decode(&snapshot.data) {
            Ok(state) => {
                log::info!(
                    "E615 installed a snapshot from the leader index={}",
                    snapshot.last.index
                );
                self.state = state;
                self.applied = snapshot.last.index;
                self.snapshot = Some(snapshot);
            }
            Err(e) => panic!("the snapshot from the leader cannot be decoded: {e}"),
        }
    }

    fn apply(&mut self) {
        while self.applied < self.raft.commit() {
            let index = self.applied + 1;
            let entry = self
                .raft
                .log()
                .get(index)
                .expect("a committed entry must be in the log");
            let changes = match &entry.payload {
                Payload::Data(data) => self.state.apply(index, decode(data)),
                Payload::Members(members) => {
                    log::info!("E616 set of voters committed index={index} members={members:?}");
                    Vec::new()
                }
                Payload::Noop => Vec::new(),
            };
            self.applied = index;
            for change in changes {
                self.on_change(change);
            }
            while self
                .uncommitted_batches
                .front()
                .is_some_and(|(i, _)| *i <= index)
            {
                let (_, batch) = self
                    .uncommitted_batches
                    .pop_front()
                    .expect("the queue of batches is not empty");
                if let Some(dispatcher) = &mut self.dispatcher {
                    dispatcher.on_batch_committed(batch);
                }
            }
        }
    }

    fn on_change(&mut self, change: Change) {
        self.placement_due = true;
        let (now, wall_ms) = (self.clock.now, self.clock.wall_ms);
        let Some(dispatcher) = &mut self.dispatcher else {
            return;
        };
        match change {
            Change::JobAccepted(id) => {
                // The job may have been cancelled by a later command of the same entry.
                if let Some(job) = self.state.jobs.get(&id) {
                    dispatcher.job_accepted(now, wall_ms, id, job);
                    log::info!("E617 job accepted job={id} queue={}", job.queue);
                }
                self.open_jobs.remove(id);
                let waiters = self.waiters.submits.remove(&id);
                self.answer_all(waiters, &Answer::Accepted);
            }
            Change::JobAlreadyKnown(id) => {
                self.open_jobs.remove(id);
                self.open_jobs.remove(id);
                let waiters = self.waiters.submits.remove(&id);
                self.answer_all(waiters, &Answer::Accepted);
            }
            Change::TaskDone(task) => dispatcher.task_done(task),
            Change::TaskRetry(task) => {
                dispatcher.retry_task(task);
                let queries = self.waiters.queries.remove(&task.job);
                self.answer_all(queries, &Answer::State(JobState::Running));
            }
            Change::JobEnded(id, state) => {
                log::info!("E618 job ended job={id} state={state:?}");
                dispatcher.job_ended(id);
                let waiters = self.waiters.cancels.remove(&id);
                self.answer_all(waiters, &Answer::Cancelled);
                let queries = self.waiters.queries.remove(&id);
                self.answer_all(queries, &Answer::State(state));
            }
            Change::JobNotFound(id) => {
                let waiters = self.waiters.cancels.remove(&id);
                self.answer_all(waiters, &Answer::NoJob);
            }
            Change::Configured { version, in_force } => {
                log::info!("E619 configuration applied version={version} in_force={in_force}");
                let all = std::mem::take(&mut self.waiters.configs);
                let (answered, rest) = all.into_iter().partition(|(v, _)| *v == version);
                self.waiters.configs = rest;
                let answered: Vec<(u64, Origin)> = answered;
                let origins = answered.into_iter().map(|(_, origin)| origin).collect();
                self.answer_all(Some(origins), &Answer::Configured);
            }
            Change::AgentRegistered(address, session, fence) => {
                dispatcher.agent_registered(address, session, fence)
            }
            Change::AgentDeregistered(address) => dispatcher.agent_deregistered(address),
            Change::EvacuationDecided {
                data_centre,
                evacuated,
                decision,
            } => self.on_evacuation_decided(&data_centre, evacuated, decision),
        }
    }

    fn answer_all(&mut self, origins: Option<Vec<Origin>>, answer: &Answer) {
        for origin in origins.into_iter().flatten() {
            self.answer(origin, answer.clone());
        }
    }

    /// Creates the scheduler once this node leads with a valid lease and all earlier entries are applied. Drops it and
    /// answers the waiting requests once the leadership is lost.
    fn change_role(&mut self) {
        let (now, wall_ms) = (self.clock.now, self.clock.wall_ms);
        if !self.raft.is_leader() {
            if self.dispatcher.take().is_some() {
                log::warn!("E620 lost the leadership term={}", self.raft.term());
                self.uncommitted_batches.clear();
                self.job_log.lose_leadership();
                self.open_jobs = OpenJobs::default();
                let waiters = std::mem::take(&mut self.waiters);
                let volatile = waiters.volatile.into_values().flatten().collect();
                // Their entry nodes resubmit them to the next leader.
                self.answer_all(Some(volatile), &no_leader());
                let jobs = waiters
                    .submits
                    .into_values()
                    .chain(waiters.cancels.into_values());
                let jobs = jobs.chain(waiters.queries.into_values());
                let configs = waiters.configs.into_iter().map(|(_, origin)| origin);
                let operators = configs.chain(waiters.evacuations);
                let all = jobs.flatten().chain(operators).collect();
                self.answer_all(Some(all), &Answer::OutcomeUnknown);
            }
            return;
        }
        if self.dispatcher.is_some() || !self.raft.is_serving(now) {
            return;
        }
        let term = self.raft.term();
        let earlier_jobs = self
            .recent_jobs
            .earlier_jobs(self.options.min_resubmit_delay);
        let address = self.options.address;
        let dispatcher = Dispatcher::new(&self.state, address, term, now, wall_ms)
            .with_earlier_jobs(earlier_jobs)
            .with_limits(self.options.limits);
        let agents = dispatcher.agents_with_unknown_runs();
        self.dispatcher = Some(dispatcher);
        self.placement_due = true;
        let nodes = self.discovery.contacts().to_vec();
        for address in agents.into_iter().chain(nodes) {
            self.send_leader_info(address);
        }
    }

    fn run_leader(&mut self) {
        let now = self.clock.now;
        let Some(dispatcher) = &mut self.dispatcher else {
            return;
        };
        let finished = dispatcher.take_finished();
        for (id, outcome) in finished {
            self.job_log.job_ended(now, id, outcome);
            self.open_jobs.remove(id);
            let waiters = self.waiters.take_volatile(id);
            let answer = match outcome {
                VolatileOutcome::Done => Answer::VolatileEnded(true),
                VolatileOutcome::Failed => Answer::VolatileEnded(false),
                VolatileOutcome::Refused => Answer::Refused {
                    retry_after_ms: OVERLOAD_RETRY_AFTER_MS,
                    reason: RefusalReason::Overload,
                },
                VolatileOutcome::Expired => Answer::OutcomeUnknown,
            };
            self.answer_all(Some(waiters), &answer);
        }
        let Some(dispatcher) = &mut self.dispatcher else {
            return;
        };
        if self.raft.is_serving(now) {
            if std::mem::take(&mut self.placement_due) {
                dispatcher.place(now);
            }
            for (address, orders) in dispatcher.take_orders() {
                self.actions
                    .push(Action::Send(address, PeerMessage::Orders(orders)));
            }
        }
        // Only one batch is written to the own disk at a time; commands that arrive meanwhile share the next one.
        if dispatcher.has_commands() && self.raft.is_synced() {
            let (batch, commands) = dispatcher
                .take_commands()
                .expect("commands must be waiting");
            let mut last_index = None;
            let time_ms = self.clock.wall_ms;
            for entry in entries(time_ms, commands) {
                let data = postcard::to_stdvec(&entry).expect("commands can be encoded");
                if let Some(index) = self.raft.propose(now, data) {
                    last_index = Some(index);
                }
            }
            if let Some(index) = last_index {
                self.uncommitted_batches.push_back((index, batch));
            }
        }
    }

    fn compact(&mut self) {
        if self.raft.log().bytes() < SNAPSHOT_LOG_BYTES
            || self.applied <= self.raft.log().base().index
        {
            return;
        }
        let index = self.applied;
        let term = self
            .raft
            .log()
            .term(index)
            .expect("an applied entry must be in the log");
        let snapshot = Snapshot {
            last: Position { term, index },
            members: self.raft.log().members_at(index),
            data: self.state.encode().into(),
        };
        log::info!(
            "E621 log compacted index={index} snapshot_bytes={}",
            snapshot.data.len()
        );
        self.raft.compact(snapshot.clone());
        self.snapshot = Some(snapshot);
    }

    /// Turns the output of the Raft replica into actions.
    fn drain_raft_output(&mut self) {
        let out = self.raft.take_output();
        for (id, message) in out.send {
            let is_append = matches!(message, RaftMessage::AppendEntries(_));
            if let Some(action) = self.wrap_raft_message(id, message) {
                self.actions.push(Action::Send(action.0, action.1));
            }
            if is_append {
                self.send_recent_jobs(id);
            }
        }
        let send_after_sync: Vec<_> = out
            .send_after_sync
            .into_iter()
            .filter_map(|(id, m)| self.wrap_raft_message(id, m))
            .collect();
        // Messages that must follow a sync also wait for the stores that are still pending; without new records, a
        // store of no records carries them.
        if !out.writes.is_empty() || (!send_after_sync.is_empty() && self.pending_stores > 0) {
            self.pending_stores += 1;
            let last = self.raft.log().last();
            self.actions.push(Action::Store {
                writes: out.writes,
                last,
                send_after_sync,
            });
        } else {
            let sends = send_after_sync
                .into_iter()
                .map(|(address, peer)| Action::Send(address, peer));
            self.actions.extend(sends);
        }
    }

    /// Addresses a message of the Raft replica and adds the data of a snapshot. Returns `None` if the address or the
    /// snapshot is not known.
    fn wrap_raft_message(
        &self,
        to: crate::raft::NodeId,
        message: RaftMessage,
    ) -> Option<(std::net::SocketAddr, PeerMessage)> {
        let address = match to == self.raft.id() {
            true => self.options.address,
            false => self.address_of(to)?,
        };
        let message = match message {
            RaftMessage::InstallSnapshot { term, sent_us, .. } => RaftMessage::InstallSnapshot {
                term,
                sent_us,
                snapshot: self.snapshot.clone()?,
            },
            other => other,
        };
        let (from, own) = (self.raft.id(), self.options.address);
        Some((
            address,
            PeerMessage::Raft {
                from,
                address: own,
                to,
                message,
            },
        ))
    }

    /// Returns the state of a job, if it is known.
    pub(super) fn job_state(&self, id: crate::job::JobId) -> Option<JobState> {
        let open_state = self.dispatcher.as_ref().and_then(|d| d.state_of(id));
        self.state.outcome_of(id).or(open_state)
    }
}

/// Distributes the commands of a batch over log entries of about [`ENTRY_BYTES`].
fn entries(time_ms: u64, commands: Vec<Command>) -> Vec<Batch> {
    let (mut entries, mut bytes) = (Vec::new(), ENTRY_BYTES);
    for command in commands {
        if bytes >= ENTRY_BYTES {
            bytes = 0;
            entries.push(Batch {
                time_ms,
                commands: Vec::new(),
            });
        }
        bytes += command.approximate_bytes();
        let entry = entries.last_mut().expect("there is an entry");
        entry.commands.push(command);
    }
    entries
}
