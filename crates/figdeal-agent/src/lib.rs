//! The agent that runs beside one upstream: takes its announcement, enforces its slots and at-most-once, and
//! answers the entries.

pub mod agent;
mod announcer;
mod control;
mod http;
mod server;
mod upstream;
