//! Problems of a bundle with their place.

use std::fmt;

use displaydoc::Display;

/// Result of reading or checking a bundle.
pub type Result<T> = std::result::Result<T, Problems>;

/// What is wrong at a place.
#[derive(Debug, Display, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fault {
    /// cannot read: {0}
    Io(String),
    /// the bundle has no such file
    MissingFile,
    /// the file appears twice in the bundle
    DuplicateFile,
    /// only base.toml and sites/NAME.toml belong to a configuration
    UnexpectedFile,
    /// the file has {size} bytes, more than the allowed {limit}
    TooLarge {
        /// Bytes found.
        size: usize,
        /// Largest allowed number.
        limit: usize,
    },
    /// the text is not UTF-8
    NotUtf8,
    /// {0}
    Syntax(String),
    /// {0}
    InvalidSetting(String),
    /// unknown key; known keys: {0}
    UnknownKey(String),
    /// expected a table, found {0}
    NotTable(&'static str),
    /// wrong value {found}; expected {expected}
    WrongValue {
        /// The value as written.
        found: String,
        /// Notation of the expected unit.
        expected: &'static str,
    },
    /// {found} is outside the range from {min} to {max}
    OutOfRange {
        /// The value as written.
        found: String,
        /// Smallest allowed value.
        min: String,
        /// Largest allowed value.
        max: String,
    },
    /// a name consists of 1 to 63 lower-case letters, digits and hyphens and starts with a letter
    BadName,
    /// {0} is not defined in base.toml
    UndefinedTable(String),
    /// the key must be equal at every site and can be set in base.toml only
    BaseOnlyKey,
    /// no {0} is defined
    NoneDefined(&'static str),
    /// more than {0} names are defined
    TooMany(usize),
    /// {value} must be {relation} {other} ({limit}, {origin})
    Contradiction {
        /// The value at the place.
        value: String,
        /// Such as "less than".
        relation: &'static str,
        /// The key that it contradicts.
        other: String,
        /// The value of that key.
        limit: String,
        /// Where that value comes from.
        origin: String,
    },
}

/// A fault with its file, key and line.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Problem {
    /// Name of the file in the bundle.
    pub file: String,
    /// Line from 1; 0 where the problem concerns the whole file.
    pub line: usize,
    /// Full name of the key; empty where the problem concerns the whole file.
    pub key: String,
    /// What is wrong.
    pub fault: Fault,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.file)?;
        if self.line > 0 {
            write!(f, ":{}", self.line)?;
        }
        if !self.key.is_empty() {
            write!(f, ": {}", self.key)?;
        }
        write!(f, ": {}", self.fault)
    }
}

/// All problems of a bundle, sorted by file and line. Never empty.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Problems(Vec<Problem>);

impl Problems {
    /// Sorts and deduplicates the problems.
    ///
    /// # Errors
    /// Returns the problems where there are any.
    pub(crate) fn check(mut problems: Vec<Problem>) -> Result<()> {
        problems.sort();
        problems.dedup();
        if problems.is_empty() {
            Ok(())
        } else {
            Err(Problems(problems))
        }
    }

    /// A single problem.
    pub(crate) fn with(problem: Problem) -> Problems {
        Problems(vec![problem])
    }

    /// A single problem with a whole file.
    pub(crate) fn with_file(file: &str, fault: Fault) -> Problems {
        let (file, key) = (file.to_owned(), String::new());
        Problems::with(Problem {
            file,
            line: 0,
            key,
            fault,
        })
    }

    /// The problems.
    pub fn list(&self) -> &[Problem] {
        &self.0
    }
}

impl fmt::Display for Problems {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, problem) in self.0.iter().enumerate() {
            if index > 0 {
                writeln!(f)?;
            }
            write!(f, "{problem}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Problems {}
