//! A stand-in of the platform for tests: workers that carry out orders, and a judge of what they and callers see.
//!
//! The same worker and the same judge serve the randomised runs over the decisions and the runs of real processes.

pub mod checker;
pub mod server;
pub mod worker;
