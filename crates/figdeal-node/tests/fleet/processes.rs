//! Nodes and agents as processes of their own on loopback, each at an address of its own.

use std::{
    fs::{self, File},
    net::{Ipv4Addr, SocketAddr},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
};

/// The test program runs itself with this variable to become one of the processes.
pub(crate) const ROLE: &str = "FIGDEAL_TEST_ROLE";
/// First of the ports for other processes; agents take the next one.
const INTERNAL: u16 = 18_170;
/// Where processes listen if a proxy stands before their own address.
const BEHIND: u16 = 18_175;
const FRONT: u16 = 18_161;
const CONTROL: u16 = 18_166;
const WORKER: u16 = 18_165;
/// Machines with a disk that name each other.
const SEEDS: u8 = 3;

/// Becomes a process if the parent asks for it; nothing otherwise.
pub(crate) fn become_child() {
    let Ok(role) = std::env::var(ROLE) else {
        return;
    };
    let _output = figdeal_node::log_output::init();
    match role.as_str() {
        "queue" => figdeal_node::queue::run().unwrap(),
        _ => figdeal_node::agent::run().unwrap(),
    }
}

/// What runs where: nodes with a disk come first, then nodes without, then agents.
#[derive(Debug, Clone)]
pub(crate) struct Layout {
    /// Third part of all addresses, so that runs do not meet.
    pub(crate) net: u8,
    pub(crate) disks: u8,
    pub(crate) nodes: u8,
    pub(crate) folder: PathBuf,
    /// Proxies stand before the addresses for other processes.
    pub(crate) proxied: bool,
}

impl Layout {
    fn address(&self, machine: u8, port: u16) -> SocketAddr {
        SocketAddr::from((Ipv4Addr::new(127, 0, self.net, machine), port))
    }

    pub(crate) fn is_node(&self, machine: u8) -> bool {
        machine <= self.nodes
    }

    /// Where callers connect.
    pub(crate) fn front(&self, machine: u8) -> SocketAddr {
        self.address(machine, FRONT)
    }

    /// Where operators, or the worker, connect.
    pub(crate) fn control(&self, machine: u8) -> SocketAddr {
        self.address(machine, CONTROL)
    }

    /// Where the worker takes calls.
    pub(crate) fn worker(&self, machine: u8) -> SocketAddr {
        self.address(machine, WORKER)
    }

    /// Where other processes connect, and where the process listens if a proxy stands there.
    pub(crate) fn internal(&self, machine: u8) -> (SocketAddr, SocketAddr) {
        let agent = u16::from(!self.is_node(machine));
        let own = self.address(machine, INTERNAL + agent);
        (own, self.address(machine, BEHIND))
    }

    /// Folder of the machine's disk.
    pub(crate) fn data(&self, machine: u8) -> PathBuf {
        self.folder.join(format!("data-{machine}"))
    }

    /// Output of the machine's processes.
    pub(crate) fn log(&self, machine: u8) -> PathBuf {
        self.folder.join(format!("machine-{machine}.log"))
    }

    /// Writes the settings of a machine.
    pub(crate) fn write_settings(&self, machine: u8, bootstrap: bool) -> PathBuf {
        let seeds = (1..=SEEDS).map(|n| format!("\"{}\"", self.control(n)));
        let seeds = seeds.collect::<Vec<_>>().join(",");
        let mut text = format!(
            "node_name = \"m{machine}\"\nip = \"{}\"\nzone = \"z{}\"\ninternal_ports = [{INTERNAL}, {}]\n\
             seeds = [{seeds}]\nbootstrap = {bootstrap}\n",
            self.front(machine).ip(),
            machine % 4,
            INTERNAL + 10,
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
        text += "[fault_tolerance]\nmachines = 1\n[bounds]\nresend_ms = 1300\n";
        let path = self.folder.join(format!("settings-{machine}.toml"));
        // A process may read the file at any time.
        let fresh = path.with_extension("new");
        fs::write(&fresh, text).unwrap();
        fs::rename(&fresh, &path).unwrap();
        path
    }
}

/// A process that ends with this value.
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
            .env(ROLE, role)
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
        // It may have ended already.
        let _ = self.0.kill();
        self.0.wait().unwrap();
    }
}

/// Status and body of an exchange, if there was an answer.
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

/// A client that keeps its connections.
pub(crate) fn client(limit: std::time::Duration) -> ureq::Agent {
    let config = ureq::Agent::config_builder().http_status_as_error(false);
    config.timeout_global(Some(limit)).build().into()
}
