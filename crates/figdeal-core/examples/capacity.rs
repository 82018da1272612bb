//! Measures the costs that docs/CAPACITY.md uses: memory and time per agent in the fleet of an entry, and time per task
//! and per claim of a job in the state machine of the entry.
//!
//! `cargo run --release -p figdeal-core --example capacity`

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use figdeal_core::{
    agent::RunOutcome,
    dedup::TaskResult,
    entry::{Action, ClaimResult, EntryCore, EntryLimits, Submission, TaskSpec, WaiterId},
    fleet::{AgentInfo, AgentLoad},
    id::{Digest, Incarnation, KindId, SubmissionKey, TeamId},
    time::{Timestamp, UnixMillis},
};

/// Numbers of agents; the last one is the size that the design targets.
const AGENT_COUNTS: [usize; 3] = [1_000, 4_000, 13_000];
/// Numbers of tasks of the measured jobs.
const JOB_TASKS: [usize; 3] = [1, 39, 390];
/// Number of tasks in each measurement.
const TASK_COUNT: usize = 200_000;
/// Number of kinds.
const KIND_COUNT: u16 = 6;
/// Number of slots of each agent.
const SLOTS: u32 = 8;

fn main() {
    println!("agents  bytes/agent  announce ns");
    for count in AGENT_COUNTS {
        let before = resident_bytes();
        let mut entry = EntryCore::new(EntryLimits::default(), 1);
        announce_all(&mut entry, count, Timestamp::ZERO);
        // The index of a kind is created when a task of the kind is placed for the first time.
        run_jobs(&mut entry, 1, usize::from(KIND_COUNT) * 8);
        let bytes = resident_bytes().saturating_sub(before) / count;
        let start = Instant::now();
        for round in 1..=5 {
            announce_all(
                &mut entry,
                count,
                Timestamp::ZERO + Duration::from_secs(round),
            );
        }
        let nanos = start.elapsed().as_nanos() / (5 * count as u128);
        println!("{count:6}  {bytes:11}  {nanos:11}");
    }
    println!("\nagents  tasks/job  ns/task (admission, queue, placement, outcome, answer)");
    for count in AGENT_COUNTS {
        for tasks in JOB_TASKS {
            let mut entry = EntryCore::new(EntryLimits::default(), 1);
            announce_all(&mut entry, count, Timestamp::ZERO);
            let start = Instant::now();
            let done = run_jobs(&mut entry, tasks, TASK_COUNT);
            println!(
                "{count:6}  {tasks:9}  {:7}",
                start.elapsed().as_nanos() / done as u128
            );
        }
    }
}

fn announce_all(entry: &mut EntryCore, count: usize, now: Timestamp) {
    for i in 0..count {
        let info = AgentInfo {
            name: format!("upstream-{i}"),
            address: "127.0.0.1:9000".to_owned(),
            incarnation: Incarnation(i as u64),
            slots: SLOTS,
            kinds: Vec::new(),
            max_task_size: 64,
            draining: false,
        };
        let load = AgentLoad {
            free_slots: SLOTS,
            ..AgentLoad::default()
        };
        entry.announce(info, load, now);
    }
}

/// Runs jobs through the entry; each task ends as soon as it is sent. Returns the number of tasks.
fn run_jobs(entry: &mut EntryCore, tasks: usize, total: usize) -> usize {
    let now = Timestamp::ZERO + Duration::from_millis(1);
    let mut done = 0;
    let mut number = 0_u64;
    while done < total {
        number += 1;
        let mut key = [0; 16];
        key[..8].copy_from_slice(&number.to_le_bytes());
        let key = SubmissionKey(key);
        let spec = TaskSpec {
            kind: KindId((number % u64::from(KIND_COUNT)) as u16),
            payload: Arc::from(&b"100 task"[..]),
            deadline: Duration::from_secs(60),
            size: 1,
            declared_run_time: None,
        };
        let submission = Submission {
            key,
            digest: Digest::new([0; 14], tasks as u16),
            created: UnixMillis(0),
            team: TeamId((number % 140) as u16),
            tasks: vec![spec; tasks],
        };
        entry.submit(submission, WaiterId(number), true, now);
        entry.on_claim_result(key, ClaimResult::Owner, now);
        done += finish_sent(entry, now);
    }
    done
}

fn finish_sent(entry: &mut EntryCore, now: Timestamp) -> usize {
    let mut done = 0;
    loop {
        let actions = entry.take_actions();
        if actions.is_empty() {
            return done;
        }
        for action in actions {
            if let Action::Run(dispatch) = action {
                let result = TaskResult::Done(Vec::new());
                let outcome = RunOutcome::Ran {
                    result,
                    run_time: Duration::from_millis(100),
                };
                let load = AgentLoad {
                    free_slots: SLOTS,
                    ..AgentLoad::default()
                };
                entry.on_run_outcome(dispatch.agent, dispatch.task, outcome, Some(load), now);
                done += 1;
            }
        }
        entry.take_finished();
    }
}

/// Resident set size of this process in bytes.
fn resident_bytes() -> usize {
    let status = std::fs::read_to_string("/proc/self/status").expect("Linux has /proc");
    let line = status
        .lines()
        .find(|l| l.starts_with("VmRSS:"))
        .expect("VmRSS is listed");
    let kib = line
        .split_whitespace()
        .nth(1)
        .and_then(|n| n.parse::<usize>().ok());
    kib.expect("VmRSS is a number of KiB") * 1024
}
