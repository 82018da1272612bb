//! Callers that submit jobs of the sample kinds until they are stopped.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
    time::Duration,
};

use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::{
    Result,
    caller::{Job, Record, submit},
    fleet::Fleet,
};

/// Number of concurrent callers. With their delays between jobs they load 80 slots to about 70%.
const CONCURRENT_CALLERS: u64 = 48;
/// Delay of a caller between two jobs in milliseconds.
const JOB_DELAY_MS: std::ops::Range<u64> = 100..1_500;

/// Running callers.
#[derive(Debug)]
pub(crate) struct Load {
    stop: Arc<AtomicBool>,
    callers: Vec<JoinHandle<Vec<Record>>>,
}

impl Load {
    pub(crate) fn start(fleet: &Arc<Fleet>, seed: u64) -> Load {
        let stop = Arc::new(AtomicBool::new(false));
        let callers = (0..CONCURRENT_CALLERS)
            .map(|caller| {
                let fleet = Arc::clone(fleet);
                let stop = Arc::clone(&stop);
                thread::spawn(move || run(&fleet, seed, caller, &stop))
            })
            .collect();
        Load { stop, callers }
    }

    /// Stops the callers after their current job and returns their records.
    pub(crate) fn finish(self) -> Result<Vec<Record>> {
        self.stop.store(true, Ordering::Relaxed);
        let mut records = Vec::new();
        for caller in self.callers {
            records.extend(caller.join().map_err(|_| "step load: a caller panicked")?);
        }
        Ok(records)
    }
}

fn run(fleet: &Arc<Fleet>, seed: u64, caller: u64, stop: &AtomicBool) -> Vec<Record> {
    let mut rng = SmallRng::seed_from_u64(seed.wrapping_mul(1_000) + caller);
    let mut records = Vec::new();
    while !stop.load(Ordering::Relaxed) {
        let id = format!("{seed}-{caller}-{}", records.len());
        let job = Job::random(&id, &mut rng);
        records.push(submit(fleet, job, &mut rng));
        thread::sleep(Duration::from_millis(rng.random_range(JOB_DELAY_MS)));
    }
    records
}
