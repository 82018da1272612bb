//! Coordination parts of the figdeal dispatcher, without I/O.
//!
//! Every part takes the time and the messages as input and returns what its driver has to do, so that tests
//! can replay any schedule and other programs can embed the parts.

pub mod agent;
pub mod claim;
pub mod entry;
pub mod fleet;
pub mod id;
pub mod ledger;
pub mod outcome;
pub mod runtime;
pub mod share;
pub mod time;
