//! Bounds of the lines about single jobs under a flood, and the identities that they keep.

use std::{collections::BTreeSet, time::Duration};

use figdeal_core::time::Timestamp;
use figdeal_queue::{
    job::JobId,
    log_sample::{LogSample, SampleLimits},
};

use crate::{capture_lines, field, lines};

const START: Timestamp = Timestamp::from_micros(1_000_000);
const LIMITS: SampleLimits = SampleLimits {
    lines: 10,
    jobs: 2_000,
};

/// Returns the jobs that the lines about omitted lines name, and the sum of their counts.
pub(crate) fn omitted(event: &str, reason: &str) -> (BTreeSet<String>, u64) {
    let mut jobs = BTreeSet::new();
    let mut suppressed = 0;
    for line in lines("E930") {
        if field(&line, "event") == event && field(&line, "reason") == reason {
            let named = field(&line, "jobs").split(',').filter(|job| *job != "-");
            jobs.extend(named.map(str::to_owned));
            suppressed += field(&line, "suppressed").parse::<u64>().unwrap();
        }
    }
    (jobs, suppressed)
}

fn admit(sample: &mut LogSample, now: Timestamp, queue: &str, number: u64) -> bool {
    let job = Some(JobId(number));
    sample.admit(now, "E622", "Overload", queue, job)
}

/// Guards against a flood of refusals that writes a line for each, and against a refused job whose identity is in no
/// line.
#[test]
fn flood_of_one_reason_is_bounded_and_names_all_jobs() {
    capture_lines();
    let mut sample = LogSample::new(LIMITS);
    let admitted = (0..930).filter(|n| {
        let now = START + Duration::from_millis(*n);
        admit(&mut sample, now, "main", *n)
    });
    let admitted: Vec<u64> = admitted.collect();
    assert_eq!(admitted, (0..10).collect::<Vec<u64>>());
    assert!(lines("E930").is_empty(), "the second is not over");
    sample.write_omitted(START + Duration::from_secs(1));
    let (jobs, suppressed) = omitted("E622", "Overload");
    let expected = (10..930).map(|n| JobId(n).to_string());
    assert_eq!((jobs, suppressed), (expected.collect(), 920));
    assert_eq!(lines("E930").len(), 5, "at most 200 jobs in a line");
    sample.write_omitted(START + Duration::from_secs(2));
    assert_eq!(lines("E930").len(), 5, "nothing is written twice");
}

/// Guards against a flood of one queue that hides the refusals of another one, and against a limit that is never lifted.
#[test]
fn each_queue_and_each_second_has_lines_of_its_own() {
    capture_lines();
    let mut sample = LogSample::new(SampleLimits { lines: 2, jobs: 10 });
    let flood = [0, 1, 2, 3].map(|n| admit(&mut sample, START, "main", n));
    assert_eq!(flood, [true, true, false, false]);
    assert!(admit(&mut sample, START, "other", 4));
    assert!(sample.admit(START, "E622", "TooLarge", "main", None));
    let next = START + Duration::from_secs(1);
    assert!(admit(&mut sample, next, "main", 5));
    let expected = BTreeSet::from([2, 3].map(|n| JobId(n).to_string()));
    assert_eq!(omitted("E622", "Overload"), (expected, 2));
}

/// Guards against memory and log that grow with the number of refused jobs, queues or identities, and against a count
/// that misses lines without an identity.
#[test]
fn jobs_and_queues_beyond_the_bounds_are_counted_only() {
    capture_lines();
    let limits = SampleLimits { lines: 1, jobs: 50 };
    let mut sample = LogSample::new(limits);
    let mut written = 0;
    for number in 0..1_000 {
        let queue = format!("q{}", number % 250);
        written += u64::from(admit(&mut sample, START, &queue, number));
    }
    sample.finish();
    let (jobs, suppressed) = omitted("E622", "Overload");
    assert_eq!((jobs.len(), written + suppressed), (50, 1_000));
    assert!(written <= 65, "{written} lines of 250 queues");
    assert!(lines("E930").len() <= 65, "{}", lines("E930").len());
}
