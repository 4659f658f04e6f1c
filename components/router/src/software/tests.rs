//! Tests of demand that only one version of the software can serve, and of what is counted for it.

use std::time::Duration;

use rstest::rstest;

use super::fixture::{Versions, id, name};
use super::*;
use crate::registry::NO_WAITING_REQUESTS;

const PAUSE: Duration = Duration::from_secs(3);

impl Versions {
    fn begin_waiting(&mut self, begun: bool) -> WaitingFor {
        let target = WaitingFor::new(&name("a"), self.required().filter(|_| begun));
        self.table.begin_waiting(&target, self.now);
        target
    }

    fn waiting_at(&mut self, endpoint: &str) -> u32 {
        let endpoint = self.endpoint(endpoint).endpoint.clone();
        self.table.waiting_at(&endpoint, &name("a"))
    }

    fn record_arrivals(&mut self, begun: bool, count: u32) {
        let (service, version) = (self.service.clone(), self.wanted.clone());
        let required = RequiredSoftware { service: &service, version: &version };
        for _ in 0..count {
            let required = begun.then_some(required);
            self.table.record_arrival(&name("a"), required, 1_000, self.now);
        }
    }

    fn rate_at(&mut self, endpoint: &str, bound: bool) -> f64 {
        let endpoint = self.endpoint(endpoint).endpoint.clone();
        self.table.request_rate_at(&endpoint, &name("a"), bound, self.now)
    }

    fn replicas_needed(&self, begun: bool) -> u32 {
        let required = self.required().filter(|_| begun);
        self.table.replicas_needed(&name("a"), required, 10, NO_WAITING_REQUESTS, false)
    }
}

/// Another version would load models, and evict others, for requests that it can't serve.
#[tokio::test(start_paused = true)]
async fn a_begun_stream_that_waits_is_no_demand_at_another_version() {
    let mut test = Versions::new(&["v1", "v2"]);
    test.add("o-1", "other", "v1");
    let target = test.begin_waiting(true);
    assert_eq!(test.table.waiting_for(&name("a"), None), 0);
    assert_eq!(test.table.waiting_for(&name("a"), test.required()), 1);
    assert_eq!(["i-0", "i-1", "o-1"].map(|one| test.waiting_at(one)), [1, 0, 0]);
    test.begin_waiting(false);
    assert_eq!(["i-0", "i-1"].map(|one| test.waiting_at(one)), [2, 1], "both can serve this one");
    test.table.end_waiting(&target);
    assert_eq!(["i-0", "i-1"].map(|one| test.waiting_at(one)), [1, 1]);
}

/// Prefetch would load a model at an empty endpoint of the new version for streams that the old one began.
#[tokio::test(start_paused = true)]
async fn arrivals_of_begun_streams_are_no_demand_at_another_version() {
    let mut test = Versions::new(&["v1", "v2"]);
    test.record_arrivals(true, 5);
    assert_eq!(test.table.request_rate(&name("a"), test.now), 0.0);
    assert_eq!(["i-0", "i-1"].map(|one| test.rate_at(one, true)), [5.0, 0.0]);
}

/// A load for one stream would be told to serve hundreds of requests that an endpoint of another version serves, and would go before
/// loads that more requests wait for.
#[tokio::test(start_paused = true)]
async fn a_load_for_begun_streams_counts_other_requests_only_while_they_wait() {
    let mut test = Versions::new(&["v1", "v2"]);
    test.record_arrivals(true, 1);
    test.record_arrivals(false, 7);
    assert_eq!((test.rate_at("i-0", true), test.rate_at("i-0", false)), (1.0, 8.0));
    test.begin_waiting(false);
    assert_eq!(test.rate_at("i-0", true), 8.0);
}

/// Models of another service that has endpoints with an equally named version would pass for those of this one.
#[tokio::test(start_paused = true)]
async fn endpoints_of_another_service_do_not_meet_the_condition() {
    let mut test = Versions::new(&["v1", "v2"]);
    test.add("a-1", "other", "v1");
    test.ask("a-1", "a");
    assert_eq!(test.table.pending_cold_load(&name("a"), test.required()), None);
}

/// Callers of a service with one version would notice the condition.
#[tokio::test(start_paused = true)]
async fn a_version_that_all_endpoints_run_is_no_condition() {
    let mut test = Versions::new(&["v1", "v1", "v2"]);
    test.add("o-1", "other", "v2");
    assert_eq!(test.table.restricting(test.required()), test.required());
    test.drain("i-2");
    assert_eq!(test.table.restricting(test.required()), None, "the other version takes no work");
    test.record_arrivals(true, 5);
    assert_eq!(test.table.request_rate(&name("a"), test.now), 5.0);
}

/// The version would get no replica, or several for the streams of another version.
#[tokio::test(start_paused = true)]
async fn replicas_of_another_version_and_what_runs_there_do_not_count() {
    let mut test = Versions::new(&["v1", "v2"]);
    let running = |count| crate::endpoint::Usage { begun: 0, running: count };
    test.endpoint("i-1").uses.insert(name("a"), running(30));
    assert_eq!((test.replicas_needed(false), test.replicas_needed(true)), (5, 1));
    test.endpoint("i-0").uses.insert(name("a"), running(12));
    assert_eq!(test.replicas_needed(true), 2);
    test.endpoint("i-0").uses.clear();
    test.record_arrivals(true, 40);
    assert!(test.replicas_needed(true) > 1, "streams that are taken up need replicas too");
}

/// A caller would be told to come back while no endpoint of its version takes requests, or would be kept away while one does.
#[rstest]
#[case::own_paused(&["i-0", "i-1"], Some(PAUSE))]
#[case::one_of_own_free(&["i-0", "i-2"], None)]
#[case::other_paused(&["i-2"], None)]
#[tokio::test(start_paused = true)]
async fn back_off_counts_by_version(#[case] paused: &[&str], #[case] expected: Option<Duration>) {
    let mut test = Versions::new(&["v1", "v1", "v2"]);
    for endpoint in paused {
        test.pause(endpoint, PAUSE);
    }
    let backoff = test.table.service_backoff(&test.service, test.required(), &[], test.now);
    assert_eq!(backoff, expected);
}

/// A request would wait for a replica that it can't use, and not ask for one that it can.
#[tokio::test(start_paused = true)]
async fn the_back_off_of_a_replica_of_another_version_does_not_count() {
    let mut test = Versions::new(&["v1", "v2"]);
    test.hold("i-1", "a");
    test.pause("i-1", PAUSE);
    assert_eq!(test.table.replica_backoff(&name("a"), None, test.now), Some(PAUSE));
    assert_eq!(test.table.replica_backoff(&name("a"), test.required(), test.now), None);
}

/// The right version would not be asked to make room for a second, or not at all while the other one is asked again and again.
#[tokio::test(start_paused = true)]
async fn room_asked_for_at_another_version_does_not_keep_a_request_from_asking() {
    let mut test = Versions::new(&["v1", "v1", "v2"]);
    assert!(test.table.may_request_room(&name("a"), &id("i-2"), 1, false));
    assert!(!test.table.may_request_room(&name("a"), &id("i-0"), 1, false), "as for any request");
    assert!(test.table.may_request_room(&name("a"), &id("i-0"), 1, true));
    assert!(!test.table.may_request_room(&name("a"), &id("i-1"), 1, true), "one is enough");
}

/// A second endpoint of the version would be asked to read the model from the weight store.
#[tokio::test(start_paused = true)]
async fn a_load_from_the_store_is_found_at_the_version_behind_one_at_another() {
    let mut test = Versions::new(&["v2", "v1", "v1"]);
    test.ask("i-0", "a");
    assert_eq!(test.table.pending_cold_load(&name("a"), test.required()), None);
    test.ask("i-2", "a");
    assert_eq!(test.table.pending_cold_load(&name("a"), test.required()), Some(&id("i-2")));
}

/// A request would expect its load after loads that the store is not asked for on behalf of more requests.
#[tokio::test(start_paused = true)]
async fn loads_ahead_are_counted_by_the_requests_that_each_endpoint_can_serve() {
    let mut test = Versions::new(&["v1", "v2"]);
    for endpoint in ["i-0", "i-1"] {
        test.ask(endpoint, "b");
    }
    let ahead = |test: &Versions, endpoint| {
        test.table.store_loads_ahead(&id(endpoint), &name("a"), test.now)
    };
    let waiting = WaitingFor::new(&name("b"), test.required());
    test.table.begin_waiting(&waiting, test.now);
    assert_eq!(ahead(&test, "i-1"), 1);
    test.begin_waiting(true);
    assert_eq!((ahead(&test, "i-0"), ahead(&test, "i-1")), (0, 1), "one request each at v1");
}

/// A flood of versions and models would fill the memory.
#[tokio::test(start_paused = true)]
async fn models_that_no_request_asks_for_any_more_are_forgotten() {
    let mut test = Versions::new(&["v1", "v2"]);
    let (service, version) = (test.service.clone(), test.wanted.clone());
    let required = RequiredSoftware { service: &service, version: &version };
    let waiting = test.begin_waiting(true);
    for index in 0..MAX_BOUND_MODELS * 3 {
        let model = name(&format!("m-{index}"));
        test.table.record_arrival(&model, Some(required), 1, test.now);
        test.now += Duration::from_millis(100);
    }
    assert!(test.table.bound.0.len() <= MAX_BOUND_MODELS);
    assert_eq!(test.waiting_at("i-0"), 1, "the one that waits is still counted");
    test.table.end_waiting(&waiting);
    assert_eq!(test.waiting_at("i-0"), 0);
}
