//! Measures configuration changes on three replicas with real files. Usage: `measure [folder] [changes]`.
//!
//! Each replica runs in a thread of its own, and messages are passed through channels, so the times are those of the
//! synced writes and of the code, without a network. A change consists of a signed proposal and the signature of the
//! other owner.

use std::{
    path::{Path, PathBuf},
    sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel},
    thread,
    time::{Duration, Instant},
};

use ed25519_dalek::{Signer, SigningKey};
use figdeal_control::{
    command::{Action, Answer, Command},
    disk::{Disk, Folder},
    message::{Envelope, Message},
    node::{Node, Output},
    proposer::{ClientId, ClockReading, Reply},
    sign::{Ed25519Verifier, change_message},
    state::Member,
    store::Store,
    types::{Bundle, Digest, PublicKey, ReplicaId, RequestId, Signature},
};
use figdeal_core::time::{Timestamp, UnixMillis};

/// Number of files of the configuration. Each change modifies one of them.
const FILES: usize = 8;
/// Size of a file in bytes.
const FILE_BYTES: usize = 4_000;

enum Input {
    Command(Command),
    Peer(Envelope),
}

/// Messages that one replica sent.
#[derive(Debug, Default)]
struct Sent {
    command_bytes: u64,
    background_read_bytes: u64,
    /// Number of messages, without those of background reads.
    messages: u64,
}

struct Replica {
    node: Node<Folder>,
    peers: Vec<Sender<Input>>,
    answers: Sender<Answer>,
    start: Instant,
    sent: Sent,
}

impl Replica {
    fn run(mut self, inputs: Receiver<Input>) -> (u64, Sent) {
        loop {
            let wait = self.node.next_wake().since(self.clock().now);
            let input = inputs.recv_timeout(wait);
            let clock = self.clock();
            let outputs = match input {
                Ok(Input::Command(command)) => self.node.command(ClientId(0), command, clock),
                Ok(Input::Peer(envelope)) => self.node.receive(envelope, clock),
                Err(RecvTimeoutError::Timeout) => self.node.tick(clock),
                Err(RecvTimeoutError::Disconnected) => unreachable!("the main thread has a sender"),
            };
            for output in outputs.expect("the storage works") {
                if !self.execute(output) {
                    return (self.node.store().bytes_written(), self.sent);
                }
            }
        }
    }

    fn clock(&self) -> ClockReading {
        ClockReading {
            now: Timestamp::from_micros(self.start.elapsed().as_micros() as u64),
            wall: UnixMillis::now(),
        }
    }

    /// Sends a message or passes on an answer. Returns whether the receiver still exists.
    fn execute(&mut self, output: Output) -> bool {
        match output {
            Output::Send { address, envelope } => {
                let bytes = postcard::to_stdvec(&envelope).unwrap().len() as u64;
                match envelope.message {
                    Message::Read { .. } | Message::ReadReply { .. } => {
                        self.sent.background_read_bytes += bytes;
                    }
                    _ => {
                        self.sent.command_bytes += bytes;
                        self.sent.messages += 1;
                    }
                }
                let to: usize = address.parse().unwrap();
                self.peers[to].send(Input::Peer(envelope)).is_ok()
            }
            Output::Reply { reply, .. } => match reply {
                Reply::Answer(answer) => self.answers.send(answer).is_ok(),
                other => panic!("unexpected {other:?}"),
            },
        }
    }
}

fn percentile(times: &mut [Duration], q: f64) -> Duration {
    times.sort();
    times[((times.len() - 1) as f64 * q) as usize]
}

fn report(name: &str, times: &mut [Duration]) {
    let (p50, p99) = (percentile(times, 0.5), percentile(times, 0.99));
    println!("{name}: p50 {p50:?}, p99 {p99:?} over {}", times.len());
}

/// Measures the time to store a synced record of `bytes`: write, sync, rename and sync of the folder.
fn sync_times(path: &Path, bytes: usize) -> Vec<Duration> {
    let mut folder = Folder::open(path).unwrap();
    let content = vec![7; bytes];
    let mut once = || {
        let start = Instant::now();
        folder.write("probe.tmp", &content).unwrap();
        folder.sync("probe.tmp").unwrap();
        folder.rename("probe.tmp", "probe").unwrap();
        folder.sync_folder().unwrap();
        start.elapsed()
    };
    (0..200).map(|_| once()).collect()
}

/// Measures the same in three folders at once, as in the phases of a command.
fn parallel_sync_times(root: &Path, bytes: usize) -> Vec<Duration> {
    let probe = |i| {
        let path = root.join(format!("probe-{i}"));
        thread::spawn(move || sync_times(&path, bytes))
    };
    let threads: Vec<_> = (0..3).map(probe).collect();
    threads
        .into_iter()
        .flat_map(|t| t.join().unwrap())
        .collect()
}

fn folder_bytes(path: &Path) -> u64 {
    let entries = std::fs::read_dir(path).unwrap();
    entries.map(|e| e.unwrap().metadata().unwrap().len()).sum()
}

fn open(path: &Path, id: ReplicaId) -> Node<Folder> {
    let verifier = Box::new(Ed25519Verifier::new(Bundle::check_files));
    Node::open(Folder::open(path).unwrap(), id, verifier, Timestamp::ZERO).unwrap()
}

fn bundle(change: u64) -> Bundle {
    let file = |i: usize| {
        let version = if i as u64 == change % FILES as u64 {
            change
        } else {
            0
        };
        let mut text = format!("# {i} {version}\n");
        text.extend(std::iter::repeat_n('x', FILE_BYTES - text.len()));
        (format!("site-{i}.toml"), text)
    };
    Bundle::new((0..FILES).map(file))
}

fn main() {
    let mut args = std::env::args().skip(1);
    let root = args.next().map_or_else(std::env::temp_dir, PathBuf::from);
    let root = tempfile::tempdir_in(root).unwrap();
    let changes: u64 = args.next().map_or(500, |a| a.parse().unwrap());

    let secrets = [1, 2].map(|n| SigningKey::from_bytes(&[n; 32]));
    let owners = [0, 1].map(|i: usize| PublicKey(secrets[i].verifying_key().to_bytes()));
    let paths: Vec<_> = (0..3)
        .map(|i| root.path().join(format!("replica-{i}")))
        .collect();
    let member = |i: usize| Member {
        id: ReplicaId(10 + i as u64),
        address: i.to_string(),
    };
    let members: Vec<_> = (0..3).map(member).collect();
    let (peers, inputs): (Vec<_>, Vec<_>) = (0..3).map(|_| channel()).unzip();
    let (answers, replies) = channel();
    let start = Instant::now();
    let mut threads = Vec::new();
    for (i, input) in inputs.into_iter().enumerate() {
        let mut node = open(&paths[i], members[i].id);
        node.init(owners, members.clone()).unwrap();
        let replica = Replica {
            node,
            peers: peers.clone(),
            answers: answers.clone(),
            start,
            sent: Sent::default(),
        };
        threads.push(thread::spawn(move || replica.run(input)));
    }

    let mut request = 0;
    let mut ask = |action: Action| {
        request += 1;
        let request = RequestId(request);
        peers[0]
            .send(Input::Command(Command { request, action }))
            .unwrap();
        replies.recv().unwrap()
    };
    let mut command_times = Vec::new();
    let mut change_times = Vec::new();
    for number in 1..=changes {
        let bundle = bundle(number);
        let message = change_message(number, &bundle, &None);
        let signatures = [0, 1].map(|i| Signature(secrets[i].sign(&message).to_bytes().to_vec()));
        let begin = Instant::now();
        ask(Action::Propose {
            number,
            bundle,
            author: owners[0],
            new_keys: None,
            signature: Some(signatures[0].clone()),
        });
        command_times.push(begin.elapsed());
        let middle = Instant::now();
        let answer = ask(Action::Sign {
            number,
            digest: Digest::of(&message),
            signer: owners[1],
            signature: signatures[1].clone(),
        });
        command_times.push(middle.elapsed());
        change_times.push(begin.elapsed());
        assert!(matches!(answer, Answer::Accepted { .. }), "{answer:?}");
    }
    thread::sleep(Duration::from_secs(1));
    drop(replies);
    // The answer to one more command has no receiver, which ends replica 0; the other replicas end with it.
    for peer in &peers {
        let action = Action::Sign {
            number: 0,
            digest: Digest::default(),
            signer: owners[0],
            signature: Signature(Vec::new()),
        };
        let request = RequestId(0);
        peer.send(Input::Command(Command { request, action }))
            .unwrap();
    }
    let mut sent = Sent::default();
    let mut written = 0;
    for thread in threads {
        let (bytes, part) = thread.join().unwrap();
        written += bytes;
        sent.command_bytes += part.command_bytes;
        sent.background_read_bytes += part.background_read_bytes;
        sent.messages += part.messages;
    }

    let bytes = FILES * FILE_BYTES;
    println!("{changes} changes of one file in {FILES} files of {FILE_BYTES} bytes, 3 replicas");
    report("time of a command", &mut command_times);
    report("time of a change (two commands)", &mut change_times);
    for size in [40, bytes] {
        let mut times = sync_times(root.path(), size);
        report(&format!("one synced record of {size} bytes"), &mut times);
        let mut times = parallel_sync_times(root.path(), size);
        report(
            &format!("the same in three folders at once, {size} bytes"),
            &mut times,
        );
    }
    println!(
        "sent for each change: {} bytes in {} messages",
        sent.command_bytes / changes,
        sent.messages / changes
    );
    println!(
        "sent by background reads: {} bytes",
        sent.background_read_bytes
    );
    println!(
        "written for each change and replica: {} bytes",
        written / changes / 3
    );
    println!(
        "on disk for each replica: {} bytes",
        folder_bytes(&paths[0])
    );
    let begin = Instant::now();
    let node = open(&paths[0], ReplicaId(0));
    println!("start from disk: {:?}", begin.elapsed());
    let store: &Store<Folder> = node.store();
    println!("archived versions: {}", store.archived().count());
}
