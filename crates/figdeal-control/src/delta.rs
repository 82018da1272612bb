//! Delta encoding of a state: leaves out what the receiver has already.

use std::collections::{HashMap, VecDeque};

use displaydoc::Display;
use serde::{Deserialize, Serialize};

use crate::{
    state::{AcceptedChange, AnsweredRequest, RegisterState},
    types::{Bundle, Digest, File},
};

/// A state encoded against a base state, or completely if there is no base.
///
/// Files that the base has are replaced by their digest, and tables hold only the entries that the base lacks.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StateDelta {
    /// The state without files, answered requests and history.
    state: RegisterState,
    /// Whether the state can only be restored with its base.
    has_base: bool,
    requests: TableDelta<AnsweredRequest>,
    history: TableDelta<AcceptedChange>,
    /// Files in force.
    files: Vec<FileDelta>,
    /// Files of the pending change.
    pending: Vec<FileDelta>,
}

/// A file, or a reference to equal content in the base or in an earlier file.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
enum FileDelta {
    /// File with its content.
    Content(File),
    /// Name of the file and digest of its content.
    Reference(String, Digest),
}

/// A table encoded against its base: the entries of the base from `skip` on, followed by `added`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct TableDelta<T> {
    skip: usize,
    added: VecDeque<T>,
}

impl<T: Clone + PartialEq> TableDelta<T> {
    fn new(mut entries: VecDeque<T>, base: &VecDeque<T>) -> TableDelta<T> {
        let is_kept = |skip: &usize| {
            let kept = base.len() - skip;
            kept <= entries.len() && base.range(*skip..).eq(entries.range(..kept))
        };
        let skip = (0..=base.len())
            .find(is_kept)
            .expect("skipping the whole base always fits");
        TableDelta {
            skip,
            added: entries.split_off(base.len() - skip),
        }
    }

    fn apply_to(self, base: &VecDeque<T>) -> VecDeque<T> {
        let kept = base.iter().skip(self.skip).cloned();
        kept.chain(self.added).collect()
    }
}

/// Reason why a state cannot be restored from its delta.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum DeltaError {
    /// file {name} with digest {digest} is not in the base state
    MissingFile {
        /// Name of the file.
        name: String,
        /// Digest of its content.
        digest: Digest,
    },
    /// the base state is not available
    MissingBase,
    /// a member set is empty
    EmptyMemberSet,
}

impl std::error::Error for DeltaError {}

impl StateDelta {
    /// Encodes `state` for a receiver that has `base`. Content that occurs twice is included once.
    pub fn new(state: &RegisterState, base: Option<&RegisterState>) -> StateDelta {
        let mut known = base.map(known_contents).unwrap_or_default();
        let mut rest = state.clone();
        let files = encode_files(std::mem::take(&mut rest.bundle), &mut known);
        let pending = match &mut rest.pending {
            Some(pending) => encode_files(std::mem::take(&mut pending.bundle), &mut known),
            None => Vec::new(),
        };
        let (requests, history) = base_tables(base);
        StateDelta {
            requests: TableDelta::new(std::mem::take(&mut rest.requests), requests),
            history: TableDelta::new(std::mem::take(&mut rest.history), history),
            state: rest,
            has_base: base.is_some(),
            files,
            pending,
        }
    }

    /// Restores the state from the delta and `base`.
    ///
    /// # Errors
    /// Fails if the base or the content of a file is missing. Also fails for an empty member set and for an empty list
    /// of member sets, of which any votes would be a quorum.
    pub fn apply_to(self, base: Option<&RegisterState>) -> Result<RegisterState, DeltaError> {
        if self.has_base && base.is_none() {
            return Err(DeltaError::MissingBase);
        }
        let mut known = base.map(known_contents).unwrap_or_default();
        let mut state = self.state;
        let sets = &state.members.sets;
        if sets.is_empty() || sets.iter().any(Vec::is_empty) {
            return Err(DeltaError::EmptyMemberSet);
        }
        let (requests, history) = base_tables(base);
        state.requests = self.requests.apply_to(requests);
        state.history = self.history.apply_to(history);
        state.bundle = decode_files(self.files, &mut known)?;
        let pending = decode_files(self.pending, &mut known)?;
        if let Some(change) = &mut state.pending {
            change.bundle = pending;
        }
        Ok(state)
    }
}

/// Contents that can be replaced by a reference, by digest.
type KnownContents = HashMap<Digest, Vec<u8>>;

/// Returns the tables of the base, or empty tables without a base.
fn base_tables(
    base: Option<&RegisterState>,
) -> (&VecDeque<AnsweredRequest>, &VecDeque<AcceptedChange>) {
    static EMPTY: (VecDeque<AnsweredRequest>, VecDeque<AcceptedChange>) =
        (VecDeque::new(), VecDeque::new());
    match base {
        Some(base) => (&base.requests, &base.history),
        None => (&EMPTY.0, &EMPTY.1),
    }
}

fn known_contents(state: &RegisterState) -> KnownContents {
    let pending = state.pending.iter().flat_map(|p| &p.bundle.files);
    let files = state.bundle.files.iter().chain(pending);
    files
        .map(|f| (Digest::of(&f.bytes), f.bytes.clone()))
        .collect()
}

fn encode_files(bundle: Bundle, known: &mut KnownContents) -> Vec<FileDelta> {
    let encode_file = |file: File| {
        let digest = Digest::of(&file.bytes);
        if known.contains_key(&digest) {
            return FileDelta::Reference(file.name, digest);
        }
        known.insert(digest, file.bytes.clone());
        FileDelta::Content(file)
    };
    bundle.files.into_iter().map(encode_file).collect()
}

fn decode_files(files: Vec<FileDelta>, known: &mut KnownContents) -> Result<Bundle, DeltaError> {
    let mut decode_file = |file: FileDelta| match file {
        FileDelta::Content(file) => {
            known.insert(Digest::of(&file.bytes), file.bytes.clone());
            Ok(file)
        }
        FileDelta::Reference(name, digest) => match known.get(&digest) {
            Some(bytes) => Ok(File {
                name,
                bytes: bytes.clone(),
            }),
            None => Err(DeltaError::MissingFile { name, digest }),
        },
    };
    let files = files
        .into_iter()
        .map(&mut decode_file)
        .collect::<Result<_, _>>()?;
    Ok(Bundle { files })
}
