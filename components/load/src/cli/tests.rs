use std::ffi::OsString;

use rstest::rstest;

use super::{Task, UsageError, parse};
use crate::site::Sample;

fn words(line: &str) -> Vec<OsString> {
    line.split(' ').map(OsString::from).collect()
}

#[test]
fn can_choose_the_deployment() {
    let task = parse(words("hyssop-load try --deployment trust --out logs"));
    let Ok(Task::Try(trial)) = task else { panic!("{task:?}") };
    assert_eq!((trial.sample, trial.out.to_str()), (Sample::Trust, Some("logs")));
}

#[rstest]
#[case::no_command("hyssop-load", "no command; use")]
#[case::another_command("hyssop-load play", "no command `play`")]
#[case::another_deployment("hyssop-load try --deployment zoo", "no sample deployment `zoo`")]
#[case::an_unknown_flag("hyssop-load try --fast", "`--help` lists")]
fn errors_on(#[case] line: &str, #[case] said: &str) {
    let error: UsageError = parse(words(line)).expect_err("a wrong command line");
    assert!(error.to_string().contains(said), "{error}");
}
