//! The `figdeal-agent` program.

use std::process::ExitCode;

use clap::Parser;
use figdeal_agent::cli::{Cli, run};

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
    match run(&Cli::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("figdeal-agent: {e}");
            ExitCode::FAILURE
        }
    }
}
