//! Tests of the metrics of a queue node, without a network.

use std::{collections::BTreeMap, time::Duration};

use figdeal_core::time::Timestamp;
use figdeal_node::queue_metrics::{UsageGauges, count_refusals};
use figdeal_queue::{
    dispatch::{PoolUsage, QueueUsage, Usage},
    refusals::RefusalCounts,
};
use metrics_exporter_prometheus::PrometheusBuilder;

/// Returns the lines of the metrics that `work` sets.
fn rendered(work: impl FnOnce()) -> Vec<String> {
    let recorder = PrometheusBuilder::new().build_recorder();
    metrics::with_local_recorder(&recorder, work);
    let text = recorder.handle().render();
    let lines = text.lines().filter(|line| line.starts_with("figdeal_"));
    let mut lines: Vec<String> = lines.map(str::to_owned).collect();
    lines.sort();
    lines
}

fn usage(used: u64) -> Usage {
    let pool = PoolUsage {
        total: 24_000,
        used,
        free: 24_000 - used,
    };
    let queue = QueueUsage { used, waiting: 30 };
    Usage {
        pools: BTreeMap::from([("pool".to_owned(), pool)]),
        queues: BTreeMap::from([("main".to_owned(), queue)]),
    }
}

fn expected(values: [u64; 5]) -> Vec<String> {
    let names = [
        "millicores{queue=\"main\",state=\"used\"}",
        "millicores{queue=\"main\",state=\"waiting\"}",
        "pool_millicores{pool=\"pool\",state=\"free\"}",
        "pool_millicores{pool=\"pool\",state=\"total\"}",
        "pool_millicores{pool=\"pool\",state=\"used\"}",
    ];
    let lines = names.iter().zip(values);
    lines
        .map(|(name, value)| format!("figdeal_queue_{name} {value}"))
        .collect()
}

/// Guards against gauges that keep the values of a former leader, since operators add up all nodes, and against an
/// update with each turn of the event loop.
#[test]
fn gauges_follow_the_leader_and_fall_to_zero_without_it() {
    let at = |ms| Timestamp::ZERO + Duration::from_millis(ms);
    let mut gauges = UsageGauges::default();
    let lines = rendered(|| {
        gauges.update(at(0), || Some(usage(1_300)));
        gauges.update(at(999), || panic!("not due"));
    });
    assert_eq!(lines, expected([1_300, 30, 22_700, 24_000, 1_300]));
    let lines = rendered(|| gauges.update(at(1_000), || Some(usage(2_600))));
    assert_eq!(lines, expected([2_600, 30, 21_400, 24_000, 2_600]));
    let lines = rendered(|| gauges.update(at(2_000), || None));
    assert_eq!(lines, expected([0; 5]));
    let lines = rendered(|| gauges.update(at(3_000), || None));
    assert!(lines.is_empty(), "set to 0 once: {lines:?}");
}

/// Guards against refusals that are counted without their reason or queue.
#[test]
fn refusals_are_counted_by_reason_and_queue() {
    let mut refusals = RefusalCounts::default();
    refusals.add("overload", "main");
    refusals.add("overload", "main");
    refusals.add("no_leader", "-");
    let lines = rendered(|| {
        count_refusals(&refusals);
        count_refusals(&RefusalCounts::default());
    });
    assert_eq!(
        lines,
        [
            "figdeal_queue_refusals_total{reason=\"no_leader\",queue=\"-\"} 1",
            "figdeal_queue_refusals_total{reason=\"overload\",queue=\"main\"} 2",
        ]
    );
}
