//! Tests of the priorities seen lately.

use super::*;

#[test]
fn lower_priorities_are_recognized_while_a_higher_one_was_seen_lately() {
    let (mut recent, start) = (RecentPriority::default(), Moment::now());
    let at = |seconds| start + Duration::from_secs(seconds);
    assert!(recent.record(3, at(0)));
    assert!(recent.record(1, at(1)));
    assert!(!recent.record(3, at(2)));
    assert!(!recent.record(3, at(12)));
    // The higher priority was last seen more than twenty seconds ago.
    assert!(recent.record(3, at(23)));
}

// A workspace that was idle must not keep a part of its bucket for requests of long ago.
#[test]
fn priorities_of_long_ago_do_not_count() {
    let (mut recent, start) = (RecentPriority::default(), Moment::now());
    assert!(recent.record(0, start));
    assert!(recent.record(5, start + Duration::from_secs(60)));
}
