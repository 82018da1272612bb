//! The processes of a run on loopback: three entries with a control replica, one entry without a disk, and one agent.

use std::{
    fs,
    io::{BufRead, BufReader},
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use figdeal::{
    cli::Result,
    control_client::{Client, public_key, sign, to_control_bundle},
};
use figdeal_config::{Bundle, keys::PrivateKey};
use figdeal_control::{
    command::{Action, Answer, Command as Change},
    sign::{change_digest, change_message, reject_message},
    state::PendingChange,
    types::{Digest, RequestId},
};
use rand::{Rng, rngs::StdRng, seq::SliceRandom};
use tempfile::TempDir;

use crate::relay::{self, Network};

/// Number of control replicas.
pub const REPLICAS: usize = 3;
/// Index of the entry without a disk.
pub const DISKLESS: usize = 3;
/// Index of the agent.
pub const AGENT: usize = 4;
/// Number of processes.
pub const PROCESSES: usize = 5;
/// Target time within which an accepted change must be active at all processes.
pub const CHANGE_TARGET: Duration = Duration::from_secs(2);
/// Timeout of a command.
pub const COMMAND_TIMEOUT: Duration = Duration::from_secs(10);
/// Ports outside the range of ephemeral ports.
const PORT_RANGE: std::ops::Range<u16> = 20_000..30_000;
/// Interval between two announcements of an upstream.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(1);

/// An active version that a process has logged.
#[derive(Debug, Clone, Copy)]
pub struct ObservedVersion {
    pub at: Instant,
    /// Number of the start of the process, from 1.
    pub incarnation: u32,
    pub version: u64,
}

/// Observations from the log lines of a process.
#[derive(Debug, Default)]
pub struct Log {
    pub observed: Vec<ObservedVersion>,
    pub violations: Vec<String>,
    pub lines: Vec<String>,
}

impl Log {
    /// Parses a log line. The texts of the events E340, E341 and E212 must match those in the sources.
    fn record(&mut self, name: &str, incarnation: u32, is_persistent: bool, line: String) {
        let version = ["E340 starts on version ", "E341 version ", "E212 version "]
            .iter()
            .find_map(|mark| line.split_once(mark))
            .and_then(|(_, rest)| rest.split(' ').next()?.parse().ok());
        if let Some(version) = version {
            let previous = self
                .observed
                .last()
                .filter(|s| is_persistent || s.incarnation == incarnation);
            if let Some(previous) = previous.filter(|b| b.version > version) {
                self.violations.push(format!(
                    "{name} went from {} down to {version}",
                    previous.version
                ));
            }
            let at = Instant::now();
            self.observed.push(ObservedVersion {
                at,
                incarnation,
                version,
            });
        }
        if line.contains("panicked") {
            self.violations.push(format!("{name}: {line}"));
        }
        self.lines.push(line);
    }
}

#[derive(Debug)]
pub struct Process {
    name: String,
    program: PathBuf,
    settings: PathBuf,
    child: Option<Child>,
    incarnation: u32,
    pub started: Instant,
    pub log: Arc<Mutex<Log>>,
}

impl Process {
    fn start(&mut self) -> Result<u32> {
        assert!(self.child.is_none(), "the process is already running");
        self.incarnation += 1;
        let mut command = Command::new(&self.program);
        if self.name != "agent" {
            command.arg("entry");
        }
        let mut child = command
            .arg("--settings")
            .arg(&self.settings)
            .stderr(Stdio::piped())
            .spawn()?;
        self.started = Instant::now();
        let pid = child.id();
        let lines = BufReader::new(child.stderr.take().ok_or("no standard error")?).lines();
        let (log, name, incarnation) = (Arc::clone(&self.log), self.name.clone(), self.incarnation);
        let is_persistent = self.name.starts_with("replica");
        thread::spawn(move || {
            for line in lines.map_while(std::result::Result::ok) {
                log.lock()
                    .expect("lock")
                    .record(&name, incarnation, is_persistent, line);
            }
        });
        self.child = Some(child);
        Ok(pid)
    }

    fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // SIGKILL to this child only; it may have ended by itself.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Processes, keys and clients of one run.
#[derive(Debug)]
pub struct Cluster {
    pub folder: TempDir,
    pub network: Arc<Network>,
    pub processes: Vec<Mutex<Process>>,
    pub control: Vec<SocketAddr>,
    pub relays: Vec<SocketAddr>,
    pub http: Vec<SocketAddr>,
    pub keys: [PrivateKey; 2],
    program: PathBuf,
}

impl Cluster {
    /// Initialises the control replicas and starts all processes.
    pub fn start() -> Result<Cluster> {
        let folder = tempfile::tempdir()?;
        let program = built_program("figdeal")?;
        let ports = pick_ports(3 * PROCESSES + REPLICAS)?;
        let address = |i: usize| SocketAddr::from((Ipv4Addr::LOCALHOST, ports[i]));
        let http: Vec<_> = (0..PROCESSES).map(address).collect();
        let peer: Vec<_> = (PROCESSES..2 * PROCESSES).map(address).collect();
        let control: Vec<_> = (10..10 + REPLICAS).map(address).collect();
        let relays: Vec<_> = (15..15 + REPLICAS).map(address).collect();
        let network = Arc::new(Network::default());
        for (relay, target) in relays.iter().zip(&control) {
            relay::start(*relay, *target, Arc::clone(&network))?;
        }
        let keys = [PrivateKey::generate()?, PrivateKey::generate()?];
        let mut processes = Vec::new();
        for i in 0..PROCESSES {
            let name = match i {
                DISKLESS => "diskless".to_owned(),
                AGENT => "agent".to_owned(),
                i => format!("replica-{i}"),
            };
            let settings = folder.path().join(format!("{name}.toml"));
            fs::write(
                &settings,
                settings_text(i, folder.path(), &http, &peer, &control, &relays),
            )?;
            let program = match i {
                AGENT => built_program("figdeal-agent")?,
                _ => program.clone(),
            };
            processes.push(Mutex::new(Process {
                name,
                program,
                settings,
                child: None,
                incarnation: 0,
                started: Instant::now(),
                log: Arc::default(),
            }));
        }
        let cluster = Cluster {
            folder,
            network,
            processes,
            control,
            relays,
            http,
            keys,
            program,
        };
        cluster.init_replicas()?;
        for i in 0..PROCESSES {
            cluster.run(i)?;
        }
        cluster.wait_for_listeners()?;
        announce(cluster.http[AGENT]);
        Ok(cluster)
    }

    fn wait_for_listeners(&self) -> Result<()> {
        let start = Instant::now();
        for address in self.control.iter().chain(&self.http) {
            while TcpStream::connect(address).is_err() {
                if start.elapsed() > COMMAND_TIMEOUT {
                    return Err(format!("nothing listens on {address}").into());
                }
                thread::sleep(Duration::from_millis(5));
            }
        }
        Ok(())
    }

    /// Returns `ID@ADDRESS` of the replica in a data folder, with the address of its relay.
    pub fn member(&self, i: usize) -> Result<String> {
        let out = self.command(&["control", "id", "--settings", &self.settings(i)])?;
        let (id, _) = out.trim().split_once('@').ok_or("no identity")?;
        Ok(format!("{id}@{}", self.relays[i]))
    }

    /// Like [`Cluster::member`], for a running replica that is not a member: takes the id from the warning it logged at
    /// its start.
    pub fn member_of_running(&self, i: usize) -> Result<String> {
        let log = Arc::clone(&self.process(i).log);
        let log = log.lock().expect("lock");
        let id = log.lines.iter().rev().find_map(|line| {
            let (_, rest) = line.split_once("replica ")?;
            rest.split_once(" is not a member").map(|(id, _)| id)
        });
        Ok(format!(
            "{}@{}",
            id.ok_or("no identity in the log")?,
            self.relays[i]
        ))
    }

    fn init_replicas(&self) -> Result<()> {
        let members: Vec<String> = (0..REPLICAS)
            .map(|i| self.member(i))
            .collect::<Result<_>>()?;
        for i in 0..REPLICAS {
            let settings = self.settings(i);
            let owners: Vec<String> = self.keys.iter().map(|k| k.public().to_string()).collect();
            let mut args = vec!["control", "init", "--settings", &settings];
            for owner in &owners {
                args.extend(["--owner", owner]);
            }
            for member in &members {
                args.extend(["--member", member]);
            }
            self.command(&args)?;
        }
        Ok(())
    }

    fn settings(&self, i: usize) -> String {
        self.process(i).settings.display().to_string()
    }

    /// Runs a `figdeal` command and returns its output.
    pub fn command(&self, args: &[&str]) -> Result<String> {
        let out = Command::new(&self.program).args(args).output()?;
        if out.status.success() {
            return Ok(String::from_utf8(out.stdout)?);
        }
        let error = String::from_utf8_lossy(&out.stderr);
        Err(format!("figdeal {}: {error}", args[..2].join(" ")).into())
    }

    pub fn process(&self, i: usize) -> std::sync::MutexGuard<'_, Process> {
        self.processes[i].lock().expect("lock")
    }

    pub fn run(&self, i: usize) -> Result<()> {
        let pid = self.process(i).start()?;
        self.network.sent(pid);
        if i < REPLICAS {
            self.network.set_target_pid(self.control[i], pid);
        }
        Ok(())
    }

    pub fn kill(&self, i: usize) {
        self.process(i).kill();
    }

    pub fn pid(&self, i: usize) -> u32 {
        self.process(i).child.as_ref().map_or(0, Child::id)
    }

    /// Deletes the data folder of a stopped process.
    pub fn delete_data(&self, i: usize) -> Result<()> {
        assert_eq!(self.pid(i), 0, "the process is not running");
        fs::remove_dir_all(self.folder.path().join(format!("data-{i}")))?;
        Ok(())
    }

    /// Returns the newest version that a process has logged since its last start.
    pub fn version(&self, i: usize) -> u64 {
        let process = self.process(i);
        let log = process.log.lock().expect("lock");
        let last = log
            .observed
            .last()
            .filter(|s| s.incarnation == process.incarnation);
        last.map_or(0, |s| s.version)
    }

    /// Waits until all `processes` have logged at least `version`; returns those that have not within `limit`.
    pub fn wait_for_version(
        &self,
        processes: &[usize],
        version: u64,
        limit: Duration,
    ) -> Vec<usize> {
        let start = Instant::now();
        loop {
            let mut late = processes.to_vec();
            late.retain(|&i| self.version(i) < version);
            if late.is_empty() || start.elapsed() > limit {
                return late;
            }
            thread::sleep(Duration::from_millis(2));
        }
    }

    /// Returns the violations found in the logs of all processes.
    pub fn violations(&self) -> Vec<String> {
        let logs = (0..PROCESSES).map(|i| Arc::clone(&self.process(i).log));
        logs.flat_map(|log| log.lock().expect("lock").violations.clone())
            .collect()
    }

    /// Returns a client that tries the replicas in random order.
    pub fn client(&self, rng: &mut StdRng) -> Client {
        let mut control = self.control.clone();
        control.shuffle(rng);
        Client::new(control, COMMAND_TIMEOUT)
    }

    /// Returns a client of one replica that does not retry.
    pub fn client_of(&self, i: usize) -> Client {
        Client::new(vec![self.control[i]], Duration::ZERO)
    }

    /// Proposes and signs change `number` through random replicas; returns its digest and the time of the answer.
    pub async fn change(&self, number: u64, rng: &mut StdRng) -> Result<(Digest, Instant)> {
        let (first, second) = (self.client(rng), self.client(rng));
        let digest = self.change_through(number, &first, &second, rng).await?;
        Ok((digest, Instant::now()))
    }

    /// Proposes a change through one client and signs it through another one.
    pub async fn change_through(
        &self,
        number: u64,
        first: &Client,
        second: &Client,
        rng: &mut StdRng,
    ) -> Result<Digest> {
        let bundle = bundle(number)?;
        let change = self.proposal(number, &bundle, 0, rng);
        let answer = first.command(change).await?;
        let digest = change_digest(number, &bundle, &None);
        if !matches!(&answer, Answer::Pending { digest: d, .. } if *d == digest) {
            return Err(format!("propose {number}: {answer:?}").into());
        }
        let change = self.signature(number, &bundle, 1, rng);
        match second.command(change).await? {
            Answer::Accepted { digest: d, .. } if d == digest => Ok(digest),
            other => Err(format!("sign {number}: {other:?}").into()),
        }
    }

    pub fn proposal(
        &self,
        number: u64,
        bundle: &figdeal_control::types::Bundle,
        owner: usize,
        rng: &mut StdRng,
    ) -> Change {
        let key = &self.keys[owner];
        let action = Action::Propose {
            number,
            bundle: bundle.clone(),
            author: public_key(&key.public()),
            new_keys: None,
            signature: Some(sign(key, &change_message(number, bundle, &None))),
        };
        let request = RequestId(rng.random());
        Change { request, action }
    }

    pub fn rejection(&self, pending: &PendingChange, rng: &mut StdRng) -> Change {
        let key = &self.keys[0];
        let message = reject_message(pending.number, &pending.digest, pending.request);
        let action = Action::Reject {
            number: pending.number,
            digest: pending.digest,
            signer: public_key(&key.public()),
            signature: sign(key, &message),
        };
        let request = RequestId(rng.random());
        Change { request, action }
    }

    pub fn signature(
        &self,
        number: u64,
        bundle: &figdeal_control::types::Bundle,
        owner: usize,
        rng: &mut StdRng,
    ) -> Change {
        let key = &self.keys[owner];
        let action = Action::Sign {
            number,
            digest: change_digest(number, bundle, &None),
            signer: public_key(&key.public()),
            signature: sign(key, &change_message(number, bundle, &None)),
        };
        let request = RequestId(rng.random());
        Change { request, action }
    }
}

/// Returns a valid configuration that differs for each `mark`.
pub fn bundle(mark: u64) -> Result<figdeal_control::types::Bundle> {
    const BASE: &str = include_str!("../../../../examples/kuorotee/base.toml");
    const SITE: &str = include_str!("../../../../examples/kuorotee/sites/hervanta.toml");
    let files = vec![
        (
            "base.toml".to_owned(),
            format!("{BASE}\n# change {mark}\n").into_bytes(),
        ),
        ("sites/hervanta.toml".to_owned(), SITE.as_bytes().to_vec()),
    ];
    Ok(to_control_bundle(&Bundle::new(files)?))
}

fn settings_text(
    i: usize,
    folder: &Path,
    http: &[SocketAddr],
    peer: &[SocketAddr],
    control: &[SocketAddr],
    relays: &[SocketAddr],
) -> String {
    let mut text = match i {
        AGENT => "name = \"upstream\"\n".to_owned(),
        i => format!("id = {i}\n"),
    };
    text += "data_centre = \"hervanta\"\n";
    text += &format!(
        "http_listen = \"{}\"\npeer_listen = \"{}\"\n",
        http[i], peer[i]
    );
    let list: Vec<String> = relays.iter().map(|r| format!("\"{r}\"")).collect();
    let list = list.join(", ");
    if i < REPLICAS {
        text += &format!("data_folder = {:?}\n", folder.join(format!("data-{i}")));
    } else if i == DISKLESS {
        text += &format!("control_vms = [{list}]\n");
    }
    for (id, address) in peer[..=DISKLESS].iter().enumerate() {
        text += &format!("[[entries]]\nid = {id}\naddress = \"{address}\"\n");
    }
    if i < REPLICAS {
        text += &format!(
            "[control]\non = true\nlisten = \"{}\"\nmembers = [{list}]\n",
            control[i]
        );
    }
    text
}

/// Announces an upstream to the agent, which then announces itself to the entries.
fn announce(agent: SocketAddr) {
    let body = serde_json::json!({ "address": "127.0.0.1:9", "slots": 8, "connections": 60,
        "kinds": ["reminder"], "size": 1, "data_centre": "hervanta" });
    thread::spawn(move || {
        loop {
            // The agent may be down; announcements are repeated anyway.
            let _ = ureq::post(format!("http://{agent}/v1/announce")).send(body.to_string());
            thread::sleep(ANNOUNCE_INTERVAL);
        }
    });
}

fn built_program(name: &str) -> Result<PathBuf> {
    let program = std::env::current_exe()?;
    let folder = program
        .parent()
        .and_then(Path::parent)
        .ok_or("no build folder")?;
    let path = folder.join(name);
    if !path.exists() {
        return Err(format!("build {name} first: cargo build --release --bins").into());
    }
    Ok(path)
}

/// Picks free ports. They do not depend on the seed, so that two runs with the same seed can share the machine.
fn pick_ports(count: usize) -> Result<Vec<u16>> {
    let mut ports = Vec::new();
    while ports.len() < count {
        let port = rand::rng().random_range(PORT_RANGE);
        if !ports.contains(&port) && TcpListener::bind((Ipv4Addr::LOCALHOST, port)).is_ok() {
            ports.push(port);
        }
    }
    Ok(ports)
}
