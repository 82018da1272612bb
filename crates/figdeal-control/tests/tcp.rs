//! Tests of replicas with real files that communicate by TCP on the loopback interface.

use std::{
    net::{Ipv4Addr, SocketAddr, TcpListener},
    ops::Range,
    path::Path,
    sync::atomic::{AtomicU32, Ordering},
};

use ed25519_dalek::{Signer, SigningKey};
use figdeal_control::{
    command::{Action, Answer, Command},
    disk::Folder,
    driver::{IDLE_TIMEOUT, PollReply, ReplicaHandle, connect, serve},
    node::Node,
    proposer::Reply,
    sign::{Ed25519Verifier, change_message, replace_message},
    state::Member,
    types::{Bundle, Digest, PublicKey, ReplicaId, RequestId, Signature},
};
use figdeal_core::time::Timestamp;
use tarpc::context;
use tokio::{io::AsyncReadExt, net::TcpStream, time::Instant};

fn open(path: &Path, id: u64) -> Node<Folder> {
    let folder = Folder::open(path).unwrap();
    let verifier = Box::new(Ed25519Verifier::new(Bundle::check_files));
    Node::open(folder, ReplicaId(id), verifier, Timestamp::ZERO).unwrap()
}

/// Ports outside the range from which the system takes ports of clients. Otherwise a connection could get a port after
/// the check that it is free and before a replica binds it.
const PORTS: Range<u16> = 20_000..30_000;
/// Ports per process, so that parallel runs of this test start at different ports.
const PORTS_PER_PROCESS: u32 = 16;

/// Returns an address that no other call in this process returned, and that is free.
fn free_address() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let first = std::process::id() * PORTS_PER_PROCESS;
    for _ in PORTS {
        let offset = first + NEXT.fetch_add(1, Ordering::Relaxed);
        let port = PORTS.start + (offset % PORTS.len() as u32) as u16;
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
    panic!("no port of {PORTS:?} is free");
}

async fn ask(address: SocketAddr, request: u128, action: Action) -> Answer {
    let command = Command {
        request: RequestId(request),
        action,
    };
    // All attempts have the same request id, so the command is applied only once.
    for _ in 0..20 {
        let rpc = connect(address).await.unwrap();
        let reply = rpc.command(context::current(), command.clone()).await;
        if let Ok(Reply::Answer(answer)) = reply {
            return answer;
        }
    }
    panic!("no answer to request {request}");
}

/// Largest number of polls for a change; each poll takes at most 1 s.
const MAX_POLLS: u32 = 120;

/// Guards against a change that does not reach pollers, and against a replica that cannot be restarted or replaced.
#[tokio::test(flavor = "multi_thread")]
async fn a_change_reaches_pollers_through_restart_and_replacement() {
    let root = tempfile::tempdir().unwrap();
    let secrets = [1, 2].map(|n| SigningKey::from_bytes(&[n; 32]));
    let owners = secrets
        .each_ref()
        .map(|s| PublicKey(s.verifying_key().to_bytes()));
    let sign = |i: usize, message: &[u8]| Signature(secrets[i].sign(message).to_bytes().to_vec());
    let addresses = [(); 4].map(|()| free_address());
    let path = |i: usize| root.path().join(i.to_string());
    let member = |i: usize| Member {
        id: ReplicaId(i as u64),
        address: addresses[i].to_string(),
    };
    let members: Vec<_> = (0..3).map(member).collect();
    let mut replicas: Vec<ReplicaHandle> = Vec::new();
    for (i, address) in addresses.iter().enumerate() {
        let mut node = open(&path(i), i as u64);
        if i < 3 {
            node.init(owners, members.clone()).unwrap();
        }
        replicas.push(serve(node, *address).await.unwrap());
    }

    let poller = connect(addresses[2]).await.unwrap();
    let poll = tokio::spawn(async move {
        // The replicas may not have reached each other yet. The bound makes the test fail instead of hang if the change
        // is lost.
        for _ in 0..MAX_POLLS {
            match poller.poll(context::current(), 0).await {
                Ok(PollReply::Current | PollReply::Unavailable) => {}
                other => return other,
            }
        }
        panic!("the change never reached the poller");
    });
    let bundle = Bundle::new([("base.toml", "a = 1")]);
    let message = change_message(1, &bundle, &None);
    let propose = Action::Propose {
        number: 1,
        bundle: bundle.clone(),
        author: owners[0],
        new_keys: None,
        signature: Some(sign(0, &message)),
    };
    let answer = ask(addresses[0], 1, propose).await;
    assert!(matches!(answer, Answer::Pending { .. }), "{answer:?}");
    let digest = Digest::of(&message);
    let second = Action::Sign {
        number: 1,
        digest,
        signer: owners[1],
        signature: sign(1, &message),
    };
    let answer = ask(addresses[1], 2, second).await;
    assert_eq!(answer, Answer::Accepted { number: 1, digest });
    let PollReply::Newer(version) = poll.await.unwrap().unwrap() else {
        panic!("the poll gets the version");
    };
    assert_eq!((version.number, version.bundle), (1, bundle));

    // Replica 1 is stopped permanently and replaced by the uninitialized replica 3.
    replicas.remove(1).stop().unwrap();
    let signature = sign(0, &replace_message(0, ReplicaId(1), &member(3)));
    let replace = Action::Replace {
        epoch: 0,
        old: ReplicaId(1),
        new: member(3),
        signer: owners[0],
        signature,
    };
    let answer = ask(addresses[2], 3, replace).await;
    assert_eq!(answer, Answer::Replaced { epoch: 1 });

    // Replica 2 is stopped right after, so that replicas 0 and 3 are the majority. Replica 0 restarts from its folder.
    replicas.remove(1).stop().unwrap();
    replicas.remove(0).stop().unwrap();
    let _restarted = serve(open(&path(0), 9), addresses[0]).await.unwrap();
    let rpc = connect(addresses[3]).await.unwrap();
    let reply = rpc.read(context::current()).await.unwrap();
    let Reply::Current(state) = reply else {
        panic!("unexpected {reply:?}");
    };
    assert_eq!((state.number, state.members.epoch), (1, 2));
    assert!(!state.members.contains(ReplicaId(1)));
}

/// Guards against a replica that cannot start at the address of the one that was just stopped: `stop` returned before
/// the listener had released its socket.
#[tokio::test(flavor = "multi_thread")]
async fn a_stopped_replica_has_released_its_address() {
    let root = tempfile::tempdir().unwrap();
    let address = free_address();
    for round in 0..200 {
        let node = open(&root.path().join(round.to_string()), round);
        let replica = serve(node, address).await.unwrap();
        replica.stop().unwrap();
        let bound = std::net::TcpListener::bind(address);
        assert!(bound.is_ok(), "round {round}: {bound:?}");
    }
}

/// Guards against an isolated replica that reports that there is no newer version. Entries would keep polling it and
/// miss changes.
#[tokio::test(flavor = "multi_thread")]
async fn a_replica_without_a_quorum_does_not_claim_to_be_current() {
    let root = tempfile::tempdir().unwrap();
    let members: Vec<_> = (0..3)
        .map(|i| Member {
            id: ReplicaId(i),
            address: free_address().to_string(),
        })
        .collect();
    let mut node = open(root.path(), 0);
    let owners = [1, 2].map(|n| PublicKey([n; 32]));
    node.init(owners, members.clone()).unwrap();
    let address = members[0].address.parse().unwrap();
    let _replica = serve(node, address).await.unwrap();
    let rpc = connect(address).await.unwrap();
    let answer = rpc.poll(context::current(), 0).await.unwrap();
    assert_eq!(answer, PollReply::Unavailable);
}

/// Guards against silent connections that stay open and use up the bound on connections.
#[tokio::test(start_paused = true)]
async fn a_silent_connection_is_closed() {
    let root = tempfile::tempdir().unwrap();
    let any = "127.0.0.1:0".parse().unwrap();
    let replica = serve(open(root.path(), 1), any).await.unwrap();
    let mut silent = TcpStream::connect(replica.address).await.unwrap();
    let start = Instant::now();
    assert_eq!(silent.read(&mut [0]).await.unwrap(), 0);
    assert!(start.elapsed() >= IDLE_TIMEOUT);
}
