use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use edge::InstanceState;
use policy::{Closing, Wanted};
use record::Decision;
use rstest::rstest;
use state::{Grant, Member};
use tokio::time::Instant;
use tree::Leaf;
use units::{Epoch, Size};

use super::{Rules, decide};
use crate::membership::Sightings;
use crate::picture::{Model, Picture};
use crate::sample::{domain, grant, leaf as model, listed, member};

const GUARD: Duration = Duration::from_secs(10);
const BATCH: usize = 200;

fn picture(models: &[Leaf], members: Vec<Member>, grants: Vec<Grant>) -> Picture {
    let leaves = models.iter().cloned().map(Arc::new).collect();
    Picture { epoch: Epoch(1), leaves, members, grants }
}

/// A model of which the least is wanted.
fn least(leaf: &Arc<Leaf>) -> Model {
    let replicas = leaf.settings.replicas_least;
    let wanted = Wanted { replicas, reason: "least" };
    Model { leaf: leaf.clone(), closing: Closing::default(), wanted, idle: true }
}

fn round(picture: &Picture, sightings: &Sightings, batch: usize) -> Vec<Decision> {
    let rules = Rules { sightings, guard: GUARD, batch };
    let models: Vec<Model> = picture.leaves.iter().map(least).collect();
    decide(picture, &models, &rules).decisions
}

fn decisions(picture: &Picture) -> Vec<Decision> {
    round(picture, &Sightings::default(), BATCH)
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
fn can_grant_the_least_of_every_model_and_spread_them() {
    let models: Vec<Leaf> = (0..70).map(|i| model(&format!("m{i}"), 2, 3)).collect();
    let all = decisions(&picture(&models, (0..12).map(member).collect(), vec![]));
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
fn can_bound_a_round() {
    let models: Vec<Leaf> = (0..230).map(|i| model(&format!("m{i}"), 1, 1)).collect();
    let picture = picture(&models, (0..12).map(member).collect(), vec![]);
    assert_eq!(round(&picture, &Sightings::default(), BATCH).len(), BATCH);
}

#[test]
fn can_leave_settled_models_alone() {
    let leaf = model("m", 2, 3);
    let grants = vec![grant(&leaf, 0, 0), grant(&leaf, 1, 1)];
    assert_eq!(decisions(&picture(&[leaf], (0..4).map(member).collect(), grants)), vec![]);
}

#[rstest]
#[case::more_than_wanted(model("m", 1, 3), vec![1, 2])]
#[case::bound_shrinks(model("m", 1, 1), vec![1, 2])]
#[case::nothing_wanted(model("m", 0, 3), vec![0, 1, 2])]
fn can_revoke_what_is_too_much(#[case] leaf: Leaf, #[case] parts: Vec<u32>) {
    let grants = (0..3).map(|i| grant(&leaf, i, i as usize)).collect();
    let all = decisions(&picture(&[leaf], (0..4).map(member).collect(), grants));
    assert_eq!(revoked(&all), parts);
    assert_eq!(granted(&all), vec![]);
}

#[test]
fn can_revoke_grants_of_removed_models() {
    let leaf = model("m", 1, 1);
    let all = decisions(&picture(&[], vec![member(0)], vec![grant(&leaf, 0, 0)]));
    assert_eq!(revoked(&all), vec![0]);
}

#[test]
fn can_wait_for_the_release_before_granting_again() {
    let leaf = model("m", 1, 1);
    let mut old = grant(&leaf, 0, 0);
    old.revoked = true;
    let all = decisions(&picture(&[leaf], (0..4).map(member).collect(), vec![old]));
    assert_eq!(all, vec![]);
}

/// Applies the decisions as agents that release at once would.
fn apply(picture: &mut Picture, decisions: &[Decision], number: &mut usize) {
    picture.grants.retain(|grant| !grant.revoked);
    for decision in decisions {
        match decision {
            Decision::Revoke { grant, .. } => {
                let found = picture.grants.iter_mut().find(|one| one.id == *grant);
                found.expect("a grant in force").revoked = true;
            }
            Decision::Grant { model, index, endpoint, .. } => {
                let leaf = picture.leaves.iter().find(|leaf| leaf.model == *model);
                let mut made = grant(leaf.expect("a model"), index.0, *number);
                *number += 1;
                made.endpoint = endpoint.clone();
                picture.grants.push(made);
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
fn can_roll_a_version_out_within_the_bound(
    #[case] least: u32,
    #[case] most: u32,
    #[case] kept: usize,
) {
    let mut leaf = model("m", least, most);
    let grants = (0..least).map(|i| grant(&leaf, i, i as usize)).collect();
    leaf.artifact = "m@v2".parse().expect("an artifact");
    let mut picture = picture(&[leaf.clone()], (0..8).map(member).collect(), grants);
    let mut number = 100;
    for _ in 0..20 {
        let all = decisions(&picture);
        apply(&mut picture, &all, &mut number);
        assert!(picture.grants.len() <= most as usize);
        let serving = picture.grants.iter().filter(|grant| !grant.revoked).count();
        assert!(serving >= kept, "{serving} grants are left");
        let places: HashSet<_> = picture.grants.iter().map(|grant| &grant.endpoint).collect();
        assert_eq!(places.len(), picture.grants.len());
    }
    assert_eq!(picture.grants.len(), least as usize);
    assert!(picture.grants.iter().all(|grant| grant.artifact == leaf.artifact));
}

#[rstest]
#[case::by_its_agent(true)]
#[case::by_the_list(false)]
fn can_move_off_a_leaving_endpoint(#[case] said: bool) {
    let leaf = model("m", 1, 2);
    let mut members: Vec<Member> = (0..4).map(member).collect();
    let mut sightings = Sightings::default();
    if said {
        members[0].leaving = true;
    } else {
        let mut list: Vec<_> = (0..4).map(listed).collect();
        list[0].state = InstanceState::Leaving;
        sightings.note(&members, &list, Instant::now());
    }
    let grants = vec![grant(&leaf, 0, 0)];
    let all = round(&picture(&[leaf], members, grants), &sightings, BATCH);
    assert_eq!(revoked(&all), vec![0]);
    let granted = granted(&all);
    assert_eq!(granted.len(), 1);
    assert_eq!(granted[0].1, 1);
    assert_ne!(granted[0].2, "engine-0");
}

#[test]
fn can_let_an_endpoint_go_that_left_and_released_all() {
    let leaf = model("m", 0, 1);
    let mut members: Vec<Member> = (0..3).map(member).collect();
    members[0].leaving = true;
    members[1].leaving = true;
    members[2].leaving = true;
    members[2].attach.memory = Size(0);
    let mut held = grant(&leaf, 0, 1);
    held.revoked = true;
    let all = decisions(&picture(&[leaf], members, vec![held]));
    assert_eq!(gone(&all), vec!["engine-0"], "1 still holds a grant, 2 is a plain service");
}

/// Readings that lack `lost` of the members for `seconds`, with agents that do not answer.
fn lose(members: &[Member], lost: usize, seconds: u64) -> Sightings {
    let list: Vec<_> = (lost..members.len()).map(listed).collect();
    let mut sightings = Sightings::default();
    let began = Instant::now();
    for second in 0..=seconds {
        let now = began + Duration::from_secs(second);
        sightings.note(members, &list, now);
        for suspect in sightings.suspects(members, GUARD, now) {
            sightings.note_answer(&suspect.endpoint, false, now);
        }
    }
    sightings
}

#[test]
fn can_grant_one_more_while_an_endpoint_is_silent_but_only_within_the_bound() {
    let (one, two) = (model("one", 1, 1), model("two", 1, 2));
    let members: Vec<Member> = (0..4).map(member).collect();
    let sightings = lose(&members, 1, 6);
    let mut grants = vec![grant(&one, 0, 0), grant(&two, 0, 0)];
    grants[1].id.part = 1;
    let all = round(&picture(&[one, two], members, grants), &sightings, BATCH);
    assert_eq!(all.len(), 1);
    assert_eq!(granted(&all)[0].0, "two");
    assert_eq!(granted(&all)[0].1, 1);
}

#[test]
fn can_drop_a_lost_endpoint_and_grant_elsewhere_in_one_round() {
    let leaf = model("m", 1, 1);
    let members: Vec<Member> = (0..4).map(member).collect();
    let sightings = lose(&members, 1, 10);
    let grants = vec![grant(&leaf, 0, 0)];
    let all = round(&picture(&[leaf], members, grants), &sightings, BATCH);
    assert_eq!(gone(&all), vec!["engine-0"]);
    assert_eq!(granted(&all).len(), 1);
    assert_eq!(granted(&all)[0].1, 0);
}

#[test]
fn can_share_a_round_between_lost_endpoints_and_new_grants() {
    let models: Vec<Leaf> = (0..30).map(|i| model(&format!("m{i}"), 1, 1)).collect();
    let members: Vec<Member> = (0..60).map(member).collect();
    let sightings = lose(&members, 30, 20);
    let all = round(&picture(&models, members, vec![]), &sightings, 20);
    assert_eq!(gone(&all).len(), 10);
    assert_eq!(granted(&all).len(), 10);
}
