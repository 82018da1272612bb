//! HTTP server for the metrics of the process, in the Prometheus text format.

use std::net::SocketAddr;

use figdeal_limits::client_table::Class;
use figdeal_platform::{Response, settings::METRICS_PORT};
use figdeal_queue::{dispatch::RackWaitCounts, losses::LossCounts};
use metrics_exporter_prometheus::PrometheusBuilder;
use tokio::sync::watch;

use crate::http::{self, HttpLimits};

/// Upper bounds of the histogram buckets for durations, in seconds.
const DURATION_BUCKETS: [f64; 10] = [0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0];

/// Serves the metrics of this process on every path of the metrics port.
///
/// # Errors
/// Fails when it cannot listen on the port or another metrics recorder is installed.
pub(crate) async fn start(
    ip: std::net::IpAddr,
    limits: &HttpLimits,
    closing: watch::Receiver<bool>,
) -> crate::Result<()> {
    let builder = PrometheusBuilder::new().set_buckets(&DURATION_BUCKETS)?;
    let handle = builder.install_recorder()?;
    let address = SocketAddr::new(ip, METRICS_PORT);
    let handler = move |_| {
        let text = handle.render();
        async move { Response::with_body(200, text) }
    };
    Ok(http::serve(address, Class::Reserved, limits, closing, handler).await?)
}

/// Adds lost runs to the counter of this process.
pub(crate) fn count_lost_runs(losses: &LossCounts) {
    for (reason, count) in losses.iter() {
        metrics::counter!("figdeal_queue_runs_lost_total", "reason" => reason).increment(count);
    }
}

/// Adds waits for racks that have ended to the counter of this process.
pub(crate) fn count_rack_waits(counts: RackWaitCounts) {
    let outcomes = [("local", counts.local), ("gave_up", counts.gave_up)];
    for (outcome, count) in outcomes.into_iter().filter(|(_, count)| *count > 0) {
        metrics::counter!("figdeal_queue_rack_waits_total", "outcome" => outcome).increment(count);
    }
}
