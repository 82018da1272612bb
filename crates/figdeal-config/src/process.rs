//! Shared parts of the unsigned settings of processes: reading a file, and the list of entries.

use std::{collections::BTreeSet, fs, net::SocketAddr, path::Path};

use serde::{Deserialize, Deserializer, de::DeserializeOwned};
use toml::{Spanned, de::DeTable};

use crate::{
    layer::{Lines, is_valid_name},
    problem::{Fault, Problem, Problems, Result},
};

/// Largest number of entries: each of them announces to, and is announced to by, every agent.
const MAX_ENTRIES: usize = 64;

/// An entry process and where other processes reach it.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntryAddress {
    /// Number of the entry, as in its own settings.
    pub id: u16,
    /// Address of its listener for processes.
    pub address: SocketAddr,
}

/// A settings file with the problems found in it.
///
/// ```
/// use figdeal_config::process::SettingsFile;
///
/// let mut settings = SettingsFile::new("entry.toml", "id = 1\n[control]\nlisten = 2\n");
/// settings.report("control.listen", "not an address");
/// let problems = settings.finish().unwrap_err();
/// assert_eq!(problems.to_string(), "entry.toml:3: control.listen: not an address");
/// ```
#[derive(Debug)]
pub struct SettingsFile {
    file: String,
    text: String,
    problems: Vec<Problem>,
}

impl SettingsFile {
    /// Takes the text of a file; `file` names it in problems.
    pub fn new(file: impl Into<String>, text: impl Into<String>) -> SettingsFile {
        SettingsFile {
            file: file.into(),
            text: text.into(),
            problems: Vec::new(),
        }
    }

    /// Reads a file.
    ///
    /// # Errors
    /// Fails when the file cannot be read as UTF-8 text.
    pub fn read(path: impl AsRef<Path>) -> Result<SettingsFile> {
        let file = path.as_ref().display().to_string();
        match fs::read_to_string(path) {
            Ok(text) => Ok(SettingsFile::new(file, text)),
            Err(error) => Err(Problems::with_file(&file, Fault::Io(error.to_string()))),
        }
    }

    /// Deserializes the text.
    ///
    /// # Errors
    /// Returns the first unknown key or wrong value with its line.
    pub fn parse<T: DeserializeOwned>(&self) -> Result<T> {
        toml::from_str(&self.text).map_err(|error| {
            let line = error
                .span()
                .map_or(0, |span| Lines::new(self.text.as_bytes()).at(span.start));
            let (file, key) = (self.file.clone(), String::new());
            let fault = Fault::Syntax(error.message().to_owned());
            Problems::with(Problem {
                file,
                line,
                key,
                fault,
            })
        })
    }

    /// Adds a problem at a key such as `control.listen`. Its line is the one of the key, else the one of its table.
    pub fn report(&mut self, key: &str, message: impl Into<String>) {
        let line = self.line_of(key);
        let (file, key) = (self.file.clone(), key.to_owned());
        let fault = Fault::InvalidSetting(message.into());
        self.problems.push(Problem {
            file,
            line,
            key,
            fault,
        });
    }

    /// Reports a name that cannot name a site, kind or team.
    pub fn check_name(&mut self, key: &str, name: &str) {
        if !is_valid_name(name) {
            self.report(key, Fault::BadName.to_string());
        }
    }

    /// Reports an empty or long list of entries, and ids and addresses that occur twice.
    pub fn check_entries(&mut self, entries: &[EntryAddress]) {
        if entries.is_empty() || entries.len() > MAX_ENTRIES {
            self.report("entries", format!("1 to {MAX_ENTRIES} entries are needed"));
        }
        let (mut ids, mut addresses) = (BTreeSet::new(), BTreeSet::new());
        for entry in entries {
            if entry.address.ip().is_unspecified() || entry.address.port() == 0 {
                self.report("entries", format!("nothing can reach {}", entry.address));
            }
            if !ids.insert(entry.id) {
                self.report("entries", format!("the id {} occurs twice", entry.id));
            }
            if !addresses.insert(entry.address) {
                self.report(
                    "entries",
                    format!("the address {} occurs twice", entry.address),
                );
            }
        }
    }

    /// Ends the checks.
    ///
    /// # Errors
    /// Returns the reported problems.
    pub fn finish(self) -> Result<()> {
        Problems::check(self.problems)
    }

    fn line_of(&self, key: &str) -> usize {
        let lines = Lines::new(self.text.as_bytes());
        let (root, _) = DeTable::parse_recoverable(&self.text);
        let mut table = root.get_ref();
        let mut line = 0;
        for part in key.split('.') {
            let Some((name, item)) = table.get_key_value(part) else {
                break;
            };
            line = lines.at(Spanned::span(name).start);
            let Some(next) = item.get_ref().as_table() else {
                break;
            };
            table = next;
        }
        line
    }
}

/// Deserializes a log level from its name, for `#[serde(deserialize_with)]`.
///
/// # Errors
/// Fails for a text that `T` does not parse.
pub fn deserialize_from_str<'d, D, T>(deserializer: D) -> std::result::Result<T, D::Error>
where
    D: Deserializer<'d>,
    T: std::str::FromStr<Err: std::fmt::Display>,
{
    let text = String::deserialize(deserializer)?;
    text.parse()
        .map_err(|error| serde::de::Error::custom(format!("{text:?}: {error}")))
}
