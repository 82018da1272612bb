//! The command line of `figdeal-agent`.

use std::{path::PathBuf, time::Duration};

use clap::Parser;
use signal_hook::{
    consts::{SIGINT, SIGTERM},
    iterator::Signals,
};

use crate::{
    agent::{Agent, Options},
    settings::Settings,
};

/// Timeout for running tasks to end after SIGTERM or SIGINT.
const STOP_TIMEOUT: Duration = Duration::from_secs(60);

/// Result of the program.
pub type Result<T> = std::result::Result<T, Box<dyn std::error::Error>>;

/// Agent that runs beside one upstream.
#[derive(Debug, Parser)]
#[command(name = "figdeal-agent", version)]
pub struct Cli {
    /// File with the settings of the process
    #[arg(long, value_name = "FILE", required_unless_present = "queue")]
    settings: Option<PathBuf>,
    /// Serves the durable queue beside a worker of the platform, with the platform's settings
    #[arg(long, conflicts_with = "settings")]
    queue: bool,
}

impl Cli {
    /// Returns whether to run the agent of the durable queue, which installs its own logger.
    pub fn is_queue(&self) -> bool {
        self.queue
    }
}

/// Runs the agent until SIGTERM or SIGINT, then waits for running tasks to end.
///
/// # Errors
/// Fails on invalid settings, when it cannot listen on an address, and when tasks still run after the stop timeout.
pub fn run(cli: &Cli) -> Result<()> {
    let Some(path) = &cli.settings else {
        let _output = figdeal_node::log_output::init();
        return figdeal_node::agent::run();
    };
    let settings = Settings::read(path)?;
    log::set_max_level(settings.log_level);
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    let entries = settings
        .entries
        .iter()
        .map(|e| e.address.to_string())
        .collect();
    let mut options = Options::new(&settings.name, settings.peer_listen, settings.http_listen)
        .with_entries(entries)
        .with_address(settings.address());
    options.data_centre.clone_from(&settings.data_centre);
    let agent = Agent::start(options, runtime.handle())?;
    log::info!(
        "E210 agent {} serves entries on {} and its upstream on {}",
        settings.name,
        agent.listen,
        agent.http
    );
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    signals.forever().next();
    log::info!("E211 agent {} drains and stops", settings.name);
    agent.drain().finish(STOP_TIMEOUT)?;
    Ok(())
}
