//! Random bodies for the parser of jobs.

use bolero::generator::produce;
use figdeal::{rules::Rules, submission::JobRequest};
use figdeal_testing::for_each;

/// Number of values for each test.
const VALUES: usize = 20_000;

/// Guards against a panic in the parser, an error without a field, and a job that changes when it is written and read
/// again, which would change its digest.
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

/// Guards against a number at the edge of its range that is accepted wrongly or overflows.
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
