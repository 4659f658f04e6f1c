//! Tests of the table of returning callers.

use super::*;
use crate::tests::seconds;

/// Callers that return early would gain by it, and all of them would do so.
#[test]
fn only_a_caller_that_returns_when_told_is_recognized_and_only_once() {
    let now = Instant::now();
    let mut table = ReturnTable::default();
    table.promise(7, now + seconds(2.0), now);
    assert!(!table.recognize(&7, now + seconds(1.9)), "too early");
    assert!(table.recognize(&7, now + seconds(2.0)));
    assert!(!table.recognize(&7, now + seconds(2.1)), "recognized before");
    table.promise(8, now + seconds(2.0), now);
    assert!(!table.recognize(&8, now + seconds(7.1)), "too late");
    assert!(!table.recognize(&9, now + seconds(2.0)), "never refused");
}

/// A caller that is refused twice would be recognized at the first of two times.
#[test]
fn the_last_promise_to_a_caller_counts() {
    let now = Instant::now();
    let mut table = ReturnTable::default();
    table.promise(7, now + seconds(1.0), now);
    table.promise(7, now + seconds(3.0), now);
    assert!(!table.recognize(&7, now + seconds(1.5)));
    assert!(table.recognize(&7, now + seconds(3.0)));
}

/// The table would grow with each refusal.
#[test]
fn the_table_is_bounded_and_forgets_what_has_expired() {
    let now = Instant::now();
    let mut table = ReturnTable::default();
    for digest in 0..10_000 {
        table.promise(digest, now + seconds(1.0), now);
    }
    assert_eq!(table.len(), MAX_ENTRIES);
    assert_eq!(table.made.len(), MAX_ENTRIES);
    assert!(table.recognize(&9_999, now + seconds(1.0)));
    table.promise(1, now + seconds(8.0), now + seconds(7.0));
    assert_eq!((table.len(), table.is_empty()), (1, false));
}
