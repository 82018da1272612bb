//! The command line of `figdeal`.

use std::process::ExitCode;

use clap::{Parser, Subcommand};

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

impl Cli {
    /// Whether the command is `queue`, which sets up its own log output.
    pub fn is_queue(&self) -> bool {
        matches!(self.command, Command::Queue)
    }
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Runs an entry, agents and stand-in upstreams in one process and submits jobs of both sample deployments
    Demo(command::demo::Args),
    /// Runs an entry process until SIGTERM
    Entry(command::entry::Args),
    /// Runs a node of the durable queue with the platform's settings until SIGTERM
    Queue,
    /// Checks a configuration of the durable queue before it is sent to a node
    QueueCheck(command::queue_check::Args),
    /// Runs a stand-in upstream for an agent, for tests
    StandIn(command::stand_in::Args),
    /// Runs entries, agents and upstreams over loopback and compares the measurements with the design targets
    Bench(command::bench::Args),
    /// Generates load: submits jobs to running entries and counts the answers
    Load(command::load::Args),
    /// Initialises, shows and replaces control replicas
    Control(command::control::Args),
    /// Proposes, signs and shows changes of the configuration
    Config(command::config::Args),
    /// Checks a configuration without a running process
    Check(command::check::CheckArgs),
    /// Creates and shows the keys of the co-owners
    Keys(command::keys::KeysArgs),
    /// Shows upstreams, slots, queues and configuration versions as the entries see them
    Status(command::status::Args),
    /// Shows how fast the error budgets of the service-level objectives burn, summed over the entries
    Report(command::report::Args),
    /// Submits a job and prints its progress and its answer
    Submit(command::job::SubmitArgs),
    /// Fetches the answer of a job
    Fetch(command::job::FetchArgs),
    /// Cancels a job
    Cancel(command::job::CancelArgs),
    /// Drains one entry: it finishes the jobs in progress and exits
    Drain(command::drain::Args),
    /// Prints the completion script for a shell
    Completions(command::generate::CompletionArgs),
    /// Writes the man pages to a folder
    Man(command::generate::ManArgs),
}

/// Runs a command.
///
/// # Errors
/// Returns the error of the failed step; it names the step and the peer.
pub fn run(cli: Cli) -> Result<ExitCode> {
    let (out, progress) = (&mut std::io::stdout(), &mut std::io::stderr());
    match cli.command {
        Command::Demo(args) => command::demo::run(&args),
        Command::Entry(args) => command::entry::run(&args),
        Command::Queue => {
            let _output = figdeal_node::log_output::init();
            figdeal_node::queue::run().map(|()| ExitCode::SUCCESS)
        }
        Command::QueueCheck(args) => {
            command::queue_check::write(&args, out, progress).map(ExitCode::from)
        }
        Command::StandIn(args) => command::stand_in::run(&args),
        Command::Bench(args) => command::bench::run(&args),
        Command::Load(args) => command::load::run(&args),
        Command::Control(args) => command::control::run(&args),
        Command::Config(args) => command::config::run(&args),
        Command::Check(args) => success_code(command::check::run(&args)),
        Command::Keys(args) => success_code(command::keys::run(&args)),
        Command::Status(args) => command::status::write(&args, out).map(ExitCode::from),
        Command::Report(args) => command::report::write(&args, out, progress).map(ExitCode::from),
        Command::Submit(args) => command::job::submit(&args, out, progress).map(ExitCode::from),
        Command::Fetch(args) => command::job::fetch(&args, out, progress).map(ExitCode::from),
        Command::Cancel(args) => command::job::cancel(&args, out).map(ExitCode::from),
        Command::Drain(args) => command::drain::write(&args, out).map(ExitCode::from),
        Command::Completions(args) => {
            command::generate::completions(&args, out).map(ExitCode::from)
        }
        Command::Man(args) => command::generate::man(&args).map(ExitCode::from),
    }
}

fn success_code<E: std::error::Error + 'static>(
    result: std::result::Result<(), E>,
) -> Result<ExitCode> {
    result?;
    Ok(ExitCode::SUCCESS)
}
