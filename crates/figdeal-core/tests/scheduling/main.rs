//! Randomised and differential tests of the scheduling decisions. `FIGDEAL_SEEDS` sets the number of seeds.

use rand::{SeedableRng, rngs::SmallRng};

mod agent;
mod fleet;
mod runtime;
mod share;

/// Seeds of an ordinary run.
const SEEDS: u64 = 3;

fn for_seeds(run: impl Fn(&mut SmallRng)) {
    let set = std::env::var("FIGDEAL_SEEDS")
        .ok()
        .and_then(|n| n.parse().ok());
    for seed in 0..set.unwrap_or(SEEDS) {
        println!("seed {seed}");
        run(&mut SmallRng::seed_from_u64(seed));
    }
}
