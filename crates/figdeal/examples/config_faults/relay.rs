//! TCP relays in front of the control replicas, which can isolate a process from them.

use std::{
    collections::HashMap,
    fs,
    io::{self, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

/// Interval at which a stalled connection checks whether it may pass bytes again.
const SILENT_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// How the relays isolate a process, for connections both from and to it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum IsolationMode {
    /// Connections stay open and pass no bytes.
    Silent,
    /// Connections are closed.
    Closed,
}

/// State shared by all relays.
#[derive(Debug, Default)]
pub struct Network {
    /// Isolated processes by process id.
    isolated: Mutex<HashMap<u32, IsolationMode>>,
    /// Process id of the replica at each target address.
    target_pids: Mutex<HashMap<SocketAddr, u32>>,
    /// Traffic sent by each process, by process id.
    sent: Mutex<HashMap<u32, Arc<SentTraffic>>>,
}

/// Traffic that a process sent through the relays.
#[derive(Debug, Default)]
pub struct SentTraffic {
    pub bytes: AtomicU64,
    /// Number of reads by the relay. On an idle connection each read has at least one message.
    pub chunks: AtomicU64,
}

impl Network {
    pub fn set_target_pid(&self, target: SocketAddr, pid: u32) {
        self.target_pids.lock().expect("lock").insert(target, pid);
    }

    pub fn isolate(&self, pid: u32, mode: IsolationMode) {
        self.isolated.lock().expect("lock").insert(pid, mode);
    }

    pub fn reconnect_all(&self) {
        self.isolated.lock().expect("lock").clear();
    }

    pub fn sent(&self, pid: u32) -> Arc<SentTraffic> {
        let mut sent = self.sent.lock().expect("lock");
        Arc::clone(sent.entry(pid).or_default())
    }

    fn isolation_mode(&self, ends: [u32; 2]) -> Option<IsolationMode> {
        let isolated = self.isolated.lock().expect("lock");
        ends.iter().find_map(|pid| isolated.get(pid).copied())
    }

    fn target_pid(&self, target: SocketAddr) -> u32 {
        let pids = self.target_pids.lock().expect("lock");
        pids.get(&target).copied().unwrap_or(0)
    }

    /// Returns the process id of the client of a connection, 0 if it is not one of the known processes.
    fn client_pid(&self, client: SocketAddr, relay: SocketAddr) -> u32 {
        let Some(inode) = socket_inode(client, relay) else {
            return 0;
        };
        let name = format!("socket:[{inode}]");
        let pids: Vec<u32> = self.sent.lock().expect("lock").keys().copied().collect();
        let has = |pid: &u32| {
            let Ok(list) = fs::read_dir(format!("/proc/{pid}/fd")) else {
                return false;
            };
            list.flatten()
                .any(|f| fs::read_link(f.path()).is_ok_and(|l| l.as_os_str() == name.as_str()))
        };
        pids.into_iter().find(has).unwrap_or(0)
    }
}

/// Returns the inode of the client socket of a loopback connection.
fn socket_inode(client: SocketAddr, relay: SocketAddr) -> Option<String> {
    let hex = |a: SocketAddr| format!("0100007F:{:04X}", a.port());
    let (client, relay) = (hex(client), hex(relay));
    let table = fs::read_to_string("/proc/net/tcp").ok()?;
    table.lines().find_map(|line| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        (fields.len() > 9 && fields[1] == client && fields[2] == relay)
            .then(|| fields[9].to_owned())
    })
}

/// Relays connections to `listen` on to `target`, until the program ends.
pub fn start(listen: SocketAddr, target: SocketAddr, network: Arc<Network>) -> io::Result<()> {
    let listener = TcpListener::bind(listen)?;
    thread::spawn(move || {
        for client in listener.incoming().flatten() {
            let network = Arc::clone(&network);
            thread::spawn(move || {
                // An error closes this connection at both ends and has no other effect.
                let _ = serve(&client, listen, target, &network);
                let _ = client.shutdown(Shutdown::Both);
            });
        }
    });
    Ok(())
}

fn serve(
    client: &TcpStream,
    listen: SocketAddr,
    target: SocketAddr,
    network: &Arc<Network>,
) -> io::Result<()> {
    let from = network.client_pid(client.peer_addr()?, listen);
    let to = network.target_pid(target);
    if network.isolation_mode([from, to]) == Some(IsolationMode::Closed) {
        return Ok(());
    }
    let server = TcpStream::connect(target)?;
    let (a, b) = (client.try_clone()?, server.try_clone()?);
    let back = Arc::clone(network);
    let thread = thread::spawn(move || copy_bytes(b, a, [to, from], &back));
    copy_bytes(client.try_clone()?, server, [from, to], network);
    let _ = thread.join();
    Ok(())
}

fn copy_bytes(mut from: TcpStream, mut to: TcpStream, ends: [u32; 2], network: &Network) {
    let sent = network.sent(ends[0]);
    let mut buffer = vec![0; 64 << 10];
    let _ = from.set_nodelay(true).and(to.set_nodelay(true));
    while let Ok(n @ 1..) = from.read(&mut buffer) {
        while network.isolation_mode(ends) == Some(IsolationMode::Silent) {
            thread::sleep(SILENT_POLL_INTERVAL);
        }
        if network.isolation_mode(ends) == Some(IsolationMode::Closed)
            || to.write_all(&buffer[..n]).is_err()
        {
            break;
        }
        sent.bytes.fetch_add(n as u64, Ordering::Relaxed);
        sent.chunks.fetch_add(1, Ordering::Relaxed);
    }
    let _ = from.shutdown(Shutdown::Both);
    let _ = to.shutdown(Shutdown::Both);
}
