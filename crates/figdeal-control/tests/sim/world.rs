//! Seeded simulation of a few replicas and two operators, with a faulty network and faulty disks.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque},
    time::Duration,
};

use figdeal_control::{
    acceptor::Proposal,
    command::{Action, Answer, Command, RefusalReason},
    message::Envelope,
    node::{Node, Output},
    proposer::{ClientId, ClockReading, Reply},
    sign::{change_digest, change_message, reject_message, replace_message},
    state::{MAX_HISTORY_ENTRIES, MAX_REMEMBERED_REQUESTS, Member, RegisterState},
    types::{Ballot, Bundle, Digest, PublicKey, ReplicaId, RequestId, Signature},
};
use figdeal_core::time::{Timestamp, UnixMillis};
use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::{
    disk::MemDisk,
    keys::{Fake, key, member, sign},
};

/// Faults of a run.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Faults {
    /// Probability that a message is lost.
    pub loss: f64,
    /// Probability that a message is sent twice.
    pub duplicate: f64,
    /// Deliberate fault: a replica that lost its data folder is initialized again under its old id.
    pub wiped_replica_votes: bool,
}

#[derive(Default)]
struct Slot {
    node: Option<Node<MemDisk>>,
    disk: Option<MemDisk>,
    id: u64,
    restart_at: Timestamp,
    /// Highest version that a poll of this replica has returned since its data folder was created.
    latest: u64,
    /// When the last message of another replica arrived.
    last_message_at: Timestamp,
}

/// A message in the network: time of arrival, order of sending, receiving slot and encoded envelope.
type MessageInFlight = (Timestamp, u64, usize, Vec<u8>);

struct ClientRequest {
    slot: usize,
    sent_at: Timestamp,
    /// Highest version that was known to be accepted when the request was sent.
    min_number: u64,
    command: Option<Command>,
}

/// Counts of the events of a run, by which a test asserts that the run exercised them.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Counts {
    pub steps: u64,
    pub accepted: u64,
    pub reads: u64,
    pub refused: u64,
    pub taken: u64,
    pub resends: u64,
    pub crashes: u64,
    pub storage_errors: u64,
    pub lost_disks: u64,
    pub replaced: u64,
    pub key_changes: u64,
}

pub(crate) struct World {
    rng: SmallRng,
    now: Timestamp,
    faults: Faults,
    slots: Vec<Slot>,
    network: BinaryHeap<Reverse<MessageInFlight>>,
    sequence: u64,
    /// Slots that can only reach each other, and the end of that partition.
    partition: Option<(BTreeSet<usize>, Timestamp)>,
    next_operation: Timestamp,
    next_fault: Timestamp,
    open_requests: BTreeMap<u64, ClientRequest>,
    recent: VecDeque<Command>,
    answers: BTreeMap<RequestId, Answer>,
    /// Number of commands so far, and the position of each among them.
    command_count: usize,
    positions: BTreeMap<RequestId, usize>,
    /// Newest state that a read returned, on which the operators base their commands.
    view: RegisterState,
    initial: (Vec<Member>, [PublicKey; 2]),
    /// Member whose data folder is lost, with the highest epoch known at the loss, and the command that replaces it.
    lost: Option<(u64, u64)>,
    replacing: Option<Command>,
    /// Changes that each owner has signed, and the new owner keys of each proposed change.
    signed: BTreeSet<(PublicKey, Digest)>,
    proposed: BTreeMap<Digest, Option<[PublicKey; 2]>>,
    /// Replicas that have accepted each ballot.
    acceptors: BTreeMap<Ballot, BTreeSet<ReplicaId>>,
    /// Replicas that have accepted a state with this version in force.
    holders: BTreeMap<Digest, BTreeSet<ReplicaId>>,
    /// Digest of each accepted version, and the owners who must sign each version.
    digests: BTreeMap<u64, Digest>,
    owners: BTreeMap<u64, [PublicKey; 2]>,
    pub counts: Counts,
}

impl World {
    pub(crate) fn new(size: usize, seed: u64, faults: Faults) -> World {
        let members: Vec<Member> = (0..size).map(|i| member(100 + i as u64, i)).collect();
        let owners = [key(0), key(1)];
        let mut world = World {
            rng: SmallRng::seed_from_u64(seed),
            now: Timestamp::from_micros(1),
            faults,
            slots: Vec::new(),
            network: BinaryHeap::new(),
            sequence: 1000,
            partition: None,
            next_operation: Timestamp::ZERO,
            next_fault: Timestamp::ZERO + Duration::from_secs(2),
            open_requests: BTreeMap::new(),
            recent: VecDeque::new(),
            answers: BTreeMap::new(),
            command_count: 0,
            positions: BTreeMap::new(),
            view: RegisterState::new(owners, members.clone()),
            initial: (members, owners),
            lost: None,
            replacing: None,
            signed: BTreeSet::new(),
            proposed: BTreeMap::new(),
            acceptors: BTreeMap::new(),
            holders: BTreeMap::new(),
            digests: BTreeMap::new(),
            owners: BTreeMap::from([(1, owners)]),
            counts: Counts::default(),
        };
        for i in 0..size {
            world.slots.push(Slot {
                id: 100 + i as u64,
                ..Slot::default()
            });
            world.init_replica(i);
        }
        world
    }

    fn init_replica(&mut self, slot: usize) {
        let (members, owners) = self.initial.clone();
        let id = ReplicaId(self.slots[slot].id);
        let mut node = Node::open(MemDisk::default(), id, Box::new(Fake), self.now).unwrap();
        node.init(owners, members).unwrap();
        self.slots[slot].node = Some(node);
        self.observe(slot);
    }

    fn clock(&self) -> ClockReading {
        ClockReading {
            now: self.now,
            wall: UnixMillis(self.now.as_micros() / 1000),
        }
    }

    fn next_sequence(&mut self) -> u64 {
        self.sequence += 1;
        self.sequence
    }

    /// Runs `steps` events.
    pub(crate) fn run(&mut self, steps: u64) {
        for _ in 0..steps {
            self.step();
        }
        self.counts.steps += steps;
    }

    /// Ends all faults and checks that the register works and that each replica has the newest accepted version.
    pub(crate) fn end_faults_and_check(&mut self) {
        self.faults.loss = 0.0;
        self.next_fault = Timestamp::from_micros(u64::MAX);
        self.partition = None;
        for i in 0..self.slots.len() {
            self.slots[i].restart_at = self.now;
        }
        let (reads, newest) = (self.counts.reads, self.newest());
        self.run(5_000);
        assert!(
            self.counts.reads > reads,
            "the register must work again after the faults: {:?}",
            self.counts
        );
        for slot in &self.slots {
            let polled = slot
                .node
                .as_ref()
                .and_then(|n| n.poll(0))
                .map_or(0, |v| v.number);
            assert!(
                polled >= newest,
                "each replica must catch up to version {newest}"
            );
        }
    }

    fn newest(&self) -> u64 {
        self.digests.last_key_value().map_or(0, |(n, _)| *n)
    }

    fn step(&mut self) {
        let wake = |(i, s): (usize, &Slot)| match &s.node {
            Some(node) => (node.next_wake(), i),
            None => (s.restart_at, i),
        };
        let (wake, slot) = self.slots.iter().enumerate().map(wake).min().unwrap();
        let message = self.network.peek().map(|Reverse((at, ..))| *at);
        let next = wake.min(self.next_operation).min(self.next_fault);
        if let Some(at) = message.filter(|at| *at <= next) {
            self.now = self.now.max(at);
            return self.deliver();
        }
        self.now = self.now.max(next);
        if self.next_fault <= self.now {
            self.inject_fault();
        } else if self.next_operation <= self.now {
            let delay = self.rng.random_range(2_000..60_000);
            self.next_operation = self.now + Duration::from_micros(delay);
            self.run_operation();
        } else if self.slots[slot].node.is_none() {
            self.restart(slot, None);
        } else {
            self.call(slot, |node, clock| node.tick(clock));
            if let Some(node) = &self.slots[slot].node {
                assert!(
                    node.next_wake() > self.now,
                    "a tick must not be due again at once"
                );
            }
        }
    }

    fn deliver(&mut self) {
        let Reverse((_, _, slot, bytes)) = self.network.pop().unwrap();
        if self.slots[slot].node.is_none() {
            return;
        }
        let envelope: Envelope = postcard::from_bytes(&bytes).unwrap();
        if envelope.to.0 == self.slots[slot].id {
            self.slots[slot].last_message_at = self.now;
        }
        self.call(slot, |node, clock| node.receive(envelope, clock));
    }

    fn call(
        &mut self,
        slot: usize,
        f: impl FnOnce(&mut Node<MemDisk>, ClockReading) -> figdeal_control::node::Result<Vec<Output>>,
    ) {
        let clock = self.clock();
        let Some(node) = &mut self.slots[slot].node else {
            return;
        };
        match f(node, clock) {
            Ok(outputs) => {
                self.observe(slot);
                for output in outputs {
                    self.execute(slot, output);
                }
            }
            Err(_) => {
                self.counts.storage_errors += 1;
                self.crash(slot);
            }
        }
    }

    fn crash(&mut self, slot: usize) {
        let Some(node) = self.slots[slot].node.take() else {
            return;
        };
        self.counts.crashes += 1;
        self.slots[slot].disk = Some(node.into_disk().crash(&mut self.rng));
        let max_ms = if self.rng.random_bool(0.1) {
            20_000
        } else {
            500
        };
        let downtime = Duration::from_millis(self.rng.random_range(0..max_ms));
        self.slots[slot].restart_at = self.now + downtime;
    }

    fn restart(&mut self, slot: usize, crash_after: Option<u32>) {
        let disk = self.slots[slot].disk.take().unwrap();
        if let Some(operations) = crash_after {
            disk.crash_after(operations);
        }
        let id = ReplicaId(self.slots[slot].id);
        match Node::open(disk.clone(), id, Box::new(Fake), self.now) {
            Ok(node) => {
                assert_eq!(node.id(), id, "the identity must survive a crash");
                self.slots[slot].node = Some(node);
                self.observe(slot);
            }
            Err(e) => {
                assert!(
                    crash_after.is_some(),
                    "replica {id} must start after a crash: {e}"
                );
                self.counts.storage_errors += 1;
                self.slots[slot].disk = Some(disk.crash(&mut self.rng));
            }
        }
    }

    fn inject_fault(&mut self) {
        let delay = self.rng.random_range(50..2_000);
        self.next_fault = self.now + Duration::from_millis(delay);
        let slot = self.rng.random_range(0..self.slots.len());
        match self.rng.random_range(0..10) {
            0 | 1 => self.crash(slot),
            2..=6 => {
                // The replica crashes at one of its next disk operations, possibly during a restart.
                let left = self.rng.random_range(0..16);
                if self.slots[slot].node.is_none() {
                    return;
                }
                if self.rng.random_bool(0.5) {
                    self.crash(slot);
                    self.restart(slot, Some(left));
                } else if let Some(node) = &self.slots[slot].node {
                    node.store().disk().crash_after(left);
                }
            }
            7 => {
                let mut side = BTreeSet::from([slot]);
                if self.rng.random_bool(0.5) {
                    side.insert(self.rng.random_range(0..self.slots.len()));
                }
                let length = Duration::from_millis(self.rng.random_range(100..30_000));
                self.partition = Some((side, self.now + length));
            }
            _ => self.lose_disk(slot),
        }
    }

    /// Loses the data folder of a replica, unless another one is lost and not yet replaced.
    fn lose_disk(&mut self, slot: usize) {
        if self.lost.is_some() {
            return;
        }
        self.counts.lost_disks += 1;
        self.slots[slot].latest = 0;
        if self.faults.wiped_replica_votes {
            self.init_replica(slot);
            return;
        }
        let nodes = self.slots.iter().filter_map(|s| s.node.as_ref());
        let epoch = nodes
            .filter_map(|n| n.acceptor().epoch())
            .max()
            .unwrap_or(0);
        self.lost = Some((self.slots[slot].id, epoch));
        let id = self.next_sequence();
        let node = Node::open(MemDisk::default(), ReplicaId(id), Box::new(Fake), self.now).unwrap();
        self.slots[slot] = Slot {
            id,
            node: Some(node),
            ..Slot::default()
        };
    }

    fn execute(&mut self, slot: usize, output: Output) {
        match output {
            Output::Send { address, envelope } => {
                let to: usize = address.parse().unwrap();
                let bytes = postcard::to_stdvec(&envelope).unwrap();
                self.transmit(slot, to, bytes);
            }
            Output::Reply { client, reply } => self.on_reply(client, reply),
        }
    }

    fn transmit(&mut self, from: usize, to: usize, bytes: Vec<u8>) {
        if let Some((side, until)) = &self.partition
            && *until > self.now
            && side.contains(&from) != side.contains(&to)
        {
            return;
        }
        let copies = 1 + usize::from(self.rng.random_bool(self.faults.duplicate));
        for _ in 0..copies {
            if self.rng.random_bool(self.faults.loss) {
                continue;
            }
            let max_us = match self.rng.random_range(0..100) {
                0 => 5_000_000,
                1..=5 => 100_000,
                _ => 3_000,
            };
            let delay = Duration::from_micros(self.rng.random_range(500..max_us));
            let order = self.next_sequence();
            self.network
                .push(Reverse((self.now + delay, order, to, bytes.clone())));
        }
    }

    // Requests of the operators.

    fn run_operation(&mut self) {
        if self.open_requests.len() > 20 {
            self.open_requests.pop_first();
        }
        if let Some((lost, _)) = self.lost
            && self.rng.random_bool(0.2)
        {
            return self.replace(lost);
        }
        let owner = self.view.owners[self.rng.random_range(0..2)];
        let pending = self.view.pending.clone();
        match (self.rng.random_range(0..12), pending) {
            (0..=2, _) => self.send(None),
            (3, _) if !self.recent.is_empty() => {
                let index = self.rng.random_range(0..self.recent.len());
                self.counts.resends += 1;
                let command = self.recent[index].clone();
                self.send(Some(command));
            }
            (4..=6, _) | (_, None) => self.propose(owner),
            (7, Some(pending)) => {
                let message = reject_message(pending.number, &pending.digest, pending.request);
                self.submit(Action::Reject {
                    number: pending.number,
                    digest: pending.digest,
                    signer: owner,
                    signature: sign(owner, &message),
                });
            }
            (8, Some(pending)) => {
                // An invalid signature of an owner, or the signature of a key that is not an owner's.
                let signer = [owner, key(999)][self.rng.random_range(0..2)];
                self.submit(Action::Sign {
                    number: pending.number,
                    digest: pending.digest,
                    signer,
                    signature: Signature(vec![0; 32]),
                });
            }
            (_, Some(pending)) => {
                let message = change_message(pending.number, &pending.bundle, &pending.new_keys);
                self.signed.insert((owner, pending.digest));
                self.submit(Action::Sign {
                    number: pending.number,
                    digest: pending.digest,
                    signer: owner,
                    signature: sign(owner, &message),
                });
            }
        }
    }

    fn propose(&mut self, author: PublicKey) {
        let text = format!("v = {}", self.next_sequence());
        let bundle = Bundle::new([
            ("base.toml", "unchanged = true"),
            ("site.toml", text.as_str()),
        ]);
        let number = self.view.number + 1;
        let rotates = self.rng.random_bool(0.1);
        let new_keys = rotates.then(|| [key(self.sequence), key(self.sequence + 1)]);
        let message = change_message(number, &bundle, &new_keys);
        let digest = Digest::of(&message);
        self.proposed.insert(digest, new_keys);
        let signs = self.rng.random_bool(0.7);
        if signs {
            self.signed.insert((author, digest));
        }
        self.submit(Action::Propose {
            number,
            bundle,
            author,
            new_keys,
            signature: signs.then(|| sign(author, &message)),
        });
    }

    fn replace(&mut self, lost: u64) {
        let slot = self
            .slots
            .iter()
            .position(|s| !self.view.members.contains(ReplicaId(s.id)) || s.id == lost);
        let repeats = self.rng.random_bool(0.7);
        if let Some(command) = self.replacing.clone().filter(|_| repeats) {
            return self.send(Some(command));
        }
        let Some(slot) = slot else {
            return self.send(None);
        };
        let epoch = self.view.members.epoch;
        let signer = self.view.owners[0];
        let new = member(self.slots[slot].id, slot);
        let signature = sign(signer, &replace_message(epoch, ReplicaId(lost), &new));
        let old = ReplicaId(lost);
        let action = Action::Replace {
            epoch,
            old,
            new,
            signer,
            signature,
        };
        self.replacing = Some(self.submit(action));
    }

    fn submit(&mut self, action: Action) -> Command {
        let command = Command {
            request: RequestId(self.next_sequence().into()),
            action,
        };
        self.command_count += 1;
        self.positions.insert(command.request, self.command_count);
        self.recent.push_back(command.clone());
        if self.recent.len() > 30 {
            self.recent.pop_front();
        }
        self.send(Some(command.clone()));
        command
    }

    /// Sends a command, or a read without one, to a random replica.
    fn send(&mut self, command: Option<Command>) {
        let slot = self.rng.random_range(0..self.slots.len());
        let client = self.next_sequence();
        let request = ClientRequest {
            slot,
            sent_at: self.now,
            min_number: self.newest(),
            command: command.clone(),
        };
        self.open_requests.insert(client, request);
        let client = ClientId(client);
        self.call(slot, move |node, clock| match command {
            Some(command) => node.command(client, command, clock),
            None => node.read(client, clock),
        });
    }

    fn on_reply(&mut self, client: ClientId, reply: Reply) {
        let Some(request) = self.open_requests.remove(&client.0) else {
            return;
        };
        match reply {
            Reply::Current(state) => {
                self.counts.reads += 1;
                assert!(
                    self.slots[request.slot].last_message_at >= request.sent_at,
                    "a replica that received no message must not claim to be current"
                );
                assert!(
                    state.number >= request.min_number,
                    "a current state must not be old"
                );
                if state.number >= self.view.number {
                    self.view = *state;
                }
                let members = &self.view.members;
                let is_gone = |id| !members.is_joint() && !members.contains(ReplicaId(id));
                if self
                    .lost
                    .is_some_and(|(id, epoch)| members.epoch > epoch && is_gone(id))
                {
                    self.repaired();
                }
            }
            Reply::Answer(answer) => self.on_answer(request.command.unwrap(), answer),
            Reply::Unavailable | Reply::Busy | Reply::NotMember => {}
        }
    }

    fn on_answer(&mut self, command: Command, answer: Answer) {
        if let Answer::Refused(refusal) = &answer {
            self.counts.refused += 1;
            self.counts.taken += u64::from(matches!(refusal, RefusalReason::NumberTaken { .. }));
            if !refusal.is_recorded() {
                return;
            }
        }
        let first = self
            .answers
            .entry(command.request)
            .or_insert(answer.clone());
        // Each later command displaces at most one entry from the table of remembered answers.
        let later = self.command_count - self.positions[&command.request];
        if later < MAX_REMEMBERED_REQUESTS {
            assert_eq!(*first, answer, "a resend must get the first answer");
        }
        match answer {
            Answer::Accepted { number, digest } => self.on_version(number, digest),
            Answer::Replaced { .. } if self.replacing.as_ref() == Some(&command) => self.repaired(),
            _ if self.replacing.as_ref() == Some(&command) => self.replacing = None,
            _ => {}
        }
    }

    /// Records that the lost member is replaced, and often loses the next data folder at once.
    fn repaired(&mut self) {
        self.counts.replaced += 1;
        self.lost = None;
        self.replacing = None;
        if self.rng.random_bool(0.5) {
            let slot = self.rng.random_range(0..self.slots.len());
            self.lose_disk(slot);
        }
    }

    // Checks of the invariants that hold after each step of a replica.

    fn observe(&mut self, slot: usize) {
        let node = self.slots[slot].node.as_ref().unwrap();
        let id = node.id();
        if let Some(Proposal { ballot, state }) = node.acceptor().accepted() {
            self.acceptors.entry(*ballot).or_default().insert(id);
            if let Some(accepted) = state.last_accepted() {
                self.holders.entry(accepted.digest).or_default().insert(id);
            }
        }
        while self.acceptors.len() > 2_000 {
            self.acceptors.pop_first();
        }
        if let Some(chosen) = node.chosen().cloned() {
            if let Some(voters) = self.acceptors.get(&chosen.ballot) {
                let is_quorum = chosen.state.members.is_quorum(voters);
                assert!(is_quorum, "a quorum must have accepted a chosen state");
            }
            if let Some(accepted) = chosen.state.last_accepted() {
                let digest = change_digest(
                    accepted.number,
                    &chosen.state.bundle,
                    &self.proposed[&accepted.digest],
                );
                assert_eq!(digest, accepted.digest, "the files must be the signed ones");
                self.on_version(accepted.number, accepted.digest);
            }
            for old in &chosen.state.history {
                assert_eq!(
                    self.digests.get(&old.number).copied().unwrap_or(old.digest),
                    old.digest,
                    "version {} must not change",
                    old.number
                );
            }
        }
        let node = self.slots[slot].node.as_ref().unwrap();
        let Some(version) = node.poll(0) else {
            assert_eq!(self.slots[slot].latest, 0, "a poll must not go down");
            return;
        };
        let (number, digest) = (version.number, version.digest);
        // If a replica crashed right after it had archived a version, it is the first one to show it after its restart.
        let holders = self.holders.get(&digest).map_or(0, BTreeSet::len);
        if node.chosen().is_none() && holders > self.initial.0.len() / 2 {
            self.on_version(number, digest);
        }
        assert!(number >= self.slots[slot].latest, "a poll must not go down");
        assert_eq!(
            self.digests.get(&number),
            Some(&digest),
            "a poll must show accepted versions only"
        );
        self.slots[slot].latest = number;
    }

    /// Records an accepted version and checks that both owners signed it and that it follows its predecessor.
    fn on_version(&mut self, number: u64, digest: Digest) {
        if let Some(known) = self.digests.get(&number) {
            assert_eq!(*known, digest, "version {number} must have one content");
            return;
        }
        if number > 1 && !self.owners.contains_key(&number) {
            panic!("version {number} must follow version {}", number - 1);
        }
        let owners = self.owners[&number];
        for owner in owners {
            assert!(
                self.signed.contains(&(owner, digest)),
                "version {number} must be signed by both owners"
            );
        }
        let new_keys = self.proposed[&digest];
        self.counts.key_changes += u64::from(new_keys.is_some());
        self.counts.accepted += 1;
        self.digests.insert(number, digest);
        self.owners.insert(number + 1, new_keys.unwrap_or(owners));
        assert!(self.view.history.len() <= MAX_HISTORY_ENTRIES);
    }
}
