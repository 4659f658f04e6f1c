//! Tests of the stall detector.

use super::*;

async fn time_waited(stall_detector: &StallDetector) -> Duration {
    let before = Instant::now();
    stall_detector.wait_after_stall().await;
    before.elapsed()
}

#[tokio::test(start_paused = true)]
async fn does_not_wait_without_a_stall() {
    let stall_detector = StallDetector::default();
    tokio::time::advance(CHECK_INTERVAL).await;
    assert_eq!(time_waited(&stall_detector).await, Duration::ZERO);
}

#[tokio::test(start_paused = true)]
async fn waits_once_after_a_stall() {
    let stall_detector = StallDetector::default();
    tokio::time::advance(Duration::from_secs(7)).await;
    assert!(time_waited(&stall_detector).await >= CATCH_UP_TIME);
    assert_eq!(time_waited(&stall_detector).await, Duration::ZERO);
}

#[tokio::test(start_paused = true)]
async fn waits_after_a_suspension_that_the_monotonic_clock_does_not_count() {
    let stall_detector = StallDetector::default();
    let mut reading = ClockReading::now();
    reading.boot_time += Duration::from_secs(7);
    stall_detector.record(reading);
    assert!(time_waited(&stall_detector).await >= CATCH_UP_TIME);
}
