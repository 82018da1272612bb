//! Settings of the entry process: defaults, example, and problems with file and line.

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

/// Guards against a key that the example leaves out, and against defaults that differ from the example.
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

/// Guards against a mistake in the settings that is ignored or reported without its place.
#[test]
fn problems_name_file_and_line() {
    let table = [
        (
            "control_vms",
            "control_vm",
            "e.toml:3: unknown field `control_vm`, expected one of `id`",
        ),
        ("address =", "addres =", "e.toml:6: unknown field `addres`"),
        (
            "127.0.0.1:7401",
            "localhost:7401",
            "e.toml:6: invalid socket address syntax",
        ),
        (
            "id = 3",
            "id = \"3\"",
            "e.toml:1: invalid type: string \"3\", expected u16",
        ),
        ("id = 3\n", "", "e.toml:1: missing field `id`"),
        (
            "id = 3\nd",
            "id = 4\nd",
            "e.toml:1: id: no entry of the list has the id 4",
        ),
        (
            "kaleva",
            "Kaleva",
            "e.toml:2: data_centre: a name consists of",
        ),
        (
            "127.0.0.1:7401",
            "0.0.0.0:7401",
            "e.toml:4: entries: nothing can reach 0.0.0.0:7401",
        ),
        (
            "id = 3\nd",
            "log_level = \"loud\"\nid = 3\nd",
            "e.toml:1: \"loud\": attempted to convert",
        ),
        (
            "\"127.0.0.1:1\"",
            "",
            "e.toml:3: control_vms: needed where the control role is off",
        ),
        (
            "id = 3\nd",
            "id = 3\nhttp_listen = \"127.0.0.1:7401\"\nd",
            "e.toml: peer_listen: http_listen has",
        ),
    ];
    for (from, to, expected) in table {
        assert!(VALID.contains(from));
        let found = problems(&VALID.replacen(from, to, 1));
        assert!(
            found.len() == 1 && found[0].starts_with(expected),
            "{expected}\n{found:#?}"
        );
    }
    let double = format!("{VALID}[[entries]]\nid = 3\naddress = \"127.0.0.1:7401\"\n");
    assert_eq!(
        problems(&double),
        [
            "e.toml:4: entries: the address 127.0.0.1:7401 occurs twice",
            "e.toml:4: entries: the id 3 occurs twice",
        ]
    );
    let control = format!("{VALID}[control]\non = true\nlisten = \"127.0.0.1:7401\"\n");
    assert_eq!(
        problems(&control),
        [
            "e.toml: data_folder: needed where the control role is on",
            "e.toml:7: control.members: needed where the control role is on",
            "e.toml:9: control.listen: another listener has the same address",
        ]
    );
}

/// Guards against sample settings that the processes refuse.
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
