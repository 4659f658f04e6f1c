//! Tests of what the requests of a queue are told.

use waiting::{Arrival, RejectionCause};

use super::*;

/// A state with three requests in one queue, by deadline.
struct Fixture {
    state: State,
    key: QueueKey,
    now: Instant,
    requests: Vec<(TicketId, watch::Receiver<Turn>)>,
}

impl Fixture {
    fn new() -> Self {
        let (service, model) = ("llm".parse().expect("a name"), "m".parse().expect("a model"));
        let key = QueueKey { service, model };
        let mut fixture =
            Self { state: State::default(), key, now: Instant::now(), requests: Vec::new() };
        for index in 0..3 {
            fixture.enter(index);
        }
        fixture
    }

    fn enter(&mut self, index: u64) {
        let arrival = Arrival {
            workspace: None,
            priority: 1,
            tokens: 100,
            target: self.now + Duration::from_secs(1),
            deadline: self.now + Duration::from_secs(5 + index),
        };
        let digest = Digest::of(&[&index.to_be_bytes()]);
        let entry = Entry { key: self.key.clone(), digest, arrival };
        let (entered, turn) = self.state.enter(entry, None, self.now).expect("accepted");
        self.requests.push((entered.id, turn));
    }

    fn turns(&self) -> Vec<Turn> {
        self.requests.iter().map(|(_, turn)| *turn.borrow()).collect()
    }
}

/// All requests would search, or none.
#[test]
fn one_request_of_a_queue_searches_and_the_next_one_when_it_leaves() {
    let mut test = Fixture::new();
    assert_eq!(test.turns(), [Turn::Search, Turn::Wait, Turn::Wait]);
    for departure in [Departure::Lost, Departure::Served] {
        let (id, _) = test.requests.remove(0);
        test.state.remove(&test.key, id, departure, test.now);
        assert_eq!(test.turns()[0], Turn::Search, "after a request that is {departure:?}");
    }
    let (id, _) = test.requests.remove(0);
    test.state.remove(&test.key, id, Departure::Lost, test.now);
    assert!(test.state.turns.is_empty() && test.state.queues.is_empty(&test.key));
}

/// A request that could be served now would wait behind one that waits for a better endpoint.
#[test]
fn a_held_request_lets_the_next_one_search() {
    let mut test = Fixture::new();
    let first = test.requests[0].0;
    test.state.set_held(&test.key, first, true, test.now);
    assert_eq!(test.turns(), [Turn::Wait, Turn::Search, Turn::Wait]);
    let second = test.requests[1].0;
    test.state.remove(&test.key, second, Departure::Served, test.now);
    assert_eq!(test.turns()[2], Turn::Search);
    test.state.set_held(&test.key, first, false, test.now);
    assert_eq!((test.turns()[0], test.turns()[2]), (Turn::Search, Turn::Wait));
}

/// If the searching request is refused, no other one would search.
#[test]
fn refused_requests_are_told_and_the_first_one_that_is_left_searches() {
    let mut test = Fixture::new();
    test.state.review(&test.key, Duration::from_millis(6_500), test.now);
    let turns = test.turns();
    for turn in &turns[..2] {
        assert!(
            matches!(turn, Turn::Refused(one) if one.cause == RejectionCause::ModelNotReady),
            "{turns:?}"
        );
    }
    assert_eq!(turns[2], Turn::Search);
}

/// Requests of a stopping router would wait until their deadline.
#[test]
fn a_stop_is_told_to_all_requests_whose_turn_is_not_near() {
    let mut test = Fixture::new();
    test.state.review(&test.key, Duration::from_secs(2), test.now);
    test.state.hand_back(test.now);
    for turn in test.turns() {
        assert!(
            matches!(turn, Turn::Refused(one) if one.cause == RejectionCause::Stopping),
            "{turn:?}"
        );
    }
}
