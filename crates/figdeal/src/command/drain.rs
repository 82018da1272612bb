//! `figdeal drain`: asks one entry to finish its jobs and exit.

use std::{
    io::Write,
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

use clap::Args as ClapArgs;
use serde_json::json;

use super::client::{Client, Error};
use crate::cli;

/// Timeout of one request to the entry.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Interval at which a draining entry is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Options of `figdeal drain`.
#[derive(Debug, ClapArgs)]
pub struct Args {
    /// HTTP address of the entry on this machine; it accepts drain requests from loopback only
    #[arg(long, value_name = "ADDR", default_value = "127.0.0.1:7400")]
    entry: SocketAddr,
    /// Maximum time in seconds to wait until the entry has exited
    #[arg(long, value_name = "SECONDS", default_value_t = 90)]
    limit: u64,
    /// Exits as soon as the entry has accepted the drain
    #[arg(long)]
    no_wait: bool,
    /// Prints JSON
    #[arg(long)]
    json: bool,
}

/// Asks the entry to drain and waits until it no longer answers. Returns the exit code 0.
///
/// # Errors
/// Fails when the entry refuses the drain or still answers after the time limit.
pub fn write(args: &Args, out: &mut dyn Write) -> cli::Result<u8> {
    let client = Client::new(args.entry, CALL_TIMEOUT);
    let answer = client.post("drain", "/v1/drain", "")?;
    if answer.status != 202 {
        return Err(Error::Status("drain", args.entry, answer.status, answer.problem()).into());
    }
    if !args.no_wait {
        wait_for_exit(&client, Duration::from_secs(args.limit))?;
    }
    let state = if args.no_wait { "draining" } else { "stopped" };
    if args.json {
        writeln!(out, "{}", json!({ "entry": args.entry, "state": state }))?;
    } else {
        writeln!(out, "entry {} {state}", args.entry)?;
    }
    Ok(0)
}

fn wait_for_exit(client: &Client, limit: Duration) -> cli::Result<()> {
    let start = Instant::now();
    while client.get("wait", "/healthz").is_ok() {
        if start.elapsed() >= limit {
            let entry = client.entry;
            return Err(format!("step wait, entry {entry}: still running after {limit:?}").into());
        }
        thread::sleep(POLL_INTERVAL);
    }
    Ok(())
}
