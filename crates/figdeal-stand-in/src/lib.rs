//! Stand-in for the platform in tests: workers that execute runs, and a checker of what workers and callers observe.
//!
//! The simulation of the queue logic and the tests with real processes use the same worker and the same checker.

pub mod checker;
pub mod server;
pub mod worker;
