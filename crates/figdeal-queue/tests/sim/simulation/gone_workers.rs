//! Scenario: a worker is gone for good, and its agent restarts or has starts without an answer.

use super::*;

/// Run time of the tasks, which are in progress when their worker goes.
const RUN_TIME_MS: u32 = 3_000;
const JOBS: u32 = 40;
/// Time over which the jobs arrive. The worker goes in the middle of it, so that some starts get no answer.
const ARRIVAL_TIME: Duration = Duration::from_millis(600);
/// How long a new process of the agent takes to start.
const AGENT_DOWN_TIME: Duration = Duration::from_millis(200);
/// Interval at which the scenario looks for tasks that have no run.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// How long the worker is gone.
const FOREVER: Duration = Duration::from_secs(3_600);

/// How the worker goes, and what happens to its agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Loss {
    /// The worker crashes; its connections are reset.
    Crash,
    /// Calls to the worker get no answer and are not carried out.
    Silence,
    /// The worker crashes, and the process of its agent restarts.
    CrashAndAgent,
    /// Calls to the worker are lost, and the process of its agent restarts.
    SilenceAndAgent,
    /// The worker crashes, and all nodes and the process of its agent restart.
    CrashAgentAndNodes,
}

impl Simulation {
    /// Lets one worker go for good while it has runs. Returns how many tasks have no run in progress elsewhere and
    /// have not ended as done or failed after `limit`, and after how long the last task had one or had ended.
    pub(crate) fn lose_worker(&mut self, loss: Loss, limit: Duration) -> (usize, Duration) {
        self.schedule(Duration::from_secs(3), Event::Configure(1));
        self.run_until(self.now + Duration::from_secs(20));
        let ids = self.submit_jobs(0x5000, JOBS, ARRIVAL_TIME, RUN_TIME_MS);
        self.run_until(self.now + ARRIVAL_TIME / 2);
        let hosts = 0..self.agent_hosts.len();
        let gone = hosts.max_by_key(|n| self.agent_hosts[*n].worker.runs.len());
        let gone = gone.expect("there must be a worker");
        match loss {
            Loss::Crash | Loss::CrashAndAgent | Loss::CrashAgentAndNodes => self.crash_worker(gone),
            Loss::Silence | Loss::SilenceAndAgent => {
                self.agent_hosts[gone].polls_lost_until = self.now + FOREVER;
                self.agent_hosts[gone].starts_lost_until = self.now + FOREVER;
            }
        }
        let lost_at = self.now;
        if matches!(
            loss,
            Loss::CrashAndAgent | Loss::SilenceAndAgent | Loss::CrashAgentAndNodes
        ) {
            self.agent_hosts[gone].incarnation += 1;
            self.agent_hosts[gone].agent = None;
            self.schedule(AGENT_DOWN_TIME, Event::StartAgent(gone));
        }
        if loss == Loss::CrashAgentAndNodes {
            for n in 0..self.machines.len() {
                self.stop_node(n, true);
                self.schedule(AGENT_DOWN_TIME, Event::StartNode(n));
            }
        }
        self.run_until(lost_at + ARRIVAL_TIME);
        let mut waiting = self.count_waiting(&ids, gone);
        while waiting > 0 && self.now < lost_at + limit {
            self.run_until(self.now + CHECK_INTERVAL);
            waiting = self.count_waiting(&ids, gone);
        }
        let duration = self.now - lost_at;
        self.run_until(self.now + Duration::from_secs(6));
        (waiting, duration)
    }

    /// Returns how many accepted jobs of one task neither run on another worker than `gone` nor have completed their
    /// task, nor have failed because their task has failed as often as it may.
    fn count_waiting(&self, ids: &[JobId], gone: usize) -> usize {
        let hosts = self.agent_hosts.iter().enumerate();
        let others = hosts.filter(|(n, _)| *n != gone);
        let running: BTreeSet<JobId> = others
            .flat_map(|(_, host)| host.worker.runs.keys().map(|task| task.job))
            .collect();
        let completed = &self.checker.completed_tasks;
        let completed: BTreeSet<JobId> = completed.iter().map(|task| task.job).collect();
        ids.iter()
            .filter(|id| {
                let job = &self.checker.jobs[id];
                job.accepted && !job.cancel_requested
            })
            .filter(|id| !running.contains(id) && !completed.contains(id))
            .filter(|id| !self.checker.has_failed(**id))
            .count()
    }
}
