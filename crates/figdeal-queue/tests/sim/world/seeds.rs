//! All processes restart, and the seeds that they are told of are no voters.

use super::*;

/// Time after which the seeds start, later than all others.
const LATE: Duration = Duration::from_millis(900);

impl World {
    /// Returns how many jobs were handed in at the new seeds after the restart, and how many of them have ended.
    pub(crate) fn exchange_seeds(&mut self) -> (usize, usize) {
        self.schedule(Duration::from_secs(3), Event::Configure(1));
        self.run(self.now + Duration::from_secs(6));
        let leader = self.machines.iter().filter_map(|m| m.node.as_ref());
        let leader = leader
            .into_iter()
            .find(|n| n.is_serving())
            .expect("a node leads");
        let members: Vec<SocketAddr> = leader.raft().members().iter().map(|m| m.address).collect();
        let all = 0..self.machines.len();
        let others = all.clone().filter(|n| !members.contains(&node_address(*n)));
        self.seeds = others.collect();
        for n in all.clone() {
            self.stop_node(n, true);
            let late = self.seeds.contains(&n);
            let after = if late {
                LATE
            } else {
                Duration::from_millis(200)
            };
            self.schedule(after, Event::Start(n));
        }
        for n in 0..self.sides.len() {
            self.sides[n].life += 1;
            self.sides[n].agent = None;
            self.schedule(LATE, Event::StartAgent(n));
        }
        self.run(self.now + Duration::from_secs(3));
        let ids: Vec<JobId> = (0..20).map(|n| JobId(0x90 + n)).collect();
        for id in &ids {
            let after = self.millis(0, 1_000);
            self.schedule(after, Event::Submit(*id));
        }
        self.run(self.now + Duration::from_secs(6));
        let ended = ids
            .iter()
            .filter(|id| self.check.jobs[id].final_state.is_some());
        (ids.len(), ended.count())
    }
}
