//! Scenario: all processes restart with seeds that are not voters.

use super::*;

/// Delay after which the seeds start, later than all other nodes.
const SEED_START_DELAY: Duration = Duration::from_millis(900);

impl Simulation {
    /// Returns how many jobs were submitted at the new seeds after the restart, and how many of them have ended.
    pub(crate) fn restart_with_other_seeds(&mut self) -> (usize, usize) {
        self.schedule(Duration::from_secs(3), Event::Configure(1));
        self.run_until(self.now + Duration::from_secs(6));
        let leader = self.machines.iter().filter_map(|m| m.node.as_ref());
        let leader = leader
            .into_iter()
            .find(|n| n.is_serving())
            .expect("there must be a leader");
        let members: Vec<SocketAddr> = leader.raft().members().iter().map(|m| m.address).collect();
        let all = 0..self.machines.len();
        let others = all.clone().filter(|n| !members.contains(&node_address(*n)));
        self.seeds = others.collect();
        for n in all.clone() {
            self.stop_node(n, true);
            let is_seed = self.seeds.contains(&n);
            let after = if is_seed {
                SEED_START_DELAY
            } else {
                Duration::from_millis(200)
            };
            self.schedule(after, Event::StartNode(n));
        }
        for n in 0..self.agent_hosts.len() {
            self.agent_hosts[n].incarnation += 1;
            self.agent_hosts[n].agent = None;
            self.schedule(SEED_START_DELAY, Event::StartAgent(n));
        }
        self.run_until(self.now + Duration::from_secs(3));
        let ids: Vec<JobId> = (0..20).map(|n| JobId(0x90 + n)).collect();
        for id in &ids {
            let after = self.random_delay(0, 1_000);
            self.schedule(after, Event::Submit(*id));
        }
        self.run_until(self.now + Duration::from_secs(6));
        let ended = ids
            .iter()
            .filter(|id| self.checker.jobs[id].final_state.is_some());
        (ids.len(), ended.count())
    }
}
