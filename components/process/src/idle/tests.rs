//! Tests of the idle time of a thread.

use super::*;

#[tokio::test(start_paused = true)]
async fn only_the_time_between_begin_and_end_is_idle() {
    let meter = IdleMeter::default();
    tokio::time::advance(Duration::from_millis(30)).await;
    assert_eq!(meter.read().total, Duration::ZERO);
    assert_eq!(meter.read().busy_for, Duration::from_millis(30));
    meter.begin();
    tokio::time::advance(Duration::from_millis(50)).await;
    meter.end();
    tokio::time::advance(Duration::from_millis(20)).await;
    assert_eq!(meter.read().total, Duration::from_millis(50));
    assert_eq!(meter.read().busy_for, Duration::from_millis(20));
}
