use std::sync::Arc;
use std::time::Duration;

use policy::{ClosingDemand, ReplicaTarget};
use record::{Decision, GrantId};
use rstest::rstest;
use state::Grant;
use tree::Leaf;
use units::Epoch;

use super::rebalance;
use crate::decide::Rules;
use crate::membership::Observations;
use crate::round_input::{Model, RoundInput};
use crate::sample::{grant, leaf, member};

/// Four endpoints and eight models, each with a grant on the endpoint that `place` returns for it.
fn input(place: impl Fn(usize) -> usize) -> RoundInput {
    let leaves: Vec<Leaf> = (0..8).map(|i| leaf(&format!("m{i}"), 1, 1)).collect();
    let mut grants: Vec<Grant> =
        leaves.iter().enumerate().map(|(i, leaf)| grant(leaf, 0, place(i))).collect();
    grants.iter_mut().zip(0..).for_each(|(grant, part)| grant.id.part = part);
    let leaves = leaves.into_iter().map(Arc::new).collect();
    RoundInput { epoch: Epoch(1), leaves, members: (0..4).map(member).collect(), grants }
}

fn search(input: &RoundInput, idle: bool, first: usize) -> Option<GrantId> {
    let model = |leaf: &Arc<Leaf>| Model {
        leaf: leaf.clone(),
        closing: ClosingDemand::default(),
        target: ReplicaTarget { replicas: 1, reason: "least" },
        idle,
    };
    let models: Vec<Model> = input.leaves.iter().map(model).collect();
    let observations = Observations::default();
    let rules = Rules {
        observations: &observations,
        absence_timeout: Duration::from_secs(10),
        max_decisions: 200,
    };
    match rebalance(input, &models, &rules, first) {
        Some(Decision::Revoke { grant, .. }) => Some(grant),
        _ => None,
    }
}

#[rstest]
#[case::an_idle_model(true, 0, true)]
#[case::a_model_in_use(false, 0, false)]
#[case::no_grant_left_to_examine(true, 8, false)]
fn only_grants_of_idle_models_move_off_a_crowded_endpoint(
    #[case] idle: bool,
    #[case] first: usize,
    #[case] moves: bool,
) {
    assert_eq!(search(&input(|_| 0), idle, first).is_some(), moves);
}

#[test]
fn balanced_grants_do_not_move() {
    assert_eq!(search(&input(|i| i % 4), true, 0), None);
}
