//! The `figdeal` program.

use std::process::ExitCode;

use clap::Parser;
use figdeal::cli::{Cli, run};

/// Default log filter. The level of figdeal's own events is set by the settings, so the filter passes all of them.
/// Libraries are limited to `warn`, because they log every message between processes at `info`.
const DEFAULT_LOG_FILTER: &str = "warn,figdeal=trace";

fn main() -> ExitCode {
    let cli = Cli::parse();
    if !cli.is_queue() {
        env_logger::Builder::from_env(
            env_logger::Env::default().default_filter_or(DEFAULT_LOG_FILTER),
        )
        .init();
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
