//! Compares the answers to callers with the journals of the upstreams.

use std::{collections::BTreeMap, thread, time::Duration};

use serde_json::Value;

use crate::{
    caller::{ANSWER_MARGIN, Job, Record, Reply},
    fleet::{Fleet, Journal},
    summary::Summary,
};

/// Delay before the journals are read, so that a task that starts after it was reported as not started is found.
const SETTLE_TIME: Duration = Duration::from_secs(4);

/// Checks all records and all task starts, after a delay.
pub(crate) fn check_records(fleet: &Fleet, records: &[Record], summary: &mut Summary) {
    thread::sleep(SETTLE_TIME);
    let journal = fleet.journal();
    check_starts(&journal, summary);
    let mut outcomes: BTreeMap<String, u64> = BTreeMap::new();
    for record in records {
        let outcome = match record.is_final {
            true => record.last.outcome(),
            false => "gave up",
        };
        *outcomes.entry(outcome.to_owned()).or_default() += 1;
        if !record.is_final {
            summary.note(format!(
                "gave up: {} key {} after {:?}, {} times undecided",
                record.job.request.id,
                record.job.key(),
                record.total,
                record.undecided
            ));
        }
        check_lateness(record, summary);
        if let Reply::Answer(status, body) = &record.last {
            check_answer(&record.job, *status, body, &journal, summary);
        }
    }
    let sum = |part: fn(&Record) -> u32| records.iter().map(part).sum::<u32>();
    summary.count("submissions", records.len());
    for (outcome, count) in outcomes {
        summary.count(&format!("outcome {outcome}"), count);
    }
    summary.count("asked again: undecided", sum(|r| r.undecided));
    summary.count("asked again: connection broken", sum(|r| r.broken));
    let latest = records.iter().map(|r| r.late).max().unwrap_or_default();
    summary.count(
        "latest answer after deadline, ms",
        latest.as_millis() as u64,
    );
    let mut totals: Vec<Duration> = records.iter().map(|r| r.total).collect();
    totals.sort_unstable();
    for percent in [50, 99] {
        let total = totals.get(totals.len() * percent / 100).copied();
        let ms = total.unwrap_or_default().as_millis() as u64;
        summary.count(&format!("response time p{percent}, ms"), ms);
    }
    let is_late = |r: &&Record| r.total > r.job.deadline + ANSWER_MARGIN;
    summary.count(
        "late counted from first request",
        records.iter().filter(is_late).count(),
    );
}

/// Counts the started tasks and reports each task that started more than once.
pub(crate) fn check_starts(journal: &Journal, summary: &mut Summary) {
    let duplicates = journal.iter().filter(|(_, n)| **n > 1);
    for ((submission, index), count) in duplicates {
        summary.violation(format!(
            "double start: {submission}/{index}, {count} starts"
        ));
    }
    summary.count("tasks started", journal.len());
}

fn check_lateness(record: &Record, summary: &mut Summary) {
    let Job { request, deadline } = &record.job;
    if record.late > ANSWER_MARGIN || record.timeouts > 0 {
        summary.violation(format!(
            "late: {} with deadline {deadline:?} waited {:?} beyond it, {} requests without answer",
            request.id, record.late, record.timeouts
        ));
    }
}

/// Compares one answer with its request and with the journals.
pub(crate) fn check_answer(
    job: &Job,
    status: u16,
    body: &Value,
    journal: &Journal,
    summary: &mut Summary,
) {
    let id = &job.request.id;
    let key = job.key();
    let starts = |index: usize| {
        let start = (key.clone(), index as u16);
        journal.get(&start).copied().unwrap_or(0)
    };
    let count = job.request.tasks.len();
    match body["outcome"].as_str().unwrap_or_default() {
        "complete" => {
            let results = body["results"].as_array().cloned().unwrap_or_default();
            if results.len() != count {
                summary.violation(format!(
                    "partial: {id}, {} of {count} results",
                    results.len()
                ));
            }
            for (index, (result, task)) in results.iter().zip(&job.request.tasks).enumerate() {
                if result != &task.payload {
                    summary.violation(format!("wrong result: {id}/{index}, {result}"));
                }
                if starts(index) == 0 {
                    summary.violation(format!("complete without start: {id}/{index}"));
                }
            }
        }
        "failed" | "cancelled" => {
            let tasks = body["tasks"].as_array().cloned().unwrap_or_default();
            if tasks.len() != count {
                summary.violation(format!("partial: {id}, {} of {count} states", tasks.len()));
            }
            for (index, task) in tasks.iter().enumerate() {
                check_state(id, index, &task["state"], starts(index), summary);
            }
        }
        "not_run" => {
            let started = (0..count).filter(|i| starts(*i) > 0).count();
            if started > 0 {
                summary.violation(format!(
                    "false not run: {id}, {started} of {count} tasks started"
                ));
            }
        }
        // The answer states nothing about the tasks.
        "undecided" => {}
        _ => summary.violation(format!("unexpected answer: {id}, {status} {body}")),
    }
}

fn check_state(id: &str, index: usize, state: &Value, starts: u32, summary: &mut Summary) {
    let is_wrong = match state.as_str().unwrap_or_default() {
        "done" | "failed" => starts == 0,
        "not_started" => starts > 0,
        "may_have_run" => false,
        _ => true,
    };
    if is_wrong {
        summary.violation(format!(
            "false state: {id}/{index} is {state}, {starts} starts"
        ));
    }
}
