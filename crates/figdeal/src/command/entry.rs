//! `figdeal entry`: runs an entry process until it is asked to stop.

use std::{path::PathBuf, process::ExitCode, time::Duration};

use clap::Args as ClapArgs;
use figdeal_control::driver::{ReplicaHandle, serve};
use figdeal_core::id::EntryId;
use signal_hook::{
    consts::{SIGINT, SIGTERM},
    iterator::Signals,
};

use tokio::runtime::Runtime;

use crate::{
    cli::Result,
    command::control::data_folder,
    control_client,
    entry::{Entry, Options},
    settings::Settings,
};

/// Time between reporting "not ready" and refusing new jobs, in which the load balancer removes the entry.
const DRAIN_NOTICE: Duration = Duration::from_secs(2);

/// Options of `figdeal entry`.
#[derive(Debug, ClapArgs)]
pub struct Args {
    /// Settings file of the process
    #[arg(long, value_name = "FILE")]
    settings: PathBuf,
}

/// Runs the entry until SIGTERM, SIGINT or a drain request, then finishes the jobs in progress.
///
/// # Errors
/// Fails on invalid settings, when an address cannot be bound, and when work is still in progress after `stop_limit`.
pub fn run(args: &Args) -> Result<ExitCode> {
    let settings = Settings::read(&args.settings)?;
    log::set_max_level(settings.log_level);
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    let control = start_control(&settings, &runtime)?;
    let entry = Entry::start(entry_options(&settings), runtime.handle())?;
    log::info!(
        "E330 entry {} is serving: http={}, peers={}",
        settings.id,
        entry.http_address,
        entry.peer_address
    );
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    let handle = signals.handle();
    let drain = entry.drain_request();
    runtime.spawn(async move {
        drain.cancelled().await;
        handle.close();
    });
    signals.forever().next();
    log::info!("E331 entry {} is shutting down", settings.id);
    let limit = entry.rules().stop_timeout;
    entry.drain().finish(DRAIN_NOTICE, limit)?;
    if let Some(control) = control {
        control.stop()?;
    }
    Ok(ExitCode::SUCCESS)
}

/// Starts the control replica if the settings enable it. A storage error at run time stops the replica, not the entry.
fn start_control(settings: &Settings, runtime: &Runtime) -> Result<Option<ReplicaHandle>> {
    if !settings.control.on {
        return Ok(None);
    }
    let node = control_client::open_replica(&data_folder(settings)?)?;
    if !node.is_member() {
        log::warn!("E333 replica {} is not a member yet", node.id());
    }
    Ok(Some(
        runtime.block_on(serve(node, settings.control.listen))?,
    ))
}

fn entry_options(settings: &Settings) -> Options {
    let id = EntryId(settings.id);
    let peers = settings
        .entries
        .iter()
        .filter(|e| e.id != settings.id)
        .map(|e| (EntryId(e.id), e.address.to_string()))
        .collect();
    let options = Options::new(id, settings.http_listen, settings.peer_listen).with_peers(peers);
    let control = match settings.control.on {
        true => settings.control.members.clone(),
        false => settings.control_vms.clone(),
    };
    let folder = settings.data_folder.clone();
    options.with_control(control, &settings.data_centre, folder)
}
