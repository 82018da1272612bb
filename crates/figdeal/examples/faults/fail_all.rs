//! Scenario `fail-all`: one upstream fails every task at once, which makes it look like the least loaded one.

use std::{sync::Arc, thread, time::Duration};

use crate::{
    Result, check,
    fleet::{ENTRIES, Fleet},
    load::Load,
    summary::Summary,
};

/// Index of the failing upstream.
pub(crate) const FAILING_UPSTREAM: usize = 0;
/// Maximum number of probe tasks from one entry in the second half of a run. The delay between probes doubles from 1 s
/// and may be reset once.
const MAX_PROBES: usize = 6;

pub(crate) fn run(
    fleet: &Arc<Fleet>,
    seed: u64,
    span: Duration,
    summary: &mut Summary,
) -> Result<()> {
    let load = Load::start(fleet, seed);
    thread::sleep(span / 2);
    let first = fleet.starts(FAILING_UPSTREAM);
    thread::sleep(span / 2);
    let second = fleet.starts(FAILING_UPSTREAM) - first;
    let records = load.finish()?;
    summary.count("starts at the failing upstream, first half", first);
    summary.count("starts at the failing upstream, second half", second);
    if second > MAX_PROBES * ENTRIES {
        summary.violation(format!(
            "{second} tasks went to the failing upstream after its ejection"
        ));
    }
    check::check_records(fleet, &records, summary);
    Ok(())
}
