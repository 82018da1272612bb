//! State transition of the register: rules for proposals, signatures and the replacement of members.

use figdeal_core::time::UnixMillis;

use crate::{
    command::{Action, Answer, Command, RefusalReason},
    sign::{Verifier, change_digest, change_message, reject_message, replace_message},
    state::{
        AcceptedChange, AnsweredRequest, MAX_HISTORY_ENTRIES, MAX_MEMBER_SETS,
        MAX_REMEMBERED_REQUESTS, Member, PendingChange, RegisterState,
    },
    types::{Bundle, Digest, PublicKey, ReplicaId, RequestId, Signature},
};

/// Result of a transition; the error is the reason of a refusal.
pub type Result<T, E = RefusalReason> = std::result::Result<T, E>;

/// Applies `command` to `state` and returns the new state and the answer.
///
/// If the answer to the request id is remembered, returns it again and changes nothing. `now` is only recorded in the
/// history.
pub fn apply(
    state: &RegisterState,
    command: &Command,
    now: UnixMillis,
    verifier: &dyn Verifier,
) -> (RegisterState, Answer) {
    let digest = command_digest(command);
    if let Some(first) = state.find_answer(command.request) {
        let answer = if first.command == digest {
            first.answer.clone()
        } else {
            Answer::Refused(RefusalReason::RequestIdReused)
        };
        return (state.clone(), answer);
    }
    let mut next = state.clone();
    let answer = match execute(&mut next, command, now, verifier) {
        Ok(answer) => answer,
        Err(refusal) if refusal.is_recorded() => Answer::Refused(refusal),
        Err(refusal) => return (state.clone(), Answer::Refused(refusal)),
    };
    next.requests.push_back(AnsweredRequest {
        request: command.request,
        command: digest,
        answer: answer.clone(),
    });
    while next.requests.len() > MAX_REMEMBERED_REQUESTS {
        next.requests.pop_front();
    }
    assert_transition(state, &next);
    (next, answer)
}

fn command_digest(command: &Command) -> Digest {
    Digest::of(&postcard::to_stdvec(command).expect("a command can be encoded"))
}

/// Executes the operation of `command`. The state is unchanged if the operation is refused.
fn execute(
    state: &mut RegisterState,
    command: &Command,
    now: UnixMillis,
    verifier: &dyn Verifier,
) -> Result<Answer> {
    match &command.action {
        Action::Propose {
            number,
            bundle,
            author,
            new_keys,
            signature,
        } => {
            let pending = new_pending(
                state,
                command.request,
                (*number, bundle, *new_keys),
                (*author, signature.as_ref()),
                verifier,
            )?;
            check_number(state, *number)?;
            state.pending = Some(pending);
            Ok(accept_if_signed(state, now))
        }
        Action::Sign {
            number,
            digest,
            signer,
            signature,
        } => sign(
            state,
            (*number, *digest),
            (*signer, signature),
            now,
            verifier,
        ),
        Action::Reject {
            number,
            digest,
            signer,
            signature,
        } => reject(state, (*number, *digest), (*signer, signature), verifier),
        Action::Replace {
            epoch,
            old,
            new,
            signer,
            signature,
        } => replace(state, *epoch, *old, new, (*signer, signature), verifier),
    }
}

/// Checks a proposal and creates its pending change.
fn new_pending(
    state: &RegisterState,
    request: RequestId,
    (number, bundle, new_keys): (u64, &Bundle, Option<[PublicKey; 2]>),
    (author, signature): (PublicKey, Option<&Signature>),
    verifier: &dyn Verifier,
) -> Result<PendingChange> {
    check_owner(state, author)?;
    bundle.check_files().map_err(RefusalReason::Invalid)?;
    verifier.check(bundle).map_err(RefusalReason::Invalid)?;
    if new_keys.is_some_and(|[a, b]| a == b) {
        return Err(RefusalReason::EqualOwnerKeys);
    }
    let message = change_message(number, bundle, &new_keys);
    if let Some(signature) = signature {
        check_signature(author, &message, signature, verifier)?;
    }
    Ok(PendingChange {
        number,
        digest: Digest::of(&message),
        bundle: bundle.clone(),
        new_keys,
        author,
        request,
        signatures: signature.map(|s| (author, s.clone())).into_iter().collect(),
    })
}

/// Checks that `number` is the next number and that no proposal has it.
fn check_number(state: &RegisterState, number: u64) -> Result<()> {
    if let Some(taken) = find_taken_number(state, number) {
        return Err(taken);
    }
    if number != state.number + 1 {
        return Err(RefusalReason::StaleNumber {
            asked: number,
            next: state.number + 1,
        });
    }
    Ok(())
}

/// Returns a refusal that names the pending or accepted change with `number`, if there is one. The loser of a race for
/// the number thus learns who won it.
fn find_taken_number(state: &RegisterState, number: u64) -> Option<RefusalReason> {
    let pending = state.pending.iter().map(|p| (p.number, p.digest, p.author));
    let history = state.history.iter().map(|a| (a.number, a.digest, a.author));
    let (number, digest, author) = pending.chain(history).find(|(n, ..)| *n == number)?;
    Some(RefusalReason::NumberTaken {
        number,
        digest,
        author,
    })
}

fn sign(
    state: &mut RegisterState,
    (number, digest): (u64, Digest),
    (signer, signature): (PublicKey, &Signature),
    now: UnixMillis,
    verifier: &dyn Verifier,
) -> Result<Answer> {
    check_owner(state, signer)?;
    let pending = find_pending(state, number, digest)?;
    let message = change_message(number, &pending.bundle, &pending.new_keys);
    check_signature(signer, &message, signature, verifier)?;
    let pending = state.pending.as_mut().expect("the proposal was found");
    if !pending.signatures.iter().any(|(key, _)| *key == signer) {
        pending.signatures.push((signer, signature.clone()));
    }
    Ok(accept_if_signed(state, now))
}

fn reject(
    state: &mut RegisterState,
    (number, digest): (u64, Digest),
    (signer, signature): (PublicKey, &Signature),
    verifier: &dyn Verifier,
) -> Result<Answer> {
    check_owner(state, signer)?;
    let pending = find_pending(state, number, digest)?;
    let message = reject_message(number, &digest, pending.request);
    check_signature(signer, &message, signature, verifier)?;
    state.pending = None;
    Ok(Answer::Rejected { number, digest })
}

/// Returns the pending change with this number and digest, or the reason why there is none.
fn find_pending(state: &RegisterState, number: u64, digest: Digest) -> Result<&PendingChange> {
    if let Some(pending) = &state.pending
        && (pending.number, pending.digest) == (number, digest)
    {
        return Ok(pending);
    }
    if let Some(taken) = find_taken_number(state, number) {
        return Err(taken);
    }
    if number != state.number + 1 {
        return Err(RefusalReason::StaleNumber {
            asked: number,
            next: state.number + 1,
        });
    }
    Err(RefusalReason::NoProposal(number))
}

/// Accepts the pending change if both owners have signed it.
fn accept_if_signed(state: &mut RegisterState, now: UnixMillis) -> Answer {
    let pending = state.pending.take().expect("there is a proposal");
    let signed = |key: &PublicKey| pending.signatures.iter().any(|(k, _)| k == key);
    let missing: Vec<_> = state
        .owners
        .iter()
        .copied()
        .filter(|k| !signed(k))
        .collect();
    let (number, digest) = (pending.number, pending.digest);
    if !missing.is_empty() {
        state.pending = Some(pending);
        return Answer::Pending {
            number,
            digest,
            missing,
        };
    }
    state.history.push_back(AcceptedChange {
        number,
        digest,
        author: pending.author,
        signers: state.owners,
        time: now,
    });
    while state.history.len() > MAX_HISTORY_ENTRIES {
        state.history.pop_front();
    }
    state.number = number;
    state.bundle = pending.bundle;
    state.owners = pending.new_keys.unwrap_or(state.owners);
    Answer::Accepted { number, digest }
}

fn replace(
    state: &mut RegisterState,
    epoch: u64,
    old: ReplicaId,
    new: &Member,
    (signer, signature): (PublicKey, &Signature),
    verifier: &dyn Verifier,
) -> Result<Answer> {
    check_owner(state, signer)?;
    check_signature(
        signer,
        &replace_message(epoch, old, new),
        signature,
        verifier,
    )?;
    let members = &mut state.members;
    if epoch != members.epoch {
        return Err(RefusalReason::StaleEpoch {
            asked: epoch,
            current: members.epoch,
        });
    }
    if members.contains(new.id) {
        return Err(RefusalReason::AlreadyMember(new.id));
    }
    if members.sets.len() >= MAX_MEMBER_SETS {
        return Err(RefusalReason::TooManyReplacements);
    }
    let mut set = members.newest().to_vec();
    let Some(member) = set.iter_mut().find(|m| m.id == old) else {
        return Err(RefusalReason::NotMember(old));
    };
    *member = new.clone();
    members.sets.push(set);
    members.epoch += 1;
    Ok(Answer::Replaced {
        epoch: members.epoch,
    })
}

fn check_owner(state: &RegisterState, key: PublicKey) -> Result<()> {
    if !state.owners.contains(&key) {
        return Err(RefusalReason::NotOwner(key));
    }
    Ok(())
}

fn check_signature(
    key: PublicKey,
    message: &[u8],
    signature: &Signature,
    verifier: &dyn Verifier,
) -> Result<()> {
    if !verifier.verify(&key, message, signature) {
        return Err(RefusalReason::BadSignature(key));
    }
    Ok(())
}

/// Asserts the invariants of one transition: the number grows by at most one, and files and owner keys change only by
/// an accepted change that both earlier owners signed.
fn assert_transition(old: &RegisterState, new: &RegisterState) {
    assert!(
        new.number == old.number || new.number == old.number + 1,
        "the number must grow by one, from {} to {}",
        old.number,
        new.number
    );
    if new.number == old.number {
        assert!(
            new.bundle == old.bundle && new.owners == old.owners,
            "change {} must not be altered",
            old.number
        );
        return;
    }
    let accepted = new.last_accepted().expect("an accepted change is recorded");
    assert_eq!(
        accepted.signers, old.owners,
        "change {} must be signed by both owners",
        new.number
    );
    let keys = (new.owners != old.owners).then_some(new.owners);
    let expected = change_digest(new.number, &new.bundle, &keys);
    // A change may name the owner keys that are in force already. They are part of its digest, but the state does not
    // show whether it named them.
    let expected_with_same_keys = change_digest(new.number, &new.bundle, &Some(new.owners));
    assert!(
        accepted.digest == expected || accepted.digest == expected_with_same_keys,
        "change {} must have the signed bytes",
        new.number
    );
}
