//! The accepted configuration at an entry: taking a newer version, keeping it on disk, putting it in force.

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
    driver::{POLL_WAIT, Poll, connect},
    store::{Version, frame, unframe},
};
use figdeal_core::time::UnixMillis;
use figdeal_wire::count::{self, Class};
use tarpc::context;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

#[cfg(test)]
mod tests;

use super::Shared;
use crate::{register::to_config, rules::Rules};

/// File with the last accepted version.
const VERSION_FILE: &str = "accepted";
/// Name under which the file is written before it replaces the old one.
const VERSION_TEMP_FILE: &str = "accepted.new";
/// File with the time of the last confirmation of a version.
const CONFIRMATION_FILE: &str = "confirmed";
/// Name under which that file is written.
const CONFIRMATION_TEMP_FILE: &str = "confirmed.new";
/// Time between writes of the confirmation. It is not synced, because losing it only overstates the age.
const CONFIRMATION_WRITE_INTERVAL: Duration = Duration::from_secs(5);

/// Time beyond the wait of a poll after which the replica counts as silent.
const POLL_TIMEOUT_MARGIN: Duration = Duration::from_millis(500);
/// Pause before the next replica is polled.
const NEXT_REPLICA_DELAY: Duration = Duration::from_millis(200);
/// Pause after a version that could not be taken.
const INSTALL_RETRY_DELAY: Duration = Duration::from_secs(5);

/// Result of taking a version.
pub(crate) type Result<T> = std::result::Result<T, Error>;

/// Why a version could not be taken.
#[derive(Debug, Display)]
pub(crate) enum Error {
    /// step {0} of the configuration file failed: {1}
    Disk(&'static str, io::Error),
    /// file {0} of the data folder is corrupt: {1}
    Corrupt(&'static str, String),
    /// version {0} gives no configuration for site {1}: {2}
    Site(u64, String, figdeal_config::Problems),
}

impl std::error::Error for Error {}

/// The version that an entry runs on.
#[derive(Debug, Clone)]
pub(crate) struct ActiveConfig {
    pub(crate) version: Arc<Version>,
    /// When this process last heard that the version is the newest one.
    pub(crate) confirmed_at: UnixMillis,
}

/// Takes versions for one site. A version never goes down.
#[derive(Debug)]
pub(crate) struct ConfigStore {
    site: String,
    shared: Arc<Shared>,
    folder: Option<Mutex<Folder>>,
    /// The confirmation that is on disk.
    saved_confirmation: Mutex<UnixMillis>,
}

impl ConfigStore {
    /// Opens the data folder, where there is one, and puts the version that it holds in force.
    pub(crate) fn open(
        site: &str,
        folder: Option<&Path>,
        shared: Arc<Shared>,
    ) -> Result<ConfigStore> {
        let folder = match folder {
            Some(path) => {
                Some(Folder::open(&path.join("entry")).map_err(|e| Error::Disk("open", e))?)
            }
            None => None,
        };
        let kept = match &folder {
            Some(folder) => read_saved_version(folder)?,
            None => None,
        };
        let config_store = ConfigStore {
            site: site.to_owned(),
            shared,
            folder: folder.map(Mutex::new),
            saved_confirmation: Mutex::new(UnixMillis(0)),
        };
        if let Some((version, saved)) = kept {
            log::info!(
                "E340 starts on version {} from the data folder",
                version.number
            );
            let confirmed = read_confirmation(&config_store, version.number).unwrap_or(saved);
            config_store.install(version, confirmed.max(saved))?;
        }
        Ok(config_store)
    }

    /// The number of the version in force, 0 where there is none.
    pub(crate) fn active_version(&self) -> u64 {
        self.shared.active_config().map_or(0, |f| f.version.number)
    }

    /// Notes that a control VM confirmed the version in force as the newest one.
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
            log::warn!("E344 {e}");
        }
    }

    /// Keeps the confirmation for the age after a restart, from time to time.
    fn save_confirmation(&self, now: UnixMillis) -> Result<()> {
        let Some(folder) = &self.folder else {
            return Ok(());
        };
        let mut kept = self
            .saved_confirmation
            .lock()
            .expect("the lock is not poisoned");
        if u128::from(now.0.saturating_sub(kept.0)) < CONFIRMATION_WRITE_INTERVAL.as_millis() {
            return Ok(());
        }
        let mut folder = folder.lock().expect("the lock is not poisoned");
        let bytes = frame(&(self.active_version(), now));
        folder
            .write(CONFIRMATION_TEMP_FILE, &bytes)
            .map_err(|e| Error::Disk("write of the confirmation", e))?;
        folder
            .rename(CONFIRMATION_TEMP_FILE, CONFIRMATION_FILE)
            .map_err(|e| Error::Disk("rename of the confirmation", e))?;
        *kept = now;
        Ok(())
    }

    /// Puts a version in force if it is newer, after it is synced to disk. Returns whether it was newer.
    ///
    /// # Errors
    /// The version stays out of force when it cannot be written or gives no configuration for this site.
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
        let old = active_config.as_ref().map_or(0, |f| f.version.number);
        assert!(version.number > old, "a version in force never goes down");
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
            .map_err(|e| Error::Disk("write", e))?;
        folder
            .sync(VERSION_TEMP_FILE)
            .map_err(|e| Error::Disk("sync", e))?;
        folder
            .rename(VERSION_TEMP_FILE, VERSION_FILE)
            .map_err(|e| Error::Disk("rename", e))?;
        folder
            .sync_folder()
            .map_err(|e| Error::Disk("sync of the folder", e))
    }
}

/// Polls the control replicas until `stop` is cancelled. A replica holds a poll until it has a newer version, so that an
/// idle entry costs one request and one reply in some seconds.
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
        log::info!("E342 control replica {replica}: {stop_reason}");
        turn += 1;
        tokio::select! {
            () = stop.cancelled() => return,
            () = tokio::time::sleep(NEXT_REPLICA_DELAY) => {}
        }
    }
}

/// Polls one replica as long as it answers; returns why it stopped.
async fn poll_replica(config_store: &Arc<ConfigStore>, replica: SocketAddr) -> String {
    let rpc = match connect(replica).await {
        Ok(rpc) => rpc,
        Err(e) => return format!("step connect failed: {e}"),
    };
    loop {
        let mut context = context::current();
        context.deadline = Instant::now() + POLL_WAIT + POLL_TIMEOUT_MARGIN;
        count::record(Class::Heartbeat);
        let answer = match timeout(
            POLL_WAIT + POLL_TIMEOUT_MARGIN,
            rpc.poll(context, config_store.active_version()),
        )
        .await
        {
            Ok(Ok(answer)) => answer,
            Ok(Err(e)) => return format!("step poll failed: {e}"),
            Err(_) => return "step poll failed: no reply in time".to_owned(),
        };
        count::record(Class::Heartbeat);
        let version = match answer {
            Poll::Newer(version) => version,
            Poll::Current => {
                let store = Arc::clone(config_store);
                let confirmed = tokio::task::spawn_blocking(move || store.confirm()).await;
                match confirmed {
                    Ok(()) => continue,
                    Err(e) => return format!("step confirm failed: {e}"),
                }
            }
            Poll::Unavailable => return "step poll failed: it reaches no majority".to_owned(),
        };
        let store = Arc::clone(config_store);
        // Writing to disk takes milliseconds, which the network threads do not have.
        let taken = tokio::task::spawn_blocking(move || store.install_if_newer(version)).await;
        match taken {
            Ok(Ok(_)) => {}
            Ok(Err(e)) => {
                log::error!("E343 {e}");
                tokio::time::sleep(INSTALL_RETRY_DELAY).await;
            }
            Err(e) => return format!("step install failed: {e}"),
        }
    }
}

/// Time since a version was last confirmed as the newest one.
pub(crate) fn config_age(active_config: &ActiveConfig) -> Duration {
    let now = UnixMillis::now();
    Duration::from_millis(now.0.saturating_sub(active_config.confirmed_at.0))
}

/// The kept confirmation of version `number`; an unreadable one only overstates the age.
fn read_confirmation(config_store: &ConfigStore, number: u64) -> Option<UnixMillis> {
    let folder = config_store.folder.as_ref()?;
    let folder = folder.lock().expect("the lock is not poisoned");
    let bytes = folder.read(CONFIRMATION_FILE).ok()?;
    let (of, at) = unframe::<(u64, UnixMillis)>(&bytes).ok()?;
    (of == number).then_some(at)
}

fn read_saved_version(folder: &Folder) -> Result<Option<(Version, UnixMillis)>> {
    let names = folder.list().map_err(|e| Error::Disk("list", e))?;
    if !names.iter().any(|n| n == VERSION_FILE) {
        return Ok(None);
    }
    let bytes = folder
        .read(VERSION_FILE)
        .map_err(|e| Error::Disk("read", e))?;
    unframe(&bytes)
        .map(Some)
        .map_err(|reason| Error::Corrupt(VERSION_FILE, reason))
}

fn site_rules(version: &Version, site: &str) -> Result<Rules> {
    let bundle =
        to_config(&version.bundle).map_err(|p| Error::Site(version.number, site.to_owned(), p))?;
    let config = bundle
        .effective(site)
        .map_err(|p| Error::Site(version.number, site.to_owned(), p))?;
    Ok(Rules::new(version.number, &config))
}
