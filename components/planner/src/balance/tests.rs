use std::sync::Arc;
use std::time::Duration;

use policy::{Closing, Wanted};
use record::{Decision, GrantId};
use rstest::rstest;
use state::Grant;
use tree::Leaf;
use units::Epoch;

use super::rebalance;
use crate::decide::Rules;
use crate::membership::Sightings;
use crate::picture::{Model, Picture};
use crate::sample::{grant, leaf, member};

/// Eight models with a grant each on the endpoint that `place` names, and four endpoints.
fn picture(place: impl Fn(usize) -> usize) -> Picture {
    let leaves: Vec<Leaf> = (0..8).map(|i| leaf(&format!("m{i}"), 1, 1)).collect();
    let mut grants: Vec<Grant> =
        leaves.iter().enumerate().map(|(i, leaf)| grant(leaf, 0, place(i))).collect();
    grants.iter_mut().zip(0..).for_each(|(grant, part)| grant.id.part = part);
    let leaves = leaves.into_iter().map(Arc::new).collect();
    Picture { epoch: Epoch(1), leaves, members: (0..4).map(member).collect(), grants }
}

fn search(picture: &Picture, idle: bool, first: usize) -> Option<GrantId> {
    let model = |leaf: &Arc<Leaf>| Model {
        leaf: leaf.clone(),
        closing: Closing::default(),
        wanted: Wanted { replicas: 1, reason: "least" },
        idle,
    };
    let models: Vec<Model> = picture.leaves.iter().map(model).collect();
    let sightings = Sightings::default();
    let rules = Rules { sightings: &sightings, guard: Duration::from_secs(10), batch: 200 };
    match rebalance(picture, &models, &rules, first) {
        Some(Decision::Revoke { grant, .. }) => Some(grant),
        _ => None,
    }
}

#[rstest]
#[case::an_idle_model(true, 0, true)]
#[case::a_model_in_use(false, 0, false)]
#[case::no_grant_left_to_look_at(true, 8, false)]
fn can_move_off_a_crowded_endpoint(#[case] idle: bool, #[case] first: usize, #[case] moves: bool) {
    assert_eq!(search(&picture(|_| 0), idle, first).is_some(), moves);
}

#[test]
fn can_leave_balanced_grants_where_they_are() {
    assert_eq!(search(&picture(|i| i % 4), true, 0), None);
}
