//! Tests of the selection of coordinators.

use std::collections::{BTreeSet, HashMap};

use super::*;

fn routers(count: u8) -> Vec<SocketAddr> {
    (0..count).map(|at| SocketAddr::from(([10, 0, 0, at], 8_144))).collect()
}

// A router that picks another coordinator than the router that refused the caller finds no promise.
#[test]
fn all_routers_select_the_same_coordinators() {
    let mut all = routers(31);
    let before = Coordinators::new("w", all.clone(), 4);
    all.reverse();
    assert_eq!(Coordinators::new("w", all, 4), before);
}

#[test]
fn each_share_has_one_coordinator() {
    let coordinators = Coordinators::new("w", routers(31), 4);
    let mut seen = BTreeSet::new();
    let mut heads = 0;
    for addr in routers(31) {
        let members = coordinators.members(addr);
        heads += usize::from(!members.is_empty());
        assert!(members.is_empty() || (6..=7).contains(&members.len()), "{members:?}");
        for member in members {
            assert!(seen.insert(member), "{member} has two coordinators");
        }
    }
    assert_eq!((heads, seen.len()), (4, 27));
}

// With two coordinators of three routers, one has twice the share of the other.
#[test]
fn coordinators_get_requests_in_proportion_to_their_shares() {
    let coordinators = Coordinators::new("w", routers(3), 2);
    let mut counts: HashMap<SocketAddr, u32> = HashMap::new();
    for fingerprint in 0..3_000 {
        *counts.entry(coordinators.responsible(fingerprint).expect("a router")).or_default() += 1;
    }
    for (addr, count) in counts {
        let shares = 1 + u32::try_from(coordinators.members(addr).len()).expect("few");
        assert!((count / shares).abs_diff(1_000) < 100, "{addr}: {count} of 3000");
    }
}

#[test]
fn a_router_that_leaves_moves_the_requests_of_its_share_only() {
    let (before, after) = (routers(31), routers(30));
    let before = Coordinators::new("w", before, 31);
    let after = Coordinators::new("w", after, 30);
    let moved = (0..3_100)
        .filter(|fingerprint| before.responsible(*fingerprint) != after.responsible(*fingerprint));
    assert!((60..150).contains(&moved.count()));
}

#[test]
fn a_limit_of_few_requests_has_one_coordinator() {
    let bucket = |capacity| BucketSpec { refill_rate: 100.0, capacity };
    assert_eq!(coordinator_count(bucket(100.0), 1_000.0), 1);
    assert_eq!(coordinator_count(bucket(64_000.0), 1_000.0), 2);
    assert_eq!(coordinator_count(bucket(64_000.0), 0.0), 2_000);
}

#[test]
fn fingerprints_depend_on_the_boundaries_of_parts() {
    assert_ne!(fingerprint(&[b"ab", b"c"]), fingerprint(&[b"a", b"bc"]));
    assert_eq!(fingerprint(&[b"ab", b"c"]), fingerprint(&[b"ab", b"c"]));
}
