//! Messages, disks, agents and workers of a run.

use super::*;

impl World {
    pub(super) fn send(&mut self, from: SocketAddr, to: SocketAddr, peer: PeerMessage) {
        // Messages of one pair arrive in order.
        let delay = Duration::from_micros(self.rng.random_range(300..2_500));
        let link = self.links.entry((from, to)).or_insert(Timestamp::ZERO);
        let at = (self.now + delay).max(*link + Duration::from_micros(1));
        *link = at;
        let life = self.life_of(to);
        let event = Event::Deliver {
            from,
            to,
            peer: Box::new(peer),
            life,
        };
        self.schedule(at - self.now, event);
    }

    pub(super) fn life_of(&self, address: SocketAddr) -> u64 {
        let node = (0..self.machines.len()).find(|n| node_address(*n) == address);
        let agent = (0..self.sides.len()).find(|n| agent_address(*n) == address);
        node.map(|n| self.machines[n].life)
            .or_else(|| agent.map(|n| self.sides[n].life))
            .expect("the address exists")
    }

    pub(super) fn deliver(
        &mut self,
        from: SocketAddr,
        to: SocketAddr,
        peer: PeerMessage,
        life: u64,
    ) {
        if self.cut.contains(&from) || self.cut.contains(&to) || self.life_of(to) != life {
            return;
        }
        let node = (0..self.machines.len()).find(|n| node_address(*n) == to);
        let side = (0..self.sides.len()).find(|n| agent_address(*n) == to);
        let frozen = match node {
            Some(n) => self.machines[n].frozen,
            None => self.sides[side.expect("an agent")].frozen,
        };
        if frozen > self.now {
            // What arrives meanwhile waits in the socket.
            let peer = Box::new(peer);
            let event = Event::Deliver {
                from,
                to,
                peer,
                life,
            };
            return self.schedule(frozen - self.now, event);
        }
        if let Some(n) = node {
            let clock = self.clock();
            if let Some(node) = &mut self.machines[n].node {
                node.on_peer(clock, peer);
            }
            self.drain_node(n);
        } else if let Some(n) = side {
            let now = self.agent_now();
            if let Some(agent) = &mut self.sides[n].agent {
                agent.on_peer(now, peer);
            }
            self.drain_agent(n);
        }
    }

    pub(super) fn drain_node(&mut self, n: usize) {
        loop {
            let Some(node) = &mut self.machines[n].node else {
                return;
            };
            let actions = node.take_actions();
            if actions.is_empty() {
                return;
            }
            for action in actions {
                match action {
                    Action::Send(to, peer) if to == node_address(n) => {
                        let clock = self.clock();
                        self.machines[n].node.as_mut().unwrap().on_peer(clock, peer);
                    }
                    Action::Send(to, peer) => self.send(node_address(n), to, peer),
                    Action::Reply(token, answer) => self.answered(token, &answer, false),
                    Action::Store {
                        writes,
                        last,
                        send_after_sync: after,
                    } => {
                        let now = self.now;
                        let machine = &mut self.machines[n];
                        machine.written.extend(writes);
                        let free = machine.disk_free.max(now) + SYNC;
                        machine.disk_free = free;
                        let (life, writes) = (machine.life, machine.written.len());
                        let early = self.plan.sabotage == Sabotage::SkipSync;
                        let delay = if early { Duration::ZERO } else { free - now };
                        self.schedule(
                            delay,
                            Event::Stored {
                                node: n,
                                life,
                                writes,
                                last,
                                after,
                            },
                        );
                    }
                }
            }
        }
    }

    pub(super) fn stored(
        &mut self,
        n: usize,
        life: u64,
        writes: usize,
        last: Position,
        after: Vec<(SocketAddr, PeerMessage)>,
    ) {
        let clock = self.clock();
        let skip = self.plan.sabotage == Sabotage::SkipSync;
        let machine = &mut self.machines[n];
        if machine.life != life || machine.node.is_none() {
            return;
        }
        if !skip {
            machine.durable = machine.durable.max(writes);
        }
        machine.node.as_mut().unwrap().on_stored(clock, last);
        for (to, peer) in after {
            if to == node_address(n) {
                self.machines[n].node.as_mut().unwrap().on_peer(clock, peer);
            } else {
                self.send(node_address(n), to, peer);
            }
        }
        self.drain_node(n);
    }

    pub(super) fn drain_agent(&mut self, n: usize) {
        let life = self.sides[n].life;
        let Some(agent) = &mut self.sides[n].agent else {
            return;
        };
        for action in agent.take_actions() {
            let call = match action {
                AgentAction::Send(to, peer) => {
                    self.send(agent_address(n), to, peer);
                    continue;
                }
                AgentAction::Poll(call) => Call::Hold(call),
                AgentAction::Start(call) => Call::Start(call),
                AgentAction::Stop(call) => Call::Stop(call),
            };
            if let Call::Hold(call) = &call {
                // Without effect if the answer comes before.
                let (number, limit) = (call.number, call.wait + CALL_TIMEOUT);
                self.schedule(
                    limit,
                    Event::NotHeld {
                        agent: n,
                        life,
                        number,
                    },
                );
            }
            let late = self.rng.random_bool(self.plan.late) && !self.quiet;
            if late {
                if let Call::Start(start) = &call {
                    let (call, answer) = (start.clone(), StartReply::Unknown);
                    self.schedule(
                        START_TIMEOUT,
                        Event::Started {
                            agent: n,
                            life,
                            call,
                            answer,
                        },
                    );
                }
                let after = self.millis(2_000, 6_000);
                let late = Some(self.sides[n].worker.incarnation);
                self.schedule(
                    after,
                    Event::Call {
                        agent: n,
                        life,
                        call,
                        late,
                    },
                );
            } else {
                let after = Duration::from_micros(self.rng.random_range(100..800));
                self.schedule(
                    after,
                    Event::Call {
                        agent: n,
                        life,
                        call,
                        late: None,
                    },
                );
            }
        }
    }

    /// The worker carries out a call.
    pub(super) fn call(&mut self, n: usize, life: u64, call: Call, late: bool) {
        if !self.sides[n].worker.is_up {
            // The connection is reset.
            if let Call::Hold(call) = &call {
                let number = call.number;
                return self.handle(Event::NotHeld {
                    agent: n,
                    life,
                    number,
                });
            }
            if let (Call::Start(call), false) = (call, late) {
                let answer = StartReply::Unknown;
                self.schedule(
                    START_TIMEOUT,
                    Event::Started {
                        agent: n,
                        life,
                        call,
                        answer,
                    },
                );
            }
            return;
        }
        match call {
            Call::Start(call) => {
                let answer = self.begin(n, &call);
                if !late {
                    let after = Duration::from_micros(300);
                    self.schedule(
                        after,
                        Event::Started {
                            agent: n,
                            life,
                            call,
                            answer,
                        },
                    );
                }
            }
            Call::Stop(call) => self.sides[n].worker.stop(self.now, &call),
            Call::Hold(call) => {
                let Some(taken) = self.sides[n].worker.renew_lease(self.now, &call) else {
                    return;
                };
                for end in taken {
                    self.check
                        .on_end_acknowledged(n, &self.sides[n].worker, end);
                }
                let until = self.now + call.wait;
                if !late {
                    self.held(n, life, call, until);
                }
            }
        }
    }

    pub(super) fn begin(&mut self, n: usize, call: &StartCall) -> StartReply {
        let known = self.sides[n]
            .worker
            .runs
            .get(&call.task)
            .is_some_and(|r| r.run == call.run);
        let answer = self.sides[n].worker.check_start(self.now, call);
        if answer != StartReply::Started || known {
            return answer;
        }
        let workers: Vec<&Worker> = self.sides.iter().map(|s| &s.worker).collect();
        self.check.on_start(self.now, n, &workers, call.task);
        let Some(sent) = self.check.jobs.get(&call.task.job) else {
            return answer;
        };
        let step = &sent.spec.steps[usize::from(call.task.step)];
        let (needs, estimate) = (step.needs, step.estimate_ms);
        let how = if self.rng.random_bool(0.03) {
            ListedOutcome::Failed
        } else {
            ListedOutcome::Done
        };
        let end = self.now + self.millis(20, 400) * estimate / ESTIMATE;
        let run = Run {
            run: call.run,
            start: self.now,
            end,
            outcome: how,
            needs,
        };
        let worker = &mut self.sides[n].worker;
        log::debug!("worker {n} begins task={} run={}", call.task, call.run);
        worker.start_run(self.now, call, run);
        let used: u32 = worker.runs.values().map(|r| r.needs.millicores).sum();
        if used > worker.capacity.millicores {
            self.check
                .violations
                .push(format!("LIMIT: worker {n} uses {used}"));
        }
        answer
    }

    /// Answers a look once there is an end or its wait is over.
    pub(super) fn held(&mut self, n: usize, life: u64, call: PollCall, until: Timestamp) {
        let worker = &self.sides[n].worker;
        if !worker.is_up {
            let number = call.number;
            return self.handle(Event::NotHeld {
                agent: n,
                life,
                number,
            });
        }
        if worker.unacknowledged_ends.is_empty() && self.now < until {
            return self.schedule(
                STEP,
                Event::Held {
                    agent: n,
                    life,
                    call,
                    until,
                },
            );
        }
        let frozen = self.sides[n].frozen;
        if frozen > self.now {
            return self.schedule(
                frozen - self.now,
                Event::Held {
                    agent: n,
                    life,
                    call,
                    until,
                },
            );
        }
        let view = self.sides[n].worker.status(self.now);
        let now = self.agent_now();
        if let Some(agent) = self.agent(n, life) {
            agent.on_poll_reply(now, call.number, Some(view));
            agent.tick(now);
        }
        self.drain_agent(n);
    }

    pub(super) fn heartbeat(&mut self, n: usize) {
        let now = self.agent_now();
        let side = &mut self.sides[n];
        if side.worker.is_up && side.frozen <= self.now {
            side.beat += 1;
            let beat = Heartbeat {
                id: format!("w{n}"),
                started_at_ms: Some(side.worker.incarnation),
                sequence: side.beat,
                pool: POOL.to_owned(),
                capacity: side.worker.capacity,
                labels: Vec::new(),
                draining: false,
            };
            if let Some(agent) = &mut side.agent {
                agent.heartbeat(now, beat);
            }
        }
        self.schedule(BEAT, Event::Heartbeat(n));
    }
}
