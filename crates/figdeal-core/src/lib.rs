//! Coordination parts of the figdeal dispatcher, without I/O.
//!
//! Each part takes the time and the messages as input and returns the actions that its driver has to perform. Tests can
//! therefore replay any schedule, and other programs can embed the parts.

pub mod agent;
pub mod chunk_buffer;
pub mod claim;
pub mod dedup;
pub mod entry;
pub mod fair_queue;
pub mod fleet;
pub mod id;
pub mod outcome;
pub mod run_time;
pub mod time;
