//! Tests of choosing an endpoint for a request.

use super::*;
use crate::fixture::{TestEndpoints, domain};

fn chosen(endpoints: &TestEndpoints, id: Option<&ModelId>) -> Option<usize> {
    let prefill = Duration::from_millis(20);
    choose_endpoint(&endpoints.candidates(), id, prefill, &domain()).map(|chosen| chosen.index)
}

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[test]
fn only_endpoints_that_hold_the_model_and_the_adapter_are_chosen() {
    let mut endpoints = TestEndpoints::new(3);
    endpoints.hold(1, "m", &["a1"]);
    let chosen_for = |text: &str| {
        let id: ModelId = text.parse().expect("an id");
        chosen(&endpoints, Some(&id))
    };
    assert_eq!(chosen_for("m"), Some(1));
    assert_eq!(chosen_for("m/a1"), Some(1));
    assert_eq!(chosen_for("m/a2"), None);
    assert_eq!(chosen_for("n"), None);
}

#[test]
fn the_fastest_replica_is_chosen_and_small_differences_are_ignored() {
    let mut endpoints = TestEndpoints::new(4);
    (0..4).for_each(|index| endpoints.hold(index, "m", &[]));
    let id: ModelId = "m".parse().expect("an id");
    let first = chosen(&endpoints, Some(&id)).expect("an endpoint");
    endpoints.backlog[first] = ms(20);
    assert_eq!(chosen(&endpoints, Some(&id)), Some(first), "20 ms make no difference");
    endpoints.backlog[first] = ms(120);
    let second = chosen(&endpoints, Some(&id)).expect("an endpoint");
    assert_ne!(second, first);
    endpoints.backlog = vec![ms(400); 4];
    endpoints.backlog[first] = ms(120);
    assert_eq!(chosen(&endpoints, Some(&id)), Some(first), "all have a long backlog");
}

#[test]
fn replicas_in_the_own_failure_domain_are_preferred_unless_they_are_late() {
    let mut endpoints = TestEndpoints::new(4);
    (0..4).for_each(|index| endpoints.hold(index, "m", &[]));
    (0..3).for_each(|index| endpoints.endpoints[index].domain = "far".parse().expect("a domain"));
    let id: ModelId = "m".parse().expect("an id");
    assert_eq!(chosen(&endpoints, Some(&id)), Some(3));
    endpoints.backlog[3] = ms(60);
    assert_ne!(chosen(&endpoints, Some(&id)), Some(3));
}

#[test]
fn while_memory_is_scarce_requests_share_one_replica_until_it_fills_up() {
    let mut endpoints = TestEndpoints::new(4);
    (0..4).for_each(|index| endpoints.hold(index, "m", &[]));
    endpoints.room_wait = vec![ms(500); 4];
    let id: ModelId = "m".parse().expect("an id");
    let first = chosen(&endpoints, Some(&id)).expect("an endpoint");
    endpoints.total_running[first] = (MAX_MODEL_SLOT_SHARE * 64.0) as u32;
    endpoints.backlog[first] = ms(60);
    assert_eq!(chosen(&endpoints, Some(&id)), Some(first));
    endpoints.total_running[first] = 60;
    assert_ne!(chosen(&endpoints, Some(&id)), Some(first));
    endpoints.total_running = vec![60; 4];
    endpoints.total_running[first] = 40;
    assert_eq!(chosen(&endpoints, Some(&id)), Some(first), "all are full");
}

#[test]
fn a_replica_that_is_being_evicted_gets_no_new_requests() {
    let mut endpoints = TestEndpoints::new(2);
    (0..2).for_each(|index| endpoints.hold(index, "m", &[]));
    endpoints.holdings[0].evicting = vec!["m".parse().expect("a name")];
    let id: ModelId = "m".parse().expect("an id");
    assert_eq!(chosen(&endpoints, Some(&id)), Some(1));
}

#[test]
fn endpoints_without_models_are_chosen_by_failure_domain_and_taken_slots() {
    let mut endpoints = TestEndpoints::without_models(2);
    endpoints.endpoints[0].domain = "far".parse().expect("a domain");
    assert_eq!(chosen(&endpoints, None), Some(1));
    endpoints.total_running[1] = 64;
    assert_eq!(chosen(&endpoints, None), Some(0));
}

#[test]
fn an_endpoint_that_lost_a_response_ranks_behind_the_others_until_they_fill_up() {
    let mut endpoints = TestEndpoints::without_models(2);
    endpoints.endpoints[0].domain = "far".parse().expect("a domain");
    endpoints.failures[1] = 1.0;
    assert_eq!(chosen(&endpoints, None), Some(0));
    endpoints.total_running[0] = 64;
    assert_eq!(chosen(&endpoints, None), Some(1));
}
