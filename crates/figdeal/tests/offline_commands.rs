//! Tests of the operator commands that need no running process.

use std::{fs, path::Path};

use clap::Parser;
use figdeal::command::{
    check::{self, CheckArgs},
    keys::{self, KeysArgs},
    queue_check,
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

#[derive(Debug, Parser)]
struct QueueCheck {
    #[command(flatten)]
    args: queue_check::Args,
}

/// Runs `queue-check` on a file with this content; returns the exit code, the output and the errors.
fn queue_check(content: &[u8], options: &[&str]) -> (u8, String, String) {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("queues.json");
    fs::write(&file, content).unwrap();
    let words = [&["x", file.to_str().unwrap()], options].concat();
    let (mut out, mut errors) = (Vec::new(), Vec::new());
    let args = QueueCheck::parse_from(words).args;
    let code = queue_check::write(&args, &mut out, &mut errors).unwrap();
    let text = |bytes| String::from_utf8(bytes).unwrap();
    (code, text(out), text(errors))
}

const QUEUES: &str = r#"{"version":3,"routes":[{"name":"a","host":"h","path_prefix":"/a/","timeout_ms":900,
    "service":"s","stretch":1.6,"target_duration_ms":60}],"services":[{"name":"s"}]}"#;

/// Serves one request with this answer, as a node does.
fn serve_once(status: &'static str, body: &'static str) -> std::net::SocketAddr {
    use std::io::{Read, Write};
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let _ = stream.read(&mut [0; 4_096]).unwrap();
        let length = body.len();
        write!(
            stream,
            "HTTP/1.1 {status}\r\nContent-Length: {length}\r\n\r\n{body}"
        )
        .unwrap();
    });
    address
}

/// `queue-check` must end with the code that a script tests, and name file, key, both values and the fix.
#[test]
fn queue_check_reports_findings_by_its_exit_code() {
    let (code, out, errors) = queue_check(QUEUES.as_bytes(), &[]);
    assert_eq!((code, errors.as_str()), (0, ""), "{out}");
    let broken = QUEUES
        .replace("900", "60")
        .replace("\"service\":\"s\"", "\"service\":\"t\"");
    let (code, out, _) = queue_check(broken.as_bytes(), &[]);
    assert_eq!((code, out.lines().count()), (1, 2), "{out}");
    for part in [
        "queues.json: error: routes[0].service is t, services is s; fix: ",
        "queues.json: contradiction: routes[0].target_duration_ms is 60, routes[0].timeout_ms is 60; fix: ",
    ] {
        assert!(out.contains(part), "{out}");
    }
    let (code, out, _) = queue_check(broken.as_bytes(), &["--json"]);
    let json: serde_json::Value = serde_json::from_str(&out).unwrap();
    assert_eq!(
        (code, &json["findings"][0]["other_value"]),
        (1, &"s".into())
    );
}

/// `queue-check` must tell what differs from a node, and must not report a clean file when it could not compare it.
#[test]
fn queue_check_compares_with_a_node() {
    let node = serve_once("200 OK", QUEUES).to_string();
    let (code, out, _) = queue_check(QUEUES.as_bytes(), &["--node", &node]);
    assert_eq!(code, 0, "{out}");
    let node = serve_once("200 OK", QUEUES).to_string();
    let changed = QUEUES.replace("900", "800").replace(":3", ":4");
    let (code, out, _) = queue_check(changed.as_bytes(), &["--node", &node]);
    assert_eq!((code, out.lines().count()), (1, 2), "{out}");
    assert!(
        out.contains("difference: routes[h/a/].timeout_ms is 800, the value in force is 900"),
        "{out}"
    );
    let node = serve_once("503 Service Unavailable", "{}").to_string();
    let (code, out, errors) = queue_check(QUEUES.as_bytes(), &["--node", &node]);
    assert_eq!((code, out.as_str()), (2, ""));
    assert!(errors.contains("status 503"), "{errors}");
}
