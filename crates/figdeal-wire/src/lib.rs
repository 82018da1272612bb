//! Messages, services and connections between the figdeal processes.

pub mod channel;
pub mod codec;
pub mod count;
pub mod listen;
pub mod message;
pub mod service;
