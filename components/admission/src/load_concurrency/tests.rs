//! Tests of the learned limit on concurrent loads.

use super::*;

const ALONE: Duration = Duration::from_secs(6);

/// Runs rounds of as many loads as the learned limit allows on a store that serves `capacity` loads at full speed;
/// returns the limit that was learned.
fn learned_limit(capacity: u32, rounds: u32) -> u32 {
    let mut learned = LoadConcurrency::default();
    for _ in 0..rounds {
        let concurrent = learned.limit();
        let stretch = f64::from(concurrent.max(capacity)) / f64::from(capacity);
        learned.learn(ALONE.mul_f64(stretch), ALONE, ConcurrentLoads::steady(concurrent));
    }
    learned.limit()
}

#[test]
fn a_store_that_serves_one_load_is_recognized_after_one_round() {
    assert_eq!(learned_limit(1, 1), 1);
}

#[test]
fn higher_limits_are_found_by_doubling() {
    assert_eq!(learned_limit(4, 1), 4);
    assert_eq!(learned_limit(4, 3), 4);
}

#[test]
fn a_load_with_fewer_concurrent_loads_than_allowed_changes_nothing() {
    let mut concurrency = LoadConcurrency::default();
    concurrency.learn(ALONE, ALONE, ConcurrentLoads::steady(1));
    assert_eq!(concurrency, LoadConcurrency::default());
}

#[test]
fn loads_that_started_shortly_before_the_end_are_not_counted_as_concurrent() {
    let mut concurrency = LoadConcurrency::default();
    let mut concurrent = ConcurrentLoads::steady(2);
    concurrent.record(9);
    concurrency.learn(ALONE, ALONE, concurrent);
    assert_eq!(concurrency.limit(), 4, "twice the two that ran all the time");
}

#[test]
fn the_limit_grows_by_one_after_the_store_was_saturated() {
    let mut concurrency = LoadConcurrency::default();
    concurrency.learn(ALONE * 3, ALONE, ConcurrentLoads::steady(12));
    assert_eq!(concurrency.limit(), 2, "never more than were allowed");
    concurrency.learn(ALONE, ALONE, ConcurrentLoads::steady(2));
    assert_eq!(concurrency.limit(), 3);
}
