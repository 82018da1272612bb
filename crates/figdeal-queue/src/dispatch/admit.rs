//! Refusal of jobs that cannot be run, or not in time.

use super::{AgentView, Dispatch};
use crate::{
    job::{JobSpec, Resources},
    message::Refusal,
};

impl Dispatch {
    /// Why a job should not be accepted, if so.
    pub fn refusal(&self, pool: &str, spec: &JobSpec) -> Option<Refusal> {
        let of_pool = |a: &&AgentView| a.worker.as_ref().is_some_and(|w| w.pool == pool);
        let room = self.agents.values().filter(of_pool).filter_map(|a| a.worker.as_ref());
        let rooms: Vec<Resources> = room.map(|w| w.capacity).collect();
        let fits = |needs: Resources| rooms.iter().any(|room| needs.fits(*room));
        let too_large = !rooms.is_empty() && !spec.steps.iter().all(|step| fits(step.needs));
        too_large.then_some(Refusal::TooLarge)
    }
}
