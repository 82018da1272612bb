//! Settings file of an agent process. Unlike the configuration, it is not signed.

use std::{
    net::{Ipv4Addr, SocketAddr},
    path::Path,
};

use figdeal_config::{
    Result,
    process::{EntryAddress, SettingsFile, deserialize_from_str},
};
use log::LevelFilter;
use serde::Deserialize;

/// Default port of the HTTP listener for the upstream.
const DEFAULT_HTTP_PORT: u16 = 7_500;

/// Default port of the listener for entries.
const DEFAULT_PEER_PORT: u16 = 7_501;

/// Example with every key, which `Settings::example` returns.
const EXAMPLE: &str = r#"# Settings of one agent process of figdeal, which runs beside one upstream.

# Name of the upstream; it stays the same over restarts and is unique in the fleet.
name = "rota-desk-1"
# Data centre of this process, which is also its site in the configuration.
data_centre = "hervanta"
# Listener for the announcements of the upstream, and for operators.
http_listen = "127.0.0.1:7500"
# Listener for entries.
peer_listen = "127.0.0.1:7501"
# Where entries reach this agent. The default is peer_listen; needed where that is 0.0.0.0 or [::].
address = "127.0.0.1:7501"
# off, error, warn, info, debug or trace
log_level = "info"

# All entries, in the same list at every process.
[[entries]]
id = 0
address = "127.0.0.1:7401"

[[entries]]
id = 1
address = "127.0.0.1:7411"

[[entries]]
id = 2
address = "127.0.0.1:7421"
"#;

/// Settings of an agent process.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the upstream. It stays the same over restarts.
    pub name: String,
    /// Data centre of this process, which is also its site in the configuration.
    pub data_centre: String,
    /// Address to listen on for the announcements of the upstream, and for operators.
    #[serde(default = "http_listen")]
    pub http_listen: SocketAddr,
    /// Address to listen on for entries.
    #[serde(default = "peer_listen")]
    pub peer_listen: SocketAddr,
    /// Address at which entries reach this agent, if it is not `peer_listen`.
    #[serde(default)]
    address: Option<SocketAddr>,
    /// Least severe level that is logged.
    #[serde(default = "log_level", deserialize_with = "deserialize_from_str")]
    pub log_level: LevelFilter,
    /// Ids and addresses of all entries.
    pub entries: Vec<EntryAddress>,
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    /// Reports an unreadable file, an unknown key or an invalid value; otherwise all inconsistencies, with line
    /// numbers.
    pub fn read(path: impl AsRef<Path>) -> Result<Settings> {
        Settings::check(SettingsFile::read(path)?)
    }

    /// Parses and checks the text of a settings file. Problems refer to it as `file`.
    ///
    /// ```
    /// use figdeal_agent::settings::Settings;
    ///
    /// let settings = Settings::parse("agent.toml", Settings::example())?;
    /// assert_eq!(settings.name, "rota-desk-1");
    /// # Ok::<(), figdeal_config::Problems>(())
    /// ```
    ///
    /// # Errors
    /// As for [`Settings::read`].
    pub fn parse(file: &str, text: &str) -> Result<Settings> {
        Settings::check(SettingsFile::new(file, text))
    }

    /// Returns an example file with every key and its explanation.
    pub fn example() -> &'static str {
        EXAMPLE
    }

    /// Returns the address at which entries reach this agent.
    pub fn address(&self) -> SocketAddr {
        self.address.unwrap_or(self.peer_listen)
    }

    fn check(mut file: SettingsFile) -> Result<Settings> {
        let settings: Settings = file.parse()?;
        file.check_name("name", &settings.name);
        file.check_name("data_centre", &settings.data_centre);
        file.check_entries(&settings.entries);
        if settings.http_listen == settings.peer_listen {
            file.report("peer_listen", "http_listen has the same address");
        }
        let address = settings.address();
        if address.ip().is_unspecified() || address.port() == 0 {
            file.report("address", format!("entries cannot reach {address}"));
        }
        file.finish()?;
        Ok(settings)
    }
}

fn loopback_address(port: u16) -> SocketAddr {
    (Ipv4Addr::LOCALHOST, port).into()
}

fn http_listen() -> SocketAddr {
    loopback_address(DEFAULT_HTTP_PORT)
}

fn peer_listen() -> SocketAddr {
    loopback_address(DEFAULT_PEER_PORT)
}

fn log_level() -> LevelFilter {
    LevelFilter::Info
}
