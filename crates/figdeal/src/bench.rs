//! Benchmark: entries and agents over loopback, compared with an ideal and a naive scheduler.

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

/// Result of a measurement.
pub type Result<T> = crate::cli::Result<T>;
