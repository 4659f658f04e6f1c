//! The requests that entries send.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use timeline::Kind;
use tokio::time::Instant;
use units::ModelName;
use web::Body;
use wire::{DISPATCH_PATH, Dispatch, RESUME_PATH, Refusal, Resume, UnknownCause};

use crate::agent::Agent;
use crate::answer;
use crate::queue::AdapterNeed;
use crate::serve::{self, Job};
use crate::slot::Cancel;
use crate::table::Begin;

/// The largest body of a call, in bytes; entries refuse larger ones before.
const BODY_LIMIT: usize = 16 << 20;

/// Answers a request of an entry.
pub(crate) async fn handle<B>(
    agent: Arc<Agent>,
    request: Request<B>,
    _peer: SocketAddr,
) -> Response<Body>
where
    B: hyper::body::Body<Data = Bytes>,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    match request.uri().path() {
        DISPATCH_PATH => dispatch(agent, request).await,
        RESUME_PATH => resume(agent, request).await,
        path => web::text(StatusCode::NOT_FOUND, format!("no `{path}` here\n")),
    }
}

async fn dispatch<B>(agent: Arc<Agent>, request: Request<B>) -> Response<Body>
where
    B: hyper::body::Body<Data = Bytes>,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let arrived = Instant::now();
    let head = match Dispatch::read(request.headers()) {
        Ok(head) => head,
        Err(error) => return web::text(StatusCode::BAD_REQUEST, format!("{error}\n")),
    };
    agent.recorder.clock().observe(head.tick);
    let model = agent.model_of(&head);
    let current = agent.incarnation();
    if head.incarnation != current {
        return refuse(&agent, &model, &Refusal::Incarnation { current });
    }
    let body = match web::read(request.into_body(), BODY_LIMIT).await {
        Ok(body) => body,
        Err(error) => return web::text(StatusCode::BAD_REQUEST, format!("{error}\n")),
    };
    let begin = agent.table().begin(&head.request, &model, head.repeatable, head.budget.0);
    match begin {
        Begin::Known(slot) => answer::from_slot(&agent, slot, 0).await,
        Begin::Full => refuse(&agent, &model, &agent.full()),
        Begin::New(slot) => {
            let deadline = arrived + head.budget.0;
            agent.record_request(Kind::Queued, &slot.id, &model);
            let adapter = agent.adapter_of(&head);
            let kept = slot.clone();
            let job = Job { slot: kept, head, model, adapter, body, arrived, deadline };
            tokio::spawn(serve::run(agent.clone(), job));
            answer::from_slot(&agent, slot, 0).await
        }
    }
}

async fn resume<B>(agent: Arc<Agent>, request: Request<B>) -> Response<Body> {
    let head = match Resume::read(request.headers()) {
        Ok(head) => head,
        Err(error) => return web::text(StatusCode::BAD_REQUEST, format!("{error}\n")),
    };
    agent.recorder.clock().observe(head.tick);
    if head.incarnation != agent.incarnation() {
        return answer::unknown(&UnknownCause::AgentGone);
    }
    let found = agent.table().find(&head.request);
    match found {
        Begin::Full => web::text(StatusCode::SERVICE_UNAVAILABLE, "the request table is full\n"),
        Begin::New(slot) => {
            agent.record(Kind::Cancelled, |event| event.request(&slot.id).note("tombstone"));
            answer::from_slot(&agent, slot, head.from).await
        }
        Begin::Known(slot) if head.cancel => match slot.cancel() {
            Cancel::RunsOn => answer::unknown(&UnknownCause::Deadline),
            Cancel::Stopping => {
                slot.over().await;
                answer::unknown(&UnknownCause::Deadline)
            }
            Cancel::Refused | Cancel::Over => answer::from_slot(&agent, slot, head.from).await,
        },
        Begin::Known(slot) => answer::from_slot(&agent, slot, head.from).await,
    }
}

fn refuse(agent: &Agent, model: &ModelName, refusal: &Refusal) -> Response<Body> {
    agent.count_refusal(refusal);
    let mut response = answer::refused(refusal);
    agent.report(Some(model)).write(response.headers_mut());
    response
}

impl Agent {
    /// The model of a request; for plain services the service stands in its place.
    fn model_of(&self, head: &Dispatch) -> ModelName {
        head.model.clone().unwrap_or_else(|| self.settings.service_model())
    }

    /// The adapter that a request needs, with the memory that the tree gives it.
    fn adapter_of(&self, head: &Dispatch) -> Option<AdapterNeed> {
        let (model, name) = (head.model.as_ref()?, head.adapter.clone()?);
        let leaf = self.journal.read(|state| state.tree().resolve(&format!("{model}:{name}")));
        let weights = leaf.map(|leaf| leaf.settings.adapter_weights).unwrap_or_default();
        Some(AdapterNeed { name, weights })
    }

    fn full(&self) -> Refusal {
        Refusal::Full { retry: self.settings.grace }
    }

    /// Counts a refusal by its kind.
    pub(crate) fn count_refusal(&self, refusal: &Refusal) {
        let kind = match refusal {
            Refusal::Late => "late",
            Refusal::Hopeless { .. } => "hopeless",
            Refusal::Full { .. } => "full",
            Refusal::Leaving => "leaving",
            Refusal::Incarnation { .. } => "incarnation",
            Refusal::NoGrant => "no-grant",
            Refusal::LoadFailed { .. } => "load-failed",
            Refusal::Cancelled => "cancelled",
            Refusal::Endpoint { .. } => "endpoint",
            Refusal::NoEndpoint { .. } => "no-endpoint",
            Refusal::NoClaim { .. } => "no-claim",
            Refusal::KeyTaken => "key-taken",
            Refusal::Shutdown => "shutdown",
        };
        metrics::counter!("hyssop_agent_refusals_total", "kind" => kind).increment(1);
    }
}
