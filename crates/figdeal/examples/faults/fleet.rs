//! The processes of a run: entries, agents and upstreams, with their settings, logs and journals.

use std::{
    collections::HashMap,
    fmt::Write as _,
    fs,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    sync::{Arc, Mutex, PoisonError},
    thread,
    time::{Duration, Instant},
};

use figdeal_control::{
    store::{Version, frame},
    types::{Bundle, Digest, PublicKey},
};
use figdeal_core::time::UnixMillis;
use serde_json::Value;
use tempfile::TempDir;

use crate::{Result, process::Process, relay::Relay, summary::Summary};

/// Number of entries, as in the reference load.
pub(crate) const ENTRIES: usize = 3;
/// Number of upstreams, as in the reference load; each has an agent.
pub(crate) const UPSTREAMS: usize = 10;
/// Slots of each upstream.
pub(crate) const SLOTS: usize = 8;
/// Timeout for all entries to become ready and know all agents.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Value of `limits.max_skew`. An entry becomes ready twice this time after its start. It must exceed the delays of a
/// busy machine, because claims contain the time of the sender's clock.
const MAX_SKEW: &str = "500 ms";
/// Interval at which the entries are polled until they are ready.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Options of the processes, which depend on the scenario.
#[derive(Debug, Clone, Default)]
pub(crate) struct FleetOptions {
    /// Upstreams that fail every task at once.
    pub(crate) failing: Vec<usize>,
    /// Whether relays are placed in front of the entries and agents.
    pub(crate) is_relayed: bool,
}

/// Addresses of the processes.
#[derive(Debug)]
struct Addresses {
    entry_http: Vec<SocketAddr>,
    entry_peer: Vec<SocketAddr>,
    agent_http: Vec<SocketAddr>,
    agent_peer: Vec<SocketAddr>,
    upstream: Vec<SocketAddr>,
    /// Addresses under which other processes reach the entries; those of the relays if there are any.
    entry_address: Vec<SocketAddr>,
    /// Like `entry_address`, for the agents.
    agent_address: Vec<SocketAddr>,
}

/// Number of starts of each task, by the key of its submission and its index.
pub(crate) type Journal = HashMap<(String, u16), u32>;

/// All processes of a run.
#[derive(Debug)]
pub(crate) struct Fleet {
    pub(crate) entries: Vec<Process>,
    pub(crate) agents: Vec<Process>,
    pub(crate) upstreams: Vec<Process>,
    /// Relays in front of the entries, followed by those in front of the agents.
    pub(crate) relays: Vec<Relay>,
    folder: PathBuf,
    addresses: Addresses,
    /// Deleted by [`Fleet::stop`] and not on drop, because the thread that waits for signals keeps the fleet alive.
    temporary: Mutex<Option<TempDir>>,
}

impl Fleet {
    pub(crate) fn start(
        plan: FleetOptions,
        base_port: Option<u16>,
        keep: bool,
    ) -> Result<Arc<Fleet>> {
        let [figdeal, agent] = program_paths()?;
        let temporary = tempfile::Builder::new()
            .prefix("figdeal-faults-")
            .tempdir()?;
        let folder = temporary.path().to_owned();
        let temporary = match keep {
            true => {
                let kept = temporary.keep();
                eprintln!("faults: files are kept in {}", kept.display());
                None
            }
            false => Some(temporary),
        };
        let mut addresses = Addresses::pick(base_port)?;
        let relays = match plan.is_relayed {
            true => addresses.relay()?,
            false => Vec::new(),
        };
        let files = read_configuration()?;
        let file = |name: &str| folder.join(name).display().to_string();
        let mut entries = Vec::new();
        let mut agents = Vec::new();
        let mut upstreams = Vec::new();
        for i in 0..ENTRIES {
            let name = format!("entry-{i}");
            let data = folder.join(format!("{name}-data"));
            write_accepted_config(&data, &files)?;
            let settings = addresses.entry_settings(i, &data);
            fs::write(folder.join(format!("{name}.toml")), settings)?;
            let args = vec![
                "entry".to_owned(),
                "--settings".to_owned(),
                file(&format!("{name}.toml")),
            ];
            let log = folder.join(format!("{name}.log"));
            entries.push(Process::new(name, figdeal.clone(), args, log));
        }
        for i in 0..UPSTREAMS {
            let name = format!("agent-{i}");
            fs::write(
                folder.join(format!("{name}.toml")),
                addresses.agent_settings(i),
            )?;
            let args = vec!["--settings".to_owned(), file(&format!("{name}.toml"))];
            let log = folder.join(format!("{name}.log"));
            agents.push(Process::new(name, agent.clone(), args, log));

            let name = format!("upstream-{i}");
            let mut args = vec![
                "stand-in".to_owned(),
                "--listen".to_owned(),
                addresses.upstream[i].to_string(),
                "--agent".to_owned(),
                addresses.agent_http[i].to_string(),
                "--slots".to_owned(),
                SLOTS.to_string(),
                "--journal".to_owned(),
                file(&format!("{name}.journal")),
            ];
            if plan.failing.contains(&i) {
                args.push("--fail".to_owned());
            }
            let log = folder.join(format!("{name}.log"));
            upstreams.push(Process::new(name, figdeal.clone(), args, log));
        }
        let fleet = Fleet {
            entries,
            agents,
            upstreams,
            relays,
            folder,
            addresses,
            temporary: Mutex::new(temporary),
        };
        for process in fleet.processes() {
            process.start()?;
        }
        Ok(Arc::new(fleet))
    }

    /// Waits until every entry is ready and knows every agent.
    pub(crate) fn wait_ready(&self) -> Result<()> {
        let start = Instant::now();
        while start.elapsed() < READY_TIMEOUT {
            if (0..ENTRIES).all(|i| self.is_ready(i) && self.live_agents(i) == UPSTREAMS) {
                return Ok(());
            }
            thread::sleep(POLL_INTERVAL);
        }
        Err(format!("step start: entries are not ready after {READY_TIMEOUT:?}").into())
    }

    /// Returns the URL of a path at the HTTP interface of an entry.
    pub(crate) fn url(&self, entry: usize, path: &str) -> String {
        format!("http://{}{path}", self.addresses.entry_http[entry])
    }

    pub(crate) fn is_ready(&self, entry: usize) -> bool {
        get(&self.url(entry, "/readyz")).is_some_and(|(status, _)| status == 200)
    }

    fn live_agents(&self, entry: usize) -> usize {
        let Some((200, status)) = get(&self.url(entry, "/v1/status")) else {
            return 0;
        };
        let agents = status["agents"].as_array().map_or(&[][..], Vec::as_slice);
        agents.iter().filter(|a| a["live"] == true).count()
    }

    /// Returns the number of task starts in the journal of an upstream.
    pub(crate) fn starts(&self, upstream: usize) -> usize {
        self.read_journal(upstream).lines().count()
    }

    /// Returns the task starts at all upstreams.
    pub(crate) fn journal(&self) -> Journal {
        let mut journal = Journal::new();
        for upstream in 0..UPSTREAMS {
            for line in self.read_journal(upstream).lines() {
                let Some((submission, index)) = line.split_once(' ') else {
                    panic!("journal line {line:?} has no index");
                };
                let index = index.parse().expect("the index is a number");
                *journal.entry((submission.to_owned(), index)).or_default() += 1;
            }
        }
        journal
    }

    fn read_journal(&self, upstream: usize) -> String {
        // An upstream that has not started any task has no journal.
        fs::read_to_string(self.folder.join(format!("upstream-{upstream}.journal")))
            .unwrap_or_default()
    }

    /// Reports panics of the processes, which are violations in every scenario.
    pub(crate) fn check_logs(&self, summary: &mut Summary) {
        for process in self.processes() {
            let log = fs::read_to_string(&process.log).unwrap_or_default();
            for line in log.lines().filter(|l| l.contains("panicked at")) {
                summary.violation(format!("panic: {}: {line}", process.name));
            }
        }
    }

    pub(crate) fn stop(&self) {
        self.processes().for_each(Process::kill);
        let mut temporary = self
            .temporary
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *temporary = None;
    }

    fn processes(&self) -> impl Iterator<Item = &Process> {
        let upstreams = self.upstreams.iter();
        self.entries.iter().chain(&self.agents).chain(upstreams)
    }
}

impl Addresses {
    fn pick(base: Option<u16>) -> Result<Addresses> {
        let count = 2 * ENTRIES + 3 * UPSTREAMS;
        let listeners: Vec<TcpListener> = (0..count)
            .map(|i| {
                let port = base.map_or(0, |base| base + i as u16);
                TcpListener::bind((Ipv4Addr::LOCALHOST, port))
            })
            .collect::<std::io::Result<_>>()?;
        let mut free = listeners.iter().map(TcpListener::local_addr);
        let mut take = |n: usize| free.by_ref().take(n).collect::<std::io::Result<Vec<_>>>();
        let (entry_peer, agent_peer) = (take(ENTRIES)?, take(UPSTREAMS)?);
        Ok(Addresses {
            entry_http: take(ENTRIES)?,
            agent_http: take(UPSTREAMS)?,
            upstream: take(UPSTREAMS)?,
            entry_address: entry_peer.clone(),
            agent_address: agent_peer.clone(),
            entry_peer,
            agent_peer,
        })
    }

    fn relay(&mut self) -> Result<Vec<Relay>> {
        let addresses = self.entry_address.iter_mut().chain(&mut self.agent_address);
        addresses
            .map(|address| {
                let relay = Relay::start(*address)?;
                *address = relay.address;
                Ok(relay)
            })
            .collect()
    }

    fn entry_settings(&self, index: usize, data: &Path) -> String {
        let (http, peer) = (self.entry_http[index], self.entry_peer[index]);
        let mut text = format!(
            "id = {index}\ndata_centre = \"hervanta\"\nhttp_listen = \"{http}\"\npeer_listen = \"{peer}\"\n\
             control_vms = [\"127.0.0.1:1\"]\ndata_folder = \"{}\"\nlog_level = \"info\"\n",
            data.display()
        );
        self.write_entries(&mut text);
        text
    }

    fn agent_settings(&self, index: usize) -> String {
        let (http, peer) = (self.agent_http[index], self.agent_peer[index]);
        let address = self.agent_address[index];
        let mut text = format!(
            "name = \"rota-desk-{index}\"\ndata_centre = \"hervanta\"\nhttp_listen = \"{http}\"\n\
             peer_listen = \"{peer}\"\naddress = \"{address}\"\nlog_level = \"info\"\n"
        );
        self.write_entries(&mut text);
        text
    }

    fn write_entries(&self, text: &mut String) {
        for (id, address) in self.entry_address.iter().enumerate() {
            write!(text, "\n[[entries]]\nid = {id}\naddress = \"{address}\"\n")
                .expect("a string takes all text");
        }
    }
}

/// Returns the paths of the programs, which are one folder above the examples in the target folder.
fn program_paths() -> Result<[PathBuf; 2]> {
    let example = std::env::current_exe()?;
    let folder = example
        .parent()
        .and_then(Path::parent)
        .ok_or("step find programs: the example is not in a target folder")?;
    let programs = ["figdeal", "figdeal-agent"].map(|name| folder.join(name));
    if let Some(missing) = programs.iter().find(|p| !p.is_file()) {
        let missing = missing.display();
        let build = "cargo build --release -p figdeal -p figdeal-agent";
        return Err(
            format!("step find programs: {missing} is missing; build it with `{build}`").into(),
        );
    }
    Ok(programs)
}

/// Reads the configuration of the sample deployment and sets a small `max_skew`.
fn read_configuration() -> Result<Bundle> {
    let source = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/kuorotee");
    let limits = format!("[limits]\nmax_skew = \"{MAX_SKEW}\"");
    let mut files = Vec::new();
    for (name, bytes) in figdeal_config::Bundle::read(source)?.files() {
        let text = String::from_utf8(bytes.clone())?;
        let text = match name.as_str() {
            "base.toml" => text.replacen("[limits]", &limits, 1),
            _ => text,
        };
        files.push((name.clone(), text));
    }
    Ok(Bundle::new(files))
}

/// Writes the file with the last accepted configuration, from which an entry starts while no control replica is
/// reachable.
fn write_accepted_config(data: &Path, files: &Bundle) -> Result<()> {
    let version = Version {
        number: 1,
        digest: Digest::default(),
        bundle: files.clone(),
        signers: [PublicKey([0; 32]); 2],
        time: UnixMillis::now(),
    };
    let folder = data.join("entry");
    fs::create_dir_all(&folder)?;
    fs::write(
        folder.join("accepted"),
        frame(&(version, UnixMillis::now())),
    )?;
    Ok(())
}

fn get(url: &str) -> Option<(u16, Value)> {
    let agent = crate::caller::http_client(Duration::from_secs(2));
    let mut response = agent.get(url).call().ok()?;
    let status = response.status().as_u16();
    let text = response.body_mut().read_to_string().ok()?;
    Some((status, serde_json::from_str(&text).unwrap_or_default()))
}
