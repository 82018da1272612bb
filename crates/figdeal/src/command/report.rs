//! `figdeal report`: burn rates of the service-level objectives, summed over entries.

use std::{io::Write, time::Duration};

use clap::Args as ClapArgs;

use super::client::{Client, Entries, Error};
use crate::{
    cli,
    report::{BurnReport, render_text},
};

/// Timeout of a request to an entry.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Options of `figdeal report`.
#[derive(Debug, ClapArgs)]
pub struct Args {
    #[command(flatten)]
    entries: Entries,
    /// Prints JSON
    #[arg(long)]
    json: bool,
}

/// Prints the sum over the entries. If an entry does not answer, the sum of the others is printed and the exit code is
/// 1.
///
/// # Errors
/// Fails when no entry answers.
pub fn write(args: &Args, out: &mut dyn Write, problems: &mut dyn Write) -> cli::Result<u8> {
    let mut sum: Option<BurnReport> = None;
    let mut missing = Vec::new();
    for &entry in &args.entries.entries {
        let json = Client::new(entry, CALL_TIMEOUT).fetch_json("report", "/report?format=json");
        let view = json.and_then(|json| {
            serde_json::from_value::<BurnReport>(json)
                .map_err(|e| Error::Answer("report", entry, e))
        });
        match (view, &mut sum) {
            (Ok(view), Some(sum)) => sum.merge(view),
            (Ok(view), None) => sum = Some(view),
            (Err(e), _) => missing.push(e.to_string()),
        }
    }
    let Some(sum) = sum else {
        return Err(missing.join("; ").into());
    };
    for problem in &missing {
        writeln!(problems, "{problem}; this entry is missing in the report")?;
    }
    match args.json {
        true => writeln!(out, "{}", serde_json::to_string(&sum)?)?,
        false => write!(out, "{}", render_text(&sum))?,
    }
    Ok(u8::from(!missing.is_empty()))
}
