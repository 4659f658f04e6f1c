//! Plain services: no grants, a bound on what runs at once, and calls that may not be repeated.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use async_trait::async_trait;
use edge::{CacheEvents, Endpoint, EndpointError, Inventory, Order, Usage};
use http::header::{CONTENT_TYPE, HeaderValue};
use http::{Request, Response};
use process::ShutdownPhase;
use rstest::rstest;
use serde_json::json;
use tree::NodeKind;
use units::{RequestId, Span};
use web::Body;
use wire::{Dispatch, Refusal, ResponseEnd, UnknownCause};

use super::world::{Answer, Running, World, add, pause, set, settings, until};
use crate::EndpointKind;

/// A service that takes a second for each call.
#[derive(Debug, Clone, Default)]
struct Badges {
    executions: Arc<Mutex<BTreeMap<String, u32>>>,
    breaks: bool,
    /// The events that it answers with, if it streams.
    events: Option<&'static str>,
}

impl Badges {
    fn executions(&self) -> BTreeMap<String, u32> {
        self.executions.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

#[async_trait]
impl Endpoint for Badges {
    async fn order(&self, _order: Order) -> Result<(), EndpointError> {
        panic!("a plain service takes no orders")
    }

    async fn inventory(&self, _after: u64, _wait: Duration) -> Result<Inventory, EndpointError> {
        panic!("a plain service has no inventory")
    }

    async fn usage(&self) -> Result<Usage, EndpointError> {
        Err(EndpointError::Refused("none".to_owned()))
    }

    async fn cache_events(&self, _from: u64) -> Result<CacheEvents, EndpointError> {
        panic!("a plain service has no cache events")
    }

    async fn call(
        &self,
        id: &RequestId,
        request: Request<Body>,
    ) -> Result<Response<Body>, EndpointError> {
        assert_eq!(request.uri(), "/badges/7?door=3");
        {
            let mut executions = self.executions.lock().unwrap_or_else(PoisonError::into_inner);
            *executions.entry(id.to_string()).or_default() += 1;
        }
        tokio::time::sleep(Duration::from_secs(1)).await;
        if self.breaks {
            return Err(EndpointError::Unknown("cut".to_owned()));
        }
        let Some(events) = self.events else { return Ok(Response::new(web::full("granted"))) };
        let mut response = Response::new(web::full(events));
        response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
        Ok(response)
    }

    async fn resume(&self, _id: &RequestId, _from: u64) -> Result<Response<Body>, EndpointError> {
        panic!("a plain service can't resume")
    }

    async fn cancel(&self, _id: &RequestId) -> Result<(), EndpointError> {
        Err(EndpointError::Refused("it can't".to_owned()))
    }
}

async fn start(badges: &Badges) -> (World, Running) {
    let world = World::new();
    world.edit(vec![
        add("/likhari", NodeKind::Service),
        set("/likhari", "service", json!("likhari")),
        set("/likhari", "queue", json!(2)),
        set("/likhari", "group-share", json!(1.0)),
    ]);
    let running = world.start_at(settings(EndpointKind::Service), Arc::new(badges.clone())).await;
    (world, running)
}

fn head(running: &Running, request: &str) -> Dispatch {
    Dispatch {
        model: None,
        path: "/badges/7?door=3".to_owned(),
        repeatable: false,
        ..running.head(request)
    }
}

#[tokio::test(start_paused = true)]
async fn can_pass_calls_through_within_its_bounds() {
    let badges = Badges::default();
    let (_world, running) = start(&badges).await;
    let calls: Vec<_> =
        (0..12).map(|n| running.dispatch(&head(&running, &format!("r-{n}")))).collect();
    let mut served = 0;
    let mut full = 0;
    for call in calls {
        match call.await.expect("an answer") {
            Answer::Served { text, .. } if text == "granted" => served += 1,
            Answer::NotRun { refusal: Refusal::Full { .. }, .. } => full += 1,
            other => panic!("{other:?}"),
        }
    }
    assert_eq!((served, full), (10, 2), "eight at once, two wait");
    assert!(badges.executions().values().all(|count| *count == 1));
}

#[rstest]
#[case::lost(true)]
#[case::late(false)]
#[tokio::test(start_paused = true)]
async fn never_runs_a_call_twice(#[case] breaks: bool) {
    let badges = Badges { breaks, ..Badges::default() };
    let (_world, running) = start(&badges).await;
    let head = Dispatch { budget: Span::millis(500), ..head(&running, "r-1") };
    let first = running.dispatch(&head);
    pause(700).await;
    let again = running.dispatch(&head);
    let resumed = running.resume("r-1", 0, false);
    for answer in [first, again, resumed] {
        let answer = answer.await.expect("an answer");
        if breaks {
            assert!(matches!(answer, Answer::Unknown(UnknownCause::Endpoint { .. })), "{answer:?}");
        } else {
            assert_eq!(answer.whole(), Some("granted"), "the late answer is kept");
        }
    }
    assert_eq!(badges.executions()["r-1"], 1);
}

/// The connection of a service that fails in the middle of an event may end like that of one that is done.
#[rstest]
#[case::after_an_event("data: a\n\ndata: b\n\n", true)]
#[case::inside_an_event("data: a\n\ndata: b\n", false)]
#[tokio::test(start_paused = true)]
async fn a_stream_that_ends_inside_an_event_is_not_passed_on_as_complete(
    #[case] events: &'static str,
    #[case] is_whole: bool,
) {
    let badges = Badges { events: Some(events), ..Badges::default() };
    let (_world, running) = start(&badges).await;
    let answer = running.dispatch(&head(&running, "r-1")).await.expect("an answer");
    let Answer::Served { text, end, .. } = &answer else { panic!("{answer:?}") };
    assert_eq!(text, events);
    assert_eq!(matches!(end, Some(ResponseEnd::Whole { .. })), is_whole, "{end:?}");
    assert_eq!(matches!(end, Some(ResponseEnd::Failed(_))), !is_whole, "{end:?}");
}

#[tokio::test(start_paused = true)]
async fn can_leave_after_the_calls_in_hand() {
    let badges = Badges::default();
    let (_world, running) = start(&badges).await;
    let call = running.dispatch(&head(&running, "r-1"));
    until(|| running.running() == 1).await;
    running.phase.send_replace(ShutdownPhase::Drain);
    assert_eq!(call.await.expect("an answer").whole(), Some("granted"));
    running.task.await.expect("an agent that ends");
}
