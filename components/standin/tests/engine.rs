//! The engine through the real client.

mod common;

use common::{any, begin, completion, load, model, order, quick, read, ready, truth, until, whole};
use edge::{CacheTier, Endpoint, EndpointError, HttpEndpoint, OrderKind, ReplicaPhase};
use standin::{Engine, EngineTruth, LoadPhase};
use units::{Incarnation, Size};

#[tokio::test]
async fn can_load_serve_and_unload() {
    let (engine, endpoint) = ready(quick(), "page-text@v2").await;
    let body = completion("page-text@v2", "once upon a time", 5);
    let answer = begin(&endpoint, "r1", &body).await.expect("it is taken");
    assert_eq!(read(answer).await, (whole(&body), true));
    let unload = OrderKind::Unload { artifact: model("page-text@v2") };
    endpoint.order(order("unload-1", unload)).await.expect("the unload is taken");
    let empty = until(&endpoint, |inventory| inventory.loaded.is_empty()).await;
    assert_eq!(empty.cached, [(model("page-text@v2"), CacheTier::Memory)]);
    let truth: EngineTruth = truth(engine.addr).await;
    let phases: Vec<LoadPhase> = truth.events.iter().map(|event| event.phase).collect();
    use LoadPhase::{Gone, Loading, Ready, Unloading};
    assert_eq!(phases, [Loading, Ready, Unloading, Gone]);
    assert_eq!(truth.high_water, Size::gib(2));
    assert_eq!((truth.loads, truth.unloads, truth.tokens), (1, 1, 5));
    assert_eq!((truth.executions["r1"].runs, truth.executions["r1"].finished), (1, 1));
}

#[tokio::test]
async fn errors_on_a_model_that_is_not_ready() {
    let engine = Engine::start(any(), quick()).await.expect("it starts");
    let endpoint = HttpEndpoint::new(engine.addr);
    let refused = begin(&endpoint, "r1", &completion("page-text", "hello", 1)).await;
    assert!(matches!(refused, Err(EndpointError::Refused(_))));
    let truth: EngineTruth = truth(engine.addr).await;
    assert!(truth.executions.is_empty());
    assert_eq!(truth.refused, 1);
}

#[tokio::test]
async fn errors_on_an_old_fencing_number_if_it_checks_them() {
    for fenced in [true, false] {
        let settings = standin::EngineSettings { fenced, ..quick() };
        let (_engine, endpoint) = ready(settings, "page-text").await;
        let mut unload = order("new", OrderKind::Role { role: "decode".to_owned() });
        unload.fence = Incarnation(7);
        endpoint.order(unload).await.expect("a higher number is taken");
        let old = endpoint.order(load("old", "kiosk")).await;
        let fence = Err(EndpointError::Fenced { seen: Incarnation(7) });
        assert_eq!(old, if fenced { fence } else { Ok(()) });
    }
}

#[tokio::test]
async fn errors_on_a_load_over_the_memory_and_counts_it() {
    let (engine, endpoint) = ready(quick(), "a").await;
    endpoint.order(load("second", "b")).await.expect("it is taken");
    endpoint.order(load("third", "c")).await.expect("it is taken");
    let inventory = until(&endpoint, |inventory| !inventory.failed.is_empty()).await;
    assert_eq!(inventory.failed[0].0, "third");
    let truth: EngineTruth = truth(engine.addr).await;
    assert_eq!(truth.overcommits, 1);
    assert_eq!(truth.high_water, Size::gib(6));
}

#[tokio::test]
async fn can_repeat_an_order_with_one_effect() {
    let (engine, endpoint) = ready(quick(), "a").await;
    let unload = order("unload", OrderKind::Unload { artifact: model("a") });
    endpoint.order(unload.clone()).await.expect("it is taken");
    until(&endpoint, |inventory| inventory.loaded.is_empty()).await;
    endpoint.order(load("load-1", "a")).await.expect("the old order is taken");
    endpoint.order(unload).await.expect("it is taken");
    let truth: EngineTruth = truth(engine.addr).await;
    assert_eq!((truth.loads, truth.unloads), (1, 1));
}

#[tokio::test]
async fn can_load_an_adapter_next_to_its_model() {
    let (_engine, endpoint) = ready(quick(), "a").await;
    let body = completion("a:urdu", "hello", 2);
    assert!(begin(&endpoint, "r1", &body).await.is_err());
    let adapter = "urdu".parse().expect("a name");
    let kind = OrderKind::LoadAdapter { artifact: model("a"), adapter, weights: Size::mib(64) };
    endpoint.order(order("adapter", kind)).await.expect("it is taken");
    let with = until(&endpoint, |inventory| !inventory.loaded[0].adapters.is_empty()).await;
    assert_eq!(with.loaded[0].memory, Size::gib(2) + Size::mib(64));
    let answer = begin(&endpoint, "r1", &body).await.expect("it is taken");
    assert_eq!(read(answer).await, (whole(&body), true));
}

#[tokio::test]
async fn errors_on_an_adapter_without_model_or_room() {
    let (engine, endpoint) = ready(quick(), "a").await;
    let adapter = |order_id: &str, artifact: &str, weights: Size| {
        let adapter = "urdu".parse().expect("a name");
        order(order_id, OrderKind::LoadAdapter { artifact: model(artifact), adapter, weights })
    };
    for given in [
        adapter("no-model", "b", Size::gib(1)),
        adapter("no-room", "a", Size::gib(3)),
        adapter("fits", "a", Size::gib(2)),
        adapter("again", "a", Size::gib(2)),
    ] {
        endpoint.order(given).await.expect("it is taken");
    }
    let with = until(&endpoint, |inventory| !inventory.loaded[0].adapters.is_empty()).await;
    let failed: Vec<&str> = with.failed.iter().map(|(id, _)| id.as_str()).collect();
    assert_eq!(failed, ["no-model", "no-room"]);
    let truth: EngineTruth = truth(engine.addr).await;
    assert_eq!((truth.overcommits, truth.adapters), (1, 1));
}

#[tokio::test]
async fn can_resume_from_a_byte_after_the_reader_went_away() {
    let (engine, endpoint) = ready(quick(), "a").await;
    let body = completion("a", "a long story", 8);
    drop(begin(&endpoint, "r1", &body).await.expect("it is taken"));
    let rest = endpoint.resume(&common::request_id("r1"), 50).await.expect("it is known");
    assert_eq!(read(rest.into_body()).await, (whole(&body)[50..].to_vec(), true));
    let truth: EngineTruth = truth(engine.addr).await;
    assert_eq!((truth.executions["r1"].runs, truth.executions["r1"].finished), (1, 1));
}

#[tokio::test]
async fn can_cancel_a_request() {
    let (engine, endpoint) = ready(quick(), "a").await;
    let body = completion("a", "a very long story", 50_000);
    let answer = begin(&endpoint, "r1", &body).await.expect("it is taken");
    endpoint.cancel(&common::request_id("r1")).await.expect("it is cancelled");
    assert!(!read(answer).await.1);
    let usage = endpoint.usage().await.expect("a report");
    assert_eq!((usage.running, usage.waiting), (0, 0));
    let truth: EngineTruth = truth(engine.addr).await;
    assert_eq!(truth.executions["r1"].finished, 0);
}

#[tokio::test]
async fn can_run_the_urgent_first() {
    let settings = standin::EngineSettings { slots: 1, ..quick() };
    let (engine, endpoint) = ready(settings, "a").await;
    let first = begin(&endpoint, "first", &completion("a", "1", 50_000)).await.expect("taken");
    let send = |id: &'static str, priority: &'static str| {
        let request = http::Request::post("/v1/completions")
            .header("x-priority", priority)
            .body(web::full(completion("a", "2", 50_000)))
            .expect("a request");
        let endpoint = HttpEndpoint::new(engine.addr);
        async move { endpoint.call(&common::request_id(id), request).await.expect("taken") }
    };
    let series = send("series", "2").await;
    let urgent = send("urgent", "0").await;
    endpoint.cancel(&common::request_id("first")).await.expect("it is cancelled");
    let mut urgent = urgent.into_body();
    let frame = http_body_util::BodyExt::frame(&mut urgent).await;
    assert!(matches!(frame, Some(Ok(_))));
    let truth: EngineTruth = truth(engine.addr).await;
    assert!(!truth.executions.contains_key("series"));
    drop((first, series));
}

#[tokio::test]
async fn can_show_a_load_in_the_inventory_while_it_lasts() {
    let settings = standin::EngineSettings { remote_load: units::Span::secs(600), ..quick() };
    let engine = Engine::start(any(), settings).await.expect("it starts");
    let endpoint = HttpEndpoint::new(engine.addr);
    endpoint.order(load("load", "a")).await.expect("it is taken");
    let inventory = until(&endpoint, |inventory| !inventory.loaded.is_empty()).await;
    assert_eq!(inventory.loaded[0].phase, ReplicaPhase::Loading);
    assert_eq!(inventory.loaded[0].memory, Size::gib(2));
}
