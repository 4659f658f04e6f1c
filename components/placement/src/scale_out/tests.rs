//! Tests of one more holder.

use super::*;
use crate::fixture::{Site, engine};

const TARGET: Duration = Duration::from_millis(400);

fn id(text: &str) -> ModelId {
    text.parse().expect("an id")
}

/// Endpoints of which the first so many hold the model `a`, all with a copy of it.
fn site(count: usize, holders: usize) -> Site {
    let mut site = Site::new(count);
    (0..count).for_each(|index| site.copy(index, "a"));
    (0..holders).for_each(|index| site.hold(index, "a", &[]));
    site
}

fn decide(site: &Site, asked: &[bool], needed: usize, expect: Duration) -> Option<usize> {
    let model = id("a");
    let served = ChosenEndpoint { index: 0, first_event: expect };
    let holders = ReplicaStatus { model: &model, asked, needed, served, target: TARGET };
    scale_out(&site.candidates(), &engine(), &holders).map(|wake| wake.index)
}

#[test]
fn a_model_with_enough_holders_that_are_in_time_gets_no_more() {
    assert_eq!(decide(&site(4, 2), &[false; 4], 2, TARGET / 4), None);
}

#[test]
fn a_model_that_needs_more_holders_or_whose_holders_are_late_gets_one() {
    for (needed, expect) in [(3, TARGET / 4), (2, TARGET)] {
        let more = decide(&site(4, 2), &[false; 4], needed, expect).expect("one more");
        assert!(more >= 2, "not one that holds it");
    }
}

#[test]
fn one_that_was_asked_counts_as_there() {
    let asked = [false, false, true, false];
    assert_eq!(decide(&site(4, 2), &asked, 3, TARGET), None);
    assert_eq!(decide(&site(4, 2), &asked, 4, TARGET), Some(3));
}

/// The same decision, written down as its rules are told.
fn naive(site: &Site, asked: &[bool], needed: usize, expect: Duration) -> bool {
    let candidates = site.candidates();
    let (mut held, mut coming, mut free) = (0, 0, 0);
    for (one, asked) in candidates.iter().zip(asked) {
        let holdings = one.holdings.expect("models");
        if holdings.holds(&id("a").model) {
            held += 1;
        } else if *asked {
            coming += 1;
        } else if one.can_load {
            free += 1;
        }
    }
    let late = if memory_scarce(&candidates) {
        candidates[0].fill() > MAX_MODEL_SLOT_SHARE
    } else {
        expect > TARGET / 2
    };
    free > 0 && (held + coming < needed || (late && coming == 0))
}

proptest::proptest! {
    #[test]
    fn decides_as_the_rules_say(
        count in 1_usize..8,
        holders in 1_usize..8,
        asked in proptest::collection::vec(proptest::bool::ANY, 8),
        able in proptest::collection::vec(proptest::bool::ANY, 8),
        needed in 0_usize..9,
        expect in 0_u64..800,
        total in 0_u32..70,
    ) {
        let mut site = site(count, holders.min(count));
        site.able.copy_from_slice(&able[..count]);
        site.total[0] = total;
        let (asked, expect) = (&asked[..count], Duration::from_millis(expect));
        let more = decide(&site, asked, needed, expect);
        proptest::prop_assert_eq!(more.is_some(), naive(&site, asked, needed, expect));
        if let Some(index) = more {
            proptest::prop_assert!(index >= holders.min(count) && !asked[index]);
        }
    }
}
