use super::{Args, ArgsError, parse_args};

#[test]
fn can_check_a_settings_file() {
    let args = parse_args(["hyssop-entry", "--check-config", "entry.jsonc"]).expect("arguments");
    assert_eq!(args, Args::Check("entry.jsonc".into()));
}

#[test]
fn errors_on_a_missing_file_and_an_unknown_flag() {
    assert!(matches!(parse_args(["hyssop-entry"]), Err(ArgsError::Missing { .. })));
    assert!(matches!(parse_args(["hyssop-entry", "--fast"]), Err(ArgsError::Unknown(_))));
    assert!(matches!(parse_args(["hyssop-entry", "a", "b"]), Err(ArgsError::Unknown(_))));
}
