//! Problems in the files of a bundle, with file, line and key.

use std::fmt;

use displaydoc::Display;

/// Result of reading or checking a bundle.
pub type Result<T> = std::result::Result<T, Problems>;

/// Kind of a problem, with its details. The doc comments of the variants are the messages.
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
        /// Size of the file in bytes.
        size: usize,
        /// Largest allowed size in bytes.
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
        /// Value in the file, close to its TOML notation.
        found: String,
        /// Notation of the expected unit.
        expected: &'static str,
    },
    /// {found} is outside the range from {min} to {max}
    OutOfRange {
        /// Value in the file, close to its TOML notation.
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
        /// Value of the key that the problem is reported for.
        value: String,
        /// Required relation to the other key, such as "less than".
        relation: &'static str,
        /// Full name of the other key.
        other: String,
        /// Value of the other key.
        limit: String,
        /// Origin of that value: file and line, or "default".
        origin: String,
    },
}

/// A fault with its file, line and key.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Problem {
    /// Name of the file in the bundle.
    pub file: String,
    /// Line, counted from 1; 0 if the problem concerns the whole file or the line is unknown.
    pub line: usize,
    /// Dotted path of the key or table, only its last part for a duplicate key. Empty if the problem concerns the whole
    /// file or the key is unknown.
    pub key: String,
    /// Kind of the problem.
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

/// Problems of a bundle, at least one, sorted by file and line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Problems(Vec<Problem>);

impl Problems {
    /// Sorts and deduplicates the problems.
    ///
    /// # Errors
    /// Returns the problems, if there are any.
    pub(crate) fn check(mut problems: Vec<Problem>) -> Result<()> {
        problems.sort();
        problems.dedup();
        if problems.is_empty() {
            Ok(())
        } else {
            Err(Problems(problems))
        }
    }

    /// Creates a list with a single problem.
    pub(crate) fn with(problem: Problem) -> Problems {
        Problems(vec![problem])
    }

    /// Creates a list with a single problem that concerns a whole file.
    pub(crate) fn with_file(file: &str, fault: Fault) -> Problems {
        let (file, key) = (file.to_owned(), String::new());
        Problems::with(Problem {
            file,
            line: 0,
            key,
            fault,
        })
    }

    /// Returns the problems in their order.
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
