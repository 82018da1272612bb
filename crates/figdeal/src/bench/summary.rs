//! Percentiles of measured times.

use std::time::Duration;

use serde_json::{Value, json};

/// Sorted samples with nearest-rank percentiles.
///
/// ```
/// use figdeal::bench::summary::SortedSamples;
///
/// let sorted = SortedSamples::new(vec![3.0, 1.0, 2.0]);
/// assert_eq!(sorted.percentile(50.0), Some(2.0));
/// assert_eq!(sorted.percentile(99.0), Some(3.0));
/// ```
#[derive(Debug, Clone, PartialEq)]
pub struct SortedSamples {
    values: Vec<f64>,
}

impl SortedSamples {
    /// Creates samples from unsorted values.
    pub fn new(mut values: Vec<f64>) -> SortedSamples {
        values.sort_by(f64::total_cmp);
        SortedSamples { values }
    }

    /// Converts times to milliseconds and sorts them.
    pub fn from_times(times: impl IntoIterator<Item = Duration>) -> SortedSamples {
        SortedSamples::new(times.into_iter().map(|t| t.as_secs_f64() * 1e3).collect())
    }

    /// Returns the number of samples.
    pub fn len(&self) -> usize {
        self.values.len()
    }

    /// Whether there are no samples.
    pub fn is_empty(&self) -> bool {
        self.values.is_empty()
    }

    /// Returns the nearest-rank percentile, or `None` if there are no samples.
    pub fn percentile(&self, percent: f64) -> Option<f64> {
        let rank = (percent / 100.0 * self.values.len() as f64).ceil() as usize;
        self.values.get(rank.max(1) - 1).copied()
    }

    /// Returns the number of samples, p50, p90, p99 and the maximum.
    pub fn describe(&self) -> Value {
        json!({
            "count": self.len(),
            "p50": self.percentile(50.0).map(round),
            "p90": self.percentile(90.0).map(round),
            "p99": self.percentile(99.0).map(round),
            "max": self.percentile(100.0).map(round),
        })
    }
}

/// Rounds to three decimals for the output.
pub fn round(value: f64) -> f64 {
    (value * 1e3).round() / 1e3
}
