//! The engine's faults through the real client.

mod common;

use std::time::Duration;

use common::{
    LIMIT, any, begin, completion, fault, load, order, quick, read, ready, request_id, truth,
    until, whole,
};
use edge::{
    CacheChange, CacheEvents, Endpoint, EndpointError, HttpEndpoint, OrderKind, ReplicaPhase,
};
use standin::{Engine, EngineFault, EngineSettings, EngineTruth, LoadPhase};
use units::{Incarnation, Span};

/// Far longer than a step takes when nothing is wrong.
const SHORT: Duration = Duration::from_millis(300);

/// A client that gives up soon.
fn hasty(endpoint: std::net::SocketAddr) -> HttpEndpoint {
    HttpEndpoint::new(endpoint).with_limit(SHORT).with_idle(SHORT)
}

fn loading(inventory: &edge::Inventory) -> bool {
    inventory.loaded.iter().any(|one| one.phase == ReplicaPhase::Loading)
}

#[tokio::test]
async fn can_crash_and_forget_all() {
    let (engine, endpoint) = ready(quick(), "a").await;
    let before = endpoint.inventory(0, Duration::ZERO).await.expect("an inventory");
    let answer = begin(&endpoint, "r1", &completion("a", "story", 5000)).await.expect("taken");
    fault(engine.addr, &EngineFault::Crash { down: Span::default() }).await;
    assert!(!read(answer).await.1);
    let after = until(&endpoint, |inventory| inventory.loaded.is_empty()).await;
    assert_eq!(after.fence, Incarnation(0));
    assert!(after.version > before.version);
    let resumed = endpoint.resume(&request_id("r1"), 0).await;
    assert!(matches!(resumed, Err(EndpointError::Unknown(_))));
    let truth: EngineTruth = truth(engine.addr).await;
    assert_eq!(truth.events.last().map(|event| event.phase), Some(LoadPhase::Gone));
    assert_eq!(truth.crashes, 1);
    assert_eq!(truth.executions["r1"].finished, 0);
}

#[tokio::test]
async fn can_be_down_after_a_crash() {
    let (engine, endpoint) = ready(quick(), "a").await;
    fault(engine.addr, &EngineFault::Crash { down: Span::secs(600) }).await;
    assert!(endpoint.usage().await.is_err());
    fault(engine.addr, &EngineFault::None).await;
    assert!(endpoint.usage().await.is_ok());
}

#[tokio::test]
async fn can_take_an_order_while_frozen_and_obey_it_late() {
    let engine = Engine::start(any(), quick()).await.expect("it starts");
    let endpoint = hasty(engine.addr);
    fault(engine.addr, &EngineFault::Freeze { span: Span::secs(600) }).await;
    let given = endpoint.order(load("load", "a")).await;
    assert!(matches!(given, Err(EndpointError::Unknown(_))));
    fault(engine.addr, &EngineFault::None).await;
    let endpoint = HttpEndpoint::new(engine.addr);
    until(&endpoint, |inventory| !inventory.loaded.is_empty()).await;
}

#[tokio::test]
async fn errors_on_a_stream_that_freezes_and_can_resume_it() {
    let (engine, _) = ready(quick(), "a").await;
    let endpoint = hasty(engine.addr);
    let body = completion("a", "story", 100);
    let answer = begin(&endpoint, "r1", &body).await.expect("it is taken");
    fault(engine.addr, &EngineFault::Freeze { span: Span::secs(600) }).await;
    let (part, is_whole) = read(answer).await;
    assert!(!is_whole);
    fault(engine.addr, &EngineFault::None).await;
    let endpoint = HttpEndpoint::new(engine.addr);
    let rest = endpoint.resume(&request_id("r1"), part.len() as u64).await.expect("it is known");
    let (rest, is_whole) = read(rest.into_body()).await;
    assert!(is_whole);
    assert_eq!([part, rest].concat(), whole(&body));
}

#[tokio::test]
async fn can_die_in_the_middle_of_a_load() {
    let settings = EngineSettings { memory_load: Span::millis(20), ..quick() };
    let engine = Engine::start(any(), settings).await.expect("it starts");
    let endpoint = HttpEndpoint::new(engine.addr);
    fault(engine.addr, &EngineFault::DieLoading { count: 1 }).await;
    endpoint.order(load("load", "a")).await.expect("it is taken");
    until(&endpoint, loading).await;
    until(&endpoint, |inventory| inventory.loaded.is_empty()).await;
    let truth: EngineTruth = truth(engine.addr).await;
    assert_eq!(truth.crashes, 1);
    assert!(truth.events.iter().all(|event| event.phase != LoadPhase::Ready));
}

#[tokio::test]
async fn can_fail_a_load_and_say_why() {
    let engine = Engine::start(any(), quick()).await.expect("it starts");
    let endpoint = HttpEndpoint::new(engine.addr);
    fault(engine.addr, &EngineFault::FailLoad { count: 1 }).await;
    endpoint.order(load("first", "a")).await.expect("it is taken");
    let inventory = until(&endpoint, |inventory| !inventory.failed.is_empty()).await;
    assert_eq!(inventory.failed[0].0, "first");
    endpoint.order(load("second", "a")).await.expect("it is taken");
    let is_ready = |inventory: &edge::Inventory| {
        inventory.loaded.iter().any(|one| one.phase == ReplicaPhase::Ready)
    };
    until(&endpoint, is_ready).await;
}

#[tokio::test]
async fn can_drop_a_stream_within_a_token_and_resume_it() {
    let (engine, endpoint) = ready(quick(), "a").await;
    fault(engine.addr, &EngineFault::DropStream { count: 1 }).await;
    let body = completion("a", "story", 10);
    let answer = begin(&endpoint, "r1", &body).await.expect("it is taken");
    let (part, is_whole) = read(answer).await;
    assert!(!is_whole && part.len() < whole(&body).len());
    let rest = endpoint.resume(&request_id("r1"), part.len() as u64).await.expect("it is known");
    assert_eq!([part, read(rest.into_body()).await.0].concat(), whole(&body));
    let truth: EngineTruth = truth(engine.addr).await;
    assert_eq!((truth.executions["r1"].runs, truth.executions["r1"].finished), (1, 1));
}

#[tokio::test]
async fn errors_on_tokens_that_are_too_slow() {
    let (engine, _) = ready(quick(), "a").await;
    fault(engine.addr, &EngineFault::Slow { factor: 1e6 }).await;
    let answer = begin(&hasty(engine.addr), "r1", &completion("a", "story", 2)).await;
    assert!(!read(answer.expect("it is taken")).await.1);
}

#[tokio::test]
async fn can_go_on_over_new_connections_after_the_old_went_silent() {
    let (engine, _) = ready(quick(), "a").await;
    let endpoint = hasty(engine.addr);
    endpoint.usage().await.expect("a report");
    let body = completion("a", "story", 100);
    let answer = begin(&endpoint, "r1", &body).await.expect("it is taken");
    fault(engine.addr, &EngineFault::Silence).await;
    let (part, is_whole) = read(answer).await;
    assert!(!is_whole);
    assert!(matches!(endpoint.usage().await, Err(EndpointError::Unknown(_))));
    endpoint.usage().await.expect("a report over a new connection");
    let rest = endpoint.resume(&request_id("r1"), part.len() as u64).await.expect("it is known");
    assert_eq!([part, read(rest.into_body()).await.0].concat(), whole(&body));
}

#[tokio::test]
async fn can_obey_an_order_over_a_connection_that_then_goes_silent() {
    let (engine, endpoint) = ready(quick(), "a").await;
    let kind = OrderKind::Role { role: "decode".to_owned() };
    endpoint.order(order("role", kind)).await.expect("it is taken");
    fault(engine.addr, &EngineFault::Silence).await;
    assert_eq!(truth::<EngineTruth>(engine.addr).await.role, "decode");
}

#[tokio::test]
async fn can_tell_of_cached_prefixes_with_gaps() {
    let settings = EngineSettings { prefixes: 1, cache_lag: Span::default(), ..quick() };
    let (engine, endpoint) = ready(settings, "a").await;
    fault(engine.addr, &EngineFault::LoseEvents { count: 1 }).await;
    for (id, prompt) in [("r1", "one"), ("r2", "two"), ("r3", "two")] {
        let answer = begin(&endpoint, id, &completion("a", prompt, 1)).await.expect("taken");
        assert!(read(answer).await.1);
    }
    let told = endpoint.cache_events(1).await.expect("events");
    let seqs: Vec<u64> = told.events.iter().map(|event| event.seq).collect();
    assert_eq!((seqs, told.next), (vec![2, 3], 4));
    assert_eq!(told.events[1].change, CacheChange::Evicted);
    assert_eq!(truth::<EngineTruth>(engine.addr).await.hits, 1);
}

#[tokio::test]
async fn can_tell_of_cached_prefixes_late() {
    let settings = EngineSettings { cache_lag: Span::secs(600), ..quick() };
    let (_engine, endpoint) = ready(settings, "a").await;
    let answer = begin(&endpoint, "r1", &completion("a", "one", 1)).await.expect("taken");
    assert!(read(answer).await.1);
    let told = endpoint.cache_events(1).await;
    assert_eq!(told.ok(), Some(CacheEvents { next: 1, events: Vec::new() }));
}

#[tokio::test]
async fn can_move_a_request_to_another_engine() {
    let (one, first) = ready(quick(), "a").await;
    let (two, second) = ready(quick(), "a").await;
    let body = completion("a", "story", 200);
    let answer = begin(&first, "r1", &body).await.expect("it is taken");
    let client = web::Client::default();
    let exported: serde_json::Value = client
        .post(one.addr, "/v1/requests/r1/export", &(), LIMIT)
        .await
        .expect("it is given away");
    assert!(!read(answer).await.1);
    let request = http::Request::post("/v1/requests/r1/import")
        .body(web::full(exported.to_string()))
        .expect("a request");
    let answer = second.call(&request_id("r1"), request).await.expect("it is taken");
    assert_eq!(read(answer.into_body()).await, (whole(&body), true));
    let runs = truth::<EngineTruth>(two.addr).await.executions["r1"].runs;
    assert_eq!(runs, 1);
}
