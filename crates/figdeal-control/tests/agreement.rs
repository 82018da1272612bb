//! Long random runs of the register under faults.
//!
//! A longer run: `FIGDEAL_STEPS=5000000 FIGDEAL_SEED=7 cargo test --release -p figdeal-control --test agreement`.

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
    wiped_votes: false,
};

fn setting(name: &str, default: u64) -> u64 {
    let value = std::env::var(name).ok();
    value.map_or(default, |v| v.parse().expect("a number"))
}

fn run(size: usize, faults: Faults, seed: u64) -> Counts {
    let mut world = World::new(size, seed, faults);
    world.run(setting("FIGDEAL_STEPS", 120_000));
    world.settle();
    println!("{size} replicas, seed {seed}: {:?}", world.counts);
    world.counts
}

fn assert_busy(counts: &Counts) {
    assert!(counts.accepted > 100 && counts.reads > 100, "{counts:?}");
    assert!(counts.torn > 10 && counts.lost_disks > 5, "{counts:?}");
    assert!(counts.replaced > 5 && counts.key_changes > 3, "{counts:?}");
    assert!(counts.taken > 10 && counts.resends > 10, "{counts:?}");
}

/// Guards against lost, reverted, doubled and unsigned changes, and against false claims to be current.
#[test]
fn three_replicas_keep_every_accepted_change() {
    assert_busy(&run(3, FAULTS, setting("FIGDEAL_SEED", 1)));
}

/// The same with five replicas, where two may be away at once.
#[test]
fn five_replicas_keep_every_accepted_change() {
    assert_busy(&run(5, FAULTS, setting("FIGDEAL_SEED", 2)));
}

/// Guards against a run that is too weak: a replica that votes after it lost its folder must be found out.
#[test]
fn a_wiped_replica_that_votes_is_caught() {
    let faults = Faults {
        wiped_votes: true,
        ..FAULTS
    };
    let seed = setting("FIGDEAL_SEED", 3);
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
