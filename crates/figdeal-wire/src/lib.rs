//! Messages, services and connections between the figdeal processes.

pub mod channel;
pub mod codec;
pub mod listen;
pub mod message;
pub mod message_count;
pub mod service;
