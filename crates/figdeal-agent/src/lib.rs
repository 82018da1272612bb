//! The agent that runs beside one upstream: takes its announcement, enforces its slots and at-most-once, and
//! answers the entries.

pub mod agent;
mod announcer;
pub mod cli;
mod control;
mod http;
pub mod metrics;
mod server;
pub mod settings;
mod upstream;
