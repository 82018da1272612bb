//! Processes of the durable queue: they connect the logic of [`figdeal_queue`] to sockets, disk and HTTP.
//!
//! The machines have one core, so each process runs its connections and logic on one thread. A node with a
//! disk writes to it on a second thread.

pub mod agent;
pub mod clock;
mod connections;
mod http;
pub mod log_output;
mod metrics_server;
mod process;
pub mod queue;
pub mod queue_metrics;
mod request_log;
pub mod store;
pub mod worker_client;

/// Result of running a process.
pub type Result<T> = std::result::Result<T, Box<dyn std::error::Error>>;
