//! The `figdeal-agent` program.

use std::process::ExitCode;

use clap::Parser;
use figdeal_agent::cli::{Cli, run};

/// Own events pass whatever their level, which the settings choose; libraries log each message between processes at
/// `info`, so they pass from `warn` on.
const FILTER: &str = "warn,figdeal=trace";

fn main() -> ExitCode {
    let cli = Cli::parse();
    if !cli.is_queue() {
        env_logger::Builder::from_env(env_logger::Env::default().default_filter_or(FILTER)).init();
    }
    match run(&cli) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("figdeal-agent: {e}");
            ExitCode::FAILURE
        }
    }
}
