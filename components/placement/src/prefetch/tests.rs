//! Tests of loading models before requests wait for them.

use super::*;
use crate::fixture::{TestEndpoints, engine, name};

/// Capacity with `free` permits, none of which is left to requests.
fn permits(free: usize) -> PrefetchCapacity {
    PrefetchCapacity { free, total: 0 }
}

#[test]
fn models_without_a_copy_are_loaded_with_one_load_per_endpoint() {
    let mut endpoints = TestEndpoints::new(3);
    endpoints.copy(0, "a");
    endpoints.hold(1, "b", &[]);
    endpoints.holdings[2].loading =
        Some(fleet::Loading { model: name("c"), cold: true, remaining: std::time::Duration::ZERO });
    let planned =
        plan_prefetch(&endpoints.candidates(), &engine(), permits(8), &HashSet::new(), |_| 0.0);
    let names: Vec<&str> = planned.iter().map(|(model, _)| model.as_str()).collect();
    assert_eq!(names, ["d", "e"], "only two endpoints are idle");
    assert_ne!(planned[0].1, planned[1].1);
}

#[test]
fn no_more_loads_are_planned_than_there_are_free_permits() {
    let endpoints = TestEndpoints::new(4);
    assert_eq!(
        plan_prefetch(&endpoints.candidates(), &engine(), permits(1), &HashSet::new(), |_| 0.0)
            .len(),
        1
    );
    assert!(
        plan_prefetch(&endpoints.candidates(), &engine(), permits(0), &HashSet::new(), |_| 0.0)
            .is_empty()
    );
}

#[test]
fn endpoints_with_room_are_preferred() {
    let mut endpoints = TestEndpoints::new(3);
    for index in [0, 2] {
        endpoints.hold(index, "g", &[]);
        endpoints.hold(index, "h", &[]);
    }
    assert_eq!(
        plan_prefetch(&endpoints.candidates(), &engine(), permits(1), &HashSet::new(), |_| 0.0)[0]
            .1,
        1
    );
}

#[test]
fn the_most_requested_models_are_loaded_first() {
    let endpoints = TestEndpoints::new(2);
    let demand = |model: &ModelName| match model.as_str() {
        "f" => 160.0,
        "c" => 2.0,
        _ => 0.0,
    };
    let planned =
        plan_prefetch(&endpoints.candidates(), &engine(), permits(8), &HashSet::new(), demand);
    let names: Vec<&str> = planned.iter().map(|(model, _)| model.as_str()).collect();
    assert_eq!(names, ["f", "c"]);
}

#[test]
fn unrequested_models_leave_half_of_the_permits_to_requests() {
    let endpoints = TestEndpoints::new(4);
    let capacity = PrefetchCapacity { free: 4, total: 4 };
    assert_eq!(
        plan_prefetch(&endpoints.candidates(), &engine(), capacity, &HashSet::new(), |_| 0.0).len(),
        2
    );
    let capacity = PrefetchCapacity { free: 2, total: 4 };
    assert!(
        plan_prefetch(&endpoints.candidates(), &engine(), capacity, &HashSet::new(), |_| 0.0)
            .is_empty()
    );
    assert_eq!(
        plan_prefetch(&endpoints.candidates(), &engine(), capacity, &HashSet::new(), |_| 1.0).len(),
        2
    );
    let capacity = PrefetchCapacity { free: 1, total: 1 };
    assert_eq!(
        plan_prefetch(&endpoints.candidates(), &engine(), capacity, &HashSet::new(), |_| 0.0).len(),
        1
    );
}

#[test]
fn an_empty_endpoint_loads_the_model_with_the_most_requests_per_copy() {
    let mut endpoints = TestEndpoints::new(4);
    for (index, models) in [["a", "b"], ["a", "c"], ["a", "d"]].iter().enumerate() {
        models.iter().for_each(|model| endpoints.hold(index, model, &[]));
        ["e", "f", "g", "h"].iter().for_each(|model| endpoints.copy(index, model));
    }
    let demand = |model: &ModelName| match model.as_str() {
        "a" => 60.0,
        "b" => 50.0,
        _ => 0.0,
    };
    let planned = plan_prefetch(
        &endpoints.candidates(),
        &engine(),
        PrefetchCapacity { free: 2, total: 4 },
        &HashSet::new(),
        demand,
    );
    assert_eq!(planned, [(name("b"), 3)], "one load on the empty endpoint, none on the others");
}
