//! Tests that each kind of problem is reported with its file, key and line.

use figdeal_config::{Bundle, Problems};

/// Valid base of seven lines.
const BASE: &str = "\
[kinds.swap]
deadline = \"2 s\"
run_time = \"100 ms\"
[teams.choirs]
[objectives.swap]
latency = \"1 s\"

";

/// Rows of `TEXT => PROBLEMS`: text that is appended to `BASE`, with `;` for a line break, and the start of each
/// expected problem, separated by `&`.
const BASE_PROBLEMS: &str = r#"
[limit] => base.toml:8: limit: unknown key; known keys: kinds, teams, limits
[limits];windw = 2 => base.toml:9: limits.windw: unknown key; known keys: queue_bound, job_tasks
[teams.x];quota = 2 => base.toml:9: teams.x.quota: unknown key; known keys: max_tasks, weight
[limits];window = "2" => base.toml:9: limits.window: wrong value "2"; expected a whole number
[limits];window = -1 => base.toml:9: limits.window: -1 is outside the range from 0 to 64
[limits];window = 65 => base.toml:9: limits.window: 65 is outside the range from 0 to 64
[limits];window = 0x41 => base.toml:9: limits.window: 0x41 is outside
[limits];window = 99999999999999999999 => base.toml:9: limits.window: 99999999999999999999 is outside
[limits];window = 2.0 => base.toml:9: limits.window: wrong value 2.0
[limits];window = true => base.toml:9: limits.window: wrong value true
[limits];window = [2] => base.toml:9: limits.window: wrong value (array)
[limits];body_size = 4194304 => base.toml:9: limits.body_size: wrong value 4194304; expected a string
[limits];body_size = "4 MB" => base.toml:9: limits.body_size: wrong value "4 MB"; expected a string
[limits];body_size = "99999999999999 GiB" => base.toml:9: limits.body_size: wrong value
[limits];max_ejected = 0.3 => base.toml:9: limits.max_ejected: wrong value 0.3
[limits];max_ejected = "95 %" => base.toml:9: limits.max_ejected: "95 %" is outside the range from 0 % to 90 %
[limits];max_ejected = "0.00001 %" => base.toml:9: limits.max_ejected: wrong value
[limits];retention = "1h30" => base.toml:9: limits.retention: wrong value "1h30"
[limits];retention = "1. h" => base.toml:9: limits.retention: wrong value "1. h"
[time_outs];ping_after = "500" => base.toml:9: time_outs.ping_after: wrong value "500"
[time_outs];ping_after = "-1 s" => base.toml:9: time_outs.ping_after: wrong value "-1 s"
[time_outs];ping_after = "" => base.toml:9: time_outs.ping_after: wrong value ""
[kinds.a];weight = 0 => base.toml:9: kinds.a.weight: 0 is outside the range from 1 to 1000
[teams.a];weight = 0 => base.toml:9: teams.a.weight: 0 is outside the range from 1 to 1000
[kinds.Rota] => base.toml:8: kinds.Rota: a name consists of
[kinds.""] => base.toml:8: kinds.: a name consists of
[kinds];x = 3 => base.toml:9: kinds.x: expected a table, found integer
[[limits]] => base.toml:8: limits: expected a table, found array
[objectives.x] => base.toml:8: objectives.x: kinds.x is not defined in base.toml
[objectives.swap.teams.x] => base.toml:8: objectives.swap.teams.x: teams.x is not defined in base.toml
[objectives.swap.teams];choirs = 1 => base.toml:9: objectives.swap.teams.choirs: expected a table
[kinds.swap];weight = 2 => base.toml:8: swap: duplicate key
[teams.choirs] => base.toml:8: choirs: duplicate key
[limits];window = 1;reserve = 0;window = 1 => base.toml:11: window: duplicate key
[limits];window 1 => base.toml:9: 
[time_outs];mark_keep = "1 min" => base.toml:9: time_outs.mark_keep: 1 min must be greater than time_outs.request_age (1 min, default)
[time_outs];silent_after = "1 s";ping_after = "1 s" => base.toml:10: time_outs.ping_after: 1 s must be less than time_outs.owner_after (1 s, default) & base.toml:10: time_outs.ping_after: 1 s must be less than time_outs.silent_after (1 s, base.toml:9)
[kinds.a];deadline = "200 ms" => base.toml:9: kinds.a.deadline: 200 ms must be at least kinds.a.run_time (300 ms, default)
[kinds.a];deadline = "2 s";[objectives.a] => base.toml:9: kinds.a.deadline: 2 s must be at least objectives.a.latency (5 s, default)
[kinds.a];deadline = "1 min";[limits];retention = "1 min" => base.toml:9: kinds.a.deadline: 1 min must be less than limits.retention (1 min, base.toml:11)
[limits];max_skew = "30 s" =>
[kinds.a];deadline = "2";run_time = "30 s" => base.toml:9: kinds.a.deadline: wrong value "2"
[kinds.a];foo = 1;weight = 0;[b] => base.toml:9: kinds.a.foo: unknown key & base.toml:10: kinds.a.weight: 0 is outside & base.toml:11: b: unknown key
"#;

/// The same for the text of an overlay, on a base with `queue_bound = 9000` in its line 9. The expected problems omit
/// the name of the overlay file.
const OVERLAY_PROBLEMS: &str = r#"
[kinds.rota] => :1: kinds.rota: kinds.rota is not defined in base.toml
[teams.x] => :1: teams.x: teams.x is not defined in base.toml
[objectives.x] => :1: objectives.x: objectives.x is not defined in base.toml
[objectives.swap.teams.choirs] => :1: objectives.swap.teams.choirs: objectives.swap.teams.choirs is not defined
[limits];retention = "2 h" => :2: limits.retention: the key must be equal at every site
time_outs.request_age = "2 s" => :1: time_outs.request_age: the key must be equal at every site
[kinds.swap];weight = 0 => :2: kinds.swap.weight: 0 is outside
[x];[kinds.y] => :1: x: unknown key & :2: kinds.y: kinds.y is not defined
[time_outs];silent_after = "500 ms" => :2: time_outs.silent_after: 500 ms must be greater than time_outs.ping_after (500 ms, default)
[time_outs];owner_after = "400 ms" => :2: time_outs.owner_after: 400 ms must be greater than time_outs.ping_after (500 ms, default)
[time_outs];expire_after = "1 s" => :2: time_outs.expire_after: 1 s must be greater than time_outs.announce_every (1 s, default)
[time_outs];probe_limit = "900 ms" => :2: time_outs.probe_limit: 900 ms must be at least time_outs.probe_after (1 s, default)
[time_outs];stop_limit = "1 s" => :2: time_outs.stop_limit: 1 s must be at least kinds.swap.deadline (2 s, base.toml:2)
[limits];job_tasks = 9001 => :2: limits.job_tasks: 9001 must be at most limits.queue_bound (9000, base.toml:9)
[objectives.swap];latency = "3 s" => :2: objectives.swap.latency: 3 s must be at most kinds.swap.deadline (2 s, base.toml:2)
[objectives.swap];latency = "50 ms" => :2: objectives.swap.latency: 50 ms must be at least kinds.swap.run_time (100 ms, base.toml:3)
[kinds.swap];run_time = "1001 ms" => :2: kinds.swap.run_time: 1001 ms must be at most objectives.swap.latency (1 s, base.toml:6)
[kinds.swap];deadline = "999 ms" => :2: kinds.swap.deadline: 999 ms must be at least objectives.swap.latency (1 s, base.toml:6)
[kinds.swap];queue_bound = 9001 => :2: kinds.swap.queue_bound: 9001 must be at most limits.queue_bound (9000, base.toml:9)
"#;

fn bundle(base: &str, overlay: &str) -> Bundle {
    let base = ("base.toml".to_owned(), base.as_bytes().to_vec());
    let site = ("sites/kaleva.toml".to_owned(), overlay.as_bytes().to_vec());
    Bundle::new(vec![base, site]).expect("the names are valid")
}

fn messages(result: Result<(), Problems>) -> Vec<String> {
    let problems = result.err().map(|problems| problems.list().to_vec());
    problems
        .unwrap_or_default()
        .iter()
        .map(|problem| problem.to_string())
        .collect()
}

/// Checks for each row of a table that exactly the listed problems are found, in this order.
fn check_table(table: &str, file: &str, bundle: impl Fn(&str) -> Bundle) {
    for row in table.lines().filter(|row| !row.is_empty()) {
        let (text, expected) = row.split_once(" =>").expect("a row has an arrow");
        let expected: Vec<_> = expected
            .split('&')
            .map(str::trim)
            .filter(|e| !e.is_empty())
            .collect();
        let found = messages(bundle(&text.replace(';', "\n")).check());
        let starts =
            |(found, start): (&String, &&str)| found.starts_with(&format!("{file}{start}"));
        let equal = found.len() == expected.len() && found.iter().zip(&expected).all(starts);
        assert!(equal, "{text}\nfound: {found:#?}\nexpected: {expected:#?}");
    }
}

/// Guards against a problem in the base that is missed, reported at another key or line, or reported together with
/// consequential problems.
#[test]
fn base_problems() {
    check_table(BASE_PROBLEMS, "", |text| {
        bundle(&format!("{BASE}{text}\n"), "")
    });
    let names = [
        "base.toml: kinds: no kinds is defined",
        "base.toml: teams: no teams is defined",
    ];
    assert_eq!(messages(bundle("", "").check()), names);
}

/// Guards against accepting an overlay that sets keys without effect or keys that must be equal at every site, and
/// against reporting a contradiction in the base although the overlay causes it.
#[test]
fn overlay_problems() {
    let base = format!("{BASE}[limits]\nqueue_bound = 9000\n");
    check_table(OVERLAY_PROBLEMS, "sites/kaleva.toml", |text| {
        bundle(&base, text)
    });
}

/// Guards against an objective of a team that also creates an objective for the whole kind.
#[test]
fn objective_of_a_team_sets_none_for_the_kind() {
    let base = format!("{BASE}[kinds.rota]\n[objectives.rota.teams.choirs]\nlatency = \"1 s\"\n");
    let config = bundle(&base, "").effective("kaleva").unwrap();
    assert!(config.objective("rota", "choirs").is_some());
    assert!(config.objective("rota", "other").is_none());
    let table = "
[objectives.rota];latency = \"2 s\" => :1: objectives.rota: objectives.rota is not defined
[objectives.rota.teams.choirs];latency = \"2 s\" =>";
    check_table(table, "sites/kaleva.toml", |text| bundle(&base, text));
}

/// Guards against accepting bundles with files that are missing, duplicate, misnamed, too large or not UTF-8.
#[test]
fn file_problems() {
    let base = || ("base.toml".to_owned(), BASE.as_bytes().to_vec());
    let file = |name: &str, bytes: &[u8]| (name.to_owned(), bytes.to_vec());
    let new = |files| messages(Bundle::new(files).map(drop));
    assert_eq!(new(vec![]), ["base.toml: the bundle has no such file"]);
    let twice = "base.toml: the file appears twice in the bundle";
    assert_eq!(new(vec![base(), base()]), [twice]);
    for name in [
        "sites/X.toml",
        "sites/a.tml",
        "other.toml",
        "sites/a/b.toml",
        "sites/../a.toml",
    ] {
        let found = new(vec![base(), file(name, b"")]);
        assert!(found[0].starts_with(&format!("{name}: only base.toml and sites/NAME.toml")));
    }
    let large = new(vec![base(), file("sites/a.toml", &[b'#'; (256 << 10) + 1])]);
    assert!(
        large[0].starts_with("sites/a.toml: the file has 262145 bytes, more than"),
        "{large:?}"
    );
    let latin = Bundle::new(vec![base(), file("sites/a.toml", b"#\n# P\xe4ij\xe4nne\n")]).unwrap();
    assert_eq!(
        messages(latin.check()),
        ["sites/a.toml:2: the text is not UTF-8"]
    );
    let missing = bundle(BASE, "").effective("oulu").map(drop);
    assert_eq!(
        messages(missing),
        ["sites/oulu.toml: the bundle has no such file"]
    );
}
