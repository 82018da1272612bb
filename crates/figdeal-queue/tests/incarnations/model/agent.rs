//! What the agent does.

use super::*;

impl State {
    pub(super) fn runs_known(&self) -> bool {
        self.registered_reply && self.listing == Listing::Complete
    }

    pub(super) fn may_start(&self, rules: &Rules) -> bool {
        let agent_ready = !self.frozen && self.lease_age < rules.start_window && self.runs_known();
        agent_ready && !self.sent && self.known.is_some()
    }

    pub(super) fn start(&mut self) {
        let clock_of = self.known.expect("the clock is known");
        self.sent = true;
        self.placed = true;
        self.received = false;
        self.call = Some(Call {
            received_by: self.incarnation,
            clock_of,
            age: 0,
            fence: self.fence,
        });
        self.entry = Some(Entry {
            age: 0,
            fence: self.fence,
            unanswered: false,
            confirmed: false,
            listed: false,
        });
        self.renewed = Some(0);
    }

    pub(super) fn start_unanswered(&mut self) {
        self.entry.as_mut().expect("there is a run").unanswered = true;
        self.fence += 1;
    }

    pub(super) fn lose_entry(&mut self) {
        if self.entry.take().is_some() {
            self.report = Some(Report::Lost);
        }
    }

    pub(super) fn poll(&mut self, rules: &Rules, world: &World, answered: bool) {
        let fence = self.fence;
        self.worker_fence = fence;
        self.renew(rules, world);
        self.acknowledge(world);
        self.follows_reply = answered;
        if answered {
            self.replied = 0;
            self.read_reply(rules, fence);
        }
    }

    pub(super) fn renew(&mut self, rules: &Rules, world: &World) {
        let all_known = self.listing == Listing::Complete || rules.renew_unknown_runs;
        let may_renew = all_known && self.replied < WORKER_SILENCE;
        let Some(known) = self.known.filter(|_| may_renew) else {
            return;
        };
        self.renewed = Some(0);
        // An agent polls several times within the unit of time.
        let replies_lost = known != self.incarnation && !self.follows_reply;
        if replies_lost && !world.silent_renewals {
            return;
        }
        let lease = match known == self.incarnation {
            true => WORKER_LEASE,
            false => LONGEST_LEASE,
        };
        if self.running || self.lease > 0 {
            self.lease = self.lease.max(lease);
        }
    }

    pub(super) fn acknowledge(&mut self, world: &World) {
        if self.known != Some(self.incarnation) || !self.follows_reply {
            return;
        }
        if self.end_stored && self.end_read {
            let End::Done { lapsed } = self.end else {
                return;
            };
            if self.elsewhere && self.done_before && !lapsed && !self.is_excused(world) {
                self.broken = Some("a start after an end that was taken note of");
            }
            self.end = End::None;
            self.end_stored = false;
        }
        if std::mem::take(&mut self.page_stored) {
            self.beyond_list = false;
        }
    }

    pub(super) fn read_reply(&mut self, rules: &Rules, fence: u8) {
        if self.known != Some(self.incarnation) {
            self.meet_incarnation();
        }
        let lease_over = self.is_lease_over(WORKER_LEASE);
        let undecided = self.entry.as_ref().is_none_or(|e| e.unanswered);
        let found = undecided && !rules.found_runs_have_own_lease;
        if self.running && (found || lease_over) {
            self.unknown_renewal = Some(0);
        }
        let cut = self.beyond_list;
        self.page_read |= cut;
        if !cut && !self.end_read && self.end != End::None {
            self.end_read = true;
            self.entry = None;
            let done = matches!(self.end, End::Done { .. });
            self.report = Some(if done { Report::Done } else { Report::Lost });
        }
        self.compare_run(fence, cut);
        if !cut || rules.cut_list_is_whole {
            self.listing = Listing::Complete;
        } else if self.listing == Listing::Unknown {
            self.listing = Listing::Cut;
        }
        self.registered_reply |= fence == self.fence;
    }

    pub(super) fn meet_incarnation(&mut self) {
        if self.known.is_some() {
            self.listing = Listing::Unknown;
            self.registered_reply = false;
            self.renewed = None;
            self.unknown_renewal = Some(0);
            self.page_read = false;
            self.page_stored = false;
            self.end_stored = false;
            self.end_read = false;
            match &mut self.entry {
                Some(entry) if entry.listed => self.lose_entry(),
                Some(entry) => {
                    entry.unanswered = true;
                    entry.confirmed = false;
                }
                None => {}
            }
            self.fence += 1;
        }
        self.known = Some(self.incarnation);
    }

    pub(super) fn compare_run(&mut self, fence: u8, cut: bool) {
        if self.running {
            let entry = self.entry.get_or_insert(Entry {
                age: 0,
                fence,
                unanswered: false,
                confirmed: true,
                listed: true,
            });
            entry.confirmed = true;
            entry.listed = true;
            entry.unanswered = false;
            return;
        }
        let missing = |e: &Entry| e.confirmed || (e.unanswered && e.fence < fence);
        if !cut && self.entry.as_ref().is_some_and(missing) {
            self.lose_entry();
        }
    }

    pub(super) fn is_lease_over(&self, time: u8) -> bool {
        let over = |age: Option<u8>, time| age.is_none_or(|age| age >= time);
        (self.renewed.is_some() || self.unknown_renewal.is_some())
            && over(self.renewed, time)
            && over(self.unknown_renewal, LONGEST_LEASE)
    }

    pub(super) fn check_lease(&mut self, rules: &Rules) {
        let Some(entry) = &self.entry else {
            return;
        };
        let ended = if entry.listed {
            self.is_lease_over(WORKER_LEASE)
        } else if entry.confirmed {
            self.is_lease_over(LONGEST_LEASE)
        } else if rules.unanswered_end_with_lease {
            self.is_lease_over(WORKER_LEASE)
        } else {
            entry.age >= rules.unanswered_loss
        };
        if ended {
            self.lose_entry();
        }
    }

    pub(super) fn restart_agent(&mut self) {
        self.frozen = false;
        self.known = None;
        self.listing = Listing::Unknown;
        self.registered_reply = false;
        self.fence += REGISTRATION;
        self.follows_reply = false;
        self.replied = 0;
        self.lease_age = 0;
        self.renewed = None;
        self.unknown_renewal = None;
        self.entry = None;
        self.end_read = false;
        self.report = None;
        self.page_read = false;
        self.page_stored = false;
        self.end_stored = false;
        // It announces itself.
        self.heard = 0;
        self.joined = Some(0);
        self.reported = false;
        self.received = true;
    }

    pub(super) fn announce(&mut self, rules: &Rules) {
        let given_up = self.heard >= rules.reported_run_loss;
        if given_up || self.joined.is_none() && self.election.is_some() {
            self.fence += REGISTRATION;
            self.registered_reply = false;
        }
        self.lease_age = 0;
        self.heard = 0;
        if self.election.is_some() && (self.joined.is_none() || given_up) {
            self.joined = Some(0);
        }
        self.reported = false;
    }
}
