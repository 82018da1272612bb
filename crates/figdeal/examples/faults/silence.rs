//! Scenario `silence`: open connections between processes stall without being closed; new connections work.

use std::{
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::{Result, check, fleet::Fleet, load::Load, summary::Summary};

/// Time between two stalls in milliseconds.
const STALL_INTERVAL_MS: std::ops::Range<u64> = 500..2_000;

pub(crate) fn run(
    fleet: &Arc<Fleet>,
    seed: u64,
    span: Duration,
    summary: &mut Summary,
) -> Result<()> {
    let load = Load::start(fleet, seed);
    let mut rng = SmallRng::seed_from_u64(seed);
    let start = Instant::now();
    let mut silences = 0;
    while start.elapsed() < span {
        thread::sleep(Duration::from_millis(rng.random_range(STALL_INTERVAL_MS)));
        let relay = rng.random_range(0..fleet.relays.len());
        fleet.relays[relay].stall_connections();
        silences += 1;
    }
    let records = load.finish()?;
    summary.count("silences", silences);
    check::check_records(fleet, &records, summary);
    Ok(())
}
