//! Hostile clients at the listeners of an entry process. Each test checks that the process stays alive, that its memory
//! and descriptors stay within a bound, and that it answers a health check and a job while the crowd is connected.

#[path = "../../figdeal-node/tests/hostile/child.rs"]
mod child;
// These tests use some of the crowds.
#[allow(dead_code)]
#[path = "../../figdeal-node/tests/hostile/crowd.rs"]
mod crowd;

use std::{
    fs,
    net::SocketAddr,
    sync::{Mutex, PoisonError},
};

use child::Attacked;

const HTTP: ([u8; 4], u16) = ([127, 0, 42, 1], 7_400);
const PEERS: ([u8; 4], u16) = ([127, 0, 42, 1], 7_401);
const CONTROL: ([u8; 4], u16) = ([127, 0, 42, 1], 7_402);
/// Limit of the open descriptors of the process.
const DESCRIPTOR_LIMIT: usize = 512;
/// Bound of the open descriptors: the limit without the 200 that are kept for files and own connections.
const MAX_DESCRIPTORS: usize = DESCRIPTOR_LIMIT - 200;
/// Bound of the peak memory: that of the smallest machine.
const MAX_MEMORY_KB: u64 = 160 * 1024;
/// Largest body of a job without a configuration.
const LEGAL_BODY_BYTES: usize = 4 << 20;

/// Held by the one test that runs at a time.
static RUNNING: Mutex<()> = Mutex::new(());

/// Runs a crowd against an entry and checks it before the crowd disconnects.
fn attack<C>(crowd: impl FnOnce(SocketAddr, SocketAddr) -> C) {
    let _running = RUNNING.lock().unwrap_or_else(PoisonError::into_inner);
    let (http, peers) = (SocketAddr::from(HTTP), SocketAddr::from(PEERS));
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("entry.toml");
    let (data, control) = (folder.path().join("data"), SocketAddr::from(CONTROL));
    let settings = format!(
        "id = 0\ndata_centre = \"d\"\nhttp_listen = \"{http}\"\npeer_listen = \"{peers}\"\n\
         data_folder = {data:?}\n[[entries]]\nid = 0\naddress = \"{peers}\"\n\
         [control]\non = true\nlisten = \"{control}\"\nmembers = [\"{control}\"]\n"
    );
    fs::write(&path, settings).unwrap();
    let arguments = ["entry", "--settings", path.to_str().unwrap()];
    let program = env!("CARGO_BIN_EXE_figdeal");
    let mut entry = Attacked::start(program, &arguments, DESCRIPTOR_LIMIT);
    entry.wait_for_status(http, "/healthz", &[200]);
    let connected = crowd(http, peers);
    entry.wait_for_status(http, "/healthz", &[200]);
    entry.wait_for_status(http, "/v1/jobs/team/id", &[400, 404, 503]);
    entry.assert_within(MAX_MEMORY_KB, MAX_DESCRIPTORS);
    drop(connected);
}

/// Guards against an entry that runs out of memory because of many bodies of legal size that stop short.
#[test]
fn large_bodies_that_stop_short() {
    attack(|http, _| {
        crowd::connect(120, http, |n, stream| {
            let piece = if n % 2 == 0 { 1_000_000 } else { 8_192 };
            crowd::send_body(stream, LEGAL_BODY_BYTES, LEGAL_BODY_BYTES - 10, piece)
        })
    });
}

/// Guards against an entry that runs out of memory because of chunked bodies that stop short.
#[test]
fn chunked_bodies_that_stop_short() {
    attack(|http, _| {
        crowd::connect(120, http, |n, stream| match n % 12 {
            0 => crowd::send_chunks(stream, 1, 200_000),
            _ => crowd::send_chunks(stream, 65_536, 63),
        })
    });
}

/// Guards against connections without a request that use up all descriptors, at each listener.
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

/// Guards against silent connections at the port of the control replica.
#[test]
fn silent_control_connections() {
    attack(|_, _| crowd::connect(600, CONTROL.into(), |_, _| Ok(())));
}

/// Guards against messages to the control replica that stop short.
#[test]
fn control_messages_that_stop_short() {
    attack(|_, _| {
        crowd::connect(120, CONTROL.into(), |_, stream| {
            crowd::send_frame(stream, (7_u32 << 20).swap_bytes(), 6 << 20)
        })
    });
}
