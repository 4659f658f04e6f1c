//! Tests of moments.

use super::*;

#[tokio::test(start_paused = true)]
async fn advances_with_the_monotonic_clock() {
    let before = Moment::now();
    tokio::time::advance(Duration::from_secs(7)).await;
    // The boot-time clock, which a test can't pause, was slightly ahead at first.
    assert!(before.elapsed() >= Duration::from_secs(6));
    assert!(before.elapsed() < Duration::from_secs(8));
}

#[tokio::test(start_paused = true)]
async fn since_gives_the_difference_and_is_never_negative() {
    let now = Moment::now();
    let span = Duration::from_secs(5);
    assert_eq!(now.since(now.saturating_sub(span)), span);
    assert_eq!((now + span).since(now), span);
    assert_eq!(now.since(now + span), Duration::ZERO);
}

/// A time that was computed from a number of another process may be the longest one.
#[test]
fn a_moment_after_the_longest_time_is_the_latest_one() {
    let now = Moment::now();
    let latest = now + Duration::MAX;
    assert!(latest > now + Duration::from_secs(u64::MAX / 2));
    assert_eq!(latest + Duration::from_secs(1), latest);
}
