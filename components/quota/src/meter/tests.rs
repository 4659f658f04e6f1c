//! Tests of the meter.

use super::*;

#[test]
fn comes_near_a_steady_rate_and_forgets_it() {
    let start = Moment::now();
    let mut meter = Meter::default();
    let at = |tenths: u32| start + Duration::from_millis(100) * tenths;
    for tenths in 0..600 {
        meter.record(100.0, at(tenths));
    }
    assert!((meter.rate(at(600)) - 1_000.0).abs() < 20.0);
    assert!(meter.rate(at(1_600)) < 1.0);
}
