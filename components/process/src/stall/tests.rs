//! Tests of the stall_detector.

use super::*;

async fn settled(stall_detector: &StallDetector) -> Duration {
    let before = Instant::now();
    stall_detector.wait_after_stall().await;
    before.elapsed()
}

#[tokio::test(start_paused = true)]
async fn does_not_wait_while_the_machine_runs() {
    let stall_detector = StallDetector::default();
    tokio::time::advance(BEAT).await;
    assert_eq!(settled(&stall_detector).await, Duration::ZERO);
}

#[tokio::test(start_paused = true)]
async fn waits_after_the_machine_stood_still() {
    let stall_detector = StallDetector::default();
    tokio::time::advance(Duration::from_secs(7)).await;
    assert!(settled(&stall_detector).await >= SETTLE);
    assert_eq!(settled(&stall_detector).await, Duration::ZERO);
}

#[tokio::test(start_paused = true)]
async fn waits_after_a_suspension_that_the_steady_clock_does_not_count() {
    let stall_detector = StallDetector::default();
    let mut beat = Beat::now();
    beat.whole += Duration::from_secs(7);
    stall_detector.take(beat);
    assert!(settled(&stall_detector).await >= SETTLE);
}
