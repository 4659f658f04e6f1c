use super::Fingerprint;
use crate::Digest;

fn fingerprint(caller: &str, parts: &[&str]) -> Fingerprint {
    Fingerprint::new(
        Digest::of(&[b"request"]),
        Digest::of(&[caller.as_bytes()]),
        parts.iter().copied(),
    )
}

#[test]
fn parts_are_the_same_whatever_their_case_and_number() {
    let once = fingerprint("a", &["5c1e07a2", "bad0"]);
    assert_eq!(once, fingerprint("a", &["5C1E07A2", "5c1e07a2", "BaD0", "bad0"]));
}

#[test]
fn a_part_has_the_same_digest_whoever_sends_it() {
    let (one, other) = (fingerprint("a", &["bad0"]), fingerprint("b", &["bad0"]));
    assert_eq!(one.parts, other.parts);
    assert_ne!(one.caller, other.caller);
}

#[test]
fn no_part_has_the_digest_of_a_request() {
    let part = fingerprint("a", &["bad0"]).parts.remove(0);
    assert_ne!(part.digest, Digest::of(&[b"shop.example", b"a", b"POST", b"/x", b"bad0"]));
}
