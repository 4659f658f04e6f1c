//! Tests of choosing the endpoint that loads a model.

use super::*;
use crate::fixture::{TestEndpoints, engine, name};

fn id(text: &str) -> ModelId {
    text.parse().expect("an id")
}

#[test]
fn an_endpoint_with_a_copy_is_preferred_to_endpoints_with_more_room() {
    let mut endpoints = TestEndpoints::new(3);
    endpoints.copy(2, "a");
    endpoints.hold(2, "b", &[]);
    endpoints.hold(2, "c", &[]);
    let target =
        choose_load_target(&endpoints.candidates(), &id("a"), &engine(), LoadSource::CopiesOrStore)
            .expect("a target");
    assert_eq!((target.index, target.tier), (2, Tier::Disk));
}

#[test]
fn the_weight_store_is_not_used_while_an_endpoint_that_cannot_load_keeps_a_copy() {
    let mut endpoints = TestEndpoints::new(2);
    endpoints.copy(0, "a");
    endpoints.can_load[0] = false;
    assert_eq!(
        choose_load_target(&endpoints.candidates(), &id("a"), &engine(), LoadSource::CopiesOrStore),
        None
    );
}

#[test]
fn the_weight_store_is_used_only_if_the_source_allows_it() {
    let endpoints = TestEndpoints::new(2);
    assert_eq!(
        choose_load_target(&endpoints.candidates(), &id("a"), &engine(), LoadSource::CopiesOnly),
        None
    );
    let target =
        choose_load_target(&endpoints.candidates(), &id("a"), &engine(), LoadSource::CopiesOrStore)
            .expect("a target");
    assert_eq!((target.tier, target.ready_in), (Tier::Store, Duration::from_secs(6)));
}

#[test]
fn an_adapter_is_loaded_where_its_model_is_loaded() {
    let mut endpoints = TestEndpoints::new(3);
    endpoints.hold(1, "a", &[]);
    let target = choose_load_target(
        &endpoints.candidates(),
        &id("a/x"),
        &engine(),
        LoadSource::CopiesOrStore,
    )
    .expect("a target");
    assert_eq!((target.index, target.tier), (1, Tier::Adapter));
}

#[test]
fn the_choice_does_not_depend_on_the_order_of_the_endpoints() {
    let mut endpoints = TestEndpoints::new(6);
    (0..6).for_each(|index| endpoints.copy(index, "a"));
    let mut candidates = endpoints.candidates();
    let first = choose_load_target(&candidates, &id("a"), &engine(), LoadSource::CopiesOrStore)
        .expect("a target")
        .index;
    let chosen = candidates[first].endpoint.id.clone();
    candidates.reverse();
    let again = choose_load_target(&candidates, &id("a"), &engine(), LoadSource::CopiesOrStore)
        .expect("a target")
        .index;
    assert_eq!(candidates[again].endpoint.id, chosen);
}

#[test]
fn an_endpoint_that_is_loading_the_model_is_chosen() {
    let mut endpoints = TestEndpoints::new(3);
    let left = Duration::from_secs(2);
    endpoints.holdings[1].loading =
        Some(fleet::Loading { model: name("a"), cold: true, remaining: left });
    let target =
        choose_load_target(&endpoints.candidates(), &id("a"), &engine(), LoadSource::CopiesOnly)
            .expect("a target");
    assert_eq!((target.index, target.ready_in), (1, left));
}

#[test]
fn several_endpoints_load_a_model_only_from_copies() {
    let mut endpoints = TestEndpoints::new(4);
    (0..3).for_each(|index| endpoints.copy(index, "a"));
    let all = choose_load_targets(
        &endpoints.candidates(),
        &id("a"),
        &engine(),
        LoadSource::CopiesOrStore,
        4,
    );
    assert_eq!(all.len(), 3);
    assert!(all.iter().all(|target| target.tier == Tier::Disk));
    let store = choose_load_targets(
        &endpoints.candidates(),
        &id("b"),
        &engine(),
        LoadSource::CopiesOrStore,
        4,
    );
    assert_eq!(store.len(), 1, "one load from the weight store is enough");
}

#[test]
fn an_additional_replica_is_never_loaded_from_the_store() {
    let mut endpoints = TestEndpoints::new(2);
    endpoints.hold(0, "a", &[]);
    let all = endpoints.candidates();
    assert_eq!(choose_load_target(&all[1..], &id("a"), &engine(), LoadSource::CopiesOnly), None);
    let first = choose_load_target(&all, &id("a"), &engine(), LoadSource::CopiesOrStore)
        .expect("the replica");
    assert_eq!((first.index, first.tier), (0, Tier::Adapter));
}

/// Guards against replicas of interactive models on slow endpoints, and against a factor that excludes the only copy.
#[test]
fn for_short_targets_the_expected_time_counts_longer_at_slow_endpoints() {
    let mut endpoints = TestEndpoints::new(3);
    (0..3).for_each(|index| endpoints.copy(index, "a"));
    endpoints.hold(0, "b", &[]);
    endpoints.hold(0, "c", &[]);
    endpoints.can_load[2] = false;
    let candidates: Vec<Candidate<'_>> = endpoints
        .candidates()
        .into_iter()
        .zip([0.5, 4.0, 0.5])
        .map(|(candidate, time_factor)| Candidate { time_factor, balanced: true, ..candidate })
        .collect();
    let choose = |candidates: &[Candidate<'_>]| {
        let source = LoadSource::CopiesOnly;
        choose_fast_load_targets(candidates, &id("a"), &engine(), source, 1).pop()
    };
    let fast = choose(&candidates).expect("a target");
    let expected = engine().model(&name("a")).expect("a model").disk_load + EVICTION_ORDER_DELAY;
    assert_eq!((fast.index, fast.ready_in), (0, expected), "the expected time is not scaled");
    assert_eq!(choose(&candidates[1..]).expect("a target").index, 0, "the slow one is left");
    let any =
        choose_load_target(&candidates, &id("a"), &engine(), LoadSource::CopiesOnly).expect("one");
    assert_eq!(any.index, 1, "the slow one has room at once");
}

/// The configuration may state any size of an adapter.
#[test]
fn adapters_that_are_larger_than_any_memory_leave_no_room() {
    let mut endpoints = TestEndpoints::new(1);
    endpoints.hold(0, "a", &["x", "y", "z"]);
    endpoints.copy(0, "b");
    let mut engine = engine();
    let mut spec = engine.model(&name("a")).expect("a model").clone();
    spec.adapter = units::Size(u64::MAX / 2);
    engine.models = ["a", "b"].map(|text| (name(text), spec.clone())).into_iter().collect();
    let candidates = endpoints.candidates();
    let target = choose_load_target(&candidates, &id("b"), &engine, LoadSource::CopiesOnly);
    assert_eq!(target.expect("a target").ready_in, spec.disk_load + EVICTION_ORDER_DELAY);
}
