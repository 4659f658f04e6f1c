//! Tests of what the requests of a queue are told.

use rstest::rstest;
use waiting::{Arrival, RejectionCause};

use super::*;
use crate::software::fixture::version;

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
        let key = QueueKey { service, model, software: None };
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

/// Begun streams of one version would keep requests waiting that another version could serve, or be kept waiting by these.
#[test]
fn requests_that_one_version_may_serve_and_others_do_not_wait_for_each_other() {
    let mut test = Fixture::new();
    test.key.software = Some(version("v1"));
    test.enter(3);
    test.enter(4);
    let search = [Turn::Search, Turn::Wait];
    assert_eq!(test.turns(), [&search[..], &[Turn::Wait], &search].concat());
    let rejected = test.state.queues.review(&test.key, Duration::from_millis(8_500), test.now);
    assert_eq!(rejected.len(), 1, "the time until the model is ready is that of one version");
    assert_eq!(test.turns()[..2], search);
}

/// Loaders would make room for requests that their endpoints can't serve, or not know of those that they can.
#[rstest]
#[case::of_their_version(Some("v1"), 5)]
#[case::of_another_version(Some("v2"), 3)]
#[case::of_an_unknown_version(None, 3)]
fn a_loader_hears_of_the_requests_that_its_endpoint_may_serve(
    #[case] software: Option<&str>,
    #[case] waiting: u32,
) {
    let mut test = Fixture::new();
    test.key.software = Some(version("v1"));
    test.enter(3);
    test.enter(4);
    let (service, target) = (test.key.service.clone(), test.key.model.clone());
    let queues = WaitQueues { state: Mutex::new(test.state) };
    let software = software.map(version);
    let summary = queues.summary(&service, software.as_ref(), &target, test.now);
    assert_eq!(summary.expect("requests wait").waiting, waiting);
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
