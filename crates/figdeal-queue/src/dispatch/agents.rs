//! Agents as the leader knows them: registration, loss, and the messages to them.

use std::{
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
};

use figdeal_core::time::Timestamp;

use super::{AgentKey, AgentView, Dispatcher, PlacedRun, WorkerHealth, start_flow::StartFlow};
use crate::{
    agent::{AGENT_LOSS_TIMEOUT, REPORTED_RUN_LOSS_TIMEOUT},
    job::{Resources, TaskId},
    message::{Announce, Orders},
    state::Command,
};

impl Dispatcher {
    /// Handles an agent that looks for a leader.
    pub fn on_announce(&mut self, now: Timestamp, announce: &Announce) {
        let key = self.agent_at(now, announce.address);
        let agent = &mut self.agents[key];
        agent.lease_start_us = agent.lease_start_us.max(announce.sent_us);
        let new_session = agent.session != announce.session;
        if new_session {
            agent.lease_start_us = announce.sent_us;
        }
        if new_session || agent.given_up {
            log::info!(
                "E603 agent asks for registration address={} session={:016x}",
                announce.address,
                announce.session
            );
            agent.session = announce.session;
            agent.registered = false;
            agent.runs_known = false;
            agent.given_up = false;
            agent.deregistering = false;
            agent.joined_at = now;
            let (address, session) = (announce.address, announce.session);
            self.commands
                .push(Command::RegisterAgent { address, session });
        }
        let agent = &mut self.agents[key];
        let was_reachable = super::room::is_reachable(agent, now);
        agent.heard_at = now;
        agent.has_reported = false;
        self.mark_due(key);
        self.update_room(key);
        if !was_reachable {
            self.worker_gained(key, true);
        }
    }

    fn agent_at(&mut self, now: Timestamp, address: SocketAddr) -> AgentKey {
        if let Some(key) = self.by_address.get(&address) {
            return *key;
        }
        let key = self.agents.insert(AgentView {
            address,
            session: 0,
            fence: 0,
            registered: false,
            given_up: false,
            deregistering: false,
            lease_start_us: 0,
            heard_at: now,
            joined_at: now,
            has_reported: false,
            runs_known: false,
            // An agent that was removed and registers again ignores numbers that are not higher than before, so the
            // numbers start at the present time.
            last_orders: now.as_micros(),
            received_orders: 0,
            received_event: None,
            unacked_events: VecDeque::new(),
            acked_event: 0,
            worker: None,
            cold_until: None,
            placed: BTreeMap::new(),
            used: Resources::default(),
            room: None,
            racks: Vec::new(),
            health: WorkerHealth::default(),
            start_flow: StartFlow::default(),
            outbox: Vec::new(),
            orders_due: false,
        });
        self.by_address.insert(address, key);
        key
    }

    /// Handles the committed registration of an agent.
    pub fn agent_registered(&mut self, address: SocketAddr, session: u64, fence: u64) {
        let Some(&key) = self.by_address.get(&address) else {
            return;
        };
        let agent = &mut self.agents[key];
        if agent.session != session || agent.registered {
            return;
        }
        agent.registered = true;
        agent.fence = fence;
        agent.received_event = None;
        agent.unacked_events.clear();
        agent.acked_event = 0;
        agent.outbox.clear();
        agent.start_flow = StartFlow::default();
        // The next report with all runs shows which orders were lost, whichever message carried them: a placed run
        // that it does not list is lost, and a run whose stop it does not know is stopped again.
        for placed in agent.placed.values_mut() {
            placed.orders_number = 0;
            placed.stop_number = placed.stop_number.map(|_| 0);
        }
        self.mark_due(key);
        self.update_room(key);
        log::info!("E604 agent registered address={address} session={session:016x} fence={fence}");
    }

    /// Handles the committed removal of an agent.
    pub fn agent_deregistered(&mut self, address: SocketAddr) {
        let Some(&key) = self.by_address.get(&address) else {
            return;
        };
        if self.agents[key].deregistering {
            self.list_in_racks(key, false);
            self.agents.remove(key);
            self.by_address.remove(&address);
        }
    }

    /// Gives up agents without a report for [`REPORTED_RUN_LOSS_TIMEOUT`]: the runs that began before their last report
    /// are lost. Their other runs are lost after [`AGENT_LOSS_TIMEOUT`], and their removal from the log is proposed.
    pub(super) fn drop_unreachable_agents(&mut self, now: Timestamp) {
        let silent_for = |a: &AgentView, time| a.heard_at + time < now;
        let in_use = |a: &AgentView| !a.given_up && silent_for(a, REPORTED_RUN_LOSS_TIMEOUT);
        for key in self.agents_with(in_use) {
            self.give_up_agent(now, key);
        }
        let removable =
            |a: &AgentView| a.given_up && !a.deregistering && silent_for(a, AGENT_LOSS_TIMEOUT);
        for key in self.agents_with(removable) {
            let agent = &mut self.agents[key];
            agent.deregistering = true;
            let address = agent.address;
            self.commands.push(Command::DeregisterAgent { address });
            self.lose_runs(key, |_, _| true);
        }
    }

    fn agents_with(&self, condition: impl Fn(&AgentView) -> bool) -> Vec<AgentKey> {
        let agents = self.agents.iter().filter(|(_, agent)| condition(agent));
        agents.map(|(key, _)| key).collect()
    }

    fn give_up_agent(&mut self, now: Timestamp, key: AgentKey) {
        let agent = &mut self.agents[key];
        agent.given_up = true;
        agent.registered = false;
        agent.runs_known = false;
        agent.worker = None;
        log::warn!(
            "E606 agent is unreachable address={} silent_ms={} runs={} term={}",
            agent.address,
            now.since(agent.heard_at).as_millis(),
            agent.placed.len(),
            self.term
        );
        self.orphan_runs.retain(|_, (found_at, _)| *found_at != key);
        self.update_room(key);
        self.lose_runs(key, |agent, placed| agent.has_received(placed));
    }

    /// Handles the placed runs of an unreachable agent that have ended as lost.
    fn lose_runs(&mut self, key: AgentKey, has_ended: impl Fn(&AgentView, &PlacedRun) -> bool) {
        let agent = &self.agents[key];
        let address = agent.address;
        let ended = agent.placed.iter().filter(|(_, p)| has_ended(agent, p));
        let lost: Vec<(TaskId, u64)> = ended.map(|(t, p)| (*t, p.run)).collect();
        for (task, run) in lost {
            log::info!(
                "E931 run counts as lost with its agent task={task} run={run} agent={address} \
                 term={}",
                self.term
            );
            self.remove_placed(key, task);
            self.run_lost(key, task, run);
        }
    }

    /// Ends the waits for agents of earlier terms that have not told their runs, once all of these must have ended.
    pub(super) fn end_waits_for_agents(&mut self, now: Timestamp) {
        let unknown = self.agents_with_unknown_runs.iter().copied();
        let over = unknown.filter(|address| self.runs_end_by(*address) <= now);
        let over: Vec<SocketAddr> = over.collect();
        if over.is_empty() {
            return;
        }
        log::warn!(
            "E605 agents of earlier terms did not report in time agents={over:?} term={}",
            self.term
        );
        for address in over {
            self.agents_with_unknown_runs.remove(&address);
            if !self.by_address.contains_key(&address) {
                self.commands.push(Command::DeregisterAgent { address });
            }
        }
        self.release_held_jobs(now);
    }

    /// Returns when the runs of an agent of an earlier term must have ended that it has not told. Until it knows all
    /// runs, its process renews the lease of none that it does not report as undecided. One that announces itself again
    /// and again may get no answers, so that wait is bounded.
    fn runs_end_by(&self, address: SocketAddr) -> Timestamp {
        let agent = self.by_address.get(&address).map(|key| &self.agents[*key]);
        let since = match agent {
            None => self.leading_since,
            Some(agent) if agent.has_reported => agent.joined_at,
            Some(agent) => agent.heard_at.min(agent.joined_at + AGENT_LOSS_TIMEOUT),
        };
        since + AGENT_LOSS_TIMEOUT
    }

    /// Returns by when the runs of all agents of earlier terms are known, at the latest.
    pub(super) fn all_runs_known_by(&self) -> Timestamp {
        let unknown = self.agents_with_unknown_runs.iter();
        let ends = unknown.map(|address| self.runs_end_by(*address));
        ends.max().unwrap_or(self.leading_since)
    }

    /// Takes the messages to agents.
    pub fn take_orders(&mut self) -> Vec<(SocketAddr, Orders)> {
        let (leader, term) = (self.address, self.term);
        let due = std::mem::take(&mut self.due_agents);
        let due = due.into_iter().filter_map(|key| {
            let agent = self.agents.get_mut(key)?;
            agent.orders_due = false;
            agent.registered.then_some(key)
        });
        let due: Vec<AgentKey> = due.collect();
        let orders = due.into_iter().map(|key| {
            let agent = &mut self.agents[key];
            agent.last_orders += 1;
            let orders = Orders {
                leader,
                term,
                session: agent.session,
                fence: agent.fence,
                lease_start_us: agent.lease_start_us,
                number: agent.last_orders,
                acked_event: agent.acked_event,
                orders: std::mem::take(&mut agent.outbox),
            };
            (agent.address, orders)
        });
        orders.collect()
    }

    /// Makes the next call of [`Dispatcher::take_orders`] return a message to the agent.
    pub(super) fn mark_due(&mut self, key: AgentKey) {
        let agent = &mut self.agents[key];
        if !std::mem::replace(&mut agent.orders_due, true) {
            self.due_agents.push(key);
        }
    }
}
