//! Tests of the operator commands that need no running process.

use std::{fs, path::Path};

use clap::Parser;
use figdeal::command::{
    check::{self, CheckArgs},
    keys::{self, KeysArgs},
};
use figdeal_config::keys::{PrivateKey, PublicKey};

#[derive(Debug, Parser)]
enum Cli {
    Check(CheckArgs),
    Keys(KeysArgs),
}

/// Runs a command line; returns its output and its error.
fn run(words: &[&str]) -> (String, Option<String>) {
    let mut out = Vec::new();
    let error = match Cli::parse_from([&["figdeal"], words].concat()) {
        Cli::Check(args) => check::write(&args, &mut out)
            .err()
            .map(|error| error.to_string()),
        Cli::Keys(args) => keys::write(&args, &mut out)
            .err()
            .map(|error| error.to_string()),
    };
    (String::from_utf8(out).unwrap(), error)
}

fn sample() -> String {
    format!("{}/../../examples/kuorotee", env!("CARGO_MANIFEST_DIR"))
}

/// `check` must print the configuration that the site gets, with the origin of each value.
#[test]
fn check_prints_the_configuration_of_a_site() {
    let (text, error) = run(&["check", &sample()]);
    assert!(
        error.is_none()
            && text.starts_with("valid, sites: hervanta kaleva lielahti tesoma, digest: "),
        "{text}"
    );
    let (text, _) = run(&["check", &sample(), "--site", "tesoma"]);
    assert!(
        text.lines()
            .any(|line| line == "reserve = 2                      # sites/tesoma.toml:8"),
        "{text}"
    );
    let (text, _) = run(&["check", &sample(), "--site", "tesoma", "--json"]);
    let json: serde_json::Value = serde_json::from_str(&text).unwrap();
    let values = json["values"].as_array().unwrap();
    let reserve = values
        .iter()
        .find(|value| value["key"] == "limits.reserve")
        .unwrap();
    assert_eq!(
        (&reserve["value"], &reserve["origin"]),
        (&"2".into(), &"sites/tesoma.toml:8".into())
    );
    let (_, error) = run(&["check", &sample(), "--site", "oulu"]);
    assert_eq!(
        error.unwrap(),
        "sites/oulu.toml: the bundle has no such file"
    );
}

/// `check` must fail for a configuration with problems and list them all.
#[test]
fn check_reports_problems() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().to_str().unwrap();
    fs::write(
        folder.path().join("base.toml"),
        "[kinds.a]\nweight = 0\n[teams.b]\nx = 1\n",
    )
    .unwrap();
    let (text, error) = run(&["check", path]);
    let error = error.unwrap();
    assert!(
        text.is_empty()
            && error.contains("base.toml:2: kinds.a.weight: 0")
            && error.lines().count() == 2,
        "{error}"
    );
    let (text, error) = run(&["check", path, "--json"]);
    assert!(error.unwrap().starts_with("the configuration has problems"));
    let json: serde_json::Value = serde_json::from_str(&text).unwrap();
    assert_eq!(json["valid"], false);
    assert_eq!(json["problems"][1]["line"], 4);
    assert_eq!(json["problems"][1]["key"], "teams.b.x");
}

/// `keys` must not print the private key, and must not overwrite an existing key file.
#[test]
fn keys_prints_the_public_key_only() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("owner.key");
    let file = path.to_str().unwrap();
    let (created, error) = run(&["keys", "new", "--out", file]);
    assert_eq!(error, None);
    let (shown, _) = run(&["keys", "show", file]);
    assert_eq!(created, shown);
    let public: PublicKey = shown.trim_end().parse().unwrap();
    assert_eq!(public, PrivateKey::read(Path::new(file)).unwrap().public());
    let before = fs::read(file).unwrap();
    assert!(
        run(&["keys", "new", "--out", file])
            .1
            .unwrap()
            .starts_with("cannot write key file")
    );
    assert_eq!(fs::read(file).unwrap(), before);
}
