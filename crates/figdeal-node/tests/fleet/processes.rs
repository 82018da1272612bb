//! Runs nodes and agents as child processes on loopback, each with its own address.

use std::{
    fs::{self, File},
    net::{Ipv4Addr, SocketAddr},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
};

use tempfile::TempDir;

/// Environment variable with the role, with which the test program starts itself as a node or agent.
pub(crate) const ROLE_VARIABLE: &str = "FIGDEAL_TEST_ROLE";
/// Port on which nodes listen for other processes; agents use the next one.
const INTERNAL_PORT: u16 = 18_170;
/// Port on which processes listen when a proxy listens on the port for other processes.
const PROXIED_PORT: u16 = 18_175;
const CALLER_PORT: u16 = 18_161;
const CONTROL_PORT: u16 = 18_166;
const WORKER_PORT: u16 = 18_165;
/// Number of machines in the list of seeds.
const SEED_COUNT: u8 = 3;

/// Runs a node or agent if the parent process has set a role; does nothing otherwise.
pub(crate) fn become_child() {
    let Ok(role) = std::env::var(ROLE_VARIABLE) else {
        return;
    };
    let _output = figdeal_node::log_output::init();
    match role.as_str() {
        "queue" => figdeal_node::queue::run().unwrap(),
        _ => figdeal_node::agent::run().unwrap(),
    }
}

/// Roles and addresses of the machines. Nodes with a disk come first, then nodes without, then agents.
#[derive(Debug, Clone)]
pub(crate) struct Layout {
    /// Third byte of all addresses, different for each test so that their processes do not collide.
    pub(crate) subnet: u8,
    pub(crate) disks: u8,
    pub(crate) nodes: u8,
    pub(crate) folder: PathBuf,
    /// Whether proxies listen on the addresses for other processes.
    pub(crate) proxied: bool,
    /// Data centres that the settings list.
    pub(crate) data_centres: &'static [&'static str],
    /// Table `limits` of the settings; empty for the defaults.
    pub(crate) limits: String,
}

impl Layout {
    fn address(&self, machine: u8, port: u16) -> SocketAddr {
        SocketAddr::from((Ipv4Addr::new(127, 0, self.subnet, machine), port))
    }

    pub(crate) fn is_node(&self, machine: u8) -> bool {
        machine <= self.nodes
    }

    /// Address for callers.
    pub(crate) fn front(&self, machine: u8) -> SocketAddr {
        self.address(machine, CALLER_PORT)
    }

    /// Address for operators, or for the worker's heartbeats.
    pub(crate) fn control(&self, machine: u8) -> SocketAddr {
        self.address(machine, CONTROL_PORT)
    }

    /// Address at which the worker accepts calls.
    pub(crate) fn worker(&self, machine: u8) -> SocketAddr {
        self.address(machine, WORKER_PORT)
    }

    /// Address for other processes, and the address on which the process listens when a proxy listens on the first.
    pub(crate) fn internal(&self, machine: u8) -> (SocketAddr, SocketAddr) {
        let agent = u16::from(!self.is_node(machine));
        let own = self.address(machine, INTERNAL_PORT + agent);
        (own, self.address(machine, PROXIED_PORT))
    }

    /// Data folder of the machine.
    pub(crate) fn data(&self, machine: u8) -> PathBuf {
        self.folder.join(format!("data-{machine}"))
    }

    /// File for the output of the machine's processes.
    pub(crate) fn log(&self, machine: u8) -> PathBuf {
        self.folder.join(format!("machine-{machine}.log"))
    }

    /// Writes the settings file of a machine and returns its path.
    pub(crate) fn write_settings(&self, machine: u8, bootstrap: bool) -> PathBuf {
        let seeds = (1..=SEED_COUNT).map(|n| format!("\"{}\"", self.control(n)));
        let seeds = seeds.collect::<Vec<_>>().join(",");
        let mut text = format!(
            "node_name = \"m{machine}\"\nip = \"{}\"\nzone = \"z{}\"\ninternal_ports = [{INTERNAL_PORT}, {}]\n\
             seeds = [{seeds}]\nbootstrap = {bootstrap}\n",
            self.front(machine).ip(),
            machine % 4,
            INTERNAL_PORT + 10,
        );
        if machine <= self.disks {
            text += &format!("data_directory = {:?}\n", self.data(machine));
        }
        if !self.is_node(machine) {
            text += &format!("app = \"{}\"\n", self.worker(machine));
        }
        text += &format!("[listen]\ncontrol = \"{}\"\n", self.control(machine));
        if self.is_node(machine) {
            text += &format!("front = \"{}\"\n", self.front(machine));
        }
        if self.proxied {
            text += &format!("internal = \"{}\"\n", self.internal(machine).1);
        }
        text += "[fault_tolerance]\nmachines = 1\n[bounds]\nresend_ms = 1300\n[zones]\n";
        for name in self.data_centres {
            text += &format!("{name} = \"region\"\n");
        }
        text += &self.limits;
        let path = self.folder.join(format!("settings-{machine}.toml"));
        // Renamed into place, since a process may read the file at any time.
        let temporary = path.with_extension("new");
        fs::write(&temporary, text).unwrap();
        fs::rename(&temporary, &path).unwrap();
        path
    }
}

/// Folder for the data and the output of the processes of a test. It is kept if the test fails.
#[derive(Debug)]
pub(crate) struct RunFolder(Option<TempDir>);

impl RunFolder {
    pub(crate) fn new() -> RunFolder {
        RunFolder(Some(tempfile::tempdir().unwrap()))
    }

    pub(crate) fn path(&self) -> &Path {
        self.0
            .as_ref()
            .expect("the folder is there until the end")
            .path()
    }

    /// Keeps the folder and names it.
    pub(crate) fn keep(&mut self) {
        if let Some(folder) = self.0.take() {
            eprintln!("output of the processes: {}", folder.keep().display());
        }
    }
}

impl Drop for RunFolder {
    fn drop(&mut self) {
        if std::thread::panicking() {
            self.keep();
        }
    }
}

/// A child process that is killed when this value is dropped.
#[derive(Debug)]
pub(crate) struct Process(pub(crate) Child);

impl Process {
    pub(crate) fn start(layout: &Layout, machine: u8, bootstrap: bool) -> Process {
        let role = if layout.is_node(machine) {
            "queue"
        } else {
            "agent"
        };
        let log = |path: &Path| {
            let options = File::options().create(true).append(true).open(path);
            Stdio::from(options.unwrap())
        };
        let child = Command::new(std::env::current_exe().unwrap())
            .args(["child_process", "--exact", "--nocapture"])
            .env(ROLE_VARIABLE, role)
            .env("FIGDEAL_BOOT", layout.write_settings(machine, bootstrap))
            .stdout(log(&layout.log(machine)))
            .stderr(log(&layout.log(machine)))
            .spawn();
        Process(child.unwrap())
    }

    /// Sends a signal, for example `TERM`.
    pub(crate) fn signal(&self, name: &str) {
        let status = Command::new("kill")
            .args([&format!("-{name}"), &self.0.id().to_string()])
            .status();
        assert!(status.unwrap().success(), "signal {name} was not sent");
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // The process may already have ended.
        let _ = self.0.kill();
        self.0.wait().unwrap();
    }
}

/// Sends a request. Returns the status and body of the response, or `None` if there was none.
pub(crate) fn exchange(
    agent: &ureq::Agent,
    to: SocketAddr,
    method: &str,
    path: &str,
    body: String,
) -> Option<(u16, String)> {
    let request = ureq::http::Request::builder()
        .method(method)
        .uri(format!("http://{to}{path}"))
        .header("host", "caller")
        .body(body)
        .unwrap();
    let mut answer = agent.run(request).ok()?;
    let body = answer.body_mut().read_to_string().ok()?;
    Some((answer.status().as_u16(), body))
}

/// Creates a client that keeps its connections open.
pub(crate) fn client(timeout: std::time::Duration) -> ureq::Agent {
    let config = ureq::Agent::config_builder().http_status_as_error(false);
    config.timeout_global(Some(timeout)).build().into()
}
