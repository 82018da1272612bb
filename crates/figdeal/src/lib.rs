//! The entry process, the control replica that it can host, and the operator's command line of figdeal.

pub mod bench;
pub mod cli;
pub mod command;
pub mod control_client;
pub mod entry;
pub mod report;
pub mod rules;
pub mod settings;
pub mod stand_in;
pub mod submission;
