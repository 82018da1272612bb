//! Committed entries, changes of the leader, and what goes to the log and out of it.

use super::{
    Action, Answer, Node, Origin, SNAPSHOT_LOG_BYTES, decode, no_leader, serve::OVERLOAD_RETRY_MS,
};
use crate::{
    dispatch::{Dispatcher, VolatileOutcome},
    job::JobState,
    message::{PeerMessage, RefusalReason},
    raft::{Payload, RaftMessage, log::Position, log::Snapshot},
    state::{Batch, Change},
};

impl Node {
    /// Brings everything up to date after an input.
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
        match postcard::from_bytes(&snapshot.data) {
            Ok(state) => {
                log::info!(
                    "E615 state taken from the leader index={}",
                    snapshot.last.index
                );
                self.state = state;
                self.applied = snapshot.last.index;
                self.snapshot = Some(snapshot);
            }
            Err(e) => panic!("the state of the leader cannot be read: {e}"),
        }
    }

    fn apply(&mut self) {
        while self.applied < self.raft.commit() {
            let index = self.applied + 1;
            let entry = self
                .raft
                .log()
                .get(index)
                .expect("a committed entry is held");
            let changes = match &entry.payload {
                Payload::Data(data) => self.state.apply(index, decode(data)),
                Payload::Members(members) => {
                    log::info!("E616 voters index={index} members={members:?}");
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
                    .expect("the first batch exists");
                if let Some(leading) = &mut self.dispatcher {
                    leading.on_batch_committed(batch);
                }
            }
        }
    }

    fn on_change(&mut self, change: Change) {
        self.placement_due = true;
        let (now, wall) = (self.clock.now, self.clock.wall_ms);
        let Some(leading) = &mut self.dispatcher else {
            return;
        };
        match change {
            Change::JobAccepted(id) => {
                // The job may have been cancelled later in the same entry.
                if let Some(job) = self.state.jobs.get(&id) {
                    leading.job_accepted(now, wall, id, job);
                    log::info!("E617 job accepted job={id} queue={}", job.queue);
                }
                let waiters = self.waiters.submits.remove(&id);
                self.answer_all(waiters, &Answer::Accepted);
            }
            Change::JobAlreadyKnown(id) => {
                let waiters = self.waiters.submits.remove(&id);
                self.answer_all(waiters, &Answer::Accepted);
            }
            Change::TaskDone(task) => leading.task_done(task),
            Change::TaskRetry(task) => {
                leading.retry_task(task);
                let queries = self.waiters.queries.remove(&task.job);
                self.answer_all(queries, &Answer::State(JobState::Running));
            }
            Change::JobEnded(id, state) => {
                log::info!("E618 job ended job={id} state={state:?}");
                leading.job_ended(id);
                let waiters = self.waiters.cancels.remove(&id);
                self.answer_all(waiters, &Answer::Cancelled);
                let queries = self.waiters.queries.remove(&id);
                self.answer_all(queries, &Answer::State(state));
            }
            Change::JobNotFound(id) => {
                let waiters = self.waiters.cancels.remove(&id);
                self.answer_all(waiters, &Answer::NoJob);
            }
            Change::Configured {
                version,
                in_force: held,
            } => {
                log::info!("E619 configuration stored version={version} held={held}");
                let all = std::mem::take(&mut self.waiters.configs);
                let (ready, rest) = all.into_iter().partition(|(v, _)| *v == version);
                self.waiters.configs = rest;
                let ready: Vec<(u64, Origin)> = ready;
                let origins = ready.into_iter().map(|(_, origin)| origin).collect();
                self.answer_all(Some(origins), &Answer::Configured);
            }
            Change::AgentRegistered(address, session, fence) => {
                leading.agent_registered(address, session, fence)
            }
            Change::AgentDeregistered(address) => leading.agent_deregistered(address),
        }
    }

    fn answer_all(&mut self, origins: Option<Vec<Origin>>, answer: &Answer) {
        for origin in origins.into_iter().flatten() {
            self.answer(origin, answer.clone());
        }
    }

    /// Starts to lead once all earlier entries are applied, and gives up what a lost leadership leaves.
    fn change_role(&mut self) {
        let (now, wall) = (self.clock.now, self.clock.wall_ms);
        if !self.raft.is_leader() {
            if self.dispatcher.take().is_some() {
                log::warn!("E620 leadership lost term={}", self.raft.term());
                self.uncommitted_batches.clear();
                let waiters = std::mem::take(&mut self.waiters);
                let volatile = waiters.volatile.into_values().flatten().collect();
                // Their entries hand them in again at the next leader.
                self.answer_all(Some(volatile), &no_leader());
                let jobs = waiters
                    .submits
                    .into_values()
                    .chain(waiters.cancels.into_values());
                let jobs = jobs.chain(waiters.queries.into_values());
                let configs = waiters.configs.into_iter().map(|(_, origin)| origin);
                let all = jobs.flatten().chain(configs).collect();
                self.answer_all(Some(all), &Answer::OutcomeUnknown);
            }
            return;
        }
        if self.dispatcher.is_some() || !self.raft.is_serving(now) {
            return;
        }
        let term = self.raft.term();
        let earlier = self
            .recent_jobs
            .earlier_jobs(self.options.min_resubmit_delay);
        let address = self.options.address;
        let leading = Dispatcher::new(&self.state, earlier, address, term, now, wall);
        let agents = leading.unresolved_agents();
        self.dispatcher = Some(leading);
        self.placement_due = true;
        let nodes = self.discovery.contacts().to_vec();
        for address in agents.into_iter().chain(nodes) {
            self.send_leader_info(address);
        }
    }

    fn run_leader(&mut self) {
        let now = self.clock.now;
        let Some(leading) = &mut self.dispatcher else {
            return;
        };
        let finished = leading.take_finished();
        for (id, how) in finished {
            log::info!("E630 volatile job ended job={id} how={how:?}");
            let waiters = self.waiters.take_volatile(id);
            let answer = match how {
                VolatileOutcome::Done => Answer::VolatileEnded(true),
                VolatileOutcome::Failed => Answer::VolatileEnded(false),
                VolatileOutcome::Refused => Answer::Refused {
                    retry_after_ms: OVERLOAD_RETRY_MS,
                    reason: RefusalReason::Overload,
                },
                VolatileOutcome::Expired => Answer::OutcomeUnknown,
            };
            self.answer_all(Some(waiters), &answer);
        }
        let Some(leading) = &mut self.dispatcher else {
            return;
        };
        if self.raft.is_serving(now) {
            if std::mem::take(&mut self.placement_due) {
                leading.place(now);
            }
            for (address, orders) in leading.take_orders() {
                self.actions
                    .push(Action::Send(address, PeerMessage::Orders(orders)));
            }
        }
        // One entry at a time is on its way to the own disk, so that commands of the meantime share the next one.
        if leading.has_commands() && self.raft.is_synced() {
            let (batch, commands) = leading.take_commands().expect("commands wait");
            let entry = Batch {
                time_ms: self.clock.wall_ms,
                commands,
            };
            let data = postcard::to_stdvec(&entry).expect("commands can be encoded");
            if let Some(index) = self.raft.propose(now, data) {
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
            .expect("an applied entry is held");
        let snapshot = Snapshot {
            last: Position { term, index },
            members: self.raft.log().members_at(index),
            data: postcard::to_stdvec(&self.state).expect("the state can be encoded"),
        };
        log::info!(
            "E621 log compacted index={index} bytes={}",
            snapshot.data.len()
        );
        self.raft.compact(snapshot.clone());
        self.snapshot = Some(snapshot);
    }

    /// Turns the output of the log into actions.
    fn drain_raft_output(&mut self) {
        let out = self.raft.take_output();
        for (id, message) in out.send {
            let append = matches!(message, RaftMessage::AppendEntries(_));
            if let Some(action) = self.wrap_raft_message(id, message) {
                self.actions.push(Action::Send(action.0, action.1));
            }
            if append {
                self.send_recent_jobs(id);
            }
        }
        let after: Vec<_> = out
            .send_after_sync
            .into_iter()
            .filter_map(|(id, m)| self.wrap_raft_message(id, m))
            .collect();
        if !out.writes.is_empty() || (!after.is_empty() && self.pending_stores > 0) {
            self.pending_stores += 1;
            let last = self.raft.log().last();
            self.actions.push(Action::Store {
                writes: out.writes,
                last,
                send_after_sync: after,
            });
        } else {
            let sends = after
                .into_iter()
                .map(|(address, peer)| Action::Send(address, peer));
            self.actions.extend(sends);
        }
    }

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
            RaftMessage::InstallSnapshot {
                term,
                sent_us: sent,
                ..
            } => RaftMessage::InstallSnapshot {
                term,
                sent_us: sent,
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

    /// The state of a job, if it is known.
    pub(super) fn job_state(&self, id: crate::job::JobId) -> Option<JobState> {
        let volatile = self.dispatcher.as_ref().and_then(|l| l.state_of(id));
        self.state.outcome_of(id).or(volatile)
    }
}
