//! Counters of the messages between figdeal processes, by class.

use std::sync::atomic::{AtomicU64, Ordering};

/// Class of a message, by its purpose.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MessageClass {
    /// Request to an agent to run a task.
    Work,
    /// Reply to a run request.
    Result,
    /// A claim or its reply.
    Claim,
    /// An announcement, a ping or a configuration poll, or the reply to one.
    Heartbeat,
    /// A query, cancellation, collection or relayed answer, or the reply to one.
    Recovery,
}

/// All classes, in declaration order.
pub const MESSAGE_CLASSES: [MessageClass; 5] = [
    MessageClass::Work,
    MessageClass::Result,
    MessageClass::Claim,
    MessageClass::Heartbeat,
    MessageClass::Recovery,
];

static COUNTERS: [AtomicU64; 5] = [const { AtomicU64::new(0) }; 5];

impl MessageClass {
    /// Returns the value of the label `class` in metrics.
    pub fn name(self) -> &'static str {
        match self {
            MessageClass::Work => "work",
            MessageClass::Result => "result",
            MessageClass::Claim => "claim",
            MessageClass::Heartbeat => "heartbeat",
            MessageClass::Recovery => "recovery",
        }
    }
}

/// Counts one message of this process.
pub fn record(class: MessageClass) {
    COUNTERS[class as usize].fetch_add(1, Ordering::Relaxed);
    metrics::counter!("figdeal_messages_total", "class" => class.name()).increment(1);
}

/// Returns the number of messages of a class that this process has counted since its start.
pub fn total(class: MessageClass) -> u64 {
    COUNTERS[class as usize].load(Ordering::Relaxed)
}
