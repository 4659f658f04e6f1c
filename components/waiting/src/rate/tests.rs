//! Tests of the measured rate.

use super::*;
use crate::tests::seconds;

/// With the time of the load in the rate, a queue would refuse most requests of a model that is about to be ready.
#[test]
fn the_time_of_a_load_does_not_lower_the_rate() {
    let start = Instant::now();
    let mut meter = RateMeter::default();
    meter.resume(start);
    meter.advance(false, start + seconds(10.0));
    for index in 1..=5 {
        meter.advance(true, start + seconds(10.0 + 0.1 * f64::from(index)));
        meter.record_served();
    }
    let before = meter.per_second().expect("known");
    assert!((before - 10.0).abs() < 0.1, "{before}");
    meter.advance(false, start + seconds(20.0));
    assert_eq!(meter.per_second(), Some(before));
}

/// A queue that no longer moves would go on accepting requests at its old rate.
#[test]
fn the_rate_of_a_queue_that_stalls_falls_until_it_is_unknown() {
    let start = Instant::now();
    let mut meter = RateMeter::default();
    meter.resume(start);
    for index in 1..=4 {
        assert_eq!(meter.per_second(), None, "not known after {} requests", index - 1);
        meter.advance(true, start + seconds(0.1 * f64::from(index)));
        meter.record_served();
    }
    let moving = meter.per_second().expect("known");
    meter.advance(true, start + seconds(5.0));
    let stalled = meter.per_second().expect("still known");
    assert!(stalled < moving / 10.0, "{stalled} after {moving}");
    meter.advance(true, start + seconds(11.0));
    assert_eq!(meter.per_second(), None);
}
