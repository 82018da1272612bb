//! `figdeal entry`: runs an entry process until it is told to stop.

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
    entry::{Entry, Options},
    register,
    settings::Settings,
};

/// Time between "not ready" and the refusal of new work, in which the balancer takes the entry out.
const NOTICE: Duration = Duration::from_secs(2);

/// Options of an entry process.
#[derive(Debug, ClapArgs)]
pub struct Args {
    /// File with the settings of the process
    #[arg(long, value_name = "FILE")]
    settings: PathBuf,
}

/// Runs the entry until SIGTERM, SIGINT or a drain request, then finishes what is in progress.
///
/// # Errors
/// Fails on wrong settings, when an address cannot be listened on, and when work is still in progress after the stop
/// limit.
pub fn run(args: &Args) -> Result<ExitCode> {
    let settings = Settings::read(&args.settings)?;
    log::set_max_level(settings.log_level);
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    let control = start_control(&settings, &runtime)?;
    let entry = Entry::start(options(&settings), runtime.handle())?;
    log::info!(
        "E330 entry {} serves HTTP on {} and processes on {}",
        settings.id,
        entry.http,
        entry.listen
    );
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    let handle = signals.handle();
    let drain = entry.drain_request();
    runtime.spawn(async move {
        drain.cancelled().await;
        handle.close();
    });
    signals.forever().next();
    log::info!("E331 entry {} stops", settings.id);
    let limit = entry.rules().stop_limit;
    entry.drain().finish(NOTICE, limit)?;
    if let Some(control) = control {
        control.stop()?;
    }
    Ok(ExitCode::SUCCESS)
}

/// Starts the control role where the settings switch it on. Its storage errors end the role, not the entry.
fn start_control(settings: &Settings, runtime: &Runtime) -> Result<Option<ReplicaHandle>> {
    if !settings.control.on {
        return Ok(None);
    }
    let node = register::open(&data_folder(settings)?)?;
    if !node.is_member() {
        log::warn!(
            "E333 replica {} is not a member of a register yet",
            node.id()
        );
    }
    Ok(Some(
        runtime.block_on(serve(node, settings.control.listen))?,
    ))
}

fn options(settings: &Settings) -> Options {
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
