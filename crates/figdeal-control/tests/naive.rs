//! Compares three replicas with a model of a single copy, which does not use the rules of the crate.

#[path = "sim/disk.rs"]
mod disk;
#[path = "sim/keys.rs"]
mod keys;

use std::collections::{HashMap, VecDeque};

use disk::MemDisk;
use figdeal_control::{
    command::{Action, Answer, Command, RefusalReason},
    node::{Node, Output},
    proposer::{ClientId, ClockReading, REQUEST_TIMEOUT, Reply},
    sign::{change_digest, change_message, reject_message},
    store::Error,
    types::{Bundle, Digest, PublicKey, ReplicaId, RequestId, Signature},
};
use figdeal_core::time::{Timestamp, UnixMillis};
use keys::{Fake, key, member, sign};
use rand::{Rng, SeedableRng, rngs::SmallRng};

/// Three replicas whose messages arrive immediately and in order.
struct Group {
    nodes: Vec<Node<MemDisk>>,
    now: u64,
    client: u64,
}

impl Group {
    fn new(owners: [PublicKey; 2]) -> Group {
        let members: Vec<_> = (0..3).map(|i| member(10 + i as u64, i)).collect();
        let open = |i: u64| {
            let id = ReplicaId(10 + i);
            let mut node =
                Node::open(MemDisk::default(), id, Box::new(Fake), Timestamp::ZERO).unwrap();
            node.init(owners, members.clone()).unwrap();
            node
        };
        Group {
            nodes: (0..3).map(open).collect(),
            now: 0,
            client: 0,
        }
    }

    fn command(&mut self, slot: usize, command: Command) -> Answer {
        self.now += 1_000;
        self.client += 1;
        let clock = ClockReading {
            now: Timestamp::from_micros(self.now),
            wall: UnixMillis(7),
        };
        let client = ClientId(self.client);
        let mut answer = None;
        let mut outputs = VecDeque::from(self.nodes[slot].command(client, command, clock).unwrap());
        while let Some(output) = outputs.pop_front() {
            match output {
                Output::Send { address, envelope } => {
                    let to: usize = address.parse().unwrap();
                    outputs.extend(self.nodes[to].receive(envelope, clock).unwrap());
                }
                Output::Reply {
                    reply: Reply::Answer(a),
                    ..
                } => answer = Some(a),
                Output::Reply { reply, .. } => panic!("unexpected {reply:?}"),
            }
        }
        answer.expect("each command is answered without faults")
    }
}

type Change = (u64, Bundle, Option<[PublicKey; 2]>);

/// Model of the register: a single copy with simple maps.
#[derive(Default)]
struct Model {
    owners: Vec<PublicKey>,
    number: u64,
    taken_numbers: HashMap<u64, (Digest, PublicKey)>,
    pending: Option<(Change, RequestId)>,
    signers: Vec<PublicKey>,
    answers: HashMap<RequestId, Answer>,
}

impl Model {
    fn command(&mut self, command: &Command) -> Answer {
        if let Some(answer) = self.answers.get(&command.request) {
            return answer.clone();
        }
        let answer = self.apply(command);
        if !matches!(&answer, Answer::Refused(r) if !r.is_recorded()) {
            self.answers.insert(command.request, answer.clone());
        }
        answer
    }

    fn apply(&mut self, command: &Command) -> Answer {
        let (signer, number) = match &command.action {
            Action::Propose { author, number, .. } => (*author, *number),
            Action::Sign { signer, number, .. } | Action::Reject { signer, number, .. } => {
                (*signer, *number)
            }
            Action::Replace { .. } => unreachable!("members do not change here"),
        };
        if !self.owners.contains(&signer) {
            return Answer::Refused(RefusalReason::NotOwner(signer));
        }
        let bad_signature = Answer::Refused(RefusalReason::BadSignature(signer));
        match &command.action {
            Action::Propose {
                bundle,
                new_keys,
                signature,
                ..
            } => {
                if bundle.files[0].bytes.starts_with(b"bad") {
                    return Answer::Refused(RefusalReason::Invalid("a is bad".to_owned()));
                }
                let message = change_message(number, bundle, new_keys);
                if signature
                    .as_ref()
                    .is_some_and(|s| *s != sign(signer, &message))
                {
                    return bad_signature;
                }
                if let Some(refused) = self.refuse_number(number) {
                    return refused;
                }
                let digest = Digest::of(&message);
                self.taken_numbers.insert(number, (digest, signer));
                self.pending = Some(((number, bundle.clone(), *new_keys), command.request));
                self.signers = signature.iter().map(|_| signer).collect();
                self.accept_if_signed()
            }
            Action::Sign {
                digest, signature, ..
            } => {
                if let Some(refused) = self.refuse_missing_proposal(number, *digest) {
                    return refused;
                }
                let ((n, bundle, keys), _) = self.pending.as_ref().unwrap();
                if *signature != sign(signer, &change_message(*n, bundle, keys)) {
                    return bad_signature;
                }
                self.signers.push(signer);
                self.accept_if_signed()
            }
            Action::Reject {
                digest, signature, ..
            } => {
                if let Some(refused) = self.refuse_missing_proposal(number, *digest) {
                    return refused;
                }
                let (_, request) = self.pending.as_ref().unwrap();
                if *signature != sign(signer, &reject_message(number, digest, *request)) {
                    return bad_signature;
                }
                self.pending = None;
                self.taken_numbers.remove(&number);
                Answer::Rejected {
                    number,
                    digest: *digest,
                }
            }
            Action::Replace { .. } => unreachable!("members do not change here"),
        }
    }

    fn refuse_number(&self, number: u64) -> Option<Answer> {
        let next = self.number + 1;
        if let Some(&(digest, author)) = self.taken_numbers.get(&number) {
            return Some(Answer::Refused(RefusalReason::NumberTaken {
                number,
                digest,
                author,
            }));
        }
        let asked = number;
        (asked != next).then_some(Answer::Refused(RefusalReason::StaleNumber { asked, next }))
    }

    fn refuse_missing_proposal(&self, number: u64, digest: Digest) -> Option<Answer> {
        let pending = self.pending.as_ref().map(|((n, ..), _)| *n);
        let is_taken = self
            .taken_numbers
            .get(&number)
            .is_some_and(|t| t.0 == digest);
        if pending == Some(number) && is_taken {
            return None;
        }
        let no_proposal = Answer::Refused(RefusalReason::NoProposal(number));
        Some(self.refuse_number(number).unwrap_or(no_proposal))
    }

    fn accept_if_signed(&mut self) -> Answer {
        let ((number, bundle, keys), _) = self.pending.clone().unwrap();
        let digest = change_digest(number, &bundle, &keys);
        let mut missing = self.owners.clone();
        missing.retain(|k| !self.signers.contains(k));
        if !missing.is_empty() {
            return Answer::Pending {
                number,
                digest,
                missing,
            };
        }
        self.number = number;
        self.pending = None;
        self.owners = keys.map_or(self.owners.clone(), |k| k.to_vec());
        Answer::Accepted { number, digest }
    }
}

fn random_command(rng: &mut SmallRng, model: &Model, request: u64) -> Command {
    let signer = match rng.random_range(0..10) {
        0 => key(77),
        n => model.owners[n % 2],
    };
    let number = (model.number + rng.random_range(0..12u64).min(2))
        .saturating_sub(1)
        .max(1);
    let number = if rng.random_bool(0.8) {
        model.number + 1
    } else {
        number
    };
    let forged = rng.random_bool(0.1);
    let sign = |message: &[u8]| match forged {
        true => Signature(vec![1]),
        false => sign(signer, message),
    };
    let pending = model.pending.clone();
    let choice = rng.random_range(0..10);
    let action = match pending {
        Some(((n, bundle, keys), _)) if (3..9).contains(&choice) => Action::Sign {
            number: n,
            digest: change_digest(n, &bundle, &keys),
            signer,
            signature: sign(&change_message(n, &bundle, &keys)),
        },
        Some(((n, bundle, keys), proposal)) if choice == 9 => {
            let digest = change_digest(n, &bundle, &keys);
            Action::Reject {
                number: n,
                digest,
                signer,
                signature: sign(&reject_message(n, &digest, proposal)),
            }
        }
        None if choice == 9 => Action::Sign {
            number,
            digest: Digest::default(),
            signer,
            signature: sign(b""),
        },
        _ => {
            let text = if rng.random_bool(0.1) { "bad" } else { "good" };
            let bundle = Bundle::new([("a", format!("{text} {request}"))]);
            let rotates = rng.random_bool(0.1);
            let new_keys = rotates.then(|| [key(request), key(request + 1_000_000)]);
            let signature = sign(&change_message(number, &bundle, &new_keys));
            Action::Propose {
                number,
                bundle,
                author: signer,
                new_keys,
                signature: rng.random_bool(0.7).then_some(signature),
            }
        }
    };
    Command {
        request: RequestId(request.into()),
        action,
    }
}

/// Guards against answers or states that differ from those of a single copy. Also checks that a node whose disk fails
/// stops, and that its synced state survives a crash.
#[test]
fn three_replicas_answer_like_one_copy() {
    let mut rng = SmallRng::seed_from_u64(5);
    let owners = [key(0), key(1)];
    let mut group = Group::new(owners);
    let mut model = Model {
        owners: owners.to_vec(),
        ..Model::default()
    };
    let mut sent: VecDeque<Command> = VecDeque::new();
    for request in 0..5_000 {
        let command = match sent.len() {
            n if n > 10 && rng.random_bool(0.1) => sent[rng.random_range(0..n)].clone(),
            _ => random_command(&mut rng, &model, request),
        };
        sent.push_back(command.clone());
        if sent.len() > 50 {
            sent.pop_front();
        }
        let slot = rng.random_range(0..3);
        let expected = model.command(&command);
        let answer = group.command(slot, command.clone());
        assert_eq!(answer, expected, "request {request}: {command:?}");
        let state = &group.nodes[slot].chosen().unwrap().state;
        assert_eq!(state.number, model.number);
        assert_eq!(state.owners.to_vec(), model.owners);
        let pending = state.pending.as_ref().map(|p| (&p.bundle, p.request));
        let expected = model.pending.as_ref().map(|((_, b, _), r)| (b, *r));
        assert_eq!(pending, expected, "request {request}");
    }
    assert!(model.number > 300, "only {} changes", model.number);
    for mut node in group.nodes {
        node.store().disk().crash_after(0);
        let clock = ClockReading {
            now: Timestamp::from_micros(group.now),
            wall: UnixMillis(7),
        };
        assert!(
            node.read(ClientId(0), clock).is_ok(),
            "a read needs no write"
        );
        let command = random_command(&mut rng, &model, 9_999);
        assert!(
            node.command(ClientId(0), command, clock).is_ok(),
            "the command waits for the read"
        );
        let later = ClockReading {
            now: clock.now + REQUEST_TIMEOUT / 2,
            ..clock
        };
        assert!(matches!(node.tick(later), Err(Error::Io { .. })));
        assert!(matches!(node.tick(later), Err(Error::Stopped)));
        let accepted = node.acceptor().accepted().cloned();
        let disk = node.into_disk().crash(&mut rng);
        let now = Timestamp::from_micros(group.now);
        let node = Node::open(disk, ReplicaId(1), Box::new(Fake), now).unwrap();
        assert_eq!(
            node.acceptor().accepted(),
            accepted.as_ref(),
            "synced states must survive"
        );
        assert_eq!(node.poll(0).map(|v| v.number), Some(model.number));
    }
}
