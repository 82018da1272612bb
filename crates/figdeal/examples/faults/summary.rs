//! Results of a scenario.

use std::process::ExitCode;

use serde_json::{Map, Value, json};

/// Maximum number of notes and of violations that are printed; the JSON summary has all of them.
const MAX_PRINTED: usize = 40;

/// Counts and violations of one scenario.
#[derive(Debug)]
pub(crate) struct Summary {
    scenario: String,
    seed: u64,
    counts: Map<String, Value>,
    notes: Vec<String>,
    violations: Vec<String>,
}

impl Summary {
    pub(crate) fn new(scenario: &str, seed: u64) -> Summary {
        Summary {
            scenario: scenario.to_owned(),
            seed,
            counts: Map::new(),
            notes: Vec::new(),
            violations: Vec::new(),
        }
    }

    pub(crate) fn count(&mut self, name: &str, value: impl Into<Value>) {
        self.counts.insert(name.to_owned(), value.into());
    }

    /// Adds an observation that is allowed but may need attention.
    pub(crate) fn note(&mut self, text: String) {
        self.notes.push(text);
    }

    pub(crate) fn violation(&mut self, text: String) {
        self.violations.push(text);
    }

    pub(crate) fn print(&self, as_json: bool) {
        if as_json {
            let all = json!({
                "scenario": self.scenario,
                "seed": self.seed,
                "counts": self.counts,
                "notes": self.notes,
                "violations": self.violations,
            });
            println!("{all:#}");
            return;
        }
        println!("scenario {}, seed {}", self.scenario, self.seed);
        for (name, value) in &self.counts {
            println!("  {name:32} {value}");
        }
        for note in self.notes.iter().take(MAX_PRINTED) {
            println!("  note: {note}");
        }
        println!("  {:32} {}", "violations", self.violations.len());
        for violation in self.violations.iter().take(MAX_PRINTED) {
            println!("    {violation}");
        }
    }

    pub(crate) fn exit_code(&self) -> ExitCode {
        match self.violations.is_empty() {
            true => ExitCode::SUCCESS,
            false => ExitCode::FAILURE,
        }
    }
}
