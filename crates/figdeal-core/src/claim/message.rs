//! Messages between the proposer and the acceptors of a register.

use serde::{Deserialize, Serialize};

use crate::{
    id::{Digest, EntryId, Incarnation, SubmissionKey},
    time::UnixMillis,
};

/// One run of an entry process, the only one that may start the tasks of the submissions that it owns.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct EntryProcess {
    /// The entry.
    pub entry: EntryId,
    /// The run of its process.
    pub incarnation: Incarnation,
}

/// Ballot, ordered by the round, then by the proposer.
///
/// The incarnation is part of it because an entry that restarts forgets the rounds that it used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Ballot {
    /// 0 for the granted round.
    pub round: u32,
    /// Who runs the round.
    pub proposer: EntryProcess,
}

/// Value that an acceptor voted for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedValue {
    /// The ballot of the vote.
    pub ballot: Ballot,
    /// The owner that was voted for.
    pub owner: EntryProcess,
}

/// What a proposer asks of an acceptor.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Step {
    /// Grant round 0 to the sender; asked of the first acceptor only.
    Grant,
    /// Vote for the sender, which holds the grant of round 0.
    Vote,
    /// Promise to ignore smaller ballots.
    Prepare {
        /// At least 1.
        round: u32,
    },
    /// Vote for an owner in a prepared round.
    Accept {
        /// The prepared round.
        round: u32,
        /// The owner to vote for.
        owner: EntryProcess,
    },
}

impl Step {
    /// The round that the step belongs to.
    pub fn round(&self) -> u32 {
        match *self {
            Step::Grant | Step::Vote => 0,
            Step::Prepare { round } | Step::Accept { round, .. } => round,
        }
    }
}

/// One step of one claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepRequest {
    /// Number of the claim at the sender, returned in the answer.
    pub claim: u64,
    /// The submission.
    pub key: SubmissionKey,
    /// Its content.
    pub digest: Digest,
    /// When its caller created it.
    pub created: UnixMillis,
    /// What is asked.
    pub step: Step,
}

/// Steps of several claims to one acceptor.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRequest {
    /// The proposer.
    pub from: EntryProcess,
    /// The proposer's wall clock when it sent the request.
    pub clock: UnixMillis,
    /// The steps, in order.
    pub steps: Vec<StepRequest>,
}

/// StepResult of an acceptor on one step.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum StepResult {
    /// The acceptor ignores smaller ballots from now on.
    Promised(Option<AcceptedValue>),
    /// The acceptor voted for the owner.
    Voted,
    /// The acceptor has promised another ballot.
    Refused {
        /// Round of that promise.
        promised: u32,
        /// What the acceptor voted for.
        accepted: Option<AcceptedValue>,
    },
    /// The key is known with another content.
    Conflict,
    /// The submission is older than the retention.
    Expired,
    /// The submission was created too far in the future of the acceptor's clock.
    CreatedInFuture,
    /// The acceptor may have forgotten the submission in a restart.
    Abstained,
    /// The acceptor's table is full.
    Full,
    /// The proposer's clock differs too much from the acceptor's.
    ClockDiffers,
    /// The step is not for this acceptor, or not for this round.
    Invalid,
}

/// StepResult on one ask.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepReply {
    /// The number from the ask.
    pub claim: u64,
    /// The round of the step.
    pub round: u32,
    /// The verdict.
    pub result: StepResult,
}

/// Answers to a [`ClaimRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimReply {
    /// The run of the acceptor's process.
    pub from: Incarnation,
    /// The run of the proposer's process that asked.
    pub to: Incarnation,
    /// One answer for each ask, in order.
    pub replies: Vec<StepReply>,
}
