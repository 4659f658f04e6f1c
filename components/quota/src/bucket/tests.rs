//! Tests of the bucket.

use super::*;

const SHARE: BucketSpec = BucketSpec { refill_rate: 100.0, capacity: 500.0 };

#[test]
fn begins_empty_and_fills_up_to_its_depth() {
    let start = Moment::now();
    let mut bucket = Bucket::new(start);
    assert!(bucket.level(SHARE, start) < 1e-9);
    let later = start + Duration::from_secs(2);
    assert!((bucket.level(SHARE, later) - 200.0).abs() < 1e-6);
    assert!((bucket.level(SHARE, later + Duration::from_secs(60)) - 500.0).abs() < 1e-6);
}

#[test]
fn gives_no_more_than_it_holds() {
    let start = Moment::now();
    let mut bucket = Bucket::new(start);
    let later = start + Duration::from_secs(3);
    assert!((bucket.take(SHARE, 1_000.0, later).tokens - 300.0).abs() < 1e-6);
    assert!(bucket.take(SHARE, 1_000.0, later).tokens < 1e-9);
    assert_eq!(bucket.time_until(SHARE, 50.0, later), Duration::from_millis(500));
}

#[test]
fn what_is_given_back_is_as_if_it_had_not_been_taken() {
    let start = Moment::now();
    let (mut bucket, mut other) = (Bucket::new(start), Bucket::new(start));
    let at = |tenths: u32| start + Duration::from_millis(100) * tenths;
    let taken = bucket.take(SHARE, 200.0, at(20));
    // The one fills up to its depth, and the other one has had room for part of it only.
    for tenths in [40, 60, 68] {
        bucket.level(SHARE, at(tenths));
        other.level(SHARE, at(tenths));
    }
    bucket.refund(SHARE, taken, at(68));
    assert!((bucket.level(SHARE, at(68)) - other.level(SHARE, at(68))).abs() < 1e-6);
    // Much later nothing of it is left to give.
    let taken = bucket.take(SHARE, 200.0, at(70));
    bucket.take(SHARE, 500.0, at(200));
    bucket.refund(SHARE, taken, at(200));
    assert!(bucket.level(SHARE, at(200)) < 1e-6);
}

#[test]
fn a_limit_that_falls_holds_at_once() {
    let start = Moment::now();
    let mut bucket = Bucket::new(start);
    let later = start + Duration::from_secs(60);
    let less = BucketSpec { refill_rate: 1.0, capacity: 20.0 };
    assert!((bucket.level(SHARE, later) - 500.0).abs() < 1e-6);
    assert!((bucket.take(less, 1_000.0, later).tokens - 20.0).abs() < 1e-6);
}
