//! Messages between a proposer and the acceptors of a submission.

use serde::{Deserialize, Serialize};

use crate::{
    id::{Digest, EntryId, Incarnation, SubmissionKey},
    time::UnixMillis,
};

/// One incarnation of an entry process. If it owns a submission, no other process may start its tasks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct EntryProcess {
    /// Id of the entry.
    pub entry: EntryId,
    /// Incarnation of its process.
    pub incarnation: Incarnation,
}

/// Ballot number, ordered by the round, then by the proposer.
///
/// The proposer includes the incarnation because an entry that restarts forgets which rounds it used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Ballot {
    /// Round of the ballot; 0 is the round that the first acceptor grants without a prepare.
    pub round: u32,
    /// The process that proposes in this round.
    pub proposer: EntryProcess,
}

/// The last value that an acceptor voted for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedValue {
    /// Ballot of the vote.
    pub ballot: Ballot,
    /// The owner proposed in that ballot.
    pub owner: EntryProcess,
}

/// A step of the consensus protocol, sent by a proposer to an acceptor.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Step {
    /// Vote for the sender in round 0 and grant it that round; sent only to the first acceptor.
    Grant,
    /// Vote for the sender in round 0, which the first acceptor has granted to it.
    Vote,
    /// Promise to reject smaller ballots.
    Prepare {
        /// Round to prepare, at least 1.
        round: u32,
    },
    /// Vote for an owner in a round that was prepared.
    Accept {
        /// Round for which a quorum has promised.
        round: u32,
        /// Proposed owner.
        owner: EntryProcess,
    },
}

impl Step {
    /// Returns the round that the step belongs to.
    pub fn round(&self) -> u32 {
        match *self {
            Step::Grant | Step::Vote => 0,
            Step::Prepare { round } | Step::Accept { round, .. } => round,
        }
    }
}

/// One step of one claim, sent to an acceptor.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepRequest {
    /// Number of the claim at the sender; the reply repeats it.
    pub claim: u64,
    /// Key of the claimed submission.
    pub key: SubmissionKey,
    /// Hash of the content of the submission.
    pub digest: Digest,
    /// When the caller created the submission.
    pub created: UnixMillis,
    /// Step of the protocol.
    pub step: Step,
}

/// Steps of one or more claims for one acceptor.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRequest {
    /// The process that sends the request.
    pub from: EntryProcess,
    /// Wall clock of the proposer when it sent the request.
    pub clock: UnixMillis,
    /// The steps, which the acceptor handles in this order.
    pub steps: Vec<StepRequest>,
}

/// Answer of an acceptor to one step.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum StepResult {
    /// The acceptor rejects smaller ballots from now on; carries the last value that it voted for.
    Promised(Option<AcceptedValue>),
    /// The acceptor voted for the proposed owner.
    Voted,
    /// The acceptor has already promised another ballot, or voted for another owner in this one.
    Refused {
        /// Round of its promise.
        promised: u32,
        /// The last value that the acceptor voted for.
        accepted: Option<AcceptedValue>,
    },
    /// The acceptor knows the key with another content.
    Conflict,
    /// The submission is older than the retention.
    Expired,
    /// The submission was created too far in the future, by the clock of the acceptor.
    CreatedInFuture,
    /// The acceptor may have voted for the submission before it restarted and lost its memory.
    Abstained,
    /// A table of the acceptor is full.
    Full,
    /// The wall clocks of the proposer and the acceptor differ by more than the bound.
    ClockDiffers,
    /// The step is not allowed at this acceptor or in this round.
    Invalid,
}

/// Reply to one [`StepRequest`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepReply {
    /// Claim number from the request.
    pub claim: u64,
    /// Round of the step.
    pub round: u32,
    /// Answer of the acceptor.
    pub result: StepResult,
}

/// Reply to a [`ClaimRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimReply {
    /// Incarnation of the acceptor's process.
    pub from: Incarnation,
    /// Incarnation of the proposer's process that sent the request.
    pub to: Incarnation,
    /// One reply for each step of the request, in the same order.
    pub replies: Vec<StepReply>,
}
