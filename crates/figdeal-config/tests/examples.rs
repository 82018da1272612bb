//! Tests with the example configurations: reading a folder, printout, differences, and the configuration page.

use std::{fs, path::PathBuf, time::Duration};

use figdeal_config::{Bundle, section::SECTIONS};

fn root() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn example(name: &str) -> Bundle {
    Bundle::read(root().join("examples").join(name)).unwrap_or_else(|problems| panic!("{problems}"))
}

/// Guards against invalid examples, which operators would copy.
#[test]
fn examples_pass() {
    for entry in fs::read_dir(root().join("examples")).unwrap() {
        let name = entry.unwrap().file_name().into_string().unwrap();
        example(&name)
            .check()
            .unwrap_or_else(|problems| panic!("{name}:\n{problems}"));
    }
    let sites = |name| example(name).sites().map(str::to_owned).collect::<Vec<_>>();
    assert_eq!(
        sites("kuorotee"),
        ["hervanta", "kaleva", "lielahti", "tesoma"]
    );
    assert_eq!(
        sites("botella-viajera"),
        ["montezuma", "nosara", "tamarindo"]
    );
}

/// Guards against values with a wrong unit or origin in the configuration of a site.
#[test]
fn effective_values_and_printout() {
    let bundle = example("botella-viajera");
    let config = bundle.effective("montezuma").unwrap();
    assert_eq!(
        config.kinds.keys().collect::<Vec<_>>(),
        ["quote-check", "seal-order", "tide-slot"]
    );
    assert_eq!(config.time_outs.silent_after, Duration::from_millis(2_500));
    assert_eq!(config.limits.body_size, 4 << 20);
    assert_eq!(config.limits.max_ejected.ratio(), 0.3);
    assert_eq!(
        config
            .objective("quote-check", "hotel-chain")
            .unwrap()
            .in_time
            .ratio(),
        0.95
    );
    assert_eq!(
        config
            .objective("quote-check", "kiosks")
            .unwrap()
            .in_time
            .ratio(),
        0.995
    );

    let printout = bundle.settings("montezuma").unwrap().to_string();
    for line in [
        "ping_after = \"750 ms\"            # sites/montezuma.toml:4",
        "job_tasks = 390                  # base.toml:42",
        "poll_every = \"500 ms\"            # default",
    ] {
        assert!(
            printout.lines().any(|found| found == line),
            "{line}\n{printout}"
        );
    }
}

/// Guards against changes that a diff does not show to a reviewer.
#[test]
fn diff_lists_files_and_keys() {
    let old = example("kuorotee");
    assert!(old.diff(&old).is_empty());
    let mut files = old.files().to_vec();
    let edit = |text: &[u8], from: &str, to: &str| {
        let text = std::str::from_utf8(text).unwrap();
        assert!(text.contains(from));
        text.replace(from, to).into_bytes()
    };
    files[0].1 = edit(
        &files[0].1,
        "[teams.office]\nmax_tasks = 500",
        "[teams.staff]",
    );
    files[1].1 = edit(&files[1].1, "queue_bound = 4000", "queue_bound = 3000");
    files[2].1.extend_from_slice(b"# checked\n");
    files[3] = (
        "sites/pispala.toml".to_owned(),
        b"[limits]\nwindow = 3\n".to_vec(),
    );
    let new = Bundle::new(files).unwrap();
    let expected = "\
~ base.toml
  - teams.office
  - teams.office.max_tasks = 500
  + teams.staff
~ sites/hervanta.toml
  ~ kinds.rota-build.queue_bound: 4000 -> 3000
~ sites/kaleva.toml
    no key differs
- sites/lielahti.toml
    no key differs
+ sites/pispala.toml
  + limits
  + limits.window = 3
";
    assert_eq!(old.diff(&new).to_string(), expected);
    assert_ne!(old.digest(), new.digest());
}

/// Guards against silently ignoring an overlay with a misspelt file name, and against accepting a folder without a
/// base.
#[test]
fn stray_files_are_reported() {
    let folder = tempfile::tempdir().unwrap();
    let path = |name: &str| folder.path().join(name);
    let read = || {
        Bundle::read(folder.path())
            .map(drop)
            .map_err(|problems| problems.to_string())
    };
    assert!(read().unwrap_err().starts_with("base.toml: cannot read: "));
    fs::write(path("base.toml"), "").unwrap();
    fs::write(path("README.md"), "").unwrap();
    fs::create_dir(path("sites")).unwrap();
    fs::write(path("sites/.kaleva.toml.swp"), "").unwrap();
    fs::write(path("sites/kaleva.toml"), "").unwrap();
    assert_eq!(read(), Ok(()));
    fs::write(path("sites/tesoma.tml"), "").unwrap();
    assert!(
        read()
            .unwrap_err()
            .starts_with("sites/tesoma.tml: only base.toml")
    );
}

/// Guards against files that change when a bundle is serialized, as in the store of a replica.
#[test]
fn bundles_survive_serialization() {
    let bundle = example("kuorotee");
    let bytes = postcard::to_allocvec(&bundle).unwrap();
    let again: Bundle = postcard::from_bytes(&bytes).unwrap();
    assert_eq!((&again, again.digest()), (&bundle, bundle.digest()));
}

/// Guards against two configurations with the same digest when bytes move between names and files.
#[test]
fn digest_covers_the_limits_of_files() {
    let file = |name: &str, text: &str| (name.to_owned(), text.as_bytes().to_vec());
    // The digests would be equal if it did not cover the lengths, or if all lengths were written as zero.
    for gap in ["", "\0\0\0\0\0\0\0\0"] {
        let two = vec![file("base.toml", "#a"), file("sites/b.toml", "#c")];
        let one = vec![file("base.toml", &format!("#a{gap}sites/b.toml{gap}#c"))];
        let [two, one] = [two, one].map(|files| Bundle::new(files).unwrap().digest());
        assert_ne!(two, one, "{gap:?}");
    }
}

/// Guards against a configuration page that lacks a key or states another unit, default or range than the code.
#[test]
fn page_lists_every_key() {
    let mut expected = String::new();
    for (section, keys) in SECTIONS {
        expected += &format!("section {section}\n");
        for key in keys {
            let shared = if key.base_only { " Base only." } else { "" };
            let range = format!("{} to {}", key.min, key.max);
            expected += &format!(
                "| `{}` | {} | {} | {range} | {}{shared} |\n",
                key.name,
                key.unit().name(),
                key.default,
                key.doc
            );
        }
    }
    let page = fs::read_to_string(root().join("docs/configuration.md")).unwrap_or_default();
    let mut found = String::new();
    for line in page.lines() {
        if let Some(heading) = line.strip_prefix("### `") {
            let name = heading
                .trim_start_matches('[')
                .split(['.', ']'])
                .next()
                .unwrap();
            found += &format!("section {name}\n");
        }
        if line.starts_with("| `") {
            found += &format!("{line}\n");
        }
    }
    assert_eq!(
        found, expected,
        "docs/configuration.md differs; the code has:\n{expected}"
    );
}
