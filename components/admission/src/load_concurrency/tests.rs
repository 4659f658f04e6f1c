//! Tests of the lanes of the weight store.

use super::*;

const ALONE: Duration = Duration::from_secs(6);

/// Loads in rounds on a store with this many lanes; returns what was learned.
fn rounds(lanes: u32, rounds: u32) -> u32 {
    let mut learned = LoadConcurrency::default();
    for _ in 0..rounds {
        let beside = learned.limit();
        let stretch = f64::from(beside.max(lanes)) / f64::from(lanes);
        learned.learn(ALONE.mul_f64(stretch), ALONE, ConcurrentLoads::steady(beside));
    }
    learned.limit()
}

#[test]
fn a_store_of_one_lane_is_found_out_in_one_round() {
    assert_eq!(rounds(1, 1), 1);
}

#[test]
fn more_lanes_are_found_by_doubling() {
    assert_eq!(rounds(4, 1), 4);
    assert_eq!(rounds(4, 3), 4);
}

#[test]
fn a_load_beside_fewer_than_allowed_teaches_nothing() {
    let mut lanes = LoadConcurrency::default();
    lanes.learn(ALONE, ALONE, ConcurrentLoads::steady(1));
    assert_eq!(lanes, LoadConcurrency::default());
}

#[test]
fn loads_that_began_in_its_last_moments_do_not_count_as_carried() {
    let mut lanes = LoadConcurrency::default();
    let mut beside = ConcurrentLoads::steady(2);
    beside.record(9);
    lanes.learn(ALONE, ALONE, beside);
    assert_eq!(lanes.limit(), 4, "twice the two that ran all the time");
}

#[test]
fn a_known_bound_is_felt_for_by_one() {
    let mut lanes = LoadConcurrency::default();
    lanes.learn(ALONE * 3, ALONE, ConcurrentLoads::steady(12));
    assert_eq!(lanes.limit(), 2, "never more than were allowed");
    lanes.learn(ALONE, ALONE, ConcurrentLoads::steady(2));
    assert_eq!(lanes.limit(), 3);
}
