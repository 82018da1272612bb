//! Replicated register that holds the configuration, and its storage.
//!
//! The decisions ([`apply`], [`acceptor`], [`proposer`]) take messages and time as input and return actions.
//! [`node`] joins them with the [`store`] for one replica.

pub mod acceptor;
pub mod apply;
pub mod command;
pub mod disk;
pub mod message;
pub mod node;
pub mod pack;
pub mod proposer;
pub mod sign;
pub mod state;
pub mod store;
pub mod types;
