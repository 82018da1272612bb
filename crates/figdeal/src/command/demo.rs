//! `figdeal demo`: a control replica, an entry, agents and stand-in upstreams in one process.

use std::{
    net::{Ipv4Addr, SocketAddr},
    process::ExitCode,
    thread,
    time::{Duration, Instant},
};

use clap::Args as ClapArgs;
use figdeal_agent::agent::{Agent, Options as AgentOptions, Serving as AgentServing};
use figdeal_config::Bundle;
use figdeal_control::driver::ReplicaHandle;
use figdeal_core::{id::EntryId, time::UnixMillis};
use serde_json::{Value, json};
use tempfile::TempDir;
use tokio::runtime::Runtime;

mod control_replica;

use crate::{
    cli::Result,
    entry::{Entry, Options as EntryOptions, Serving},
    stand_in::{self, StandIn},
};

/// The sample deployment of Kuorotee Oy.
const KUOROTEE: [(&str, &str); 5] = [
    (
        "base.toml",
        include_str!("../../../../examples/kuorotee/base.toml"),
    ),
    (
        "sites/hervanta.toml",
        include_str!("../../../../examples/kuorotee/sites/hervanta.toml"),
    ),
    (
        "sites/kaleva.toml",
        include_str!("../../../../examples/kuorotee/sites/kaleva.toml"),
    ),
    (
        "sites/lielahti.toml",
        include_str!("../../../../examples/kuorotee/sites/lielahti.toml"),
    ),
    (
        "sites/tesoma.toml",
        include_str!("../../../../examples/kuorotee/sites/tesoma.toml"),
    ),
];
/// The sample deployment of Botella Viajera S.A.
const BOTELLA_VIAJERA: [(&str, &str); 4] = [
    (
        "base.toml",
        include_str!("../../../../examples/botella-viajera/base.toml"),
    ),
    (
        "sites/montezuma.toml",
        include_str!("../../../../examples/botella-viajera/sites/montezuma.toml"),
    ),
    (
        "sites/nosara.toml",
        include_str!("../../../../examples/botella-viajera/sites/nosara.toml"),
    ),
    (
        "sites/tamarindo.toml",
        include_str!("../../../../examples/botella-viajera/sites/tamarindo.toml"),
    ),
];
/// Slots of each stand-in upstream, as in both sample deployments.
const SLOTS_PER_UPSTREAM: u32 = 8;
/// Timeout for the entry to become ready and know all agents.
const START_TIMEOUT: Duration = Duration::from_secs(10);

/// Options of the demo.
#[derive(Debug, ClapArgs)]
pub struct Args {
    /// Number of agents with one stand-in upstream each
    #[arg(long, default_value_t = 4)]
    agents: u16,
}

/// The components of one sample deployment.
struct Fleet {
    control: ReplicaHandle,
    _folder: TempDir,
    entry: Entry<Serving>,
    agents: Vec<Agent<AgentServing>>,
    upstreams: Vec<StandIn>,
}

/// Runs the demo. The exit code is a failure if an answer differs from the expected one or a task started twice.
///
/// # Errors
/// Fails when a component cannot be started.
pub fn run(args: &Args) -> Result<ExitCode> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    let mut problems = 0;
    for deployment in deployments()? {
        println!(
            "== {}: {} upstreams with {SLOTS_PER_UPSTREAM} slots",
            deployment.name, args.agents
        );
        let fleet = start(args.agents, &deployment, &runtime)?;
        problems += submit_all(&fleet, deployment.jobs)?;
        problems += check_journals(&fleet);
        stop(fleet)?;
    }
    if problems == 0 {
        println!("demo: every answer was the expected one");
        return Ok(ExitCode::SUCCESS);
    }
    println!("demo: {problems} problems");
    Ok(ExitCode::FAILURE)
}

fn any_port() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

fn start(count: u16, deployment: &Deployment, runtime: &Runtime) -> Result<Fleet> {
    let folder = tempfile::tempdir()?;
    let control = runtime.block_on(control_replica::start(
        folder.path(),
        any_port(),
        &deployment.bundle,
    ))?;
    let data = Some(folder.path().to_owned());
    let options = EntryOptions::new(EntryId(0), any_port(), any_port()).with_control(
        vec![control.address],
        deployment.site,
        data,
    );
    let entry = Entry::start(options, runtime.handle())?;
    let mut agents = Vec::new();
    let mut upstreams = Vec::new();
    for i in 0..count {
        let options = AgentOptions::new(format!("upstream-{i}"), any_port(), any_port())
            .with_data_centre(deployment.site)
            .with_entries(vec![entry.peer_address.to_string()]);
        let agent = Agent::start(options, runtime.handle())?;
        let upstream = StandIn::start(
            any_port(),
            agent.http,
            SLOTS_PER_UPSTREAM,
            None,
            runtime.handle(),
        )?;
        agents.push(agent);
        upstreams.push(upstream);
    }
    wait_for_agents(entry.http_address, usize::from(count))?;
    Ok(Fleet {
        control,
        _folder: folder,
        entry,
        agents,
        upstreams,
    })
}

fn wait_for_agents(entry: SocketAddr, count: usize) -> Result<()> {
    let start = Instant::now();
    while start.elapsed() < START_TIMEOUT {
        let (_, status) = http_request("GET", &format!("http://{entry}/v1/status"), None)?;
        let (ready, _) = http_request("GET", &format!("http://{entry}/readyz"), None)?;
        if ready == 200
            && status["agents"]
                .as_array()
                .is_some_and(|a| a.len() >= count)
        {
            return Ok(());
        }
        thread::sleep(Duration::from_millis(20));
    }
    Err(
        format!("step announce, entry {entry}: not ready with all agents after {START_TIMEOUT:?}")
            .into(),
    )
}

fn stop(fleet: Fleet) -> Result<()> {
    fleet
        .entry
        .drain()
        .finish(Duration::ZERO, Duration::from_secs(5))?;
    for agent in fleet.agents {
        agent.drain().finish(Duration::from_secs(5))?;
    }
    fleet.upstreams.iter().for_each(StandIn::stop);
    fleet.control.stop()?;
    Ok(())
}

/// A job with the outcome that the demo expects.
struct DemoJob {
    title: &'static str,
    body: Value,
    expected: &'static str,
}

impl DemoJob {
    fn new(
        title: &'static str,
        team: &str,
        kind: &str,
        runs: impl IntoIterator<Item = u64>,
        deadline: u64,
        expected: &'static str,
    ) -> DemoJob {
        let tasks: Vec<Value> = runs
            .into_iter()
            .map(|ms| json!({ "kind": kind, "payload": format!("{ms} {kind}"), "deadline_ms": deadline }))
            .collect();
        let id = title.replace(' ', "-");
        let body = json!({ "id": id, "team": team, "tasks": tasks });
        DemoJob {
            title,
            body,
            expected,
        }
    }

    fn with_size(mut self, size: u32) -> DemoJob {
        self.body["tasks"][0]["size"] = json!(size);
        self
    }
}

struct Deployment {
    name: &'static str,
    site: &'static str,
    bundle: Bundle,
    jobs: Vec<DemoJob>,
}

fn deployments() -> Result<Vec<Deployment>> {
    let rota = (0..120).map(|i| 50 + (i * 37) % 250);
    let quotes = (0..60).map(|i| 50 + (i * 13) % 100);
    Ok(vec![
        Deployment {
            name: "Kuorotee",
            site: "hervanta",
            bundle: Bundle::new(to_files(&KUOROTEE))?,
            jobs: vec![
                DemoJob::new(
                    "rota builds for a term",
                    "parishes",
                    "rota-build",
                    rota,
                    30_000,
                    "complete",
                ),
                DemoJob::new(
                    "swap checks",
                    "choirs",
                    "swap-check",
                    [60, 80, 120],
                    2_000,
                    "complete",
                ),
                DemoJob::new(
                    "reminders for tonight",
                    "parishes",
                    "reminder",
                    [50; 20],
                    5_000,
                    "complete",
                ),
                DemoJob::new(
                    "rota too large",
                    "parishes",
                    "rota-build",
                    [50],
                    30_000,
                    "not_run",
                )
                .with_size(stand_in::MAX_TASK_SIZE + 1),
            ],
        },
        Deployment {
            name: "Botella Viajera",
            site: "tamarindo",
            bundle: Bundle::new(to_files(&BOTELLA_VIAJERA))?,
            jobs: vec![
                DemoJob::new(
                    "hotel quotes",
                    "hotel-chain",
                    "quote-check",
                    quotes,
                    2_000,
                    "complete",
                ),
                DemoJob::new(
                    "seal order",
                    "storefronts",
                    "seal-order",
                    [300],
                    5_000,
                    "complete",
                ),
                DemoJob::new(
                    "tide slots",
                    "storefronts",
                    "tide-slot",
                    [100, 150],
                    10_000,
                    "complete",
                ),
                DemoJob::new(
                    "unknown kind",
                    "storefronts",
                    "glass-blowing",
                    [100],
                    1_000,
                    "invalid",
                ),
            ],
        },
    ])
}

fn to_files(list: &[(&str, &str)]) -> Vec<(String, Vec<u8>)> {
    list.iter()
        .map(|(name, text)| ((*name).to_owned(), text.as_bytes().to_vec()))
        .collect()
}

fn submit_all(fleet: &Fleet, jobs: Vec<DemoJob>) -> Result<usize> {
    let url = format!("http://{}/v1/jobs", fleet.entry.http_address);
    let threads: Vec<_> = jobs
        .into_iter()
        .map(|mut job| {
            let url = url.clone();
            job.body["created_ms"] = json!(UnixMillis::now().0);
            thread::spawn(move || {
                let start = Instant::now();
                let answer = http_request("POST", &url, Some(&job.body)).map_err(|e| e.to_string());
                (job, answer, start.elapsed())
            })
        })
        .collect();
    let mut problems = 0;
    for thread in threads {
        let (job, answer, took) = thread
            .join()
            .map_err(|_| "step submit: a caller panicked")?;
        let (status, body) = answer?;
        let outcome = body["outcome"].as_str().unwrap_or("none");
        let detail = body["reason"]
            .as_str()
            .or(body["error"].as_str())
            .unwrap_or("");
        let tasks = job.body["tasks"].as_array().map_or(0, Vec::len);
        println!(
            "{:24} {tasks:4} tasks  {status} {outcome:10} {:5} ms  {detail}",
            job.title,
            took.as_millis()
        );
        if outcome != job.expected {
            println!("  expected {}, got {body}", job.expected);
            problems += 1;
        }
    }
    Ok(problems)
}

fn check_journals(fleet: &Fleet) -> usize {
    let mut starts = std::collections::HashMap::new();
    for upstream in &fleet.upstreams {
        for (start, count) in upstream.journal() {
            *starts.entry(start).or_insert(0) += count;
        }
    }
    let duplicates = starts.values().filter(|&&n| n > 1).count();
    println!("{} tasks started, {duplicates} of them twice", starts.len());
    duplicates
}

fn http_request(method: &str, url: &str, body: Option<&Value>) -> Result<(u16, Value)> {
    let agent: ureq::Agent = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .build()
        .into();
    let mut response = match (method, body) {
        ("GET", _) => agent.get(url).call(),
        ("DELETE", _) => agent.delete(url).call(),
        (_, body) => agent
            .post(url)
            .send(body.map(Value::to_string).unwrap_or_default()),
    }
    .map_err(|e| format!("step {method}, peer {url}: {e}"))?;
    let status = response.status().as_u16();
    let text = response.body_mut().read_to_string()?;
    Ok((
        status,
        serde_json::from_str(&text).unwrap_or(Value::String(text)),
    ))
}
