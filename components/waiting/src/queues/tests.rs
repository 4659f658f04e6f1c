//! Tests of all queues of a router together.

use super::*;
use crate::tests::{arrival, seconds};

fn entry(key: u8, digest: u64, left: f64, now: Instant) -> Entry<u8, u64> {
    Entry { key, digest, arrival: arrival("a", left, now) }
}

/// Without a new head, no request of the queue would search any more.
#[test]
fn when_the_searching_request_leaves_the_next_one_searches() {
    let now = Instant::now();
    let mut queues: Queues<u8, u64> = Queues::default();
    let first = queues.enter(entry(1, 1, 5.0, now), None, now).expect("accepted").id;
    let second = queues.enter(entry(1, 2, 6.0, now), None, now).expect("accepted").id;
    let turn = queues.update_turn(&1, now);
    assert_eq!(turn, Some(TurnChange { before: None, now: Some(first) }));
    assert_eq!(queues.update_turn(&1, now), None);
    queues.remove(&1, first, Departure::Lost, now);
    queues.remove(&1, first, Departure::Lost, now);
    let turn = queues.update_turn(&1, now);
    assert_eq!(turn, Some(TurnChange { before: None, now: Some(second) }));
    queues.remove(&1, second, Departure::Served, now);
    assert_eq!(queues.update_turn(&1, now), Some(TurnChange::default()));
    assert!(queues.is_empty(&1));
}

/// A more urgent request would wait behind the one that searches.
#[test]
fn a_request_that_goes_first_takes_over_the_search() {
    let now = Instant::now();
    let mut queues: Queues<u8, u64> = Queues::default();
    let first = queues.enter(entry(1, 1, 9.0, now), None, now).expect("accepted").id;
    queues.update_turn(&1, now);
    let urgent = queues.enter(entry(1, 2, 5.0, now), None, now).expect("accepted");
    assert_eq!((urgent.position, urgent.length), (0, 2));
    let turn = queues.update_turn(&1, now);
    assert_eq!(turn, Some(TurnChange { before: Some(first), now: Some(urgent.id) }));
}

/// A caller that did as it was told would wait behind all that arrived meanwhile.
#[test]
fn a_refused_caller_that_returns_when_told_goes_first() {
    let now = Instant::now();
    let mut queues: Queues<u8, u64> = Queues::default();
    let refused = queues.enter(entry(1, 1, 2.0, now), Some(seconds(4.0)), now);
    let after = refused.expect_err("not ready in time").after;
    queues.enter(entry(1, 2, 17.0, now), Some(seconds(4.0)), now).expect("accepted");
    let later = now + after;
    let early = queues.enter(entry(1, 1, 17.0, now), None, later - seconds(0.1));
    assert_eq!(early.expect("accepted").position, 1, "it gains nothing by returning early");
    let back = queues.enter(entry(1, 1, 17.0, later), None, later).expect("accepted");
    assert_eq!(back.position, 0);
}

/// Requests would begin to wait at a router that is about to end.
#[test]
fn a_stopping_router_accepts_no_more_waiting_requests() {
    let now = Instant::now();
    let mut queues: Queues<u8, u64> = Queues::default();
    queues.enter(entry(1, 1, 17.0, now), Some(seconds(4.0)), now).expect("accepted");
    queues.enter(entry(2, 2, 17.0, now), None, now).expect("accepted");
    let removed = queues.hand_back(now);
    assert_eq!(removed.iter().map(|(key, _)| *key).collect::<Vec<_>>(), [1]);
    let refused = queues.enter(entry(2, 3, 17.0, now), None, now).expect_err("refused");
    assert_eq!((refused.cause, refused.after), (RejectionCause::Stopping, Duration::ZERO));
    assert_eq!(queues.report(now).len(), 1, "the other one is served as before");
    let removed = queues.review(&2, seconds(2.0), now);
    assert_eq!(removed.len(), 1, "it is handed back when its turn is no longer soon");
}

/// Queues of models that are no longer asked for would be kept forever.
#[test]
fn empty_queues_are_forgotten() {
    let mut now = Instant::now();
    let mut queues: Queues<u8, u64> = Queues::default();
    for key in 0..200 {
        let id = queues.enter(entry(key, 1, 5.0, now), None, now).expect("accepted").id;
        queues.remove(&key, id, Departure::Served, now);
    }
    assert_eq!(queues.slots.len(), 200);
    now += KEEP_EMPTY + seconds(1.0);
    queues.enter(entry(0, 1, 5.0, now), None, now).expect("accepted");
    assert_eq!(queues.slots.len(), 1);
}
