//! Tests of the log lines that an operator needs to explain why a task ran twice, and why a job was refused or late.

use std::cell::RefCell;

mod agent;
mod leader;
mod node;
mod sample;

thread_local! {
    /// Lines that the test on this thread has logged.
    static LINES: RefCell<Vec<String>> = const { RefCell::new(Vec::new()) };
}

/// Logger that keeps the lines of each thread apart, since the tests run in parallel.
struct Capture;

impl log::Log for Capture {
    fn enabled(&self, _: &log::Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &log::Record<'_>) {
        LINES.with_borrow_mut(|lines| lines.push(record.args().to_string()));
    }

    fn flush(&self) {}
}

/// Starts to keep the lines. All tests of this process share the logger, so it may be set already.
fn capture_lines() {
    let _ = log::set_logger(&Capture);
    log::set_max_level(log::LevelFilter::Info);
}

/// Returns the lines with this event number that this test has logged so far.
fn lines(event: &str) -> Vec<String> {
    LINES.with_borrow(|lines| {
        let found = lines.iter().filter(|line| line.starts_with(event));
        found.cloned().collect()
    })
}

/// Returns the value of `name=value` in a line.
fn field<'a>(line: &'a str, name: &str) -> &'a str {
    let mut words = line.split(' ');
    words
        .find_map(|word| word.strip_prefix(name)?.strip_prefix('='))
        .unwrap_or_else(|| panic!("no {name}= in {line:?}"))
}
