//! Tests of the outlook.

use super::*;

#[test]
fn waits_for_what_is_ready_in_time() {
    assert_eq!(admit(Duration::from_secs(3), Duration::from_secs(1)), Admission::Wait);
}

#[test]
fn refuses_at_once_what_comes_too_late_and_says_when() {
    let expect = Duration::from_secs(6);
    assert_eq!(admit(Duration::from_secs(3), expect), Admission::Refuse(expect));
}

#[test]
fn never_asks_a_caller_back_at_once() {
    assert_eq!(admit(Duration::ZERO, Duration::ZERO), Admission::Refuse(SOONEST));
}
