//! The operator commands, one module each.

pub mod check;
pub mod keys;
