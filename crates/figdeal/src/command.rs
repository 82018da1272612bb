//! The commands of `figdeal`, one module each.

pub mod demo;
