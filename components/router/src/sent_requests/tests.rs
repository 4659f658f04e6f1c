use std::collections::BTreeSet;
use std::time::Duration;

use quarantine::Digest;
use tokio::time::Instant;

use super::{LATELY, SentRequests, YOUNG};

fn digest(name: &str) -> Digest {
    Digest::of(&[name.as_bytes()])
}

#[test]
fn what_is_at_work_or_was_cut_just_now_may_be_to_blame() {
    let now = Instant::now();
    let mut runs = SentRequests::default();
    let cut = runs.begin(digest("cut"));
    let whole = runs.begin(digest("whole"));
    runs.begin(digest("running"));
    runs.answer_began(cut, now);
    runs.end(cut, false, now);
    runs.end(whole, true, now);
    assert_eq!(runs.crash_candidates(now), BTreeSet::from([digest("cut"), digest("running")]));
    assert!(runs.is_candidate(&digest("cut"), now));
    assert!(!runs.is_candidate(&digest("whole"), now));
    assert_eq!(runs.crash_candidates(now + LATELY), BTreeSet::from([digest("running")]));
}

#[test]
fn what_has_answered_for_long_is_not_to_blame() {
    let now = Instant::now();
    let mut runs = SentRequests::default();
    let (old, silent) = (runs.begin(digest("old")), runs.begin(digest("silent")));
    runs.answer_began(old, now);
    // A second piece of its answer does not make it younger.
    runs.answer_began(old, now + Duration::from_secs(2));
    let later = now + YOUNG;
    runs.end(old, false, later);
    runs.end(silent, false, later);
    assert_eq!(runs.crash_candidates(later), BTreeSet::from([digest("silent")]));
}

#[test]
fn what_an_endpoint_cut_that_has_not_ended_is_forgotten() {
    let now = Instant::now();
    let mut runs = SentRequests::default();
    let cut = runs.begin(digest("cut"));
    runs.end(cut, false, now);
    assert!(runs.begin_examination());
    assert!(!runs.begin_examination());
    runs.clear_candidates();
    assert!(runs.crash_candidates(now).is_empty());
    assert!(runs.begin_examination());
}
