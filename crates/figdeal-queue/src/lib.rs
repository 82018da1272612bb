//! Decisions of the durable queue, without I/O.
//!
//! A job is acknowledged once a majority of the voters holds it on disk ([`raft`], [`state`]). The leader places its
//! tasks ([`dispatch`]) through agents, each of which owns the room of one worker ([`agent`]). [`node`] joins log, state
//! and placement into one decision unit that takes time and messages and returns actions.

pub mod agent;
pub mod dispatch;
pub mod job;
pub mod message;
pub mod node;
pub mod raft;
pub mod state;
