//! What the traffic with the entries tells the announcers, so that they need not announce what is known.

use std::{
    collections::HashMap,
    sync::{
        Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use figdeal_core::id::EntryId;
use tokio::time::Instant;

/// Last replies to the entries, and the newest version of the configuration that an entry named.
#[derive(Debug, Default)]
pub(crate) struct Traffic {
    replies: Mutex<HashMap<EntryId, Instant>>,
    version: AtomicU64,
}

impl Traffic {
    /// Notes a request of an entry that runs on `version`.
    pub(crate) fn on_request(&self, version: u64) {
        self.version.fetch_max(version, Ordering::Relaxed);
    }

    /// Notes a reply, which carries the load and shows that the agent lives.
    pub(crate) fn on_reply(&self, entry: EntryId) {
        self.replies
            .lock()
            .expect("the lock is not poisoned")
            .insert(entry, Instant::now());
    }

    /// Whether the entry got a reply within `span`.
    pub(crate) fn is_recent(&self, entry: EntryId, span: Duration) -> bool {
        let replies = self.replies.lock().expect("the lock is not poisoned");
        replies.get(&entry).is_some_and(|at| at.elapsed() < span)
    }

    /// The newest version that an entry named.
    pub(crate) fn version(&self) -> u64 {
        self.version.load(Ordering::Relaxed)
    }
}
