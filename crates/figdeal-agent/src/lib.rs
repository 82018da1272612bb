//! Placeholder.

pub mod settings;
