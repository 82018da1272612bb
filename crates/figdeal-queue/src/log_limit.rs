//! Limits the rate of a log line that repeats while nothing changes.

use std::time::Duration;

use figdeal_core::time::Timestamp;

/// Minimum interval between two lines about the same state. An agent whose worker does not reply loses its lease and
/// gets a new one every 0.6 s, for as long as that lasts.
pub const REPEAT_INTERVAL: Duration = Duration::from_secs(10);

/// Limiter of one kind of log line; `S` is the state that the line is about.
///
/// ```
/// use figdeal_core::time::Timestamp;
/// use figdeal_queue::log_limit::LogLimiter;
///
/// let mut limiter = LogLimiter::new();
/// assert_eq!(limiter.admit(Timestamp::ZERO, "silent"), Some(0));
/// assert_eq!(limiter.admit(Timestamp::ZERO, "silent"), None);
/// assert_eq!(limiter.admit(Timestamp::ZERO, "present"), Some(1));
/// ```
#[derive(Debug, Clone)]
pub struct LogLimiter<S> {
    /// State of the newest line that was written, and when that was.
    last: Option<(S, Timestamp)>,
    /// Number of lines suppressed since then.
    suppressed: u32,
}

impl<S: PartialEq> LogLimiter<S> {
    /// Creates a limiter that lets the next line pass.
    pub fn new() -> LogLimiter<S> {
        LogLimiter {
            last: None,
            suppressed: 0,
        }
    }

    /// Returns whether to write the line now: `None` if the last one about the same state is newer than
    /// [`REPEAT_INTERVAL`], otherwise the number of lines suppressed since that one.
    pub fn admit(&mut self, now: Timestamp, state: S) -> Option<u32> {
        let repeats = self
            .last
            .as_ref()
            .is_some_and(|(last, at)| *last == state && now < *at + REPEAT_INTERVAL);
        if repeats {
            self.suppressed = self.suppressed.saturating_add(1);
            return None;
        }
        self.last = Some((state, now));
        Some(std::mem::take(&mut self.suppressed))
    }
}

impl<S: PartialEq> Default for LogLimiter<S> {
    fn default() -> LogLimiter<S> {
        LogLimiter::new()
    }
}
