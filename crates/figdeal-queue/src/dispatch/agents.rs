//! Agents as the leader knows them: registration, loss, and the messages to them.

use std::{
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
};

use figdeal_core::time::Timestamp;

use super::{AgentKey, AgentView, Dispatcher, WorkerHealth, start_flow::StartFlow};
use crate::{
    agent::AGENT_LOSS_TIMEOUT,
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
        if new_session || agent.deregistering {
            log::info!(
                "E603 agent asks for registration address={} session={:016x}",
                announce.address,
                announce.session
            );
            agent.session = announce.session;
            agent.registered = false;
            agent.runs_known = false;
            agent.deregistering = false;
            let (address, session) = (announce.address, announce.session);
            self.commands
                .push(Command::RegisterAgent { address, session });
        }
        self.agents[key].heard_at = now;
        self.mark_due(key);
        self.update_room(key);
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
            deregistering: false,
            lease_start_us: 0,
            heard_at: now,
            runs_known: false,
            // An agent that was removed and registers again ignores numbers that are not higher than before, so the
            // numbers start at the present time.
            last_orders: now.as_micros(),
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

    /// Handles the runs of agents without a report for [`AGENT_LOSS_TIMEOUT`] as lost, and proposes the removal of
    /// these agents from the log.
    pub(super) fn drop_unreachable_agents(&mut self, now: Timestamp) {
        let is_lost = |a: &AgentView| !a.deregistering && a.heard_at + AGENT_LOSS_TIMEOUT < now;
        let keys: Vec<AgentKey> = self
            .agents
            .iter()
            .filter(|(_, a)| is_lost(a))
            .map(|(key, _)| key)
            .collect();
        for key in keys {
            let agent = &mut self.agents[key];
            agent.deregistering = true;
            agent.registered = false;
            agent.runs_known = false;
            agent.worker = None;
            let address = agent.address;
            let lost: Vec<(TaskId, u64)> = agent.placed.iter().map(|(t, p)| (*t, p.run)).collect();
            log::warn!(
                "E606 agent is unreachable address={address} silent_ms={} lost_runs={} term={}",
                now.since(agent.heard_at).as_millis(),
                lost.len(),
                self.term
            );
            self.commands.push(Command::DeregisterAgent { address });
            self.orphan_runs.retain(|_, (found_at, _)| *found_at != key);
            self.update_room(key);
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
