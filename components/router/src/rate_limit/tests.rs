//! Tests of what a router knows of a rate limit.

use super::*;

const LIMITED: RateLimitHint = RateLimitHint::Limited(Rate(2.0));

#[test]
fn the_newest_answer_counts() {
    let now = Instant::now();
    let mut limit = NamedRateLimit::default();
    limit.apply(LIMITED, now, now);
    limit.apply(RateLimitHint::Limited(Rate(5.0)), now, now);
    assert_eq!(limit.in_force(None, now), Some(Rate(5.0)));
}

#[test]
fn a_limit_holds_until_an_answer_to_a_later_request_names_none() {
    let (start, second) = (Instant::now(), Duration::from_secs(1));
    let mut limit = NamedRateLimit::default();
    limit.apply(LIMITED, start, start + second);
    limit.apply(RateLimitHint::Unlimited, start, start + second * 2);
    assert_eq!(limit.in_force(None, start + second * 90), Some(Rate(2.0)), "sent before");
    limit.apply(RateLimitHint::Unlimited, start + second * 3, start + second * 4);
    assert_eq!(limit.in_force(None, start + second * 4), None);
}

#[test]
fn a_limit_that_can_not_be_understood_changes_nothing() {
    let now = Instant::now();
    let mut limit = NamedRateLimit::default();
    limit.apply(LIMITED, now, now);
    limit.apply(RateLimitHint::Invalid, now + LOADER_LAG, now + LOADER_LAG);
    assert_eq!(limit.in_force(None, now + LOADER_LAG), Some(Rate(2.0)));
}

#[test]
fn the_loader_knows_better_once_it_must_have_read_a_report() {
    let now = Instant::now();
    let mut limit = NamedRateLimit::default();
    assert_eq!(limit.in_force(Some(Some(Rate(3.0))), now), Some(Rate(3.0)));
    limit.apply(LIMITED, now, now);
    assert_eq!(limit.in_force(Some(None), now), Some(Rate(2.0)), "the report may be older");
    assert_eq!(limit.in_force(Some(None), now + LOADER_LAG), None);
    assert_eq!(limit.in_force(None, now + LOADER_LAG), Some(Rate(2.0)));
}
