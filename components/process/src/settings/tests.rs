use std::path::Path;

use super::{Identity, SettingsError, parse_settings};

fn read(text: &str) -> Result<Identity, SettingsError> {
    parse_settings(Path::new("entry.jsonc"), text)
}

#[test]
fn can_read_comments() {
    let text = r#"{
        // The instance.
        "instance": "entry-1", "domain": "saddar", "admin": "127.0.0.1:9000",
    }"#;
    assert_eq!(read(text).expect("settings").instance.as_str(), "entry-1");
}

#[test]
fn errors_on_an_unknown_key_with_file_and_key() {
    let text = r#"{"instance": "e", "domain": "d", "admin": "127.0.0.1:1", "colour": "red"}"#;
    let message = read(text).expect_err("an unknown key").to_string();
    assert!(message.starts_with("entry.jsonc: at `colour`: unknown field"), "{message}");
    assert!(message.contains("expected one of"), "{message}");
}

#[test]
fn errors_on_a_missing_address_and_on_bad_syntax() {
    let message = read(r#"{"instance": "e", "domain": "d"}"#).expect_err("no address").to_string();
    assert!(message.contains("missing field `admin`"), "{message}");
    let message = read("{\n \"instance\" \"e\"}").expect_err("bad syntax").to_string();
    assert!(message.contains("line 2"), "{message}");
}
