//! Faults of a run.

use super::*;

impl World {
    pub(super) fn stop_node(&mut self, n: usize, power: bool) {
        let machine = &mut self.machines[n];
        machine.life += 1;
        machine.node = None;
        if power {
            machine.written.truncate(machine.durable);
        } else {
            // The files of a killed process stay as they were.
            machine.durable = machine.written.len();
        }
        machine.disk_free = Timestamp::ZERO;
        let gone: Vec<u64> = self
            .questions
            .iter()
            .filter(|(_, (_, at, _))| *at == n)
            .map(|(t, _)| *t)
            .collect();
        for token in gone {
            self.answered(token, &Answer::OutcomeUnknown, false);
        }
        for other in 0..self.machines.len() {
            let clock = self.clock();
            if let Some(node) = &mut self.machines[other].node {
                node.on_connection_lost(clock, node_address(n), !power);
            }
            self.drain_node(other);
        }
    }

    /// Wipes the disk of a machine whose data others hold, one at a time.
    pub(super) fn wipe(&mut self, n: usize) {
        self.wiped = self.now;
        self.stop_node(n, true);
        let machine = &mut self.machines[n];
        machine.written.clear();
        machine.durable = 0;
        if self.plan.sabotage != Sabotage::KeepIdentity {
            machine.id = NodeId(self.rng.random());
        }
        let after = self.millis(100, 1_500);
        self.schedule(after, Event::Start(n));
    }

    pub(super) fn fault(&mut self) {
        let n = self.rng.random_range(0..self.machines.len());
        let side = self.rng.random_range(0..self.sides.len());
        let kind = self.plan.kinds[self.rng.random_range(0..self.plan.kinds.len())];
        log::debug!("fault kind={kind} node={n} side={side}");
        match kind {
            0 | 1 if self.machines[n].node.is_some() => {
                self.stop_node(n, false);
                let after = self.millis(50, 1_500);
                self.schedule(after, Event::Start(n));
            }
            2 if self.machines.iter().all(|m| m.node.is_some()) => {
                // All lose power at once.
                for n in 0..self.machines.len() {
                    self.stop_node(n, true);
                    let after = self.millis(200, 900);
                    self.schedule(after, Event::Start(n));
                }
            }
            3 => {
                let spell = self.millis(300, 4_000);
                self.machines[n].frozen = self.now + spell;
            }
            4 => {
                let spell = self.millis(300, 4_000);
                self.cut.insert(node_address(n));
                self.schedule(spell, Event::Heal(node_address(n)));
            }
            5 => {
                let spell = self.millis(300, 4_000);
                self.cut.insert(agent_address(side));
                self.schedule(spell, Event::Heal(agent_address(side)));
            }
            6 => {
                self.sides[side].life += 1;
                self.sides[side].agent = None;
                let after = self.millis(50, 1_500);
                self.schedule(after, Event::StartAgent(side));
            }
            7 => {
                let spell = self.millis(300, 4_000);
                self.sides[side].frozen = self.now + spell;
            }
            8 => {
                let worker = &mut self.sides[side].worker;
                worker.is_up = false;
                worker.runs.clear();
                let after = self.millis(100, 2_000);
                self.schedule(after, Event::StartWorker(side));
            }
            _ => {
                let whole = self
                    .machines
                    .iter()
                    .all(|m| m.node.is_some() && m.frozen <= self.now);
                let ids: Vec<NodeId> = self.machines.iter().map(|m| m.id).collect();
                let leaders = self.machines.iter().filter_map(|m| m.node.as_ref());
                let replaced = |n: &Node| {
                    let members = n.raft().members();
                    members.len() == 3 && members.iter().all(|m| ids.contains(&m.id))
                };
                // The loss of one disk is to be borne, the next one only after its replacement.
                let settled = leaders.filter(|n| n.is_serving()).any(replaced)
                    && self.wiped + WIPE_GAP <= self.now;
                if whole && settled && self.machines[n].disk {
                    self.wipe(n);
                }
            }
        }
    }
}
