//! Tests of the pulse.

use super::*;

async fn settled(pulse: &Pulse) -> Duration {
    let before = Instant::now();
    pulse.settle().await;
    before.elapsed()
}

#[tokio::test(start_paused = true)]
async fn does_not_wait_while_the_machine_runs() {
    let pulse = Pulse::default();
    tokio::time::advance(BEAT).await;
    assert_eq!(settled(&pulse).await, Duration::ZERO);
}

#[tokio::test(start_paused = true)]
async fn waits_after_the_machine_stood_still() {
    let pulse = Pulse::default();
    tokio::time::advance(Duration::from_secs(7)).await;
    assert!(settled(&pulse).await >= SETTLE);
    assert_eq!(settled(&pulse).await, Duration::ZERO);
}

#[tokio::test(start_paused = true)]
async fn waits_after_a_suspension_that_the_steady_clock_does_not_count() {
    let pulse = Pulse::default();
    let mut beat = Beat::now();
    beat.whole += Duration::from_secs(7);
    pulse.take(beat);
    assert!(settled(&pulse).await >= SETTLE);
}
