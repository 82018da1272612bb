//! Checks the catalogue of metrics against the sources of the workspace.

use std::{
    collections::BTreeSet,
    fs,
    path::{Path, PathBuf},
};

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

/// The catalogue must list exactly the metrics in the sources, with their types.
#[test]
fn catalogue_matches_the_sources() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let mut files = Vec::new();
    for entry in fs::read_dir(root.join("crates")).unwrap() {
        sources(&entry.unwrap().path().join("src"), &mut files);
    }
    let mut used = BTreeSet::new();
    for file in files {
        let text = fs::read_to_string(file).unwrap();
        for kind in ["counter", "gauge", "histogram"] {
            for (at, call) in text.match_indices(&format!("{kind}!(")) {
                let rest = text[at + call.len()..].trim_start();
                let name = rest.strip_prefix('"').and_then(|r| r.split('"').next());
                let name = name.expect("the name of a metric is a literal");
                if name.starts_with("figdeal_") {
                    used.insert((name.to_owned(), kind.to_owned()));
                }
            }
        }
    }
    let text = fs::read_to_string(root.join("docs/OPERATIONS.md")).unwrap();
    let rows = text.lines().filter(|line| line.starts_with("| `figdeal_"));
    let listed: BTreeSet<(String, String)> = rows
        .map(|row| {
            let cells: Vec<&str> = row.split('|').map(str::trim).collect();
            (cells[1].trim_matches('`').to_owned(), cells[2].to_owned())
        })
        .collect();
    assert!(used.len() > 20, "the sources are found");
    assert_eq!(used, listed);
}
