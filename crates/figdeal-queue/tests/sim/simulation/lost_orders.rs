//! Scenario: an agent misses orders about its runs, which go on at its worker.

use super::{callers::job_of_one_task, *};

/// Number of jobs, each of one task.
const JOBS: u64 = 6;
/// Run time of each task, which outlasts the scenario.
const RUN_TIME_MS: u32 = 30_000;
/// Run time of the tasks that are submitted later.
const SHORT_RUN_TIME_MS: u32 = 60;
/// How long the agents miss all messages. The leases of the runs outlast it.
const OUTAGE: Duration = Duration::from_millis(100);

/// Why the agents miss their orders.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Outage {
    /// The processes of the agents are killed, and new ones start.
    AgentsKilled,
    /// Messages are lost, as with a connection that is reset.
    MessagesLost,
}

impl Simulation {
    /// Starts jobs of one long task with these needs and waits until all of them run.
    fn start_long_jobs(&mut self, millicores: u32) {
        self.schedule(Duration::from_secs(3), Event::Configure(1));
        self.run_until(self.now + Duration::from_secs(5));
        let spec = job_of_one_task(millicores, RUN_TIME_MS);
        for n in 0..JOBS {
            let id = JobId(0x2000 + n);
            self.run_times.insert(id, RUN_TIME_MS);
            self.register_job(id, spec.clone());
            self.schedule(Duration::ZERO, Event::Submit(id));
        }
        self.run_until(self.now + Duration::from_secs(1));
    }

    pub(super) fn begin_outage(&mut self, outage: Outage) {
        for n in 0..self.agent_hosts.len() {
            match outage {
                Outage::AgentsKilled => {
                    self.agent_hosts[n].incarnation += 1;
                    self.agent_hosts[n].agent = None;
                    self.schedule(OUTAGE, Event::StartAgent(n));
                }
                Outage::MessagesLost => {
                    self.disconnected.insert(agent_address(n));
                    self.schedule(OUTAGE, Event::Reconnect(agent_address(n)));
                }
            }
        }
    }

    fn run_count(&self) -> usize {
        let hosts = self.agent_hosts.iter();
        hosts.map(|host| host.worker.runs.len()).sum()
    }

    /// Cancels running jobs while the agents miss their orders. Returns the number of runs before, and `wait` after it.
    pub(crate) fn cancel_during_outage(
        &mut self,
        outage: Outage,
        wait: Duration,
    ) -> (usize, usize) {
        self.start_long_jobs(1_000);
        let before = self.run_count();
        self.begin_outage(outage);
        for n in 0..JOBS {
            self.schedule(Duration::from_millis(10), Event::Cancel(JobId(0x2000 + n)));
        }
        self.run_until(self.now + OUTAGE + wait);
        (before, self.run_count())
    }

    /// Kills the agents while runs take most of their workers, and submits small jobs after that. Returns how many of them
    /// were accepted, and how many of these have not ended after `wait`.
    pub(crate) fn fill_after_restart(&mut self, wait: Duration) -> (usize, usize) {
        self.start_long_jobs(5_000);
        self.begin_outage(Outage::AgentsKilled);
        self.run_until(self.now + OUTAGE * 10);
        let ids: Vec<JobId> = (0..JOBS).map(|n| JobId(0x3000 + n)).collect();
        let mut spec = self.checker.jobs[&JobId(0x2000)].spec.clone();
        spec.steps[0].needs.millicores = 500;
        for id in &ids {
            self.run_times.insert(*id, SHORT_RUN_TIME_MS);
            self.register_job(*id, spec.clone());
            self.schedule(Duration::ZERO, Event::Submit(*id));
        }
        self.run_until(self.now + wait);
        self.count_open(&ids)
    }
}
