//! Parameters of a benchmark run.

use std::time::Duration;

use serde_json::{Value, json};

use super::workload::{Declared, OfferedLoad};

/// Parameters of a run.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Seed of the job arrivals.
    pub seed: u64,
    /// Number of entries.
    pub entries: u16,
    /// Number of upstreams, each with an agent.
    pub upstreams: u16,
    /// Slots of each upstream.
    pub slots: u32,
    /// Offered load as a fraction of the capacity.
    pub load: f64,
    /// Measurement window of the response times.
    pub window: Duration,
    /// Measurement window of each flood run.
    pub flood_window: Duration,
    /// Measurement window of the messages when idle.
    pub idle_window: Duration,
    /// Duration of each throughput run.
    pub throughput_window: Duration,
    /// Whether flood runs execute concurrently on this machine and stop waiting early for late jobs.
    pub is_quick: bool,
    /// Run times that callers declare.
    pub declared: Declared,
}

impl Plan {
    /// Returns the number of slots of all upstreams.
    pub fn all_slots(&self) -> u32 {
        u32::from(self.upstreams) * self.slots
    }

    /// Returns the load without a flood in a window.
    pub fn offered_load(&self, window: Duration, entries: u16) -> OfferedLoad {
        OfferedLoad {
            load: self.load,
            slots: self.all_slots(),
            window,
            entries: usize::from(entries),
            declared: self.declared,
            flood: None,
        }
    }

    /// Returns the parameters for the output.
    pub fn describe(&self) -> Value {
        json!({
            "seed": self.seed,
            "entries": self.entries,
            "upstreams": self.upstreams,
            "slots": self.slots,
            "load": self.load,
            "declared": self.declared.name(),
            "quick": self.is_quick,
        })
    }
}
