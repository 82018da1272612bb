//! Messages, tarpc services and connections between figdeal processes.

pub mod channel;
pub mod codec;
pub mod frame_codec;
pub mod listen;
pub mod message;
pub mod message_count;
pub mod service;
