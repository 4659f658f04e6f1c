//! Tests of how sound an endpoint is.

use super::*;

#[tokio::test(start_paused = true)]
async fn a_failure_is_forgotten_in_some_seconds_and_sooner_with_work_done() {
    let mut trouble = RecentFailures::default();
    trouble.record_failure(Instant::now());
    assert!(trouble.count(Instant::now()) > 0.99);
    tokio::time::advance(Duration::from_secs(3)).await;
    assert!((0.3..0.4).contains(&trouble.count(Instant::now())));
    (0..20).for_each(|_| trouble.record_success(Instant::now()));
    assert!(trouble.count(Instant::now()) < 0.1);
}

#[tokio::test(start_paused = true)]
async fn many_failures_count_no_more_than_a_few() {
    let mut trouble = RecentFailures::default();
    (0..100).for_each(|_| trouble.record_failure(Instant::now()));
    tokio::time::advance(Duration::from_secs(9)).await;
    assert!(trouble.count(Instant::now()) < 0.25);
}
