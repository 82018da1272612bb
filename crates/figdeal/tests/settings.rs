//! Tests of the settings of the entry process: defaults, example, and errors with file and line.

use figdeal::settings::Settings;

const VALID: &str = "\
id = 3
data_centre = \"kaleva\"
control_vms = [\"127.0.0.1:1\"]
[[entries]]
id = 3
address = \"127.0.0.1:7401\"
";

fn problems(text: &str) -> Vec<String> {
    let problems = Settings::parse("e.toml", text).expect_err(text);
    problems
        .list()
        .iter()
        .map(|problem| problem.to_string())
        .collect()
}

/// The example must contain every key, and its values must match the defaults.
#[test]
fn example_sets_every_key() {
    let example = Settings::parse("e.toml", Settings::example()).unwrap();
    let (debug, text) = (format!("{example:#?}"), Settings::example());
    for line in debug
        .lines()
        .filter_map(|line| line.trim().split_once(": "))
    {
        assert!(
            text.contains(&format!("{} = ", line.0)) || text.contains(&format!("[{}]", line.0)),
            "{line:?}"
        );
    }
    let valid = Settings::parse("e.toml", VALID).unwrap();
    assert_eq!(valid.http_listen, example.http_listen);
    assert_eq!(valid.peer_listen, example.peer_listen);
    assert_eq!(valid.log_level, example.log_level);
    assert_eq!(
        (valid.control.on, valid.control.listen),
        (false, example.control.listen)
    );
}

/// Each row: text of `VALID` => its replacement, with `;` for a line end => start of each expected problem, separated
/// by `&`.
const PROBLEMS: &str = r#"
control_vms => control_vm => e.toml:3: unknown field `control_vm`, expected one of `id`
address = => addres = => e.toml:6: unknown field `addres`
127.0.0.1:7401 => localhost:7401 => e.toml:6: invalid socket address syntax
id = 3 => id = "3" => e.toml:1: invalid type: string "3", expected u16
id = 3 =>  => e.toml:1: missing field `id`
id = 3 => id = 4 => e.toml:1: id: no entry of the list has the id 4
id = 3 => id = 3;log_level = "loud" => e.toml:2: "loud": attempted to convert
id = 3 => id = 3;http_listen = "127.0.0.1:7401" => e.toml: peer_listen: http_listen has the same address
kaleva => Kaleva => e.toml:2: data_centre: a name consists of
127.0.0.1:7401 => 0.0.0.0:7401 => e.toml:4: entries: nothing can reach 0.0.0.0:7401
"127.0.0.1:1" =>  => e.toml:3: control_vms: needed where the control role is off
[[entries]] => [[entries]];id = 3;address = "127.0.0.1:7401";[[entries]] => e.toml:4: entries: the address 127.0.0.1:7401 occurs twice & e.toml:4: entries: the id 3 occurs twice
[[entries]] => control.on = true;control.listen = "127.0.0.1:7401";[[entries]] => e.toml: data_folder: needed where the control role is on & e.toml:4: control.members: needed where the control role is on & e.toml:5: control.listen: another listener has the same address
"#;

/// Every mistake in the settings must be reported with its file and line.
#[test]
fn problems_name_file_and_line() {
    for row in PROBLEMS.lines().filter(|row| !row.is_empty()) {
        let mut parts = row.split(" => ");
        let [from, to, expected] = [(); 3].map(|()| parts.next().expect("a row has three parts"));
        assert!(VALID.contains(from), "{row}");
        let found = problems(&VALID.replacen(from, &to.replace(';', "\n"), 1));
        let expected: Vec<_> = expected.split(" & ").collect();
        let starts = |(found, start): (&String, &&str)| found.starts_with(start);
        let equal = found.len() == expected.len() && found.iter().zip(&expected).all(starts);
        assert!(equal, "{row}\nfound: {found:#?}");
    }
}

/// The sample settings must be valid and match the sample configuration.
#[test]
fn samples_pass() {
    for name in ["kuorotee", "botella-viajera"] {
        let folder = format!("{}/../../examples/{name}", env!("CARGO_MANIFEST_DIR"));
        let entry = Settings::read(format!("{folder}/settings/entry.toml")).unwrap();
        let agent =
            figdeal_agent::settings::Settings::read(format!("{folder}/settings/agent.toml"))
                .unwrap();
        assert_eq!(entry.entries, agent.entries);
        let bundle = figdeal_config::Bundle::read(&folder).unwrap();
        assert!(
            bundle
                .sites()
                .any(|site| site == entry.data_centre && site == agent.data_centre)
        );
    }
}
