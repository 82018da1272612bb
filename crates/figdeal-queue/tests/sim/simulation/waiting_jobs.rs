//! Callers that ask how many jobs wait, and jobs that wait although the leader orders their starts.

use super::*;

/// Interval at which a caller asks how many jobs wait.
const ASK_INTERVAL: Duration = Duration::from_millis(100);
const JOBS: u32 = 8;
const RUN_TIME_MS: u32 = 1_500;
/// Time over which the jobs arrive.
const ARRIVAL_TIME: Duration = Duration::from_millis(200);
/// How long the jobs wait.
const WAIT_TIME: Duration = Duration::from_secs(6);
/// Time after which the jobs have begun and callers are told so. A worker that refuses starts is tried again later.
const BEGIN_TIME: Duration = Duration::from_secs(16);

/// Why starts that the leader orders do not begin a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Obstacle {
    /// The workers reject them.
    Rejected,
    /// They get no answer.
    Unanswered,
    /// The workers reject them, and the leader changes.
    RejectedAtTwoLeaders,
}

impl Simulation {
    /// Asks how many jobs of the queue wait.
    pub(super) fn ask_waiting(&mut self) {
        let waiting = self.checker.waiting_jobs();
        let (host, path) = (HOST.to_owned(), PREFIX.to_owned());
        self.send_request(
            CallerRequest::Waiting(waiting),
            Request::Query { host, path },
        );
        self.schedule(ASK_INTERVAL, Event::AskWaiting);
    }

    /// Lets jobs wait because of an obstacle, and begin after it. Returns how many jobs callers were told to wait during
    /// the obstacle and after it, and how many have not begun then.
    pub(crate) fn delay_starts(&mut self, obstacle: Obstacle) -> (Option<u32>, Option<u32>, usize) {
        self.schedule(Duration::from_secs(3), Event::Configure(1));
        self.run_until(self.now + Duration::from_secs(20));
        self.set_obstacle(obstacle, true);
        let ids = self.submit_jobs(0x6000, JOBS, ARRIVAL_TIME, RUN_TIME_MS);
        self.schedule(Duration::ZERO, Event::AskWaiting);
        self.run_until(self.now + WAIT_TIME / 2);
        if obstacle == Obstacle::RejectedAtTwoLeaders {
            let serving = |m: &NodeMachine| m.node.as_ref().is_some_and(Node::is_serving);
            let leader = self.machines.iter().position(serving).expect("a leader");
            self.stop_node(leader, false);
            self.schedule(Duration::from_millis(300), Event::StartNode(leader));
        }
        self.run_until(self.now + WAIT_TIME / 2);
        let during = self.told_waiting;
        self.set_obstacle(obstacle, false);
        self.run_until(self.now + BEGIN_TIME);
        let waiting = self.checker.waiting_jobs();
        let waiting = ids.iter().filter(|id| waiting.contains(id)).count();
        (during, self.told_waiting, waiting)
    }

    fn set_obstacle(&mut self, obstacle: Obstacle, is_there: bool) {
        let until = match is_there {
            true => self.now + WAIT_TIME * 2,
            false => self.now,
        };
        for n in 0..self.agent_hosts.len() {
            let host = &mut self.agent_hosts[n];
            match obstacle {
                Obstacle::Rejected | Obstacle::RejectedAtTwoLeaders => {
                    host.rejects_starts = is_there;
                }
                Obstacle::Unanswered => host.starts_lost_until = until,
            }
        }
    }
}
