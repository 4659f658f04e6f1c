use super::ProvenParts;
use crate::Digest;

fn digest(number: usize) -> Digest {
    Digest::of(&[&number.to_be_bytes()])
}

#[test]
fn digests_that_are_added_again_stay_and_the_number_is_bounded() {
    let mut parts = ProvenParts::default();
    for number in 1..=5 * ProvenParts::MAX_DIGESTS {
        parts.insert(digest(number));
        parts.insert(digest(0));
        assert!(parts.recent.len() <= ProvenParts::MAX_DIGESTS);
        assert!(parts.older.len() <= ProvenParts::MAX_DIGESTS);
    }
    assert!(parts.contains(&digest(0)));
    assert!(parts.contains(&digest(5 * ProvenParts::MAX_DIGESTS)));
    assert!(!parts.contains(&digest(1)));
}
