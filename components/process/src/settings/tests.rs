use std::path::Path;

use super::{Identity, SettingsError, parse_settings};

fn parse(text: &str) -> Result<Identity, SettingsError> {
    parse_settings(Path::new("entry.jsonc"), text)
}

#[test]
fn accepts_comments_and_a_trailing_comma() {
    let text = r#"{
        // The instance.
        "instance": "entry-1", "domain": "saddar", "admin": "127.0.0.1:9000",
    }"#;
    assert_eq!(parse(text).expect("settings").instance.as_str(), "entry-1");
}

#[test]
fn rejects_an_unknown_key_naming_the_file_and_the_key() {
    let text = r#"{"instance": "e", "domain": "d", "admin": "127.0.0.1:1", "colour": "red"}"#;
    let message = parse(text).expect_err("an unknown key").to_string();
    assert!(message.starts_with("entry.jsonc: at `colour`: unknown field"), "{message}");
    assert!(message.contains("expected one of"), "{message}");
}

#[test]
fn rejects_a_missing_address_and_invalid_syntax() {
    let message = parse(r#"{"instance": "e", "domain": "d"}"#).expect_err("no address").to_string();
    assert!(message.contains("missing field `admin`"), "{message}");
    let message = parse("{\n \"instance\" \"e\"}").expect_err("bad syntax").to_string();
    assert!(message.contains("line 2"), "{message}");
}
