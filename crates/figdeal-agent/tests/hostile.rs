//! Hostile clients at the HTTP listener of an agent process. Each test checks that the process stays alive, that its
//! memory and descriptors stay within a bound, and that it answers a health check, an announcement and a request for
//! its metrics while the crowd is connected.

#[path = "../../figdeal-node/tests/hostile/child.rs"]
mod child;
// These tests use some of the crowds.
#[allow(dead_code)]
#[path = "../../figdeal-node/tests/hostile/crowd.rs"]
mod crowd;

use std::{
    fs,
    io::Write,
    net::SocketAddr,
    sync::{Mutex, PoisonError},
};

use child::Attacked;

/// Third byte of the loopback address, and the ports.
const HTTP: ([u8; 4], u16) = ([127, 0, 41, 1], 7_500);
const PEERS: ([u8; 4], u16) = ([127, 0, 41, 1], 7_501);
/// Limit of the open descriptors of the process.
const DESCRIPTOR_LIMIT: usize = 512;
/// Bound of the open descriptors: the limit without the 200 that are kept for files and own connections.
const MAX_DESCRIPTORS: usize = DESCRIPTOR_LIMIT - 200;
/// Bound of the peak memory: the budgets of 24 MiB and, for messages of other processes, 16 MiB, 20 KiB for each of 156
/// connections, and the process itself.
const MAX_MEMORY_KB: u64 = 64 * 1024;

/// Held by the one test that runs at a time.
static RUNNING: Mutex<()> = Mutex::new(());

/// Runs a crowd against an agent and checks it before the crowd disconnects.
fn attack<C>(crowd: impl FnOnce(SocketAddr, SocketAddr) -> C) {
    let _running = RUNNING.lock().unwrap_or_else(PoisonError::into_inner);
    let (http, peers) = (SocketAddr::from(HTTP), SocketAddr::from(PEERS));
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("agent.toml");
    let settings = format!(
        "name = \"a\"\ndata_centre = \"d\"\nhttp_listen = \"{http}\"\npeer_listen = \"{peers}\"\n\
         [[entries]]\nid = 0\naddress = \"127.0.41.9:7401\"\n"
    );
    fs::write(&path, settings).unwrap();
    let arguments = ["--settings", path.to_str().unwrap()];
    let program = env!("CARGO_BIN_EXE_figdeal-agent");
    let mut agent = Attacked::start(program, &arguments, DESCRIPTOR_LIMIT);
    agent.wait_for_status(http, "/healthz", &[200]);
    let connected = crowd(http, peers);
    agent.wait_for_status(http, "/healthz", &[200]);
    agent.wait_for_status(http, "/metrics", &[200]);
    agent.assert_within(MAX_MEMORY_KB, MAX_DESCRIPTORS);
    drop(connected);
}

/// Guards against an announcement that stops short and keeps all other requests waiting.
#[test]
fn announcements_that_stop_short() {
    attack(|http, _| {
        crowd::connect(64, http, |_, stream| {
            write!(
                stream,
                "POST /v1/announce HTTP/1.1\r\nhost: agent\r\ncontent-length: 60000\r\n\r\n0123456789"
            )
        })
    });
}

/// Guards against connections without a request that use up all descriptors and threads.
#[test]
fn silent_connections() {
    attack(|http, peers| [http, peers].map(|to| crowd::connect(600, to, |_, _| Ok(()))));
}

/// Guards against messages of other processes that stop short.
#[test]
fn peer_messages_that_stop_short() {
    attack(|_, peers| {
        crowd::connect(120, peers, |_, stream| {
            // The length of a frame comes first, in network byte order.
            crowd::send_frame(stream, (30_u32 << 20).swap_bytes(), 8 << 20)
        })
    });
}

/// Guards against headers without an end that use up the memory.
#[test]
fn headers_that_never_end() {
    attack(|http, _| crowd::connect(400, http, |_, stream| crowd::send_headers(stream, 400_000)));
}

/// Guards against bodies far over the limit, announced or just sent.
#[test]
fn bodies_over_the_limit() {
    attack(|http, _| {
        crowd::connect(200, http, |n, stream| match n % 2 {
            0 => crowd::send_body(stream, 1 << 30, 1_000_000, 65_536),
            _ => crowd::send_chunks(stream, 65_536, 64),
        })
    });
}
