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
    /// Only in the new bundle.
    Added,
    /// Only in the old bundle.
    Removed,
    /// In both bundles, with different content.
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

/// A file that differs between two bundles.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct FileChange {
    /// Name of the file in the bundle.
    pub file: String,
    /// How it differs.
    pub change: Change,
}

/// A key or table that differs between two versions of a file.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct KeyChange {
    /// Name of the file in the bundle.
    pub file: String,
    /// Full name of the key, such as `limits.window`, or of a table that was added or removed.
    pub key: String,
    /// How it differs.
    pub change: Change,
    /// Value in the old file. Absent for tables and added keys.
    pub old: Option<String>,
    /// Value in the new file. Absent for tables and removed keys.
    pub new: Option<String>,
}

/// Differences between two bundles. A file in which only comments or layout changed is listed in `files` but has no
/// entry in `keys`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Diff {
    /// Files that differ, sorted by name.
    pub files: Vec<FileChange>,
    /// Keys that differ, sorted by file and name. Of a file with problems, only the readable keys are compared.
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

    /// Returns whether the bundles are equal.
    pub fn is_empty(&self) -> bool {
        self.files.is_empty()
    }
}

/// Returns the tables (without a value) and the keys (with their value) that a file sets.
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
