//! One replica: combines acceptor, proposer and store for the driver.

use std::{collections::VecDeque, time::Duration};

use figdeal_core::time::Timestamp;

use crate::{
    acceptor::{Acceptor, Outcome, Proposal, Record, RegisterId},
    command::Command,
    disk::Disk,
    message::{Envelope, Message},
    proposer::{ClientId, ClockReading, Effect, Proposer, Reply, Request},
    sign::Verifier,
    state::Member,
    store::{self, Error, Store, Version},
    types::{Ballot, PublicKey, ReplicaId},
};

/// Interval of the background reads. A change must be in force within 2 s.
pub const BACKGROUND_READ_INTERVAL: Duration = Duration::from_millis(500);
/// First delay before an unfinished replacement of a member is completed in the background. It doubles with each
/// attempt up to [`MAX_FINISH_DELAY`].
pub const MIN_FINISH_DELAY: Duration = Duration::from_secs(1);
/// Longest delay between attempts to complete a replacement, reached while the new replica does not answer.
pub const MAX_FINISH_DELAY: Duration = Duration::from_secs(60);

/// Result of an operation of the node.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Action that the driver has to carry out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Output {
    /// Send a message to another replica.
    Send {
        /// Address of the receiver.
        address: String,
        /// The message.
        envelope: Envelope,
    },
    /// Reply to a client.
    Reply {
        /// Id of the client.
        client: ClientId,
        /// The reply.
        reply: Reply,
    },
}

/// One replica. When a method returns outputs, everything that they promise or confirm is synced to disk.
///
/// After an error the node refuses all further work; the process has to restart from the data folder.
pub struct Node<D> {
    id: ReplicaId,
    register: Option<RegisterId>,
    acceptor: Acceptor,
    proposer: Proposer,
    store: Store<D>,
    verifier: Box<dyn Verifier + Send>,
    /// Newest state that a quorum is known to have accepted.
    chosen: Option<Proposal>,
    /// Time at which a quorum last confirmed which state is chosen.
    confirmed_at: Option<Timestamp>,
    latest_version: Option<Version>,
    /// Address of this replica, to which peers send their replies.
    address: String,
    /// Messages of this replica to itself.
    local_messages: VecDeque<Envelope>,
    outputs: Vec<Output>,
    next_background_read: Timestamp,
    /// When to try again to complete an unfinished replacement.
    finish_replacement_at: Option<Timestamp>,
    finish_delay: Duration,
    has_failed: bool,
}

impl<D: Disk> Node<D> {
    /// Opens the replica of a data folder. An empty folder gets the replica id `new_id`.
    ///
    /// # Errors
    /// The error of the storage.
    pub fn open(
        disk: D,
        new_id: ReplicaId,
        verifier: Box<dyn Verifier + Send>,
        now: Timestamp,
    ) -> Result<Node<D>> {
        let (store, loaded) = Store::open(disk, new_id)?;
        let mut node = Node {
            id: loaded.id,
            register: loaded.register,
            acceptor: Acceptor::new(loaded.id, loaded.promised, loaded.accepted),
            proposer: Proposer::new(loaded.id, loaded.incarnation),
            store,
            verifier,
            chosen: None,
            confirmed_at: None,
            latest_version: loaded.latest_version,
            address: String::new(),
            local_messages: VecDeque::new(),
            outputs: Vec::new(),
            next_background_read: now,
            finish_replacement_at: None,
            finish_delay: MIN_FINISH_DELAY,
            has_failed: false,
        };
        node.update_address();
        Ok(node)
    }

    /// Initializes this replica as one of the initial `members`, see [`store::init`].
    ///
    /// # Errors
    /// Those of [`store::init`].
    pub fn init(&mut self, owners: [PublicKey; 2], members: Vec<Member>) -> Result<()> {
        let initial = store::init(&mut self.store, owners, members)?;
        self.register = Some(initial.0);
        self.acceptor = Acceptor::new(self.id, Ballot::default(), Some(initial.1));
        self.update_address();
        Ok(())
    }

    /// Returns the id of the replica.
    pub fn id(&self) -> ReplicaId {
        self.id
    }

    /// Returns whether the replica is a member in the newest state that it knows.
    pub fn is_member(&self) -> bool {
        let known = self.chosen.as_ref().or(self.acceptor.accepted());
        known.is_some_and(|p| p.state.members.contains(self.id))
    }

    /// Returns the newest state that a quorum is known to have accepted. It may be out of date.
    pub fn chosen(&self) -> Option<&Proposal> {
        self.chosen.as_ref()
    }

    /// Returns when a quorum last confirmed which state is chosen. The chosen state and the version may be out of date
    /// since then.
    pub fn confirmed_at(&self) -> Option<Timestamp> {
        self.confirmed_at
    }

    /// Returns the acceptor, for reports.
    pub fn acceptor(&self) -> &Acceptor {
        &self.acceptor
    }

    /// Returns the store, for the history and comparison of versions.
    pub fn store(&self) -> &Store<D> {
        &self.store
    }

    /// Consumes the node and returns its folder.
    pub fn into_disk(self) -> D {
        self.store.into_disk()
    }

    /// Returns the newest accepted version if its number is above `known_number`.
    ///
    /// A quorum has accepted it and it is archived, so the number never decreases, also across restarts.
    pub fn poll(&self, known_number: u64) -> Option<&Version> {
        self.latest_version
            .as_ref()
            .filter(|v| v.number > known_number)
    }

    /// Starts a client's command.
    ///
    /// # Errors
    /// The error of the storage.
    pub fn command(
        &mut self,
        client: ClientId,
        command: Command,
        clock: ClockReading,
    ) -> Result<Vec<Output>> {
        self.request(client, Request::Command(Box::new(command)), clock)
    }

    /// Starts a read of the current state through a quorum.
    ///
    /// # Errors
    /// The error of the storage.
    pub fn read(&mut self, client: ClientId, clock: ClockReading) -> Result<Vec<Output>> {
        self.request(client, Request::Read, clock)
    }

    fn request(
        &mut self,
        client: ClientId,
        request: Request,
        clock: ClockReading,
    ) -> Result<Vec<Output>> {
        if !self.is_member() {
            self.outputs.push(Output::Reply {
                client,
                reply: Reply::NotMember,
            });
        } else {
            self.proposer.submit(Some(client), request, clock.now);
        }
        self.process_pending(clock)
    }

    /// Handles a message of another replica. Drops messages for another replica id or register.
    ///
    /// # Errors
    /// The error of the storage.
    pub fn receive(&mut self, envelope: Envelope, clock: ClockReading) -> Result<Vec<Output>> {
        let is_for_this_replica = envelope.to == self.id;
        let is_same_register = self.register.is_none_or(|r| r == envelope.register);
        if is_for_this_replica && is_same_register {
            self.local_messages.push_back(envelope);
        }
        self.process_pending(clock)
    }

    /// Runs the periodic work that is due: background reads, and the completion of a replacement.
    ///
    /// # Errors
    /// The error of the storage.
    pub fn tick(&mut self, clock: ClockReading) -> Result<Vec<Output>> {
        // Each due time is advanced even if no request is submitted, so that `next_wake` is never in the past.
        if self.finish_replacement_at.is_some_and(|at| at <= clock.now) {
            // The request is queued behind those of clients. If it waited for an idle proposer, a busy replica would
            // never complete the replacement.
            self.proposer
                .submit(None, Request::FinishReplacement, clock.now);
            self.finish_delay = MAX_FINISH_DELAY.min(2 * self.finish_delay);
            self.finish_replacement_at = Some(clock.now + self.finish_delay);
        }
        if self.next_background_read <= clock.now {
            self.next_background_read = clock.now + BACKGROUND_READ_INTERVAL;
            if self.is_member() && self.proposer.is_idle() {
                self.proposer
                    .submit(None, Request::BackgroundRead, clock.now);
            }
        }
        self.process_pending(clock)
    }

    /// Returns when [`Node::tick`] has to run next.
    pub fn next_wake(&self) -> Timestamp {
        let times = self
            .proposer
            .next_wake()
            .into_iter()
            .chain(self.finish_replacement_at);
        times.fold(self.next_background_read, Timestamp::min)
    }

    /// Runs the proposer and handles local messages until nothing is left to do, and returns the outputs.
    fn process_pending(&mut self, clock: ClockReading) -> Result<Vec<Output>> {
        if self.has_failed {
            return Err(Error::Stopped);
        }
        // After a storage error the node stays marked as failed, and its outputs are not sent.
        self.has_failed = true;
        self.run(clock)?;
        self.has_failed = false;
        Ok(std::mem::take(&mut self.outputs))
    }

    fn run(&mut self, clock: ClockReading) -> Result<()> {
        loop {
            if let Some(local_proposal) = self.acceptor.accepted() {
                self.proposer
                    .advance(local_proposal, self.acceptor.promised(), clock.now);
            }
            for effect in self.proposer.take_effects() {
                self.execute_effect(effect, clock)?;
            }
            let Some(envelope) = self.local_messages.pop_front() else {
                return Ok(());
            };
            self.handle(envelope, clock)?;
        }
    }

    fn execute_effect(&mut self, effect: Effect, clock: ClockReading) -> Result<()> {
        match effect {
            Effect::Send(member, message) => self.send(member.id, member.address, message),
            Effect::Reply(client, reply) => self.outputs.push(Output::Reply { client, reply }),
            Effect::Chosen { proposal, announce } => {
                self.confirmed_at = Some(clock.now);
                if announce {
                    let ballot = proposal.ballot;
                    let mut others = proposal.state.members.all();
                    others.retain(|m| m.id != self.id);
                    for member in others {
                        self.send(member.id, member.address, Message::Chosen { ballot });
                    }
                }
                self.learn(proposal, clock.now)?;
            }
        }
        Ok(())
    }

    fn send(&mut self, to: ReplicaId, address: String, message: Message) {
        let envelope = Envelope {
            from: self.id,
            reply_to: self.address.clone(),
            to,
            register: self.register.expect("only a member sends"),
            message,
        };
        if to == self.id {
            self.local_messages.push_back(envelope);
        } else {
            self.outputs.push(Output::Send { address, envelope });
        }
    }

    fn handle(&mut self, envelope: Envelope, clock: ClockReading) -> Result<()> {
        let Envelope {
            from,
            reply_to,
            register,
            message,
            ..
        } = envelope;
        match message {
            Message::Prepare {
                ballot,
                known_ballot,
            } => {
                let outcome = self.acceptor.prepare(ballot, known_ballot);
                self.persist_and_reply(outcome, from, reply_to, register)?;
            }
            Message::Accept {
                ballot,
                base,
                state,
            } => {
                let outcome = self.acceptor.accept(ballot, base, *state);
                self.persist_and_reply(outcome, from, reply_to, register)?;
            }
            Message::Read {
                read_id,
                known_ballot,
            } => {
                let outcome = self.acceptor.read(read_id, known_ballot);
                self.persist_and_reply(outcome, from, reply_to, register)?;
            }
            Message::Chosen { ballot } => {
                // After a restart, a delayed message may announce a state that is older than the archived version.
                let newest = self.latest_version.as_ref().map_or(0, |v| v.number);
                let accepted = self.acceptor.accepted().filter(|p| p.ballot == ballot);
                if let Some(accepted) = accepted.filter(|p| p.state.number >= newest).cloned() {
                    self.learn(accepted, clock.now)?;
                }
            }
            Message::Promise { ballot, accepted } => {
                self.proposer
                    .on_promise(from, ballot, accepted, clock, &*self.verifier);
            }
            Message::Accepted { ballot } => {
                if let Some(local_proposal) = self.acceptor.accepted() {
                    self.proposer
                        .on_accepted(from, ballot, local_proposal, clock.now);
                }
            }
            Message::Nack { ballot, promised } => {
                self.proposer.on_nack(ballot, promised, clock.now);
            }
            Message::ReadReply { read_id, accepted } => {
                if let Some(local_proposal) = self.acceptor.accepted() {
                    self.proposer
                        .on_read_reply(from, read_id, accepted, local_proposal, clock.now);
                }
            }
        }
        Ok(())
    }

    /// Syncs the record of a vote, then sends the reply.
    fn persist_and_reply(
        &mut self,
        outcome: Outcome,
        to: ReplicaId,
        address: String,
        register: RegisterId,
    ) -> Result<()> {
        if let Some(record) = &outcome.persist {
            self.register = Some(register);
            self.persist(record)?;
        }
        if let Some(reply) = outcome.reply {
            self.send(to, address, reply);
        }
        Ok(())
    }

    fn persist(&mut self, record: &Record) -> Result<()> {
        let register = self.register.expect("a vote belongs to a register");
        self.store.persist(record, register)?;
        if matches!(record, Record::Accepted(_)) {
            self.update_address();
        }
        Ok(())
    }

    /// Takes the address of this replica from the accepted state.
    fn update_address(&mut self) {
        let Some(accepted) = self.acceptor.accepted() else {
            return;
        };
        let all = accepted.state.members.all();
        if let Some(member) = all.into_iter().find(|m| m.id == self.id) {
            self.address = member.address;
        }
    }

    /// Records that a quorum has accepted a state: stores it, archives its version and updates the member sets.
    fn learn(&mut self, proposal: Proposal, now: Timestamp) -> Result<()> {
        if self
            .chosen
            .as_ref()
            .is_some_and(|c| c.ballot >= proposal.ballot)
        {
            return Ok(());
        }
        if let Some(record) = self.acceptor.adopt(&proposal) {
            self.persist(&record)?;
        }
        self.learn_version(&proposal)?;
        let epoch = |p: &Proposal| p.state.members.epoch;
        if self.chosen.as_ref().map(epoch) != Some(epoch(&proposal)) {
            self.finish_delay = MIN_FINISH_DELAY;
            let is_joint = proposal.state.members.is_joint();
            self.finish_replacement_at = is_joint.then(|| now + self.finish_delay);
        }
        self.chosen = Some(proposal);
        if !self.is_member() {
            self.finish_replacement_at = None;
            self.proposer.cancel_all();
        }
        Ok(())
    }

    /// Archives a newer version, before [`Node::poll`] returns it.
    fn learn_version(&mut self, proposal: &Proposal) -> Result<()> {
        let Some(version) = Version::of(&proposal.state) else {
            return Ok(());
        };
        if let Some(latest_version) = &self.latest_version {
            assert!(
                version.number >= latest_version.number,
                "accepted version {} must not be reverted to {}",
                latest_version.number,
                version.number
            );
            if version.number == latest_version.number {
                assert_eq!(
                    version.digest, latest_version.digest,
                    "version {} must have one content",
                    version.number
                );
                return Ok(());
            }
        }
        self.store.archive(&version)?;
        self.latest_version = Some(version);
        Ok(())
    }
}
