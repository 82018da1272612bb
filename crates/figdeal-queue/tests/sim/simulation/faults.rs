//! Injected faults.

use super::*;

impl Simulation {
    pub(super) fn stop_node(&mut self, n: usize, power_loss: bool) {
        let machine = &mut self.machines[n];
        machine.incarnation += 1;
        machine.node = None;
        if power_loss {
            machine.written_records.truncate(machine.durable_count);
        } else {
            // The files of a killed process keep all written data, synced or not.
            machine.durable_count = machine.written_records.len();
        }
        machine.disk_free_at = Timestamp::ZERO;
        let unanswered: Vec<u64> = self
            .pending_requests
            .iter()
            .filter(|(_, (_, at, _))| *at == n)
            .map(|(t, _)| *t)
            .collect();
        for token in unanswered {
            self.on_answer(token, &Answer::OutcomeUnknown, false);
        }
        for other in 0..self.machines.len() {
            let clock = self.clock();
            if let Some(node) = &mut self.machines[other].node {
                node.on_connection_lost(clock, node_address(n), !power_loss);
            }
            self.process_node_actions(other);
        }
    }

    /// Wipes the disk of a node; the other nodes still hold its data.
    pub(super) fn wipe_disk(&mut self, n: usize) {
        self.last_wipe = self.now;
        self.stop_node(n, true);
        let machine = &mut self.machines[n];
        machine.written_records.clear();
        machine.durable_count = 0;
        if self.plan.injected_bug != InjectedBug::KeepIdentity {
            machine.id = NodeId(self.rng.random());
        }
        let after = self.random_delay(100, 1_500);
        self.schedule(after, Event::StartNode(n));
    }

    /// Ends a worker without notice. All that it has read, runs or knows is gone.
    pub(super) fn crash_worker(&mut self, n: usize) {
        let worker = &mut self.agent_hosts[n].worker;
        worker.is_up = false;
        worker.runs.clear();
    }

    /// Lets a worker crash and start again under its identity.
    pub(super) fn restart_worker(&mut self, n: usize, down: Duration) {
        self.crash_worker(n);
        self.schedule(down, Event::StartWorker(n));
    }

    pub(super) fn inject_fault(&mut self) {
        let n = self.rng.random_range(0..self.machines.len());
        let host = self.rng.random_range(0..self.agent_hosts.len());
        let kind = self.plan.fault_kinds[self.rng.random_range(0..self.plan.fault_kinds.len())];
        log::debug!("fault kind={kind} node={n} agent={host}");
        match kind {
            0 | 1 if self.machines[n].node.is_some() => {
                self.stop_node(n, false);
                let after = self.random_delay(50, 1_500);
                self.schedule(after, Event::StartNode(n));
            }
            2 if self.machines.iter().all(|m| m.node.is_some()) => {
                // All nodes lose power at the same time.
                for n in 0..self.machines.len() {
                    self.stop_node(n, true);
                    let after = self.random_delay(200, 900);
                    self.schedule(after, Event::StartNode(n));
                }
            }
            3 => {
                let duration = self.random_delay(300, 4_000);
                self.machines[n].paused_until = self.now + duration;
            }
            4 => {
                let duration = self.random_delay(300, 4_000);
                self.disconnected.insert(node_address(n));
                self.schedule(duration, Event::Reconnect(node_address(n)));
            }
            5 => {
                let duration = self.random_delay(300, 4_000);
                self.disconnected.insert(agent_address(host));
                self.schedule(duration, Event::Reconnect(agent_address(host)));
            }
            6 => {
                self.agent_hosts[host].incarnation += 1;
                self.agent_hosts[host].agent = None;
                let after = self.random_delay(50, 1_500);
                self.schedule(after, Event::StartAgent(host));
            }
            7 => {
                let duration = self.random_delay(300, 4_000);
                self.agent_hosts[host].paused_until = self.now + duration;
            }
            8 => {
                let down = self.random_delay(100, 2_000);
                self.restart_worker(host, down);
            }
            10..=19 => self.inject_unnoticed_fault(kind, host),
            _ => {
                let all_running = self
                    .machines
                    .iter()
                    .all(|m| m.node.is_some() && m.paused_until <= self.now);
                let ids: Vec<NodeId> = self.machines.iter().map(|m| m.id).collect();
                let leaders = self.machines.iter().filter_map(|m| m.node.as_ref());
                let replaced = |n: &Node| {
                    let members = n.raft().members();
                    members.len() == 3 && members.iter().all(|m| ids.contains(&m.id))
                };
                // The queue tolerates the loss of one disk; the next is wiped only after the lost voter was replaced.
                let replaced_voters = leaders.filter(|n| n.is_serving()).any(replaced)
                    && self.last_wipe + MIN_WIPE_INTERVAL <= self.now;
                if all_running && replaced_voters && self.machines[n].has_disk {
                    self.wipe_disk(n);
                }
            }
        }
    }

    /// Injects a fault of [`UNNOTICED_FAULTS`] at a worker or its agent.
    fn inject_unnoticed_fault(&mut self, kind: u32, host: usize) {
        let down = self.random_delay(5, 60);
        let duration = self.random_delay(300, 5_000);
        let until = self.now + duration;
        match kind {
            10 => self.restart_worker(host, down),
            11 => {
                self.agent_hosts[host].calls_late_until = until;
                self.restart_worker(host, down);
            }
            12 => {
                self.agent_hosts[host].polls_lost_until = until;
                self.restart_worker(host, down);
            }
            13 => {
                self.agent_hosts[host].wall_clock_lag_ms += self.rng.random_range(100..30_000);
                self.restart_worker(host, down);
            }
            14 => self.schedule(Duration::ZERO, Event::Departure(host)),
            15 => {
                self.schedule(Duration::ZERO, Event::Departure(host));
                self.schedule(duration, Event::CrashWorker(host));
                let after = self.random_delay(5, 1_500);
                self.schedule(duration + after, Event::StartWorker(host));
            }
            16 => {
                let former = self.next_heartbeat(host);
                self.restart_worker(host, down);
                let event = match self.rng.random_bool(0.5) {
                    true => Event::DelayedHeartbeat(host, former),
                    false => Event::Departure(host),
                };
                self.schedule(duration, event);
            }
            17 => {
                self.crash_worker(host);
                let after = self.random_delay(2_000, 8_000);
                self.schedule(after, Event::StartWorker(host));
                self.agent_hosts[host].incarnation += 1;
                self.agent_hosts[host].agent = None;
                let after = self.random_delay(50, 1_500);
                self.schedule(after, Event::StartAgent(host));
            }
            18 => self.agent_hosts[host].calls_late_until = until,
            _ => self.agent_hosts[host].polls_lost_until = until,
        }
    }
}
