//! What the leader does, and by which silence it takes a run as lost.

use super::*;

impl State {
    pub(super) fn send_report(&mut self) {
        if self.election.is_some() && self.joined.is_none() {
            return;
        }
        let known = self.runs_known();
        self.heard = 0;
        self.reported = true;
        self.received = true;
        self.page_stored |= std::mem::take(&mut self.page_read);
        let report = self.report.take();
        if known || report.is_some() || self.page_stored {
            self.lease_age = 0;
        }
        match report {
            Some(Report::Done) => {
                self.done = true;
                self.placed = false;
                self.end_stored = true;
            }
            Some(Report::Lost) if self.placed => self.start_elsewhere(),
            _ => {}
        }
        if self.entry.is_some() && self.election.is_some() && !self.done {
            self.placed = true;
        }
        if known && self.entry.is_none() && (self.placed || self.election.is_some()) {
            self.start_elsewhere();
        }
        if known {
            self.election = None;
        }
    }

    pub(super) fn check_agent(&mut self, rules: &Rules, world: &World) {
        let patience = match self.received {
            true => rules.reported_run_loss,
            false => rules.agent_loss,
        };
        if self.placed && self.heard >= patience {
            self.give_up(world);
        }
        let Some(election) = self.election else {
            return;
        };
        let waited = match self.joined {
            Some(joined) if self.reported => joined,
            Some(joined) => self.heard.max(joined.saturating_sub(rules.agent_loss)),
            None => election,
        };
        let waited = if rules.wait_from_election {
            election
        } else {
            waited
        };
        if waited >= rules.agent_loss {
            self.election = None;
            if !self.placed {
                self.give_up(world);
            }
        }
    }

    pub(super) fn give_up(&mut self, world: &World) {
        self.gave_up = true;
        let excused = self.is_excused(world);
        let broken = self.broken;
        self.start_elsewhere();
        if excused {
            self.broken = broken;
        }
    }

    pub(super) fn is_excused(&self, world: &World) -> bool {
        self.late_start && self.gave_up && !world.late_and_lost
    }

    pub(super) fn start_elsewhere(&mut self) {
        self.placed = false;
        if self.done || self.elsewhere {
            return;
        }
        if self.running {
            self.broken = Some("two runs at once");
        }
        self.done_before = self.end == End::Done { lapsed: false };
        self.elsewhere = true;
    }
}
