//! Sends the claims of an entry to the other entries. A claim is the vote among the entries on which one owns a
//! submission and may start its tasks.

use std::{
    collections::{BTreeMap, HashMap},
    sync::{Arc, mpsc},
    time::Duration,
};

use figdeal_core::{
    claim::{
        Action, ClaimLimits, ClaimReply, ClaimRequest, Claims, Decision, EntryProcess,
        MembershipEpochs, SteadyClock, StepRequest,
    },
    entry::ClaimResult,
    id::{Digest, EntryId, Incarnation, SubmissionKey},
    time::{Timestamp, UnixMillis},
};
use figdeal_wire::{
    message::OwnerRecord,
    message_count::{self, MessageClass},
};

use super::{Options, event_loop::Event, peers::Peers};

/// Timeout of one claim request to another entry. The claim itself waits for replies only for
/// `ClaimLimits::step_timeout`, which is shorter.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(1);

/// Submissions whose claims were decided, with the results.
pub(crate) type ClaimResults = Vec<(SubmissionKey, ClaimResult)>;

/// The claims of one entry and their unsent messages.
#[derive(Debug)]
pub(crate) struct ClaimDriver {
    me: EntryProcess,
    entries: Vec<EntryId>,
    clock: SteadyClock,
    limits: ClaimLimits,
    claims: Claims,
    /// Unsent claim steps by receiver.
    outbox: BTreeMap<EntryId, Vec<StepRequest>>,
    /// Digests of the submissions with a claim in progress; a decision about another digest is ignored.
    digests: HashMap<SubmissionKey, Digest>,
}

impl ClaimDriver {
    pub(crate) fn new(options: &Options, incarnation: Incarnation) -> ClaimDriver {
        let me = EntryProcess {
            entry: options.id,
            incarnation,
        };
        let mut entries: Vec<EntryId> = options.peers.iter().map(|(id, _)| *id).collect();
        entries.push(options.id);
        entries.sort_unstable();
        let clock = SteadyClock::new(UnixMillis::now(), Timestamp::ZERO);
        let limits = options.rules.claim_limits;
        ClaimDriver {
            me,
            claims: new_claims(me, &entries, clock, limits),
            entries,
            clock,
            limits,
            outbox: BTreeMap::new(),
            digests: HashMap::new(),
        }
    }

    /// Applies the limits of the first configuration and discards all claims. This loses nothing, because an entry
    /// without a configuration neither starts nor answers claims. Later versions do not change the limits: all entries
    /// need the same ones for the lifetime of a record.
    pub(crate) fn configure(&mut self, limits: ClaimLimits) {
        self.limits = limits;
        self.claims = new_claims(self.me, &self.entries, self.clock, limits);
    }

    /// Whether this entry votes on submissions that are created now. After a start it abstains for a while, because it
    /// may have voted before the restart and lost the votes.
    pub(crate) fn is_ready(&self, now: Timestamp) -> bool {
        now >= self.claims.ready_at()
    }

    /// Whether more than half of the records are in use. While they are, a submission that would be refused anyway is
    /// answered as undecided without a claim, so that a flood of one kind does not use up the records of the others.
    pub(crate) fn is_half_full(&self) -> bool {
        self.claims.free_records() < self.limits.max_records / 2
    }

    pub(crate) fn next_wake(&self) -> Option<Timestamp> {
        self.claims.next_wake()
    }

    /// Returns the owner of a submission, as far as this entry knows it.
    pub(crate) fn find_owner(&self, key: SubmissionKey) -> Option<OwnerRecord> {
        let known = self.claims.known_owner(key)?;
        let owner = (known.owner.entry, known.owner.incarnation);
        Some(OwnerRecord {
            digest: known.digest,
            created: known.created,
            owner,
        })
    }

    pub(crate) fn start(
        &mut self,
        (key, digest, created): (SubmissionKey, Digest, UnixMillis),
        dead_owner: Option<(EntryId, Incarnation)>,
        now: Timestamp,
    ) -> ClaimResults {
        let dead_owner = dead_owner.map(|(entry, incarnation)| EntryProcess { entry, incarnation });
        self.digests.insert(key, digest);
        let actions = self.claims.start(key, digest, created, dead_owner, now);
        self.process_actions(actions)
    }

    pub(crate) fn on_request(&mut self, request: &ClaimRequest, now: Timestamp) -> ClaimReply {
        self.claims.on_request(request, now)
    }

    /// Processes the reply of another entry; `None` when it could not be reached.
    pub(crate) fn on_reply(
        &mut self,
        from: EntryId,
        keys: &[SubmissionKey],
        reply: Option<ClaimReply>,
        now: Timestamp,
    ) -> ClaimResults {
        let actions = match reply {
            Some(reply) => self.claims.on_reply(from, &reply, now),
            None => keys
                .iter()
                .flat_map(|key| self.claims.on_unreachable(from, *key, now))
                .collect(),
        };
        self.process_actions(actions)
    }

    pub(crate) fn tick(&mut self, now: Timestamp) -> ClaimResults {
        let actions = self.claims.tick(now);
        self.process_actions(actions)
    }

    /// Sends the queued claim requests, in one message for each entry.
    pub(crate) fn flush(&mut self, peers: &Peers, events: &mpsc::Sender<Event>, now: Timestamp) {
        for (to, steps) in std::mem::take(&mut self.outbox) {
            let keys: Vec<SubmissionKey> = steps.iter().map(|a| a.key).collect();
            let Some(channel) = peers.get(to).map(Arc::clone) else {
                continue;
            };
            let request = self.claims.build_request(steps, now);
            let events = events.clone();
            tokio::spawn(async move {
                message_count::record(MessageClass::Claim);
                let call = channel.call(CLAIM_TIMEOUT, |client, context| async move {
                    client.claim(context, request).await
                });
                let reply = match call.await {
                    Ok(reply) => {
                        message_count::record(MessageClass::Claim);
                        reply
                    }
                    Err(e) => {
                        log::info!("E306 claim request to another entry failed: {e}");
                        None
                    }
                };
                let _ = events.send(Event::ClaimReply {
                    from: to,
                    keys,
                    reply,
                });
            });
        }
    }

    fn process_actions(&mut self, actions: Vec<Action>) -> ClaimResults {
        let mut results = Vec::new();
        for action in actions {
            match action {
                Action::Send { to, request } => self.outbox.entry(to).or_default().push(request),
                Action::Decided {
                    key,
                    digest,
                    decision,
                } => {
                    let is_current = self.digests.get(&key) == Some(&digest);
                    if is_current {
                        self.digests.remove(&key);
                        results.push((key, self.claim_result(decision)));
                    }
                }
            }
        }
        results
    }

    fn claim_result(&self, decision: Decision) -> ClaimResult {
        match decision {
            Decision::Owner => ClaimResult::Owner,
            // This process owned the submission, but no longer has the answer.
            Decision::OwnedBy(owner) if owner == self.me => ClaimResult::Expired,
            Decision::OwnedBy(owner) => ClaimResult::OwnedBy(owner.entry, owner.incarnation),
            Decision::Collector(_) => ClaimResult::Collector,
            Decision::Conflict => ClaimResult::Conflict,
            Decision::Expired => ClaimResult::Expired,
            Decision::Undecided(reason) => {
                log::info!("E307 claim ended undecided: reason={reason:?}");
                ClaimResult::Undecided
            }
            Decision::CreatedInFuture => ClaimResult::CreatedInFuture,
        }
    }
}

fn new_claims(
    me: EntryProcess,
    entries: &[EntryId],
    clock: SteadyClock,
    limits: ClaimLimits,
) -> Claims {
    let lists = vec![(UnixMillis(0), entries.to_vec())];
    let epochs = MembershipEpochs::new(lists).expect("the settings list each entry once");
    Claims::new(me, epochs, clock, limits)
}
