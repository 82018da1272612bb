//! Carries the claims of an entry to the other entries.

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

use super::{Options, control::Event, peers::Peers};

/// Longest wait for a member; the claim itself goes on earlier.
const MEMBER_LIMIT: Duration = Duration::from_secs(1);

/// Claims that were decided.
pub(crate) type Decided = Vec<(SubmissionKey, ClaimResult)>;

/// The claims of one entry and the messages that they have to send.
#[derive(Debug)]
pub(crate) struct ClaimDriver {
    me: EntryProcess,
    entries: Vec<EntryId>,
    clock: SteadyClock,
    limits: ClaimLimits,
    claims: Claims,
    outbox: BTreeMap<EntryId, Vec<StepRequest>>,
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
        let limits = options.rules.claims;
        ClaimDriver {
            me,
            claims: claims(me, &entries, clock, limits),
            entries,
            clock,
            limits,
            outbox: BTreeMap::new(),
            digests: HashMap::new(),
        }
    }

    /// Takes the limits of the first configuration. A process without one claims nothing and answers no claims, so that
    /// nothing is forgotten. Later versions do not change them: every entry needs the same ones for the life of a record.
    pub(crate) fn configure(&mut self, limits: ClaimLimits) {
        self.limits = limits;
        self.claims = claims(self.me, &self.entries, self.clock, limits);
    }

    /// Whether submissions created from now on can be claimed.
    pub(crate) fn is_ready(&self, now: Timestamp) -> bool {
        now >= self.claims.ready_at()
    }

    /// Whether half of the records are in use. Refusals then stop using them, so that a flood of one kind does not
    /// take the claims of the others.
    pub(crate) fn is_scarce(&self) -> bool {
        self.claims.free_records() < self.limits.max_records / 2
    }

    pub(crate) fn next_wake(&self) -> Option<Timestamp> {
        self.claims.next_wake()
    }

    /// What this entry knows about the owner of a submission.
    pub(crate) fn find(&self, key: SubmissionKey) -> Option<OwnerRecord> {
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
        dead: Option<(EntryId, Incarnation)>,
        now: Timestamp,
    ) -> Decided {
        let dead = dead.map(|(entry, incarnation)| EntryProcess { entry, incarnation });
        self.digests.insert(key, digest);
        let actions = self.claims.start(key, digest, created, dead, now);
        self.take(actions)
    }

    pub(crate) fn on_request(&mut self, request: &ClaimRequest, now: Timestamp) -> ClaimReply {
        self.claims.on_request(request, now)
    }

    /// Takes the reply of a member; `None` when it could not be reached.
    pub(crate) fn on_reply(
        &mut self,
        from: EntryId,
        keys: &[SubmissionKey],
        reply: Option<ClaimReply>,
        now: Timestamp,
    ) -> Decided {
        let actions = match reply {
            Some(reply) => self.claims.on_reply(from, &reply, now),
            None => keys
                .iter()
                .flat_map(|key| self.claims.on_unreachable(from, *key, now))
                .collect(),
        };
        self.take(actions)
    }

    pub(crate) fn tick(&mut self, now: Timestamp) -> Decided {
        let actions = self.claims.tick(now);
        self.take(actions)
    }

    /// Sends what has gathered, one message for each member.
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
                let call = channel.call(MEMBER_LIMIT, |client, context| async move {
                    client.claim(context, request).await
                });
                let reply = match call.await {
                    Ok(reply) => {
                        message_count::record(MessageClass::Claim);
                        reply
                    }
                    Err(e) => {
                        log::info!("E306 claim: {e}");
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

    fn take(&mut self, actions: Vec<Action>) -> Decided {
        let mut decided = Vec::new();
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
                        decided.push((key, self.claimed(decision)));
                    }
                }
            }
        }
        decided
    }

    fn claimed(&self, decision: Decision) -> ClaimResult {
        match decision {
            Decision::Owner => ClaimResult::Owner,
            // This process owned it and no longer holds the answer.
            Decision::OwnedBy(owner) if owner == self.me => ClaimResult::Expired,
            Decision::OwnedBy(owner) => ClaimResult::OwnedBy(owner.entry, owner.incarnation),
            Decision::Collector(_) => ClaimResult::Collector,
            Decision::Conflict => ClaimResult::Conflict,
            Decision::Expired => ClaimResult::Expired,
            Decision::Undecided(reason) => {
                log::info!("E307 claim undecided: {reason:?}");
                ClaimResult::Undecided
            }
            Decision::CreatedInFuture => ClaimResult::CreatedInFuture,
        }
    }
}

fn claims(
    me: EntryProcess,
    entries: &[EntryId],
    clock: SteadyClock,
    limits: ClaimLimits,
) -> Claims {
    let lists = vec![(UnixMillis(0), entries.to_vec())];
    let epochs = MembershipEpochs::new(lists).expect("the settings list each entry once");
    Claims::new(me, epochs, clock, limits)
}
