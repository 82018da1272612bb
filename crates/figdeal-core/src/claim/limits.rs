//! Bounds and times of claims.

use std::time::Duration;

use crate::time::UnixMillis;

/// Bounds and times of claims; every entry needs the same `retention` and `max_skew`.
#[derive(Debug, Clone, Copy)]
pub struct ClaimLimits {
    /// Age from which a submission is refused as expired.
    pub retention: Duration,
    /// Largest difference between the wall clocks of two entries, also across restarts.
    pub max_skew: Duration,
    /// Largest number of records of an acceptor, of submissions that this entry owns, and of those that it knows to be
    /// owned elsewhere. An acceptor needs about 150 bytes for each record.
    pub max_records: usize,
    /// Largest number of claims in progress.
    pub max_claims: usize,
    /// How long a proposer waits for the answers to a step.
    pub step_timeout: Duration,
    /// Largest pause before the second prepare; doubles with each further one.
    pub prepare_backoff: Duration,
    /// Largest number of prepares of one claim.
    pub max_prepares: u32,
}

impl Default for ClaimLimits {
    fn default() -> ClaimLimits {
        ClaimLimits {
            retention: Duration::from_secs(3_600),
            max_skew: Duration::from_secs(2),
            max_records: 1_000_000,
            max_claims: 50_000,
            step_timeout: Duration::from_millis(100),
            prepare_backoff: Duration::from_millis(20),
            max_prepares: 6,
        }
    }
}

impl ClaimLimits {
    /// How long a record is kept after the submission was created.
    pub fn record_retention(&self) -> Duration {
        self.retention + 2 * self.max_skew
    }

    /// Last `created` for which a process that started at `start` abstains.
    ///
    /// One `max_skew` covers submissions that the run before accepted from the future; the other one covers a
    /// wall clock that reads less after the restart than before it.
    pub fn abstain_until(&self, start: UnixMillis) -> UnixMillis {
        start.plus(2 * self.max_skew)
    }

    /// Whether a submission is older than the retention at `wall`.
    pub fn is_expired(&self, created: UnixMillis, wall: UnixMillis) -> bool {
        created.plus(self.retention) < wall
    }

    /// Whether a submission was created too far in the future of `wall`.
    pub fn is_in_future(&self, created: UnixMillis, wall: UnixMillis) -> bool {
        created > wall.plus(self.max_skew)
    }
}
