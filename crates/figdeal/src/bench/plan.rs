//! What a run of the bench measures, and with which sizes.

use std::time::Duration;

use serde_json::{Value, json};

use super::workload::{Declared, OfferedLoad};

/// Sizes of a run.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Seed of the arrivals.
    pub seed: u64,
    /// Number of entries.
    pub entries: u16,
    /// Number of upstreams, each with its agent.
    pub upstreams: u16,
    /// Slots of each upstream.
    pub slots: u32,
    /// Offered work divided by the capacity.
    pub load: f64,
    /// Length of the window of the response times.
    pub window: Duration,
    /// Length of the window of each flood run.
    pub flood_window: Duration,
    /// Length of the idle window.
    pub idle_window: Duration,
    /// Length of each throughput run.
    pub throughput_window: Duration,
    /// Whether independent flood runs share the machine at the same time.
    pub is_quick: bool,
    /// What callers declare about run times.
    pub declared: Declared,
}

impl Plan {
    /// Slots of the whole fleet.
    pub fn all_slots(&self) -> u32 {
        u32::from(self.upstreams) * self.slots
    }

    /// The offer of ordinary work in a window.
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

    /// The sizes, for the output.
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
