//! Settings file of an entry process and of the control replica that it may host. Unlike the configuration, it is local
//! to the process and not signed.

use std::{
    net::{Ipv4Addr, SocketAddr},
    path::{Path, PathBuf},
};

use figdeal_config::{
    Result,
    process::{EntryAddress, SettingsFile, deserialize_from_str},
};
use log::LevelFilter;
use serde::Deserialize;

/// Default port of the HTTP interface.
const DEFAULT_HTTP_PORT: u16 = 7_400;

/// Default port for agents and other entries.
const DEFAULT_PEER_PORT: u16 = 7_401;

/// Default port of the control replica.
const DEFAULT_CONTROL_PORT: u16 = 7_402;

/// Example file with every key, returned by [`Settings::example`].
const EXAMPLE_FILE: &str = r#"# Settings of one entry process of figdeal.

# Number of this entry; it must occur in the list of entries below.
id = 0
# Data centre of this process; selects its site in the configuration.
data_centre = "hervanta"
# Listen address for callers, the load balancer and operators.
http_listen = "127.0.0.1:7400"
# Listen address for agents and other entries.
peer_listen = "127.0.0.1:7401"
# Control replicas, from which the configuration comes. Not needed if the control role is on.
control_vms = ["127.0.0.1:7402", "127.0.0.1:7412", "127.0.0.1:7422"]
# Folder for files, if the machine has a disk. The control role needs it.
data_folder = "/var/lib/figdeal"
# off, error, warn, info, debug or trace
log_level = "info"

# All entries, this one included, in the same list at every process.
[[entries]]
id = 0
address = "127.0.0.1:7401"

[[entries]]
id = 1
address = "127.0.0.1:7411"

[[entries]]
id = 2
address = "127.0.0.1:7421"

# The control role, on the few machines with a disk.
[control]
on = true
listen = "127.0.0.1:7402"
# Addresses of all control replicas, this one included.
members = ["127.0.0.1:7402", "127.0.0.1:7412", "127.0.0.1:7422"]
"#;

/// Settings of an entry process.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Id of this entry in `entries`.
    pub id: u16,
    /// Data centre of this process; selects the site in the configuration.
    pub data_centre: String,
    /// Listen address for callers, the load balancer and operators.
    #[serde(default = "http_listen")]
    pub http_listen: SocketAddr,
    /// Listen address for agents and other entries.
    #[serde(default = "peer_listen")]
    pub peer_listen: SocketAddr,
    /// Addresses of the control replicas, from which the configuration comes.
    #[serde(default)]
    pub control_vms: Vec<SocketAddr>,
    /// Folder for files; absent on a machine without a disk.
    #[serde(default)]
    pub data_folder: Option<PathBuf>,
    /// Maximum log level.
    #[serde(default = "log_level", deserialize_with = "deserialize_from_str")]
    pub log_level: LevelFilter,
    /// All entries, this one included.
    pub entries: Vec<EntryAddress>,
    /// Settings of the control replica in this process.
    #[serde(default)]
    pub control: ControlSettings,
}

/// Settings of the control replica that an entry process may host.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ControlSettings {
    /// Whether this process hosts a control replica.
    pub on: bool,
    /// Listen address for entries, operators and other replicas.
    pub listen: SocketAddr,
    /// Addresses of all replicas, this one included.
    pub members: Vec<SocketAddr>,
}

impl Default for ControlSettings {
    fn default() -> ControlSettings {
        ControlSettings {
            on: false,
            listen: loopback(DEFAULT_CONTROL_PORT),
            members: Vec::new(),
        }
    }
}

impl Settings {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    /// Fails on an unreadable file, an unknown key or an invalid value; otherwise lists all contradictions with their
    /// lines.
    pub fn read(path: impl AsRef<Path>) -> Result<Settings> {
        Settings::check(SettingsFile::read(path)?)
    }

    /// Parses and validates the text of a settings file; `file` is its name in error messages.
    ///
    /// ```
    /// use figdeal::settings::Settings;
    ///
    /// let settings = Settings::parse("entry.toml", Settings::example())?;
    /// assert_eq!(settings.entries.len(), 3);
    /// # Ok::<(), figdeal_config::Problems>(())
    /// ```
    ///
    /// # Errors
    /// See [`Settings::read`].
    pub fn parse(file: &str, text: &str) -> Result<Settings> {
        Settings::check(SettingsFile::new(file, text))
    }

    /// Returns an example file that explains every key.
    pub fn example() -> &'static str {
        EXAMPLE_FILE
    }

    fn check(mut document: SettingsFile) -> Result<Settings> {
        let settings: Settings = document.parse()?;
        document.check_name("data_centre", &settings.data_centre);
        document.check_entries(&settings.entries);
        if settings.entries.iter().all(|entry| entry.id != settings.id) {
            document.report(
                "id",
                format!("no entry of the list has the id {}", settings.id),
            );
        }
        if settings.http_listen == settings.peer_listen {
            document.report("peer_listen", "http_listen has the same address");
        }
        settings.check_control(&mut document);
        document.finish()?;
        Ok(settings)
    }

    fn check_control(&self, document: &mut SettingsFile) {
        let control = &self.control;
        if !control.on {
            if self.control_vms.is_empty() {
                document.report("control_vms", "needed where the control role is off");
            }
            return;
        }
        if self.data_folder.is_none() {
            document.report("data_folder", "needed where the control role is on");
        }
        if [self.http_listen, self.peer_listen].contains(&control.listen) {
            document.report("control.listen", "another listener has the same address");
        }
        if control.members.is_empty() {
            document.report("control.members", "needed where the control role is on");
        }
        let members = control.members.iter().enumerate();
        for (index, member) in members {
            if control.members[..index].contains(member) {
                document.report(
                    "control.members",
                    format!("the address {member} occurs twice"),
                );
            }
        }
    }
}

fn loopback(port: u16) -> SocketAddr {
    (Ipv4Addr::LOCALHOST, port).into()
}

fn http_listen() -> SocketAddr {
    loopback(DEFAULT_HTTP_PORT)
}

fn peer_listen() -> SocketAddr {
    loopback(DEFAULT_PEER_PORT)
}

fn log_level() -> LevelFilter {
    LevelFilter::Info
}
