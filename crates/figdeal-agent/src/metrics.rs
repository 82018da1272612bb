//! Metrics recorder of the process, whose content the HTTP servers of agents and entries return.

use std::sync::LazyLock;

use metrics_exporter_prometheus::{Matcher, PrometheusBuilder, PrometheusHandle};

/// Content type of the rendered metrics.
pub const CONTENT_TYPE: &str = "text/plain; version=0.0.4";
/// Upper bounds of the histogram buckets for metrics in seconds. Tasks take 50 ms to several seconds.
const SECONDS_BUCKETS: [f64; 14] = [
    0.01, 0.025, 0.05, 0.075, 0.1, 0.15, 0.25, 0.5, 0.75, 1.0, 2.0, 5.0, 10.0, 30.0,
];

static RECORDER: LazyLock<PrometheusHandle> = LazyLock::new(|| {
    PrometheusBuilder::new()
        .set_buckets_for_metric(Matcher::Suffix("_seconds".to_owned()), &SECONDS_BUCKETS)
        .expect("there are buckets")
        .install_recorder()
        .expect("nothing else installs a recorder")
});

/// Returns the recorder of the process. The first call installs it; metrics recorded before that are lost. Agents and
/// entries in the same process share it.
///
/// ```
/// let recorder = figdeal_agent::metrics::recorder();
/// metrics::counter!("example_total").increment(1);
/// assert!(recorder.render().contains("example_total 1"));
/// ```
pub fn recorder() -> &'static PrometheusHandle {
    &RECORDER
}
