//! Tests of moments.

use super::*;

#[tokio::test(start_paused = true)]
async fn counts_with_the_steady_clock() {
    let before = Moment::now();
    tokio::time::advance(Duration::from_secs(7)).await;
    // The other clock, which nobody pauses, was a little ahead at first.
    assert!(before.elapsed() >= Duration::from_secs(6));
    assert!(before.elapsed() < Duration::from_secs(8));
}

#[tokio::test(start_paused = true)]
async fn an_earlier_moment_is_older() {
    let now = Moment::now();
    let span = Duration::from_secs(5);
    assert_eq!(now.since(now.saturating_sub(span)), span);
    assert_eq!((now + span).since(now), span);
    assert_eq!(now.since(now + span), Duration::ZERO);
}
