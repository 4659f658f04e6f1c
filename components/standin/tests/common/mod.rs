//! What the tests of all roles share.

#![allow(dead_code)]

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use edge::{Endpoint, EndpointError, HttpEndpoint, Inventory, Order, OrderKind};
use http::Request;
use serde::Serialize;
use serde::de::DeserializeOwned;
use standin::{Engine, EngineSettings, Running};
use units::{Incarnation, ModelName, RequestId, Size, Span};
use web::Body;

/// A limit that no step of a test reaches unless it hangs.
pub(crate) const LIMIT: Duration = Duration::from_secs(10);

/// Any free port.
pub(crate) fn any() -> SocketAddr {
    (Ipv4Addr::LOCALHOST, 0).into()
}

/// Reads what really happened.
pub(crate) async fn truth<T: DeserializeOwned>(addr: SocketAddr) -> T {
    web::Client::default().get(addr, "/truth", LIMIT).await.expect("the truth can be read")
}

/// Sets a fault, on a connection of its own.
pub(crate) async fn fault(addr: SocketAddr, fault: &impl Serialize) {
    let done = web::Client::default().post(addr, "/faults", fault, LIMIT).await;
    let _: serde_json::Value = done.expect("the fault can be set");
}

/// Settings under which everything takes a few milliseconds.
pub(crate) fn quick() -> EngineSettings {
    EngineSettings {
        memory: Size::gib(4),
        memory_load: Span::millis(1),
        disk_load: Span::millis(1),
        remote_load: Span::millis(2),
        adapter_load: Span::millis(1),
        unload: Span::millis(1),
        first_token: Span::millis(1),
        token: Span::millis(1),
        usage_lag: Span::millis(0),
        ..EngineSettings::default()
    }
}

pub(crate) fn model(text: &str) -> ModelName {
    text.parse().expect("a model name")
}

pub(crate) fn request_id(text: &str) -> RequestId {
    text.parse().expect("a request id")
}

pub(crate) fn order(id: &str, order: OrderKind) -> Order {
    Order { id: id.to_owned(), fence: Incarnation(1), urgent: true, order }
}

pub(crate) fn load(id: &str, name: &str) -> Order {
    let (artifact, weights, kv_room) = (model(name), Size::gib(1), Size::gib(1));
    order(id, OrderKind::Load { artifact, weights, kv_room })
}

/// Waits until the inventory is as wanted.
pub(crate) async fn until(
    endpoint: &HttpEndpoint,
    wanted: impl Fn(&Inventory) -> bool,
) -> Inventory {
    let search = async {
        let mut after = 0;
        loop {
            let inventory = endpoint.inventory(after, LIMIT).await.expect("an inventory");
            if wanted(&inventory) {
                return inventory;
            }
            after = inventory.version;
        }
    };
    tokio::time::timeout(LIMIT, search).await.expect("the inventory comes to what is wanted")
}

/// An engine with a model ready, and a client of it.
pub(crate) async fn ready(settings: EngineSettings, name: &str) -> (Running, HttpEndpoint) {
    let engine = Engine::start(any(), settings).await.expect("the engine starts");
    let endpoint = HttpEndpoint::new(engine.addr);
    endpoint.order(load("load-1", name)).await.expect("the load is taken");
    let phase = edge::ReplicaPhase::Ready;
    until(&endpoint, |inventory| inventory.loaded.iter().any(|one| one.phase == phase)).await;
    (engine, endpoint)
}

/// The body of a streamed completion.
pub(crate) fn completion(name: &str, prompt: &str, tokens: u32) -> String {
    serde_json::json!({ "model": name, "prompt": prompt, "max_tokens": tokens, "stream": true })
        .to_string()
}

/// Begins a completion.
pub(crate) async fn begin(
    endpoint: &HttpEndpoint,
    id: &str,
    body: &str,
) -> Result<Body, EndpointError> {
    let request = Request::post("/v1/completions")
        .header("content-type", "application/json")
        .body(web::full(body.to_owned()))
        .expect("a request");
    endpoint.call(&request_id(id), request).await.map(http::Response::into_body)
}

/// Reads a body as far as it comes, and says whether it is whole.
pub(crate) async fn read(mut body: Body) -> (Vec<u8>, bool) {
    use http_body_util::BodyExt;
    let mut bytes = Vec::new();
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else { return (bytes, false) };
        if let Ok(data) = frame.into_data() {
            bytes.extend_from_slice(&data);
        }
    }
    (bytes, true)
}

/// The whole answer that the body should get.
pub(crate) fn whole(body: &str) -> Vec<u8> {
    standin::expected("/v1/completions", body.as_bytes()).expect("a right body")
}
