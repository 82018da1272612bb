//! Cluster of entries, agents and stand-in upstreams in this process, connected over loopback.

use std::{
    net::{Ipv4Addr, SocketAddr, TcpListener},
    thread,
    time::{Duration, Instant},
};

use figdeal_agent::agent::{Agent, Options as AgentOptions, Serving as AgentServing};
use figdeal_core::id::EntryId;
use serde_json::Value;
use tokio::runtime::{Builder, Runtime};

use super::{
    Result,
    usage::{ProcessPart, Threads},
    workload::KINDS,
};
use crate::{
    entry::{Entry, Options as EntryOptions, Serving},
    rules::Rules,
    stand_in::StandIn,
};

/// Maximum clock skew. All entries use the same clock, and a small value makes them ready soon after the start.
const MAX_SKEW: Duration = Duration::from_millis(50);
/// Timeout for all entries to become ready and know all agents.
const START_TIMEOUT: Duration = Duration::from_secs(10);
/// Quota of a team. It exceeds every offered load, so that floods are limited by the shares of the kinds and not by
/// quotas.
const TEAM_QUOTA: u32 = 1_000_000;
/// Team that submits the flood.
pub const FLOOD_TEAM: &str = "flood";
/// Team that submits all other jobs.
pub const TEAM: &str = "regular";
/// Worker threads of each of the three runtimes, for entries, agents and stand-ins.
const RUNTIME_THREADS: usize = 4;

/// Size of a cluster.
#[derive(Debug, Clone, Copy)]
pub struct ClusterSize {
    /// Number of entries.
    pub entries: u16,
    /// Number of upstreams.
    pub upstreams: u16,
    /// Slots of each upstream.
    pub slots: u32,
}

/// A running cluster.
#[derive(Debug)]
pub struct Cluster {
    /// Mapping of threads to the parts of the process.
    pub threads: Threads,
    entries: Vec<Entry<Serving>>,
    agents: Vec<Agent<AgentServing>>,
    upstreams: Vec<StandIn>,
    runtimes: Vec<Runtime>,
}

impl Cluster {
    /// Starts a cluster and waits until every entry is ready and knows every agent.
    ///
    /// # Errors
    /// Fails when a component cannot be started or does not become ready.
    pub fn start(size: ClusterSize) -> Result<Cluster> {
        let entry_runtime = runtime("bench-entry")?;
        let agent_runtime = runtime("bench-agent")?;
        let upstream_runtime = runtime("bench-upstream")?;
        let mut threads = Threads::default();
        threads.assign(ProcessPart::Other)?;
        let entries = start_entries(size.entries, &entry_runtime)?;
        threads.assign(ProcessPart::Entry)?;
        let addresses: Vec<String> = entries.iter().map(|e| e.peer_address.to_string()).collect();
        // There is no control replica from which agents could get the configuration, so the shares are passed to them
        // directly.
        let rules = entries[0].rules();
        let shares: Vec<_> = rules
            .kinds
            .iter()
            .map(|(n, k)| (n.clone(), k.share))
            .collect();
        let mut agents = Vec::new();
        for i in 0..size.upstreams {
            let options = AgentOptions::new(format!("upstream-{i}"), any_port(), any_port())
                .with_entries(addresses.clone());
            let options = options.with_shares(shares.clone());
            agents.push(Agent::start(options, agent_runtime.handle())?);
        }
        threads.assign(ProcessPart::Agent)?;
        let mut upstreams = Vec::new();
        for agent in &agents {
            let handle = upstream_runtime.handle();
            upstreams.push(StandIn::start(
                any_port(),
                agent.http,
                size.slots,
                None,
                handle,
            )?);
        }
        let cluster = Cluster {
            threads,
            entries,
            agents,
            upstreams,
            runtimes: vec![entry_runtime, agent_runtime, upstream_runtime],
        };
        cluster.await_ready()?;
        Ok(cluster)
    }

    /// Returns the HTTP addresses of the entries.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.entries.iter().map(|e| e.http_address).collect()
    }

    /// Returns the number of tasks that were started, and of those that were started more than once.
    pub fn starts(&self) -> (u64, u64) {
        let mut all = std::collections::HashMap::new();
        for (start, count) in self.upstreams.iter().flat_map(StandIn::journal) {
            *all.entry(start).or_insert(0) += count;
        }
        let duplicates = all.values().filter(|&&n| n > 1).count();
        (all.len() as u64, duplicates as u64)
    }

    /// Returns the number of queued tasks at all entries.
    ///
    /// # Errors
    /// Fails when an entry does not answer.
    pub fn queued(&self) -> Result<u64> {
        let mut sum = 0;
        for entry in &self.entries {
            let status = get(&format!("http://{}/v1/status", entry.http_address))?.1;
            sum += status["queued"].as_u64().unwrap_or(0);
        }
        Ok(sum)
    }

    /// Stops everything at once; jobs in progress are lost.
    pub fn stop(self) {
        self.upstreams.iter().for_each(StandIn::stop);
        self.entries.into_iter().for_each(Entry::kill);
        self.agents.into_iter().for_each(Agent::kill);
        for runtime in self.runtimes {
            runtime.shutdown_background();
        }
    }

    fn await_ready(&self) -> Result<()> {
        let start = Instant::now();
        for entry in &self.entries {
            while !is_ready(entry.http_address, self.agents.len())? {
                if start.elapsed() > START_TIMEOUT {
                    let text = format!("step start, entry {}: not ready", entry.http_address);
                    return Err(text.into());
                }
                thread::sleep(Duration::from_millis(20));
            }
        }
        Ok(())
    }
}

fn start_entries(count: u16, runtime: &Runtime) -> Result<Vec<Entry<Serving>>> {
    let mut rules = Rules::default()
        .with_team(TEAM, TEAM_QUOTA)
        .with_team(FLOOD_TEAM, TEAM_QUOTA);
    for kind in KINDS {
        rules = rules.with_kind(kind.name, kind.weight, kind.urgency, kind.deadline);
    }
    rules.claim_limits.max_skew = MAX_SKEW;
    let listens = free_addresses(count)?;
    let mut entries = Vec::new();
    for (i, &listen) in listens.iter().enumerate() {
        let peers = listens
            .iter()
            .enumerate()
            .filter(|&(j, _)| j != i)
            .map(|(j, address)| (EntryId(j as u16), address.to_string()))
            .collect();
        let options = EntryOptions::new(EntryId(i as u16), any_port(), listen)
            .with_peers(peers)
            .with_rules(rules.clone());
        entries.push(Entry::start(options, runtime.handle())?);
    }
    Ok(entries)
}

/// Returns free loopback addresses. Entries need the addresses of their peers before they start.
fn free_addresses(count: u16) -> Result<Vec<SocketAddr>> {
    let listeners: std::io::Result<Vec<TcpListener>> =
        (0..count).map(|_| TcpListener::bind(any_port())).collect();
    let addresses: std::io::Result<Vec<SocketAddr>> =
        listeners?.iter().map(TcpListener::local_addr).collect();
    Ok(addresses?)
}

fn runtime(name: &str) -> Result<Runtime> {
    let runtime = Builder::new_multi_thread()
        .worker_threads(RUNTIME_THREADS)
        .thread_name(name)
        .enable_all()
        .build()?;
    Ok(runtime)
}

fn is_ready(entry: SocketAddr, agents: usize) -> Result<bool> {
    let (ready, _) = get(&format!("http://{entry}/readyz"))?;
    let (_, status) = get(&format!("http://{entry}/v1/status"))?;
    let known = status["agents"].as_array().map_or(0, Vec::len);
    Ok(ready == 200 && known >= agents)
}

fn get(url: &str) -> Result<(u16, Value)> {
    let agent: ureq::Agent = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .build()
        .into();
    let mut response = agent
        .get(url)
        .call()
        .map_err(|e| format!("step get, peer {url}: {e}"))?;
    let status = response.status().as_u16();
    let body = response.body_mut().read_to_vec()?;
    Ok((status, serde_json::from_slice(&body).unwrap_or(Value::Null)))
}

fn any_port() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}
