//! Tests of bringing in models ahead of requests.

use super::*;
use crate::fixture::{Site, engine, name};

/// So many free lanes, none of which is left to callers.
fn lanes(lanes: usize) -> PrefetchCapacity {
    PrefetchCapacity { free: lanes, total: 0 }
}

#[test]
fn brings_in_what_has_no_copy_anywhere_one_load_an_endpoint() {
    let mut site = Site::new(3);
    site.copy(0, "a");
    site.hold(1, "b", &[]);
    site.holdings[2].loading =
        Some(fleet::Loading { model: name("c"), cold: true, remaining: std::time::Duration::ZERO });
    let planned = plan_prefetch(&site.candidates(), &engine(), lanes(8), &HashSet::new(), |_| 0.0);
    let names: Vec<&str> = planned.iter().map(|(model, _)| model.as_str()).collect();
    assert_eq!(names, ["d", "e"], "only two endpoints are idle");
    assert_ne!(planned[0].1, planned[1].1);
}

#[test]
fn takes_no_more_than_the_free_lanes() {
    let site = Site::new(4);
    assert_eq!(
        plan_prefetch(&site.candidates(), &engine(), lanes(1), &HashSet::new(), |_| 0.0).len(),
        1
    );
    assert!(
        plan_prefetch(&site.candidates(), &engine(), lanes(0), &HashSet::new(), |_| 0.0).is_empty()
    );
}

#[test]
fn prefers_endpoints_with_room() {
    let mut site = Site::new(3);
    for index in [0, 2] {
        site.hold(index, "g", &[]);
        site.hold(index, "h", &[]);
    }
    assert_eq!(
        plan_prefetch(&site.candidates(), &engine(), lanes(1), &HashSet::new(), |_| 0.0)[0].1,
        1
    );
}

#[test]
fn brings_in_what_is_wanted_most_first() {
    let site = Site::new(2);
    let demand = |model: &ModelName| match model.as_str() {
        "f" => 160.0,
        "c" => 2.0,
        _ => 0.0,
    };
    let planned = plan_prefetch(&site.candidates(), &engine(), lanes(8), &HashSet::new(), demand);
    let names: Vec<&str> = planned.iter().map(|(model, _)| model.as_str()).collect();
    assert_eq!(names, ["f", "c"]);
}

#[test]
fn leaves_half_of_the_lanes_to_what_callers_ask_for() {
    let site = Site::new(4);
    let free = PrefetchCapacity { free: 4, total: 4 };
    assert_eq!(
        plan_prefetch(&site.candidates(), &engine(), free, &HashSet::new(), |_| 0.0).len(),
        2
    );
    let free = PrefetchCapacity { free: 2, total: 4 };
    assert!(
        plan_prefetch(&site.candidates(), &engine(), free, &HashSet::new(), |_| 0.0).is_empty()
    );
    assert_eq!(
        plan_prefetch(&site.candidates(), &engine(), free, &HashSet::new(), |_| 1.0).len(),
        2
    );
    let free = PrefetchCapacity { free: 1, total: 1 };
    assert_eq!(
        plan_prefetch(&site.candidates(), &engine(), free, &HashSet::new(), |_| 0.0).len(),
        1
    );
}

#[test]
fn a_new_endpoint_gets_what_is_wanted_most_for_each_copy() {
    let mut site = Site::new(4);
    for (index, models) in [["a", "b"], ["a", "c"], ["a", "d"]].iter().enumerate() {
        models.iter().for_each(|model| site.hold(index, model, &[]));
        ["e", "f", "g", "h"].iter().for_each(|model| site.copy(index, model));
    }
    let demand = |model: &ModelName| match model.as_str() {
        "a" => 60.0,
        "b" => 50.0,
        _ => 0.0,
    };
    let planned = plan_prefetch(
        &site.candidates(),
        &engine(),
        PrefetchCapacity { free: 2, total: 4 },
        &HashSet::new(),
        demand,
    );
    assert_eq!(planned, [(name("b"), 3)], "one for a new endpoint, none for the others");
}
