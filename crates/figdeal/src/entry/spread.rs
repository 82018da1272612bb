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

use super::Shared;
use crate::{register::to_config, rules::Rules};

/// File with the last accepted version.
const FILE: &str = "accepted";
/// Name under which the file is written before it replaces the old one.
const TEMPORARY: &str = "accepted.new";
/// File with the time of the last confirmation of a version.
const CONFIRMED: &str = "confirmed";
/// Name under which that file is written.
const CONFIRMED_NEW: &str = "confirmed.new";
/// Time between writes of the confirmation. It is not synced, because losing it only overstates the age.
const CONFIRM_EVERY: Duration = Duration::from_secs(5);

/// Time beyond the wait of a poll after which the replica counts as silent.
const POLL_MARGIN: Duration = Duration::from_millis(500);
/// Pause before the next replica is polled.
const REPLICA_PAUSE: Duration = Duration::from_millis(200);
/// Pause after a version that could not be taken.
const RETRY_PAUSE: Duration = Duration::from_secs(5);

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
    /// The confirmation that is on disk.
    kept: Mutex<UnixMillis>,
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
            kept: Mutex::new(UnixMillis(0)),
        };
        if let Some((version, saved)) = kept {
            log::info!(
                "E340 starts on version {} from the data folder",
                version.number
            );
            let confirmed = confirmation(&spread, version.number).unwrap_or(saved);
            spread.install(version, confirmed.max(saved))?;
        }
        Ok(spread)
    }

    /// The number of the version in force, 0 where there is none.
    pub(crate) fn number(&self) -> u64 {
        self.shared.in_force().map_or(0, |f| f.version.number)
    }

    /// Notes that a control VM confirmed the version in force as the newest one.
    pub(crate) fn confirm(&self) {
        self.confirm_at(UnixMillis::now());
    }

    fn confirm_at(&self, now: UnixMillis) {
        let mut in_force = self
            .shared
            .in_force
            .write()
            .expect("the lock is not poisoned");
        if let Some(in_force) = in_force.as_mut() {
            in_force.confirmed = now;
        }
        drop(in_force);
        if let Err(e) = self.keep(now) {
            log::warn!("E344 {e}");
        }
    }

    /// Keeps the confirmation for the age after a restart, from time to time.
    fn keep(&self, now: UnixMillis) -> Result<()> {
        let Some(folder) = &self.folder else {
            return Ok(());
        };
        let mut kept = self.kept.lock().expect("the lock is not poisoned");
        if u128::from(now.0.saturating_sub(kept.0)) < CONFIRM_EVERY.as_millis() {
            return Ok(());
        }
        let mut folder = folder.lock().expect("the lock is not poisoned");
        let bytes = frame(&(self.number(), now));
        folder
            .write(CONFIRMED_NEW, &bytes)
            .map_err(|e| Error::Disk("write of the confirmation", e))?;
        folder
            .rename(CONFIRMED_NEW, CONFIRMED)
            .map_err(|e| Error::Disk("rename of the confirmation", e))?;
        *kept = now;
        Ok(())
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

/// Polls the control replicas until `stop` is cancelled. A replica holds a poll until it has a newer version, so that an
/// idle entry costs one request and one reply in some seconds.
pub(crate) async fn poll(spread: Arc<Spread>, replicas: Vec<SocketAddr>, stop: CancellationToken) {
    let mut turn: usize = rand::random_range(0..replicas.len());
    loop {
        let replica = replicas[turn % replicas.len()];
        let followed = tokio::select! {
            () = stop.cancelled() => return,
            followed = follow(&spread, replica) => followed,
        };
        log::info!("E342 control replica {replica}: {followed}");
        turn += 1;
        tokio::select! {
            () = stop.cancelled() => return,
            () = tokio::time::sleep(REPLICA_PAUSE) => {}
        }
    }
}

/// Polls one replica as long as it answers; returns why it stopped.
async fn follow(spread: &Arc<Spread>, replica: SocketAddr) -> String {
    let rpc = match connect(replica).await {
        Ok(rpc) => rpc,
        Err(e) => return format!("step connect failed: {e}"),
    };
    loop {
        let mut context = context::current();
        context.deadline = Instant::now() + POLL_TIMEOUT + POLL_MARGIN;
        message_count::record(MessageClass::Heartbeat);
        let answer = match timeout(
            POLL_TIMEOUT + POLL_MARGIN,
            rpc.poll(context, spread.number()),
        )
        .await
        {
            Ok(Ok(answer)) => answer,
            Ok(Err(e)) => return format!("step poll failed: {e}"),
            Err(_) => return "step poll failed: no reply in time".to_owned(),
        };
        message_count::record(MessageClass::Heartbeat);
        let version = match answer {
            PollReply::Newer(version) => version,
            PollReply::Current => {
                let confirmer = Arc::clone(spread);
                let confirmed = tokio::task::spawn_blocking(move || confirmer.confirm()).await;
                match confirmed {
                    Ok(()) => continue,
                    Err(e) => return format!("step confirm failed: {e}"),
                }
            }
            PollReply::Unavailable => return "step poll failed: it reaches no majority".to_owned(),
        };
        let taker = Arc::clone(spread);
        // Writing to disk takes milliseconds, which the network threads do not have.
        let taken = tokio::task::spawn_blocking(move || taker.offer(version)).await;
        match taken {
            Ok(Ok(_)) => {}
            Ok(Err(e)) => {
                log::error!("E343 {e}");
                tokio::time::sleep(RETRY_PAUSE).await;
            }
            Err(e) => return format!("step install failed: {e}"),
        }
    }
}

/// Time since a version was last confirmed as the newest one.
pub(crate) fn age(in_force: &InForce) -> Duration {
    let now = UnixMillis::now();
    Duration::from_millis(now.0.saturating_sub(in_force.confirmed.0))
}

/// The kept confirmation of version `number`; an unreadable one only overstates the age.
fn confirmation(spread: &Spread, number: u64) -> Option<UnixMillis> {
    let folder = spread.folder.as_ref()?;
    let folder = folder.lock().expect("the lock is not poisoned");
    let bytes = folder.read(CONFIRMED).ok()?;
    let (of, at) = unframe::<(u64, UnixMillis)>(&bytes).ok()?;
    (of == number).then_some(at)
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
    let bundle =
        to_config(&version.bundle).map_err(|p| Error::Site(version.number, site.to_owned(), p))?;
    let config = bundle
        .effective(site)
        .map_err(|p| Error::Site(version.number, site.to_owned(), p))?;
    Ok(Rules::new(version.number, &config))
}
