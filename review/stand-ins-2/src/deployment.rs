//! A small deployment on loopback: the programs of the deploy file as separate processes, each machine with its own
//! address, and the operator.

use std::{
    fs::{self, File},
    net::{Ipv4Addr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::Mutex,
    thread,
    time::{Duration, Instant},
};

use serde_json::{Value, json};

use crate::{
    http,
    record::Record,
    runner::{Offer, Runner},
};

const METRICS_PORT: u16 = 9464;
const START_TIMEOUT: Duration = Duration::from_secs(20);
const ZONES: [&str; 3] = ["tamarindo", "nosara", "montezuma"];
/// Name of the only service.
pub const SERVICE: &str = "order-desk";
/// Host of all routes.
pub const HOST: &str = "desk.example";
/// Prefix of the queue with the highest priority.
pub const PREFIX: &str = "/orders/";
/// Prefix of the queue with the lowest priority.
pub const LOW_PREFIX: &str = "/seals/";

/// Processes that the script has started and that have not ended.
static PROCESSES: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Kills all processes that the script has started.
pub fn kill_all() {
    for pid in PROCESSES.lock().unwrap().drain(..) {
        // The process may already have ended.
        let _ = Command::new("kill")
            .args(["-KILL", &pid.to_string()])
            .status();
    }
}

fn forget_process(pid: u32) {
    PROCESSES.lock().unwrap().retain(|p| *p != pid);
}

/// Addresses of one machine.
#[derive(Debug, Clone, Copy)]
pub struct Machine {
    ip: Ipv4Addr,
    base_port: u16,
}

impl Machine {
    fn at(self, offset: u16) -> SocketAddr {
        SocketAddr::from((self.ip, self.base_port + offset))
    }

    pub fn front(self) -> SocketAddr {
        self.at(20)
    }

    pub fn ready(self) -> SocketAddr {
        self.at(21)
    }

    pub fn control(self) -> SocketAddr {
        self.at(22)
    }

    pub fn app(self) -> SocketAddr {
        self.at(23)
    }

    /// Address of a service that does not answer.
    fn unused(self) -> SocketAddr {
        self.at(24)
    }

    fn is_free(self) -> bool {
        let ports = (0..25).map(|offset| self.at(offset).port());
        let mut ports = ports.chain([METRICS_PORT]);
        ports.all(|port| TcpListener::bind((self.ip, port)).is_ok())
    }
}

/// Number of machines of each class.
#[derive(Debug, Clone, Copy)]
pub struct Size {
    /// `edge` machines with a disk.
    pub disks: usize,
    /// All `edge` machines.
    pub nodes: usize,
}

/// The running deployment. All its processes are killed when it is dropped.
#[derive(Debug)]
pub struct Deployment {
    size: Size,
    machines: Vec<Machine>,
    folder: PathBuf,
    processes: Vec<Option<Child>>,
    /// Runner `n` is on machine `size.nodes + n`.
    pub runners: Vec<Runner>,
    pub record: Record,
}

impl Deployment {
    /// Starts all programs and runners, and returns once they work together under configuration 1.
    pub fn start(size: Size, offers: Vec<Offer>, record: &Record) -> Deployment {
        let count = size.nodes + offers.len();
        let machines = free_machines(count);
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("the temporary folder can be created");
        let mut deployment = Deployment {
            size,
            machines,
            folder,
            processes: Vec::new(),
            runners: Vec::new(),
            record: record.clone(),
        };
        for machine in 0..count {
            deployment.processes.push(None);
            deployment.start_process(machine, true);
        }
        for (n, offer) in offers.into_iter().enumerate() {
            let machine = deployment.machines[size.nodes + n];
            let runner = Runner::start(offer, machine.app(), machine.control(), record);
            deployment.runners.push(runner);
        }
        deployment.wait_until("all nodes are ready", |d| {
            (0..size.nodes).all(|n| d.is_ready(n))
        });
        let config = config(1).to_string();
        deployment.wait_until("configuration 1 is acknowledged", |d| {
            d.put_config(0, config.as_bytes()) == Some(200)
        });
        deployment.wait_until("all runners have a lease", |d| {
            d.runners.iter().all(Runner::has_lease)
        });
        // The next liveness report and poll of each runner have been processed by then.
        thread::sleep(Duration::from_secs(2));
        record.write("the deployment is up");
        deployment
    }

    fn wait_until(&self, what: &str, condition: impl Fn(&Deployment) -> bool) {
        let end = Instant::now() + START_TIMEOUT;
        while !condition(self) {
            assert!(
                Instant::now() < end,
                "the deployment does not start: {what}"
            );
            thread::sleep(Duration::from_millis(50));
        }
    }

    /// Starts the process of a machine, the first time with `bootstrap`.
    pub fn start_process(&mut self, machine: usize, bootstrap: bool) {
        let settings = self.write_settings(machine, bootstrap);
        let (program, argument) = match machine < self.size.nodes {
            true => ("target/release/figdeal", "queue"),
            false => ("target/release/figdeal-agent", "--queue"),
        };
        let log = self.folder.join(format!("machine-{machine}.log"));
        let open = || File::options().create(true).append(true).open(&log);
        let child = Command::new(program)
            .arg(argument)
            .env("FIGDEAL_BOOT", settings)
            .stdout(Stdio::from(open().expect("the log can be written")))
            .stderr(Stdio::from(open().expect("the log can be written")))
            .spawn()
            .unwrap_or_else(|e| panic!("{program} cannot be started: {e}"));
        self.record.write(format!(
            "process of machine {machine} started pid={}",
            child.id()
        ));
        PROCESSES.lock().unwrap().push(child.id());
        self.processes[machine] = Some(child);
    }

    /// Sends a signal such as `STOP` to the process of a machine.
    pub fn signal(&self, machine: usize, signal: &str) {
        let child = self.processes[machine].as_ref().expect("a process runs");
        let status = Command::new("kill")
            .args([format!("-{signal}"), child.id().to_string()])
            .status();
        assert!(
            status.is_ok_and(|s| s.success()),
            "signal {signal} was not sent"
        );
        self.record
            .write(format!("signal {signal} sent to machine {machine}"));
    }

    /// Kills the process of a machine with SIGKILL.
    pub fn kill(&mut self, machine: usize) {
        self.signal(machine, "KILL");
        if let Some(mut child) = self.processes[machine].take() {
            child.wait().expect("the process has ended");
            forget_process(child.id());
        }
    }

    /// Number of the machine beside which a runner runs.
    pub fn machine_of_runner(&self, runner: usize) -> usize {
        self.size.nodes + runner
    }

    fn is_ready(&self, node: usize) -> bool {
        let timeout = Duration::from_secs(1);
        let address = self.machines[node].ready();
        let answer = http::exchange(address, "GET", HOST, "/figdeal/readiness", timeout, b"");
        answer.is_ok_and(|(status, _)| status == 200)
    }

    /// Sends a configuration to a node as the operator.
    pub fn put_config(&self, node: usize, body: &[u8]) -> Option<u16> {
        let address = self.machines[node].control();
        let timeout = Duration::from_secs(2);
        let answer = http::exchange(address, "PUT", HOST, "/figdeal/config", timeout, body);
        let status = answer.ok().map(|(status, _)| status);
        self.record.write(format!(
            "operator PUT config bytes={} to node {node} -> {status:?}",
            body.len()
        ));
        status
    }

    /// Reads the configuration as the operator.
    pub fn get_config(&self, node: usize) -> Option<(u16, Vec<u8>)> {
        let address = self.machines[node].control();
        let timeout = Duration::from_secs(2);
        let answer = http::exchange(address, "GET", HOST, "/figdeal/config", timeout, b"").ok();
        let status = answer.as_ref().map(|(status, _)| *status);
        self.record.write(format!(
            "operator GET config from node {node} -> {status:?}"
        ));
        answer
    }

    /// Sends a client's call to a node and returns the status and body of the response. `rest` is a path, or what
    /// follows [`PREFIX`].
    pub fn call(
        &self,
        node: usize,
        method: &str,
        rest: &str,
        deadline: Duration,
        body: &str,
    ) -> Option<(u16, String)> {
        let address = self.machines[node].front();
        let path = match rest.starts_with('/') {
            true => rest.to_owned(),
            false => format!("{PREFIX}{rest}"),
        };
        self.record.write(format!(
            "client {method} {path} to node {node} {}",
            shorten(body)
        ));
        let answer = http::exchange(address, method, HOST, &path, deadline, body.as_bytes());
        let answer = answer.ok().map(|(status, body)| {
            let body = String::from_utf8_lossy(&body).into_owned();
            (status, body)
        });
        self.record
            .write(format!("client {method} {path} -> {answer:?}"));
        answer
    }

    /// Submits a stored job and returns whether it was accepted.
    pub fn submit(&self, node: usize, id: &str, job: &Value) -> bool {
        let deadline = Duration::from_millis(1_500);
        let answer = self.call(node, "POST", id, deadline, &job.to_string());
        answer.is_some_and(|(status, _)| status == 200)
    }

    /// Returns the state of a job, if a node tells it.
    pub fn state(&self, node: usize, id: &str) -> Option<String> {
        let (status, body) = self.call(node, "GET", id, Duration::from_millis(1_500), "")?;
        let body: Value = serde_json::from_str(&body).ok()?;
        let state = body.get("state")?.as_str()?.to_owned();
        (status == 200).then_some(state)
    }

    fn write_settings(&self, machine: usize, bootstrap: bool) -> PathBuf {
        let own = self.machines[machine];
        let is_node = machine < self.size.nodes;
        let has_disk = machine < self.size.disks;
        let zone = ZONES[machine % ZONES.len()];
        let seeds = self.machines[..self.size.nodes].iter().take(3);
        let seeds = seeds.map(|m| format!("\"{}\"", m.control()));
        let (role, class, serves, share) = match is_node {
            true => ("queue", "edge", "\"edge\",\"control_plane\"", 0.5),
            false => ("agent", "side", "\"side\"", 0.15),
        };
        let mut text = format!(
            "node_name = \"{class}-{zone}-{machine}\"\nrole = \"{role}\"\nmachine_class = \"{class}\"\n\
             serves = [{serves}]\nip = \"{}\"\nzone = \"{zone}\"\nregion = \"cr-pacifico\"\n\
             internal_ports = [{},{}]\nseeds = [{}]\nbootstrap = {bootstrap}\nin_failure_budget = {has_disk}\n",
            own.ip,
            own.base_port,
            own.base_port + 15,
            seeds.collect::<Vec<_>>().join(","),
        );
        if has_disk {
            let data = self.folder.join(format!("data-{machine}"));
            text += &format!("data_directory = {data:?}\n");
        }
        text += "discovery = \"local\"\nentry = \"virtual_ip\"\nheartbeat_ms = 1500\n\
                 contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"sched\",\"advice\",\"upkeep\",\"sharing\"]\n\
                 config_mode = \"highest\"\norders = \"call\"\n";
        if !is_node {
            text += &format!("app = \"{}\"\nservice = \"{SERVICE}\"\n", own.app());
        }
        text += &format!("advice = \"{}\"\n[zones]\n", own.unused());
        for zone in ZONES {
            text += &format!("{zone} = \"cr-pacifico\"\n");
        }
        text += "[listen]\n";
        if is_node {
            text += &format!("front = \"{}\"\nready = \"{}\"\n", own.front(), own.ready());
        }
        text += &format!("control = \"{}\"\n", own.control());
        text += &format!(
            "[limits]\ncpu_share = {share}\ncores = 1\nmemory_mb = 260\nfd_limit = 4100\nlink_mbps = 1000.0\n\
             disk_mb = 128\n[fault_tolerance]\nmachines = 1\nzones = 0\nregions = 0\n{BOUNDS}\
             [cloud]\naddress = \"{}\"\nrate_per_s = 60.0\nduties = []\nduty_per_s = 60.0\n",
            own.unused()
        );
        let path = self.folder.join(format!("settings-{machine}.toml"));
        let draft = path.with_extension("draft");
        fs::write(&draft, text).expect("the settings can be written");
        fs::rename(&draft, &path).expect("the settings can be renamed");
        path
    }
}

const BOUNDS: &str = "[bounds]\nseed_lag_s = 3\naddress_reuse_s = 2\ncontact_window_ms = 3000\n\
    ack_timeout_ms = 4000\ncatch_up_s = 4\ndrain_ms = 2000\ngrace_s = 6\nloss_slack_ms = 200\n\
    config_apply_ms = 2000\nrollback_slack_ms = 250\nmax_stretch_ms = 5000\nrecovery_s = 12\nmax_hold_ms = 1000\n\
    stop_ms = 50\ngang_timeout_ms = 3000\ncancel_ms = 3000\nvisible_ms = 3000\nearly_ms = 250\nfinish_s = 14\n\
    status_s = 120\nremote_factor = 1.5\ncheckpoint_interval_s = 0.5\nrestore_ms = 250\nnotice_ms = 4500\n\
    move_s = 1.5\nmaintenance_s = 2\nfencing_required = false\nlease_ms = 3000\nthaw_slack_ms = 300\npace_ms = 100\n\
    harm_ms = 4000\nresend_ms = 1300\n";

impl Drop for Deployment {
    fn drop(&mut self) {
        for child in self.processes.iter_mut().flatten() {
            // The process may already have ended.
            let _ = child.kill();
            let _ = child.wait();
            forget_process(child.id());
        }
        if std::env::var_os("REVIEW_KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// Finds loopback addresses on which all ports of the machines are free.
fn free_machines(count: usize) -> Vec<Machine> {
    let first = std::process::id() % 200;
    for attempt in 0..200 {
        let subnet = 20 + ((first + attempt) % 200) as u8;
        let machine = |n: usize| Machine {
            ip: Ipv4Addr::new(127, 1, subnet, n as u8 + 1),
            base_port: 21_000 + 40 * (attempt as u16),
        };
        let machines: Vec<Machine> = (0..count).map(machine).collect();
        if machines.iter().all(|m| m.is_free()) {
            return machines;
        }
    }
    panic!("no free loopback addresses");
}

/// Returns a configuration with the queues and the service of all scripts.
pub fn config(version: u64) -> Value {
    let route = |name: &str, prefix: &str, priority: u64| {
        json!({
            "name": name, "host": HOST, "path_prefix": prefix, "kind": "non_idempotent", "timeout_ms": 1500,
            "target_duration_ms": 60, "priority": priority, "service": SERVICE, "max_attempts": 4, "stretch": 1.6,
        })
    };
    json!({
        "version": version,
        "routes": [route("r-orders", PREFIX, 0), route("r-seals", LOW_PREFIX, 2)],
        "services": [{
            "name": SERVICE, "health_path": "/health", "max_connections": 64, "protocol": "h1", "tls": false,
            "enforces_capacity": false, "spare": false,
        }],
        "limits": {
            "max_header_bytes": 16_384, "max_body_bytes": 262_144, "header_timeout_ms": 3_000,
            "idle_timeout_ms": 15_000,
        },
    })
}

fn shorten(body: &str) -> String {
    body.chars().take(200).collect()
}

/// Returns the root of the repository, in which the programs are started.
pub fn enter_repository(root: &Path) {
    std::env::set_current_dir(root).expect("the repository exists");
}
