//! Compares the effective configuration with a simple reference merge, and feeds arbitrary files to the parser.

use std::{collections::BTreeMap, time::Duration};

use bolero::generator::{TypeGenerator, produce};
use figdeal_config::{Bundle, SiteConfig};
use rand::{Rng, SeedableRng, rngs::StdRng};

/// Seed of the random damage to files.
const SEED: u64 = 20_261_204;

/// Table, key and unit, then the smallest, largest and default raw value. The ranges are chosen so that no two values
/// contradict each other. Raw values are counts, milliseconds, KiB or hundredths of a percent.
const KEYS: [&str; 19] = [
    "kinds.a urgency count 0 1000 1",
    "kinds.a weight count 1 1000 1",
    "kinds.a deadline time 20000 50000 10000",
    "kinds.b run_time time 1 900 300",
    "kinds.b deadline time 20000 50000 10000",
    "kinds.b queue_bound count 1 9000 4000",
    "teams.x max_tasks count 1 1000000 10000",
    "teams.y weight count 1 1000 1",
    "limits queue_bound count 9000 90000 20000",
    "limits body_size size 1 65536 4096",
    "limits max_ejected share 0 9000 3000",
    "limits unplaceable_after time 100 60000 2000",
    "time_outs ping_after time 10 999 500",
    "time_outs silent_after time 1000 120000 1500",
    "time_outs poll_every time 50 9000 500",
    "objectives.a in_time share 1 10000 9500",
    "objectives.a latency time 1000 10000 5000",
    // The keys of a team's objective come directly after those of the kind's objective, see `PARENT_DISTANCE`.
    "objectives.a.teams.y in_time share 1 10000 9500",
    "objectives.a.teams.y latency time 1000 10000 5000",
];

/// Distance in `KEYS` from a key of a team's objective back to the same key of the kind's objective.
const PARENT_DISTANCE: usize = 2;

/// Index in `KEYS` of the first key of a team's objective.
const FIRST_TEAM_KEY: usize = 17;

/// A random value that the base or the overlay sets.
#[derive(Debug, Clone, TypeGenerator)]
struct Edit {
    overlay: bool,
    key: u8,
    value: u64,
    style: u8,
}

/// Raw value and style of notation by index of the key. Of several edits of a key, the last one counts.
type RawValues = BTreeMap<usize, (u64, u8)>;

/// Returns the smallest, largest and default raw value of a key.
fn range_and_default(key: usize) -> [u64; 3] {
    let mut numbers = KEYS[key]
        .split(' ')
        .skip(3)
        .map(|text| text.parse().unwrap());
    [(); 3].map(|()| numbers.next().unwrap())
}

fn raw_values(edits: &[Edit], overlay: bool) -> RawValues {
    let edits = edits.iter().filter(|edit| edit.overlay == overlay);
    let read = |edit: &Edit| {
        let key = usize::from(edit.key) % KEYS.len();
        let [min, max, _] = range_and_default(key);
        (key, (min + edit.value % (max - min + 1), edit.style))
    };
    edits.map(read).collect()
}

/// Returns one of the equivalent notations of a value.
fn notation(unit: &str, value: u64, style: u8) -> String {
    match (unit, style % 3) {
        ("count", 0) => format!("{value:#x}"),
        ("count", _) => value.to_string(),
        ("time", 0) => format!("\"{value} ms\""),
        ("time", 1) => format!("\"{}.{:03}s\"", value / 1_000, value % 1_000),
        ("time", _) => format!("\"{} us\"", value * 1_000),
        ("size", 0) => format!("\"{value}KiB\""),
        ("size", _) => format!("\"{} B\"", value * 1_024),
        ("share", 0) => format!("\"{}.{:02}%\"", value / 100, value % 100),
        (_, _) => format!("\"{}.{:02}00 %\"", value / 100, value % 100),
    }
}

/// Returns the values of the base. It always sets a key of the kind's objective, which would not exist otherwise.
fn raw_base(edits: &[Edit]) -> RawValues {
    let mut base = raw_values(edits, false);
    base.entry(FIRST_TEAM_KEY - PARENT_DISTANCE)
        .or_insert((9_500, 0));
    base
}

/// Returns the text of a file. The base has every table, the overlay only tables with a value.
fn file_text(raw: &RawValues, overlay: bool) -> String {
    let mut tables: BTreeMap<&str, String> = BTreeMap::new();
    for (index, key) in KEYS.iter().enumerate() {
        let [table, key, unit] = [0, 1, 2].map(|word| key.split(' ').nth(word).unwrap());
        if let Some((value, style)) = raw.get(&index) {
            let line = format!("{key} = {}\n", notation(unit, *value, *style));
            tables.entry(table).or_default().push_str(&line);
        } else if !overlay {
            tables.entry(table).or_default();
        }
    }
    tables
        .iter()
        .map(|(table, lines)| format!("[{table}]\n{lines}"))
        .collect()
}

/// Returns the expected raw values by the reference merge.
fn merge_raw(base: &RawValues, overlay: &RawValues) -> Vec<u64> {
    let set = |key| overlay.get(&key).or(base.get(&key)).map(|entry| entry.0);
    let parent = |key| {
        (key >= FIRST_TEAM_KEY)
            .then(|| set(key - PARENT_DISTANCE))
            .flatten()
    };
    let value = |key| {
        set(key)
            .or(parent(key))
            .unwrap_or(range_and_default(key)[2])
    };
    (0..KEYS.len()).map(value).collect()
}

/// Returns the raw values of a configuration in the order of `KEYS`.
fn raw_config(config: &SiteConfig) -> Vec<u64> {
    let ms = |time: Duration| time.as_millis() as u64;
    let (a, b) = (&config.kinds["a"], &config.kinds["b"]);
    let (x, y) = (&config.teams["x"], &config.teams["y"]);
    let (limits, time_outs) = (&config.limits, &config.time_outs);
    let objectives = [config.objective("a", "x"), config.objective("a", "y")];
    let mut values = vec![
        a.urgency.into(),
        a.weight.into(),
        ms(a.deadline),
        ms(b.run_time),
        ms(b.deadline),
        b.queue_bound.into(),
        x.max_tasks.into(),
        y.weight.into(),
        limits.queue_bound.into(),
        limits.body_size / 1_024,
        u64::from(limits.max_ejected.0 / 100),
        ms(limits.unplaceable_after),
        ms(time_outs.ping_after),
        ms(time_outs.silent_after),
        ms(time_outs.poll_every),
    ];
    for objective in objectives {
        let objective = objective.expect("the base has both objectives");
        values.extend([u64::from(objective.in_time.0 / 100), ms(objective.latency)]);
    }
    values
}

/// Compares `effective` with the reference merge, and checks that the printout, read as a base, gives the same
/// configuration.
fn check_merge(edits: &[Edit]) {
    let (base, overlay) = (raw_base(edits), raw_values(edits, true));
    let bundle = |base: String, overlay: String| {
        let base = ("base.toml".to_owned(), base.into_bytes());
        let site = ("sites/s.toml".to_owned(), overlay.into_bytes());
        Bundle::new(vec![base, site]).unwrap()
    };
    let merged = bundle(file_text(&base, false), file_text(&overlay, true));
    let config = merged
        .effective("s")
        .unwrap_or_else(|problems| panic!("{problems}\n{edits:#?}"));
    assert_eq!(
        raw_config(&config),
        merge_raw(&base, &overlay),
        "{edits:#?}"
    );

    let printout = merged.settings("s").unwrap().to_string();
    let reread = bundle(printout.clone(), String::new()).effective("s");
    assert_eq!(reread.as_ref(), Ok(&config), "{printout}");
}

/// Guards against a merge that takes a value from the wrong file or table, with few and with many edits.
#[test]
fn merge_equals_reference_merge() {
    figdeal_testing::for_each(2_000, produce::<Vec<Edit>>(), |edits| check_merge(&edits));
    let dense = produce::<Vec<Edit>>().with().len(20..120usize);
    figdeal_testing::for_each(3_000, dense, |edits| check_merge(&edits));
}

/// Checks a bundle of two arbitrary files: there is no panic, each problem has a line within its file, and `check` and
/// `effective` agree. Returns whether the bundle is valid.
fn check_any_files(base: &[u8], overlay: &[u8]) -> bool {
    let files = vec![
        ("base.toml".to_owned(), base.to_vec()),
        ("sites/s.toml".to_owned(), overlay.to_vec()),
    ];
    let bundle = Bundle::new(files).unwrap();
    let Err(problems) = bundle.check() else {
        bundle
            .effective("s")
            .expect("a checked bundle has a configuration");
        return true;
    };
    assert!(!problems.list().is_empty());
    for problem in problems.list() {
        let bytes = bundle
            .file(&problem.file)
            .expect("a problem names a file of the bundle");
        let lines = 1 + bytes.iter().filter(|&&byte| byte == b'\n').count();
        assert!(
            problem.line <= lines,
            "{problem}: the file has {lines} lines"
        );
    }
    assert_eq!(bundle.effective("s"), Err(problems));
    false
}

/// Guards against a panic, or a reported line outside the file, for arbitrary bytes.
#[test]
fn arbitrary_bytes() {
    let files = produce::<(Vec<u8>, Vec<u8>)>();
    figdeal_testing::for_each(20_000, files, |(base, overlay)| {
        check_any_files(&base, &overlay);
    });
}

/// Guards against the same failures for random sequences of the tokens of a configuration.
#[test]
fn arbitrary_tokens() {
    let tokens: Vec<_> = "[|]|[[|.|=|\n|\n|\n|\"|{|}|kinds|teams|limits|time_outs|objectives|a|b|deadline|\
        weight|latency|ping_after|0|7|\"1 s\"|\"2 h\"|\"5 %\"|#\u{e4}\r\n|kinds.a|teams.b|[kinds.a]\n|[teams.b]\n"
        .split('|')
        .collect();
    let pick = |pick: &u8| tokens[usize::from(*pick) % tokens.len()];
    let join = |picks: &[u8]| picks.iter().map(pick).collect::<String>();
    let files = produce::<(Vec<u8>, Vec<u8>)>();
    figdeal_testing::for_each(20_000, files, |(base, overlay)| {
        check_any_files(join(&base).as_bytes(), join(&overlay).as_bytes());
    });
}

/// Guards against the same failures for valid files with a few damaged bytes.
#[test]
fn damaged_lines() {
    let base = include_str!("../../../examples/kuorotee/base.toml");
    let overlay = include_str!("../../../examples/kuorotee/sites/tesoma.toml");
    let mut rng = StdRng::seed_from_u64(SEED);
    let mut valid = 0;
    for _ in 0..5_000 {
        let mut files = [base.as_bytes().to_vec(), overlay.as_bytes().to_vec()];
        for _ in 0..rng.random_range(0..4) {
            let file = &mut files[rng.random_range(0..2)];
            let at = rng.random_range(0..file.len());
            match rng.random_range(0..3) {
                0 => file[at] = rng.random(),
                1 => drop(file.remove(at)),
                _ => file.insert(at, b"[]=\".0 \n"[rng.random_range(0..8)]),
            }
        }
        valid += u32::from(check_any_files(&files[0], &files[1]));
    }
    assert!(
        (500..4_500).contains(&valid),
        "{valid} of 5000 files are valid: the damage is one-sided"
    );
}
