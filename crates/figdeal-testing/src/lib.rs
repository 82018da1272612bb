//! Reproducible property tests: bolero generators with a fixed seed.
//!
//! `bolero::check` takes the seed of each iteration from the system, and `BOLERO_RANDOM_SEED` adds one iteration only,
//! so its result can differ between CI runs.

use bolero::generator::{ValueGenerator, bolero_generator::driver};
use rand::{SeedableRng, rngs::StdRng};

/// Seed of all property tests.
const SEED: u64 = 20_261_204;
/// Largest number of random bytes from which one value is generated.
const MAX_INPUT_BYTES: usize = 4_096;

/// Calls `test` with `iterations` generated values. All runs generate the same values, so a failure is reproducible.
///
/// ```
/// use bolero::generator::produce;
///
/// let mut count = 0;
/// figdeal_testing::for_each(100, produce::<Vec<u8>>(), |_| count += 1);
/// assert_eq!(count, 100);
/// ```
pub fn for_each<G: ValueGenerator>(
    iterations: usize,
    generator: G,
    mut test: impl FnMut(G::Output),
) {
    let options = driver::Options::default().with_max_len(MAX_INPUT_BYTES);
    let mut driver = driver::Rng::new(StdRng::seed_from_u64(SEED), &options);
    for _ in 0..iterations {
        test(
            generator
                .generate(&mut driver)
                .expect("the driver has no end"),
        );
    }
}
