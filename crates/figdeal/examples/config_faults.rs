//! Fault injection for the replicated configuration, with the processes of figdeal on loopback. See
//! `docs/config-faults.md`.

#![allow(missing_docs, unreachable_pub, reason = "an example has no users")]

use std::process::ExitCode;

use clap::{Parser, ValueEnum};
use figdeal::cli::Result;
use rand::{SeedableRng, rngs::StdRng};
use serde_json::{Map, Value, json};

#[path = "config_faults/cluster.rs"]
mod cluster;
#[path = "config_faults/idle.rs"]
mod idle;
#[path = "config_faults/isolate.rs"]
mod isolate;
#[path = "config_faults/lost_disk.rs"]
mod lost_disk;
#[path = "config_faults/no_control.rs"]
mod no_control;
#[path = "config_faults/race.rs"]
mod race;
#[path = "config_faults/relay.rs"]
mod relay;
#[path = "config_faults/restarts.rs"]
mod restarts;

use cluster::Cluster;

#[derive(Debug, Clone, Copy, ValueEnum)]
enum Scenario {
    /// Processes are killed and restarted while configuration changes are made
    Restarts,
    /// One replica is isolated from the network and reconnected
    Isolate,
    /// Replicas lose their data folders and are replaced
    LostDisk,
    /// Two operators propose changes with the same number
    Race,
    /// All control replicas are down
    NoControl,
    /// Traffic, CPU time and memory when idle
    Idle,
}

/// Options of a run.
#[derive(Debug, Parser)]
struct Args {
    #[arg(value_enum)]
    scenario: Scenario,
    /// Seed of the random choices; the timing of the processes still varies
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of changes in the scenarios `restarts` and `race`
    #[arg(long, default_value_t = 500)]
    changes: u64,
    /// Print JSON
    #[arg(long)]
    json: bool,
}

/// Results and violations of a run.
#[derive(Debug, Default)]
pub struct Report {
    facts: Map<String, Value>,
    pub violations: Vec<String>,
}

impl Report {
    pub fn fact(&mut self, name: &str, value: impl Into<Value>) {
        self.facts.insert(name.to_owned(), value.into());
    }

    pub fn check(&mut self, holds: bool, violation: impl FnOnce() -> String) {
        if !holds {
            self.violations.push(violation());
        }
    }

    fn print(&self, is_json: bool) {
        if is_json {
            println!(
                "{}",
                json!({ "facts": self.facts, "violations": self.violations })
            );
            return;
        }
        for (name, value) in &self.facts {
            println!("{name:36} {value}");
        }
        for violation in &self.violations {
            println!("VIOLATION: {violation}");
        }
        println!("{} violations", self.violations.len());
    }
}

fn main() -> Result<ExitCode> {
    let args = Args::parse();
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    let mut rng = StdRng::seed_from_u64(args.seed);
    let cluster = Cluster::start()?;
    let mut report = Report::default();
    let run = runtime.block_on(async {
        match args.scenario {
            Scenario::Restarts => {
                restarts::run(&cluster, args.changes, &mut rng, &mut report).await
            }
            Scenario::Isolate => isolate::run(&cluster, &mut rng, &mut report).await,
            Scenario::Race => race::run(&cluster, args.changes, &mut rng, &mut report).await,
            Scenario::NoControl => no_control::run(&cluster, &mut rng, &mut report).await,
            Scenario::Idle => idle::run(&cluster, &mut rng, &mut report).await,
            Scenario::LostDisk => lost_disk::run(&cluster, &mut rng, &mut report).await,
        }
    });
    if let Err(e) = run {
        report.violations.push(format!("the run stopped: {e}"));
    }
    report.violations.extend(cluster.violations());
    report.fact("seed", args.seed);
    report.print(args.json);
    // Ends all processes.
    drop(cluster);
    Ok(match report.violations.is_empty() {
        true => ExitCode::SUCCESS,
        false => ExitCode::FAILURE,
    })
}
