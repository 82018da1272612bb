//! Placeholder.

pub mod command;
pub mod settings;
