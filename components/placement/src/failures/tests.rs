//! Tests of the count of recent failures.

use super::*;

#[tokio::test(start_paused = true)]
async fn a_failure_decays_within_seconds_and_faster_with_successful_requests() {
    let mut failures = RecentFailures::default();
    failures.record_failure(Instant::now());
    assert!(failures.count(Instant::now()) > 0.99);
    tokio::time::advance(Duration::from_secs(3)).await;
    assert!((0.3..0.4).contains(&failures.count(Instant::now())));
    (0..20).for_each(|_| failures.record_success(Instant::now()));
    assert!(failures.count(Instant::now()) < 0.1);
}

#[tokio::test(start_paused = true)]
async fn many_failures_count_no_more_than_a_few() {
    let mut failures = RecentFailures::default();
    (0..100).for_each(|_| failures.record_failure(Instant::now()));
    tokio::time::advance(Duration::from_secs(9)).await;
    assert!(failures.count(Instant::now()) < 0.25);
}
