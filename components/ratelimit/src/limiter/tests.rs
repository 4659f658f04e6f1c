//! Tests of limiters.

use rstest::rstest;

use super::*;

/// The windows in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// The most requests that may be sent in any [`WINDOW`].
fn allowed(limit: Rate) -> f64 {
    1.5 * limit.0 * WINDOW.as_secs_f64() + 5.0
}

fn busiest_window(sent: &[Instant]) -> usize {
    let in_window =
        |start: &Instant| sent.iter().filter(|at| **at >= *start && **at < *start + WINDOW).count();
    sent.iter().map(in_window).max().unwrap_or(0)
}

#[rstest]
#[case::below_one(0.2)]
#[case::one(1.0)]
#[case::ten(10.0)]
#[case::many(200.0)]
fn schedules_no_more_than_the_limit_and_nearly_all_of_it(
    #[case] limit: f64,
    #[values(Duration::ZERO, Duration::from_millis(400), Duration::from_secs(5))]
    max_wait: Duration,
) {
    let (limit, start) = (Rate(limit), Instant::now());
    let mut limiter = Limiter::new(start);
    let (mut sent, duration) = (Vec::new(), Duration::from_secs(40));
    let mut now = start;
    while now < start + duration {
        if let Grant::After(wait) = limiter.acquire(limit, max_wait, now) {
            assert!(wait <= max_wait.min(MAX_WAIT));
            sent.push(now + wait);
        }
        now += Duration::from_millis(3);
    }
    assert!(busiest_window(&sent) as f64 <= allowed(limit), "{}", busiest_window(&sent));
    assert!(sent.len() as f64 >= 0.8 * limit.0 * duration.as_secs_f64(), "{} sent", sent.len());
}

#[test]
fn after_an_idle_time_only_a_burst_may_be_sent_at_once() {
    let start = Instant::now();
    let mut limiter = Limiter::new(start);
    let later = start + Duration::from_secs(600);
    let at_once = |limiter: &mut Limiter| limiter.acquire(Rate(1.0), Duration::ZERO, later);
    assert_eq!(at_once(&mut limiter), Grant::After(Duration::ZERO));
    assert_eq!(at_once(&mut limiter), Grant::After(Duration::ZERO));
    assert_eq!(at_once(&mut limiter), Grant::Refused(Duration::from_secs(1)));
}

#[test]
fn a_refused_request_uses_no_capacity() {
    let start = Instant::now();
    let mut limiter = Limiter::new(start);
    let now = start + MAX_WAIT;
    let ms = Duration::from_millis;
    for _ in 0..9 {
        assert_eq!(limiter.acquire(Rate(2.5), ms(399), now), Grant::Refused(ms(400)));
    }
    assert_eq!(limiter.acquire(Rate(2.5), ms(400), now), Grant::After(ms(400)));
}

/// A loader that restarts has lost the requests that it had scheduled.
#[test]
fn a_new_limiter_schedules_nothing_while_requests_of_an_earlier_one_may_be_due() {
    let now = Instant::now();
    let refused = Limiter::new(now).acquire(Rate(100.0), Duration::ZERO, now);
    assert_eq!(refused, Grant::Refused(MAX_WAIT + Duration::from_millis(10)));
}

#[test]
fn requests_scheduled_at_a_higher_limit_block_a_lower_one_only_for_a_short_time() {
    let start = Instant::now();
    let mut limiter = Limiter::new(start);
    let now = start + MAX_WAIT;
    while limiter.acquire(Rate(200.0), MAX_WAIT, now) != Grant::After(MAX_WAIT) {}
    let refused = limiter.acquire(Rate(1.0), Duration::ZERO, now);
    assert_eq!(refused, Grant::Refused(Duration::from_millis(1_500)));
}

#[test]
fn a_limit_of_zero_allows_nothing() {
    let now = Instant::now();
    let refused = Limiter::new(now).acquire(Rate(0.0), Duration::from_secs(60), now);
    assert_eq!(refused, Grant::Refused(MAX_RETRY_AFTER));
}

#[test]
fn a_higher_limit_takes_effect_at_once() {
    let start = Instant::now();
    let mut limiter = Limiter::new(start);
    let now = start + MAX_WAIT;
    assert!(matches!(limiter.acquire(Rate(0.01), Duration::ZERO, now), Grant::Refused(_)));
    let granted = limiter.acquire(Rate(100.0), Duration::from_millis(10), now);
    assert_eq!(granted, Grant::After(Duration::from_millis(10)));
}
