//! The subcommands of `figdeal`, one module for each.

pub mod bench;
pub mod check;
pub mod client;
pub mod config;
pub mod control;
pub mod demo;
pub mod drain;
pub mod entry;
pub mod generate;
pub mod job;
pub mod keys;
pub mod load;
pub mod queue_check;
pub mod report;
pub mod stand_in;
pub mod status;
