//! Tests of the notation of values.

use std::time::Duration;

use figdeal_config::{Share, Unit, Value};
use rand::{Rng, SeedableRng, rngs::StdRng};

/// Guards against a printout or diff that shows another value than the one in force.
#[test]
fn notation_round_trips() {
    let mut rng = StdRng::seed_from_u64(7);
    for _ in 0..100_000 {
        // Multiples of the larger units, so that these are used too.
        let round = 10u64.pow(rng.random_range(0..12)) * 60u64.pow(rng.random_range(0..3));
        let raw = rng.random_range(0..1_000u64) * round;
        let size = rng.random_range(0..5_000u64) << rng.random_range(0..40);
        let values = [
            Value::Time(Duration::from_micros(raw)),
            Value::Size(size),
            Value::Share(Share(raw as u32)),
        ];
        for value in values {
            assert_eq!(value.unit().parse(&value.to_string()), Ok(value), "{value}");
        }
    }
}

/// Guards against accepting notations that the configuration page does not list, and against printing a value in an
/// unexpected unit.
#[test]
fn notations() {
    let time = |text: &str| Unit::Time.parse(text).map(|value| value.to_string());
    for text in [
        "1  s", " 1 s", "1 s ", "1\ts", "1 S", "s", ".5 s", "1,5 s", "+1 s", "1e3 s", "1 m",
    ] {
        assert!(time(text).is_err(), "{text:?}");
    }
    let same = [
        ("0 s", "0 us"),
        ("90 s", "90 s"),
        ("120s", "2 min"),
        ("0.5 ms", "500 us"),
        ("24 h", "1 d"),
    ];
    for (text, shown) in same {
        assert_eq!(time(text).as_deref(), Ok(shown));
    }
}
