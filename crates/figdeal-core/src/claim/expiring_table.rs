//! Bounded table keyed by submission whose records expire some time after the submission was created.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use crate::{id::SubmissionKey, time::UnixMillis};

/// Width of the buckets in which records expire, in milliseconds. A record is kept at most this much too long; with a
/// retention of 1 h there are about 3,600 buckets.
const BUCKET_WIDTH_MS: u64 = 1_000;

/// Error: the table holds its maximum number of records.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct TableFull;

/// Records by key that expire in the order in which their submissions were created. No record is evicted earlier.
#[derive(Debug)]
pub(super) struct ExpiringTable<V> {
    records: HashMap<SubmissionKey, V>,
    buckets: VecDeque<Vec<SubmissionKey>>,
    /// Number of the first bucket; the number of a bucket is `created` divided by the bucket width.
    first_bucket: u64,
    retention: Duration,
    max_records: usize,
}

impl<V> ExpiringTable<V> {
    pub(super) fn new(max_records: usize, retention: Duration) -> ExpiringTable<V> {
        ExpiringTable {
            records: HashMap::new(),
            buckets: VecDeque::new(),
            first_bucket: 0,
            retention,
            max_records,
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

    /// Adds a record for a new key. `created` must lie within the retention, which bounds the number of buckets.
    pub(super) fn insert(
        &mut self,
        key: SubmissionKey,
        created: UnixMillis,
        value: V,
    ) -> Result<(), TableFull> {
        if self.records.len() >= self.max_records {
            return Err(TableFull);
        }
        let before = self.records.insert(key, value);
        assert!(before.is_none(), "the table already has a record of {key}");
        let bucket = created.0 / BUCKET_WIDTH_MS;
        if self.buckets.is_empty() {
            self.first_bucket = bucket;
        }
        while bucket < self.first_bucket {
            self.buckets.push_front(Vec::new());
            self.first_bucket -= 1;
        }
        let position = (bucket - self.first_bucket) as usize;
        while self.buckets.len() <= position {
            self.buckets.push_back(Vec::new());
        }
        self.buckets[position].push(key);
        Ok(())
    }

    /// Removes up to `limit` expired records and empty buckets. Each record and each bucket is removed once, so the
    /// cost per record is constant.
    pub(super) fn expire(&mut self, wall: UnixMillis, limit: usize) {
        for _ in 0..limit {
            if self.next_expiry().is_none_or(|due| wall < due) {
                return;
            }
            match self.buckets[0].pop() {
                Some(key) => {
                    let dropped = self.records.remove(&key);
                    assert!(
                        dropped.is_some(),
                        "a bucket lists {key}, which has no record"
                    );
                }
                None => {
                    self.buckets.pop_front();
                    self.first_bucket += 1;
                }
            }
        }
    }

    /// Time at which the records of the first bucket expire.
    pub(super) fn next_expiry(&self) -> Option<UnixMillis> {
        let end = UnixMillis((self.first_bucket + 1) * BUCKET_WIDTH_MS);
        (!self.buckets.is_empty()).then(|| end.plus(self.retention))
    }
}
