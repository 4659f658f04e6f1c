//! Tests of what a router knows of a rate limit.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

use super::*;

const LIMITED: RateLimitHint = RateLimitHint::Limited(Rate(2.0));

#[test]
fn the_newest_answer_counts() {
    let now = Instant::now();
    let mut limit = RateLimitState::default();
    limit.apply(LIMITED, now, now);
    limit.apply(RateLimitHint::Limited(Rate(5.0)), now, now);
    assert_eq!(limit.in_force(None, now), Some(Rate(5.0)));
}

#[test]
fn a_limit_holds_until_an_answer_to_a_later_request_names_none() {
    let (start, second) = (Instant::now(), Duration::from_secs(1));
    let mut limit = RateLimitState::default();
    limit.apply(LIMITED, start, start + second);
    limit.apply(RateLimitHint::Unlimited, start, start + second * 2);
    assert_eq!(limit.in_force(None, start + second * 90), Some(Rate(2.0)), "sent before");
    limit.apply(RateLimitHint::Unlimited, start + second * 3, start + second * 4);
    assert_eq!(limit.in_force(None, start + second * 4), None);
}

#[test]
fn a_limit_that_can_not_be_understood_changes_nothing() {
    let now = Instant::now();
    let mut limit = RateLimitState::default();
    limit.apply(LIMITED, now, now);
    limit.apply(RateLimitHint::Invalid, now + LOADER_LAG, now + LOADER_LAG);
    assert_eq!(limit.in_force(None, now + LOADER_LAG), Some(Rate(2.0)));
}

#[test]
fn the_loader_knows_better_once_it_must_have_read_a_report() {
    let now = Instant::now();
    let mut limit = RateLimitState::default();
    assert_eq!(limit.in_force(Some(Some(Rate(3.0))), now), Some(Rate(3.0)));
    limit.apply(LIMITED, now, now);
    assert_eq!(limit.in_force(Some(None), now), Some(Rate(2.0)), "the report may be older");
    assert_eq!(limit.in_force(Some(None), now + LOADER_LAG), None);
    assert_eq!(limit.in_force(None, now + LOADER_LAG), Some(Rate(2.0)));
}

/// All routers learn of a limit at the same time.
#[rstest]
fn all_routers_together_rarely_check_whether_a_limit_still_holds(
    #[values(1, 4, 60, 370)] routers: u32,
) {
    let (window, duration) = (Duration::from_secs(4), Duration::from_secs(3_600));
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut checks = Vec::new();
    for _ in 0..routers {
        let mut at = check_delay(routers, rng.random());
        while at < duration {
            checks.push(at);
            at += check_delay(routers, 1.0);
        }
    }
    let rate = checks.len() as f64 / duration.as_secs_f64();
    assert!((0.4..0.6).contains(&rate), "{rate} a second");
    let in_window = |start: &Duration| {
        checks.iter().filter(|at| **at >= *start && **at < *start + window).count()
    };
    let most = checks.iter().map(in_window).max().unwrap_or(0);
    assert!(most <= 10, "{most} within {window:?}");
}

#[test]
fn a_pause_ends_with_the_limit_that_caused_it() {
    let (now, rate) = (Instant::now(), Rate(0.0));
    let pause = Some((rate, now + Duration::from_secs(60)));
    let state = RateLimitState { pause, ..RateLimitState::default() };
    assert_eq!(state.pause_left(Some(rate), now), Some(Duration::from_secs(60)));
    assert_eq!(state.pause_left(Some(Rate(5.0)), now), None);
    assert_eq!(state.pause_left(None, now), None);
    assert_eq!(state.pause_left(Some(rate), now + Duration::from_secs(60)), None);
}
