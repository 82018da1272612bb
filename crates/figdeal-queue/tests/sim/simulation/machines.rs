//! Simulated messages, disks, agents and workers.

use super::*;

impl Simulation {
    pub(super) fn send(&mut self, from: SocketAddr, to: SocketAddr, message: PeerMessage) {
        // Messages between two processes arrive in order.
        let delay = Duration::from_micros(self.rng.random_range(300..2_500));
        let last_delivery = self
            .last_deliveries
            .entry((from, to))
            .or_insert(Timestamp::ZERO);
        let at = (self.now + delay).max(*last_delivery + Duration::from_micros(1));
        *last_delivery = at;
        let incarnation = self.incarnation_of(to);
        let event = Event::Deliver {
            from,
            to,
            message: Box::new(message),
            incarnation,
        };
        self.schedule(at - self.now, event);
    }

    pub(super) fn incarnation_of(&self, address: SocketAddr) -> u64 {
        let node = (0..self.machines.len()).find(|n| node_address(*n) == address);
        let agent = (0..self.agent_hosts.len()).find(|n| agent_address(*n) == address);
        node.map(|n| self.machines[n].incarnation)
            .or_else(|| agent.map(|n| self.agent_hosts[n].incarnation))
            .expect("the address must belong to a node or an agent")
    }

    pub(super) fn deliver(
        &mut self,
        from: SocketAddr,
        to: SocketAddr,
        message: PeerMessage,
        incarnation: u64,
    ) {
        if self.disconnected.contains(&from)
            || self.disconnected.contains(&to)
            || self.incarnation_of(to) != incarnation
        {
            return;
        }
        let node = (0..self.machines.len()).find(|n| node_address(*n) == to);
        let host = (0..self.agent_hosts.len()).find(|n| agent_address(*n) == to);
        let paused_until = match node {
            Some(n) => self.machines[n].paused_until,
            None => self.agent_hosts[host.expect("an agent")].paused_until,
        };
        if paused_until > self.now {
            // Messages to a paused process wait in its socket.
            let message = Box::new(message);
            let event = Event::Deliver {
                from,
                to,
                message,
                incarnation,
            };
            return self.schedule(paused_until - self.now, event);
        }
        if let Some(n) = node {
            let clock = self.clock();
            if let Some(node) = &mut self.machines[n].node {
                node.on_message(clock, message);
            }
            self.process_node_actions(n);
        } else if let Some(n) = host {
            let now = self.agent_now();
            if let Some(agent) = &mut self.agent_hosts[n].agent {
                agent.on_message(now, message);
            }
            self.process_agent_actions(n);
        }
    }

    pub(super) fn process_node_actions(&mut self, n: usize) {
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
                    Action::Send(to, message) if to == node_address(n) => {
                        let clock = self.clock();
                        self.machines[n]
                            .node
                            .as_mut()
                            .unwrap()
                            .on_message(clock, message);
                    }
                    Action::Send(to, message) => self.send(node_address(n), to, message),
                    Action::Reply(token, answer) => self.on_answer(token, &answer, false),
                    Action::Store {
                        writes,
                        last,
                        send_after_sync,
                    } => {
                        let now = self.now;
                        let machine = &mut self.machines[n];
                        machine.written_records.extend(writes);
                        let free = machine.disk_free_at.max(now) + SYNC_DURATION;
                        machine.disk_free_at = free;
                        let (incarnation, writes) =
                            (machine.incarnation, machine.written_records.len());
                        let skip_sync = self.plan.injected_bug == InjectedBug::SkipSync;
                        let delay = if skip_sync {
                            Duration::ZERO
                        } else {
                            free - now
                        };
                        self.schedule(
                            delay,
                            Event::Stored {
                                node: n,
                                incarnation,
                                writes,
                                last,
                                send_after_sync,
                            },
                        );
                    }
                }
            }
        }
    }

    pub(super) fn on_stored(
        &mut self,
        n: usize,
        incarnation: u64,
        writes: usize,
        last: Position,
        send_after_sync: Vec<(SocketAddr, PeerMessage)>,
    ) {
        let clock = self.clock();
        let skip = self.plan.injected_bug == InjectedBug::SkipSync;
        let machine = &mut self.machines[n];
        if machine.incarnation != incarnation || machine.node.is_none() {
            return;
        }
        if !skip {
            machine.durable_count = machine.durable_count.max(writes);
        }
        machine.node.as_mut().unwrap().on_stored(clock, last);
        for (to, message) in send_after_sync {
            if to == node_address(n) {
                self.machines[n]
                    .node
                    .as_mut()
                    .unwrap()
                    .on_message(clock, message);
            } else {
                self.send(node_address(n), to, message);
            }
        }
        self.process_node_actions(n);
    }

    pub(super) fn process_agent_actions(&mut self, n: usize) {
        let incarnation = self.agent_hosts[n].incarnation;
        let Some(agent) = &mut self.agent_hosts[n].agent else {
            return;
        };
        for action in agent.take_actions() {
            let call = match action {
                AgentAction::Send(to, message) => {
                    self.send(agent_address(n), to, message);
                    continue;
                }
                AgentAction::Poll(call) => WorkerCall::Poll(call),
                AgentAction::Start(call) => WorkerCall::Start(call),
                AgentAction::Stop(call) => WorkerCall::Stop(call),
            };
            if let WorkerCall::Poll(call) = &call {
                // Has no effect if the answer arrives earlier.
                let (number, limit) = (call.number, call.wait + CALL_TIMEOUT);
                self.schedule(
                    limit,
                    Event::PollTimedOut {
                        agent: n,
                        incarnation,
                        number,
                    },
                );
            }
            let late = self.rng.random_bool(self.plan.late_call_fraction) && !self.without_faults;
            let host = &self.agent_hosts[n];
            let lost = match call {
                WorkerCall::Poll(_) => host.polls_lost_until > self.now,
                WorkerCall::Start(_) => host.starts_lost_until > self.now,
                WorkerCall::Stop(_) => false,
            };
            let all_late = host.calls_late_until > self.now;
            if (late || all_late || lost)
                && let WorkerCall::Start(start) = &call
            {
                self.leave_unanswered(n, incarnation, start.clone());
            }
            if lost {
                continue;
            }
            let (after, late_for) = if late || all_late {
                let max_delay_ms = if all_late { 12_000 } else { 6_000 };
                let after = self.random_delay(2_000, max_delay_ms);
                (after, Some(self.agent_hosts[n].worker.incarnation))
            } else {
                let after = Duration::from_micros(self.rng.random_range(100..800));
                (after, None)
            };
            self.schedule(
                after,
                Event::Call {
                    agent: n,
                    incarnation,
                    call,
                    late_for,
                },
            );
        }
    }

    /// Lets the start of a run time out at its agent.
    fn leave_unanswered(&mut self, n: usize, incarnation: u64, call: StartCall) {
        self.schedule(
            START_TIMEOUT,
            Event::StartAnswered {
                agent: n,
                incarnation,
                call,
                answer: StartReply::Unknown,
            },
        );
    }

    /// Lets the worker carry out a call.
    pub(super) fn on_worker_call(
        &mut self,
        n: usize,
        incarnation: u64,
        call: WorkerCall,
        late: bool,
    ) {
        if !self.agent_hosts[n].worker.is_up {
            // The connection is reset.
            if let WorkerCall::Poll(call) = &call {
                let number = call.number;
                return self.handle(Event::PollTimedOut {
                    agent: n,
                    incarnation,
                    number,
                });
            }
            if let (WorkerCall::Start(call), false) = (call, late) {
                self.leave_unanswered(n, incarnation, call);
            }
            return;
        }
        match call {
            WorkerCall::Start(call) => {
                let answer = self.start_run(n, &call);
                if !late {
                    let after = Duration::from_micros(300);
                    self.schedule(
                        after,
                        Event::StartAnswered {
                            agent: n,
                            incarnation,
                            call,
                            answer,
                        },
                    );
                }
            }
            WorkerCall::Stop(call) => self.agent_hosts[n].worker.stop(self.now, &call),
            WorkerCall::Poll(call) => {
                let Some(acknowledged) = self.agent_hosts[n].worker.renew_lease(self.now, &call)
                else {
                    return;
                };
                for end in acknowledged {
                    self.checker
                        .on_end_acknowledged(n, &self.agent_hosts[n].worker, end);
                }
                let until = self.now + call.wait;
                if !late {
                    let worker_incarnation = self.agent_hosts[n].worker.incarnation;
                    self.answer_poll(n, incarnation, worker_incarnation, call, until);
                }
            }
        }
    }

    pub(super) fn start_run(&mut self, n: usize, call: &StartCall) -> StartReply {
        let started_at_ms = Some(self.agent_hosts[n].worker.started_at_ms);
        if self.plan.kinds_change && call.started_at_ms != started_at_ms {
            return StartReply::Rejected(StartRejection::WrongWorker);
        }
        if self.agent_hosts[n].rejects_starts {
            return StartReply::Rejected(StartRejection::RefusedByWorker);
        }
        let known = self.agent_hosts[n]
            .worker
            .runs
            .get(&call.task)
            .is_some_and(|r| r.run == call.run);
        let answer = self.agent_hosts[n].worker.check_start(self.now, call);
        if answer != StartReply::Started || known {
            return answer;
        }
        let workers: Vec<&Worker> = self.agent_hosts.iter().map(|s| &s.worker).collect();
        self.checker.on_start(self.now, n, &workers, call.task);
        let Some(sent) = self.checker.jobs.get(&call.task.job) else {
            return answer;
        };
        let step = &sent.spec.steps[usize::from(call.task.step)];
        let (needs, estimate) = (step.needs, step.estimate_ms);
        let outcome = if self.rng.random_bool(0.03) {
            ListedOutcome::Failed
        } else {
            ListedOutcome::Done
        };
        let run_time = match self.run_times.get(&call.task.job) {
            Some(run_time_ms) => Duration::from_millis(u64::from(*run_time_ms)),
            None => self.random_delay(20, 400) * estimate / TYPICAL_ESTIMATE_MS,
        };
        let end = self.now + run_time;
        let run = Run {
            run: call.run,
            start: self.now,
            end,
            outcome,
            needs,
        };
        let worker = &mut self.agent_hosts[n].worker;
        log::debug!(
            "worker {n} starts a run task={} run={}",
            call.task,
            call.run
        );
        worker.start_run(self.now, call, run);
        let used: u32 = worker.runs.values().map(|r| r.needs.millicores).sum();
        if used > worker.capacity.millicores {
            self.checker
                .violations
                .push(format!("LIMIT: worker {n} uses {used}"));
        }
        answer
    }

    /// Answers a poll once a run has ended or the wait of the poll is over.
    pub(super) fn answer_poll(
        &mut self,
        n: usize,
        incarnation: u64,
        worker_incarnation: u64,
        call: PollCall,
        until: Timestamp,
    ) {
        if self.agent_hosts[n].polls_lost_until > self.now {
            return;
        }
        let worker = &self.agent_hosts[n].worker;
        if !worker.is_up || worker.incarnation != worker_incarnation {
            let number = call.number;
            return self.handle(Event::PollTimedOut {
                agent: n,
                incarnation,
                number,
            });
        }
        if worker.unacknowledged_ends.is_empty() && self.now < until {
            return self.schedule(
                TICK_INTERVAL,
                Event::AnswerPoll {
                    agent: n,
                    incarnation,
                    worker_incarnation,
                    call,
                    until,
                },
            );
        }
        let paused_until = self.agent_hosts[n].paused_until;
        if paused_until > self.now {
            return self.schedule(
                paused_until - self.now,
                Event::AnswerPoll {
                    agent: n,
                    incarnation,
                    worker_incarnation,
                    call,
                    until,
                },
            );
        }
        let view = self.agent_hosts[n].worker.status(self.now);
        let now = self.agent_now();
        if let Some(agent) = self.agent(n, incarnation) {
            agent.on_poll_reply(now, call.number, Some(view));
            agent.tick(now);
        }
        self.process_agent_actions(n);
    }

    pub(super) fn heartbeat(&mut self, n: usize) {
        let host = &self.agent_hosts[n];
        if host.worker.is_up && host.paused_until <= self.now {
            let heartbeat = self.next_heartbeat(n);
            self.deliver_heartbeat(n, heartbeat);
        }
        self.schedule(HEARTBEAT_INTERVAL, Event::Heartbeat(n));
    }

    /// Returns the next heartbeat of a worker.
    pub(super) fn next_heartbeat(&mut self, n: usize) -> Heartbeat {
        let host = &mut self.agent_hosts[n];
        host.heartbeat_sequence += 1;
        Heartbeat {
            id: format!("w{n}"),
            started_at_ms: Some(host.worker.started_at_ms),
            sequence: host.heartbeat_sequence,
            pool: POOL.to_owned(),
            capacity: host.worker.capacity,
            labels: host.worker.labels.clone(),
            draining: false,
            data_centre: Some(data_centre_of(n)),
            cold_time: Duration::ZERO,
        }
    }

    pub(super) fn deliver_heartbeat(&mut self, n: usize, heartbeat: Heartbeat) {
        let now = self.agent_now();
        if let Some(agent) = &mut self.agent_hosts[n].agent {
            agent.on_heartbeat(now, heartbeat);
        }
    }

    /// Tells the agent that its worker has left for good.
    pub(super) fn deliver_departure(&mut self, n: usize) {
        let now = self.agent_now();
        if let Some(agent) = &mut self.agent_hosts[n].agent {
            agent.worker_left(now, &format!("w{n}"));
        }
        self.process_agent_actions(n);
    }
}
