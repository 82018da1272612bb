//! The `figdeal` program.

use std::process::ExitCode;

use clap::Parser;
use figdeal::cli::{Cli, run};

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("warn")).init();
    match run(Cli::parse()) {
        Ok(code) => code,
        Err(e) => {
            eprintln!("figdeal: {e}");
            ExitCode::FAILURE
        }
    }
}
