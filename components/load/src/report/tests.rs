use std::time::Duration;

use super::{Percentiles, reason};

#[test]
fn can_find_percentiles_over_a_wide_range() {
    let times = (1..=100).map(|n| Duration::from_millis(n * 100));
    let found = Percentiles::of(times);
    let near = |got: f64, wanted: f64| (got - wanted).abs() <= wanted / 500.0;
    assert_eq!(found.count, 100);
    assert!(near(found.p50, 5000.0) && near(found.p99, 9900.0), "{found:?}");
    assert!(near(found.max, 10_000.0), "{found:?}");
}

#[test]
fn can_tell_that_there_was_nothing() {
    assert_eq!(Percentiles::of([]).count, 0);
}

#[test]
fn can_tell_why_a_call_was_not_served() {
    assert_eq!(reason(r#"{"error":{"type":"full","message":"the queue is full"}}"#), "full");
    assert_eq!(reason("connection closed"), "not said");
}
