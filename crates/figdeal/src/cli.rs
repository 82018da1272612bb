//! The command line of `figdeal`.

use std::process::ExitCode;

use clap::{Parser, Subcommand};

pub use figdeal_agent::cli::init_log;

use crate::command;

/// Result of a command.
pub type Result<T> = std::result::Result<T, Box<dyn std::error::Error>>;

/// Dispatcher for jobs of many sub-second tasks.
#[derive(Debug, Parser)]
#[command(name = "figdeal", version)]
pub struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Runs entry, agents and stand-in upstreams in one process and submits jobs of both sample deployments
    Demo(command::demo::Args),
    /// Runs an entry process until SIGTERM
    Entry(command::entry::Args),
    /// Runs a stand-in upstream beside an agent, for trials
    StandIn(command::stand_in::Args),
    /// Founds, shows and replaces control replicas
    Control(command::control::Args),
    /// Proposes, signs and shows changes of the configuration
    Config(command::config::Args),
    /// Checks a configuration without a running process
    Check(command::check::CheckArgs),
    /// Makes and shows the keys of the co-owners
    Keys(command::keys::KeysArgs),
}

/// Runs a command.
///
/// # Errors
/// Fails when the command could not do its work; the error names the step and the peer.
pub fn run(cli: Cli) -> Result<ExitCode> {
    match cli.command {
        Command::Demo(args) => command::demo::run(&args),
        Command::Entry(args) => command::entry::run(&args),
        Command::StandIn(args) => command::stand_in::run(&args),
        Command::Control(args) => command::control::run(&args),
        Command::Config(args) => command::config::run(&args),
        Command::Check(args) => done(command::check::run(&args)),
        Command::Keys(args) => done(command::keys::run(&args)),
    }
}

fn done<E: std::error::Error + 'static>(result: std::result::Result<(), E>) -> Result<ExitCode> {
    result?;
    Ok(ExitCode::SUCCESS)
}
