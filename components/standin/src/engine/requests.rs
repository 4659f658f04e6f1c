//! Completions: taken when their model is ready, resumed by byte, cancelled by id.

use std::sync::Arc;

use bytes::Bytes;
use edge::{PRIORITY_HEADER, REQUEST_HEADER};
use http::{HeaderValue, Request, Response, StatusCode, header};
use serde_json::json;
use tokio::sync::oneshot;
use units::{AdapterName, ModelName};
use web::Body;

use super::Engine;
use super::core::{Core, take};
use super::replica::{Place, Slot, Ticket};
use super::run::Run;
use super::tokens::Call;
use crate::server::{self, done, refuse};

/// The priority of requests that name none.
const MIDDLE: u8 = 1;

/// How far into an answer a dropped stream is cut: within its second token.
const CUT_AT: usize = 60;

/// What a caller wants of an engine.
#[derive(Debug)]
pub(crate) struct Asked {
    pub(crate) id: Option<String>,
    pub(crate) priority: u8,
    pub(crate) path: String,
    pub(crate) call: Call,
    /// How much of the answer another engine has made.
    pub(crate) made: usize,
}

/// The priority that a request names.
pub(crate) fn priority(request: &Request<Bytes>) -> u8 {
    let text = server::header(request, PRIORITY_HEADER);
    text.and_then(|text| text.parse().ok()).unwrap_or(MIDDLE)
}

impl Engine {
    pub(super) fn complete(&self, request: &Request<Bytes>) -> Response<Body> {
        let path = request.uri().path().to_owned();
        let id = server::header(request, REQUEST_HEADER).map(str::to_owned);
        match server::parse(request.body()) {
            Ok(call) => self.take(Asked { id, priority: priority(request), path, call, made: 0 }),
            Err(bad) => bad.answer(),
        }
    }

    /// Takes a request if its model is ready; it waits for a slot there.
    pub(super) fn take(&self, asked: Asked) -> Response<Body> {
        let Some((artifact, adapter)) = names(&asked.call.model) else {
            return refuse(StatusCode::BAD_REQUEST, "the model has no right name");
        };
        let mut core = self.core();
        if !can_serve(&core, &artifact, adapter.as_ref()) {
            core.truth.refused += 1;
            return not_ready(&asked.call.model);
        }
        let seq = core.next_seq();
        let id = asked.id.clone().unwrap_or_else(|| format!("unnamed-{seq}"));
        let place = Place { priority: asked.priority, seq };
        let Some((ticket, slot)) = self.enter(&mut core, &artifact, place) else {
            return not_ready(&asked.call.model);
        };
        let run = Arc::new(Run::new(id, ticket, asked));
        core.remember(&run, self.0.settings.kept);
        drop(core);
        tokio::spawn(self.clone().generate(run.clone(), slot));
        self.respond(run, 0)
    }

    /// A request that is still remembered.
    pub(super) fn known(&self, id: &str) -> Option<Arc<Run>> {
        self.core().runs.get(id).cloned()
    }

    /// Queues a request for a slot of a model.
    fn enter(
        &self,
        core: &mut Core,
        artifact: &ModelName,
        place: Place,
    ) -> Option<(Ticket, oneshot::Receiver<Slot>)> {
        let (sender, slot) = oneshot::channel();
        let replica = core.replicas.get_mut(artifact)?;
        replica.waiting.insert(place, sender);
        replica.pump(self, artifact, self.0.settings.slots);
        let ticket = Ticket { artifact: artifact.clone(), serial: replica.serial };
        core.sample();
        Some((ticket, slot))
    }

    /// Takes a slot back and gives it to the next.
    pub(super) fn release(&self, ticket: &Ticket) {
        let mut core = self.core();
        let Some(replica) = core.replica(ticket) else { return };
        replica.running -= 1;
        replica.pump(self, &ticket.artifact, self.0.settings.slots);
        if replica.running == 0 {
            let busy = replica.busy.take();
            core.add_busy(&ticket.artifact, busy);
        }
        core.sample();
    }

    pub(super) fn resume(&self, id: &str, from: u64) -> Response<Body> {
        let Some(run) = self.known(id) else { return unknown() };
        let from = usize::try_from(from).unwrap_or(usize::MAX);
        if from > run.whole.len() {
            return refuse(StatusCode::RANGE_NOT_SATISFIABLE, "the answer is shorter");
        }
        self.respond(run, from)
    }

    pub(super) async fn cancel(&self, id: &str) -> Response<Body> {
        let Some(run) = self.known(id) else { return unknown() };
        run.stop();
        run.ended().await;
        done()
    }

    fn respond(&self, run: Arc<Run>, from: usize) -> Response<Body> {
        let cut = take(&mut self.core().faults.cuts).then_some(from + CUT_AT);
        let kind = if run.call.stream { "text/event-stream" } else { "application/json" };
        let (writer, body) = web::channel();
        tokio::spawn(self.clone().deliver(run, from, cut, writer));
        let mut response = Response::new(body);
        response.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static(kind));
        response
    }
}

impl Core {
    /// Keeps a request for a resume; the oldest goes when there are too many.
    fn remember(&mut self, run: &Arc<Run>, limit: usize) {
        self.runs.insert(run.id.clone(), run.clone());
        self.recent.push_back(run.id.clone());
        while self.recent.len() > limit {
            let Some(oldest) = self.recent.pop_front() else { return };
            self.runs.remove(&oldest);
        }
    }
}

/// Splits `page-text@v2:urdu` into model and adapter.
fn names(text: &str) -> Option<(ModelName, Option<AdapterName>)> {
    match text.split_once(':') {
        Some((model, adapter)) => Some((model.parse().ok()?, Some(adapter.parse().ok()?))),
        None => Some((text.parse().ok()?, None)),
    }
}

fn can_serve(core: &Core, artifact: &ModelName, adapter: Option<&AdapterName>) -> bool {
    let Some(replica) = core.is_ready(artifact) else { return false };
    adapter.is_none_or(|name| replica.adapters.get(name).is_some_and(|adapter| adapter.ready))
}

fn not_ready(model: &str) -> Response<Body> {
    web::json(StatusCode::CONFLICT, &json!({ "error": format!("`{model}` is not ready") }))
}

pub(crate) fn unknown() -> Response<Body> {
    refuse(StatusCode::NOT_FOUND, "no such request")
}
