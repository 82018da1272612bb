//! Reports of agents.

use std::{sync::Arc, time::Duration};

use figdeal_core::time::Timestamp;

use super::{AgentKey, Dispatch, ORPHAN_WAIT, Placed, Report, TaskState};
use crate::{
    job::TaskId,
    message::{Ending, Event, Obstacle, Order, Running},
    state::Command,
};

/// Time in which a worker that refused a start gets no other.
const REFUSED_PAUSE: Duration = Duration::from_millis(150);
/// Time in which an agent that could not act on a start gets no other, so that the same order is not repeated at once.
const STALE_PAUSE: Duration = Duration::from_millis(30);
/// Weight of one run in the ratio of run times to estimates of its queue.
const BIAS_WEIGHT: f64 = 0.02;

impl Dispatch {
    /// Takes a report. Returns whether its sender is enrolled; others have to announce themselves.
    pub fn report(&mut self, now: Timestamp, report: Report) -> bool {
        let Some(&key) = self.by_address.get(&report.address) else {
            return false;
        };
        let agent = &mut self.agents[key];
        if report.term != self.term || report.session != agent.session || !agent.enrolled {
            return false;
        }
        agent.heard = now;
        agent.grant = agent.grant.max(report.sent);
        agent.due |= report.running.is_some();
        let lives = |w: &Option<crate::message::Worker>| w.as_ref().map(|w| w.life);
        if lives(&agent.worker) != lives(&report.worker) {
            agent.health = super::Health::default();
        }
        agent.worker = report.worker;
        agent.received.get_or_insert(report.first_event - 1);
        for event in report.events {
            self.take_event(now, key, event);
        }
        self.take_slow(now, key, &report.slow);
        if let Some(running) = report.running {
            self.compare(now, key, report.orders, report.last_event, &running);
        }
        true
    }

    fn take_event(&mut self, now: Timestamp, key: AgentKey, event: Event) {
        let agent = &mut self.agents[key];
        if agent.received.map(|seq| seq + 1) != Some(event.seq) {
            return;
        }
        agent.received = Some(event.seq);
        let placed = agent
            .placed
            .get(&event.task)
            .copied()
            .filter(|p| p.run == event.run);
        if let Some(placed) = placed {
            agent.placed.remove(&event.task);
            agent.used = agent.used.without(placed.needs);
        }
        let logged = match event.ending {
            Ending::Done | Ending::Failed => self.take_end(now, key, event, placed),
            Ending::Lost => {
                self.lost(key, event.task, event.run);
                false
            }
            Ending::NotStarted(obstacle) => {
                let pause = match obstacle {
                    Obstacle::Room | Obstacle::Refused => REFUSED_PAUSE,
                    Obstacle::Worker | Obstacle::Stale => STALE_PAUSE,
                };
                self.agents[key].health.refused(now, pause);
                self.lost(key, event.task, event.run);
                false
            }
        };
        let agent = &mut self.agents[key];
        let batch = match (logged, agent.events.back()) {
            (true, _) => self.batch,
            (false, Some((_, batch))) => *batch,
            (false, None) => 0,
        };
        agent.events.push_back((event.seq, batch));
        if batch <= self.committed {
            self.committed(self.committed);
        }
    }

    /// Takes an end that counts. Returns whether it has to go into the log.
    fn take_end(
        &mut self,
        now: Timestamp,
        key: AgentKey,
        event: Event,
        placed: Option<Placed>,
    ) -> bool {
        let Event {
            task,
            run,
            ending,
            elapsed,
            ..
        } = event;
        let done = ending == Ending::Done;
        self.learn(now, key, task, done, elapsed, placed);
        let Some(held) = self.task_mut(task) else {
            return false;
        };
        match *held {
            TaskState::Done | TaskState::Ending(true) => return false,
            // The end of an earlier run counts too if it has done the work.
            TaskState::Ending(false) if !done => return false,
            TaskState::Placed(other, other_run) if (other, other_run) != (key, run) => {
                // A run that was given up has ended after all; a failure of it no longer matters.
                if !done {
                    return false;
                }
                *held = TaskState::Ending(true);
                self.order_stop(other, task, other_run);
            }
            _ => *held = TaskState::Ending(done),
        }
        let mut volatile = false;
        if let Some(job) = self.jobs.get_mut(&task.job) {
            volatile = job.spec.volatile;
            let step = &mut job.steps[usize::from(task.step)];
            step.ready.retain(|index| *index != task.index);
        }
        if volatile {
            match done {
                true => self.done(task),
                false => self.fail_volatile(task),
            }
            return false;
        }
        self.commands.push(Command::End { task, run, done });
        true
    }

    fn learn(
        &mut self,
        now: Timestamp,
        key: AgentKey,
        task: TaskId,
        done: bool,
        elapsed: u32,
        placed: Option<Placed>,
    ) {
        let (Some(job), Some(placed)) = (self.jobs.get(&task.job), placed) else {
            return;
        };
        if !done {
            self.agents[key].health.failed(now);
            return;
        }
        let bias = self.bias.entry(job.queue.clone()).or_insert(1.0);
        let estimate = f64::from(placed.estimate);
        self.agents[key].health.done(elapsed, estimate * *bias);
        if estimate > 0.0 {
            let ratio = (f64::from(elapsed) / estimate).clamp(0.2, 5.0);
            *bias += BIAS_WEIGHT * (ratio - *bias);
        }
    }

    /// Compares the runs at an agent with the orders that it had when it wrote the report.
    fn compare(
        &mut self,
        now: Timestamp,
        key: AgentKey,
        orders: u64,
        last_event: u64,
        running: &[Running],
    ) {
        for found in running {
            let known = self.agents[key].placed.get(&found.task);
            if known.is_none_or(|p| p.run != found.run) {
                self.adopt(now, key, *found);
            }
        }
        let agent = &mut self.agents[key];
        if agent.received == Some(last_event) {
            let listed = |task: TaskId, run| running.contains(&Running { task, run });
            let missing = agent
                .placed
                .iter()
                .filter(|(task, p)| p.number <= orders && !listed(**task, p.run));
            let missing: Vec<(TaskId, u64)> = missing.map(|(t, p)| (*t, p.run)).collect();
            for (task, run) in missing {
                let agent = &mut self.agents[key];
                let placed = agent.placed.remove(&task).expect("the run is placed");
                agent.used = agent.used.without(placed.needs);
                log::warn!("E608 run is not at its agent task={task} run={run}");
                self.lost(key, task, run);
            }
        }
        let agent = &mut self.agents[key];
        let address = agent.address;
        agent.current = agent.received == Some(last_event) || agent.current;
        if agent.current && self.unresolved.remove(&address) {
            log::info!("E609 agent of an earlier term reported address={address}");
            self.release(now);
        }
    }

    /// Takes over a run of an earlier leader, or of an earlier process of the agent, or has it stopped.
    pub(super) fn adopt(&mut self, now: Timestamp, key: AgentKey, found: Running) {
        let Running { task, run } = found;
        if !self.jobs.contains_key(&task.job) && now < self.since + ORPHAN_WAIT {
            self.orphans.insert(task, (key, run));
            return;
        }
        let spec = self.jobs.get(&task.job).map(|j| Arc::clone(&j.spec));
        let step = spec
            .as_ref()
            .and_then(|s| s.steps.get(usize::from(task.step)));
        let free = matches!(
            self.task_mut(task),
            Some(TaskState::Blocked | TaskState::Ready)
        );
        let Some(agent) = self.agents.get_mut(key) else {
            return;
        };
        agent.due = true;
        let Some(step) = step.filter(|_| free && !agent.placed.contains_key(&task)) else {
            log::info!("E610 unexpected run is stopped task={task} run={run}");
            agent.outbox.push(Order::Stop { task, run });
            return;
        };
        log::info!(
            "E611 run taken over task={task} run={run} agent={}",
            agent.address
        );
        let needs = step.needs;
        let estimate = step.estimate;
        let number = agent.number;
        let placed = Placed {
            run,
            needs,
            at: now,
            number,
            estimate,
            stopping: false,
        };
        agent.placed.insert(task, placed);
        agent.used = agent.used.with(needs);
        agent.outbox.push(Order::Keep { task, run, needs });
        let job = self.jobs.get_mut(&task.job).expect("the job is known");
        job.started = true;
        let view = &mut job.steps[usize::from(task.step)];
        view.tasks[task.index as usize] = TaskState::Placed(key, run);
        view.ready.retain(|index| *index != task.index);
    }
}
