//! Evacuation of a data centre over HTTP.

use std::{thread, time::Duration};

use figdeal_queue::job::JobId;
use figdeal_stand_in::server::{SharedFleet, WorkerFleet, data_centre_of};

use crate::{
    CONFIG, NODES, exchange,
    processes::{Layout, Process, RunFolder},
    register_job, wait_for_reply,
};

/// Third byte of the loopback addresses.
const SUBNET: u8 = 231;
/// Number of agents, in two data centres.
const AGENTS: u8 = 2;
/// Number of jobs that are submitted during the evacuation.
const JOBS: u64 = 8;

/// Guards against wrong status codes for operators, against starts in an evacuated data centre, and against an
/// acknowledged evacuation that is lost when all nodes are killed and restarted.
#[test]
fn evacuations_are_acknowledged_durably() {
    let folder = RunFolder::new();
    let layout = Layout {
        subnet: SUBNET,
        disks: NODES,
        nodes: NODES,
        folder: folder.path().to_owned(),
        proxied: false,
        data_centres: &[],
        limits: String::new(),
    };
    let fleet = SharedFleet::new(WorkerFleet::new(1));
    for machine in NODES + 1..=NODES + AGENTS {
        let (worker, control) = (layout.worker(machine), layout.control(machine));
        fleet.add_worker(worker, control, 8_000).unwrap();
    }
    let start_all = |bootstrap| -> Vec<Option<Process>> {
        let nodes = (1..=NODES).map(|n| Process::start(&layout, n, bootstrap));
        nodes.map(Some).collect()
    };
    let mut nodes = start_all(true);
    let agents = NODES + 1..=NODES + AGENTS;
    let _agents: Vec<Process> = agents.map(|n| Process::start(&layout, n, true)).collect();
    let request = |node, method: &str, name: &str| {
        let path = format!("/figdeal/evacuation/{name}");
        exchange(layout.control(node), method, &path, "")
    };
    wait_for_reply("configuration", 200, "", || {
        exchange(layout.control(1), "PUT", "/figdeal/config", CONFIG)
    });
    let (first, second) = (data_centre_of(0), data_centre_of(1));
    // The agents report after the first leader is there, so both data centres may be unknown for a moment.
    wait_for_reply("known data centre", 200, "", || {
        request(1, "DELETE", &first)
    });
    wait_for_reply("known data centre", 200, "", || {
        request(1, "DELETE", &second)
    });
    let status = |node, method: &str, name: &str| request(node, method, name).map(|(s, _)| s);
    assert_eq!(status(1, "POST", "nowhere"), Some(404));
    assert_eq!(status(1, "DELETE", "nowhere"), Some(404));
    assert_eq!(status(1, "PUT", &first), Some(405));
    wait_for_reply("evacuated", 200, "", || request(2, "POST", &first));
    assert_eq!(status(3, "POST", &first), Some(200));
    let (code, body) = request(1, "POST", &second).unwrap();
    assert_eq!(code, 409);
    assert!(body.contains("reason"), "{body}");
    submit_jobs(&layout, &fleet, 0x100);

    // Power loss of all nodes at once.
    nodes.clear();
    nodes.extend(start_all(false));
    // Once the new leader knows the workers, the last data centre is refused again.
    wait_for_reply("still evacuated", 409, "", || request(2, "POST", &second));
    submit_jobs(&layout, &fleet, 0x200);

    // Without a majority, nothing is acknowledged.
    nodes[0] = None;
    nodes[1] = None;
    thread::sleep(Duration::from_millis(500));
    wait_for_reply("no leader", 503, "", || request(3, "DELETE", &first));
    nodes[0] = Some(Process::start(&layout, 1, false));
    wait_for_reply("revoked", 200, "", || request(3, "DELETE", &first));
    wait_for_reply("evacuated", 200, "", || request(1, "POST", &second));
    assert!(fleet.lock().checker.violations.is_empty());
}

/// Submits jobs during the evacuation of the first data centre, and checks that all of them run in the other one.
fn submit_jobs(layout: &Layout, fleet: &SharedFleet, first_id: u64) {
    let starts_before = count_starts(fleet);
    for n in 0..JOBS {
        let id = JobId(first_id + n);
        let (path, job) = (format!("/q/{id}"), register_job(fleet, id, false));
        wait_for_reply("job accepted", 200, "", || {
            exchange(layout.front(2), "POST", &path, &job)
        });
        wait_for_reply("job completed", 200, "completed", || {
            exchange(layout.front(1), "GET", &path, "")
        });
    }
    assert_eq!(count_starts(fleet), starts_before);
}

/// Returns the number of starts at the worker of the first data centre.
fn count_starts(fleet: &SharedFleet) -> usize {
    let fleet = fleet.lock();
    let starts = fleet.events.iter().filter(|e| e.contains(" start task="));
    starts.filter(|event| event.contains("worker 0 ")).count()
}
