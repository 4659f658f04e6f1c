use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use quarantine::{Digest, Fingerprint, UnixMillis};
use tokio::time::Instant;

use super::{CRASH_WINDOW, CUT_WINDOW, RunEnd, SOUND_AFTER, SentRequests};

fn digest(name: &str) -> Digest {
    Digest::of(&[name.as_bytes()])
}

fn fingerprint(name: &str) -> Arc<Fingerprint> {
    Arc::new(Fingerprint::new(digest(name), digest("caller"), []))
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

fn with_part(name: &str) -> Arc<Fingerprint> {
    Arc::new(Fingerprint::new(digest(name), digest("caller"), ["5c1e07a2"]))
}

fn survived(requests: &mut SentRequests, now: Instant, stall: Option<Instant>) -> Vec<Digest> {
    let survived = requests.take_survived(now, stall);
    survived.iter().map(|request| request.fingerprint.request).collect()
}

#[test]
fn an_endpoint_that_is_heard_from_half_a_second_after_an_answer_began_has_survived_the_request() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut requests = SentRequests::default();
    let (first, second) = (requests.begin(with_part("first")), requests.begin(with_part("second")));
    requests.data_began(first, UnixMillis(1), start);
    requests.data_began(second, UnixMillis(2), at(300));
    // Only the first data counts as the beginning.
    requests.data_began(first, UnixMillis(3), at(400));
    assert!(!requests.has_survived(at(499)));
    assert!(requests.has_survived(at(500)));
    assert_eq!(survived(&mut requests, at(500), None), [digest("first")]);
    // A short answer counts too, once the endpoint is heard from later.
    requests.end(second, RunEnd::Survived, at(350));
    assert_eq!(survived(&mut requests, at(900), None), [digest("second")]);
    assert_eq!(survived(&mut requests, at(2_000), None), []);
}

#[test]
fn a_request_that_was_cut_is_not_survived_even_if_the_endpoint_is_heard_from_again() {
    let start = Instant::now();
    let mut requests = SentRequests::default();
    for (name, end) in [("cut", RunEnd::Cut), ("ended", RunEnd::WithConnection)] {
        let id = requests.begin(with_part(name));
        requests.data_began(id, UnixMillis(1), start);
        requests.end(id, end, start + Duration::from_millis(100));
    }
    assert!(!requests.has_survived(start + Duration::from_secs(1)));
}

/// What a router reads after it was suspended may have been sent before its endpoint crashed.
#[test]
fn answers_that_began_before_the_router_was_suspended_show_nothing() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut requests = SentRequests::default();
    let (before, after) = (requests.begin(with_part("before")), requests.begin(with_part("after")));
    requests.data_began(before, UnixMillis(1), start);
    requests.data_began(after, UnixMillis(1), at(3_100));
    assert_eq!(survived(&mut requests, at(4_000), Some(at(3_000))), [digest("after")]);
}

#[test]
fn a_request_that_went_on_for_long_is_a_candidate_without_its_parts() {
    let start = Instant::now();
    let mut requests = SentRequests::default();
    let (old, young) = (requests.begin(with_part("old")), requests.begin(with_part("young")));
    requests.data_began(old, UnixMillis(1), start);
    let now = start + SOUND_AFTER;
    requests.data_began(young, UnixMillis(1), now);
    requests.end(old, RunEnd::Cut, now);
    let candidates = requests.crash_candidates(now);
    let is_sound = |name: &str| {
        let found = candidates.iter().find(|found| found.fingerprint.request == digest(name));
        found.expect("a candidate").is_sound
    };
    assert!(is_sound("old") && !is_sound("young"));
}
