//! Long random simulations of the register with faults.
//!
//! For a longer run: `FIGDEAL_STEPS=5000000 FIGDEAL_SEED=7 cargo test --release -p figdeal-control --test agreement`.

#[path = "sim/disk.rs"]
mod disk;
#[path = "sim/keys.rs"]
mod keys;
#[path = "sim/world.rs"]
mod world;

use std::panic::{AssertUnwindSafe, catch_unwind};

use world::{Counts, Faults, World};

const FAULTS: Faults = Faults {
    loss: 0.03,
    duplicate: 0.05,
    wiped_replica_votes: false,
};

fn env_number(name: &str, default: u64) -> u64 {
    let value = std::env::var(name).ok();
    value.map_or(default, |v| v.parse().expect("a number"))
}

fn run(size: usize, faults: Faults, seed: u64) -> Counts {
    let mut world = World::new(size, seed, faults);
    world.run(env_number("FIGDEAL_STEPS", 120_000));
    world.end_faults_and_check();
    println!("{size} replicas, seed {seed}: {:?}", world.counts);
    world.counts
}

fn assert_events(counts: &Counts) {
    assert!(counts.accepted > 100 && counts.reads > 100, "{counts:?}");
    assert!(
        counts.storage_errors > 10 && counts.lost_disks > 5,
        "{counts:?}"
    );
    assert!(counts.replaced > 5 && counts.key_changes > 3, "{counts:?}");
    assert!(counts.taken > 10 && counts.resends > 10, "{counts:?}");
}

/// Guards against changes that are lost, reverted, applied twice or not signed, and against out-of-date states that are
/// returned as current.
#[test]
fn three_replicas_keep_every_accepted_change() {
    assert_events(&run(3, FAULTS, env_number("FIGDEAL_SEED", 1)));
}

/// Guards against the same failures with five replicas, of which two may be unavailable at once.
#[test]
fn five_replicas_keep_every_accepted_change() {
    assert_events(&run(5, FAULTS, env_number("FIGDEAL_SEED", 2)));
}

/// Guards against a simulation that is too weak to detect errors: it must fail if a replica votes under its old id
/// after losing its data folder.
#[test]
fn a_wiped_replica_that_votes_is_caught() {
    let faults = Faults {
        wiped_replica_votes: true,
        ..FAULTS
    };
    let seed = env_number("FIGDEAL_SEED", 3);
    let mut world = World::new(3, seed, faults);
    let caught = catch_unwind(AssertUnwindSafe(|| world.run(200_000)));
    let panic = caught.expect_err("the run must fail when a wiped replica votes");
    let text = panic.downcast_ref::<String>().map(String::as_str);
    let text = text.or(panic.downcast_ref::<&str>().copied()).unwrap();
    println!("seed {seed}: {text}");
    let violations = [
        "a current state must not be old",
        "must have one content",
        "must not change",
        "must not be reverted",
        "must follow version",
        "a resend must get the first answer",
    ];
    assert!(violations.iter().any(|v| text.contains(v)), "{text}");
}
