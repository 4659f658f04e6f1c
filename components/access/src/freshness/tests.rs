//! Tests of the freshness of reads.

use proptest::prelude::*;

use super::*;

const BOUND: Duration = Duration::from_secs(5);

#[test]
fn nothing_is_fresh_before_the_first_read() {
    assert!(!Freshness::default().is_fresh(Moment::now(), BOUND));
    assert!(!Freshness::default().covers(Moment::now()));
}

#[test]
fn the_age_of_a_read_counts_from_its_sending() {
    let sent = Moment::now();
    let mut freshness = Freshness::default();
    freshness.record_read(sent);
    assert!(freshness.is_fresh(sent + Duration::from_secs(4), BOUND));
    assert!(!freshness.is_fresh(sent + BOUND, BOUND));
}

#[test]
fn the_answer_of_another_router_is_as_old_as_its_read_and_the_round_trip() {
    let sent = Moment::now();
    let mut freshness = Freshness::default();
    freshness.record_peer_read(sent, Duration::from_secs(3));
    let answered = sent + Duration::from_millis(400);
    assert_eq!(freshness.age(answered), Some(Duration::from_millis(3_400)));
}

proptest! {
    /// The store accepts versions at moments that no router knows. A read returns the versions accepted before the store looked
    /// its data up, which happens at some point between sending and answer. Whatever the order of the answers, a key that is
    /// served was revoked no longer ago than the bound.
    #[test]
    fn no_key_is_served_longer_than_the_bound(
        reads in proptest::collection::vec((0_u64..20_000, 0_u64..4_000, 0_u64..4_000), 1..20),
        revoked in 0_u64..20_000,
        served in 0_u64..30_000,
    ) {
        let start = Moment::now();
        let at = |ms: u64| start + Duration::from_millis(ms);
        let mut freshness = Freshness::default();
        let mut known = false;
        for (sent, to, back) in reads {
            let (looked_up, answered) = (sent + to, sent + to + back);
            if answered <= served {
                freshness.record_read(at(sent));
                known |= looked_up >= revoked;
            }
        }
        let admitted = !known && freshness.is_fresh(at(served), BOUND);
        prop_assert!(!admitted || served <= revoked + 5_000);
    }
}
