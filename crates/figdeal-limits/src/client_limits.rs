//! Limits of a process and their defaults.

use std::time::Duration;

/// One mebibyte, in bytes.
const MIB: usize = 1024 * 1024;

/// Limits of a process for clients outside our control.
#[derive(Debug, Clone, PartialEq)]
pub struct ClientLimits {
    /// Bytes that all unfinished requests may hold together.
    pub budget_bytes: usize,
    /// Largest body of a request, in bytes.
    pub body_bytes: usize,
    /// Largest headers of a request, in bytes.
    pub header_bytes: usize,
    /// Connections of callers, or of the worker.
    pub connections: usize,
    /// Connections of callers from one address.
    pub connections_per_address: usize,
    /// Connections of operators, health checks and metrics.
    pub reserved_connections: usize,
    /// Time without a request after which a connection is closed.
    pub idle_time: Duration,
    /// Time for the headers of a request.
    pub header_time: Duration,
    /// Time for the body of a request, and for the reading of an answer.
    pub transfer_time: Duration,
    /// Time after which a body, and the reading of an answer, must have the minimum rate.
    pub rate_grace: Duration,
    /// Minimum rate of a body and of the reading of an answer, in bytes per second.
    pub min_rate: u64,
    /// Connections that other processes have opened.
    pub peer_connections: usize,
    /// Bytes that the unfinished messages of other processes may hold together.
    pub peer_budget_bytes: usize,
}

impl Default for ClientLimits {
    fn default() -> ClientLimits {
        ClientLimits {
            budget_bytes: 24 * MIB,
            body_bytes: MIB,
            // Clients may send 16,384 bytes.
            header_bytes: 20 * 1_024,
            connections: 1_536,
            connections_per_address: 1_536,
            reserved_connections: 128,
            // Clients may be idle for 15 s, and take 3 s for headers.
            idle_time: Duration::from_secs(20),
            header_time: Duration::from_secs(5),
            transfer_time: Duration::from_secs(60),
            rate_grace: Duration::from_secs(20),
            min_rate: 1_024,
            peer_connections: 16_384,
            // The largest message, a snapshot, has 64 MiB.
            peer_budget_bytes: 72 * MIB,
        }
    }
}
