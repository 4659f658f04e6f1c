use std::collections::BTreeSet;
use std::time::Duration;

use quarantine::Digest;
use tokio::time::Instant;

use super::{LATELY, Runs, YOUNG};

fn digest(name: &str) -> Digest {
    Digest::of(&[name.as_bytes()])
}

#[test]
fn what_is_at_work_or_was_cut_just_now_may_be_to_blame() {
    let now = Instant::now();
    let mut runs = Runs::default();
    let cut = runs.begin(digest("cut"));
    let whole = runs.begin(digest("whole"));
    runs.begin(digest("running"));
    runs.begun(cut, now);
    runs.end(cut, false, now);
    runs.end(whole, true, now);
    assert_eq!(runs.young(now), BTreeSet::from([digest("cut"), digest("running")]));
    assert!(runs.has(&digest("cut"), now));
    assert!(!runs.has(&digest("whole"), now));
    assert_eq!(runs.young(now + LATELY), BTreeSet::from([digest("running")]));
}

#[test]
fn what_has_answered_for_long_is_not_to_blame() {
    let now = Instant::now();
    let mut runs = Runs::default();
    let (old, silent) = (runs.begin(digest("old")), runs.begin(digest("silent")));
    runs.begun(old, now);
    // A second piece of its answer does not make it younger.
    runs.begun(old, now + Duration::from_secs(2));
    let later = now + YOUNG;
    runs.end(old, false, later);
    runs.end(silent, false, later);
    assert_eq!(runs.young(later), BTreeSet::from([digest("silent")]));
}

#[test]
fn what_an_endpoint_cut_that_has_not_ended_is_forgotten() {
    let now = Instant::now();
    let mut runs = Runs::default();
    let cut = runs.begin(digest("cut"));
    runs.end(cut, false, now);
    assert!(runs.examine());
    assert!(!runs.examine());
    runs.acquit();
    assert!(runs.young(now).is_empty());
    assert!(runs.examine());
}
