//! Tasks whose data is in a rack: what the leader learns from their runs, and where it places them.

#[allow(dead_code, reason = "each test program uses a part of the fleet")]
#[path = "fleet/scheduler.rs"]
mod scheduler;

use std::time::Duration;

use figdeal_queue::{
    job::{JobId, Resources, Step},
    message::Order,
};
use scheduler::{Fleet, LOAD_DURATION, Served, Site, WORK_PARTS, WORKER_MILLICORES, rack};

/// A deployment of racks with two workers.
const SITE: Site = Site {
    rack_size: 2,
    remote_factor: 3.0,
    ..Site::PLAIN
};

/// A step of one task of 100 ms.
fn step(rack: Option<String>) -> Step {
    Step {
        count: 1,
        needs: Resources {
            millicores: 6_200,
            memory_mb: 64,
            gpus: 0,
        },
        estimate_ms: 100,
        rack,
        ..Step::default()
    }
}

/// A start: job, agent and expected milliseconds.
type Start = (u64, usize, u32);

/// Places the waiting tasks, hands them to the agents, and returns the starts.
fn starts(fleet: &mut Fleet) -> Vec<Start> {
    fleet.dispatcher.tick(fleet.now);
    fleet.dispatcher.place(fleet.now);
    let mut starts = Vec::new();
    for (address, orders) in fleet.dispatcher.take_orders() {
        let found = fleet.agents.iter().position(|a| a.address == address);
        let index = found.expect("the agent must be known");
        let agent = &mut fleet.agents[index];
        agent.last_orders = orders.number;
        for order in orders.orders {
            if let Order::Start {
                task,
                run,
                expected_ms,
                ..
            } = order
            {
                agent.runs.insert(task, run);
                starts.push((task.job.0, index, expected_ms));
            }
        }
    }
    starts
}

/// Lets time pass without the end of a run until a job starts, and returns the start and the time that has passed.
fn wait_for_start(fleet: &mut Fleet, id: u64) -> (Start, Duration) {
    let begin = fleet.now;
    for _ in 0..400 {
        let found = starts(fleet).into_iter().find(|start| start.0 == id);
        if let Some(start) = found {
            return (start, fleet.now.since(begin));
        }
        fleet.now = fleet.now + Duration::from_millis(10);
        for agent in 0..fleet.agents.len() {
            fleet.report(agent, None);
        }
    }
    panic!("job {id} does not start");
}

/// Returns a fleet of three racks of two workers. The first rack is full of tasks of one job whose data it holds.
fn fleet_with_full_rack(needs: Resources, estimate_ms: u32) -> (Fleet, Step) {
    let mut fleet = Fleet::with_site(6, 62, SITE);
    fleet.run_until(fleet.now + Duration::from_millis(10));
    let step = Step {
        needs,
        estimate_ms,
        ..step(Some(rack(0)))
    };
    let filler = Step {
        count: 2 * (WORKER_MILLICORES / needs.millicores),
        ..step.clone()
    };
    let count = filler.count as usize;
    assert!(fleet.submit(JobId(1_000), 0, filler, f64::from(estimate_ms)));
    let mut filled = Vec::new();
    while filled.len() < count {
        // An agent gets no more starts than it can carry out before its next report.
        let more = starts(&mut fleet);
        assert!(!more.is_empty(), "{} of {count} tasks start", filled.len());
        filled.extend(more);
        for agent in 0..2 {
            fleet.report(agent, None);
        }
        fleet.now = fleet.now + Duration::from_millis(5);
    }
    assert!(filled.len() == count && filled.iter().all(|start| start.1 < 2));
    (fleet, step)
}

/// Submits jobs one after another while time passes.
fn run_jobs(fleet: &mut Fleet, ids: std::ops::Range<u64>, step: &Step) {
    for id in ids {
        assert!(fleet.submit(JobId(id), 0, step.clone(), 100.0));
        fleet.step();
        fleet.run_until(fleet.now + Duration::from_millis(160));
    }
}

/// Guards against remote runs that count as a slow queue: its expected times grew to almost three times the real ones.
#[test]
fn remote_runs_do_not_change_the_expected_times_of_their_queue() {
    let mut fleet = Fleet::with_site(2, 60, SITE);
    fleet.run_until(fleet.now + Duration::from_millis(10));
    run_jobs(&mut fleet, 0..100, &step(Some("rack-9".to_owned())));
    fleet.run_until(fleet.now + Duration::from_secs(1));
    assert_eq!(fleet.served.done[0], 100);
    assert!(fleet.submit(JobId(200), 0, step(None), 100.0));
    assert!(fleet.submit(JobId(201), 0, step(Some("rack-9".to_owned())), 100.0));
    let mut expected: Vec<_> = starts(&mut fleet).iter().map(|s| (s.0, s.2)).collect();
    expected.sort_unstable();
    assert_eq!(expected, [(200, 100), (201, 300)]);
}

/// Guards against remote runs that count as a slow worker, so that other tasks avoid it.
#[test]
fn remote_runs_do_not_make_their_worker_slow() {
    let mut fleet = Fleet::with_site(4, 61, SITE);
    fleet.run_until(fleet.now + Duration::from_millis(10));
    let labelled = Step {
        label: Some(rack(1)),
        ..step(Some("rack-9".to_owned()))
    };
    run_jobs(&mut fleet, 0..100, &labelled);
    run_jobs(&mut fleet, 100..130, &step(Some(rack(0))));
    fleet.run_until(fleet.now + Duration::from_secs(1));
    assert_eq!(fleet.served.done[0], 130);
    // Of two workers that are equally fast, the one with less room is taken.
    let filler = Step {
        label: Some(rack(1)),
        ..step(None)
    };
    assert!(fleet.submit(JobId(200), 0, filler, 100.0));
    let filler = starts(&mut fleet);
    assert!(fleet.submit(JobId(201), 0, step(None), 100.0));
    let next = starts(&mut fleet);
    assert_eq!(next[0].1, filler[0].1, "{filler:?} {next:?}");
}

/// Lets jobs arrive at a fleet of nine racks, the first of which has the data of 60% of the jobs of the middle kind.
fn play(load: f64, site: Site, seed: u64) -> Fleet {
    let mut fleet = Fleet::with_site(18, seed, site);
    fleet.offer(load, 18, WORK_PARTS);
    fleet.run();
    print_outcome(load, &mut fleet);
    fleet
}

fn print_outcome(load: f64, fleet: &mut Fleet) {
    let Served {
        hot_jobs: [hot, in_time],
        hot_starts: [local, remote],
        ..
    } = fleet.served;
    let part = |kind| fleet.served.part(kind);
    println!(
        "load {load}: {:.3} {:.3} {:.3} in time, {in_time} of {hot} with data in the rack, {local} starts in it, \
         {remote} elsewhere, {:?}, {:?}",
        part(0),
        part(1),
        part(2),
        fleet.dispatcher.take_rack_waits(),
        fleet.served
    );
}

const HOT_SITE: Site = Site {
    hot_part: 0.6,
    ..SITE
};

/// Returns the part of the jobs with data in the rack that an omniscient placement can run there.
fn local_part(fleet: &Fleet) -> f64 {
    let rack_millicores = f64::from(WORKER_MILLICORES) * SITE.rack_size as f64;
    let rack_work = rack_millicores * LOAD_DURATION.as_millis() as f64;
    (rack_work / fleet.served.hot_work).min(1.0)
}

fn hot_part_in_time(fleet: &Fleet) -> f64 {
    let [offered, in_time] = fleet.served.hot_jobs;
    f64::from(in_time) / f64::from(offered)
}

/// Guards against tasks that run three times as long elsewhere although the rack of their data has room soon, and
/// against other tasks that take the room of that rack while there is room elsewhere.
#[test]
fn a_hot_rack_serves_its_own_tasks_at_half_load() {
    for seed in 70..73 {
        let mut fleet = play(0.5, HOT_SITE, seed);
        let bound = local_part(&fleet) * 0.8;
        assert!(hot_part_in_time(&fleet) >= bound, "bound {bound:.3}");
        assert!(fleet.served.part(0) >= 0.95 && fleet.served.part(2) >= 0.95);
        assert_eq!(fleet.dispatcher.load(), (0, 0), "jobs wait forever");
        assert!(
            fleet.dispatcher.take_rack_waits().local == 0,
            "counted twice"
        );
    }
}

/// Guards against remote runs that take the room of all others in a full pool.
#[test]
fn a_hot_rack_leaves_the_others_their_room_at_full_load() {
    for seed in 73..76 {
        let fleet = play(1.0, HOT_SITE, seed);
        let cold = 1.0 - HOT_SITE.hot_part;
        let ideal = cold + HOT_SITE.hot_part * local_part(&fleet);
        let mean: f64 = (0..3).map(|kind| fleet.served.part(kind)).sum::<f64>() / 3.0;
        let bound = (2.0 + ideal) / 3.0 * 0.8;
        assert!(mean >= bound, "{mean:.3} < {bound:.3}");
        assert_eq!(fleet.dispatcher.load(), (0, 0), "jobs wait forever");
    }
}

/// Guards against waits that follow estimates which are off by half, instead of the run times that were learned.
#[test]
fn a_hot_rack_serves_its_own_tasks_with_wrong_estimates() {
    for (seed, estimate_factor) in [(76, 1.5), (77, 1.0 / 1.5)] {
        let site = Site {
            estimate_factor,
            ..HOT_SITE
        };
        let fleet = play(0.5, site, seed);
        let bound = local_part(&fleet) * 0.8;
        assert!(hot_part_in_time(&fleet) >= bound, "bound {bound:.3}");
    }
}

/// Guards against jobs that wait for a rack whose workers were lost while jobs arrived.
#[test]
fn a_rack_that_is_lost_holds_up_no_job() {
    let mut fleet = Fleet::with_site(18, 78, HOT_SITE);
    fleet.offer(0.5, 18, WORK_PARTS);
    fleet.run_until(fleet.now + LOAD_DURATION / 2);
    let before = fleet.served.hot_jobs[0];
    for agent in &mut fleet.agents[..2] {
        agent.lost = true;
    }
    fleet.run();
    print_outcome(0.5, &mut fleet);
    assert!(fleet.served.hot_jobs[0] > before);
    assert!(fleet.served.part(0) >= 0.95 && fleet.served.part(2) >= 0.95);
    assert_eq!(fleet.dispatcher.load(), (0, 0), "jobs wait forever");
}

/// Guards against a step that goes on waiting for its rack after the loss of the rack was noticed.
#[test]
fn a_step_stops_waiting_for_a_rack_when_it_is_lost() {
    let (mut fleet, step) = fleet_with_full_rack(step(None).needs, 5_000);
    assert!(fleet.submit(JobId(1), 0, step, 5_000.0));
    for agent in &mut fleet.agents[..2] {
        agent.lost = true;
    }
    let ((_, agent, _), waited) = wait_for_start(&mut fleet, 1);
    // The workers are lost after 1.15 s.
    let expected = Duration::from_millis(1_150)..Duration::from_millis(1_250);
    assert!(
        agent >= 2 && expected.contains(&waited),
        "{agent} {waited:?}"
    );
    assert_eq!(fleet.dispatcher.take_rack_waits().gave_up, 1);
}

/// Guards against a step that waits for its rack after the latest start that meets its goal, because runs in the rack
/// do not end.
#[test]
fn a_step_waits_for_its_rack_until_its_latest_start_at_most() {
    let (mut fleet, step) = fleet_with_full_rack(step(None).needs, 500);
    assert!(fleet.submit(JobId(1), 0, step, 500.0));
    let ((_, agent, expected_ms), waited) = wait_for_start(&mut fleet, 1);
    let slack = Duration::from_millis(500 * 6 / 10 + 60);
    assert!(waited > Duration::ZERO && waited <= slack, "{waited:?}");
    assert!(agent >= 2 && expected_ms == 1_500, "{agent} {expected_ms}");
}

/// Guards against waits for runs that should have ended long ago: nothing seemed to be left of them.
#[test]
fn overdue_runs_are_expected_to_go_on() {
    let needs = Resources {
        millicores: 12_400,
        ..Resources::default()
    };
    let (mut fleet, hot) = fleet_with_full_rack(needs, 500);
    assert!(fleet.submit(JobId(1), 0, hot.clone(), 500.0));
    assert!(starts(&mut fleet).is_empty(), "ten runs end within 1 s");
    fleet.now = fleet.now + Duration::from_secs(2);
    for agent in 0..fleet.agents.len() {
        fleet.report(agent, None);
    }
    starts(&mut fleet);
    assert!(fleet.submit(JobId(2), 0, hot, 500.0));
    let ((_, agent, _), waited) = wait_for_start(&mut fleet, 2);
    assert!(agent >= 2 && waited.is_zero(), "{agent} {waited:?}");
}

/// Guards against a step that waits for its rack although the room there has come back.
#[test]
fn a_step_starts_in_its_rack_when_a_run_there_ends() {
    let (mut fleet, step) = fleet_with_full_rack(step(None).needs, 500);
    assert!(fleet.submit(JobId(1), 0, step, 500.0));
    assert!(starts(&mut fleet).is_empty());
    let (task, run) = fleet.agents[1].runs.first_key_value().unwrap();
    let (task, run) = (*task, *run);
    fleet.end_run(1, task, run);
    let started = starts(&mut fleet);
    assert_eq!(started, [(1, 1, 500)]);
    assert_eq!(fleet.dispatcher.take_rack_waits().local, 1);
}

/// Guards against steps that hide those behind them in their queue while they wait for their rack, and against a wait
/// for a rack that no worker names.
#[test]
fn steps_that_wait_for_their_rack_hold_up_no_others() {
    let needs = Resources {
        millicores: 310,
        ..Resources::default()
    };
    let (mut fleet, hot) = fleet_with_full_rack(needs, 1_000);
    for id in 0..40 {
        assert!(fleet.submit(JobId(id), 0, hot.clone(), 1_000.0));
    }
    for (id, rack) in [(100, None), (101, Some("rack-9".to_owned()))] {
        let step = Step {
            rack,
            ..hot.clone()
        };
        assert!(fleet.submit(JobId(id), 0, step, 1_000.0));
    }
    let mut started: Vec<u64> = starts(&mut fleet).iter().map(|start| start.0).collect();
    started.sort_unstable();
    assert_eq!(started, [100, 101], "the rack has room within 0.3 s");
}

/// Guards against tasks that could run anywhere and take room in a rack that its own tasks need.
#[test]
fn a_rack_with_much_local_demand_is_the_last_choice_of_others() {
    let mut fleet = Fleet::with_site(6, 63, SITE);
    fleet.run_until(fleet.now + Duration::from_millis(10));
    let local = Step {
        count: 7,
        ..step(Some(rack(0)))
    };
    assert!(fleet.submit(JobId(0), 0, local, 100.0));
    assert_eq!(starts(&mut fleet).len(), 7);
    let anywhere = Step {
        count: 40,
        ..step(None)
    };
    assert!(fleet.submit(JobId(1), 0, anywhere, 100.0));
    assert!(starts(&mut fleet).iter().all(|start| start.1 >= 2));
    // The other racks are full.
    assert!(fleet.submit(JobId(2), 0, step(None), 100.0));
    assert!(starts(&mut fleet).iter().all(|start| start.1 < 2));
}

/// Guards against a worker that goes on getting tasks while it is slow: its speed was noticed too late.
#[test]
fn tasks_avoid_a_worker_within_two_seconds_after_it_becomes_slow() {
    let mut fleet = Fleet::new(4, 79);
    fleet.offer(0.4, 4, WORK_PARTS);
    let changed_at = fleet.now + LOAD_DURATION / 2;
    fleet.run_until(changed_at);
    let before = fleet.agents[0].events;
    fleet.agents[0].run_time_factor = 2.5;
    fleet.run_until(changed_at + Duration::from_secs(2));
    let noticed = fleet.agents[0].events;
    fleet.run();
    let after = fleet.agents[0].events - noticed;
    assert!(
        after * 4 < before,
        "{before} runs in 4 s, then {after} in 2 s"
    );
}
