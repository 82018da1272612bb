//! Randomised runs of the real programs with faults from outside.
//!
//! Nodes and agents are processes of their own on loopback, with proxies between them. Workers, callers and the operator
//! are stand-ins in this process, and one judge checks the promises from what they see. By hand:
//! `FIGDEAL_SOAK_SEEDS=50` plays the seeds up to 50, `FIGDEAL_SOAK_ONLY=7` one of them, `FIGDEAL_SOAK_SECONDS=60` longer
//! ones. The output of the processes of a seed that breaks a promise is kept.

mod callers;
mod faults;
#[path = "../fleet/processes.rs"]
mod processes;
mod proxy;

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use callers::Load;
use faults::Chaos;
use figdeal_stand_in::server::{SharedFleet, WorkerFleet};
use processes::Layout;
use proxy::Network;

/// Machines with a disk, nodes, and machines in all.
const DISKS: u8 = 4;
const NODES: u8 = 5;
const MACHINES: u8 = 9;
/// Thousandths of a core that a worker offers.
const CPU: u32 = 8_000;
/// Share of runs that fail.
const FAILURES: f64 = 0.02;
const CALLERS: u64 = 24;
/// Length of the faults of a seed in CI.
const LENGTH: u64 = 12;
/// Faults in a second.
const RATE: f64 = 0.8;
/// Time in which the first configuration must be accepted, and jobs must end after the last fault.
const LIMIT: Duration = Duration::from_secs(30);
/// Third part of the addresses of the first seed.
const NET: u8 = 20;
/// Seeds that are played in CI.
const SEEDS: [u64; 1] = [1];

/// Becomes a process if the parent asks for it; nothing otherwise.
#[test]
fn child_process() {
    processes::become_child();
}

fn number(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

/// Guards against promises that hold in the simulation but not in the real programs with their connections and disks.
#[test]
fn promises_hold_for_processes_under_faults() {
    let seeds: Vec<u64> = match (number("FIGDEAL_SOAK_ONLY"), number("FIGDEAL_SOAK_SEEDS")) {
        (Some(seed), _) => vec![seed],
        (None, Some(count)) => (0..count).collect(),
        (None, None) => SEEDS.to_vec(),
    };
    let length = Duration::from_secs(number("FIGDEAL_SOAK_SECONDS").unwrap_or(LENGTH));
    let mut failed = Vec::new();
    for seed in &seeds {
        let broken = play(*seed, length);
        if !broken.is_empty() {
            eprintln!("seed {seed}: {broken:#?}");
            failed.push(*seed);
        }
    }
    assert!(failed.is_empty(), "seeds with broken promises: {failed:?}");
}

/// Plays one seed. Returns the broken promises.
fn play(seed: u64, length: Duration) -> Vec<String> {
    let folder = tempfile::tempdir().unwrap();
    let layout = Layout {
        net: NET + (seed % 200) as u8,
        disks: DISKS,
        nodes: NODES,
        folder: folder.path().to_owned(),
        proxied: true,
    };
    let network = Network::default();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    for machine in 1..=MACHINES {
        let (own, behind) = layout.internal(machine);
        runtime.spawn(network.clone().serve(own, behind));
    }
    let (stop, stopped) = tokio::sync::oneshot::channel::<()>();
    let proxies = thread::spawn(move || runtime.block_on(stopped));
    let yard = SharedFleet::new(WorkerFleet::new(seed).with_failures(FAILURES));
    for machine in NODES + 1..=MACHINES {
        let (worker, control) = (layout.worker(machine), layout.control(machine));
        yard.add_worker(worker, control, CPU).unwrap();
    }
    let mut chaos = Chaos::new(&layout, &network, &yard, seed, MACHINES);
    let load = Arc::new(Load {
        layout,
        yard: yard.clone(),
        stop: AtomicBool::new(false),
        next: AtomicU64::new(seed << 32 | 1),
    });
    let operator = spawn(&load, move |load| load.operate(seed));
    let start = Instant::now();
    while yard.lock().check.acknowledged_version == 0 {
        assert!(
            start.elapsed() < LIMIT,
            "seed {seed}: no configuration was accepted"
        );
        thread::sleep(Duration::from_millis(50));
    }
    let callers: Vec<_> = (0..CALLERS)
        .map(|n| spawn(&load, move |load| load.call(seed * 1_000 + n)))
        .collect();
    chaos.run((length.as_secs_f64() * RATE) as u32, length);
    load.stop.store(true, Ordering::Relaxed);
    for caller in callers.into_iter().chain([operator]) {
        caller.join().unwrap();
    }
    load.settle(LIMIT);
    let (broken, jobs, starts) = {
        let mut yard = yard.lock();
        yard.check.finish();
        let started = yard.check.start_count();
        (
            yard.check.violations.clone(),
            yard.check.jobs.len(),
            started,
        )
    };
    let faults = chaos.story.len();
    eprintln!(
        "seed {seed}: jobs={jobs} starts={starts} steps_of_faults={faults} broken={}",
        broken.len()
    );
    if !broken.is_empty() {
        eprintln!(
            "{}\noutput kept in {}",
            chaos.story.join("\n"),
            folder.keep().display()
        );
    }
    drop(chaos);
    let _ = stop.send(());
    let _ = proxies.join();
    broken
}

fn spawn(load: &Arc<Load>, work: impl FnOnce(&Load) + Send + 'static) -> thread::JoinHandle<()> {
    let load = Arc::clone(load);
    thread::spawn(move || work(&load))
}
