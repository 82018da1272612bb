//! Randomised tests of the scheduling decisions, some against reference models. `FIGDEAL_SEEDS` sets the number of
//! seeds.

use rand::{SeedableRng, rngs::SmallRng};

mod agent;
mod fleet;
mod runtime;
mod share;

/// Number of seeds if `FIGDEAL_SEEDS` is not set.
const DEFAULT_SEEDS: u64 = 3;

fn for_seeds(run: impl Fn(&mut SmallRng)) {
    let set = std::env::var("FIGDEAL_SEEDS")
        .ok()
        .and_then(|n| n.parse().ok());
    for seed in 0..set.unwrap_or(DEFAULT_SEEDS) {
        println!("seed {seed}");
        run(&mut SmallRng::seed_from_u64(seed));
    }
}
