//! Tests of the data folder, of signatures, and of acceptor and node with arbitrary messages.

#[path = "sim/disk.rs"]
mod disk;
#[path = "sim/keys.rs"]
mod keys;

use std::time::Duration;

use bolero::check;
use disk::MemDisk;
use figdeal_control::{
    acceptor::{Acceptor, Record, RegisterId},
    command::Answer,
    delta::StateDelta,
    disk::{Disk, Folder},
    message::{AcceptedState, Envelope, Message},
    node::{Node, Output},
    proposer::{ClientId, ClockReading},
    sign::Ed25519Verifier,
    state::{AnsweredRequest, RegisterState},
    store::{Error, Store, Version, frame, init, unframe},
    types::{Ballot, Bundle, PublicKey, ReplicaId, RequestId, Signature},
};
use figdeal_core::time::{Timestamp, UnixMillis};
use keys::{Fake, key, member};
use rand::{SeedableRng, rngs::SmallRng};

fn initialized_disk(id: u64) -> MemDisk {
    let (mut store, _) = Store::open(MemDisk::default(), ReplicaId(id)).unwrap();
    init(&mut store, [key(0), key(1)], vec![member(id, 0)]).unwrap();
    store.into_disk()
}

fn version(number: u64) -> Version {
    Version {
        number,
        digest: Default::default(),
        bundle: Bundle::new([("a", "b")]),
        signers: [key(0), key(1)],
        time: UnixMillis(0),
    }
}

/// Guards against a panic on damaged bytes, and against accepting a damaged record.
#[test]
fn damaged_records_are_refused() {
    let good = frame(&version(3));
    check!()
        .with_type::<(Vec<u8>, usize, u8)>()
        .for_each(|(bytes, at, flip)| {
            assert!(unframe::<Version>(bytes).is_err());
            let _ = postcard::from_bytes::<Envelope>(bytes);
            let _ = postcard::from_bytes::<StateDelta>(bytes).map(|p| p.apply_to(None));
            let mut damaged = good.clone();
            damaged[at % good.len()] ^= flip;
            assert_eq!(unframe::<Version>(&damaged).is_ok(), *flip == 0);
            assert!(unframe::<Version>(&good[..at % good.len()]).is_err());
        });
}

/// Guards against a replica that falls back to an older or empty state: a damaged or missing file must stop it with an
/// error that names the file.
#[test]
fn a_damaged_folder_stops_the_replica() {
    let mut store = Store::open(initialized_disk(1), ReplicaId(9)).unwrap().0;
    store.archive(&version(1)).unwrap();
    let disk = store.into_disk();
    let mut rng = SmallRng::seed_from_u64(6);
    for name in disk.list().unwrap() {
        let mut bytes = disk.read(&name).unwrap();
        *bytes.last_mut().unwrap() ^= 1;
        let mut damaged = disk.crash(&mut rng);
        damaged.write(&name, &bytes).unwrap();
        match Store::open(damaged, ReplicaId(9)) {
            Err(Error::Corrupt { file, .. }) => assert_eq!(file, name),
            other => panic!("{name}: {other:?}"),
        }
    }
    for name in ["identity", "promise", "accepted"] {
        let mut partial = disk.crash(&mut rng);
        partial.remove(name).unwrap();
        match Store::open(partial, ReplicaId(9)) {
            Err(Error::MissingFile(file)) => assert_eq!(file, name),
            other => panic!("{name}: {other:?}"),
        }
    }
}

/// Guards against initializing a replica twice, and against initializing one whose id is not in the list of members.
#[test]
fn only_a_listed_empty_folder_is_initialized() {
    let owners = [key(0), key(1)];
    let (mut store, _) = Store::open(MemDisk::default(), ReplicaId(2)).unwrap();
    let result = init(&mut store, owners, vec![member(1, 0)]);
    assert!(matches!(result, Err(Error::NotInMemberList(ReplicaId(2)))));
    let result = init(&mut store, [key(0), key(0)], vec![member(2, 0)]);
    assert!(matches!(result, Err(Error::InvalidMembers(_))));
    init(&mut store, owners, vec![member(2, 0)]).unwrap();
    let result = init(&mut store, owners, vec![member(2, 0)]);
    assert!(matches!(result, Err(Error::AlreadyInitialized)));
}

/// Guards against partial initialization: after a crash at any disk operation, the folder is either uninitialized and
/// can be initialized, or it is completely initialized.
#[test]
fn initialization_survives_a_crash_at_each_operation() {
    let mut rng = SmallRng::seed_from_u64(4);
    for crash_after in (0..30).flat_map(|n| [n; 20]) {
        let disk = MemDisk::default();
        disk.crash_after(crash_after);
        let owners = [key(0), key(1)];
        let initialized = match Store::open(disk.clone(), ReplicaId(1)) {
            Ok((mut store, _)) => init(&mut store, owners, vec![member(1, 0)]).is_ok(),
            Err(_) => false,
        };
        let (mut store, again) = Store::open(disk.crash(&mut rng), ReplicaId(1)).unwrap();
        assert!(again.accepted.is_some() || !initialized);
        if again.accepted.is_none() {
            init(&mut store, [key(0), key(1)], vec![member(1, 0)]).unwrap();
        }
    }
}

/// Returns a state whose content depends only on the ballot. In a correct register, a ballot has only one state.
fn state_of(ballot: Ballot) -> RegisterState {
    let mut state = RegisterState::new([key(0), key(1)], vec![member(1, 0), member(2, 1)]);
    state.bundle = Bundle::new([("a", format!("{ballot:?}"))]);
    state
}

/// Guards against a promised or accepted ballot that decreases, and against a reply without the record that it needs.
#[test]
fn acceptor_votes_only_go_up() {
    check!()
        .with_type::<Vec<(u8, u8, bool)>>()
        .for_each(|input| {
            let mut acceptor = Acceptor::new(ReplicaId(1), Ballot::default(), None);
            let (mut promised, mut accepted) = (Ballot::default(), None);
            for (round, replica, is_prepare) in input {
                let ballot = Ballot {
                    round: u64::from(round % 8) + 1,
                    replica: u64::from(replica % 2),
                    incarnation: 0,
                };
                let outcome = if *is_prepare {
                    acceptor.prepare(ballot, Ballot::default())
                } else {
                    acceptor.accept(ballot, None, StateDelta::new(&state_of(ballot), None))
                };
                let expected = match (is_prepare, accepted) {
                    (true, None) => None,
                    (false, Some(current)) if current == ballot && promised == ballot => None,
                    _ if ballot < promised => None,
                    (true, _) if ballot == promised => None,
                    (true, _) => Some(Record::Promise(ballot)),
                    (false, _) => {
                        accepted = Some(ballot);
                        acceptor.accepted().cloned().map(Record::Accepted)
                    }
                };
                if accepted.is_some() {
                    promised = promised.max(ballot);
                }
                assert_eq!(outcome.persist, expected);
                assert_eq!(acceptor.promised(), promised);
                assert_eq!(acceptor.accepted().map(|a| a.ballot), accepted);
                if let Some(Message::Accepted { ballot: b }) = outcome.reply {
                    assert_eq!(Some(b), accepted);
                }
            }
        });
}

/// Guards against a promise or an acceptance that is sent before it is synced, and against a panic on messages that
/// arrive late, twice or from an unknown replica.
#[test]
fn a_node_states_only_what_is_synced() {
    check!()
        .with_type::<Vec<(u8, u8, u8, u16)>>()
        .for_each(|input| {
            let members = [1, 2, 3].map(|i| member(i, i as usize)).to_vec();
            let (disk, id) = (MemDisk::default(), ReplicaId(1));
            let mut node = Node::open(disk.clone(), id, Box::new(Fake), Timestamp::ZERO).unwrap();
            node.init([key(0), key(1)], members).unwrap();
            let register = RegisterId::of(&node.acceptor().accepted().unwrap().state);
            let mut rng = SmallRng::seed_from_u64(7);
            let mut clock = ClockReading {
                now: Timestamp::ZERO,
                wall: UnixMillis(0),
            };
            for (kind, from, round, wait) in input {
                clock.now = clock.now + Duration::from_millis((*wait % 700).into());
                let ballot = Ballot {
                    round: u64::from(round % 6) + 1,
                    replica: u64::from(from % 4) + 1,
                    incarnation: 1,
                };
                let encoded_state = || Box::new(StateDelta::new(&state_of(ballot), None));
                let (read_id, base, known_ballot) =
                    ((1 << 32) + u64::from(round % 4), None, ballot);
                let accepted = AcceptedState {
                    ballot,
                    state: (round % 2 == 0).then(encoded_state),
                };
                let own_ballot = Ballot {
                    replica: 1,
                    ..ballot
                };
                let message = match kind % 10 {
                    0 => Message::Prepare {
                        ballot,
                        known_ballot,
                    },
                    1 => Message::Accept {
                        ballot,
                        base,
                        state: encoded_state(),
                    },
                    2 => Message::Promise {
                        ballot: own_ballot,
                        accepted,
                    },
                    3 => Message::Accepted { ballot: own_ballot },
                    4 => Message::Nack {
                        ballot: own_ballot,
                        promised: ballot,
                    },
                    5 => Message::Read {
                        read_id,
                        known_ballot,
                    },
                    6 => Message::ReadReply { read_id, accepted },
                    _ => Message::Chosen { ballot },
                };
                let envelope = Envelope {
                    from: ReplicaId(ballot.replica),
                    reply_to: "2".to_owned(),
                    to: id,
                    register,
                    message,
                };
                let outputs = match kind % 10 {
                    8 => node.tick(clock).unwrap(),
                    9 => node.read(ClientId(1), clock).unwrap(),
                    _ => node.receive(envelope, clock).unwrap(),
                };
                let synced = Store::open(disk.crash(&mut rng), id).unwrap().1;
                for output in outputs {
                    let Output::Send { envelope, .. } = output else {
                        continue;
                    };
                    let accepted_ballot = synced.accepted.as_ref().unwrap().ballot;
                    match envelope.message {
                        Message::Promise { ballot, .. } => {
                            assert!(synced.promised.max(accepted_ballot) >= ballot)
                        }
                        Message::Accepted { ballot } => assert_eq!(accepted_ballot, ballot),
                        _ => {}
                    }
                }
            }
        });
}

/// Guards against deltas that lose, reorder or confuse files or table entries.
#[test]
fn deltas_restore_states_exactly() {
    check!()
        .with_type::<(Vec<u8>, Vec<u8>)>()
        .for_each(|(old, new)| {
            let state = |contents: &[u8]| {
                let files = contents.iter().zip(0..);
                let files = files.map(|(c, i)| (format!("f{i}"), vec![*c; 40]));
                let mut state = state_of(Ballot::default());
                state.bundle = Bundle::new(files);
                let answered = |c: &u8| AnsweredRequest {
                    request: RequestId((*c % 4).into()),
                    command: Default::default(),
                    answer: Answer::Replaced { epoch: 0 },
                };
                state.requests = contents.iter().map(answered).collect();
                state
            };
            let next = [&old[old.len().min(1)..], new].concat();
            let old = state(old);
            for new in [state(new), state(&next)] {
                let delta = StateDelta::new(&new, Some(&old));
                assert!(delta.clone().apply_to(None).is_err());
                assert_eq!(delta.apply_to(Some(&old)).unwrap(), new);
                let full = StateDelta::new(&new, None);
                assert_eq!(full.apply_to(None).unwrap(), new);
            }
        });
}

/// Guards against votes of a replica with an empty data folder, and of a replica that has the address of another one:
/// it may only accept a state in which it is a member.
#[test]
fn an_empty_folder_does_not_vote() {
    let open = || {
        let now = Timestamp::ZERO;
        Node::open(MemDisk::default(), ReplicaId(5), Box::new(Fake), now).unwrap()
    };
    let clock = ClockReading {
        now: Timestamp::ZERO,
        wall: UnixMillis(0),
    };
    let ballot = Ballot {
        round: 1,
        replica: 1,
        incarnation: 1,
    };
    let accept = |state: &RegisterState| Message::Accept {
        ballot,
        base: None,
        state: Box::new(StateDelta::new(state, None)),
    };
    let (not_a_member, mut with_member) = (state_of(ballot), state_of(ballot));
    with_member.members.sets[0].push(member(5, 0));
    let cases = [
        (
            5,
            Message::Prepare {
                ballot,
                known_ballot: ballot,
            },
            0,
        ),
        (5, accept(&not_a_member), 0),
        (1, accept(&with_member), 0),
        (5, accept(&with_member), 1),
    ];
    for (to, message, replies) in cases {
        let envelope = Envelope {
            from: ReplicaId(1),
            reply_to: "0".to_owned(),
            to: ReplicaId(to),
            register: RegisterId(1),
            message,
        };
        assert_eq!(open().receive(envelope, clock).unwrap().len(), replies);
    }
}

/// Guards against a verification that succeeds for another key, message or length of the signature.
#[test]
fn ed25519_accepts_only_the_exact_signature() {
    use ed25519_dalek::{Signer, SigningKey};
    use figdeal_control::sign::Verifier;

    let secret = SigningKey::from_bytes(&[7; 32]);
    let public = PublicKey(secret.verifying_key().to_bytes());
    let bytes = secret.sign(b"message").to_bytes().to_vec();
    let verifier = Ed25519Verifier::new(Bundle::check_files);
    assert!(verifier.verify(&public, b"message", &Signature(bytes.clone())));
    assert!(!verifier.verify(&public, b"massage", &Signature(bytes.clone())));
    assert!(!verifier.verify(&key(1), b"message", &Signature(bytes.clone())));
    assert!(!verifier.verify(&public, b"message", &Signature(bytes[..63].to_vec())));
}

/// Guards against two processes that use the same folder, and against temporary files that remain after an interrupted
/// write.
#[test]
fn a_folder_is_locked_and_cleaned() {
    let root = tempfile::tempdir().unwrap();
    let path = root.path().join("control");
    let folder = Folder::open(&path).unwrap();
    assert!(Folder::open(&path).is_err());
    let (mut store, first) = Store::open(folder, ReplicaId(1)).unwrap();
    init(&mut store, [key(0), key(1)], vec![member(1, 0)]).unwrap();
    drop(store);
    std::fs::write(path.join("accepted.tmp"), b"torn").unwrap();
    let (_, second) = Store::open(Folder::open(&path).unwrap(), ReplicaId(2)).unwrap();
    assert_eq!(
        (second.id, second.incarnation),
        (first.id, first.incarnation + 1)
    );
    assert!(second.accepted.is_some());
    assert!(!path.join("accepted.tmp").exists());
}
