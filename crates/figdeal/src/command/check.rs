//! `figdeal check`: validates a configuration and prints the values that a site would get.

use std::{io::Write, path::PathBuf};

use clap::Args;
use displaydoc::Display;
use figdeal_config::{Bundle, Problems, SiteSettings};
use serde_json::{Value, json};

/// Result of the command.
pub type Result<T> = std::result::Result<T, CheckError>;

/// Why the command failed.
#[derive(Debug, Display)]
pub enum CheckError {
    /// {0}
    Problems(Problems),
    /// the configuration has problems; they are listed on standard output
    Listed,
    /// cannot write the output: {0}
    Output(std::io::Error),
}

impl std::error::Error for CheckError {}

/// Check a configuration without a running process
#[derive(Debug, Args)]
pub struct CheckArgs {
    /// Folder with base.toml and sites/NAME.toml
    pub folder: PathBuf,
    /// Print the configuration that this site would get, with the origin of each value
    #[arg(long, value_name = "NAME")]
    pub site: Option<String>,
    /// Print JSON
    #[arg(long)]
    pub json: bool,
}

/// Checks the folder and prints to standard output.
///
/// # Errors
/// See [`write()`].
pub fn run(args: &CheckArgs) -> Result<()> {
    write(args, &mut std::io::stdout().lock())
}

/// Checks the folder and prints to `out`.
///
/// # Errors
/// Returns the problems of the configuration; with `--json` they are printed to `out` instead.
pub fn write(args: &CheckArgs, out: &mut impl Write) -> Result<()> {
    let checked = check(args);
    let listed = args.json && checked.is_err();
    let text = match (checked, args.json) {
        (Ok(report), false) => report.to_text(),
        (Ok(report), true) => report.to_json().to_string() + "\n",
        (Err(problems), true) => problems_json(&problems).to_string() + "\n",
        (Err(problems), false) => return Err(CheckError::Problems(problems)),
    };
    out.write_all(text.as_bytes()).map_err(CheckError::Output)?;
    if listed {
        Err(CheckError::Listed)
    } else {
        Ok(())
    }
}

/// Summary of a valid configuration, as it is printed.
struct ConfigSummary {
    digest: String,
    sites: Vec<String>,
    settings: Option<SiteSettings>,
}

fn check(args: &CheckArgs) -> figdeal_config::Result<ConfigSummary> {
    let bundle = Bundle::read(&args.folder)?;
    bundle.check()?;
    let settings = args
        .site
        .as_deref()
        .map(|site| bundle.settings(site))
        .transpose()?;
    let digest = bundle
        .digest()
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect();
    let sites = bundle.sites().map(str::to_owned).collect();
    Ok(ConfigSummary {
        digest,
        sites,
        settings,
    })
}

impl ConfigSummary {
    fn to_text(&self) -> String {
        match &self.settings {
            Some(settings) => settings.to_string(),
            None => format!(
                "valid, sites: {}, digest: {}\n",
                self.sites.join(" "),
                self.digest
            ),
        }
    }

    fn to_json(&self) -> Value {
        let values = self.settings.as_ref().map(|settings| {
            let value =
                |(scope, setting): (&figdeal_config::TableName, &figdeal_config::Setting)| {
                    json!({
                        "key": format!("{scope}.{}", setting.key.name),
                        "value": setting.value.to_string(),
                        "origin": setting.origin.to_string(),
                    })
                };
            settings.iter().map(value).collect::<Vec<_>>()
        });
        json!({ "valid": true, "digest": self.digest, "sites": self.sites, "values": values })
    }
}

fn problems_json(problems: &Problems) -> Value {
    let problem = |problem: &figdeal_config::Problem| {
        json!({
            "file": problem.file,
            "line": problem.line,
            "key": problem.key,
            "message": problem.fault.to_string(),
        })
    };
    let problems: Vec<_> = problems.list().iter().map(problem).collect();
    json!({ "valid": false, "problems": problems })
}
