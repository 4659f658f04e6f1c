//! Tests of the choice of mirrors.

use std::collections::{BTreeMap, BTreeSet};

use rstest::rstest;

use super::*;

fn endpoints(count: usize) -> Vec<EndpointId> {
    (0..count).map(|number| format!("i-{number}").parse().expect("an id")).collect()
}

fn hall() -> Domain {
    "hall".parse().expect("a name")
}

#[rstest]
#[case::small(3, 4, 0)]
#[case::grown(29, 4, 0)]
#[case::just_enough(48, 4, 1)]
#[case::fleet(384, 6, 1)]
#[case::twice_the_fleet(768, 6, 2)]
fn mirrors_grow_with_the_followers_of_a_domain(
    #[case] followers: u32,
    #[case] domains: u32,
    #[case] expected: u32,
) {
    assert_eq!(Fleet { followers, domains }.mirrors(), expected);
}

/// All processes of a fleet start together: until the followers were counted, each of them read the store itself.
#[rstest]
#[case::fleet_before_the_count(1, 598, 6, 1)]
#[case::fleet_after_the_count(384, 0, 6, 1)]
#[case::small_before_the_count(1, 57, 3, 0)]
#[case::few_followers_after_the_count(3, 0, 6, 0)]
fn mirrors_are_used_before_all_followers_are_counted(
    #[case] counted: u32,
    #[case] loaders: usize,
    #[case] domains: usize,
    #[case] expected: u32,
) {
    assert_eq!(Fleet::estimate(counted, loaders, domains).mirrors(), expected);
}

#[test]
fn followers_share_the_regular_mirrors_evenly_and_know_spare_ones() {
    let (all, fleet) = (endpoints(200), Fleet { followers: 256, domains: 1 });
    let mut first: BTreeMap<EndpointId, u32> = BTreeMap::new();
    let mut known = BTreeSet::new();
    for number in 0..256 {
        let ranked = rank(&format!("front-{number}"), &hall(), fleet, all.iter());
        *first.entry(ranked[0].clone()).or_default() += 1;
        known.extend(ranked);
    }
    assert_eq!(first.len(), 4);
    assert!(first.values().all(|followers| (32..=96).contains(followers)), "{first:?}");
    assert_eq!(known.len(), 4 + SPARE_MIRRORS);
}

#[test]
fn a_candidate_that_goes_moves_only_its_own_followers() {
    let (all, fleet) = (endpoints(100), Fleet { followers: 64, domains: 1 });
    let before = rank("front-1", &hall(), fleet, all.iter());
    let without =
        |gone: &EndpointId| rank("front-1", &hall(), fleet, all.iter().filter(|id| *id != gone));
    assert_eq!(without(&before[0])[..SPARE_MIRRORS], before[1..]);
    let unused = all.iter().find(|id| !before.contains(id)).expect("an endpoint");
    assert_eq!(without(unused), before);
}

#[test]
fn there_may_be_fewer_candidates_than_mirrors() {
    let fleet = Fleet { followers: 640, domains: 1 };
    assert_eq!(rank("front-1", &hall(), fleet, endpoints(2).iter()).len(), 2);
    assert_eq!(rank("front-1", &hall(), fleet, [].iter()), []);
}
