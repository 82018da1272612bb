//! Scenario: a leader is lost while agents are unreachable.

use super::*;

/// Time from the submission of the job to the loss of its leader: the job runs, and no voter has been told about it.
const TIME_TO_START: Duration = Duration::from_millis(20);
/// Time after the loss until another node is leader.
const ELECTION_TIME: Duration = Duration::from_millis(650);

/// Estimate of tasks that outlast the change of the leader.
const LONG_ESTIMATE_MS: u32 = 1_500;

/// Outcome of this scenario.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum LeaderLoss {
    /// The job was not submitted at the leader, or no task of it started.
    NotApplicable,
    /// `started_early` tells whether a job that was submitted for the first time started before the unreachable
    /// agents were given up.
    NewJob { started_early: bool },
}

impl Simulation {
    /// Submits a job to the leader and lets it start. Then the leader stops and the agents that run the job are
    /// disconnected. The caller resubmits the job, and another caller submits a new one.
    pub(crate) fn lose_leader(&mut self) -> LeaderLoss {
        let (lost_job, new_job) = (JobId(0x77), JobId(0x78));
        self.schedule(Duration::from_secs(3), Event::Configure(1));
        self.run_until(self.now + Duration::from_secs(5));
        let mut spec = self.random_job(true);
        for step in &mut spec.steps {
            step.estimate_ms = LONG_ESTIMATE_MS;
        }
        self.register_job(lost_job, spec);
        self.submit(lost_job);
        let submitted_to = self.pending_requests.values().map(|(_, n, _)| *n).next();
        self.run_until(self.now + TIME_TO_START);
        let serves = |m: &NodeMachine| m.node.as_ref().is_some_and(Node::is_serving);
        let leader = self.machines.iter().position(serves);
        let runs = |host: &AgentHost| host.worker.runs.keys().any(|task| task.job == lost_job);
        let busy_hosts: Vec<usize> = (0..self.agent_hosts.len())
            .filter(|n| runs(&self.agent_hosts[*n]))
            .collect();
        if leader.is_none() || leader != submitted_to || busy_hosts.is_empty() {
            return LeaderLoss::NotApplicable;
        }
        for n in busy_hosts {
            self.disconnected.insert(agent_address(n));
        }
        let leader = leader.expect("there must be a leader");
        self.stop_node(leader, true);
        self.schedule(Duration::from_secs(3), Event::StartNode(leader));
        self.run_until(self.now + ELECTION_TIME);
        self.submit(new_job);
        self.run_until(self.now + Duration::from_millis(150));
        let started_early = self.checker.has_started(new_job);
        self.run_until(self.now + Duration::from_secs(6));
        LeaderLoss::NewJob { started_early }
    }
}
