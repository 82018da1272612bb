//! HTTP client of the operator commands for the interface of the entries.

use std::{net::SocketAddr, time::Duration};

use clap::Args as ClapArgs;
use displaydoc::Display;
use serde_json::Value;

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum size of an answer.
const MAX_ANSWER_BYTES: u64 = 256 << 20;

/// Result of a call.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a request failed.
#[derive(Debug, Display)]
pub enum Error {
    /// step {0}, entry {1}: {2}
    Call(&'static str, SocketAddr, Box<ureq::Error>),
    /// step {0}, entry {1}: the answer is not valid JSON: {2}
    Answer(&'static str, SocketAddr, serde_json::Error),
    /// step {0}, entry {1}: status {2}: {3}
    Status(&'static str, SocketAddr, u16, String),
}

impl std::error::Error for Error {}

impl Error {
    /// Whether the request timed out, so that the entry may still be working on it.
    pub(crate) fn is_timeout(&self) -> bool {
        matches!(self, Error::Call(_, _, e) if matches!(**e, ureq::Error::Timeout(_)))
    }
}

/// The entries to which a command sends its requests.
#[derive(Debug, Clone, ClapArgs)]
pub struct Entries {
    /// HTTP address of an entry; may be repeated
    #[arg(
        long = "entry",
        value_name = "ADDR",
        value_delimiter = ',',
        default_value = "127.0.0.1:7400"
    )]
    pub entries: Vec<SocketAddr>,
}

/// An answer of an entry.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) json: Value,
}

impl Answer {
    pub(crate) fn outcome(&self) -> &str {
        self.json["outcome"].as_str().unwrap_or("")
    }

    /// Returns the error text of the entry, with the field if it names one.
    pub(crate) fn problem(&self) -> String {
        let error = self.json["error"].as_str().unwrap_or("no reason given");
        match self.json["field"].as_str() {
            Some(field) => format!("{field}: {error}"),
            None => error.to_owned(),
        }
    }
}

/// HTTP client of one entry.
#[derive(Debug, Clone)]
pub(crate) struct Client {
    pub(crate) entry: SocketAddr,
    http: ureq::Agent,
}

impl Client {
    /// Creates a client whose requests time out after `limit`.
    pub(crate) fn new(entry: SocketAddr, limit: Duration) -> Client {
        let http = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .timeout_connect(Some(CONNECT_TIMEOUT))
            .timeout_global(Some(limit))
            .build()
            .into();
        Client { entry, http }
    }

    pub(crate) fn get(&self, step: &'static str, path: &str) -> Result<Answer> {
        self.read(step, self.http.get(self.url(path)).call())
    }

    pub(crate) fn delete(&self, step: &'static str, path: &str) -> Result<Answer> {
        self.read(step, self.http.delete(self.url(path)).call())
    }

    pub(crate) fn post(&self, step: &'static str, path: &str, body: &str) -> Result<Answer> {
        self.read(step, self.http.post(self.url(path)).send(body))
    }

    /// Returns the body of an answer with status 200; any other status is an error.
    pub(crate) fn fetch_json(&self, step: &'static str, path: &str) -> Result<Value> {
        let answer = self.get(step, path)?;
        match answer.status {
            200 => Ok(answer.json),
            status => Err(Error::Status(step, self.entry, status, answer.problem())),
        }
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.entry)
    }

    fn read(
        &self,
        step: &'static str,
        response: std::result::Result<ureq::http::Response<ureq::Body>, ureq::Error>,
    ) -> Result<Answer> {
        let error = |e| Error::Call(step, self.entry, Box::new(e));
        let mut response = response.map_err(error)?;
        let body = response.body_mut().with_config().limit(MAX_ANSWER_BYTES);
        let text = body.read_to_string().map_err(error)?;
        let json = serde_json::from_str(&text).map_err(|e| Error::Answer(step, self.entry, e))?;
        Ok(Answer {
            status: response.status().as_u16(),
            json,
        })
    }
}
