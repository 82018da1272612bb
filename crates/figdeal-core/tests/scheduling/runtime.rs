//! Tests of the run time averages and the estimates of completion times.

use std::time::Duration;

use figdeal_core::{
    id::KindId,
    run_time::{KindBacklog, RunTimeEstimator},
};
use rand::Rng;

use crate::for_seeds;

const KIND: KindId = KindId(0);

fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Guards against an estimate that stragglers change too much, and one that does not follow a lasting change.
#[test]
fn follows_changes_but_not_stragglers() {
    for_seeds(|rng| {
        let mut times = RunTimeEstimator::default();
        for i in 0..2_000 {
            let is_straggler = i % 50 == 0;
            let run = if is_straggler {
                30_000
            } else {
                rng.random_range(80..120)
            };
            times.record(KIND, millis(run));
            let estimate = times.estimate(KIND, None);
            let bounds = millis(70)..millis(150);
            assert!(
                i < 100 || bounds.contains(&estimate),
                "{estimate:?} after {i}"
            );
        }
        (0..60).for_each(|_| times.record(KIND, millis(rng.random_range(1_600..2_400))));
        let estimate = times.estimate(KIND, None);
        assert!(
            (millis(1_400)..millis(2_600)).contains(&estimate),
            "{estimate:?}"
        );
    });
}

/// Guards against using declared run times that are wrong, and against ignoring those that distinguish the tasks.
#[test]
fn corrects_declared_times() {
    for_seeds(|rng| {
        let (mut scaled, mut noise) = (RunTimeEstimator::default(), RunTimeEstimator::default());
        for i in 0..1_000 {
            let run = rng.random_range(50..2_000);
            let real = if i % 40 == 0 { run * 10 } else { run };
            scaled.record_declared(KIND, Some(millis(run / 5)), millis(real));
            noise.record_declared(KIND, Some(millis(rng.random_range(1..60_000))), millis(run));
        }
        let estimate = scaled.estimate(KIND, Some(millis(200))).as_millis();
        assert!(
            (800..1_300).contains(&estimate),
            "{estimate} ms for 1,000 ms declared as 200 ms"
        );
        assert!(
            (4.0..6.5).contains(&scaled.correction_factor(KIND)),
            "{}",
            scaled.correction_factor(KIND)
        );
        let estimate = noise.estimate(KIND, Some(millis(60_000))).as_millis();
        assert!(
            (700..1_400).contains(&estimate),
            "{estimate} ms for noise around 1,025 ms"
        );
    });
}

/// Guards against estimates that refuse jobs which would meet their deadline: a flood of another kind must not count
/// for more than its share, and the estimate must not exceed the time that a schedule by shares needs.
#[test]
fn completion_is_bounded_by_the_share() {
    let other = KindId(1);
    for_seeds(|rng| {
        for _ in 0..200 {
            let (mut times, slots) = (RunTimeEstimator::default(), rng.random_range(1..100));
            (0..20).for_each(|_| times.record(KIND, millis(100)));
            (0..20).for_each(|_| times.record(other, millis(400)));
            let queued = rng.random_range(0..200);
            let tasks = rng.random_range(1..390);
            let own = KindBacklog {
                kind: KIND,
                weight: 1,
                queued,
                active: 0,
            };
            let flood = KindBacklog {
                kind: other,
                weight: 3,
                queued: 100_000,
                active: slots,
            };
            let job = vec![(KIND, None); tasks];
            let alone = times
                .completion_time(&job, &[own], slots)
                .unwrap()
                .as_secs_f64();
            let shared = times
                .completion_time(&job, &[own, flood], slots)
                .unwrap()
                .as_secs_f64();
            let work = (queued + tasks) as f64 * 0.1;
            assert!(
                alone >= work / f64::from(slots) - 1e-6,
                "the estimate is shorter than the work"
            );
            assert!(shared >= alone - 1e-6);
            assert!(shared <= 4.0 * work / f64::from(slots) + 0.1 + 4.0 * alone);
            let rounds = tasks.div_ceil(slots as usize) as f64 * 0.1;
            let ahead = queued as f64 * 0.1 / f64::from(slots);
            assert!(
                alone <= ahead + rounds + 1e-6,
                "{alone} s for {rounds} s after {ahead} s"
            );
        }
    });
    assert_eq!(
        RunTimeEstimator::default().completion_time(&[(KIND, None)], &[], 0),
        None
    );
}

/// Guards against panics, endless loops and invalid times, for arbitrary measured and declared run times and backlogs.
#[test]
fn takes_any_times() {
    bolero::check!()
        .with_type::<(
            Vec<(u8, Duration, Option<Duration>)>,
            Vec<(u8, u32, u32, u32)>,
            u32,
        )>()
        .for_each(|(runs, backlog, slots)| {
            let mut times = RunTimeEstimator::default();
            for &(kind, run, declared) in runs {
                times.record_declared(KindId(u16::from(kind)), declared, run);
                times.estimate(KindId(u16::from(kind)), declared);
            }
            let backlog = backlog
                .iter()
                .map(|&(kind, weight, queued, active)| KindBacklog {
                    kind: KindId(u16::from(kind)),
                    weight,
                    queued: queued as usize,
                    active,
                });
            let job: Vec<_> = runs.iter().map(|r| (KindId(u16::from(r.0)), r.2)).collect();
            let end = times.completion_time(&job, &backlog.collect::<Vec<_>>(), *slots);
            assert_eq!(end.is_some(), *slots > 0);
        });
}
