//! What both processes share: settings, signals, the runtime.

use std::{future::Future, path::PathBuf, time::Duration};

use figdeal_platform::settings::Settings;
use tokio::{
    signal::unix::{SignalKind, signal},
    sync::mpsc,
};

use crate::Result;

/// Time between two looks at the settings file, which may change without a signal.
const RELOAD: Duration = Duration::from_secs(2);

/// What a running process is told from outside.
pub(crate) enum Notice {
    /// The settings have changed.
    Settings(Box<Settings>),
    /// SIGTERM has arrived.
    Close,
}

/// Reads the settings and runs `main` on this thread.
pub(crate) fn run<F, R>(main: F) -> Result<()>
where
    F: FnOnce(PathBuf, Settings) -> R,
    R: Future<Output = Result<()>>,
{
    let path = Settings::path()?;
    let settings = Settings::read(&path)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(main(path, settings))
}

/// Reports SIGTERM, and changes of the settings file with and without SIGHUP.
pub(crate) fn watch<T: Send + 'static>(
    path: PathBuf,
    first: Settings,
    inputs: mpsc::Sender<T>,
    input: fn(Notice) -> T,
) -> Result<()> {
    let mut stop = signal(SignalKind::terminate())?;
    let mut hangup = signal(SignalKind::hangup())?;
    let mut held = first;
    tokio::spawn(async move {
        loop {
            tokio::select! {
                _ = stop.recv() => {
                    // The process ends when nobody takes inputs any more.
                    let _ = inputs.send(input(Notice::Close)).await;
                    return;
                }
                _ = hangup.recv() => {}
                () = tokio::time::sleep(RELOAD) => {}
            }
            match Settings::read(&path) {
                Ok(settings) if settings != held => {
                    log::info!("E671 settings changed seeds={:?}", settings.seeds);
                    held = settings.clone();
                    let notice = Notice::Settings(Box::new(settings));
                    if inputs.send(input(notice)).await.is_err() {
                        return;
                    }
                }
                Ok(_) => {}
                Err(e) => log::warn!("E672 settings not read, the former ones stay error=\"{e}\""),
            }
        }
    });
    Ok(())
}
