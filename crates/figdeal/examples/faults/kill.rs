//! Scenario `kill`: processes are killed at random times under load and restarted.

use std::{
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::{Result, check, fleet::Fleet, load::Load, process::Process, summary::Summary};

/// Time between two kills in milliseconds.
const KILL_INTERVAL_MS: std::ops::Range<u64> = 300..1_500;
/// Time until a killed process is restarted in milliseconds.
const RESTART_DELAY_MS: std::ops::Range<u64> = 0..2_500;
/// Minimum time from the restart of an entry to the next kill of an entry. With a shorter one the entries would have no
/// quorum to decide claims.
const ENTRY_KILL_DELAY: Duration = Duration::from_secs(2);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Role {
    Entry,
    Agent,
    Upstream,
}

#[derive(Debug)]
struct StoppedProcess {
    role: Role,
    index: usize,
    restart_at: Instant,
}

/// Kills and restarts processes by a schedule from a seed.
struct Killer<'a> {
    fleet: &'a Fleet,
    rng: SmallRng,
    stopped: Vec<StoppedProcess>,
    next_entry_kill: Instant,
    kills: [u64; 3],
}

pub(crate) fn run(
    fleet: &Arc<Fleet>,
    seed: u64,
    span: Duration,
    summary: &mut Summary,
) -> Result<()> {
    let load = Load::start(fleet, seed);
    let mut killer = Killer {
        fleet,
        rng: SmallRng::seed_from_u64(seed),
        stopped: Vec::new(),
        next_entry_kill: Instant::now() + ENTRY_KILL_DELAY,
        kills: [0; 3],
    };
    let result = killer.run(span);
    let records = load.finish()?;
    result?;
    for (role, kills) in ["entries", "agents", "upstreams"].iter().zip(killer.kills) {
        summary.count(&format!("kills of {role}"), kills);
    }
    check::check_records(fleet, &records, summary);
    Ok(())
}

impl Killer<'_> {
    fn run(&mut self, span: Duration) -> Result<()> {
        let start = Instant::now();
        let mut next = start + Duration::from_secs(1);
        while start.elapsed() < span {
            let wake = self
                .stopped
                .iter()
                .map(|d| d.restart_at)
                .chain([next])
                .min();
            thread::sleep(wake.map_or(Duration::ZERO, |at| {
                at.saturating_duration_since(Instant::now())
            }));
            self.restart(Instant::now())?;
            if Instant::now() >= next {
                self.kill();
                next =
                    Instant::now() + Duration::from_millis(self.rng.random_range(KILL_INTERVAL_MS));
            }
        }
        self.stopped.iter_mut().for_each(|d| d.restart_at = start);
        self.restart(Instant::now())
    }

    fn kill(&mut self) {
        let role = [Role::Entry, Role::Agent, Role::Upstream][self.rng.random_range(0..3)];
        let index = self.rng.random_range(0..self.group(role).len());
        let span = Duration::from_millis(self.rng.random_range(RESTART_DELAY_MS));
        let now = Instant::now();
        let is_down =
            |d: &StoppedProcess| d.role == role && (role == Role::Entry || d.index == index);
        if self.stopped.iter().any(is_down) || (role == Role::Entry && now < self.next_entry_kill) {
            return;
        }
        self.group(role)[index].kill();
        self.kills[role as usize] += 1;
        let restart_at = now + span;
        if role == Role::Entry {
            self.next_entry_kill = restart_at + ENTRY_KILL_DELAY;
        }
        self.stopped.push(StoppedProcess {
            role,
            index,
            restart_at,
        });
    }

    fn restart(&mut self, now: Instant) -> Result<()> {
        let (due, stopped) = std::mem::take(&mut self.stopped)
            .into_iter()
            .partition(|d| d.restart_at <= now);
        self.stopped = stopped;
        let due: Vec<StoppedProcess> = due;
        due.iter()
            .try_for_each(|d| self.group(d.role)[d.index].start())
    }

    fn group(&self, role: Role) -> &[Process] {
        match role {
            Role::Entry => &self.fleet.entries,
            Role::Agent => &self.fleet.agents,
            Role::Upstream => &self.fleet.upstreams,
        }
    }
}
