//! Tests of the HTTP interface, against an entry with agents and stand-in upstreams in this process.

use std::{
    io::{Read, Write},
    net::Shutdown,
    thread,
    time::Duration,
};

use figdeal::stand_in::Behaviour;
use figdeal_core::time::UnixMillis;
use serde_json::{Value, json};

#[path = "http/commands.rs"]
mod commands;
#[path = "http/fleet.rs"]
mod fleet;

use fleet::{Fleet, MAX_BODY, MAX_TASKS, job, read_answer, rules};

/// Returns a job in which one value is replaced; `path` is a JSON pointer.
fn job_with(path: &str, value: Value) -> Value {
    let mut job = job("wrong", &[0, 0]);
    let (parent, name) = path.rsplit_once('/').unwrap();
    let parent = job.pointer_mut(parent).unwrap();
    match name.parse::<usize>() {
        Ok(index) => parent[index] = value,
        Err(_) => parent[name] = value,
    }
    job
}

/// Invalid jobs must be refused, with an error that names the invalid field.
#[test]
fn errors_name_the_field() {
    let fleet = Fleet::start(0);
    let long = "x".repeat(129);
    let cases = [
        ("/colour", json!(1), "colour"),
        ("/tasks/1/colour", json!(1), "tasks[1].colour"),
        ("/id", json!(7), "id"),
        ("/id", json!(""), "id"),
        ("/id", json!("a b"), "id"),
        ("/id", json!(long), "id"),
        ("/id", json!(null), "id"),
        ("/team", json!("unheard-of"), "team"),
        ("/created_ms", json!(-1), "created_ms"),
        ("/created_ms", json!(1.5), "created_ms"),
        ("/created_ms", json!("now"), "created_ms"),
        ("/created_ms", json!(u64::MAX), "created_ms"),
        ("/tasks", json!([]), "tasks"),
        ("/tasks", json!({}), "tasks"),
        (
            "/tasks",
            json!(vec![json!({ "kind": "reminder" }); MAX_TASKS + 1]),
            "tasks",
        ),
        ("/tasks/1", json!(3), "tasks[1]"),
        ("/tasks/1/kind", json!("glass"), "tasks[1].kind"),
        ("/tasks/1/kind", json!(""), "tasks[1].kind"),
        ("/tasks/0/payload", json!({ "a": 1 }), "tasks[0].payload"),
        ("/tasks/1/deadline_ms", json!(0), "tasks[1].deadline_ms"),
        ("/tasks/1/deadline_ms", json!(-5), "tasks[1].deadline_ms"),
        (
            "/tasks/1/deadline_ms",
            json!("soon"),
            "tasks[1].deadline_ms",
        ),
        (
            "/tasks/1/deadline_ms",
            json!(u64::MAX),
            "tasks[1].deadline_ms",
        ),
        ("/tasks/1/idempotent", json!("yes"), "tasks[1].idempotent"),
        ("/tasks/1/size", json!(0), "tasks[1].size"),
        ("/tasks/1/size", json!(-1), "tasks[1].size"),
        ("/tasks/1/size", json!(1_000_001), "tasks[1].size"),
        ("/tasks/1/size", json!(1e300), "tasks[1].size"),
        ("/tasks/1/size", json!(u64::MAX), "tasks[1].size"),
        ("/tasks/1/run_ms", json!(-1), "tasks[1].run_ms"),
        ("/tasks/1/run_ms", json!(u64::MAX), "tasks[1].run_ms"),
    ];
    for (path, value, field) in cases {
        let answer = fleet.submit(&job_with(path, value.clone()));
        assert_eq!(
            answer.field("field"),
            (400, field.to_owned()),
            "{path} {value}: {answer:?}"
        );
        assert_eq!(answer.outcome().1, "invalid");
        assert!(
            answer.json()["error"]
                .as_str()
                .is_some_and(|e| !e.is_empty())
        );
    }
    for name in ["id", "team", "created_ms", "tasks"] {
        let mut job = job("missing", &[0]);
        job.as_object_mut().unwrap().remove(name);
        let answer = fleet.submit(&job);
        assert_eq!(answer.status, 400);
        assert!(answer.text.contains(name), "{answer:?}");
    }
    let future = json!(UnixMillis::now().0 + 3_600_000);
    let answer = fleet.submit(&job_with("/created_ms", future));
    assert_eq!(answer.field("field"), (400, "created_ms".to_owned()));
}

/// Malformed bodies must be refused with an error that names a field, and must not crash the entry.
#[test]
fn broken_bodies_are_refused() {
    let fleet = Fleet::start(0);
    let good = job("broken", &[0]).to_string();
    let deep = "[".repeat(10_000);
    let twice = good.replacen('{', r#"{"id":"again","#, 1);
    let bodies: [&[u8]; 8] = [
        b"",
        b"null",
        b"\xff\xfe{}",
        &good.as_bytes()[..good.len() / 2],
        deep.as_bytes(),
        twice.as_bytes(),
        &[good.as_bytes(), b"{}"].concat(),
        b"{\"id\": \"\\ud800\"}",
    ];
    for body in bodies {
        let answer = fleet.post(body);
        assert_eq!(answer.outcome(), (400, "invalid".to_owned()), "{answer:?}");
        assert!(!answer.field("field").1.is_empty(), "{answer:?}");
    }
    assert_eq!(fleet.get("/healthz").status, 200);
}

/// The body size limit must not be off by one. The answer must reach the client although it is still sending: a reset
/// connection would lose it.
#[test]
fn bodies_beyond_the_limit_are_refused() {
    let fleet = Fleet::start(1);
    let mut job = job("large", &[0]);
    let length = job.to_string().len();
    let pad = |n: usize| json!(format!("0 tea{}", "x".repeat(n)));
    job["tasks"][0]["payload"] = pad(MAX_BODY - length);
    assert_eq!(fleet.submit(&job).outcome(), (200, "complete".to_owned()));
    for extra in [1, MAX_BODY, 3 * MAX_BODY] {
        job["tasks"][0]["payload"] = pad(MAX_BODY - length + extra);
        let answer = fleet.submit(&job);
        assert_eq!(answer.field("field"), (413, "body".to_owned()), "{extra}");
        assert!(answer.text.contains(&MAX_BODY.to_string()));
    }
    // A length far beyond the limit is refused before the body is sent; hyper answers 431 if the number does not fit.
    let lengths = [
        ("1000000000000", 413),
        ("18446744073709551615", 431),
        ("-1", 400),
    ];
    for (length, status) in lengths {
        let mut stream = fleet.connect();
        let head = format!("POST /v1/jobs HTTP/1.1\r\nHost: e\r\nContent-Length: {length}\r\n\r\n");
        stream.write_all(head.as_bytes()).unwrap();
        assert_eq!(read_answer(stream).status, status, "{length}");
    }
}

/// A job whose body did not arrive completely must not start.
#[test]
fn truncated_bodies_start_nothing() {
    let fleet = Fleet::start(1);
    let body = job("truncated", &[0]).to_string();
    let chunked = format!("{:x}\r\n{body}\r\n", body.len());
    let heads = [
        (format!("Content-Length: {}", body.len() + 1), body.clone()),
        ("Transfer-Encoding: chunked".to_owned(), chunked),
    ];
    for (header, sent) in heads {
        let mut stream = fleet.connect();
        let request = format!("POST /v1/jobs HTTP/1.1\r\nHost: e\r\n{header}\r\n\r\n{sent}");
        stream.write_all(request.as_bytes()).unwrap();
        stream.shutdown(Shutdown::Write).unwrap();
        let mut answer = Vec::new();
        let _ = stream.read_to_end(&mut answer);
        let answer = String::from_utf8(answer).unwrap();
        assert!(
            answer.is_empty() || answer.starts_with("HTTP/1.1 400"),
            "{answer}"
        );
    }
    let answer = fleet.get("/v1/jobs/choir/truncated");
    assert_eq!(answer.outcome(), (404, "unknown".to_owned()));
    assert!(fleet.upstreams[0].journal().is_empty());
}

/// Unknown paths, methods, names and query parameters must be refused with the right status, header and field.
#[test]
fn paths_methods_and_options_are_checked() {
    let fleet = Fleet::start(0);
    for path in [
        "/",
        "/v1",
        "/v1/jobs/",
        "/v1/jobs/choir",
        "/v1/jobs/a/b/c",
        "/v2/jobs",
        "//",
        "/metrics/x",
    ] {
        assert_eq!(fleet.get(path).status, 404, "{path}");
    }
    let wrong = [
        ("GET", "/v1/jobs", "post"),
        ("PUT", "/v1/jobs", "post"),
        ("POST", "/v1/jobs/choir/1", "get, delete"),
        ("PATCH", "/v1/jobs/choir/1", "get, delete"),
        ("POST", "/v1/status", "get"),
        ("DELETE", "/v1/queue", "get"),
        ("POST", "/healthz", "get"),
        ("BREW", "/readyz", "get"),
    ];
    for (method, path, allow) in wrong {
        let answer = fleet.send(method, path, b"");
        assert_eq!(answer.status, 405, "{method} {path}");
        assert!(
            answer.head.contains(&format!("allow: {allow}\r\n")),
            "{answer:?}"
        );
    }
    let names = [
        ("/v1/jobs/choir/a%20b", "id"),
        ("/v1/jobs/ch%C3%B6r/1", "team"),
    ];
    for (path, field) in names {
        for method in ["GET", "DELETE"] {
            let answer = fleet.send(method, path, b"");
            assert_eq!(
                answer.field("field"),
                (400, field.to_owned()),
                "{method} {path}"
            );
        }
    }
    let options = [
        ("?wait=maybe", "wait"),
        ("?wait", "wait"),
        ("?patience=1", "query"),
    ];
    for (query, field) in options {
        let answer = fleet.get(&format!("/v1/jobs/choir/1{query}"));
        assert_eq!(answer.field("field"), (400, field.to_owned()), "{query}");
        let body = job("optional", &[0]).to_string();
        let answer = fleet.send("POST", &format!("/v1/jobs{query}"), body.as_bytes());
        assert_eq!(answer.field("field"), (400, field.to_owned()), "{query}");
    }
    assert_eq!(fleet.send("HEAD", "/healthz", b"").text, "");
}

/// Every outcome must have its HTTP status and body.
#[test]
fn every_outcome_has_its_status() {
    let fleet = Fleet::start(1);
    let complete = job("complete", &[0, 5]);
    for _ in 0..2 {
        let answer = fleet.submit(&complete);
        assert_eq!(answer.outcome(), (200, "complete".to_owned()));
        assert_eq!(answer.json()["results"], json!(["0 tea", "5 tea"]));
    }
    let mut other = complete.clone();
    other["tasks"][0]["payload"] = json!("1 tea");
    assert_eq!(fleet.submit(&other).outcome(), (409, "conflict".to_owned()));

    let mut old = job("old", &[0]);
    old["created_ms"] = json!(UnixMillis::now().0 - 2 * 3_600_000);
    assert_eq!(fleet.submit(&old).outcome(), (412, "expired".to_owned()));
    old["created_ms"] = json!(0);
    assert_eq!(fleet.submit(&old).outcome(), (412, "expired".to_owned()));

    for method in ["GET", "DELETE"] {
        let answer = fleet.send(method, "/v1/jobs/choir/never-sent", b"");
        assert_eq!(answer.outcome(), (404, "unknown".to_owned()), "{method}");
    }

    let mut huge = job("huge", &[0]);
    huge["tasks"][0]["size"] = json!(1_000_000);
    let answer = fleet.submit(&huge);
    assert_eq!(answer.outcome(), (503, "not_run".to_owned()));
    assert_eq!(answer.field("reason").1, "unplaceable");
    assert!(answer.head.contains("retry-after: "), "{answer:?}");
    let started = fleet.upstreams[0].journal().len();
    assert_eq!(started, 2, "only the complete job ran");

    fleet.set_behaviour(Behaviour::FailAll);
    let answer = fleet.submit(&job("failed", &[0]));
    assert_eq!(answer.outcome(), (500, "failed".to_owned()));
    assert_eq!(
        answer.json()["tasks"],
        json!([{ "index": 0, "state": "failed" }])
    );
}

/// A running job must not count as final, a fetch with `wait` must wait, and a cancellation must not start queued
/// tasks.
#[test]
fn running_jobs_are_fetched_and_cancelled() {
    let fleet = Fleet::start(1);
    fleet.set_behaviour(Behaviour::Hang);
    let mut long = job("hanging", &[0; 12]);
    for task in long["tasks"].as_array_mut().unwrap() {
        task["deadline_ms"] = json!(1_500);
    }
    long["tasks"][0]["idempotent"] = json!(true);
    let body = long.to_string();
    let path = "/v1/jobs/choir/hanging";
    let answer = fleet.send("POST", "/v1/jobs?wait=false", body.as_bytes());
    assert_eq!(answer.outcome(), (202, "running".to_owned()));
    assert_eq!(fleet.get(path).outcome(), (202, "running".to_owned()));
    fleet.wait_until(|f| !f.upstreams[0].journal().is_empty());

    let answer = fleet.send("DELETE", path, b"");
    assert_eq!(answer.outcome(), (410, "cancelled".to_owned()));
    let body = answer.json();
    let states: Vec<&str> = body["tasks"]
        .as_array()
        .unwrap()
        .iter()
        .map(|t| t["state"].as_str().unwrap())
        .collect();
    assert!(
        states.contains(&"may_have_run") && states.contains(&"not_started"),
        "{states:?}"
    );
    let started = states.iter().filter(|s| **s == "may_have_run").count();
    assert_eq!(fleet.upstreams[0].journal().len(), started);
    // Only a submission states which tasks are idempotent. A fetch does not know it and must not answer `false`.
    assert_eq!(
        fleet.submit(&long).json()["tasks"][0]["resubmittable"],
        json!(true)
    );
    let fetched = fleet.get(&format!("{path}?wait=true"));
    assert_eq!(fetched.outcome(), (410, "cancelled".to_owned()));
    assert!(fetched.json()["tasks"][0].get("resubmittable").is_none());
}

/// Payloads and results must arrive unchanged, even with characters that JSON escapes.
#[test]
fn payloads_and_results_are_untouched() {
    let fleet = Fleet::start(1);
    let mut job = job("odd", &[0]);
    job["tasks"][0]["payload"] = json!("0 \u{0}\"\\\u{2028}é\n");
    let answer = fleet.submit(&job);
    assert_eq!(answer.json()["results"], json!(["0 \u{0}\"\\\u{2028}é\n"]));
}

/// Idle connections and slow clients must not block other callers.
#[test]
fn idle_and_slow_clients_stop_nobody() {
    let fleet = Fleet::start(1);
    let idle: Vec<_> = (0..200).map(|_| fleet.connect()).collect();
    let mut slow = fleet.connect();
    slow.write_all(b"POST /v1/jobs HTTP/1.1\r\nHost: e\r\nContent-Length: 500\r\n\r\n{")
        .unwrap();
    let mut slower = fleet.connect();
    slower.write_all(b"POST /v1/jo").unwrap();
    for i in 0..20 {
        let answer = fleet.submit(&job(&format!("quick-{i}"), &[0]));
        assert_eq!(answer.outcome(), (200, "complete".to_owned()));
    }
    drop((idle, slow, slower));
}

/// A drained entry must not stay ready and must not interrupt jobs in progress.
#[test]
fn a_drained_entry_finishes_its_jobs() {
    let fleet = Fleet::start(1);
    let body = job("last", &[200]).to_string();
    let answer = fleet.send("POST", "/v1/jobs?wait=false", body.as_bytes());
    assert_eq!(answer.status, 202);
    assert!(!fleet.entry.drain_request().is_cancelled());
    assert_eq!(fleet.send("POST", "/v1/drain", b"").status, 202);
    assert!(fleet.entry.drain_request().is_cancelled());
    assert_eq!(fleet.get("/readyz").status, 503);
    let answer = fleet.get("/v1/jobs/choir/last?wait=true");
    assert_eq!(answer.outcome(), (200, "complete".to_owned()));
}

/// The report and the metrics must count each job once, also if it is submitted again.
#[test]
fn report_and_metrics_count_each_job_once() {
    let fleet = Fleet::start(1);
    let done = job("counted", &[0, 0]);
    for _ in 0..3 {
        assert_eq!(fleet.submit(&done).status, 200);
    }
    fleet.set_behaviour(Behaviour::FailAll);
    assert_eq!(fleet.submit(&job("counted-too", &[0])).status, 500);
    let report = fleet.get("/report?format=json").json();
    let window = &report["objectives"][0]["windows"][0];
    assert_eq!(
        (&window["tasks"], &window["failed"]),
        (&json!(3), &json!(1)),
        "{report}"
    );
    let page = fleet.get("/report");
    assert!(page.head.contains("content-type: text/html") && page.text.contains("<svg"));
    assert_eq!(
        fleet.get("/report?format=pdf").field("field"),
        (400, "format".to_owned())
    );
    let metrics = fleet.get("/metrics").text;
    for line in [
        "figdeal_tasks_total{kind=\"reminder\",state=\"in_time\"}",
        "figdeal_jobs_total{outcome=\"complete\"}",
    ] {
        assert!(metrics.contains(line), "{metrics}");
    }
}

/// A job that is submitted on many connections at once must run only once, and all callers must get its results.
#[test]
fn the_same_job_runs_once_for_all_its_callers() {
    let fleet = Fleet::start(2);
    let job = job("popular", &[20, 30, 40]);
    thread::scope(|scope| {
        let callers: Vec<_> = (0..16)
            .map(|_| scope.spawn(|| fleet.submit(&job)))
            .collect();
        for caller in callers {
            let answer = caller.join().unwrap();
            assert_eq!(
                answer.json()["results"],
                json!(["20 tea", "30 tea", "40 tea"])
            );
        }
    });
    let starts: Vec<u32> = fleet
        .upstreams
        .iter()
        .flat_map(|u| u.journal().into_values())
        .collect();
    assert_eq!(starts, [1, 1, 1]);
}

/// A job refused because of a quota must be answered with `not_run` and the reason.
#[test]
fn refusals_state_the_reason() {
    let mut tight = rules().with_team("choir", 5);
    tight.entry_limits.unplaceable_after = Duration::from_millis(100);
    let fleet = Fleet::with_rules(1, tight);
    let answer = fleet.submit(&job("beyond-quota", &[0; 6]));
    assert_eq!(answer.outcome(), (503, "not_run".to_owned()));
    assert_eq!(answer.field("reason").1, "quota_exceeded");
    assert_eq!(fleet.submit(&job("within-quota", &[0; 5])).outcome().0, 200);
}
