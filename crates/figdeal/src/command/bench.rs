//! `figdeal bench`: measures entries and agents and compares the results with the targets of the design.

use std::{process::ExitCode, time::Duration};

use clap::{Args as ClapArgs, ValueEnum};
use serde_json::json;

use crate::{
    bench::{
        flood, plan::Plan, report::Report, response, scaling, usage::load_average,
        workload::Declared,
    },
    cli::Result,
};

/// Measurement windows of a quick run in seconds: response times, flood, idle, throughput.
const QUICK_WINDOWS_S: [u64; 4] = [15, 4, 3, 1];
/// Measurement window of response times and floods in seconds, unless `--seconds` is given.
const DEFAULT_WINDOW_S: u64 = 60;

/// Options of `figdeal bench`.
#[derive(Debug, ClapArgs)]
pub struct Args {
    /// Print JSON, one object per line
    #[arg(long)]
    json: bool,
    /// Use shorter measurement windows; less than a minute in total
    #[arg(long)]
    quick: bool,
    /// Seed of the job arrivals
    #[arg(long, default_value_t = 20_261_204)]
    seed: u64,
    /// Number of entries
    #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u16).range(1..))]
    entries: u16,
    /// Number of upstreams
    #[arg(long, default_value_t = 10, value_parser = clap::value_parser!(u16).range(1..))]
    upstreams: u16,
    /// Slots of each upstream
    #[arg(long, default_value_t = 8, value_parser = clap::value_parser!(u32).range(1..))]
    slots: u32,
    /// Offered load as a fraction of the capacity
    #[arg(long, default_value_t = 0.7)]
    load: f64,
    /// Length in seconds of the measurement window of each run under load
    #[arg(long)]
    seconds: Option<u64>,
    /// Run only this measurement
    #[arg(long, value_name = "NAME")]
    only: Option<Measure>,
    /// Run times that callers declare
    #[arg(long, value_enum, default_value_t = Declared::Rough)]
    declared: Declared,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
enum Measure {
    /// Response times, and messages under load and when idle
    Response,
    /// Effect of a flood of one kind on the other kinds
    Flood,
    /// Tasks per second and CPU time per task
    Throughput,
    /// Memory use with queued tasks
    Memory,
}

/// Runs the measurements and prints the results. A missed target is reported but is not an error.
///
/// # Errors
/// Fails when a component cannot be started.
pub fn run(args: &Args) -> Result<ExitCode> {
    let plan = plan(args);
    let mut report = Report::new(args.json);
    let profile = if cfg!(debug_assertions) {
        "debug"
    } else {
        "release"
    };
    let cores = std::thread::available_parallelism().map_or(0, usize::from);
    report.emit(
        "start",
        &json!({
            "sizes": plan.describe(), "profile": profile, "cores": cores,
            "load_average": load_average(),
        }),
    );
    let is_picked = |measure| args.only.is_none_or(|only| only == measure);
    if is_picked(Measure::Memory) {
        scaling::measure_memory(&plan, &mut report)?;
    }
    if is_picked(Measure::Response) {
        response::measure(&plan, &mut report)?;
    }
    if is_picked(Measure::Flood) {
        flood::measure(&plan, &mut report)?;
    }
    if is_picked(Measure::Throughput) {
        scaling::measure_throughput(&plan, &mut report)?;
    }
    report.finish();
    Ok(ExitCode::SUCCESS)
}

fn plan(args: &Args) -> Plan {
    let [response, flood, idle, throughput] = if args.quick {
        QUICK_WINDOWS_S
    } else {
        [DEFAULT_WINDOW_S, DEFAULT_WINDOW_S, 10, 5]
    };
    let second = Duration::from_secs(1);
    let window = |default: u64| {
        args.seconds
            .map_or(second * default as u32, Duration::from_secs)
    };
    Plan {
        seed: args.seed,
        entries: args.entries,
        upstreams: args.upstreams,
        slots: args.slots,
        load: args.load,
        window: window(response),
        flood_window: window(flood),
        idle_window: second * idle as u32,
        throughput_window: second * throughput as u32,
        is_quick: args.quick,
        declared: args.declared,
    }
}
