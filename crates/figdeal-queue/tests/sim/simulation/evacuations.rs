//! Scenario: nodes are lost right after an evacuation was acknowledged.

use super::*;

/// Time after the acknowledgement after which no task may start in the data centre.
const EVACUATION_TIME: Duration = Duration::from_millis(5_000);
/// Time for which an operator repeats a request.
const ACK_LIMIT: Duration = Duration::from_millis(5_000);
const NODE_DOWN_TIME: Duration = Duration::from_millis(500);
/// Shorter than a run, so that each run is seen.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);
const RUN_TIME_MS: u32 = 150;
const JOBS: u32 = 60;
/// Time in which these jobs arrive and end.
const JOBS_TIME: Duration = Duration::from_secs(4);

/// Nodes that are lost, with everything that is not durable.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum NodeLoss {
    Leader,
    All,
}

impl Simulation {
    pub(super) fn set_evacuation(&mut self, evacuated: bool) {
        let request = Request::SetEvacuation {
            data_centre: data_centre_of(0),
            evacuated,
        };
        self.send_request(CallerRequest::SetEvacuation(evacuated), request);
    }

    /// Evacuates the first data centre, stops nodes, and revokes the evacuation later. Returns the number of runs that were
    /// seen in the data centre during the evacuation and after it, and the number of jobs that have not ended.
    pub(crate) fn evacuate_and_lose(&mut self, loss: NodeLoss) -> (usize, usize, usize) {
        self.schedule(Duration::from_secs(3), Event::Configure(1));
        self.run_until(self.now + Duration::from_secs(5));
        let mut ids = self.submit_jobs(0x5000, JOBS, JOBS_TIME, RUN_TIME_MS);
        self.await_evacuation(true, ACK_LIMIT);
        self.lose_nodes(loss);
        self.run_until(self.now + EVACUATION_TIME);
        let during = self.count_runs(&mut ids, 0x6000);
        self.await_evacuation(false, ACK_LIMIT);
        let after = self.count_runs(&mut ids, 0x7000);
        let open = self.count_open(&ids).1;
        // The next leader does not know the workers at first, but it must not say that the data centre does not exist.
        self.lose_nodes(loss);
        self.await_evacuation(true, ACK_LIMIT + CALLER_TIMEOUT);
        (during, after, open)
    }

    fn lose_nodes(&mut self, loss: NodeLoss) {
        for n in 0..self.machines.len() {
            let node = self.machines[n].node.as_ref();
            if loss == NodeLoss::All || node.is_some_and(Node::is_serving) {
                self.stop_node(n, true);
                self.schedule(NODE_DOWN_TIME, Event::StartNode(n));
            }
        }
    }

    fn await_evacuation(&mut self, evacuated: bool, limit: Duration) {
        self.schedule(Duration::ZERO, Event::SetEvacuation(evacuated));
        let start = self.now;
        while self.acknowledged_evacuation != Some(evacuated) {
            assert!(self.now < start + limit, "no acknowledgement in time");
            self.run_until(self.now + CHECK_INTERVAL);
        }
    }

    /// Submits jobs and returns how many of their runs were seen in the first data centre.
    fn count_runs(&mut self, ids: &mut Vec<JobId>, first: u64) -> usize {
        ids.extend(self.submit_jobs(first, JOBS, JOBS_TIME / 2, RUN_TIME_MS));
        let end = self.now + JOBS_TIME;
        let mut seen: BTreeSet<figdeal_queue::job::TaskId> = BTreeSet::new();
        while self.now < end {
            self.run_until(self.now + CHECK_INTERVAL);
            let hosts = self.agent_hosts.iter().enumerate();
            let inside = hosts.filter(|(n, _)| data_centre_of(*n) == data_centre_of(0));
            let runs = inside.flat_map(|(_, host)| host.worker.runs.keys());
            seen.extend(runs.filter(|task| task.job.0 >= first));
        }
        seen.len()
    }
}
