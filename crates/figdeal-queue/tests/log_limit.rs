//! Tests of the limiter of repeated log lines.

use std::time::Duration;

use figdeal_core::time::Timestamp;
use figdeal_queue::log_limit::{LogLimiter, REPEAT_INTERVAL};

/// Guards against a line that is written at each repetition, or never again while its state lasts, and against a count
/// that misses suppressed lines.
#[test]
fn a_repeated_line_is_written_once_per_interval_with_the_count() {
    let step = Duration::from_millis(600);
    let mut limiter = LogLimiter::new();
    let mut written = Vec::new();
    let mut now = Timestamp::ZERO;
    for number in 0..40_u32 {
        written.extend(limiter.admit(now, "silent").map(|count| (number, count)));
        now = now + step;
    }
    // 17 steps of 0.6 s are the first time of at least 10 s.
    assert_eq!(written, [(0, 0), (17, 16), (34, 16)]);
    assert_eq!(REPEAT_INTERVAL, Duration::from_secs(10));
}

/// Guards against a change that is not logged because a line about the former state was written shortly before.
#[test]
fn a_change_of_the_state_is_written_at_once() {
    let now = Timestamp::from_micros(5);
    let mut limiter = LogLimiter::new();
    let written = [1, 1, 1, 2, 2, 1].map(|state| limiter.admit(now, state));
    assert_eq!(written, [Some(0), None, None, Some(2), None, Some(1)]);
}
