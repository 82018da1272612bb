//! Limits and timeouts of claims.

use std::time::Duration;

use crate::time::UnixMillis;

/// Limits and timeouts of claims. All entries need the same `retention` and `max_skew`.
#[derive(Debug, Clone, Copy)]
pub struct ClaimLimits {
    /// Submissions older than this are refused as expired.
    pub retention: Duration,
    /// Largest difference between the wall clocks of two entries, also across restarts.
    pub max_skew: Duration,
    /// Maximum number of records in each of three tables: the registers of the acceptor, the submissions that this
    /// entry owns, and those that it knows to be owned elsewhere. A record of the acceptor takes about 150 bytes.
    pub max_records: usize,
    /// Maximum number of claims in progress.
    pub max_claims: usize,
    /// Time for which a proposer waits for the answers to a step.
    pub step_timeout: Duration,
    /// Maximum backoff before the second prepare; it doubles with each further prepare.
    pub prepare_backoff: Duration,
    /// Maximum number of prepares in one claim.
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
    /// Time for which a record is kept after its submission was created.
    pub fn record_retention(&self) -> Duration {
        self.retention + 2 * self.max_skew
    }

    /// The latest `created` for which a process that started at `start` abstains, because it may have voted for such a
    /// submission before its restart.
    ///
    /// One `max_skew` covers submissions that the previous incarnation accepted although they were created in the
    /// future of its clock; the other one covers a wall clock that was set back by the restart.
    pub fn abstain_until(&self, start: UnixMillis) -> UnixMillis {
        start.plus(2 * self.max_skew)
    }

    /// Whether a submission is older than the retention at the wall clock time `wall`.
    pub fn is_expired(&self, created: UnixMillis, wall: UnixMillis) -> bool {
        created.plus(self.retention) < wall
    }

    /// Whether a submission was created more than `max_skew` after `wall`.
    pub fn is_in_future(&self, created: UnixMillis, wall: UnixMillis) -> bool {
        created > wall.plus(self.max_skew)
    }
}
