//! The `figdeal-agent` program.

use std::process::ExitCode;

use clap::Parser;
use figdeal_agent::cli::{Cli, run};

/// Default log filter. Figdeal logs at every level, since the settings choose the level. Libraries log from `warn` on,
/// since at `info` they log each message between processes.
const DEFAULT_FILTER: &str = "warn,figdeal=trace";

fn main() -> ExitCode {
    let cli = Cli::parse();
    if !cli.is_queue() {
        env_logger::Builder::from_env(env_logger::Env::default().default_filter_or(DEFAULT_FILTER))
            .init();
    }
    match run(&cli) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("figdeal-agent: {e}");
            ExitCode::FAILURE
        }
    }
}
