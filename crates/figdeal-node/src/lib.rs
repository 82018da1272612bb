//! The processes of the durable queue: decisions of [`figdeal_queue`] with their connections, storage and HTTP.
//!
//! Each process has one thread for connections and decisions, since its machine has one core, and one for the disk.

pub mod agent;
pub mod clock;
mod http;
mod link;
pub mod log_output;
mod measure;
mod process;
pub mod queue;
pub mod store;
mod worker;

/// Result of a process.
pub type Result<T> = std::result::Result<T, Box<dyn std::error::Error>>;
