//! Tracks requests from and replies to entries, so that announcers can skip announcements that bring nothing new.

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

/// Time of the last reply to each entry, and the newest configuration version in requests of entries.
#[derive(Debug, Default)]
pub(crate) struct EntryActivity {
    last_replies: Mutex<HashMap<EntryId, Instant>>,
    newest_version: AtomicU64,
}

impl EntryActivity {
    /// Records a request of an entry that uses configuration `version`.
    pub(crate) fn on_request(&self, version: u64) {
        self.newest_version.fetch_max(version, Ordering::Relaxed);
    }

    /// Records a reply to an entry. A reply contains the load and shows that the agent is alive.
    pub(crate) fn on_reply(&self, entry: EntryId) {
        self.last_replies
            .lock()
            .expect("the lock is not poisoned")
            .insert(entry, Instant::now());
    }

    /// Returns whether a reply was sent to the entry within the last `age`.
    pub(crate) fn replied_within(&self, entry: EntryId, age: Duration) -> bool {
        let last_replies = self.last_replies.lock().expect("the lock is not poisoned");
        last_replies
            .get(&entry)
            .is_some_and(|at| at.elapsed() < age)
    }

    /// Returns the newest configuration version that a request named.
    pub(crate) fn newest_version(&self) -> u64 {
        self.newest_version.load(Ordering::Relaxed)
    }
}
