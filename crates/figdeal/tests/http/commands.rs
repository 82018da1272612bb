//! Tests of the operator commands, against a running entry.

use std::{fs, net::TcpListener, thread};

use clap::Parser;
use figdeal::{
    cli::Result,
    command::{drain, job, report, status},
    stand_in::Behaviour,
};
use serde_json::Value;

use crate::fleet::{Fleet, job as new_job};

#[derive(Debug, Parser)]
enum Cli {
    Status(status::Args),
    Report(report::Args),
    Submit(job::SubmitArgs),
    Fetch(job::FetchArgs),
    Cancel(job::CancelArgs),
    Drain(drain::Args),
}

/// Runs a command line; returns its exit code or error, and its output.
fn run(words: &[&str]) -> (Result<u8>, String) {
    let (mut out, mut progress) = (Vec::new(), Vec::new());
    let code = match Cli::parse_from([&["figdeal"], words].concat()) {
        Cli::Status(args) => status::write(&args, &mut out),
        Cli::Report(args) => report::write(&args, &mut out, &mut progress),
        Cli::Submit(args) => job::submit(&args, &mut out, &mut progress),
        Cli::Fetch(args) => job::fetch(&args, &mut out, &mut progress),
        Cli::Cancel(args) => job::cancel(&args, &mut out),
        Cli::Drain(args) => drain::write(&args, &mut out),
    };
    (code, String::from_utf8(out).unwrap())
}

/// Returns an address on which nothing listens.
fn unused_address() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap().to_string()
}

/// Commands must print the answer and return the documented exit codes, on which scripts rely.
#[test]
fn jobs_are_submitted_fetched_and_cancelled() {
    let fleet = Fleet::start(1);
    let entry = fleet.entry.http_address.to_string();
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("job.json");
    let path = file.to_str().unwrap();
    fs::write(&file, new_job("cli", &[0, 1]).to_string()).unwrap();

    // An entry that is down is skipped, because the same id may be sent to any entry.
    let entries = format!("{},{entry}", unused_address());
    let (code, out) = run(&["submit", path, "--entry", &entries]);
    assert_eq!(
        (code.unwrap(), out.as_str()),
        (0, "complete\n0 tea\n1 tea\n")
    );
    let (code, out) = run(&["fetch", "choir", "cli", "--entry", &entry, "--json"]);
    assert_eq!(code.unwrap(), 0);
    let json: Value = serde_json::from_str(&out).unwrap();
    assert_eq!(json["results"][1], "1 tea");
    assert_eq!(
        run(&["fetch", "choir", "other", "--entry", &entry])
            .0
            .unwrap(),
        9
    );
    assert_eq!(
        run(&["cancel", "choir", "cli", "--entry", &entry])
            .0
            .unwrap(),
        12
    );
    assert_eq!(
        run(&["cancel", "choir", "other", "--entry", &entry])
            .0
            .unwrap(),
        9
    );

    fs::write(&file, new_job("cli", &[5]).to_string()).unwrap();
    let (code, out) = run(&["submit", path, "--entry", &entry]);
    assert_eq!((code.unwrap(), out.starts_with("conflict: ")), (7, true));
    let mut wrong = new_job("wrong", &[5]);
    wrong["tasks"][0]["size"] = Value::from(-1);
    fs::write(&file, wrong.to_string()).unwrap();
    let (code, out) = run(&["submit", path, "--entry", &entry]);
    assert_eq!(code.unwrap(), 10);
    assert!(out.starts_with("invalid: tasks[0].size: "), "{out}");

    fleet.set_behaviour(Behaviour::FailAll);
    let mut job = new_job("failing", &[0]);
    job.as_object_mut().unwrap().remove("created_ms");
    fs::write(&file, job.to_string()).unwrap();
    let (code, out) = run(&["submit", path, "--entry", &entry]);
    assert_eq!(
        (code.unwrap(), out.as_str()),
        (3, "failed\ntask 0: failed\n")
    );
}

/// A job whose claim ends undecided must be submitted again, not reported as unknown.
#[test]
fn an_undecided_job_is_submitted_again() {
    let fleet = Fleet::start(1);
    let entry = fleet.entry.http_address.to_string();
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("job.json");
    // The job is older than the start of the entry, which therefore cannot know whether it was already started.
    let mut job = new_job("old", &[0]);
    job["created_ms"] = Value::from(job["created_ms"].as_u64().unwrap() - 600_000);
    fs::write(&file, job.to_string()).unwrap();
    let words = [
        "submit",
        file.to_str().unwrap(),
        "--entry",
        &entry,
        "--limit",
        "0",
    ];
    let error = run(&words).0.unwrap_err().to_string();
    assert!(error.contains("undecided; gave up"), "{error}");
    assert!(fleet.upstreams[0].journal().is_empty());
}

/// Errors must name the step and the peer.
#[test]
fn errors_name_the_step_and_the_peer() {
    let entry = unused_address();
    let commands: [&[&str]; 4] = [
        &["report", "--entry", &entry],
        &["fetch", "choir", "1", "--entry", &entry],
        &["cancel", "choir", "1", "--entry", &entry],
        &["drain", "--entry", &entry],
    ];
    for words in commands {
        let error = run(words).0.unwrap_err().to_string();
        let start = format!("step {}, entry {entry}: ", words[0]);
        assert!(error.starts_with(&start), "{error}");
    }
    let (code, out) = run(&["status", "--entry", &entry]);
    assert_eq!(code.unwrap(), 1);
    assert!(
        out.contains(&format!("step status, entry {entry}: ")),
        "{out}"
    );
    let error = run(&["submit", "/nonexistent", "--entry", &entry])
        .0
        .unwrap_err()
        .to_string();
    assert!(
        error.starts_with("step read, file /nonexistent: "),
        "{error}"
    );
    assert!(run(&["fetch", "choir", "a/b"]).0.is_err());
}

/// The status must list all entries and upstreams, and the report must add up the counts of all entries.
#[test]
fn status_and_report_cover_all_entries() {
    let fleets = [Fleet::start(1), Fleet::start(2)];
    let entries = fleets
        .each_ref()
        .map(|f| f.entry.http_address.to_string())
        .join(",");
    let (code, out) = run(&["status", "--entry", &entries]);
    assert_eq!(code.unwrap(), 0);
    assert_eq!(out.matches("entry 0 at ").count(), 2);
    assert_eq!(out.matches("  upstream-0").count(), 2);
    assert!(
        out.contains("2 of 2 upstreams live, 8 of 8 slots free"),
        "{out}"
    );
    let (code, out) = run(&["status", "--entry", &entries, "--json"]);
    assert_eq!(code.unwrap(), 0);
    let json: Value = serde_json::from_str(&out).unwrap();
    assert_eq!(json[1]["status"]["agents"][1]["state"], "live");
    for fleet in &fleets {
        assert_eq!(fleet.submit(&new_job("one", &[0, 0])).status, 200);
    }
    let (code, out) = run(&["report", "--entry", &entries, "--json"]);
    assert_eq!(code.unwrap(), 0);
    let json: Value = serde_json::from_str(&out).unwrap();
    assert_eq!(json["objectives"][0]["windows"][0]["tasks"], 4, "{json}");
    let (code, out) = run(&[
        "report",
        "--entry",
        &format!("{},{entries}", unused_address()),
    ]);
    assert_eq!(code.unwrap(), 1, "an entry is missing");
    assert!(out.lines().nth(1).unwrap().starts_with("reminder"), "{out}");
}

/// The command `drain` must not return before the entry has stopped.
#[test]
fn drain_waits_for_the_end() {
    let fleet = Fleet::start(0);
    let entry = fleet.entry.http_address.to_string();
    thread::scope(|scope| {
        let command = scope.spawn(|| run(&["drain", "--entry", &entry]).0.unwrap());
        fleet.wait_until(|f| f.entry.drain_request().is_cancelled());
        let (code, out) = run(&["drain", "--entry", &entry, "--no-wait", "--json"]);
        assert_eq!(code.unwrap(), 0);
        assert!(out.contains("\"draining\""));
        fleet.stop();
        assert_eq!(command.join().unwrap(), 0);
    });
}
