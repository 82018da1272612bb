//! The `figdeal` program.

use std::process::ExitCode;

use clap::Parser;
use figdeal::cli::{Cli, run};

fn main() -> ExitCode {
    figdeal::cli::init_log("warn");
    match run(Cli::parse()) {
        Ok(code) => code,
        Err(e) => {
            eprintln!("figdeal: {e}");
            ExitCode::FAILURE
        }
    }
}
