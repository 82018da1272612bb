//! The bench: the real entries and agents over loopback against an ideal and a naive reference.

pub mod client;
pub mod cluster;
pub mod flood;
pub mod ideal;
pub mod naive;
pub mod plan;
pub mod report;
pub mod response;
pub mod scaling;
pub mod summary;
pub mod usage;
pub mod workload;

/// Result of a measure.
pub type Result<T> = crate::cli::Result<T>;
