use super::{Args, ArgsError, parse_args};

#[test]
fn the_check_flag_asks_for_a_check_of_the_file() {
    let args = parse_args(["hyssop-entry", "--check-config", "entry.jsonc"]).expect("arguments");
    assert_eq!(args, Args::Check("entry.jsonc".into()));
}

#[test]
fn rejects_a_missing_file_an_unknown_flag_and_a_second_file() {
    assert!(matches!(parse_args(["hyssop-entry"]), Err(ArgsError::Missing { .. })));
    assert!(matches!(parse_args(["hyssop-entry", "--fast"]), Err(ArgsError::Unknown(_))));
    assert!(matches!(parse_args(["hyssop-entry", "a", "b"]), Err(ArgsError::Unknown(_))));
}
