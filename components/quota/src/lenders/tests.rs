//! Tests of whom to ask.

use super::*;

const SHARE: BucketSpec = BucketSpec { refill_rate: 100.0, capacity: 500.0 };

fn lenders(missing: f64) -> Lenders {
    let all = (0..10).map(|n| SocketAddr::from(([10, 0, 0, n], 8_144)));
    let mut number = 0;
    let key = || {
        number += 1;
        number
    };
    Lenders::new(all, missing, SHARE, key)
}

#[test]
fn asks_one_where_one_has_enough_and_more_each_time() {
    let mut lenders = lenders(200.0);
    let waves: Vec<usize> = (0..5).map(|_| lenders.next_wave().len()).collect();
    assert_eq!(waves, [1, 2, 4, 3, 0]);
}

#[test]
fn asks_several_at_once_for_a_large_request() {
    let mut lenders = lenders(2_200.0);
    let waves: Vec<usize> = (0..3).map(|_| lenders.next_wave().len()).collect();
    assert_eq!(waves, [9, 1, 0]);
}

#[test]
fn one_with_callers_of_its_own_keeps_half() {
    assert!((lendable(100.0, Duration::from_millis(100)) - 50.0).abs() < 1e-9);
    assert!((lendable(100.0, Duration::from_secs(2)) - 100.0).abs() < 1e-9);
}

#[test]
fn a_few_that_have_nothing_mean_that_nobody_has() {
    assert!(!likely_exhausted(1, 1_000.0, 0.0));
    assert!(likely_exhausted(3, 1_000.0, 20.0));
    assert!(!likely_exhausted(3, 1_000.0, 300.0));
}
