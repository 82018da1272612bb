//! The commands of `figdeal`, one module each.

pub mod check;
pub mod config;
pub mod control;
pub mod demo;
pub mod entry;
pub mod keys;
pub mod stand_in;
