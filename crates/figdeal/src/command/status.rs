//! `figdeal status`: upstreams, queues and configuration versions as the entries see them.

use std::{io::Write, time::Duration};

use clap::Args as ClapArgs;
use serde_json::{Value, json};

use super::client::{Client, Entries, Result};
use crate::{cli, report};

/// Timeout of a request to an entry.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Options of `figdeal status`.
#[derive(Debug, ClapArgs)]
pub struct Args {
    #[command(flatten)]
    entries: Entries,
    /// Prints JSON
    #[arg(long)]
    json: bool,
}

/// Prints the status of each entry. The exit code is 1 if an entry does not answer.
///
/// # Errors
/// Fails when the output cannot be written.
pub fn write(args: &Args, out: &mut dyn Write) -> cli::Result<u8> {
    let mut all = Vec::new();
    let mut is_complete = true;
    for &entry in &args.entries.entries {
        let (status, error) = match fetch_status(&Client::new(entry, CALL_TIMEOUT)) {
            Ok(status) => (status, None),
            Err(e) => (Value::Null, Some(e.to_string())),
        };
        is_complete &= error.is_none();
        if !args.json {
            match &error {
                Some(error) => writeln!(out, "{error}\n")?,
                None => writeln!(out, "{}", format_status(&entry.to_string(), &status))?,
            }
        }
        all.push(json!({ "address": entry, "status": status, "error": error }));
    }
    if args.json {
        writeln!(out, "{}", json!(all))?;
    }
    Ok(u8::from(!is_complete))
}

fn fetch_status(client: &Client) -> Result<Value> {
    let mut status = client.fetch_json("status", "/v1/status")?;
    status["ready"] = json!(client.get("ready", "/readyz")?.status == 200);
    Ok(status)
}

fn format_status(entry: &str, status: &Value) -> String {
    let number = |value: &Value| value.as_u64().unwrap_or(0);
    let agents = status["agents"].as_array().map_or(&[][..], Vec::as_slice);
    let is_live = |agent: &&Value| agent["state"] == "live";
    let sum = |name: &str| -> u64 {
        let live = agents.iter().filter(is_live);
        live.map(|agent| number(&agent[name])).sum()
    };
    let ready = if status["ready"] == true {
        "ready"
    } else {
        "not ready"
    };
    let age = match status["version_age_ms"].as_u64() {
        Some(ms) => format!(", confirmed {:.1} s ago", ms as f64 / 1_000.0),
        None => String::new(),
    };
    let mut text = format!(
        "entry {} at {entry}: {ready}, version {}{age}\n  {} of {} upstreams live, {} of {} slots free; {} open jobs, \
         {} queued tasks\n",
        number(&status["entry"]),
        number(&status["version"]),
        agents.iter().filter(is_live).count(),
        agents.len(),
        sum("free"),
        sum("slots"),
        number(&status["open_jobs"]),
        number(&status["queued"]),
    );
    let queue = status["queue"].as_object().into_iter().flatten();
    let mut rows = vec![["  kind", "queued"].map(str::to_owned).to_vec()];
    rows.extend(queue.map(|(kind, n)| vec![format!("  {kind}"), n.to_string()]));
    text.push_str(&report::format_table(&rows));
    let head = [
        "  upstream",
        "state",
        "slots",
        "free",
        "queued",
        "outstanding",
        "address",
    ];
    let mut rows = vec![head.map(str::to_owned).to_vec()];
    for agent in agents {
        let word = |name: &str| agent[name].as_str().unwrap_or("").to_owned();
        let count = |name: &str| number(&agent[name]).to_string();
        rows.push(vec![
            format!("  {}", word("name")),
            word("state"),
            count("slots"),
            count("free"),
            count("queued"),
            count("outstanding"),
            word("address"),
        ]);
    }
    text + &report::format_table(&rows)
}
