//! What the worker does.

use super::*;

impl State {
    pub(super) fn carry_out(&mut self, world: &World, answered: bool) {
        let call = self.call.take().expect("there is a call");
        let same_clock = call.clock_of == self.incarnation;
        let late = same_clock && call.age >= WORKER_LEASE;
        let accepted =
            call.fence >= self.worker_fence && !late && !self.running && self.end == End::None;
        if accepted {
            self.late_start = !same_clock && call.age > 0;
            if self.elsewhere && !self.is_excused(world) {
                self.broken = Some("a start after the task was started elsewhere");
            }
            self.running = true;
            self.worker_fence = call.fence;
            let lease = if same_clock {
                WORKER_LEASE - call.age
            } else {
                LONGEST_LEASE
            };
            self.lease = self.lease.max(lease);
        }
        match (answered, accepted, &mut self.entry) {
            (true, true, Some(entry)) => entry.confirmed = true,
            (true, false, _) => self.lose_entry(),
            _ => {}
        }
    }

    pub(super) fn end_run(&mut self, beyond_list: bool) {
        self.running = false;
        self.end = End::Done { lapsed: false };
        self.beyond_list = beyond_list;
        self.end_read = false;
    }

    pub(super) fn restart_worker(&mut self, world: &World) {
        self.incarnation += 1;
        self.running = false;
        self.lease = 0;
        self.end = End::None;
        self.beyond_list = false;
        self.worker_fence = 0;
        self.drop_dead_call(world);
    }

    pub(super) fn drop_dead_call(&mut self, world: &World) {
        let incarnation = self.incarnation;
        let reaches = |c: &Call| world.calls_outlive_worker || c.received_by == incarnation;
        self.call = self.call.take().filter(reaches);
    }
}
