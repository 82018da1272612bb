//! Compact form of a state: files that the receiver holds already are named by their digest only.

use displaydoc::Display;
use serde::{Deserialize, Serialize};

use crate::{
    state::RegisterState,
    types::{Bundle, Digest, File},
};

/// A state whose files are replaced by [`PackedFile`]s.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PackedState {
    /// The state without any file.
    state: RegisterState,
    /// Files in force.
    files: Vec<PackedFile>,
    /// Files of the pending proposal.
    pending: Vec<PackedFile>,
}

/// A file or the digest of one that occurred before.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
enum PackedFile {
    /// The file itself.
    Whole(File),
    /// Name and digest of the content.
    Known(String, Digest),
}

/// Why a state cannot be restored.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum UnpackError {
    /// the file {name} with digest {digest} is not in the state that the sender assumed
    MissingFile {
        /// Name of the file.
        name: String,
        /// Digest of its content.
        digest: Digest,
    },
    /// a member set is empty
    NoMembers,
}

impl std::error::Error for UnpackError {}

impl PackedState {
    /// Packs `state` for a receiver that holds `base`. A content that occurs twice is packed once.
    pub fn new(state: &RegisterState, base: Option<&RegisterState>) -> PackedState {
        let mut known = base.map(contents).unwrap_or_default();
        let mut bare = state.clone();
        let files = pack(std::mem::take(&mut bare.bundle), &mut known);
        let pending = match &mut bare.pending {
            Some(pending) => pack(std::mem::take(&mut pending.bundle), &mut known),
            None => Vec::new(),
        };
        PackedState {
            state: bare,
            files,
            pending,
        }
    }

    /// Restores the state with the files of `base`.
    ///
    /// # Errors
    /// Names the first file that neither the packed state nor `base` holds; refuses an empty member set, which every
    /// vote would satisfy.
    pub fn unpack(self, base: Option<&RegisterState>) -> Result<RegisterState, UnpackError> {
        let mut known = base.map(contents).unwrap_or_default();
        let mut state = self.state;
        let sets = &state.members.sets;
        if sets.is_empty() || sets.iter().any(Vec::is_empty) {
            return Err(UnpackError::NoMembers);
        }
        state.bundle = unpack(self.files, &mut known)?;
        let pending = unpack(self.pending, &mut known)?;
        if let Some(place) = &mut state.pending {
            place.bundle = pending;
        }
        Ok(state)
    }
}

type Known = std::collections::HashMap<Digest, Vec<u8>>;

fn contents(state: &RegisterState) -> Known {
    let pending = state.pending.iter().flat_map(|p| &p.bundle.files);
    let files = state.bundle.files.iter().chain(pending);
    files
        .map(|f| (Digest::of(&f.bytes), f.bytes.clone()))
        .collect()
}

fn pack(bundle: Bundle, known: &mut Known) -> Vec<PackedFile> {
    let pack_one = |file: File| {
        let digest = Digest::of(&file.bytes);
        if known.contains_key(&digest) {
            return PackedFile::Known(file.name, digest);
        }
        known.insert(digest, file.bytes.clone());
        PackedFile::Whole(file)
    };
    bundle.files.into_iter().map(pack_one).collect()
}

fn unpack(files: Vec<PackedFile>, known: &mut Known) -> Result<Bundle, UnpackError> {
    let mut unpack_one = |file: PackedFile| match file {
        PackedFile::Whole(file) => {
            known.insert(Digest::of(&file.bytes), file.bytes.clone());
            Ok(file)
        }
        PackedFile::Known(name, digest) => match known.get(&digest) {
            Some(bytes) => Ok(File {
                name,
                bytes: bytes.clone(),
            }),
            None => Err(UnpackError::MissingFile { name, digest }),
        },
    };
    let files = files
        .into_iter()
        .map(&mut unpack_one)
        .collect::<Result<_, _>>()?;
    Ok(Bundle { files })
}
