//! Tests of the rates of requests that loaders report.

use control::{EndpointLoad, EndpointState, ModelRate};
use fleet::{Endpoint, EndpointStage, Holdings, LoadedModel};
use rstest::rstest;
use units::Revision;

use super::*;
use crate::software::fixture::Versions;

fn name(text: &str) -> ModelName {
    text.parse().expect("a name")
}

/// The state of an endpoint that holds the model `a` and whose loader reports rates of `a` and `b`.
fn state() -> EndpointState {
    let held = vec![LoadedModel { model: name("a"), adapters: Vec::new() }];
    EndpointState {
        version: 1,
        endpoint: None,
        incarnation: None,
        holdings: Holdings { models: held, ..Holdings::default() },
        load: EndpointLoad { waiting: 0, running: 0, routers: 25 },
        room_wait: Duration::ZERO,
        can_order: true,
        draining: false,
        rate_limit: None,
        engine_version: Revision(1),
        steps: Vec::new(),
        rates: ["a", "b"].map(|model| ModelRate { model: name(model), per_s: 40.0 }).into(),
    }
}

fn tracked(now: Instant) -> TrackedEndpoint {
    let endpoint = Endpoint {
        id: "i-1".parse().expect("an id"),
        incarnation: None,
        software: None,
        service: "llm".parse().expect("a service"),
        addr: ([10, 0, 0, 1], 80).into(),
        domain: "near".parse().expect("a domain"),
        slots: 16,
        stage: EndpointStage::Ready,
        holdings: Some(Holdings::default()),
    };
    let mut tracked = TrackedEndpoint::new(endpoint, now);
    tracked.apply_state(state(), now);
    tracked
}

/// Guards against demand that is counted for models that left the endpoint, or long after a loader was cut off.
#[rstest]
#[case::held("a", 1, Some(40.0))]
#[case::not_held("b", 1, None)]
#[case::unknown("c", 1, None)]
#[case::cut_off("a", 6, None)]
#[tokio::test(start_paused = true)]
async fn only_recent_rates_of_held_models_count(
    #[case] model: &str,
    #[case] age_s: u64,
    #[case] expected: Option<f64>,
) {
    let tracked = tracked(Instant::now());
    tokio::time::advance(Duration::from_secs(age_s)).await;
    assert_eq!(tracked.reported_rate(&name(model), Instant::now()), expected);
}

/// Guards against replicas that a deployment gets because another router has asked its loaders for rates.
#[tokio::test(start_paused = true)]
async fn where_requests_do_not_go_by_capacity_rates_neither_count_nor_are_asked_for() {
    let now = Instant::now();
    let tracked = tracked(now);
    assert!(!tracked.by_capacity());
    let mut table = EndpointTable::default();
    table.map.insert(tracked.endpoint.id.clone(), tracked);
    assert_eq!(table.reported_rate(&name("a"), now), 0.0);
    let waiting = crate::registry::NO_WAITING_REQUESTS;
    assert_eq!(table.replicas_needed(&name("a"), None, 16, waiting, false), 1);
}

/// Hundreds of streams of one version that are taken up again at the same time would all go to the replica that ranks first.
#[tokio::test(start_paused = true)]
async fn arrivals_that_only_one_version_may_serve_count_for_the_choice_of_its_replica() {
    let mut test = Versions::new(&["v1", "v2"]);
    let (service, version) = (test.service.clone(), test.wanted.clone());
    let required = Some(RequiredSoftware { service: &service, version: &version });
    for _ in 0..9 {
        test.table.record_arrival(&name("a"), required, 100, test.now);
    }
    assert_eq!(test.table.total_request_rate(&name("a"), required, test.now), 9.0);
    assert_eq!(test.table.total_request_rate(&name("a"), None, test.now), 0.0);
}
