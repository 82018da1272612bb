//! The `figdeal-agent` program.

use std::process::ExitCode;

use clap::Parser;
use figdeal_agent::cli::{Cli, run};

fn main() -> ExitCode {
    figdeal_agent::cli::init_log("info");
    match run(&Cli::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("figdeal-agent: {e}");
            ExitCode::FAILURE
        }
    }
}
