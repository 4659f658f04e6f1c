use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use quarantine::{Digest, Fingerprint};
use tokio::time::Instant;

use super::{CRASH_WINDOW, CUT_WINDOW, RunEnd, SentRequests};

fn digest(name: &str) -> Digest {
    Digest::of(&[name.as_bytes()])
}

fn fingerprint(name: &str) -> Arc<Fingerprint> {
    Arc::new(Fingerprint::new(digest(name), b"caller", []))
}

fn crash_candidates(requests: &SentRequests, now: Instant) -> BTreeSet<Digest> {
    requests.crash_candidates(now).iter().map(|candidate| candidate.fingerprint.request).collect()
}

#[test]
fn running_and_recently_cut_requests_may_be_to_blame_for_a_crash() {
    let now = Instant::now();
    let mut requests = SentRequests::default();
    let cut = requests.begin(fingerprint("cut"));
    let whole = requests.begin(fingerprint("whole"));
    requests.begin(fingerprint("running"));
    requests.answer_began(cut, now);
    requests.end(cut, RunEnd::Cut, now);
    requests.end(whole, RunEnd::Survived, now);
    assert_eq!(
        crash_candidates(&requests, now),
        BTreeSet::from([digest("cut"), digest("running")])
    );
    assert!(requests.is_candidate(&digest("cut"), now));
    assert!(!requests.is_candidate(&digest("whole"), now));
    assert_eq!(crash_candidates(&requests, now + CUT_WINDOW), BTreeSet::from([digest("running")]));
}

#[test]
fn a_request_whose_answer_began_long_ago_is_not_to_blame() {
    let now = Instant::now();
    let mut requests = SentRequests::default();
    let (old, silent) = (requests.begin(fingerprint("old")), requests.begin(fingerprint("silent")));
    requests.answer_began(old, now);
    // Only the first piece of the answer counts as its beginning.
    requests.answer_began(old, now + Duration::from_secs(2));
    let later = now + CRASH_WINDOW;
    requests.end(old, RunEnd::Cut, later);
    requests.end(silent, RunEnd::Cut, later);
    assert_eq!(crash_candidates(&requests, later), BTreeSet::from([digest("silent")]));
}

#[test]
fn requests_cut_by_an_endpoint_that_has_not_crashed_are_forgotten() {
    let now = Instant::now();
    let mut requests = SentRequests::default();
    let cut = requests.begin(fingerprint("cut"));
    requests.end(cut, RunEnd::Cut, now);
    assert!(requests.begin_examination());
    assert!(!requests.begin_examination());
    requests.clear_candidates();
    assert!(crash_candidates(&requests, now).is_empty());
    assert!(requests.begin_examination());
}

#[test]
fn a_request_whose_answer_ended_with_its_connection_is_complete_if_the_endpoint_has_not_crashed() {
    let now = Instant::now();
    let mut requests = SentRequests::default();
    let (cut, ended) = (requests.begin(fingerprint("cut")), requests.begin(fingerprint("ended")));
    assert!(requests.end(cut, RunEnd::Cut, now));
    assert!(requests.end(ended, RunEnd::WithConnection, now));
    assert!(requests.is_candidate(&digest("ended"), now));
    assert_eq!(requests.clear_candidates(), [digest("ended")]);
}
