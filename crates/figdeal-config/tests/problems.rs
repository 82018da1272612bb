//! Every kind of problem is reported with file, key and line.

use figdeal_config::{Bundle, Problems};

/// A valid base of seven lines.
const BASE: &str = "\
[kinds.swap]
deadline = \"2 s\"
run_time = \"100 ms\"
[teams.choirs]
[objectives.swap]
latency = \"1 s\"
";

fn bundle(base: &str, overlay: &str) -> Bundle {
    let base = ("base.toml".to_owned(), base.as_bytes().to_vec());
    let site = ("sites/kaleva.toml".to_owned(), overlay.as_bytes().to_vec());
    Bundle::new(vec![base, site]).expect("the names are valid")
}

fn places(result: Result<(), Problems>) -> Vec<String> {
    let problems = result
        .err()
        .map(|problems| problems.list().to_vec())
        .unwrap_or_default();
    problems.iter().map(|problem| problem.to_string()).collect()
}

/// Asserts that the problems are exactly those that start with the given texts, in this order.
#[track_caller]
fn assert_places(base: &str, overlay: &str, expected: &[&str]) {
    let found = places(bundle(base, overlay).check());
    let equal = found.len() == expected.len()
        && found
            .iter()
            .zip(expected)
            .all(|(found, start)| found.starts_with(start));
    assert!(
        equal,
        "base:\n{base}\noverlay:\n{overlay}\nfound: {found:#?}\nexpected: {expected:#?}"
    );
}

#[test]
fn valid_base_has_no_problem() {
    assert_places(BASE, "", &[]);
}

/// Guards against a problem in one file that is missed or placed at another key or line.
#[test]
fn base_problems() {
    let table: &[(&str, &[&str])] = &[
        (
            "[limit]\n",
            &["base.toml:7: limit: unknown key; known keys: kinds, teams, limits"],
        ),
        (
            "[limits]\nwindw = 2\n",
            &["base.toml:8: limits.windw: unknown key"],
        ),
        (
            "[teams.x]\nquota = 2\n",
            &["base.toml:8: teams.x.quota: unknown key; known keys: max_tasks"],
        ),
        (
            "[limits]\nwindow = \"2\"\n",
            &["base.toml:8: limits.window: wrong value \"2\"; expected a whole"],
        ),
        (
            "[limits]\nwindow = -1\n",
            &["base.toml:8: limits.window: -1 is outside the range from 0 to 64"],
        ),
        (
            "[limits]\nwindow = 65\n",
            &["base.toml:8: limits.window: 65 is outside"],
        ),
        (
            "[limits]\nwindow = 0x41\n",
            &["base.toml:8: limits.window: 0x41 is outside"],
        ),
        (
            "[limits]\nwindow = 2.0\n",
            &["base.toml:8: limits.window: wrong value 2.0"],
        ),
        (
            "[limits]\nwindow = true\n",
            &["base.toml:8: limits.window: wrong value true"],
        ),
        (
            "[limits]\nwindow = [2]\n",
            &["base.toml:8: limits.window: wrong value (array)"],
        ),
        (
            "[limits]\nbody_size = 4194304\n",
            &["base.toml:8: limits.body_size: wrong value 4194304"],
        ),
        (
            "[limits]\nbody_size = \"4 MB\"\n",
            &["base.toml:8: limits.body_size: wrong value \"4 MB\""],
        ),
        (
            "[limits]\nmax_ejected = 0.3\n",
            &["base.toml:8: limits.max_ejected: wrong value 0.3"],
        ),
        (
            "[limits]\nmax_ejected = \"95 %\"\n",
            &["base.toml:8: limits.max_ejected: \"95 %\" is outside"],
        ),
        (
            "[limits]\nretention = \"1h30\"\n",
            &["base.toml:8: limits.retention: wrong value"],
        ),
        (
            "[time_outs]\nping_after = \"500\"\n",
            &["base.toml:8: time_outs.ping_after: wrong value \"500\""],
        ),
        (
            "[time_outs]\nping_after = \"1 Mb\"\n",
            &["base.toml:8: time_outs.ping_after: wrong value"],
        ),
        (
            "[kinds.a]\nweight = 0\n",
            &["base.toml:8: kinds.a.weight: 0 is outside the range from 1"],
        ),
        (
            "[teams.a]\nweight = 0\n",
            &["base.toml:8: teams.a.weight: 0 is outside the range from 1"],
        ),
        (
            "[kinds.Rota]\n",
            &["base.toml:7: kinds.Rota: a name consists"],
        ),
        ("[kinds.\"\"]\n", &["base.toml:7: kinds.: a name consists"]),
        (
            "[kinds]\nx = 3\n",
            &["base.toml:8: kinds.x: expected a table, found integer"],
        ),
        (
            "[[limits]]\n",
            &["base.toml:7: limits: expected a table, found array"],
        ),
        (
            "[objectives.x]\n",
            &["base.toml:7: objectives.x: kinds.x is not defined in base.toml"],
        ),
        (
            "[objectives.swap.teams.x]\n",
            &["base.toml:7: objectives.swap.teams.x: teams.x is not"],
        ),
        (
            "[objectives.swap.teams]\nchoirs = 1\n",
            &["base.toml:8: objectives.swap.teams.choirs: expected a table"],
        ),
        (
            "[kinds.swap]\nweight = 2\n",
            &["base.toml:7: duplicate key"],
        ),
        ("[teams.choirs]\n", &["base.toml:7: duplicate key"]),
        (
            "[limits]\nwindow = 1\nreserve = 0\nwindow = 1\n",
            &["base.toml:10: duplicate key"],
        ),
        ("[limits]\nwindow 1\n", &["base.toml:8: "]),
    ];
    for (text, expected) in table {
        assert_places(&format!("{BASE}{text}"), "", expected);
    }
}

/// Guards against contradictory values that are accepted or reported at the value that was set earlier.
#[test]
fn contradictions_in_an_overlay() {
    let base = format!("{BASE}[limits]\nqueue_bound = 9000\n");
    let table = [
        (
            "time_outs",
            "silent_after",
            "\"500 ms\"",
            "greater than time_outs.ping_after (500 ms, default)",
        ),
        (
            "time_outs",
            "owner_after",
            "\"400 ms\"",
            "greater than time_outs.ping_after (500 ms, default)",
        ),
        (
            "time_outs",
            "expire_after",
            "\"1 s\"",
            "greater than time_outs.announce_every (1 s, default)",
        ),
        (
            "time_outs",
            "probe_limit",
            "\"900 ms\"",
            "at least time_outs.probe_after (1 s, default)",
        ),
        (
            "time_outs",
            "stop_limit",
            "\"1 s\"",
            "at least kinds.swap.deadline (2 s, base.toml:2)",
        ),
        (
            "limits",
            "job_tasks",
            "9001",
            "at most limits.queue_bound (9000, base.toml:8)",
        ),
        (
            "objectives.swap",
            "latency",
            "\"3 s\"",
            "at most kinds.swap.deadline (2 s, base.toml:2)",
        ),
        (
            "objectives.swap",
            "latency",
            "\"50 ms\"",
            "at least kinds.swap.run_time (100 ms, base.toml:3)",
        ),
        (
            "kinds.swap",
            "run_time",
            "\"1001 ms\"",
            "at most objectives.swap.latency (1 s, base.toml:6)",
        ),
        (
            "kinds.swap",
            "deadline",
            "\"999 ms\"",
            "at least objectives.swap.latency (1 s, base.toml:6)",
        ),
        (
            "kinds.swap",
            "queue_bound",
            "9001",
            "at most limits.queue_bound (9000, base.toml:8)",
        ),
    ];
    for (scope, key, value, rule) in table {
        let overlay = format!("\n[{scope}]\n{key} = {value}\n");
        let value = value.trim_matches('"');
        let expected = format!("sites/kaleva.toml:3: {scope}.{key}: {value} must be {rule}");
        assert_places(&base, &overlay, &[&expected]);
    }
}

/// Guards against contradictions between values that only the base may set, and against a report without a
/// line where the contradictory value is a default.
#[test]
fn contradictions_in_the_base() {
    let table: [(&str, &[&str]); 5] = [
        (
            "[time_outs]\nmark_keep = \"1 min\"\n",
            &["base.toml:8: time_outs.mark_keep: 1 min must be greater than time_outs.request_age"],
        ),
        (
            "[time_outs]\nsilent_after = \"1 s\"\nping_after = \"1 s\"\n",
            &[
                "base.toml:9: time_outs.ping_after: 1 s must be less than time_outs.owner_after",
                "base.toml:9: time_outs.ping_after: 1 s must be less than time_outs.silent_after (1 s, base.toml:8)",
            ],
        ),
        (
            "[kinds.a]\ndeadline = \"200 ms\"\n",
            &[
                "base.toml:8: kinds.a.deadline: 200 ms must be at least kinds.a.run_time (300 ms, default)",
            ],
        ),
        (
            "[kinds.a]\ndeadline = \"2 s\"\n[objectives.a]\n",
            &[
                "base.toml:8: kinds.a.deadline: 2 s must be at least objectives.a.latency (5 s, default)",
            ],
        ),
        (
            "[kinds.a]\ndeadline = \"1 min\"\n[time_outs]\nstop_limit = \"2 min\"\n[limits]\nretention = \"1 min\"\n",
            &[
                "base.toml:8: kinds.a.deadline: 1 min must be less than limits.retention (1 min, base.toml:12)",
            ],
        ),
    ];
    for (text, expected) in table {
        assert_places(&format!("{BASE}{text}"), "", expected);
    }
}

/// Guards against an overlay that sets what has no effect or what must be equal at every site.
#[test]
fn overlay_problems() {
    let table: [(&str, &[&str]); 7] = [
        (
            "[kinds.rota]\n",
            &["sites/kaleva.toml:1: kinds.rota: kinds.rota is not defined in base.toml"],
        ),
        (
            "[teams.x]\n",
            &["sites/kaleva.toml:1: teams.x: teams.x is not defined in base.toml"],
        ),
        (
            "[objectives.x]\n",
            &["sites/kaleva.toml:1: objectives.x: objectives.x is not defined"],
        ),
        (
            "[objectives.swap.teams.choirs]\n",
            &[
                "sites/kaleva.toml:1: objectives.swap.teams.choirs: objectives.swap.teams.choirs is not",
            ],
        ),
        (
            "[limits]\nretention = \"2 h\"\n",
            &["sites/kaleva.toml:2: limits.retention: the key must be equal at every site"],
        ),
        (
            "time_outs.request_age = \"2 s\"\n",
            &["sites/kaleva.toml:1: time_outs.request_age: the key must"],
        ),
        (
            "[kinds.swap]\nweight = 0\n",
            &["sites/kaleva.toml:2: kinds.swap.weight: 0 is outside"],
        ),
    ];
    for (overlay, expected) in table {
        assert_places(BASE, overlay, expected);
    }
}

/// Guards against reporting only the first problem, and against follow-up reports about a value that could not
/// be read.
#[test]
fn all_problems_are_reported() {
    let base = "[kinds.swap]\ndeadline = \"2\"\nrun_time = \"30 s\"\nfoo = 1\n[teams.choirs]\nweight = 0\n";
    let expected = [
        "base.toml:2: kinds.swap.deadline: wrong value",
        "base.toml:4: kinds.swap.foo: unknown key",
        "base.toml:6: teams.choirs.weight: 0 is outside",
        "sites/kaleva.toml:1: x: unknown key",
        "sites/kaleva.toml:2: kinds.y: kinds.y is not defined",
    ];
    assert_places(base, "[x]\n[kinds.y]\n", &expected);
    assert_places(
        "",
        "",
        &[
            "base.toml: kinds: no kinds is",
            "base.toml: teams: no teams is",
        ],
    );
}

/// Guards against bundles whose files are missing, doubled, misnamed, too large or not text.
#[test]
fn file_problems() {
    let base = || ("base.toml".to_owned(), BASE.as_bytes().to_vec());
    let file = |name: &str, bytes: &[u8]| (name.to_owned(), bytes.to_vec());
    let new = |files| places(Bundle::new(files).map(drop));
    assert_eq!(new(vec![]), ["base.toml: the bundle has no such file"]);
    assert_eq!(
        new(vec![base(), base()]),
        ["base.toml: the file appears twice in the bundle"]
    );
    for name in [
        "sites/X.toml",
        "sites/a.tml",
        "other.toml",
        "sites/a/b.toml",
        "sites/../a.toml",
    ] {
        let expected =
            format!("{name}: only base.toml and sites/NAME.toml belong to a configuration");
        assert_eq!(new(vec![base(), file(name, b"")]), [expected]);
    }
    let large = vec![base(), file("sites/a.toml", &[b'#'; (256 << 10) + 1])];
    assert_eq!(
        new(large),
        ["sites/a.toml: the file has 262145 bytes, more than the allowed 262144"]
    );
    let latin = Bundle::new(vec![base(), file("sites/a.toml", b"#\n# P\xe4ij\xe4nne\n")]).unwrap();
    assert_eq!(
        places(latin.check()),
        ["sites/a.toml:2: the text is not UTF-8"]
    );
    let missing = bundle(BASE, "").effective("oulu").map(drop);
    assert_eq!(
        places(missing),
        ["sites/oulu.toml: the bundle has no such file"]
    );
}
