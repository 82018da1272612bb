//! The configuration of an entry: polls the control replicas, stores a newer version on disk and activates it.

use std::{
    io,
    net::SocketAddr,
    path::Path,
    sync::{Arc, Mutex, atomic::Ordering},
    time::{Duration, Instant},
};

use displaydoc::Display;
use figdeal_control::{
    disk::{Disk, Folder},
    driver::{POLL_TIMEOUT, PollReply, connect},
    store::{Version, frame, unframe},
};
use figdeal_core::time::UnixMillis;
use figdeal_wire::message_count::{self, MessageClass};
use tarpc::context;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

#[cfg(test)]
mod tests;

use super::SharedState;
use crate::{control_client::to_config_bundle, rules::Rules};

/// File with the last accepted version and the time at which it was saved.
const VERSION_FILE: &str = "accepted";
/// Temporary name of that file, which is renamed over the old one once it is synced.
const VERSION_TEMP_FILE: &str = "accepted.new";
/// File with the time at which a control replica last confirmed the active version as the newest one.
const CONFIRMATION_FILE: &str = "confirmed";
/// Temporary name of that file.
const CONFIRMATION_TEMP_FILE: &str = "confirmed.new";
/// Minimum time between two writes of the confirmation. The file is not synced: if it is lost, the reported age of the
/// configuration is only too high.
const CONFIRMATION_WRITE_INTERVAL: Duration = Duration::from_secs(5);

/// Time added to the wait of a long poll before the replica is considered unresponsive.
const POLL_TIMEOUT_MARGIN: Duration = Duration::from_millis(500);
/// Delay before the next replica is polled.
const NEXT_REPLICA_DELAY: Duration = Duration::from_millis(200);
/// Delay before the next poll after a version could not be stored or activated.
const INSTALL_RETRY_DELAY: Duration = Duration::from_secs(5);

/// Result of storing or activating a version.
pub(crate) type Result<T> = std::result::Result<T, Error>;

/// Why a version could not be stored or activated.
#[derive(Debug, Display)]
pub(crate) enum Error {
    /// cannot {0}: {1}
    Disk(&'static str, io::Error),
    /// file {0} in the data folder is corrupt: {1}
    Corrupt(&'static str, String),
    /// version {0} has no valid configuration for site {1}: {2}
    Site(u64, String, figdeal_config::Problems),
}

impl std::error::Error for Error {}

/// The configuration version that an entry uses.
#[derive(Debug, Clone)]
pub(crate) struct ActiveConfig {
    pub(crate) version: Arc<Version>,
    /// When a control replica last confirmed that the version is the newest one.
    pub(crate) confirmed_at: UnixMillis,
}

/// Stores and activates the configuration versions of one site. The active version never decreases.
#[derive(Debug)]
pub(crate) struct ConfigStore {
    site: String,
    shared: Arc<SharedState>,
    folder: Option<Mutex<Folder>>,
    /// Time in the confirmation file.
    saved_confirmation: Mutex<UnixMillis>,
}

impl ConfigStore {
    /// Opens the data folder, if there is one, and activates the version stored in it.
    pub(crate) fn open(
        site: &str,
        folder: Option<&Path>,
        shared: Arc<SharedState>,
    ) -> Result<ConfigStore> {
        let folder = match folder {
            Some(path) => Some(
                Folder::open(&path.join("entry"))
                    .map_err(|e| Error::Disk("open the data folder", e))?,
            ),
            None => None,
        };
        let saved_version = match &folder {
            Some(folder) => read_saved_version(folder)?,
            None => None,
        };
        let config_store = ConfigStore {
            site: site.to_owned(),
            shared,
            folder: folder.map(Mutex::new),
            saved_confirmation: Mutex::new(UnixMillis(0)),
        };
        if let Some((version, saved)) = saved_version {
            log::info!(
                "E340 starts on version {} from the data folder",
                version.number
            );
            let confirmed = read_confirmation(&config_store, version.number).unwrap_or(saved);
            config_store.install(version, confirmed.max(saved))?;
        }
        Ok(config_store)
    }

    /// Returns the number of the active version, 0 if there is none.
    pub(crate) fn active_version(&self) -> u64 {
        self.shared
            .active_config()
            .map_or(0, |config| config.version.number)
    }

    /// Records that a control replica has just confirmed the active version as the newest one.
    pub(crate) fn confirm(&self) {
        self.confirm_at(UnixMillis::now());
    }

    fn confirm_at(&self, now: UnixMillis) {
        let mut active_config = self
            .shared
            .active_config
            .write()
            .expect("the lock is not poisoned");
        if let Some(active_config) = active_config.as_mut() {
            active_config.confirmed_at = now;
        }
        drop(active_config);
        if let Err(e) = self.save_confirmation(now) {
            log::warn!("E344 the age of the configuration may be wrong after a restart: {e}");
        }
    }

    /// Writes the time of the confirmation to disk, at most once in each `CONFIRMATION_WRITE_INTERVAL`, so that the age
    /// of the configuration is known after a restart.
    fn save_confirmation(&self, now: UnixMillis) -> Result<()> {
        let Some(folder) = &self.folder else {
            return Ok(());
        };
        let mut saved = self
            .saved_confirmation
            .lock()
            .expect("the lock is not poisoned");
        if u128::from(now.0.saturating_sub(saved.0)) < CONFIRMATION_WRITE_INTERVAL.as_millis() {
            return Ok(());
        }
        let mut folder = folder.lock().expect("the lock is not poisoned");
        let bytes = frame(&(self.active_version(), now));
        folder
            .write(CONFIRMATION_TEMP_FILE, &bytes)
            .map_err(|e| Error::Disk("write the confirmation file", e))?;
        folder
            .rename(CONFIRMATION_TEMP_FILE, CONFIRMATION_FILE)
            .map_err(|e| Error::Disk("rename the confirmation file", e))?;
        *saved = now;
        Ok(())
    }

    /// Activates a version if it is newer than the active one, after it is synced to disk. Returns whether it was
    /// newer.
    ///
    /// # Errors
    /// Fails without activating the version when it cannot be written or has no valid configuration for this site.
    pub(crate) fn install_if_newer(&self, version: Version) -> Result<bool> {
        if version.number <= self.active_version() {
            return Ok(false);
        }
        let number = version.number;
        site_rules(&version, &self.site)?;
        self.save_version(&version)?;
        self.install(version, UnixMillis::now())?;
        log::info!("E341 version {number} is in force");
        Ok(true)
    }

    fn install(&self, version: Version, confirmed: UnixMillis) -> Result<()> {
        let rules = site_rules(&version, &self.site)?;
        let mut active_config = self
            .shared
            .active_config
            .write()
            .expect("the lock is not poisoned");
        let old = active_config
            .as_ref()
            .map_or(0, |config| config.version.number);
        assert!(version.number > old, "the active version never decreases");
        *active_config = Some(ActiveConfig {
            version: Arc::new(version),
            confirmed_at: confirmed,
        });
        drop(active_config);
        self.shared.set_rules(rules);
        self.shared.is_configured.store(true, Ordering::Relaxed);
        Ok(())
    }

    fn save_version(&self, version: &Version) -> Result<()> {
        let Some(folder) = &self.folder else {
            return Ok(());
        };
        let mut folder = folder.lock().expect("the lock is not poisoned");
        let bytes = frame(&(version, UnixMillis::now()));
        folder
            .write(VERSION_TEMP_FILE, &bytes)
            .map_err(|e| Error::Disk("write the configuration file", e))?;
        folder
            .sync(VERSION_TEMP_FILE)
            .map_err(|e| Error::Disk("sync the configuration file", e))?;
        folder
            .rename(VERSION_TEMP_FILE, VERSION_FILE)
            .map_err(|e| Error::Disk("rename the configuration file", e))?;
        folder
            .sync_folder()
            .map_err(|e| Error::Disk("sync the data folder", e))
    }
}

/// Polls the control replicas, one at a time, until `stop` is cancelled. A replica answers a long poll only when it has
/// a newer version or [`POLL_TIMEOUT`] ends, so an idle entry costs one request and one reply per second.
pub(crate) async fn poll_replicas(
    config_store: Arc<ConfigStore>,
    replicas: Vec<SocketAddr>,
    stop: CancellationToken,
) {
    let mut turn: usize = rand::random_range(0..replicas.len());
    loop {
        let replica = replicas[turn % replicas.len()];
        let stop_reason = tokio::select! {
            () = stop.cancelled() => return,
            stop_reason = poll_replica(&config_store, replica) => stop_reason,
        };
        log::info!(
            "E342 polling stopped, trying the next control replica: {stop_reason}; replica={replica}"
        );
        turn += 1;
        tokio::select! {
            () = stop.cancelled() => return,
            () = tokio::time::sleep(NEXT_REPLICA_DELAY) => {}
        }
    }
}

/// Polls one replica for as long as it answers; returns why polling stopped.
async fn poll_replica(config_store: &Arc<ConfigStore>, replica: SocketAddr) -> String {
    let rpc = match connect(replica).await {
        Ok(rpc) => rpc,
        Err(e) => return format!("cannot connect: {e}"),
    };
    loop {
        let mut context = context::current();
        context.deadline = Instant::now() + POLL_TIMEOUT + POLL_TIMEOUT_MARGIN;
        message_count::record(MessageClass::Heartbeat);
        let answer = match timeout(
            POLL_TIMEOUT + POLL_TIMEOUT_MARGIN,
            rpc.poll(context, config_store.active_version()),
        )
        .await
        {
            Ok(Ok(answer)) => answer,
            Ok(Err(e)) => return format!("poll failed: {e}"),
            Err(_) => return "poll timed out".to_owned(),
        };
        message_count::record(MessageClass::Heartbeat);
        let version = match answer {
            PollReply::Newer(version) => version,
            PollReply::Current => {
                let store = Arc::clone(config_store);
                let confirmed = tokio::task::spawn_blocking(move || store.confirm()).await;
                match confirmed {
                    Ok(()) => continue,
                    Err(e) => return format!("the task that saves the confirmation failed: {e}"),
                }
            }
            PollReply::Unavailable => return "the replica reaches no quorum".to_owned(),
        };
        let store = Arc::clone(config_store);
        // Writing to disk takes milliseconds and must not block the network threads.
        let installed = tokio::task::spawn_blocking(move || store.install_if_newer(version)).await;
        match installed {
            Ok(Ok(_)) => {}
            Ok(Err(e)) => {
                log::error!("E343 cannot install a new configuration version: {e}");
                tokio::time::sleep(INSTALL_RETRY_DELAY).await;
            }
            Err(e) => return format!("the task that installs the version failed: {e}"),
        }
    }
}

/// Returns the time since the version was last confirmed as the newest one.
pub(crate) fn config_age(active_config: &ActiveConfig) -> Duration {
    let now = UnixMillis::now();
    Duration::from_millis(now.0.saturating_sub(active_config.confirmed_at.0))
}

/// Reads the saved confirmation of version `number`. Read errors are ignored, because without it the reported age is
/// only too high.
fn read_confirmation(config_store: &ConfigStore, number: u64) -> Option<UnixMillis> {
    let folder = config_store.folder.as_ref()?;
    let folder = folder.lock().expect("the lock is not poisoned");
    let bytes = folder.read(CONFIRMATION_FILE).ok()?;
    let (confirmed_number, confirmed_at) = unframe::<(u64, UnixMillis)>(&bytes).ok()?;
    (confirmed_number == number).then_some(confirmed_at)
}

fn read_saved_version(folder: &Folder) -> Result<Option<(Version, UnixMillis)>> {
    let names = folder
        .list()
        .map_err(|e| Error::Disk("list the data folder", e))?;
    if !names.iter().any(|n| n == VERSION_FILE) {
        return Ok(None);
    }
    let bytes = folder
        .read(VERSION_FILE)
        .map_err(|e| Error::Disk("read the configuration file", e))?;
    unframe(&bytes)
        .map(Some)
        .map_err(|reason| Error::Corrupt(VERSION_FILE, reason))
}

fn site_rules(version: &Version, site: &str) -> Result<Rules> {
    let bundle = to_config_bundle(&version.bundle)
        .map_err(|p| Error::Site(version.number, site.to_owned(), p))?;
    let config = bundle
        .effective(site)
        .map_err(|p| Error::Site(version.number, site.to_owned(), p))?;
    Ok(Rules::new(version.number, &config))
}
