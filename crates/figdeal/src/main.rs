//! The `figdeal` program.

use std::process::ExitCode;

use clap::Parser;
use figdeal::cli::{Cli, run};

/// Own events pass whatever their level, which the settings choose; libraries log each message between processes at
/// `info`, so they pass from `warn` on.
const FILTER: &str = "warn,figdeal=trace";

fn main() -> ExitCode {
    let cli = Cli::parse();
    if !cli.is_queue() {
        env_logger::Builder::from_env(env_logger::Env::default().default_filter_or(FILTER)).init();
        log::set_max_level(log::LevelFilter::Warn);
    }
    match run(cli) {
        Ok(code) => code,
        Err(e) => {
            eprintln!("figdeal: {e}");
            ExitCode::FAILURE
        }
    }
}
