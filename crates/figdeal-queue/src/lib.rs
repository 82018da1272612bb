//! Deterministic core of the durable queue, without I/O: the driver passes in time and messages and carries out the
//! returned actions.
//!
//! A caller sends its request to any node, which is the entry node of the request and forwards it to the leader.
//! A job is acknowledged once a majority of the voters has it on disk ([`raft`], [`state`]). The leader places its
//! tasks ([`dispatch`]) through agents, each of which manages the capacity of one worker ([`agent`]). [`node`]
//! combines log, state and placement into one state machine that takes time and messages and returns actions.

pub mod agent;
pub mod dispatch;
pub mod job;
pub mod log_limit;
pub mod log_sample;
mod log_value;
pub mod losses;
pub mod message;
pub mod node;
pub mod raft;
pub mod refusals;
pub mod state;
pub mod stored_size;
