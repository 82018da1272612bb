//! Checks the catalogue of log events against the sources of the workspace.

use std::{
    collections::BTreeMap,
    fs,
    path::{Path, PathBuf},
};

const LEVELS: [&str; 5] = ["error", "warn", "info", "debug", "trace"];

/// Level and source location of each event, by event number.
type Events = BTreeMap<String, Vec<(String, String)>>;

fn sources(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            sources(&path, found);
        } else if path.extension().is_some_and(|e| e == "rs") {
            found.push(path);
        }
    }
}

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn number(text: &str) -> Option<&str> {
    let number = text.split(' ').next()?;
    let digits = number.strip_prefix('E')?;
    (digits.len() == 3 && digits.bytes().all(|b| b.is_ascii_digit())).then_some(number)
}

/// Adds the events of one source file; every log line must start with a number.
fn read_source(path: &Path, events: &mut Events) {
    let text = fs::read_to_string(path).unwrap();
    for level in LEVELS {
        for (at, call) in text.match_indices(&format!("log::{level}!(")) {
            let line = text[..at].lines().count();
            let place = format!("{}:{line}", path.display());
            let message = text[at + call.len()..].trim_start().strip_prefix('"');
            let number = message
                .and_then(number)
                .unwrap_or_else(|| panic!("{place}: the log line does not start with a number"));
            let event = (level.to_owned(), place);
            events.entry(number.to_owned()).or_default().push(event);
        }
    }
    let unqualified = LEVELS.iter().any(|level| {
        text.match_indices(&format!("{level}!(")).any(|(at, _)| {
            !text[..at].ends_with("log::") && text[..at].ends_with(char::is_whitespace)
        })
    });
    assert!(
        !unqualified,
        "{}: log macros are called as log::level!",
        path.display()
    );
}

fn read_sources() -> Events {
    let mut events = Events::new();
    for entry in fs::read_dir(root().join("crates")).unwrap() {
        let mut files = Vec::new();
        sources(&entry.unwrap().path().join("src"), &mut files);
        files.iter().for_each(|file| read_source(file, &mut events));
    }
    events
}

/// Returns number and level from the rows `| E101 | warn | meaning | what to do |` of the catalogue.
fn read_catalogue() -> Vec<(String, String)> {
    let text = fs::read_to_string(root().join("docs/events.md")).unwrap();
    let rows = text.lines().filter(|line| line.starts_with("| E"));
    rows.map(|row| {
        let cells: Vec<&str> = row.trim_matches('|').split(" | ").map(str::trim).collect();
        assert_eq!(cells.len(), 4, "number, level, meaning, what to do: {row}");
        assert!(cells.iter().all(|cell| !cell.is_empty()), "{row}");
        assert!(number(cells[0]).is_some(), "{row}");
        (cells[0].to_owned(), cells[1].to_owned())
    })
    .collect()
}

/// Every log line must have a number that no other line uses. The catalogue must list exactly these events with their
/// levels.
#[test]
fn catalogue_matches_the_sources() {
    let events = read_sources();
    assert!(events.len() > 20, "the sources are found: {}", events.len());
    let twice: Vec<_> = events
        .iter()
        .filter(|(_, places)| places.len() > 1)
        .collect();
    assert!(twice.is_empty(), "numbers that are used twice: {twice:#?}");
    let catalogue = read_catalogue();
    assert!(catalogue.is_sorted(), "the catalogue is sorted by number");
    let found: Vec<(String, String)> = events
        .iter()
        .map(|(number, places)| (number.clone(), places[0].0.clone()))
        .collect();
    let missing: Vec<_> = found.iter().filter(|e| !catalogue.contains(e)).collect();
    let stale: Vec<_> = catalogue.iter().filter(|e| !found.contains(e)).collect();
    assert!(
        missing.is_empty() && stale.is_empty(),
        "not in docs/events.md: {missing:?}; only in docs/events.md: {stale:?}"
    );
    assert_eq!(
        catalogue.len(),
        found.len(),
        "a number is in the catalogue twice"
    );
}
