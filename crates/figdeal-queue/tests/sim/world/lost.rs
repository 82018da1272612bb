//! A leader that is lost while agents are out of reach.

use super::*;

/// Time from handing the job in to the loss of its leader: it runs, and no voter has been told of it.
const PLACED: Duration = Duration::from_millis(20);
/// Time after the loss in which another node leads.
const ELECTED: Duration = Duration::from_millis(650);

/// Estimate in milliseconds of tasks that outlast the change of the leader.
const LONG: u32 = 1_500;

/// What became of a run of this scenario.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Lost {
    /// The job was not handed in at the leader, or ran nowhere.
    Missed,
    /// A job handed in for the first time began before the agents out of reach were given up, or not.
    New { began: bool },
}

impl World {
    /// A job is handed in at the leader and starts; then the leader ends and the agents that run the job are cut off.
    /// Its caller hands it in again, and another caller hands in a new job.
    pub(crate) fn lose_leader(&mut self) -> Lost {
        let (lost, new) = (JobId(0x77), JobId(0x78));
        self.schedule(Duration::from_secs(3), Event::Configure(1));
        self.run(self.now + Duration::from_secs(5));
        let mut spec = self.draw_job(true);
        for step in &mut spec.steps {
            step.estimate_ms = LONG;
        }
        self.introduce(lost, spec);
        self.submit(lost);
        let at = self.questions.values().map(|(_, n, _)| *n).next();
        self.run(self.now + PLACED);
        let serves = |m: &Machine| m.node.as_ref().is_some_and(Node::is_serving);
        let leader = self.machines.iter().position(serves);
        let runs = |side: &Side| side.worker.runs.keys().any(|task| task.job == lost);
        let busy: Vec<usize> = (0..self.sides.len())
            .filter(|n| runs(&self.sides[*n]))
            .collect();
        if leader.is_none() || leader != at || busy.is_empty() {
            return Lost::Missed;
        }
        for n in busy {
            self.cut.insert(agent_address(n));
        }
        let leader = leader.expect("a node leads");
        self.stop_node(leader, true);
        self.schedule(Duration::from_secs(3), Event::Start(leader));
        self.run(self.now + ELECTED);
        self.submit(new);
        self.run(self.now + Duration::from_millis(150));
        let began = self.check.has_started(new);
        self.run(self.now + Duration::from_secs(6));
        Lost::New { began }
    }
}
