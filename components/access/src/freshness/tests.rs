//! Tests of the proof.

use proptest::prelude::*;

use super::*;

const BOUND: Duration = Duration::from_secs(5);

#[test]
fn nothing_holds_before_the_first_read() {
    assert!(!Freshness::default().is_fresh(Moment::now(), BOUND));
    assert!(!Freshness::default().covers(Moment::now()));
}

#[test]
fn an_answer_that_comes_late_proves_nothing_of_its_own_moment() {
    let sent = Moment::now();
    let mut proof = Freshness::default();
    proof.record_read(sent);
    assert!(proof.is_fresh(sent + Duration::from_secs(4), BOUND));
    assert!(!proof.is_fresh(sent + BOUND, BOUND));
}

#[test]
fn the_word_of_another_router_is_as_old_as_its_proof_and_the_way() {
    let sent = Moment::now();
    let mut proof = Freshness::default();
    proof.record_peer_read(sent, Duration::from_secs(3));
    let answered = sent + Duration::from_millis(400);
    assert_eq!(proof.age(answered), Some(Duration::from_millis(3_400)));
}

proptest! {
    /// The store takes versions at moments that nobody knows; a read sees those taken before it was looked at, which is
    /// somewhere between its sending and its answer. Whatever the order of the answers: a key that is served was not
    /// taken away longer ago than the bound.
    #[test]
    fn no_key_is_served_longer_than_the_bound(
        reads in proptest::collection::vec((0_u64..20_000, 0_u64..4_000, 0_u64..4_000), 1..20),
        revoked in 0_u64..20_000,
        served in 0_u64..30_000,
    ) {
        let start = Moment::now();
        let at = |ms: u64| start + Duration::from_millis(ms);
        let mut proof = Freshness::default();
        let mut known = false;
        for (sent, to, back) in reads {
            let (looked, answered) = (sent + to, sent + to + back);
            if answered <= served {
                proof.record_read(at(sent));
                known |= looked >= revoked;
            }
        }
        let lets_in = !known && proof.is_fresh(at(served), BOUND);
        prop_assert!(!lets_in || served <= revoked + 5_000);
    }
}
