//! Fault injection: runs the processes of figdeal on loopback, injects faults, and compares the answers to callers with
//! the journals of the upstreams. See `docs/faults.md`.

use std::{process::ExitCode, sync::Arc, thread, time::Duration};

use clap::{Parser, ValueEnum};
use signal_hook::{
    consts::{SIGINT, SIGTERM},
    iterator::Signals,
};

#[path = "faults/caller.rs"]
mod caller;
#[path = "faults/cancel.rs"]
mod cancel;
#[path = "faults/check.rs"]
mod check;
#[path = "faults/fail_all.rs"]
mod fail_all;
#[path = "faults/fleet.rs"]
mod fleet;
#[path = "faults/kill.rs"]
mod kill;
#[path = "faults/load.rs"]
mod load;
#[path = "faults/process.rs"]
mod process;
#[path = "faults/relay.rs"]
mod relay;
#[path = "faults/resubmit.rs"]
mod resubmit;
#[path = "faults/silence.rs"]
mod silence;
#[path = "faults/summary.rs"]
mod summary;

use fleet::{Fleet, FleetOptions};
use summary::Summary;

/// Result of a step of the run.
type Result<T> = std::result::Result<T, Box<dyn std::error::Error + Send + Sync>>;

/// Injects faults into a running figdeal and checks the answers against the task starts at the upstreams
#[derive(Debug, Parser)]
#[command(name = "faults")]
struct Args {
    /// Fault scenario
    scenario: Scenario,
    /// Seed of the schedule and of the jobs
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Duration of the load in seconds
    #[arg(long, default_value_t = 30)]
    seconds: u64,
    /// Number of submissions in the scenario `resubmit`
    #[arg(long, default_value_t = 1_000)]
    count: u64,
    /// First of the ports to use; defaults to free ports
    #[arg(long)]
    base_port: Option<u16>,
    /// Print the summary as JSON
    #[arg(long)]
    json: bool,
    /// Keep the folder with settings, logs and journals after the run
    #[arg(long)]
    keep: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
enum Scenario {
    /// Entries, agents and upstreams are killed with SIGKILL and restarted under load
    Kill,
    /// The same job is submitted through every entry at once
    Resubmit,
    /// Open connections between processes stop passing bytes
    Silence,
    /// One upstream fails every task at once
    FailAll,
    /// Batches of jobs are cancelled through random entries
    Cancel,
}

impl Scenario {
    fn plan(self) -> FleetOptions {
        FleetOptions {
            failing: match self {
                Scenario::FailAll => vec![fail_all::FAILING_UPSTREAM],
                _ => Vec::new(),
            },
            is_relayed: self == Scenario::Silence,
        }
    }

    fn run(self, fleet: &Arc<Fleet>, args: &Args, summary: &mut Summary) -> Result<()> {
        let span = Duration::from_secs(args.seconds);
        match self {
            Scenario::Kill => kill::run(fleet, args.seed, span, summary),
            Scenario::Resubmit => resubmit::run(fleet, args.seed, args.count, summary),
            Scenario::Silence => silence::run(fleet, args.seed, span, summary),
            Scenario::FailAll => fail_all::run(fleet, args.seed, span, summary),
            Scenario::Cancel => cancel::run(fleet, args.seed, span, summary),
        }
    }
}

fn main() -> ExitCode {
    let args = Args::parse();
    match run(&args) {
        Ok(summary) => {
            summary.print(args.json);
            summary.exit_code()
        }
        Err(e) => {
            eprintln!("faults: {e}");
            ExitCode::FAILURE
        }
    }
}

fn run(args: &Args) -> Result<Summary> {
    let fleet = Fleet::start(args.scenario.plan(), args.base_port, args.keep)?;
    stop_on_signal(&fleet)?;
    let name = args
        .scenario
        .to_possible_value()
        .expect("no value is skipped");
    let mut summary = Summary::new(name.get_name(), args.seed);
    let result = fleet
        .wait_ready()
        .and_then(|()| args.scenario.run(&fleet, args, &mut summary));
    fleet.check_logs(&mut summary);
    fleet.stop();
    result?;
    Ok(summary)
}

/// Stops the processes of the run on SIGTERM and SIGINT.
fn stop_on_signal(fleet: &Arc<Fleet>) -> Result<()> {
    let fleet = Arc::clone(fleet);
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    thread::spawn(move || {
        signals.forever().next();
        fleet.stop();
        std::process::exit(130);
    });
    Ok(())
}
