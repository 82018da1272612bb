//! The accepted configuration at an entry: taking a newer version, keeping it on disk, putting it in force.

use std::{
    io,
    path::Path,
    sync::{Arc, Mutex, atomic::Ordering},
    time::Duration,
};

use displaydoc::Display;
use figdeal_config::Bundle;
use figdeal_control::{
    disk::{Disk, Folder},
    store::{Version, frame, unframe},
};
use figdeal_core::time::UnixMillis;

use super::Shared;
use crate::rules::Rules;

/// File with the last accepted version.
const FILE: &str = "accepted";
/// Name under which the file is written before it replaces the old one.
const TEMPORARY: &str = "accepted.new";

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
pub(crate) struct InForce {
    pub(crate) version: Arc<Version>,
    /// When this process last heard that the version is the newest one.
    pub(crate) confirmed: UnixMillis,
}

/// Takes versions for one site. A version never goes down.
#[derive(Debug)]
pub(crate) struct Spread {
    site: String,
    shared: Arc<Shared>,
    folder: Option<Mutex<Folder>>,
}

impl Spread {
    /// Opens the data folder, where there is one, and puts the version that it holds in force.
    pub(crate) fn open(site: &str, folder: Option<&Path>, shared: Arc<Shared>) -> Result<Spread> {
        let folder = match folder {
            Some(path) => {
                Some(Folder::open(&path.join("entry")).map_err(|e| Error::Disk("open", e))?)
            }
            None => None,
        };
        let kept = match &folder {
            Some(folder) => load(folder)?,
            None => None,
        };
        let spread = Spread {
            site: site.to_owned(),
            shared,
            folder: folder.map(Mutex::new),
        };
        if let Some((version, saved)) = kept {
            log::info!(
                "E340 starts on version {} from the data folder",
                version.number
            );
            spread.install(version, saved)?;
        }
        Ok(spread)
    }

    /// The number of the version in force, 0 where there is none.
    pub(crate) fn number(&self) -> u64 {
        self.shared.in_force().map_or(0, |f| f.version.number)
    }

    /// Notes that a control VM confirmed the version in force as the newest one.
    pub(crate) fn confirm(&self) {
        let mut in_force = self
            .shared
            .in_force
            .write()
            .expect("the lock is not poisoned");
        if let Some(in_force) = in_force.as_mut() {
            in_force.confirmed = UnixMillis::now();
        }
    }

    /// Puts a version in force if it is newer, after it is synced to disk. Returns whether it was newer.
    ///
    /// # Errors
    /// The version stays out of force when it cannot be written or gives no configuration for this site.
    pub(crate) fn offer(&self, version: Version) -> Result<bool> {
        if version.number <= self.number() {
            return Ok(false);
        }
        let number = version.number;
        rules(&version, &self.site)?;
        self.save(&version)?;
        self.install(version, UnixMillis::now())?;
        log::info!("E341 version {number} is in force");
        Ok(true)
    }

    fn install(&self, version: Version, confirmed: UnixMillis) -> Result<()> {
        let rules = rules(&version, &self.site)?;
        let mut in_force = self
            .shared
            .in_force
            .write()
            .expect("the lock is not poisoned");
        let old = in_force.as_ref().map_or(0, |f| f.version.number);
        assert!(version.number > old, "a version in force never goes down");
        *in_force = Some(InForce {
            version: Arc::new(version),
            confirmed,
        });
        drop(in_force);
        self.shared.set_rules(rules);
        self.shared.is_configured.store(true, Ordering::Relaxed);
        Ok(())
    }

    fn save(&self, version: &Version) -> Result<()> {
        let Some(folder) = &self.folder else {
            return Ok(());
        };
        let mut folder = folder.lock().expect("the lock is not poisoned");
        let bytes = frame(&(version, UnixMillis::now()));
        folder
            .write(TEMPORARY, &bytes)
            .map_err(|e| Error::Disk("write", e))?;
        folder.sync(TEMPORARY).map_err(|e| Error::Disk("sync", e))?;
        folder
            .rename(TEMPORARY, FILE)
            .map_err(|e| Error::Disk("rename", e))?;
        folder
            .sync_folder()
            .map_err(|e| Error::Disk("sync of the folder", e))
    }
}

/// Time since a version was last confirmed as the newest one.
pub(crate) fn age(in_force: &InForce) -> Duration {
    let now = UnixMillis::now();
    Duration::from_millis(now.0.saturating_sub(in_force.confirmed.0))
}

fn load(folder: &Folder) -> Result<Option<(Version, UnixMillis)>> {
    let names = folder.list().map_err(|e| Error::Disk("list", e))?;
    if !names.iter().any(|n| n == FILE) {
        return Ok(None);
    }
    let bytes = folder.read(FILE).map_err(|e| Error::Disk("read", e))?;
    unframe(&bytes)
        .map(Some)
        .map_err(|reason| Error::Corrupt(FILE, reason))
}

fn rules(version: &Version, site: &str) -> Result<Rules> {
    let bundle = bundle(version).map_err(|p| Error::Site(version.number, site.to_owned(), p))?;
    let config = bundle
        .effective(site)
        .map_err(|p| Error::Site(version.number, site.to_owned(), p))?;
    Ok(Rules::new(version.number, &config))
}

fn bundle(version: &Version) -> figdeal_config::Result<Bundle> {
    Bundle::new(
        version
            .bundle
            .files
            .iter()
            .map(|f| (f.name.clone(), f.bytes.clone()))
            .collect(),
    )
}
