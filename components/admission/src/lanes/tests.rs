//! Tests of the lanes of the weight store.

use super::*;

const ALONE: Duration = Duration::from_secs(6);

/// Loads in rounds on a store with this many lanes; returns what was learned.
fn rounds(lanes: u32, rounds: u32) -> u32 {
    let mut learned = Lanes::default();
    for _ in 0..rounds {
        let beside = learned.count();
        let stretch = f64::from(beside.max(lanes)) / f64::from(lanes);
        learned.learn(ALONE.mul_f64(stretch), ALONE, beside);
    }
    learned.count()
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
    let mut lanes = Lanes::default();
    lanes.learn(ALONE, ALONE, 1);
    assert_eq!(lanes, Lanes::default());
}
