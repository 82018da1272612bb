//! Learned run times of kinds.

use std::{collections::HashMap, time::Duration};

use crate::id::KindId;

/// Weight of the newest sample in the moving average.
const NEW_SAMPLE: f64 = 0.1;
/// Estimate for a kind without samples and without a declared run time.
const DEFAULT_RUN: Duration = Duration::from_millis(300);
/// Bound on how far a declared run time may pull the estimate.
const MAX_DECLARED: Duration = Duration::from_secs(60);

/// Moving averages of run times. Declared times are used only until a sample exists.
///
/// ```
/// use std::time::Duration;
///
/// use figdeal_core::{id::KindId, runtime::RunTimes};
///
/// let mut times = RunTimes::default();
/// assert_eq!(times.estimate(KindId(0), Some(Duration::from_millis(90))).as_millis(), 90);
/// times.record(KindId(0), Duration::from_millis(200));
/// assert_eq!(times.estimate(KindId(0), None).as_millis(), 200);
/// ```
#[derive(Debug, Default)]
pub struct RunTimes {
    means: HashMap<KindId, f64>,
}

impl RunTimes {
    /// Records the measured run time of one task.
    pub fn record(&mut self, kind: KindId, run: Duration) {
        let sample = run.as_secs_f64();
        let mean = self.means.entry(kind).or_insert(sample);
        *mean += NEW_SAMPLE * (sample - *mean);
    }

    /// The expected run time of a task.
    pub fn estimate(&self, kind: KindId, declared: Option<Duration>) -> Duration {
        match self.means.get(&kind) {
            Some(&mean) => Duration::from_secs_f64(mean),
            None => declared.map_or(DEFAULT_RUN, |d| d.min(MAX_DECLARED)),
        }
    }
}
