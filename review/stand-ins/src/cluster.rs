//! A small deployment on loopback: the project's own programs as separate processes, with the commands of the deploy
//! file, and stand-in runners beside the agents.

use std::{
    fs::{self, File},
    net::{Ipv4Addr, SocketAddr, TcpListener},
    path::PathBuf,
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use serde_json::{Value, json};

use crate::{
    http::{self, Call, Response},
    record::Record,
    worker::{self, SERVICE, Worker},
};

/// Number of edge machines with a disk.
pub const DISKS: usize = 3;
/// Number of edge machines.
pub const EDGES: usize = 4;
/// Host name of all routes.
pub const HOST: &str = "desk.example";
/// First internal port, as an offset from the base port of the deployment.
const INTERNAL_PORT_OFFSET: u16 = 20;
/// Port of the metrics in the deploy file.
const METRICS_PORT: u16 = 9_464;
/// How long the deployment may take until it is ready.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Result of a step that can make a case impossible to run.
pub type Result<T> = std::result::Result<T, String>;

/// A queue of the configuration.
#[derive(Clone)]
pub struct Route {
    pub prefix: &'static str,
    pub priority: u8,
    pub max_attempts: u32,
}

/// The machines, numbered from 0: edge machines with a disk, edge machines without one, then those of the runners.
pub struct Cluster {
    folder: PathBuf,
    subnet: u8,
    base_port: u16,
    sides: usize,
    processes: Vec<Option<Child>>,
    pub workers: Vec<Worker>,
    pub record: Record,
    version: u64,
}

impl Cluster {
    /// Starts the deployment with `sides` runners and waits until it serves the configuration.
    pub fn start(sides: usize, routes: &[Route], record: &Record) -> Result<Cluster> {
        let nanos = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap()
            .as_nanos();
        let folder =
            std::env::temp_dir().join(format!("figdeal-review-{}-{nanos}", std::process::id()));
        fs::create_dir_all(&folder).map_err(|e| e.to_string())?;
        let mut cluster = Cluster {
            folder,
            subnet: 0,
            base_port: 0,
            sides,
            processes: Vec::new(),
            workers: Vec::new(),
            record: record.clone(),
            version: 0,
        };
        cluster.choose_addresses(nanos)?;
        for n in 0..sides {
            let machine = EDGES + n;
            let (app, control) = (cluster.address(machine, 5), cluster.address(machine, 6));
            cluster
                .workers
                .push(Worker::start(n, app, control, record).map_err(|e| e.to_string())?);
        }
        for machine in 0..EDGES + sides {
            cluster.processes.push(None);
            cluster.start_process(machine, true)?;
        }
        cluster.wait_until_ready(routes)?;
        Ok(cluster)
    }

    /// Chooses a block of loopback addresses and ports that are free.
    fn choose_addresses(&mut self, seed: u128) -> Result<()> {
        for attempt in 0..50 {
            let number = seed / 1_000 + attempt * 7;
            self.subnet = 16 + (number % 200) as u8;
            self.base_port = 19_000 + 40 * ((number / 200) % 200) as u16;
            let ports = [
                0,
                1,
                5,
                6,
                7,
                INTERNAL_PORT_OFFSET,
                INTERNAL_PORT_OFFSET + 1,
            ];
            let machines = 0..EDGES + self.sides;
            let mut addresses: Vec<SocketAddr> = machines
                .clone()
                .flat_map(|m| ports.map(|port| self.address(m, port)))
                .collect();
            addresses
                .extend(machines.map(|m| SocketAddr::new(self.address(m, 0).ip(), METRICS_PORT)));
            if addresses
                .iter()
                .all(|address| TcpListener::bind(address).is_ok())
            {
                return Ok(());
            }
        }
        Err("no free block of loopback addresses".to_owned())
    }

    fn address(&self, machine: usize, offset: u16) -> SocketAddr {
        let ip = Ipv4Addr::new(127, 0, self.subnet, machine as u8 + 1);
        SocketAddr::from((ip, self.base_port + offset))
    }

    fn write_settings(&self, machine: usize, bootstrap: bool) -> Result<PathBuf> {
        let internal = self.base_port + INTERNAL_PORT_OFFSET;
        let seeds: Vec<String> = (0..DISKS)
            .map(|m| format!("\"{}\"", self.address(m, 6)))
            .collect();
        let zones = ["tamarindo", "nosara", "montezuma"];
        let is_edge = machine < EDGES;
        let (role, serves) = match is_edge {
            true => ("queue", "[\"edge\",\"control_plane\"]"),
            false => ("agent", "[\"side\"]"),
        };
        let class = if is_edge { "edge" } else { "side" };
        let mut text = format!(
            "node_name = \"{class}-{machine}\"\nrole = \"{role}\"\nmachine_class = \"{class}\"\nserves = {serves}\n\
             ip = \"{}\"\nzone = \"{}\"\nregion = \"cr-pacifico\"\ninternal_ports = [{internal},{}]\nseeds = [{}]\n\
             bootstrap = {bootstrap}\nin_failure_budget = {}\ndiscovery = \"local\"\nentry = \"virtual_ip\"\n\
             heartbeat_ms = 1500\ncontracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"sched\"]\n\
             config_mode = \"highest\"\norders = \"call\"\n",
            self.address(machine, 0).ip(),
            zones[machine % 3],
            internal + 15,
            seeds.join(","),
            machine < DISKS,
        );
        if machine < DISKS {
            let data = self.folder.join(format!("data-{machine}"));
            text += &format!("data_directory = {data:?}\n");
        }
        if !is_edge {
            text += &format!("app = \"{}\"\n", self.address(machine, 5));
        }
        text += &format!("[listen]\ncontrol = \"{}\"\n", self.address(machine, 6));
        if is_edge {
            text += &format!(
                "front = \"{}\"\nready = \"{}\"\n",
                self.address(machine, 1),
                self.address(machine, 7)
            );
        }
        text += "[fault_tolerance]\nmachines = 1\nzones = 0\nregions = 0\n\
                 [bounds]\ncontact_window_ms = 3000\nack_timeout_ms = 4000\ngrace_s = 6\nconfig_apply_ms = 2000\n\
                 max_hold_ms = 1000\nstop_ms = 50\ncancel_ms = 3000\nvisible_ms = 3000\nfinish_s = 14\nresend_ms = 1300\n";
        let path = self.folder.join(format!("settings-{machine}.toml"));
        fs::write(&path, text).map_err(|e| e.to_string())?;
        Ok(path)
    }

    /// Starts the process of a machine with the command of the deploy file.
    pub fn start_process(&mut self, machine: usize, bootstrap: bool) -> Result<()> {
        let settings = self.write_settings(machine, bootstrap)?;
        let log = self.folder.join(format!("machine-{machine}.log"));
        let log = File::options()
            .create(true)
            .append(true)
            .open(log)
            .map_err(|e| e.to_string())?;
        let (program, argument) = match machine < EDGES {
            true => ("target/release/figdeal", "queue"),
            false => ("target/release/figdeal-agent", "--queue"),
        };
        let child = Command::new(program)
            .arg(argument)
            .env("FIGDEAL_BOOT", settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().map_err(|e| e.to_string())?)
            .stderr(log)
            .spawn()
            .map_err(|e| format!("{program} does not start: {e}"))?;
        self.record.line(format!(
            "process of machine {machine} started, bootstrap {bootstrap}"
        ));
        self.processes[machine] = Some(child);
        Ok(())
    }

    /// Kills the process of a machine.
    pub fn kill(&mut self, machine: usize) {
        if let Some(mut child) = self.processes[machine].take() {
            // The process may have ended by itself.
            let _ = child.kill();
            let _ = child.wait();
            self.record
                .line(format!("process of machine {machine} killed"));
        }
    }

    /// Sends SIGTERM to the process of a machine.
    pub fn terminate(&self, machine: usize) -> Result<()> {
        let child = self.processes[machine]
            .as_ref()
            .ok_or("no process to end")?;
        let status = Command::new("kill")
            .args(["-TERM", &child.id().to_string()])
            .status()
            .map_err(|e| e.to_string())?;
        self.record
            .line(format!("SIGTERM to the process of machine {machine}"));
        match status.success() {
            true => Ok(()),
            false => Err("SIGTERM was not sent".to_owned()),
        }
    }

    /// Returns how the process of a machine ended, if it did so by itself.
    pub fn own_end(&mut self, machine: usize) -> Option<String> {
        let child = self.processes[machine].as_mut()?;
        let status = child.try_wait().ok()??;
        self.processes[machine] = None;
        Some(status.to_string())
    }

    /// Returns the last line with `text` in the output of a machine's processes, without what precedes it.
    pub fn logged(&self, machine: usize, text: &str) -> Option<String> {
        let log = fs::read_to_string(self.folder.join(format!("machine-{machine}.log"))).ok()?;
        let line = log.lines().rfind(|line| line.contains(text))?;
        Some(line[line.find(text)?..].to_owned())
    }

    /// Returns the edge machine whose metrics show jobs, which only a leader has.
    pub fn leader_with_jobs(&self) -> Option<usize> {
        (0..DISKS).find(|machine| {
            let to = SocketAddr::new(self.address(*machine, 0).ip(), METRICS_PORT);
            let timeout = Duration::from_millis(300);
            let call = Call {
                to,
                method: "GET",
                host: "metrics",
                path: "/metrics",
                body: "",
                timeout,
            };
            let metrics = http::call(&call)
                .map(|answer| answer.body)
                .unwrap_or_default();
            let jobs = metrics
                .lines()
                .find_map(|line| line.strip_prefix("figdeal_queue_jobs "));
            jobs.and_then(|jobs| jobs.trim().parse::<f64>().ok())
                .is_some_and(|jobs| jobs > 0.0)
        })
    }

    /// Sends a request of a client to an edge machine.
    pub fn client(
        &self,
        machine: usize,
        method: &str,
        path: &str,
        body: &str,
        timeout: Duration,
    ) -> Option<Response> {
        let to = self.address(machine, 1);
        http::call(&Call {
            to,
            method,
            host: HOST,
            path,
            body,
            timeout,
        })
    }

    /// Returns the address for clients of an edge machine.
    pub fn front(&self, machine: usize) -> SocketAddr {
        self.address(machine, 1)
    }

    /// Sends a configuration with these routes to a machine until one acknowledges it.
    pub fn configure(&mut self, routes: &[Route], first: usize) -> Result<()> {
        self.version += 1;
        let version = self.version;
        let body = config(version, routes);
        let start = Instant::now();
        let mut machine = first;
        while start.elapsed() < START_TIMEOUT {
            let to = self.address(machine % EDGES, 6);
            let timeout = Duration::from_secs(1);
            let call = Call {
                to,
                method: "PUT",
                host: "control",
                path: "/figdeal/config",
                body: &body,
                timeout,
            };
            let status = http::call(&call).map(|r| r.status);
            if status == Some(200) {
                self.record.line(format!(
                    "configuration {version} acknowledged by machine {}",
                    machine % EDGES
                ));
                return Ok(());
            }
            machine += 1;
            thread::sleep(Duration::from_millis(50));
        }
        Err("no configuration was acknowledged".to_owned())
    }

    /// Waits until the configuration is acknowledged, all edge machines are ready and each runner has run a task.
    fn wait_until_ready(&mut self, routes: &[Route]) -> Result<()> {
        self.configure(routes, 0)?;
        let start = Instant::now();
        let mut number = 0xffff_0000_0000_0000_u64;
        while start.elapsed() < START_TIMEOUT {
            let ready = (0..EDGES).all(|machine| {
                let to = self.address(machine, 7);
                let timeout = Duration::from_secs(1);
                let (host, path) = ("ready", "/figdeal/readiness");
                http::call(&Call {
                    to,
                    method: "GET",
                    host,
                    path,
                    body: "",
                    timeout,
                })
                .is_some_and(|r| r.status == 200)
            });
            // Tasks of more than half a runner find out which runners take part.
            number += 1;
            let needed = worker::CAPACITY * 5 / 8;
            let probe = job(20, self.workers.len() as u64, needed, 20, true).to_string();
            let path = format!("{}{number:016x}", routes[0].prefix);
            let done = self.client(0, "POST", &path, &probe, Duration::from_millis(1_500));
            let all_ran = self
                .workers
                .iter()
                .all(|worker| !worker.starts().is_empty());
            if ready && all_ran && done.is_some_and(|r| r.status == 200) {
                self.record.line("the deployment is ready");
                return Ok(());
            }
            thread::sleep(Duration::from_millis(200));
        }
        Err("the deployment is not ready in time".to_owned())
    }

    /// Ends all processes and removes the folder. With `REVIEW_KEEP` set, the output of the processes is kept.
    pub fn stop(mut self) {
        for machine in 0..self.processes.len() {
            self.kill(machine);
        }
        match std::env::var_os("REVIEW_KEEP") {
            Some(_) => eprintln!("output of the processes: {}", self.folder.display()),
            None => drop(fs::remove_dir_all(&self.folder)),
        }
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for child in self.processes.iter_mut().flatten() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Returns a configuration with these routes.
fn config(version: u64, routes: &[Route]) -> String {
    let routes = routes.iter().map(|route| {
        json!({
            "name": format!("r{}", route.prefix.replace('/', "-")), "host": HOST, "path_prefix": route.prefix,
            "kind": "non_idempotent", "timeout_ms": 1500, "target_duration_ms": 60, "priority": route.priority,
            "service": SERVICE, "max_attempts": route.max_attempts, "stretch": 1.6,
        })
    });
    json!({
        "version": version, "routes": routes.collect::<Vec<_>>(),
        "services": [{"name": SERVICE, "health_path": "/health", "max_connections": 64, "protocol": "h1", "tls": false,
                      "enforces_capacity": false, "spare": false}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000,
                   "idle_timeout_ms": 15000},
    })
    .to_string()
}

/// Returns a job of one step: `count` tasks that take `length_ms`, which the caller estimates as `estimated_ms`.
pub fn job(length_ms: u64, count: u64, cpu: u64, estimated_ms: u64, best_effort: bool) -> Value {
    let step = json!({"count": count, "cpu": cpu, "mem_mb": 64, "estimated_ms": estimated_ms});
    let mut job = json!({"specification": format!("ms={length_ms}"), "steps": [step]});
    if best_effort {
        job["best_effort"] = json!(true);
    }
    job
}
