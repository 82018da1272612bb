//! Bounded table of submissions that drops what is older than the retention.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use crate::{id::SubmissionKey, time::UnixMillis};

/// Width of the buckets by which records are dropped, in milliseconds. A record outlives its time by at most
/// this much; at a retention of 1 h there are about 3,600 buckets.
const BUCKET_MILLIS: u64 = 1_000;

/// The table holds as many records as its bound allows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct TableFull;

/// Records by key, dropped in the order of their creation. Never evicts a record before its time.
#[derive(Debug)]
pub(super) struct ExpiringTable<V> {
    records: HashMap<SubmissionKey, V>,
    buckets: VecDeque<Vec<SubmissionKey>>,
    /// Number of the first bucket: `created` divided by the width.
    base: u64,
    keep: Duration,
    max: usize,
}

impl<V> ExpiringTable<V> {
    pub(super) fn new(max: usize, keep: Duration) -> ExpiringTable<V> {
        ExpiringTable {
            records: HashMap::new(),
            buckets: VecDeque::new(),
            base: 0,
            keep,
            max,
        }
    }

    pub(super) fn get(&self, key: SubmissionKey) -> Option<&V> {
        self.records.get(&key)
    }

    pub(super) fn get_mut(&mut self, key: SubmissionKey) -> Option<&mut V> {
        self.records.get_mut(&key)
    }

    pub(super) fn len(&self) -> usize {
        self.records.len()
    }

    /// Adds a record for an unknown key. `created` must lie within the retention, which bounds the buckets.
    pub(super) fn insert(
        &mut self,
        key: SubmissionKey,
        created: UnixMillis,
        value: V,
    ) -> Result<(), TableFull> {
        if self.records.len() >= self.max {
            return Err(TableFull);
        }
        let before = self.records.insert(key, value);
        assert!(before.is_none(), "record of {key} must not be replaced");
        let bucket = created.0 / BUCKET_MILLIS;
        if self.buckets.is_empty() {
            self.base = bucket;
        }
        while bucket < self.base {
            self.buckets.push_front(Vec::new());
            self.base -= 1;
        }
        let place = (bucket - self.base) as usize;
        while self.buckets.len() <= place {
            self.buckets.push_back(Vec::new());
        }
        self.buckets[place].push(key);
        Ok(())
    }

    /// Drops up to `limit` records whose time has passed. Each record is dropped once, and each bucket that has
    /// passed is visited once.
    pub(super) fn expire(&mut self, wall: UnixMillis, limit: usize) {
        for _ in 0..limit {
            if self.due().is_none_or(|due| wall < due) {
                return;
            }
            match self.buckets[0].pop() {
                Some(key) => {
                    let dropped = self.records.remove(&key);
                    assert!(dropped.is_some(), "bucket of {key} without its record");
                }
                None => {
                    self.buckets.pop_front();
                    self.base += 1;
                }
            }
        }
    }

    /// When the records of the first bucket are dropped.
    pub(super) fn due(&self) -> Option<UnixMillis> {
        let end = UnixMillis((self.base + 1) * BUCKET_MILLIS);
        (!self.buckets.is_empty()).then(|| end.plus(self.keep))
    }
}
