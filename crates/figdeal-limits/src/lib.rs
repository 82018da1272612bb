//! Limits for clients outside our control: what a process holds for their connections and unfinished requests stays
//! bounded.
//!
//! [`client_table`] decides, without I/O. [`gate`] applies its decisions to connections, [`client_stream`] and [`body`]
//! to HTTP, and [`peer_stream`] to messages of other processes.

pub mod body;
mod client_limits;
pub mod client_stream;
pub mod client_table;
pub mod clock;
pub mod gate;
pub mod peer_stream;

pub use client_limits::ClientLimits;
