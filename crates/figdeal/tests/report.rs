//! Tests of the burn report, against a naive implementation that keeps every task.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use bolero::generator::produce;
use figdeal::report::{BurnReport, BurnTracker, Counts, TaskEnd, render_html, render_text};
use figdeal_config::{Share, section::Objective};
use figdeal_core::{
    entry::FinishedJob,
    id::{Interner, KindId, TeamId},
    outcome::{Outcome, RefusalReason, TaskState},
    time::Timestamp,
};
use figdeal_testing::for_each;

const LATENCY: Duration = Duration::from_secs(1);
const DEADLINE: Duration = Duration::from_secs(2);
const NAMES: [(&str, Option<&str>); 3] = [
    ("reminder", None),
    ("reminder", Some("choir")),
    ("swap", None),
];
/// Bucket length in seconds and number of buckets of each window, as documented.
const WINDOWS: [(u64, u64); 4] = [(10, 30), (300, 12), (300, 72), (300, 288)];

fn tracker() -> BurnTracker {
    let objective = |in_time| Objective {
        in_time: Share(in_time),
        latency: LATENCY,
    };
    let objectives: BTreeMap<_, _> = NAMES
        .iter()
        .map(|(kind, team)| {
            (
                (kind.to_string(), team.map(str::to_owned)),
                objective(990_000),
            )
        })
        .collect();
    let mut tracker = BurnTracker::default();
    let (mut kinds, mut teams) = (Interner::default(), Interner::default());
    kinds.intern("reminder");
    kinds.intern("swap");
    teams.intern("choir");
    tracker.set_objectives(&objectives, &mut kinds, &mut teams);
    tracker
}

fn finished_job(
    outcome: Outcome,
    kind: u16,
    team: u16,
    response: Duration,
    tasks: usize,
) -> FinishedJob {
    FinishedJob {
        team: TeamId(team),
        outcome: Arc::new(outcome),
        response_time: response,
        tasks: vec![(KindId(kind), DEADLINE); tasks],
    }
}

/// Returns a finished job with two tasks; `choice` selects the outcome.
fn job(choice: u8, kind: u16, team: u16, response: Duration) -> FinishedJob {
    let outcome = match choice % 5 {
        0 | 1 => Outcome::Complete(vec![Vec::new(); 2]),
        2 => Outcome::Failed(vec![TaskState::Done, TaskState::MayHaveRun]),
        3 => Outcome::NotRun {
            reason: RefusalReason::QueueFull,
            retry_after: LATENCY,
        },
        _ => Outcome::Cancelled(vec![TaskState::NotStarted; 2]),
    };
    finished_job(outcome, kind, team, response, 2)
}

fn count(counts: &mut Counts, ended: &FinishedJob) {
    for end in TaskEnd::of(ended).unwrap_or_default() {
        counts.tasks += 1;
        match end {
            TaskEnd::InTime => {}
            TaskEnd::Late => counts.late += 1,
            TaskEnd::Failed => counts.failed += 1,
            TaskEnd::NotRun => counts.not_run += 1,
            TaskEnd::MayHaveRun => counts.may_have_run += 1,
        }
        let is_complete = matches!(end, TaskEnd::InTime | TaskEnd::Late);
        counts.slow += u64::from(is_complete && ended.response_time > LATENCY);
    }
}

/// Buckets must not be counted twice, must be cleared when they are reused, and must not be cleared too early.
#[test]
fn windows_match_a_naive_count() {
    type Step = (u8, bool, bool, u16, u16);
    for_each(300, produce::<Vec<Step>>(), |steps| {
        let mut tracker = tracker();
        let (mut finished_jobs, mut now) = (Vec::new(), 0_u64);
        for (choice, kind, team, wait, response) in steps {
            now += u64::from(wait) * u64::from(wait) % 20_000;
            let response = Duration::from_millis(u64::from(response) % 3_000);
            let ended = job(choice, u16::from(kind), u16::from(team), response);
            tracker.record(&ended, Timestamp::from_micros(now * 1_000_000));
            finished_jobs.push((now, ended));
        }
        let report = tracker.report(Timestamp::from_micros(now * 1_000_000));
        for (line, (kind, team)) in report.objectives.iter().zip(NAMES) {
            assert_eq!((line.kind.as_str(), line.team.as_deref()), (kind, team));
            for (window, (step, buckets)) in line.windows.iter().zip(WINDOWS) {
                let mut naive = Counts::default();
                for (at, ended) in &finished_jobs {
                    let is_recent = now / step - at / step < buckets;
                    let is_kind = ended.tasks[0].0 == KindId(u16::from(kind == "swap"));
                    if is_recent && is_kind && (team.is_none() || ended.team == TeamId(0)) {
                        count(&mut naive, ended);
                    }
                }
                assert_eq!((window.seconds, window.counts), (step * buckets, naive));
            }
        }
    });
}

/// Burn rates and budgets must follow their definition, and a merge must add counts instead of averaging rates.
#[test]
fn burn_follows_its_definition() {
    let now = Timestamp::from_micros(1);
    let mut reports = [(98, 2), (0, 100)].map(|(good, late): (usize, usize)| {
        let mut tracker = tracker();
        for (count, response) in [(good, LATENCY), (late, DEADLINE * 2)] {
            let outcome = Outcome::Complete(vec![Vec::new(); count]);
            tracker.record(&finished_job(outcome, 1, 0, response, count), now);
        }
        tracker.report(now)
    });
    let other = std::mem::take(&mut reports[1]);
    let line = &reports[0].objectives[2];
    assert!(
        (line.windows[0].burn.unwrap() - 2.0).abs() < 1e-9,
        "2% of a budget of 1%"
    );
    assert!((line.windows[0].latency_burn.unwrap() - 2.0).abs() < 1e-9);
    assert!((line.budget_left() + 1.0).abs() < 1e-9);
    assert_eq!(
        reports[0].objectives[0].windows[0].burn, None,
        "no task, no rate"
    );
    reports[0].merge(other);
    let line = &reports[0].objectives[2];
    assert!(
        (line.windows[3].burn.unwrap() - 51.0).abs() < 1e-9,
        "102 of 200 tasks"
    );
    assert_eq!(line.plot.last(), Some(&(200, 102)));
}

/// Names must be escaped in the page, the page must not use external resources, and the JSON form must be lossless.
#[test]
fn renderings_hold_the_report() {
    let mut report = tracker().report(Timestamp::ZERO);
    report.objectives[0].kind = "<script>&\"".to_owned();
    let page = render_html(&report, "entry");
    assert!(page.contains("&lt;script&gt;&amp;&quot;") && !page.contains("<script"));
    assert!(
        !page.contains("http") && !page.contains("src="),
        "the page is self-contained"
    );
    assert_eq!(page.matches("<svg").count(), 3);
    assert_eq!(render_text(&report).lines().count(), 4);
    let again: BurnReport = serde_json::from_str(&serde_json::to_string(&report).unwrap()).unwrap();
    assert_eq!(again, report);
}
