//! The cases, one module each.

pub mod cancel;
pub mod hopeless;
pub mod malformed;
pub mod overlong;
pub mod refused;
mod traffic;
