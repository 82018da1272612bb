//! Runs one case of the review: `figdeal-review CASE RECORD`, from the repository's root. `TROUBLE=0` leaves out the
//! disruption. The exit status is 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod cases;
mod cluster;
mod http;
mod record;
mod worker;

use std::{path::Path, process::ExitCode};

use record::Record;

/// What a case found.
pub enum Verdict {
    Held,
    Broken,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, path] = arguments.as_slice() else {
        eprintln!("usage: figdeal-review CASE RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::create(Path::new(path));
    record.line(format!("case {case}, disruption: {trouble}"));
    let result = match case.as_str() {
        "overlong" => cases::overlong::run(trouble, &record),
        "hopeless" => cases::hopeless::run(trouble, &record),
        "cancel" => cases::cancel::run(trouble, &record),
        "malformed" => cases::malformed::run(trouble, &record),
        "refused" => cases::refused::run(trouble, &record),
        _ => Err(format!("unknown case {case}")),
    };
    match result {
        Ok(Verdict::Held) => {
            record.print("held");
            ExitCode::SUCCESS
        }
        Ok(Verdict::Broken) => {
            record.print("broken");
            ExitCode::from(1)
        }
        Err(reason) => {
            record.print(format!("the case could not run: {reason}"));
            ExitCode::from(2)
        }
    }
}
