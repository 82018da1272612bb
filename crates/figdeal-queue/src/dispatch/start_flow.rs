//! Flow control of starts: the leader orders no more starts from an agent than the agent can carry out.
//!
//! The load that is meant: jobs with hundreds of small tasks that arrive at once. Room alone would let the leader order
//! all of them, and the agent would have to reject most.

use std::collections::VecDeque;

use crate::agent::MAX_UNANSWERED_STARTS;

/// Starts of one agent without a reply, as far as the leader knows.
#[derive(Debug, Default)]
pub(super) struct StartFlow {
    /// Starts without a reply in the newest report.
    reported: u32,
    /// Starts that the agent had not received when it sent that report: number of the orders message and of its starts.
    recent: VecDeque<(u64, u32)>,
    /// Sum of the starts in `recent`.
    recent_starts: u32,
}

impl StartFlow {
    /// Returns whether another start may be ordered.
    pub(super) fn is_open(&self) -> bool {
        self.reported.saturating_add(self.recent_starts) < MAX_UNANSWERED_STARTS
    }

    /// Records a start in the orders message with this number.
    pub(super) fn record_start(&mut self, orders_number: u64) {
        self.recent_starts += 1;
        match self.recent.back_mut() {
            Some((number, starts)) if *number == orders_number => *starts += 1,
            _ => self.recent.push_back((orders_number, 1)),
        }
    }

    /// Records a report of the agent, which had received the orders up to `last_orders` and waits for the replies to
    /// `unanswered` starts.
    pub(super) fn record_report(&mut self, last_orders: u64, unanswered: u32) {
        self.reported = unanswered;
        while let Some((number, starts)) = self.recent.front().copied()
            && number <= last_orders
        {
            self.recent_starts -= starts;
            self.recent.pop_front();
        }
    }
}
