//! `figdeal stand-in`: runs a stand-in upstream for an agent, for tests and fault injection.

use std::{fs::OpenOptions, net::SocketAddr, path::PathBuf, process::ExitCode};

use clap::Args as ClapArgs;
use signal_hook::{
    consts::{SIGINT, SIGTERM},
    iterator::Signals,
};

use crate::{
    cli::Result,
    stand_in::{Behaviour, StandIn},
};

/// Options of `figdeal stand-in`.
#[derive(Debug, ClapArgs)]
pub struct Args {
    /// Address on which it accepts requests
    #[arg(long, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
    /// HTTP address of its agent
    #[arg(long)]
    agent: SocketAddr,
    /// Number of tasks that it runs at the same time
    #[arg(long, default_value_t = 8)]
    slots: u32,
    /// File to which each start of a task is appended
    #[arg(long, value_name = "FILE")]
    journal: Option<PathBuf>,
    /// Fail every task at once
    #[arg(long)]
    fail: bool,
}

/// Runs the stand-in until SIGTERM or SIGINT, then deregisters it from the agent.
///
/// # Errors
/// Fails when the address cannot be bound, the journal cannot be opened or the agent does not confirm the end.
pub fn run(args: &Args) -> Result<ExitCode> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    let file = match &args.journal {
        Some(path) => Some(OpenOptions::new().create(true).append(true).open(path)?),
        None => None,
    };
    let stand_in = StandIn::start(args.listen, args.agent, args.slots, file, runtime.handle())?;
    if args.fail {
        stand_in.set_behaviour(Behaviour::FailAll);
    }
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    signals.forever().next();
    stand_in.deregister()?;
    Ok(ExitCode::SUCCESS)
}
