//! `figdeal queue-check`: checks a configuration of the durable queue before an operator sends it.

use std::{fs, io::Write, net::SocketAddr, path::PathBuf, time::Duration};

use clap::Args as ClapArgs;
use figdeal_platform::{
    config_check::{Finding, check_config},
    operator::CONFIG_PATH,
};
use serde_json::{Value, json};

use super::client::{Client, Error};
use crate::cli;

/// Timeout of the request to the node.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Exit code when the configuration has no findings.
const CLEAN: u8 = 0;
/// Exit code when the configuration has findings.
const FINDINGS: u8 = 1;
/// Exit code when the file cannot be read or the node does not answer, as for a wrong command line.
const USAGE: u8 = 2;

/// Options of `figdeal queue-check`.
#[derive(Debug, ClapArgs)]
pub struct Args {
    /// File with the configuration
    file: PathBuf,
    /// Control address of a node; also reports what differs from the configuration in force
    #[arg(long, value_name = "ADDR")]
    node: Option<SocketAddr>,
    /// Prints JSON
    #[arg(long)]
    json: bool,
}

/// Checks the file and prints the findings to `out`, or to `errors` why it cannot be checked. Returns the exit code: 0
/// without findings, 1 with findings, 2 if it could not be checked.
///
/// # Errors
/// Fails when the output cannot be written.
pub fn write(args: &Args, out: &mut dyn Write, errors: &mut dyn Write) -> cli::Result<u8> {
    let findings = match check(args) {
        Ok(findings) => findings,
        Err(error) => {
            writeln!(errors, "figdeal: {error}")?;
            return Ok(USAGE);
        }
    };
    let file = args.file.display();
    if args.json {
        let list: Vec<Value> = findings.iter().map(|f| to_json(&args.file, f)).collect();
        writeln!(out, "{}", json!({ "findings": list }))?;
    } else if findings.is_empty() {
        writeln!(out, "{file}: no findings")?;
    } else {
        for finding in &findings {
            writeln!(out, "{file}: {finding}")?;
        }
    }
    Ok(if findings.is_empty() { CLEAN } else { FINDINGS })
}

fn check(args: &Args) -> cli::Result<Vec<Finding>> {
    let body = fs::read(&args.file).map_err(|e| format!("file {}: {e}", args.file.display()))?;
    let in_force = args.node.map(read_config).transpose()?;
    Ok(check_config(&body, in_force.as_ref()))
}

/// Reads the configuration in force.
fn read_config(node: SocketAddr) -> cli::Result<Value> {
    const STEP: &str = "read the configuration in force";
    let client = Client::new(node, CALL_TIMEOUT);
    let answer = client.get(STEP, CONFIG_PATH)?;
    match answer.status {
        200 => Ok(answer.json),
        status => Err(Error::Status(STEP, node, status, answer.problem()).into()),
    }
}

fn to_json(file: &std::path::Path, finding: &Finding) -> Value {
    json!({
        "file": file,
        "kind": finding.kind.to_string(),
        "key": finding.key,
        "value": finding.value,
        "other_key": finding.other_key,
        "other_value": finding.other_value,
        "fix": finding.fix,
    })
}
