//! Tests of the agent settings: defaults, and problems with file and line number.

use figdeal_agent::settings::Settings;

const VALID: &str = "\
name = \"rota-desk-1\"
data_centre = \"kaleva\"
[[entries]]
id = 0
address = \"127.0.0.1:7401\"
";

/// Guards against defaults that differ from the values in the example file.
#[test]
fn defaults_are_those_of_the_example() {
    let example = Settings::parse("a.toml", Settings::example()).unwrap();
    let valid = Settings::parse("a.toml", VALID).unwrap();
    assert_eq!(valid.http_listen, example.http_listen);
    assert_eq!(valid.peer_listen, example.peer_listen);
    assert_eq!(valid.address(), example.address());
    assert_eq!(valid.log_level, example.log_level);
}

/// Rows of: text in `VALID`, its replacement with `;` for a line break, and the start of the only expected problem.
const PROBLEMS: &str = r#"
name = => nam = => a.toml:1: unknown field `nam`, expected one of `name`
rota-desk-1 => rota desk => a.toml:1: name: a name consists of
kaleva =>  => a.toml:2: data_centre: a name consists of
[[e => peer_listen = "0.0.0.0:1";[[e => a.toml: address: entries cannot reach 0.0.0.0:1
[[e => address = "[::]:1";[[e => a.toml:3: address: entries cannot reach [::]:1
[[e => http_listen = "127.0.0.1:7501";[[e => a.toml: peer_listen: http_listen has the same address
[[e => [[x => a.toml:3: unknown field `xntries`
"#;

/// Guards against an error in the settings that is ignored, or reported without its file and line.
#[test]
fn problems_name_file_and_line() {
    for row in PROBLEMS.lines().filter(|row| !row.is_empty()) {
        let mut parts = row.split(" => ");
        let [from, to, expected] = [(); 3].map(|()| parts.next().expect("a row has three parts"));
        let text = VALID.replacen(from, &to.replace(';', "\n"), 1);
        let problems = Settings::parse("a.toml", &text).expect_err(row);
        let found = problems.to_string();
        assert!(
            problems.list().len() == 1 && found.starts_with(expected),
            "{row}\n{found}"
        );
    }
    let none = "name = \"a\"\ndata_centre = \"b\"\nentries = []\n";
    let problems = Settings::parse("a.toml", none).unwrap_err().to_string();
    assert_eq!(problems, "a.toml:3: entries: 1 to 64 entries are needed");
}
