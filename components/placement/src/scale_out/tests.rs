//! Tests of adding a replica.

use super::*;
use crate::fixture::{TestEndpoints, engine};

const TARGET: Duration = Duration::from_millis(400);

fn id(text: &str) -> ModelId {
    text.parse().expect("an id")
}

/// Endpoints that all keep a copy of the model `a`, the first `replicas` of which hold it.
fn endpoints_with(count: usize, replicas: usize) -> TestEndpoints {
    let mut endpoints = TestEndpoints::new(count);
    (0..count).for_each(|index| endpoints.copy(index, "a"));
    (0..replicas).for_each(|index| endpoints.hold(index, "a", &[]));
    endpoints
}

fn decide(
    endpoints: &TestEndpoints,
    asked: &[bool],
    needed: usize,
    first_event: Duration,
) -> Option<usize> {
    let model = id("a");
    let chosen = ChosenEndpoint { index: 0, first_event };
    let status = ReplicaStatus { model: &model, requested: asked, needed, chosen, target: TARGET };
    scale_out(&endpoints.candidates(), &engine(), &status).map(|target| target.index)
}

#[test]
fn a_model_with_enough_replicas_that_are_in_time_gets_no_more() {
    assert_eq!(decide(&endpoints_with(4, 2), &[false; 4], 2, TARGET / 4), None);
}

#[test]
fn a_model_with_too_few_or_late_replicas_gets_one_more() {
    for (needed, first_event) in [(3, TARGET / 4), (2, TARGET)] {
        let more =
            decide(&endpoints_with(4, 2), &[false; 4], needed, first_event).expect("one more");
        assert!(more >= 2, "not one that holds the model");
    }
}

#[test]
fn an_endpoint_that_was_asked_counts_as_a_replica() {
    let asked = [false, false, true, false];
    assert_eq!(decide(&endpoints_with(4, 2), &asked, 3, TARGET), None);
    assert_eq!(decide(&endpoints_with(4, 2), &asked, 4, TARGET), Some(3));
}

/// A straightforward implementation of the same rules.
fn reference(
    endpoints: &TestEndpoints,
    asked: &[bool],
    needed: usize,
    first_event: Duration,
) -> bool {
    let candidates = endpoints.candidates();
    let (mut held, mut coming, mut free) = (0, 0, 0);
    for (candidate, asked) in candidates.iter().zip(asked) {
        let holdings = candidate.holdings.expect("models");
        if holdings.holds(&id("a").model) {
            held += 1;
        } else if *asked {
            coming += 1;
        } else if candidate.can_load {
            free += 1;
        }
    }
    let late = if memory_scarce(&candidates) {
        candidates[0].slot_share() > MAX_MODEL_SLOT_SHARE
    } else {
        first_event > TARGET / 2
    };
    free > 0 && (held + coming < needed || (late && coming == 0))
}

proptest::proptest! {
    #[test]
    fn the_decision_follows_the_rules(
        count in 1_usize..8,
        replicas in 1_usize..8,
        asked in proptest::collection::vec(proptest::bool::ANY, 8),
        can_load in proptest::collection::vec(proptest::bool::ANY, 8),
        needed in 0_usize..9,
        first_event in 0_u64..800,
        total_running in 0_u32..70,
    ) {
        let mut endpoints = endpoints_with(count, replicas.min(count));
        endpoints.can_load.copy_from_slice(&can_load[..count]);
        endpoints.total_running[0] = total_running;
        let (asked, first_event) = (&asked[..count], Duration::from_millis(first_event));
        let more = decide(&endpoints, asked, needed, first_event);
        proptest::prop_assert_eq!(more.is_some(), reference(&endpoints, asked, needed, first_event));
        if let Some(index) = more {
            proptest::prop_assert!(index >= replicas.min(count) && !asked[index]);
        }
    }
}
