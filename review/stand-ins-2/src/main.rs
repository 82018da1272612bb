//! Plays one script of the review: `review-2 CASE ROOT RECORD`.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the script could not run.

mod cases;
mod deployment;
mod http;
mod record;
mod runner;

use std::{panic, path::Path, process::ExitCode, thread, time::Duration};

use record::Record;

/// All processes are ended and the script gives up after this time.
const TIME_LIMIT: Duration = Duration::from_secs(110);

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, root, record] = &arguments[..] else {
        eprintln!("usage: review-2 CASE ROOT RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::create(Path::new(record));
    deployment::enter_repository(Path::new(root));
    let played = {
        let (case, record) = (case.clone(), record.clone());
        thread::spawn(move || panic::catch_unwind(move || cases::play(&case, trouble, &record)))
    };
    let step = Duration::from_millis(50);
    let mut waited = Duration::ZERO;
    while !played.is_finished() && waited < TIME_LIMIT {
        thread::sleep(step);
        waited += step;
    }
    let result = match played.is_finished() {
        true => played.join().ok().and_then(Result::ok),
        false => None,
    };
    let Some(broken) = result else {
        deployment::kill_all();
        record.write("the script could not run");
        println!("could not run");
        return ExitCode::from(2);
    };
    for line in &broken {
        record.write(format!("BROKEN {line}"));
        println!("{line}");
    }
    if broken.is_empty() {
        record.write("the rule held");
        println!("the rule held");
        return ExitCode::SUCCESS;
    }
    ExitCode::from(1)
}
