//! Common parts of the settings files of processes, which are not signed: reading a file, and the list of entries.

use std::{collections::BTreeSet, fs, net::SocketAddr, path::Path};

use serde::{Deserialize, Deserializer, de::DeserializeOwned};
use toml::{Spanned, de::DeTable};

use crate::{
    layer::{LineStarts, is_valid_name},
    problem::{Fault, Problem, Problems, Result},
};

/// Largest number of entries. Each agent exchanges announcements with every entry.
const MAX_ENTRIES: usize = 64;

/// An entry process and its address for other processes.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntryAddress {
    /// Id of the entry, as in its own settings.
    pub id: u16,
    /// Address on which it listens for other processes.
    pub address: SocketAddr,
}

/// A settings file and the problems found in it.
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
    /// Creates a settings file from its text. `file` is its name in reported problems.
    pub fn new(file: impl Into<String>, text: impl Into<String>) -> SettingsFile {
        SettingsFile {
            file: file.into(),
            text: text.into(),
            problems: Vec::new(),
        }
    }

    /// Reads a settings file.
    ///
    /// # Errors
    /// Fails if the file cannot be read or is not UTF-8.
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
    /// Returns the first syntax error, unknown key or invalid value with its line.
    pub fn parse<T: DeserializeOwned>(&self) -> Result<T> {
        toml::from_str(&self.text).map_err(|error| {
            let line = error.span().map_or(0, |span| {
                LineStarts::new(self.text.as_bytes()).line_number(span.start)
            });
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

    /// Adds a problem with a key such as `control.listen`. Its line is that of the key or, if the key is absent, that
    /// of its table.
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

    /// Reports `name` if it is not a valid name of a site, kind or team.
    pub fn check_name(&mut self, key: &str, name: &str) {
        if !is_valid_name(name) {
            self.report(key, Fault::BadName.to_string());
        }
    }

    /// Reports an empty or too long list of entries, addresses that cannot be connected to, and duplicate ids and
    /// addresses.
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
    /// Returns the reported problems, if there are any.
    pub fn finish(self) -> Result<()> {
        Problems::check(self.problems)
    }

    /// Returns the line of a key, or of its innermost table that exists; 0 if there is none.
    fn line_of(&self, key: &str) -> usize {
        let lines = LineStarts::new(self.text.as_bytes());
        let (root, _) = DeTable::parse_recoverable(&self.text);
        let mut table = root.get_ref();
        let mut line = 0;
        for part in key.split('.') {
            let Some((name, item)) = table.get_key_value(part) else {
                break;
            };
            line = lines.line_number(Spanned::span(name).start);
            let Some(next) = item.get_ref().as_table() else {
                break;
            };
            table = next;
        }
        line
    }
}

/// Deserializes a value from a string by its `FromStr`, for example a log level. For `#[serde(deserialize_with)]`.
///
/// # Errors
/// Fails if `T` cannot be parsed from the string.
pub fn deserialize_from_str<'d, D, T>(deserializer: D) -> std::result::Result<T, D::Error>
where
    D: Deserializer<'d>,
    T: std::str::FromStr<Err: std::fmt::Display>,
{
    let text = String::deserialize(deserializer)?;
    text.parse()
        .map_err(|error| serde::de::Error::custom(format!("{text:?}: {error}")))
}
