//! Requests to evacuate a data centre: the leader rejects unknown data centres, and the log decides the others in its
//! order.

use std::time::Duration;

use super::{Answer, Node, Origin};
use crate::{
    message::RefusalReason,
    state::{Command, EvacuationDecision},
};

/// Milliseconds after which an operator may try again if a new leader does not know all workers yet.
const WORKERS_UNKNOWN_RETRY_AFTER_MS: u32 = 500;

/// Milliseconds after which an operator may try again at a node that was paused.
const AFTER_PAUSE_RETRY_AFTER_MS: u32 = 1_000;
/// Time between two calls of [`Node::tick`] that only a pause of the process explains.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(1_000);
/// Time after a pause within which a node still reads requests that were sent during the pause.
const STALE_REQUEST_WINDOW: Duration = Duration::from_millis(1_000);

impl Node {
    /// Notices that the process was paused, for example with its machine.
    pub(super) fn detect_pause(&mut self) {
        if self.ticked_at + PAUSE_THRESHOLD < self.clock.now {
            self.resumed_at = Some(self.clock.now);
        }
        self.ticked_at = self.clock.now;
    }

    /// Returns whether a request may have been sent so long ago that its operator has repeated it at another node and has
    /// even sent the opposite one since.
    pub(super) fn has_just_resumed(&mut self) -> bool {
        self.detect_pause();
        self.resumed_at
            .is_some_and(|at| at + STALE_REQUEST_WINDOW > self.clock.now)
    }

    /// Handles a request to evacuate a data centre or to revoke its evacuation. Returns `None` if the answer follows
    /// after the commit.
    pub(super) fn set_evacuation(
        &mut self,
        origin: Origin,
        data_centre: String,
        evacuated: bool,
    ) -> Option<Answer> {
        let dispatcher = self
            .dispatcher
            .as_ref()
            .expect("a serving node must be the leader");
        let is_certain = self.options.data_centres.contains(&data_centre)
            || self.state.evacuated.contains(&data_centre);
        // Without a list in the settings, the workers tell which data centres exist, so a leader that does not know all
        // workers can neither say that a data centre does not exist nor that it is the last one.
        if !is_certain && dispatcher.awaits_agents() {
            self.job_log.count_refusal(RefusalReason::WorkersUnknown);
            return Some(Answer::Refused {
                retry_after_ms: WORKERS_UNKNOWN_RETRY_AFTER_MS,
                reason: RefusalReason::WorkersUnknown,
            });
        }
        let mut known = self.options.data_centres.clone();
        known.extend(dispatcher.data_centres().map(str::to_owned));
        if !is_certain && !known.contains(&data_centre) {
            log::info!(
                "E680 rejected an evacuation request for an unknown data centre \
                 data_centre={data_centre:?} evacuated={evacuated}"
            );
            return Some(Answer::UnknownDataCentre);
        }
        self.waiters.evacuations.push_back(origin);
        self.push_command(Command::SetEvacuation {
            data_centre,
            evacuated,
            known,
        });
        None
    }

    /// Handles a committed decision: the scheduler follows it before the operator gets the acknowledgement.
    pub(super) fn on_evacuation_decided(
        &mut self,
        data_centre: &str,
        evacuated: bool,
        decision: EvacuationDecision,
    ) {
        log::info!(
            "E681 evacuation request decided data_centre={data_centre:?} evacuated={evacuated} \
             decision={decision:?} evacuated_data_centres={:?}",
            self.state.evacuated
        );
        if let Some(dispatcher) = &mut self.dispatcher {
            dispatcher.set_evacuated(&self.state.evacuated);
        }
        let answer = match decision {
            EvacuationDecision::Changed | EvacuationDecision::Unchanged => Answer::EvacuationSet,
            EvacuationDecision::LastDataCentre => Answer::LastDataCentre,
        };
        // The leader has an origin for each such command of its term, and no scheduler before all earlier commands are
        // applied.
        if let Some(origin) = self.waiters.evacuations.pop_front() {
            self.answer(origin, answer);
        }
    }
}

/// Returns the answer to a request that reached a node right after a pause.
pub(super) fn after_pause() -> Answer {
    Answer::Refused {
        retry_after_ms: AFTER_PAUSE_RETRY_AFTER_MS,
        reason: RefusalReason::AfterPause,
    }
}
