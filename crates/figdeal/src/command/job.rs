//! `figdeal submit`, `fetch` and `cancel`: requests about one job, as a caller would send them.

use std::{
    fs,
    io::{self, Read, Write},
    path::PathBuf,
    thread,
    time::{Duration, Instant},
};

use clap::Args as ClapArgs;
use figdeal_core::time::UnixMillis;
use serde_json::{Value, json};

use super::client::{Answer, Client, Entries, Result};
use crate::{cli, submission::check_name};

/// Interval at which progress is printed while a job runs. Each fetch times out after it and is repeated.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(2);
/// Timeout of a request that does not wait for tasks to run.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Delay before a job is submitted again, to the next entry.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Exit codes by outcome. Code 1 means that a step failed, and 2 that the command line is invalid.
const EXIT_CODES: [(&str, u8); 10] = [
    ("complete", 0),
    ("failed", 3),
    ("not_run", 4),
    ("cancelled", 5),
    ("undecided", 6),
    ("conflict", 7),
    ("expired", 8),
    ("unknown", 9),
    ("invalid", 10),
    ("running", 11),
];

/// Help text on the exit codes.
pub const EXIT_CODES_HELP: &str = "Exit codes: 0 complete, 1 a step failed, 2 wrong command line, 3 failed, 4 not_run, \
    5 cancelled, 6 undecided, 7 conflict, 8 expired, 9 unknown, 10 invalid, 11 running";

/// Options of `figdeal submit`.
#[derive(Debug, ClapArgs)]
#[command(after_help = EXIT_CODES_HELP)]
pub struct SubmitArgs {
    /// File with the job as JSON, or - for standard input; `created_ms` is added if it is missing
    file: PathBuf,
    #[command(flatten)]
    entries: Entries,
    /// Maximum time in seconds to wait for the answer
    #[arg(long, value_name = "SECONDS", default_value_t = 660)]
    limit: u64,
    /// Exits as soon as an entry has accepted the job
    #[arg(long)]
    no_wait: bool,
    /// Prints the answer of the entry as JSON
    #[arg(long)]
    json: bool,
}

/// Options of `figdeal fetch`.
#[derive(Debug, ClapArgs)]
#[command(after_help = EXIT_CODES_HELP)]
pub struct FetchArgs {
    /// Team of the job
    team: String,
    /// Id of the job
    id: String,
    #[command(flatten)]
    entries: Entries,
    /// Waits for the final answer
    #[arg(long)]
    wait: bool,
    /// Prints the answer of the entry as JSON
    #[arg(long)]
    json: bool,
}

/// Options of `figdeal cancel`.
#[derive(Debug, ClapArgs)]
#[command(after_help = "Exit codes: 0 cancelled, 12 already complete, the others as for submit")]
pub struct CancelArgs {
    /// Team of the job
    team: String,
    /// Id of the job
    id: String,
    #[command(flatten)]
    entries: Entries,
    /// Prints the answer of the entry as JSON
    #[arg(long)]
    json: bool,
}

/// Submits a job, prints progress to `progress` and the answer to `out`, and returns the exit code.
///
/// # Errors
/// Fails when the job cannot be read or no entry answers within the limit.
pub fn submit(args: &SubmitArgs, out: &mut dyn Write, progress: &mut dyn Write) -> cli::Result<u8> {
    let job = read_job(args, progress)?;
    let name = |field: &str| job[field].as_str().unwrap_or("").to_owned();
    let (team, id, body) = (name("team"), name("id"), job.to_string());
    let start = Instant::now();
    let limit = Duration::from_secs(args.limit);
    let mut turn = 0;
    loop {
        let entry = args.entries.entries[turn % args.entries.entries.len()];
        let answer = Client::new(entry, CALL_TIMEOUT).post("submit", "/v1/jobs?wait=false", &body);
        let answer = match answer {
            Ok(answer) if answer.outcome() == "running" && !args.no_wait => {
                writeln!(progress, "job {team}/{id} accepted by entry {entry}")?;
                await_answer(
                    entry,
                    &format!("/v1/jobs/{team}/{id}?wait=true"),
                    start,
                    limit,
                    progress,
                )
            }
            answer => answer,
        };
        // It is safe to submit the same id and content again to any entry: a task still starts at most once.
        let problem = match answer {
            Ok(answer) if answer.outcome() == "undecided" => answer.problem(),
            // An entry forgets an accepted job if its claim ends undecided.
            Ok(answer) if answer.outcome() == "unknown" => {
                format!("step claim, entry {entry}: undecided")
            }
            Ok(answer) => return print_answer(&answer, args.json, out),
            Err(e) => e.to_string(),
        };
        if start.elapsed() >= limit {
            return Err(
                format!("{problem}; gave up after {limit:?}, submit the same file again").into(),
            );
        }
        writeln!(progress, "{problem}; retrying with the same id")?;
        thread::sleep(RETRY_DELAY);
        turn += 1;
    }
}

/// Fetches the answer of a job, prints it and returns the exit code.
///
/// # Errors
/// Fails when no entry answers.
pub fn fetch(args: &FetchArgs, out: &mut dyn Write, progress: &mut dyn Write) -> cli::Result<u8> {
    let path = job_path(&args.team, &args.id)?;
    let answer = first_answer(&args.entries, |entry| match args.wait {
        true => await_answer(
            entry,
            &format!("{path}?wait=true"),
            Instant::now(),
            Duration::MAX,
            progress,
        ),
        false => Client::new(entry, CALL_TIMEOUT).get("fetch", &path),
    })?;
    print_answer(&answer, args.json, out)
}

/// Cancels a job, prints the answer and returns the exit code.
///
/// # Errors
/// Fails when no entry answers.
pub fn cancel(args: &CancelArgs, out: &mut dyn Write) -> cli::Result<u8> {
    let path = job_path(&args.team, &args.id)?;
    // The answer comes only after all running tasks have ended.
    let limit = Duration::from_secs(660);
    let answer = first_answer(&args.entries, |entry| {
        Client::new(entry, limit).delete("cancel", &path)
    })?;
    let code = print_answer(&answer, args.json, out)?;
    Ok(match answer.outcome() {
        "cancelled" => 0,
        "complete" => 12,
        _ => code,
    })
}

fn read_job(args: &SubmitArgs, progress: &mut dyn Write) -> cli::Result<Value> {
    let name = args.file.display();
    let text = match args.file.to_str() {
        Some("-") => {
            let mut text = String::new();
            io::stdin().read_to_string(&mut text).map(|_| text)
        }
        _ => fs::read_to_string(&args.file),
    };
    let text = text.map_err(|e| format!("step read, file {name}: {e}"))?;
    let mut job: Value =
        serde_json::from_str(&text).map_err(|e| format!("step read, file {name}: {e}"))?;
    let Some(fields) = job.as_object_mut() else {
        return Err(format!("step read, file {name}: a job is a JSON object").into());
    };
    if !fields.contains_key("created_ms") {
        let now = UnixMillis::now().0;
        fields.insert("created_ms".to_owned(), json!(now));
        writeln!(
            progress,
            "created_ms is set to {now}; add it to the file to submit the same job again"
        )?;
    }
    Ok(job)
}

fn job_path(team: &str, id: &str) -> cli::Result<String> {
    check_name("team", team)?;
    check_name("id", id)?;
    Ok(format!("/v1/jobs/{team}/{id}"))
}

/// Returns the answer of the first entry that gives one.
fn first_answer(
    entries: &Entries,
    mut call: impl FnMut(std::net::SocketAddr) -> Result<Answer>,
) -> cli::Result<Answer> {
    let mut problems = Vec::new();
    for &entry in &entries.entries {
        match call(entry) {
            Ok(answer) => return Ok(answer),
            Err(e) => problems.push(e.to_string()),
        }
    }
    Err(problems.join("; ").into())
}

/// Fetches the job until an answer arrives, and prints the progress after each timeout. Returns the last timeout once
/// `limit` has passed since `start`.
fn await_answer(
    entry: std::net::SocketAddr,
    path: &str,
    start: Instant,
    limit: Duration,
    progress: &mut dyn Write,
) -> Result<Answer> {
    let client = Client::new(entry, PROGRESS_INTERVAL);
    loop {
        match client.get("fetch", path) {
            Err(e) if e.is_timeout() && start.elapsed() < limit => {
                // A failure to print the progress must not lose the answer.
                let _ = writeln!(
                    progress,
                    "running for {:.0} s",
                    start.elapsed().as_secs_f64()
                );
            }
            answer => return answer,
        }
    }
}

fn print_answer(answer: &Answer, is_json: bool, out: &mut dyn Write) -> cli::Result<u8> {
    let code = EXIT_CODES
        .iter()
        .find(|(name, _)| *name == answer.outcome());
    let Some((outcome, code)) = code else {
        return Err(format!("status {}: {}", answer.status, answer.problem()).into());
    };
    if is_json {
        writeln!(out, "{}", answer.json)?;
        return Ok(*code);
    }
    let detail = match *outcome {
        "not_run" => format!(
            ": {}, retry with a new id after {} ms",
            answer.json["reason"].as_str().unwrap_or("no reason"),
            answer.json["retry_after_ms"]
        ),
        "complete" | "running" | "failed" | "cancelled" | "unknown" => String::new(),
        _ => format!(": {}", answer.problem()),
    };
    writeln!(out, "{outcome}{detail}")?;
    for result in answer.json["results"].as_array().into_iter().flatten() {
        match result.as_str() {
            Some(text) => writeln!(out, "{text}")?,
            None => writeln!(out, "{result}")?,
        }
    }
    for task in answer.json["tasks"].as_array().into_iter().flatten() {
        let state = task["state"].as_str().unwrap_or("");
        writeln!(out, "task {}: {state}", task["index"])?;
    }
    Ok(*code)
}
