//! Processes the reports that agents, one per worker, send to the leader: ended runs, slow runs and the runs that are
//! still on the worker.

use std::{sync::Arc, time::Duration};

use figdeal_core::time::Timestamp;

use super::{AgentKey, AgentReport, Dispatcher, ORPHAN_TIMEOUT, PlacedRun, TaskState};
use crate::{
    job::TaskId,
    log_value::OrUnknown,
    message::{Order, RunEvent, RunId, RunOutcome, RunStatus, StartRejection},
    state::Command,
};

/// Time without further starts for a worker that refused a start or had no room for it.
const REFUSED_START_DELAY: Duration = Duration::from_millis(150);
/// Time without further starts for an agent that found a start outdated or meant for another worker, or whose worker is
/// silent, so that the same order is not repeated immediately.
const STALE_START_DELAY: Duration = Duration::from_millis(30);

impl Dispatcher {
    /// Processes a report. Returns `false` if the sender is not registered in this term with its present session; it
    /// has to announce itself.
    pub fn on_report(&mut self, now: Timestamp, mut report: AgentReport) -> bool {
        let Some(&key) = self.by_address.get(&report.address) else {
            return false;
        };
        let agent = &mut self.agents[key];
        if report.term != self.term || report.session != agent.session || !agent.registered {
            return false;
        }
        let was_reachable = super::room::is_reachable(agent, now);
        agent.heard_at = now;
        agent.has_reported = true;
        agent.received_orders = agent.received_orders.max(report.last_orders);
        agent
            .start_flow
            .record_report(report.last_orders, report.unanswered_starts);
        // The agent lease counts from the sending of the report, by the agent's own clock.
        agent.lease_start_us = agent.lease_start_us.max(report.sent_us);
        let incarnation_of =
            |w: &Option<crate::message::WorkerInfo>| w.as_ref().map(|w| w.incarnation);
        if incarnation_of(&agent.worker) != incarnation_of(&report.worker) {
            agent.health = super::WorkerHealth::default();
        }
        // The cold time changes with each report, so it is kept apart from the rest.
        let cold_ms = report
            .worker
            .as_mut()
            .map(|w| std::mem::take(&mut w.cold_ms));
        let worker_changed = agent.worker != report.worker;
        agent.worker = report.worker;
        if worker_changed {
            self.refresh_kinds();
            self.log_if_evacuated(key);
            self.update_racks(key);
        }
        self.update_room(key);
        if worker_changed || !was_reachable {
            self.worker_gained(key, true);
        }
        self.record_cold(now, key, cold_ms.unwrap_or(0));
        // A report with all runs is answered even without new orders, which renews the agent lease.
        if report.running.is_some() {
            self.mark_due(key);
        }
        let agent = &mut self.agents[key];
        // Events are taken in order, starting with the first that the agent still holds.
        agent.received_event.get_or_insert(report.first_event - 1);
        for event in report.events {
            self.on_run_event(now, key, event);
        }
        self.on_slow_runs(now, key, &report.slow);
        for found in report.undecided {
            let placed = self.agents[key].placed.get(&found.task);
            if placed.is_none_or(|p| p.run != found.run) {
                self.adopt_run(now, key, found);
            }
        }
        if let Some(running) = report.running {
            self.reconcile_runs(now, key, report.last_orders, report.last_event, &running);
        }
        true
    }

    fn on_run_event(&mut self, now: Timestamp, key: AgentKey, event: RunEvent) {
        let agent = &mut self.agents[key];
        if agent.received_event.map(|seq| seq + 1) != Some(event.seq) {
            return;
        }
        agent.received_event = Some(event.seq);
        let placed = agent
            .placed
            .get(&event.task)
            .copied()
            .filter(|p| p.run == event.run);
        if placed.is_some() {
            self.remove_placed(key, event.task);
        }
        if event.outcome.shows_begin() {
            self.set_begun(event.task.job);
        }
        if self.orphan_runs.get(&event.task) == Some(&(key, event.run)) {
            self.orphan_runs.remove(&event.task);
        }
        if !matches!(event.outcome, RunOutcome::Done | RunOutcome::Failed) {
            log::info!(
                "E641 run ended without a result task={} run={} agent={} outcome={:?} \
                 elapsed_ms={} term={}",
                event.task,
                event.run,
                self.agents[key].address,
                event.outcome,
                event.elapsed_ms,
                self.term
            );
        }
        let to_commit = match event.outcome {
            RunOutcome::Done | RunOutcome::Failed => self.on_run_end(now, key, event, placed),
            RunOutcome::Lost(reason) => {
                self.losses.add(reason);
                self.run_lost(key, event.task, event.run);
                false
            }
            RunOutcome::NotStarted(rejection) => {
                let delay = match rejection {
                    StartRejection::NoRoom | StartRejection::RefusedByWorker => REFUSED_START_DELAY,
                    StartRejection::WrongWorker
                    | StartRejection::StaleOrder
                    | StartRejection::WorkerSilent => STALE_START_DELAY,
                };
                self.agents[key].health.pause_starts(now, delay);
                self.run_lost(key, event.task, event.run);
                false
            }
        };
        let agent = &mut self.agents[key];
        // An event is acknowledged once the batch of log commands with its end is committed. An event without a command
        // only waits for the events before it.
        let batch = match (to_commit, agent.unacked_events.back()) {
            (true, _) => self.next_batch,
            (false, Some((_, batch))) => *batch,
            (false, None) => 0,
        };
        agent.unacked_events.push_back((event.seq, batch));
        self.ack_events(key);
    }

    /// Processes the end of a run that is done or has failed. Returns whether the end has to be committed to the log.
    fn on_run_end(
        &mut self,
        now: Timestamp,
        key: AgentKey,
        event: RunEvent,
        placed: Option<PlacedRun>,
    ) -> bool {
        let RunEvent {
            task,
            run,
            outcome,
            elapsed_ms,
            ..
        } = event;
        let done = outcome == RunOutcome::Done;
        self.record_run_result(now, key, task, done, elapsed_ms, placed);
        let Some(state) = self.task_mut(task) else {
            return false;
        };
        match *state {
            TaskState::Done | TaskState::EndPending(true) => return false,
            // After a failure that is not committed yet, only the success of another run still counts.
            TaskState::EndPending(false) if !done => return false,
            TaskState::Placed(current_key, current_run)
                if (current_key, current_run) != (key, run) =>
            {
                // A run that was considered lost has ended after all; only its success matters.
                if !done {
                    return false;
                }
                *state = TaskState::EndPending(true);
                self.order_stop(current_key, task, current_run);
            }
            _ => *state = TaskState::EndPending(done),
        }
        self.remove_ready(task);
        if !done && let Some(job) = self.jobs.get_mut(&task.job) {
            job.record_failed_run(now, task, key);
        }
        let volatile = self.jobs.get(&task.job).is_some_and(|j| j.spec.volatile);
        // The ends of volatile jobs are not in the log.
        if volatile {
            match done {
                true => self.task_done(task),
                false => self.fail_volatile_task(task),
            }
            return false;
        }
        self.commands.push(Command::EndRun { task, run, done });
        true
    }

    /// Updates the health of the worker and the run time ratio of the queue.
    fn record_run_result(
        &mut self,
        now: Timestamp,
        key: AgentKey,
        task: TaskId,
        done: bool,
        elapsed_ms: u32,
        placed: Option<PlacedRun>,
    ) {
        let (Some(job), Some(placed)) = (self.jobs.get(&task.job), placed) else {
            return;
        };
        if !done {
            self.agents[key].health.record_failure(now);
            return;
        }
        let agent = &mut self.agents[key];
        if agent.cold_until.is_some() {
            // How long a run takes on a cold worker says nothing about the queue, nor about the worker once it is warm.
            agent.health.record_success(now, elapsed_ms, 0.0);
            return;
        }
        let queue_ratio = &mut self.backlogs[job.backlog].run_time_ratio;
        // The place of the data says nothing about the worker or the estimates of the queue.
        let estimate = f64::from(placed.estimate_ms) * placed.remote_factor;
        self.agents[key]
            .health
            .record_success(now, elapsed_ms, estimate * queue_ratio.value());
        if estimate > 0.0 {
            queue_ratio.record(now, f64::from(elapsed_ms) / estimate);
        }
    }

    /// Compares the runs at an agent with those that the leader placed there: adopts or stops unexpected runs, and
    /// handles as lost the placed runs that the agent does not list. `last_orders` is the number of the newest orders
    /// message that the agent had processed when it sent the report.
    fn reconcile_runs(
        &mut self,
        now: Timestamp,
        key: AgentKey,
        last_orders: u64,
        last_event: u64,
        running: &[RunStatus],
    ) {
        for status in running {
            let RunId { task, run } = status.id;
            let placed = self.agents[key].placed.get_mut(&task);
            let Some(placed) = placed.filter(|p| p.run == run) else {
                self.adopt_run(now, key, status.id);
                if status.confirmed {
                    self.set_begun(task.job);
                }
                continue;
            };
            let newly_confirmed = status.confirmed && !placed.confirmed;
            placed.confirmed |= status.confirmed;
            placed.record_progress(now, status.progress_percent);
            let needs = placed.needs;
            let stop_lost = placed.stop_number.is_some_and(|n| n <= last_orders);
            if stop_lost && !status.stopping {
                log::info!(
                    "E639 repeating a lost stop task={task} run={run} agent={} term={}",
                    self.agents[key].address,
                    self.term
                );
                self.order_stop(key, task, run);
            }
            if !status.needs_known {
                // A new process of the agent found the run on its worker.
                self.agents[key]
                    .outbox
                    .push(Order::Adopt { task, run, needs });
                self.mark_due(key);
            }
            if newly_confirmed {
                self.set_begun(task.job);
            }
        }
        let agent = &mut self.agents[key];
        // Otherwise the end of a run that is not listed may be in an event that was not received yet.
        if agent.received_event == Some(last_event) {
            let listed = |task: TaskId, run| running.iter().any(|s| s.id == RunId { task, run });
            let missing = agent
                .placed
                .iter()
                .filter(|(task, p)| p.orders_number <= last_orders && !listed(**task, p.run));
            let missing: Vec<(TaskId, u64)> = missing.map(|(t, p)| (*t, p.run)).collect();
            for (task, run) in missing {
                self.remove_placed(key, task);
                log::warn!(
                    "E608 run is missing at its agent task={task} run={run} agent={} term={}",
                    self.agents[key].address,
                    self.term
                );
                self.run_lost(key, task, run);
            }
        }
        let agent = &mut self.agents[key];
        let address = agent.address;
        agent.runs_known = agent.received_event == Some(last_event) || agent.runs_known;
        let runs_known = agent.runs_known;
        self.update_room(key);
        if runs_known && self.agents_with_unknown_runs.remove(&address) {
            log::info!("E609 agent of an earlier term reported address={address}");
            self.release_held_jobs(now);
        }
    }

    /// Adopts a run of an earlier leader or of an earlier process of the agent, or stops it if its task needs no run. A
    /// run of an unknown job is left alone until [`ORPHAN_TIMEOUT`] after the election, because its job may be
    /// resubmitted.
    pub(super) fn adopt_run(&mut self, now: Timestamp, key: AgentKey, found: RunId) {
        let RunId { task, run } = found;
        if !self.jobs.contains_key(&task.job) && now < self.leading_since + ORPHAN_TIMEOUT {
            self.orphan_runs.insert(task, (key, run));
            return;
        }
        let spec = self.jobs.get(&task.job).map(|j| Arc::clone(&j.spec));
        let job_known = spec.is_some();
        let step = spec
            .as_ref()
            .and_then(|s| s.steps.get(usize::from(task.step)));
        let state = self.task_mut(task).map(|state| *state);
        let is_unplaced = matches!(state, Some(TaskState::Blocked | TaskState::Ready));
        if !self.agents.contains_key(key) {
            return;
        }
        self.mark_due(key);
        let (placed_key, placed_run) = match state {
            Some(TaskState::Placed(key, run)) => (Some(key), Some(run)),
            _ => (None, None),
        };
        let placed_agent = placed_key
            .and_then(|k| self.agents.get(k))
            .map(|a| a.address);
        let pool = self
            .jobs
            .get(&task.job)
            .map(|j| self.backlogs[j.backlog].pool.clone());
        let data_rack = match (pool, step) {
            (Some(pool), Some(step)) => self.rack_of(&pool, step),
            _ => None,
        };
        let agent = &mut self.agents[key];
        let Some(step) = step.filter(|_| is_unplaced && !agent.placed.contains_key(&task)) else {
            log::info!(
                "E610 stopping an unexpected run task={task} run={run} agent={} term={} \
                 job_known={job_known} placed_run={} placed_agent={}",
                agent.address,
                self.term,
                OrUnknown(placed_run),
                OrUnknown(placed_agent)
            );
            agent.outbox.push(Order::Stop { task, run });
            return;
        };
        log::info!(
            "E611 adopted a run task={task} run={run} agent={} term={}",
            agent.address,
            self.term
        );
        let needs = step.needs;
        let estimate = step.estimate_ms;
        let backlog = self.jobs[&task.job].backlog;
        let remote_factor = agent.remote_factor(step, self.limits);
        let number = agent.last_orders;
        let placed = PlacedRun {
            run,
            needs,
            progress_percent: 0,
            progressed_at: now,
            orders_number: number,
            estimate_ms: estimate,
            remote_factor,
            placed_at: now,
            expected_end: now + self.expected_run_time(key, backlog, step),
            data_rack,
            stop_number: None,
            confirmed: false,
            backlog,
        };
        self.agents[key]
            .outbox
            .push(Order::Adopt { task, run, needs });
        self.add_placed(key, task, placed);
        self.remove_ready(task);
        self.set_started(task.job);
        if let Some(state) = self.task_mut(task) {
            *state = TaskState::Placed(key, run);
        }
    }
}
