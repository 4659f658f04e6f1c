//! Tests of the decision whether a request waits for its model.

use super::*;

#[test]
fn a_request_waits_for_a_model_that_is_ready_in_time() {
    assert_eq!(admit(Duration::from_secs(3), Duration::from_secs(1)), Admission::Wait);
}

#[test]
fn a_request_whose_model_is_late_is_refused_at_once_with_the_time_to_retry() {
    let ready_in = Duration::from_secs(6);
    assert_eq!(admit(Duration::from_secs(3), ready_in), Admission::Refuse(ready_in));
}

#[test]
fn a_caller_is_never_asked_to_retry_at_once() {
    assert_eq!(admit(Duration::ZERO, Duration::ZERO), Admission::Refuse(MIN_RETRY_AFTER));
}
