//! Checks the committed completions and man pages against the command line.

use std::{
    collections::BTreeMap,
    fs,
    path::{Path, PathBuf},
};

use clap::Parser;
use figdeal::command::generate::{CompletionArgs, ManArgs, completions, man};

/// Hint on how to regenerate the files.
const HINT: &str =
    "run `cargo test -p figdeal --test generated -- --ignored` to regenerate the files";

#[derive(Debug, Parser)]
enum Cli {
    Completions(CompletionArgs),
    Man(ManArgs),
}

fn extra() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../extra")
}

/// Writes all generated files to a folder.
fn write(folder: &Path) {
    let path = folder.join("completions");
    fs::create_dir_all(&path).unwrap();
    let programs = [("figdeal", None), ("figdeal-agent", Some("--agent"))];
    for (program, option) in programs {
        let files = [
            ("bash", format!("{program}.bash")),
            ("fish", format!("{program}.fish")),
            ("zsh", format!("_{program}")),
        ];
        for (shell, file) in files {
            let words = ["x", "completions", shell].into_iter().chain(option);
            let Cli::Completions(args) = Cli::parse_from(words) else {
                unreachable!()
            };
            let mut text = Vec::new();
            assert_eq!(completions(&args, &mut text).unwrap(), 0);
            fs::write(path.join(file), text).unwrap();
        }
    }
    let path = folder.join("man");
    let Cli::Man(args) = Cli::parse_from(["x", "man", path.to_str().unwrap()]) else {
        unreachable!()
    };
    assert_eq!(man(&args).unwrap(), 0);
}

fn read(folder: &Path) -> BTreeMap<String, String> {
    let mut files = BTreeMap::new();
    for part in ["completions", "man"] {
        for entry in fs::read_dir(folder.join(part)).unwrap() {
            let path = entry.unwrap().path();
            let name = format!("{part}/{}", path.file_name().unwrap().to_str().unwrap());
            files.insert(name, fs::read_to_string(path).unwrap());
        }
    }
    files
}

/// The committed completions and man pages must match the command line.
#[test]
fn committed_files_match_the_command_line() {
    let folder = tempfile::tempdir().unwrap();
    write(folder.path());
    let (new, committed) = (read(folder.path()), read(&extra()));
    let names = |files: &BTreeMap<String, String>| files.keys().cloned().collect::<Vec<_>>();
    assert_eq!(names(&committed), names(&new), "{HINT}");
    for (name, text) in new {
        assert!(committed[&name] == text, "extra/{name} differs; {HINT}");
    }
}

/// Regenerates the committed files; not a check.
#[test]
#[ignore = "changes files of the repository"]
fn write_committed_files() {
    let _ = fs::remove_dir_all(extra().join("man"));
    write(&extra());
}
