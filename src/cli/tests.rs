use rstest::rstest;
use serde_json::json;
use units::Span;

use super::{Assignment, Cli, CliError, Command, parse_args};

fn read(line: &str) -> Result<Cli, CliError> {
    parse_args(std::iter::once("hyssopctl").chain(line.split_whitespace()))
}

#[test]
fn can_read_where_the_log_and_the_processes_are() {
    let line =
        "--log 127.0.0.1:1 --seed 127.0.0.1:2 --seed 127.0.0.1:3 --wait 5s --author asma status";
    let cli = read(line).expect("a command line");
    assert_eq!(cli.link.log, "127.0.0.1:1".parse().ok());
    assert_eq!(cli.link.seeds.len(), 2);
    assert_eq!((cli.link.wait, cli.link.author.as_str()), (Span::secs(5), "asma"));
    assert_eq!(cli.command, Command::Status);
}

#[test]
fn can_read_a_settings_file_which_flags_override() {
    let dir = tempfile::tempdir().expect("a folder");
    let file = dir.path().join("hyssopctl.jsonc");
    let text = r#"{ "log": "127.0.0.1:1", "seeds": ["127.0.0.1:2"], "author": "asma" } // Ours."#;
    std::fs::write(&file, text).expect("a file");
    let line = format!("--settings {} --author bilal status", file.display());
    let link = read(&line).expect("a command line").link;
    assert_eq!((link.log, link.author.as_str()), ("127.0.0.1:1".parse().ok(), "bilal"));
    std::fs::write(&file, r#"{ "lok": "127.0.0.1:1" }"#).expect("a file");
    let message = read(&line).expect_err("a wrong key").to_string();
    assert!(message.contains("at `lok`: unknown field"), "{message}");
}

#[test]
fn can_read_values_of_settings_as_json_or_text() {
    let cli = read("set /hall deadline=9s queue=7 version= fenced=true").expect("a command line");
    let Command::Set { path, values } = cli.command else { panic!("no `set`") };
    assert_eq!(path.as_str(), "/hall");
    let value = |name: &str, value| Assignment { setting: name.parse().expect("a name"), value };
    let expected = [
        value("deadline", Some(json!("9s"))),
        value("queue", Some(json!(7))),
        value("version", None),
        value("fenced", Some(json!(true))),
    ];
    assert_eq!(values, expected);
}

#[rstest]
#[case("", "no command")]
#[case("publsh tree.jsonc", "unknown command `publsh`; did you mean `publish`?")]
#[case("publish", "FILE is missing")]
#[case("check a b", "unexpected argument")]
#[case("set /hall deadline", "`deadline` is no KEY=VALUE")]
#[case("suspects", "ROUTER is missing")]
#[case("limits", "ROUTER is missing")]
#[case("speeds", "ROUTER is missing")]
#[case("versions", "ROUTER is missing")]
#[case("versions 127.0.0.1:1 here", "here")]
#[case("waiting", "ROUTER is missing")]
#[case("release 127.0.0.1:1 12xy", "`12xy` is no digest of a request")]
#[case("set hall! deadline=9s", "node path")]
#[case("--log here status", "here")]
#[case("--fast status", "--fast")]
fn errors_on_a_command_line(#[case] line: &str, #[case] expected: &str) {
    let message = read(line).expect_err("a wrong command line").to_string();
    assert!(message.contains(expected), "{message}");
}
