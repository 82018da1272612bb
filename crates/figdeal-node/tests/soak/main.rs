//! Randomised test of the real processes under injected faults.
//!
//! Nodes and agents are separate processes on loopback, with proxies between them. Workers, callers and the operator
//! are stand-ins in this process, and one checker compares what they observe with the guarantees. For longer runs,
//! `FIGDEAL_SOAK_SEEDS=50` runs the seeds 0 to 49, `FIGDEAL_SOAK_ONLY=7` runs one seed, and `FIGDEAL_SOAK_SECONDS=60`
//! sets the duration of the faults. If a seed violates a guarantee, the output of its processes is kept, with what
//! the workers have executed.

mod callers;
mod checks;
mod faults;
#[path = "../fleet/processes.rs"]
mod processes;
mod proxy;

use std::{
    fs,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use callers::LoadGenerator;
use faults::{FaultInjector, Plan};
use figdeal_stand_in::server::{SharedFleet, WorkerFleet};
use processes::{Layout, RunFolder};
use proxy::Network;

/// Number of machines with a disk.
const DISKS: u8 = 4;
/// Number of queue nodes, with and without a disk.
const NODES: u8 = 5;
/// Data centres of the workers.
const DATA_CENTRES: [&str; 2] = ["z0", "z1"];
/// Number of all machines. Those that are not nodes run an agent and a worker.
const MACHINES: u8 = 9;
/// CPU capacity of a worker in thousandths of a core.
const WORKER_MILLICORES: u32 = 8_000;
/// Fraction of runs that fail.
const RUN_FAILURE_FRACTION: f64 = 0.02;
const CALLERS: u64 = 24;
/// Default duration of the faults of a seed, as in CI.
const FAULT_SECONDS: u64 = 12;
/// Timeout for the first configuration to be accepted, and for all jobs to end after the last fault.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
/// Timeout for all jobs to end in seeds with bursts. Jobs that always fail get half of the workers ejected meanwhile.
const BURST_WAIT_TIMEOUT: Duration = Duration::from_secs(60);
/// Third byte of the loopback addresses of seed 0; later seeds count up from it.
const FIRST_SUBNET: u8 = 20;
/// Seeds that run in CI. All but the first and the last had two runs of a task: 128 by a heartbeat of another writer, 1020 by an
/// acknowledgement of ends that reached the next incarnation of a worker, 2061 by a start that the next one carried out.
/// In 3002 the kinds of the workers change.
const SEEDS: [u64; 5] = [1, 128, 1020, 2061, 3002];

/// Not a test by itself: runs a node or agent if the parent process requests it.
#[test]
fn child_process() {
    processes::become_child();
}

fn env_number(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

/// Guards against violated guarantees that only real processes with real connections and disks show, and not the
/// simulation.
#[test]
fn promises_hold_for_processes_under_faults() {
    let seeds: Vec<u64> = match (
        env_number("FIGDEAL_SOAK_ONLY"),
        env_number("FIGDEAL_SOAK_SEEDS"),
    ) {
        (Some(seed), _) => vec![seed],
        (None, Some(count)) => (0..count).collect(),
        (None, None) => SEEDS.to_vec(),
    };
    let duration = Duration::from_secs(env_number("FIGDEAL_SOAK_SECONDS").unwrap_or(FAULT_SECONDS));
    let mut failed = Vec::new();
    for seed in &seeds {
        let violations = run_seed(*seed, duration);
        if !violations.is_empty() {
            eprintln!("seed {seed}: {violations:#?}");
            failed.push(*seed);
        }
    }
    assert!(
        failed.is_empty(),
        "seeds with violated guarantees: {failed:?}"
    );
}

/// Runs one seed. Returns the violated guarantees.
fn run_seed(seed: u64, duration: Duration) -> Vec<String> {
    let mut folder = RunFolder::new();
    let layout = Layout {
        subnet: FIRST_SUBNET + (seed % 200) as u8,
        disks: DISKS,
        nodes: NODES,
        folder: folder.path().to_owned(),
        proxied: true,
        data_centres: &DATA_CENTRES,
        limits: String::new(),
    };
    let network = Network::default();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    for machine in 1..=MACHINES {
        let (own_address, bind_address) = layout.internal(machine);
        runtime.spawn(network.clone().serve(own_address, bind_address));
    }
    let (stop, stopped) = tokio::sync::oneshot::channel::<()>();
    let proxies = thread::spawn(move || runtime.block_on(stopped));
    let plan = Plan::for_seed(seed);
    let mut workers = WorkerFleet::new(seed).with_failures(RUN_FAILURE_FRACTION);
    if plan.kinds_change {
        workers = workers.with_changing_kinds();
    }
    let fleet = SharedFleet::new(workers);
    for machine in NODES + 1..=MACHINES {
        let (worker, control) = (layout.worker(machine), layout.control(machine));
        fleet
            .add_worker(worker, control, WORKER_MILLICORES)
            .unwrap();
    }
    let load = Arc::new(LoadGenerator {
        layout,
        fleet: fleet.clone(),
        stop: AtomicBool::new(false),
        next_job_id: AtomicU64::new(seed << 32 | 1),
        kinds_change: plan.kinds_change,
    });
    let mut injector = FaultInjector::new(&load, &network, seed, MACHINES);
    let operator = spawn_load(&load, move |load| load.run_operator(seed));
    let observer = spawn_load(&load, move |load| load.run_observer(seed));
    let evacuations = spawn_load(&load, move |load| load.run_evacuations(seed));
    let start = Instant::now();
    while fleet.lock().checker.acknowledged_config_version == 0 {
        assert!(
            start.elapsed() < WAIT_TIMEOUT,
            "seed {seed}: no configuration was accepted"
        );
        thread::sleep(Duration::from_millis(50));
    }
    let callers: Vec<_> = (0..CALLERS)
        .map(|n| spawn_load(&load, move |load| load.run_caller(seed * 1_000 + n)))
        .collect();
    injector.run(duration);
    load.stop.store(true, Ordering::Relaxed);
    let bursts = injector.take_callers();
    for caller in callers
        .into_iter()
        .chain(bursts)
        .chain([operator, observer, evacuations])
    {
        caller.join().unwrap();
    }
    load.wait_for_open_jobs(match plan.has_bursts {
        true => BURST_WAIT_TIMEOUT,
        false => WAIT_TIMEOUT,
    });
    let (violations, jobs, starts) = {
        let mut fleet = fleet.lock();
        fleet.checker.finish();
        let started = fleet.checker.start_count();
        (
            fleet.checker.violations.clone(),
            fleet.checker.jobs.len(),
            started,
        )
    };
    let faults = injector.history.len();
    eprintln!(
        "seed {seed}: jobs={jobs} starts={starts} steps_of_faults={faults} broken={}",
        violations.len()
    );
    if !violations.is_empty() {
        let events = fleet.lock().events.join("\n");
        fs::write(folder.path().join("workers.log"), events).unwrap();
        eprintln!("{}", injector.history.join("\n"));
        folder.keep();
    }
    drop(injector);
    let _ = stop.send(());
    let _ = proxies.join();
    violations
}

fn spawn_load(
    load: &Arc<LoadGenerator>,
    work: impl FnOnce(&LoadGenerator) + Send + 'static,
) -> thread::JoinHandle<()> {
    let load = Arc::clone(load);
    thread::spawn(move || work(&load))
}
