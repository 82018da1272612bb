//! Recounts the summaries that the scheduler keeps up to date with each change, as an invariant of debug builds.

use super::Dispatcher;
use crate::job::Resources;

impl Dispatcher {
    /// Compares all summaries with a count over all agents and jobs.
    ///
    /// # Panics
    /// Panics if one differs.
    pub(super) fn assert_summaries(&self) {
        self.assert_pools();
        self.assert_backlogs();
        self.assert_racks();
        let placed: usize = self.agents.values().map(|a| a.placed.len()).sum();
        let listed: usize = self.placed_tasks.values().map(Vec::len).sum();
        assert_eq!(listed, placed, "number of placed runs");
    }

    fn assert_pools(&self) {
        for agent in self.agents.values() {
            let needs = agent.placed.values().map(|p| p.needs);
            let used = needs.fold(Resources::default(), Resources::saturating_add);
            assert_eq!(agent.used, used, "used room of agent {}", agent.address);
        }
        for (name, pool) in &self.pools {
            let mut total = 0;
            let mut free = 0;
            let mut count = 0;
            let mut warm = (0, 0);
            for agent in self.agents.values() {
                let Some(worker) = agent.worker.as_ref().filter(|w| w.pool == *name) else {
                    continue;
                };
                let is_evacuated = self.is_evacuated(agent);
                if !agent.registered || !agent.runs_known || worker.draining || is_evacuated {
                    continue;
                }
                if agent.cold_until.is_none() {
                    warm = (warm.0 + 1, warm.1 + agent.placed.len() as u64);
                }
                count += 1;
                total += u64::from(worker.capacity.millicores);
                free += u64::from(worker.capacity.saturating_sub(agent.used).millicores);
            }
            assert_eq!(pool.totals(), (count, total, free), "room of pool {name}");
            assert_eq!(pool.warm(), warm, "warm workers of pool {name}");
        }
    }

    fn assert_racks(&self) {
        for (key, rack) in &self.racks {
            let agents = self.agents.values().filter(|a| a.racks.contains(&key));
            let (mut total, mut free, mut running, mut ends) = (0, 0, 0, 0);
            for agent in agents {
                if let Some(room) = &agent.room {
                    total += u64::from(room.capacity.millicores);
                    free += u64::from(room.free.millicores);
                }
                for run in agent.placed.values() {
                    let millicores = run.needs.millicores;
                    running += u64::from(millicores);
                    ends += u128::from(millicores) * u128::from(run.expected_end.as_micros());
                }
            }
            let steps = self.jobs.values().flat_map(|job| &job.steps);
            let waits = steps.filter_map(|s| s.rack_wait);
            let waiting = waits.filter(|wait| wait.rack() == key).count();
            let counted = (total, free, running, ends, waiting);
            assert_eq!(rack.totals(), counted, "rack {key:?}");
        }
    }

    fn assert_backlogs(&self) {
        for (key, backlog) in &self.backlogs {
            let mut ready = 0;
            let mut work = 0;
            let mut steps = 0;
            for job in self.jobs.values().filter(|job| job.backlog == key) {
                for (step, spec) in job.steps.iter().zip(&job.spec.steps) {
                    let count = step.ready_tasks.len();
                    ready += count;
                    steps += usize::from(count > 0);
                    work += u128::from(spec.needs.millicores)
                        * u128::from(spec.estimate_ms)
                        * count as u128;
                }
            }
            let placed = self.agents.values().flat_map(|a| a.placed.values());
            let used: u64 = placed
                .filter(|p| p.backlog == key)
                .map(|p| u64::from(p.needs.millicores))
                .sum();
            let (awake, set_aside) = backlog.waiting.counts();
            assert_eq!(
                awake + set_aside,
                backlog.steps.len(),
                "waiting steps of queue {}",
                backlog.queue
            );
            let counted = (
                backlog.ready_tasks,
                backlog.steps.len(),
                backlog.waiting_work,
                backlog.used_millicores,
            );
            assert_eq!(
                counted,
                (ready, steps, work, used),
                "backlog of queue {}",
                backlog.queue
            );
        }
    }
}
