use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use edge::InstanceState;
use policy::{ClosingDemand, ReplicaTarget};
use record::Decision;
use rstest::rstest;
use state::{Grant, Member};
use tokio::time::Instant;
use tree::Leaf;
use units::{Epoch, Size};

use super::{Rules, decide};
use crate::membership::Observations;
use crate::round_input::{Model, RoundInput};
use crate::sample::{domain, grant, leaf as model, listed, member};

const ABSENCE_TIMEOUT: Duration = Duration::from_secs(10);
const BATCH: usize = 200;

fn input(models: &[Leaf], members: Vec<Member>, grants: Vec<Grant>) -> RoundInput {
    let leaves = models.iter().cloned().map(Arc::new).collect();
    RoundInput { epoch: Epoch(1), leaves, members, grants }
}

/// A model whose target is its minimum number of replicas.
fn with_minimum(leaf: &Arc<Leaf>) -> Model {
    let replicas = leaf.settings.replicas_least;
    let target = ReplicaTarget { replicas, reason: "least" };
    Model { leaf: leaf.clone(), closing: ClosingDemand::default(), target, idle: true }
}

fn round(input: &RoundInput, observations: &Observations, max_decisions: usize) -> Vec<Decision> {
    let rules = Rules { observations, absence_timeout: ABSENCE_TIMEOUT, max_decisions };
    let models: Vec<Model> = input.leaves.iter().map(with_minimum).collect();
    decide(input, &models, &rules).decisions
}

fn decisions(input: &RoundInput) -> Vec<Decision> {
    round(input, &Observations::default(), BATCH)
}

fn granted(decisions: &[Decision]) -> Vec<(String, u32, String)> {
    let found = decisions.iter().filter_map(|decision| match decision {
        Decision::Grant { model, index, endpoint, .. } => {
            Some((model.to_string(), index.0, endpoint.to_string()))
        }
        _ => None,
    });
    found.collect()
}

fn revoked(decisions: &[Decision]) -> Vec<u32> {
    let found = decisions.iter().filter_map(|decision| match decision {
        Decision::Revoke { grant, .. } => Some(grant.part),
        _ => None,
    });
    found.collect()
}

fn gone(decisions: &[Decision]) -> Vec<String> {
    let found = decisions.iter().filter_map(|decision| match decision {
        Decision::Gone { endpoint, .. } => Some(endpoint.to_string()),
        _ => None,
    });
    found.collect()
}

#[test]
fn every_model_gets_its_minimum_of_replicas_spread_over_domains_and_endpoints() {
    let models: Vec<Leaf> = (0..70).map(|i| model(&format!("m{i}"), 2, 3)).collect();
    let all = decisions(&input(&models, (0..12).map(member).collect(), vec![]));
    assert_eq!(all.len(), 140);
    for leaf in &models {
        let places: Vec<usize> = granted(&all)
            .iter()
            .filter(|(name, ..)| *name == leaf.model.as_str())
            .map(|(.., endpoint)| endpoint["engine-".len()..].parse().expect("a number"))
            .collect();
        assert_ne!(domain(places[0]), domain(places[1]));
    }
    let counts = (0..12).map(|i| {
        let name = format!("engine-{i}");
        granted(&all).iter().filter(|(.., endpoint)| *endpoint == name).count()
    });
    assert!(counts.clone().max() <= Some(13) && counts.min() >= Some(10));
}

#[test]
fn a_round_has_a_bounded_number_of_decisions() {
    let models: Vec<Leaf> = (0..230).map(|i| model(&format!("m{i}"), 1, 1)).collect();
    let input = input(&models, (0..12).map(member).collect(), vec![]);
    assert_eq!(round(&input, &Observations::default(), BATCH).len(), BATCH);
}

#[test]
fn models_with_their_target_of_replicas_cause_no_decision() {
    let leaf = model("m", 2, 3);
    let grants = vec![grant(&leaf, 0, 0), grant(&leaf, 1, 1)];
    assert_eq!(decisions(&input(&[leaf], (0..4).map(member).collect(), grants)), vec![]);
}

#[rstest]
#[case::more_than_wanted(model("m", 1, 3), vec![1, 2])]
#[case::bound_shrinks(model("m", 1, 1), vec![1, 2])]
#[case::nothing_wanted(model("m", 0, 3), vec![0, 1, 2])]
fn surplus_grants_are_revoked(#[case] leaf: Leaf, #[case] parts: Vec<u32>) {
    let grants = (0..3).map(|i| grant(&leaf, i, i as usize)).collect();
    let all = decisions(&input(&[leaf], (0..4).map(member).collect(), grants));
    assert_eq!(revoked(&all), parts);
    assert_eq!(granted(&all), vec![]);
}

#[test]
fn grants_of_removed_models_are_revoked() {
    let leaf = model("m", 1, 1);
    let all = decisions(&input(&[], vec![member(0)], vec![grant(&leaf, 0, 0)]));
    assert_eq!(revoked(&all), vec![0]);
}

#[test]
fn a_replica_is_granted_again_only_after_its_release() {
    let leaf = model("m", 1, 1);
    let mut old = grant(&leaf, 0, 0);
    old.revoked = true;
    let all = decisions(&input(&[leaf], (0..4).map(member).collect(), vec![old]));
    assert_eq!(all, vec![]);
}

/// Applies the decisions, with agents that release revoked grants at once.
fn apply(input: &mut RoundInput, decisions: &[Decision], number: &mut usize) {
    input.grants.retain(|grant| !grant.revoked);
    for decision in decisions {
        match decision {
            Decision::Revoke { grant, .. } => {
                let found = input.grants.iter_mut().find(|one| one.id == *grant);
                found.expect("a grant in force").revoked = true;
            }
            Decision::Grant { model, index, endpoint, .. } => {
                let leaf = input.leaves.iter().find(|leaf| leaf.model == *model);
                let mut made = grant(leaf.expect("a model"), index.0, *number);
                *number += 1;
                made.endpoint = endpoint.clone();
                input.grants.push(made);
            }
            Decision::Gone { .. } => {}
        }
    }
}

#[rstest]
#[case::single(1, 1, 0)]
#[case::pair(2, 2, 1)]
#[case::with_room(1, 2, 1)]
#[case::many(4, 5, 2)]
fn a_version_rolls_out_within_the_maximum_of_replicas(
    #[case] least: u32,
    #[case] most: u32,
    #[case] kept: usize,
) {
    let mut leaf = model("m", least, most);
    let grants = (0..least).map(|i| grant(&leaf, i, i as usize)).collect();
    leaf.artifact = "m@v2".parse().expect("an artifact");
    let mut input = input(&[leaf.clone()], (0..8).map(member).collect(), grants);
    let mut number = 100;
    for _ in 0..20 {
        let all = decisions(&input);
        apply(&mut input, &all, &mut number);
        assert!(input.grants.len() <= most as usize);
        let serving = input.grants.iter().filter(|grant| !grant.revoked).count();
        assert!(serving >= kept, "only {serving} grants are left");
        let places: HashSet<_> = input.grants.iter().map(|grant| &grant.endpoint).collect();
        assert_eq!(places.len(), input.grants.len());
    }
    assert_eq!(input.grants.len(), least as usize);
    assert!(input.grants.iter().all(|grant| grant.artifact == leaf.artifact));
}

#[rstest]
#[case::by_its_agent(true)]
#[case::by_the_list(false)]
fn a_grant_moves_off_a_leaving_endpoint(#[case] announced: bool) {
    let leaf = model("m", 1, 2);
    let mut members: Vec<Member> = (0..4).map(member).collect();
    let mut observations = Observations::default();
    if announced {
        members[0].leaving = true;
    } else {
        let mut list: Vec<_> = (0..4).map(listed).collect();
        list[0].state = InstanceState::Leaving;
        observations.record_list(&members, &list, Instant::now());
    }
    let grants = vec![grant(&leaf, 0, 0)];
    let all = round(&input(&[leaf], members, grants), &observations, BATCH);
    assert_eq!(revoked(&all), vec![0]);
    let granted = granted(&all);
    assert_eq!(granted.len(), 1);
    assert_eq!(granted[0].1, 1);
    assert_ne!(granted[0].2, "engine-0");
}

#[test]
fn an_endpoint_that_left_and_released_all_grants_is_gone() {
    let leaf = model("m", 0, 1);
    let mut members: Vec<Member> = (0..3).map(member).collect();
    members[0].leaving = true;
    members[1].leaving = true;
    members[2].leaving = true;
    members[2].attach.memory = Size(0);
    let mut held = grant(&leaf, 0, 1);
    held.revoked = true;
    let all = decisions(&input(&[leaf], members, vec![held]));
    assert_eq!(gone(&all), vec!["engine-0"], "1 still holds a grant, 2 is a plain service");
}

/// Observations after `seconds` in which the list lacks the first `lost` members and their agents do not answer.
fn lose(members: &[Member], lost: usize, seconds: u64) -> Observations {
    let list: Vec<_> = (lost..members.len()).map(listed).collect();
    let mut observations = Observations::default();
    let began = Instant::now();
    for second in 0..=seconds {
        let now = began + Duration::from_secs(second);
        observations.record_list(members, &list, now);
        for target in observations.due_probes(members, ABSENCE_TIMEOUT, now) {
            observations.record_probe(&target.endpoint, false, now);
        }
    }
    observations
}

#[test]
fn an_unresponsive_endpoint_is_covered_by_another_grant_within_the_maximum() {
    let (one, two) = (model("one", 1, 1), model("two", 1, 2));
    let members: Vec<Member> = (0..4).map(member).collect();
    let observations = lose(&members, 1, 6);
    let mut grants = vec![grant(&one, 0, 0), grant(&two, 0, 0)];
    grants[1].id.part = 1;
    let all = round(&input(&[one, two], members, grants), &observations, BATCH);
    assert_eq!(all.len(), 1);
    assert_eq!(granted(&all)[0].0, "two");
    assert_eq!(granted(&all)[0].1, 1);
}

#[test]
fn one_round_removes_a_lost_endpoint_and_grants_its_replica_elsewhere() {
    let leaf = model("m", 1, 1);
    let members: Vec<Member> = (0..4).map(member).collect();
    let observations = lose(&members, 1, 10);
    let grants = vec![grant(&leaf, 0, 0)];
    let all = round(&input(&[leaf], members, grants), &observations, BATCH);
    assert_eq!(gone(&all), vec!["engine-0"]);
    assert_eq!(granted(&all).len(), 1);
    assert_eq!(granted(&all)[0].1, 0);
}

#[test]
fn a_round_has_room_for_both_lost_endpoints_and_new_grants() {
    let models: Vec<Leaf> = (0..30).map(|i| model(&format!("m{i}"), 1, 1)).collect();
    let members: Vec<Member> = (0..60).map(member).collect();
    let observations = lose(&members, 30, 20);
    let all = round(&input(&models, members, vec![]), &observations, 20);
    assert_eq!(gone(&all).len(), 10);
    assert_eq!(granted(&all).len(), 10);
}
