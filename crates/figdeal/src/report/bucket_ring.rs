//! Task counts in a ring buffer of time buckets.

use std::time::Duration;

use figdeal_core::time::Timestamp;

use super::burn::Counts;

/// The last `N` buckets, including the current one.
#[derive(Debug)]
pub(super) struct BucketRing<const N: usize> {
    /// Length of a bucket in microseconds.
    step: u64,
    /// Index of the current bucket since the start of the clock.
    current: u64,
    buckets: Box<[Counts; N]>,
}

impl<const N: usize> BucketRing<N> {
    pub(super) fn new(step: Duration) -> BucketRing<N> {
        BucketRing {
            step: step.as_micros() as u64,
            current: 0,
            buckets: Box::new([Counts::default(); N]),
        }
    }

    /// Returns the bucket of `now`, or the current bucket if `now` is earlier than it.
    pub(super) fn at(&mut self, now: Timestamp) -> &mut Counts {
        self.advance(now);
        &mut self.buckets[(self.current % N as u64) as usize]
    }

    /// Returns the sum of the last `count` buckets, including the current one.
    pub(super) fn sum(&mut self, now: Timestamp, count: usize) -> Counts {
        let mut sum = Counts::default();
        for bucket in self.iter(now).skip(N - count) {
            sum.merge(bucket);
        }
        sum
    }

    /// Returns the buckets, oldest first.
    pub(super) fn iter(&mut self, now: Timestamp) -> impl Iterator<Item = &Counts> {
        self.advance(now);
        let oldest = ((self.current + 1) % N as u64) as usize;
        let (newer, older) = self.buckets.split_at(oldest);
        older.iter().chain(newer)
    }

    fn advance(&mut self, now: Timestamp) {
        let number = now.as_micros() / self.step;
        let passed = number.saturating_sub(self.current).min(N as u64);
        for i in 0..passed {
            self.buckets[((number - i) % N as u64) as usize] = Counts::default();
        }
        self.current = self.current.max(number);
    }
}
