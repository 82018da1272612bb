//! Start-up, signals and reloading of the settings, for the queue node and the agent alike.

use std::{future::Future, path::PathBuf, time::Duration};

use figdeal_platform::settings::Settings;
use tokio::{
    signal::unix::{SignalKind, signal},
    sync::mpsc,
};

use crate::Result;

/// Interval at which the settings file is read again, since it may change without a signal.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Event from outside that a running process has to react to.
pub(crate) enum ProcessEvent {
    /// The settings file has new content.
    SettingsChanged(Box<Settings>),
    /// SIGTERM was received.
    Terminate,
}

/// Reads the settings and runs `main` in a single-threaded runtime on this thread.
pub(crate) fn run<F, R>(main: F) -> Result<()>
where
    F: FnOnce(PathBuf, Settings) -> R,
    R: Future<Output = Result<()>>,
{
    let settings_path = Settings::path()?;
    let settings = Settings::read(&settings_path)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(main(settings_path, settings))
}

/// Sends an event on SIGTERM and on each change of the settings file, which is read on SIGHUP and at an interval.
pub(crate) fn watch_settings_and_signals<T: Send + 'static>(
    settings_path: PathBuf,
    initial: Settings,
    input_sender: mpsc::Sender<T>,
    into_input: fn(ProcessEvent) -> T,
) -> Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut hangup = signal(SignalKind::hangup())?;
    let mut current = initial;
    tokio::spawn(async move {
        loop {
            tokio::select! {
                _ = terminate.recv() => {
                    // The receiver is gone only when the process is ending.
                    let _ = input_sender.send(into_input(ProcessEvent::Terminate)).await;
                    return;
                }
                _ = hangup.recv() => {}
                () = tokio::time::sleep(SETTINGS_POLL_INTERVAL) => {}
            }
            match Settings::read(&settings_path) {
                Ok(settings) if settings != current => {
                    log::info!("E671 settings changed seeds={:?}", settings.seeds);
                    current = settings.clone();
                    let event = ProcessEvent::SettingsChanged(Box::new(settings));
                    if input_sender.send(into_input(event)).await.is_err() {
                        return;
                    }
                }
                Ok(_) => {}
                Err(e) => log::warn!(
                    "E672 cannot read the settings, keeping the previous ones error=\"{e}\""
                ),
            }
        }
    });
    Ok(())
}
