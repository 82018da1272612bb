//! Tests of the ideal and the naive scheduler of the benchmark on hand-computed cases, and of the generated jobs.

use std::time::Duration;

use figdeal::bench::{
    ideal, naive,
    workload::{Declared, Job, KINDS, OfferedLoad, Task, generate, mean_run_ms, mean_size, merge},
};

const SEED: u64 = 20_261_204;

fn job(at_ms: u64, runs: &[u32]) -> Job {
    let task = |&run_ms: &u32| Task {
        run_ms,
        declared_ms: None,
    };
    Job {
        at: Duration::from_millis(at_ms),
        kind: 0,
        is_flood: false,
        entry: 0,
        tasks: runs.iter().map(task).collect(),
    }
}

fn ideal_ms(jobs: &[Job], slots: u32) -> Vec<u128> {
    let times = ideal::schedule(jobs, slots);
    times.iter().map(Duration::as_millis).collect()
}

fn naive_ms(jobs: &[Job], upstreams: u16, slots: u32) -> Vec<u128> {
    let times = naive::schedule(jobs, upstreams, slots);
    times.iter().map(Duration::as_millis).collect()
}

/// With free slots, the response time of a job must be the run time of its longest task.
#[test]
fn a_job_on_free_slots_takes_its_longest_task() {
    assert_eq!(ideal_ms(&[job(0, &[50, 300, 100])], 3), [300]);
    assert_eq!(ideal_ms(&[job(700, &[50])], 1), [50]);
}

/// Inside a job the longest task must go first: 100 and 100 before 200 would end at 300.
#[test]
fn the_longest_task_of_a_job_goes_first() {
    assert_eq!(ideal_ms(&[job(0, &[100, 200, 100])], 2), [200]);
}

/// A small job that arrives later must overtake waiting tasks of a larger job, unlike in FIFO order.
#[test]
fn the_job_with_the_smallest_work_left_goes_first() {
    // The slot runs tasks of the large job at 0-100 and 100-200. The small one arrives at 150 and runs at 200-250.
    let jobs = [job(0, &[100, 100, 100]), job(150, &[50])];
    assert_eq!(ideal_ms(&jobs, 1), [350, 100]);
}

/// Running tasks must not be preempted, because upstreams cannot do that.
#[test]
fn a_running_task_is_not_interrupted() {
    assert_eq!(
        ideal_ms(&[job(0, &[1_000]), job(10, &[50])], 1),
        [1_000, 1_040]
    );
}

/// The remaining work of a job must not include started tasks.
#[test]
fn started_tasks_do_not_count_as_work_left() {
    // At 0 the first job starts 300 and 100 and has 90 left, so at 100 it goes before the job with 100.
    let jobs = [job(0, &[300, 100, 90]), job(50, &[100])];
    assert_eq!(ideal_ms(&jobs, 2), [300, 240]);
}

/// A job that arrives at the moment at which a slot becomes free must be considered for that slot.
#[test]
fn an_arrival_at_the_end_of_a_task_takes_part_in_the_choice() {
    let jobs = [job(0, &[100, 100]), job(100, &[50])];
    assert_eq!(ideal_ms(&jobs, 1), [250, 50]);
}

/// No work may be lost or run twice: with one slot and waiting work, the schedule must have no gaps.
#[test]
fn one_slot_serves_all_work_without_gaps() {
    let mut jobs = generate(&offered_load(0.7, None), SEED);
    jobs.iter_mut().for_each(|j| j.at = Duration::ZERO);
    let work: Duration = jobs.iter().map(Job::work).sum();
    let last = ideal::schedule(&jobs, 1).into_iter().max();
    assert_eq!(last, Some(work));
}

/// The baseline must use round-robin and not balance by load: tasks alternate even if the other upstream is idle.
#[test]
fn the_naive_baseline_takes_the_upstreams_in_turn() {
    let jobs = [job(0, &[1_000, 50]), job(100, &[100, 50])];
    assert_eq!(naive_ms(&jobs, 2, 1), [1_000, 1_000]);
}

/// The baseline must be FIFO without shares: a flood that arrived earlier goes first.
#[test]
fn the_naive_baseline_is_first_in_first_out() {
    let jobs = [job(0, &[100; 10]), job(1, &[50])];
    assert_eq!(naive_ms(&jobs, 1, 2), [500, 549]);
}

fn offered_load(load: f64, flood: Option<usize>) -> OfferedLoad {
    OfferedLoad {
        load,
        slots: 80,
        window: Duration::from_secs(2_000),
        entries: 3,
        declared: Declared::Rough,
        flood,
    }
}

/// The load and the means of the generated jobs must match those that the output states.
#[test]
fn the_drawn_arrivals_have_the_stated_means() {
    let jobs = generate(&offered_load(0.7, None), SEED);
    let tasks: usize = jobs.iter().map(|j| j.tasks.len()).sum();
    let work: Duration = jobs.iter().map(Job::work).sum();
    let near = |a: f64, b: f64| (a / b - 1.0).abs() < 0.05;
    assert!(near(tasks as f64 / jobs.len() as f64, mean_size()));
    assert!(near(work.as_secs_f64() * 1e3 / tasks as f64, mean_run_ms()));
    assert!(near(work.as_secs_f64() / (2_000.0 * 80.0), 0.7));
    for (k, kind) in KINDS.iter().enumerate() {
        let count = jobs.iter().filter(|j| j.kind == k).count();
        let expected = jobs.len() as f64 * f64::from(kind.weight) / 7.0;
        assert!(
            near(count as f64, expected),
            "{} jobs of {}",
            count,
            kind.name
        );
    }
}

/// Declared run times must not change the arrivals, because runs could not be compared otherwise.
#[test]
fn what_is_declared_does_not_change_the_arrivals() {
    let mut exact = offered_load(0.7, None);
    exact.declared = Declared::Exact;
    let (rough, exact) = (
        generate(&offered_load(0.7, None), SEED),
        generate(&exact, SEED),
    );
    assert_eq!(rough.len(), exact.len());
    for (a, b) in rough.iter().zip(&exact) {
        let runs = |job: &Job| job.tasks.iter().map(|t| t.run_ms).collect::<Vec<_>>();
        assert_eq!(
            (a.at, a.kind, a.entry, runs(a)),
            (b.at, b.kind, b.entry, runs(b))
        );
    }
}

/// A flood must consist of one kind and must not change the measured jobs.
#[test]
fn a_flood_is_added_to_the_same_arrivals() {
    let base = generate(&offered_load(0.7, None), SEED);
    let flood = generate(&offered_load(1.0, Some(2)), SEED + 1);
    assert!(flood.iter().all(|j| j.is_flood && j.kind == 2));
    let mut merged = merge(base.clone(), flood);
    assert!(merged.is_sorted_by_key(|j| j.at));
    merged.retain(|j| !j.is_flood);
    assert_eq!(merged, base);
}
