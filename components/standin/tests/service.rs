//! The plain service through the real client.

mod common;

use std::time::Duration;

use common::{any, fault, request_id, truth};
use edge::{Endpoint, EndpointError, HttpEndpoint};
use http::{Request, Response, StatusCode};
use standin::{Echo, Running, Service, ServiceFault, ServiceSettings, ServiceTruth};
use units::Span;
use web::Body;

async fn start() -> (Running, HttpEndpoint) {
    let service = Service::start(any(), ServiceSettings::default()).await.expect("it starts");
    let client = HttpEndpoint::new(service.addr).with_idle(Duration::from_millis(300));
    (service, client)
}

async fn badge(client: &HttpEndpoint, id: &str) -> Result<Response<Body>, EndpointError> {
    let request = Request::post("/badges?door=4").body(web::full("grant")).expect("a request");
    client.call(&request_id(id), request).await
}

#[tokio::test]
async fn can_count_executions_and_echo() {
    let (service, client) = start().await;
    let answer = badge(&client, "r1").await.expect("an answer");
    assert_eq!(answer.status(), StatusCode::OK);
    let bytes = web::read(answer.into_body(), 1 << 16).await.expect("a whole body");
    let echo: Echo = serde_json::from_slice(&bytes).expect("an echo");
    assert_eq!((echo.path.as_str(), echo.body.as_str()), ("/badges?door=4", "grant"));
    badge(&client, "r2").await.expect("an answer");
    badge(&client, "r2").await.expect("an answer");
    let truth: ServiceTruth = truth(service.addr).await;
    assert_eq!((truth.executions["r1"].runs, truth.executions["r2"].runs), (1, 2));
}

#[tokio::test]
async fn errors_on_an_answer_that_takes_too_long() {
    let (service, client) = start().await;
    fault(service.addr, &ServiceFault::Slow { delay: Span::secs(600) }).await;
    assert!(matches!(badge(&client, "r1").await, Err(EndpointError::Unknown(_))));
    let truth: ServiceTruth = truth(service.addr).await;
    assert_eq!((truth.executions["r1"].runs, truth.executions["r1"].finished), (1, 0));
}

#[tokio::test]
async fn can_fail_fast_without_running() {
    let (service, client) = start().await;
    fault(service.addr, &ServiceFault::Fail).await;
    let answer = badge(&client, "r1").await.expect("an answer");
    assert_eq!(answer.status(), StatusCode::INTERNAL_SERVER_ERROR);
    assert!(truth::<ServiceTruth>(service.addr).await.executions.is_empty());
}

#[tokio::test]
async fn can_run_a_call_late_that_came_while_it_was_frozen() {
    let (service, client) = start().await;
    fault(service.addr, &ServiceFault::Freeze { span: Span::secs(600) }).await;
    assert!(matches!(badge(&client, "r1").await, Err(EndpointError::Unknown(_))));
    assert!(truth::<ServiceTruth>(service.addr).await.executions.is_empty());
    fault(service.addr, &ServiceFault::None).await;
    let search = async {
        while truth::<ServiceTruth>(service.addr).await.executions.is_empty() {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    };
    tokio::time::timeout(common::LIMIT, search).await.expect("it runs");
}

#[tokio::test]
async fn can_answer_over_new_connections_while_the_old_are_silent() {
    let (service, client) = start().await;
    badge(&client, "r1").await.expect("an answer");
    fault(service.addr, &ServiceFault::Silence).await;
    badge(&client, "r2").await.expect("an answer");
}

#[tokio::test]
async fn errors_on_a_service_that_is_not_there_with_proof() {
    let (service, client) = start().await;
    service.stop().await;
    assert!(matches!(badge(&client, "r1").await, Err(EndpointError::Refused(_))));
}
