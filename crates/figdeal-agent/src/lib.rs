//! The agent that runs beside one upstream. It receives the announcements of the upstream, runs tasks from entries
//! within its slots and at most once each, and replies with their outcomes.

pub mod agent;
mod announcer;
pub mod cli;
mod entry_activity;
mod event_loop;
mod http;
pub mod http_server;
pub mod metrics;
mod server;
pub mod settings;
mod upstream;
