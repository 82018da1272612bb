//! Tests of the job parser with random bodies.

use bolero::generator::produce;
use figdeal::{rules::Rules, submission::JobRequest};
use figdeal_testing::for_each;

/// Number of random values in each test.
const VALUES: usize = 20_000;

/// The parser must not panic, and its errors must name a field. A parsed job must stay the same when it is serialised
/// and parsed again, because its digest would change otherwise.
#[test]
fn any_body_is_parsed_or_refused() {
    let rules = Rules::default();
    let start = br#"{"id":"a","team":"b","created_ms":1,"tasks":[{"kind":"c""#;
    for_each(VALUES, produce::<Vec<u8>>(), |bytes| {
        for body in [bytes.clone(), [start.as_slice(), &bytes, b"}]}"].concat()] {
            match JobRequest::parse(&body, &rules) {
                Ok(job) => {
                    let again = serde_json::to_vec(&job).unwrap();
                    let again = JobRequest::parse(&again, &rules).unwrap();
                    assert_eq!((again.digest(), again), (job.digest(), job));
                }
                Err(invalid) => assert!(!invalid.field.is_empty() && !invalid.problem.is_empty()),
            }
        }
    });
}

/// Numbers at the limits of their ranges must be accepted or refused correctly and must not overflow.
#[test]
fn numbers_at_the_edges_are_checked() {
    let rules = Rules::default();
    type Edges = (u64, Option<u64>, u32, Option<u64>);
    for_each(
        VALUES,
        produce::<Edges>(),
        |(created, deadline, size, run)| {
            let body = serde_json::json!({ "id": "a", "team": "b", "created_ms": created, "tasks": [
                { "kind": "c", "deadline_ms": deadline, "size": size, "run_ms": run }
            ]});
            let max = rules.max_deadline.as_millis() as u64;
            let is_good = deadline.is_none_or(|d| (1..=max).contains(&d))
                && (1..=1_000_000).contains(&size)
                && run.is_none_or(|r| r <= max);
            let parsed = JobRequest::parse(body.to_string().as_bytes(), &rules);
            assert_eq!(parsed.is_ok(), is_good, "{body}");
        },
    );
}
