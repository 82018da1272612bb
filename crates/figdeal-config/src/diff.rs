//! Differences between two bundles.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
};

use serde::Serialize;

use crate::bundle::Bundle;

/// How a file or a key differs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Change {
    /// Only the new bundle has it.
    Added,
    /// Only the old bundle has it.
    Removed,
    /// Both have it, with different content.
    Changed,
}

impl Change {
    fn with_sides<T: PartialEq>(old: Option<T>, new: Option<T>) -> Option<Change> {
        match (old, new) {
            (None, Some(_)) => Some(Change::Added),
            (Some(_), None) => Some(Change::Removed),
            (Some(old), Some(new)) if old != new => Some(Change::Changed),
            _ => None,
        }
    }

    fn sign(self) -> char {
        match self {
            Change::Added => '+',
            Change::Removed => '-',
            Change::Changed => '~',
        }
    }
}

/// A file that differs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct FileChange {
    /// Name of the file in the bundle.
    pub file: String,
    /// How it differs.
    pub change: Change,
}

/// A key that a file sets differently.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct KeyChange {
    /// Name of the file in the bundle.
    pub file: String,
    /// Full name of the key, or of a table that was added or removed.
    pub key: String,
    /// How it differs.
    pub change: Change,
    /// The value in the old file.
    pub old: Option<String>,
    /// The value in the new file.
    pub new: Option<String>,
}

/// Differences between two bundles. Changes of comments and layout appear among the files only.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Diff {
    /// Files that differ, by name.
    pub files: Vec<FileChange>,
    /// Keys that differ, by file and name. Files with problems contribute the keys that could be read.
    pub keys: Vec<KeyChange>,
}

impl Diff {
    pub(crate) fn new(old: &Bundle, new: &Bundle) -> Diff {
        let mut diff = Diff::default();
        let names: BTreeSet<_> = old
            .files()
            .iter()
            .chain(new.files())
            .map(|file| &*file.0)
            .collect();
        for file in names {
            let Some(change) = Change::with_sides(old.file(file), new.file(file)) else {
                continue;
            };
            diff.files.push(FileChange {
                file: file.to_owned(),
                change,
            });
            let (old, new) = (flatten(old, file), flatten(new, file));
            let keys: BTreeSet<_> = old.keys().chain(new.keys()).collect();
            for key in keys {
                let (old, new) = (old.get(key), new.get(key));
                let Some(change) = Change::with_sides(old, new) else {
                    continue;
                };
                let show = |side: Option<&Option<String>>| side.cloned().flatten();
                let (file, key) = (file.to_owned(), key.clone());
                diff.keys.push(KeyChange {
                    file,
                    key,
                    change,
                    old: show(old),
                    new: show(new),
                });
            }
        }
        diff
    }

    /// Whether the bundles are equal.
    pub fn is_empty(&self) -> bool {
        self.files.is_empty()
    }
}

/// The tables (without value) and keys (with value) that a file sets.
fn flatten(bundle: &Bundle, file: &str) -> BTreeMap<String, Option<String>> {
    let mut entries = BTreeMap::new();
    for (table_name, table) in bundle.layer(file).tables {
        entries.insert(table_name.to_string(), None);
        for (key, found) in table.values {
            entries.insert(format!("{table_name}.{key}"), Some(found.value.to_toml()));
        }
    }
    entries
}

impl fmt::Display for Diff {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for file in &self.files {
            writeln!(f, "{} {}", file.change.sign(), file.file)?;
            let mut keys = self
                .keys
                .iter()
                .filter(|key| key.file == file.file)
                .peekable();
            if keys.peek().is_none() {
                writeln!(f, "    no key differs")?;
            }
            for key in keys {
                write!(f, "  {} {}", key.change.sign(), key.key)?;
                match (&key.old, &key.new) {
                    (Some(old), Some(new)) => writeln!(f, ": {old} -> {new}")?,
                    (Some(value), None) | (None, Some(value)) => writeln!(f, " = {value}")?,
                    (None, None) => writeln!(f)?,
                }
            }
        }
        Ok(())
    }
}
