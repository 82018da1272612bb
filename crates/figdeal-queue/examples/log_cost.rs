//! Measures the processor time of the log lines about volatile jobs, with a line for each event and with the sample.
//!
//! `cargo run --release -p figdeal-queue --example log_cost`

use std::{fs, time::Duration};

use figdeal_core::time::Timestamp;
use figdeal_queue::{
    job::JobId,
    log_sample::{LogSample, SampleLimits},
};

/// Seconds of the load that is played.
const SECONDS: u64 = 600;
/// Jobs that arrive in each second, of which every third one is refused.
const JOBS_PER_SECOND: u64 = 900;
/// Bounds of the leader for jobs that are refused.
const FAULT_LIMITS: SampleLimits = SampleLimits {
    lines: 10,
    jobs: 2_000,
};
/// Bounds of the leader for jobs that end in order.
const ROUTINE_LIMITS: SampleLimits = SampleLimits { lines: 10, jobs: 0 };

fn main() {
    env_logger::Builder::new()
        .filter_level(log::LevelFilter::Info)
        .target(env_logger::Target::Pipe(Box::new(std::io::sink())))
        .format_timestamp_millis()
        .init();
    report("a line for each event", |_, _| true);
    let mut faults = LogSample::new(FAULT_LIMITS);
    let mut routine = LogSample::new(ROUTINE_LIMITS);
    report("sample", move |event, number| {
        let micros = number * 1_000_000 / JOBS_PER_SECOND;
        let now = Timestamp::ZERO + Duration::from_micros(micros);
        let (sample, reason) = match event {
            "E622" => (&mut faults, "Overload"),
            _ => (&mut routine, "Done"),
        };
        sample.admit(now, event, reason, "main", Some(JobId(number)))
    });
}

/// Plays the load and prints the processor time of its log lines.
fn report(name: &str, mut admit: impl FnMut(&'static str, u64) -> bool) {
    let start = cpu_time();
    for number in 0..SECONDS * JOBS_PER_SECOND {
        let job = JobId(number);
        if number % 3 == 0 {
            if admit("E622", number) {
                log::info!(
                    "E622 refused a job job={job} queue=main reason=Overload retry_after_ms=180"
                );
            }
            continue;
        }
        if admit("E632", number) {
            log::info!(
                "E632 accepted a volatile job job={job} queue=main age_ms=0 resubmitted=false"
            );
        }
        if admit("E630", number) {
            log::info!(
                "E630 volatile job ended job={job} outcome=Done queue=main late=false took_ms=90 \
                 goal_ms=156 age_ms=0 resubmitted=false"
            );
        }
    }
    let per_second = (cpu_time() - start) / SECONDS as u32;
    println!("{name}: {per_second:?} of processor time per second of load");
}

/// Returns the processor time of the process, from the first field of `schedstat`.
fn cpu_time() -> Duration {
    let text = fs::read_to_string("/proc/self/schedstat").expect("schedstat must be readable");
    let nanos = text.split(' ').next().and_then(|n| n.parse().ok());
    Duration::from_nanos(nanos.expect("schedstat must start with a number"))
}
