//! Tests of promises.

use super::*;

const SHARE: BucketSpec = BucketSpec { refill_rate: 1_000.0, capacity: 10_000.0 };

fn promise(promises: &mut Promises, fingerprint: u64, now: Moment) -> Duration {
    let after = promises.next_slot(SHARE, 750.0, now).expect("a slot");
    assert!(promises.add(fingerprint, 750.0, after, now));
    after
}

// Callers that are told the same time return together, and nearly all are refused again.
#[test]
fn callers_refused_at_one_moment_get_slots_one_after_the_other() {
    let (mut promises, now) = (Promises::default(), Moment::now());
    let times: Vec<Duration> = (0..4).map(|caller| promise(&mut promises, caller, now)).collect();
    // 750 tokens at three quarters of the refill.
    assert_eq!(times, (1..=4).map(Duration::from_secs).collect::<Vec<_>>());
}

// Without the last quarter, requests within the limit would be starved by those that return.
#[test]
fn refill_is_set_aside_at_three_quarters_of_its_rate() {
    let (mut promises, now) = (Promises::default(), Moment::now());
    (0..4).for_each(|caller| _ = promise(&mut promises, caller, now));
    for (millis, reserved) in [(0, 0.0), (500, 375.0), (1_000, 750.0), (2_500, 1_875.0)] {
        let at = now + Duration::from_millis(millis);
        assert!((promises.reserved(at) - reserved).abs() < 1.0, "{millis}");
    }
    assert!((promises.promised() - 3_000.0).abs() < 1e-9);
}

#[test]
fn a_promise_is_due_at_its_time_and_ends_two_seconds_later() {
    let (mut promises, now) = (Promises::default(), Moment::now());
    promise(&mut promises, 7, now);
    let at = |millis| now + Duration::from_millis(millis);
    let left = Duration::from_millis(600);
    assert_eq!(promises.state(7, at(400)), PromiseState::Early(left));
    assert_eq!(promises.state(7, at(1_000)), PromiseState::Due);
    promises.expire(at(2_900));
    assert_eq!(promises.state(7, at(2_900)), PromiseState::Due);
    promises.expire(at(3_000));
    assert_eq!(promises.state(7, at(3_000)), PromiseState::None);
    assert!(promises.is_empty());
}

// `Retry-After` has two decimals: a caller may be told up to 5 ms less.
#[test]
fn a_caller_that_was_told_a_rounded_time_is_not_early() {
    let (mut promises, now) = (Promises::default(), Moment::now());
    promise(&mut promises, 7, now);
    assert_eq!(promises.state(7, now + Duration::from_millis(995)), PromiseState::Due);
}

#[test]
fn the_number_of_promises_is_bounded() {
    let (mut promises, now) = (Promises::default(), Moment::now());
    for caller in 0..4_096 {
        assert!(promises.add(caller, 1.0, Duration::from_secs(1), now));
    }
    assert!(!promises.add(5_000, 1.0, Duration::from_secs(1), now));
}
