//! Seeded run of a few replicas and two operators over a faulty network and faulty disks.

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
    proposer::{ClientId, Clock, Reply},
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

/// Chances in a run.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Faults {
    /// A message is lost.
    pub loss: f64,
    /// A message is delivered twice.
    pub duplicate: f64,
    /// A replica that lost its folder is founded again under its old identity: the deliberate fault.
    pub wiped_votes: bool,
}

#[derive(Default)]
struct Slot {
    node: Option<Node<MemDisk>>,
    disk: Option<MemDisk>,
    id: u64,
    up_at: Timestamp,
    /// Highest version that this folder has given out.
    polled: u64,
    /// When the last message of another replica arrived.
    heard: Timestamp,
}

/// Arrival, order of sending, receiving slot and message.
type Parcel = (Timestamp, u64, usize, Vec<u8>);

struct Asked {
    slot: usize,
    at: Timestamp,
    /// Highest version that was known to be accepted when the request was made.
    floor: u64,
    command: Option<Command>,
}

/// Figures of a run, so that a test can assert that it was not idle.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Counts {
    pub steps: u64,
    pub accepted: u64,
    pub reads: u64,
    pub refused: u64,
    pub taken: u64,
    pub resends: u64,
    pub crashes: u64,
    pub torn: u64,
    pub lost_disks: u64,
    pub replaced: u64,
    pub key_changes: u64,
}

pub(crate) struct World {
    rng: SmallRng,
    now: Timestamp,
    faults: Faults,
    slots: Vec<Slot>,
    network: BinaryHeap<Reverse<Parcel>>,
    sequence: u64,
    /// Slots that can only reach each other, until a time.
    partition: Option<(BTreeSet<usize>, Timestamp)>,
    next_act: Timestamp,
    next_fault: Timestamp,
    asked: BTreeMap<u64, Asked>,
    recent: VecDeque<Command>,
    answers: BTreeMap<RequestId, Answer>,
    /// Commands so far, and the position of each among them.
    requests: usize,
    issued: BTreeMap<RequestId, usize>,
    view: RegisterState,
    founders: (Vec<Member>, [PublicKey; 2]),
    /// Member whose folder is lost, with the highest epoch that any replica knew then.
    lost: Option<(u64, u64)>,
    replacing: Option<Command>,
    /// What each owner has signed.
    signed: BTreeSet<(PublicKey, Digest)>,
    proposed: BTreeMap<Digest, Option<[PublicKey; 2]>>,
    held: BTreeMap<Ballot, BTreeSet<ReplicaId>>,
    /// Replicas that held a version as the one in force.
    holders: BTreeMap<Digest, BTreeSet<ReplicaId>>,
    content: BTreeMap<u64, Digest>,
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
            next_act: Timestamp::ZERO,
            next_fault: Timestamp::ZERO + Duration::from_secs(2),
            asked: BTreeMap::new(),
            recent: VecDeque::new(),
            answers: BTreeMap::new(),
            requests: 0,
            issued: BTreeMap::new(),
            view: RegisterState::new(owners, members.clone()),
            founders: (members, owners),
            lost: None,
            replacing: None,
            signed: BTreeSet::new(),
            proposed: BTreeMap::new(),
            held: BTreeMap::new(),
            holders: BTreeMap::new(),
            content: BTreeMap::new(),
            owners: BTreeMap::from([(1, owners)]),
            counts: Counts::default(),
        };
        for i in 0..size {
            world.slots.push(Slot {
                id: 100 + i as u64,
                ..Slot::default()
            });
            world.found(i);
        }
        world
    }

    fn found(&mut self, slot: usize) {
        let (members, owners) = self.founders.clone();
        let id = ReplicaId(self.slots[slot].id);
        let mut node = Node::open(MemDisk::default(), id, Box::new(Fake), self.now).unwrap();
        node.init(owners, members).unwrap();
        self.slots[slot].node = Some(node);
        self.observe(slot);
    }

    fn clock(&self) -> Clock {
        Clock {
            now: self.now,
            wall: UnixMillis(self.now.as_micros() / 1000),
        }
    }

    fn fresh(&mut self) -> u64 {
        self.sequence += 1;
        self.sequence
    }

    /// Runs events until `steps` of them are done.
    pub(crate) fn run(&mut self, steps: u64) {
        for _ in 0..steps {
            self.step();
        }
        self.counts.steps += steps;
    }

    /// Ends all faults and checks that the register still works and has every accepted version.
    pub(crate) fn settle(&mut self) {
        self.faults.loss = 0.0;
        self.next_fault = Timestamp::from_micros(u64::MAX);
        self.partition = None;
        for i in 0..self.slots.len() {
            self.slots[i].up_at = self.now;
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
        self.content.last_key_value().map_or(0, |(n, _)| *n)
    }

    fn step(&mut self) {
        let wake = |(i, s): (usize, &Slot)| match &s.node {
            Some(node) => (node.next_wake(), i),
            None => (s.up_at, i),
        };
        let (wake, slot) = self.slots.iter().enumerate().map(wake).min().unwrap();
        let message = self.network.peek().map(|Reverse((at, ..))| *at);
        let next = wake.min(self.next_act).min(self.next_fault);
        if let Some(at) = message.filter(|at| *at <= next) {
            self.now = self.now.max(at);
            return self.deliver();
        }
        self.now = self.now.max(next);
        if self.next_fault <= self.now {
            self.fault();
        } else if self.next_act <= self.now {
            let pause = self.rng.random_range(2_000..60_000);
            self.next_act = self.now + Duration::from_micros(pause);
            self.act();
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
            self.slots[slot].heard = self.now;
        }
        self.call(slot, |node, clock| node.receive(envelope, clock));
    }

    fn call(
        &mut self,
        slot: usize,
        f: impl FnOnce(&mut Node<MemDisk>, Clock) -> figdeal_control::node::Result<Vec<Output>>,
    ) {
        let clock = self.clock();
        let Some(node) = &mut self.slots[slot].node else {
            return;
        };
        match f(node, clock) {
            Ok(actions) => {
                self.observe(slot);
                for action in actions {
                    self.take_action(slot, action);
                }
            }
            Err(_) => {
                self.counts.torn += 1;
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
        let longest = if self.rng.random_bool(0.1) {
            20_000
        } else {
            500
        };
        let down = Duration::from_millis(self.rng.random_range(0..longest));
        self.slots[slot].up_at = self.now + down;
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
                self.counts.torn += 1;
                self.slots[slot].disk = Some(disk.crash(&mut self.rng));
            }
        }
    }

    fn fault(&mut self) {
        let pause = self.rng.random_range(50..2_000);
        self.next_fault = self.now + Duration::from_millis(pause);
        let slot = self.rng.random_range(0..self.slots.len());
        match self.rng.random_range(0..10) {
            0 | 1 => self.crash(slot),
            2..=6 => {
                // The crash comes at one of the next write boundaries, also within the start.
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

    /// Loses a folder, unless one is lost already and not yet replaced.
    fn lose_disk(&mut self, slot: usize) {
        if self.lost.is_some() {
            return;
        }
        self.counts.lost_disks += 1;
        self.slots[slot].polled = 0;
        if self.faults.wiped_votes {
            self.found(slot);
            return;
        }
        let nodes = self.slots.iter().filter_map(|s| s.node.as_ref());
        let epoch = nodes
            .filter_map(|n| n.acceptor().epoch())
            .max()
            .unwrap_or(0);
        self.lost = Some((self.slots[slot].id, epoch));
        let id = self.fresh();
        let node = Node::open(MemDisk::default(), ReplicaId(id), Box::new(Fake), self.now).unwrap();
        self.slots[slot] = Slot {
            id,
            node: Some(node),
            ..Slot::default()
        };
    }

    fn take_action(&mut self, slot: usize, action: Output) {
        match action {
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
            let longest = match self.rng.random_range(0..100) {
                0 => 5_000_000,
                1..=5 => 100_000,
                _ => 3_000,
            };
            let delay = Duration::from_micros(self.rng.random_range(500..longest));
            let order = self.fresh();
            self.network
                .push(Reverse((self.now + delay, order, to, bytes.clone())));
        }
    }

    // Operators.

    fn act(&mut self) {
        if self.asked.len() > 20 {
            self.asked.pop_first();
        }
        if let Some((lost, _)) = self.lost
            && self.rng.random_bool(0.2)
        {
            return self.replace(lost);
        }
        let owner = self.view.owners[self.rng.random_range(0..2)];
        let pending = self.view.pending.clone();
        match (self.rng.random_range(0..12), pending) {
            (0..=2, _) => self.ask(None),
            (3, _) if !self.recent.is_empty() => {
                let index = self.rng.random_range(0..self.recent.len());
                self.counts.resends += 1;
                let command = self.recent[index].clone();
                self.ask(Some(command));
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
                // A forged signature, or one of a key that is not an owner's.
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
        let text = format!("v = {}", self.fresh());
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
            return self.ask(Some(command));
        }
        let Some(slot) = slot else {
            return self.ask(None);
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
            request: RequestId(self.fresh().into()),
            action,
        };
        self.requests += 1;
        self.issued.insert(command.request, self.requests);
        self.recent.push_back(command.clone());
        if self.recent.len() > 30 {
            self.recent.pop_front();
        }
        self.ask(Some(command.clone()));
        command
    }

    /// Sends a command, or a read, to some replica.
    fn ask(&mut self, command: Option<Command>) {
        let slot = self.rng.random_range(0..self.slots.len());
        let client = self.fresh();
        let asked = Asked {
            slot,
            at: self.now,
            floor: self.newest(),
            command: command.clone(),
        };
        self.asked.insert(client, asked);
        let client = ClientId(client);
        self.call(slot, move |node, clock| match command {
            Some(command) => node.command(client, command, clock),
            None => node.read(client, clock),
        });
    }

    fn on_reply(&mut self, client: ClientId, reply: Reply) {
        let Some(asked) = self.asked.remove(&client.0) else {
            return;
        };
        match reply {
            Reply::Current(state) => {
                self.counts.reads += 1;
                assert!(
                    self.slots[asked.slot].heard >= asked.at,
                    "a replica that heard of no other must not claim to be current"
                );
                assert!(
                    state.number >= asked.floor,
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
            Reply::Answer(answer) => self.on_answer(asked.command.unwrap(), answer),
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
        // Each later command takes one place of the bounded table at most.
        let later = self.requests - self.issued[&command.request];
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

    /// The lost member is replaced; often the next folder is lost right after.
    fn repaired(&mut self) {
        self.counts.replaced += 1;
        self.lost = None;
        self.replacing = None;
        if self.rng.random_bool(0.5) {
            let slot = self.rng.random_range(0..self.slots.len());
            self.lose_disk(slot);
        }
    }

    // Invariants.

    fn observe(&mut self, slot: usize) {
        let node = self.slots[slot].node.as_ref().unwrap();
        let id = node.id();
        if let Some(Proposal { ballot, state }) = node.acceptor().accepted() {
            self.held.entry(*ballot).or_default().insert(id);
            if let Some(accepted) = state.last_accepted() {
                self.holders.entry(accepted.digest).or_default().insert(id);
            }
        }
        while self.held.len() > 2_000 {
            self.held.pop_first();
        }
        if let Some(chosen) = node.chosen().cloned() {
            if let Some(holders) = self.held.get(&chosen.ballot) {
                let is_quorum = chosen.state.members.is_quorum(holders);
                assert!(is_quorum, "a chosen state must be held by a quorum");
            }
            if let Some(accepted) = chosen.state.last_accepted() {
                let names = change_digest(
                    accepted.number,
                    &chosen.state.bundle,
                    &self.proposed[&accepted.digest],
                );
                assert_eq!(names, accepted.digest, "the files must be the signed ones");
                self.on_version(accepted.number, accepted.digest);
            }
            for old in &chosen.state.history {
                assert_eq!(
                    self.content.get(&old.number).copied().unwrap_or(old.digest),
                    old.digest,
                    "version {} must not change",
                    old.number
                );
            }
        }
        let node = self.slots[slot].node.as_ref().unwrap();
        let Some(version) = node.poll(0) else {
            assert_eq!(self.slots[slot].polled, 0, "a poll must not go down");
            return;
        };
        let (number, digest) = (version.number, version.digest);
        // A replica that crashed right after it had archived a version shows it for the first time now.
        let holders = self.holders.get(&digest).map_or(0, BTreeSet::len);
        if node.chosen().is_none() && holders > self.founders.0.len() / 2 {
            self.on_version(number, digest);
        }
        assert!(number >= self.slots[slot].polled, "a poll must not go down");
        assert_eq!(
            self.content.get(&number),
            Some(&digest),
            "a poll must show accepted versions only"
        );
        self.slots[slot].polled = number;
    }

    /// Notes an accepted version and checks it against what the owners have signed.
    fn on_version(&mut self, number: u64, digest: Digest) {
        if let Some(known) = self.content.get(&number) {
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
        self.content.insert(number, digest);
        self.owners.insert(number + 1, new_keys.unwrap_or(owners));
        assert!(self.view.history.len() <= MAX_HISTORY_ENTRIES);
    }
}
