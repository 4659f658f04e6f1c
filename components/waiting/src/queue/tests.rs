//! Tests of one queue: admission, forecast, and removal.

use rstest::rstest;

use super::*;
use crate::tests::{arrival, seconds};

struct Fixture {
    queue: WaitQueue,
    counters: TokenCounters,
    next: u64,
    now: Instant,
}

impl Fixture {
    fn new() -> Self {
        let (queue, counters) = (WaitQueue::default(), TokenCounters::default());
        Self { queue, counters, next: 0, now: Instant::now() }
    }

    fn push(&mut self, left: f64) -> Result<usize, Rejected> {
        let id = TicketId(self.next);
        self.next += 1;
        let arrival = arrival("a", left, self.now);
        self.queue.push(id, arrival, false, &self.counters, self.now)
    }

    /// Serves one request each `interval` seconds, `count` times.
    fn serve(&mut self, count: usize, interval: f64) {
        for _ in 0..count {
            self.now += seconds(interval);
            let head = self.queue.head(&self.counters, self.now).expect("a head");
            self.queue.remove(head, Departure::Served, self.now).expect("it waits");
        }
    }
}

/// Without a measured rate, requests would be refused by a guess.
#[test]
fn while_the_rate_is_unknown_only_the_load_counts() {
    let mut test = Fixture::new();
    test.queue.set_ready_in(seconds(5.0), test.now);
    for _ in 0..100 {
        test.push(17.0).expect("accepted");
    }
    let rejected = test.push(4.0).expect_err("not ready in time");
    assert_eq!(rejected.cause, RejectionCause::ModelNotReady);
    assert_eq!(rejected.after, seconds(5.0));
    assert_eq!(test.queue.len(), 100, "a refused request is not in the queue");
}

/// A request without a chance would be held until its deadline.
#[test]
fn a_queue_accepts_what_it_can_serve_before_the_deadline() {
    let mut test = Fixture::new();
    for _ in 0..10 {
        test.push(20.0).expect("accepted");
    }
    test.serve(10, 0.5);
    let mut accepted = 0;
    let rejected = loop {
        match test.push(5.0) {
            Ok(_) => accepted += 1,
            Err(rejected) => break rejected,
        }
    };
    // Two requests per second, for five seconds.
    assert!((10..=12).contains(&accepted), "{accepted}");
    assert_eq!(rejected.cause, RejectionCause::QueueTooLong);
    assert!(rejected.after > seconds(5.0), "{rejected:?}");
    let next = test.push(5.0).expect_err("refused as well");
    let apart = next.after.saturating_sub(rejected.after);
    assert!(
        apart > seconds(0.4) && apart < seconds(0.6),
        "refused callers return one by one: {apart:?}"
    );
}

/// When the forecast becomes worse, requests would be held although they have no chance any more.
#[test]
fn requests_whose_turn_can_no_longer_come_are_refused_when_the_forecast_changes() {
    let mut test = Fixture::new();
    test.push(3.0).expect("accepted");
    test.push(17.0).expect("accepted");
    assert!(test.queue.review(&test.counters, test.now).is_empty());
    test.queue.set_ready_in(seconds(10.0), test.now);
    let rejected = test.queue.review(&test.counters, test.now);
    let ids: Vec<TicketId> = rejected.iter().map(|(ticket, _)| ticket.id).collect();
    assert_eq!(ids, [TicketId(0)]);
    assert_eq!(rejected[0].1.cause, RejectionCause::ModelNotReady);
    assert_eq!(test.queue.len(), 1);
}

/// A request whose deadline has passed would be served for nobody, since no wait is too long for it.
#[test]
fn a_request_whose_deadline_has_passed_is_refused_also_if_its_turn_is_next() {
    let mut test = Fixture::new();
    test.push(3.0).expect("accepted");
    test.now += seconds(3.0);
    assert_eq!(test.queue.review(&test.counters, test.now).len(), 1);
}

/// The memory of a router and the time of each decision would grow with the number of requests.
#[test]
fn a_queue_has_a_maximum_length() {
    let mut test = Fixture::new();
    for _ in 0..MAX_QUEUE_LENGTH {
        test.push(17.0).expect("accepted");
    }
    assert_eq!(test.push(17.0).expect_err("full").cause, RejectionCause::QueueTooLong);
}

/// A request that waits for a better endpoint would keep others waiting that could be served now.
#[test]
fn a_held_request_is_passed_over() {
    let mut test = Fixture::new();
    test.push(5.0).expect("accepted");
    test.push(6.0).expect("accepted");
    assert_eq!(test.queue.head(&test.counters, test.now), Some(TicketId(0)));
    test.queue.set_held(TicketId(0), true);
    assert_eq!(test.queue.head(&test.counters, test.now), Some(TicketId(1)));
    test.queue.set_held(TicketId(1), true);
    assert_eq!(test.queue.head(&test.counters, test.now), None);
    test.queue.set_held(TicketId(0), false);
    assert_eq!(test.queue.head(&test.counters, test.now), Some(TicketId(0)));
}

/// A stopping router would refuse requests that it could still serve, or hold requests until it is killed.
#[rstest]
#[case::soon(0.4, 0)]
#[case::later(0.6, 3)]
fn a_stopping_router_hands_back_what_it_can_not_serve_soon(
    #[case] ready_in: f64,
    #[case] handed_back: usize,
) {
    let mut test = Fixture::new();
    for _ in 0..3 {
        test.push(17.0).expect("accepted");
    }
    test.queue.set_ready_in(seconds(ready_in), test.now);
    let removed = test.queue.hand_back(&test.counters, test.now);
    assert_eq!(removed.len(), handed_back);
    assert!(removed.iter().all(|(_, one)| one.after.is_zero()));
    assert_eq!(test.queue.len(), 3 - handed_back);
}

/// Loaders would decide by wrong numbers.
#[test]
fn the_summary_shows_all_that_wait() {
    let mut test = Fixture::new();
    assert_eq!(test.queue.summary(test.now), None);
    test.push(5.0).expect("accepted");
    test.now += seconds(1.0);
    let urgent = Arrival { priority: 0, workspace: None, ..arrival("a", 9.0, test.now) };
    let pushed = test.queue.push(TicketId(9), urgent, false, &test.counters, test.now);
    pushed.expect("accepted");
    let summary = test.queue.summary(test.now).expect("some wait");
    assert_eq!((summary.waiting, summary.priority), (2, 0));
    assert_eq!((summary.first_deadline, summary.last_deadline), (seconds(4.0), seconds(9.0)));
    assert_eq!(summary.oldest, seconds(1.0));
    let names: Vec<_> =
        summary.workspaces.iter().map(|(name, count)| (name.as_str(), *count)).collect();
    assert_eq!(names, [("a", 1), ("none", 1)]);
}
