//! Answers the requests of routers.

use bytes::Bytes;
use control::{
    ENGINE_PATH, ENSURE_PATH, EndpointState, EngineUpdate, EnsureOutcome, EnsureRequest,
    EnsureResponse, GRANT_PATH, GrantRequest, GrantResponse, INCARNATIONS_PATH, IncarnationsAnswer,
    IncarnationsQuery, ORIGIN_PATH, ORIGINS_PATH, OriginQuery, POLL_PATH, PollRequest,
    PollResponse, UPDATES_PATH,
};
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use mirror::{Mirror, UpdatesRequest};
use platform::Store;
use ratelimit::{Grant, Limiters};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::Instant;
use units::{Era, Rate};
use web::Body;

use crate::incarnations::Incarnations;
use crate::origins::Origins;

/// The largest accepted request body; an engine with some thousands of models fits.
const MAX_BODY_BYTES: usize = 4 << 20;
/// The longest time that the loader keeps a router waiting for an answer.
const MAX_WAIT: Duration = Duration::from_secs(30);
/// When a router should retry a request for a model that the controller has not answered in time or has dropped.
const UNANSWERED_RETRY_AFTER: Duration = Duration::from_millis(300);

/// A message from a router to the controller.
#[derive(Debug)]
pub(crate) enum Command {
    /// A router polls, and reports the models that it uses.
    Poll(PollRequest),
    /// A router asks for a model.
    Ensure(EnsureRequest, oneshot::Sender<EnsureOutcome>),
    /// A router reports what the endpoint can hold.
    Engine(EngineUpdate),
}

/// Answers one request of a router; cheap to clone.
#[derive(Debug, Clone)]
pub(crate) struct RouterApi {
    pub(crate) commands: mpsc::Sender<Command>,
    pub(crate) state: watch::Receiver<EndpointState>,
    /// The highest era of the store that a router has reported.
    pub(crate) highest_era: watch::Sender<Era>,
    /// Schedule the requests of routers to the loader's own endpoint and to endpoints without a loader.
    pub(crate) limiters: Arc<Mutex<Limiters>>,
    /// Mirrors topics of the store for routers.
    pub(crate) mirror: Mirror<Store>,
    /// Where streams began, as routers have told this loader.
    pub(crate) origins: Arc<Mutex<Origins>>,
    /// The incarnations in which the loader has seen its endpoint.
    pub(crate) incarnations: Incarnations,
}

impl RouterApi {
    /// Answers a request.
    pub(crate) async fn handle(self, request: Request<Incoming>) -> Response<Body> {
        let (parts, body) = request.into_parts();
        if parts.method != Method::POST {
            return web::text(StatusCode::METHOD_NOT_ALLOWED, "use POST\n");
        }
        let bytes = match web::read(body, MAX_BODY_BYTES).await {
            Ok(bytes) => bytes,
            Err(error) => return web::text(StatusCode::BAD_REQUEST, error.to_string()),
        };
        let response = match parts.uri.path() {
            POLL_PATH => self.poll(&bytes).await,
            ENSURE_PATH => self.ensure(&bytes).await,
            ENGINE_PATH => self.engine(&bytes).await,
            GRANT_PATH => self.grant(&bytes),
            UPDATES_PATH => self.updates(&bytes).await,
            ORIGINS_PATH => return self.keep_origins(&bytes),
            ORIGIN_PATH => self.find_origin(&bytes),
            INCARNATIONS_PATH => self.name_incarnations(&bytes).await,
            _ => return web::text(StatusCode::NOT_FOUND, "no such call\n"),
        };
        response.unwrap_or_else(|error| {
            let text = format!("the message can't be read: {error}\n");
            web::text(StatusCode::BAD_REQUEST, text)
        })
    }

    async fn poll(mut self, bytes: &Bytes) -> Result<Response<Body>, serde_json::Error> {
        let poll: PollRequest = serde_json::from_slice(bytes)?;
        let (seen, wait, era) = (poll.seen, poll.wait.min(MAX_WAIT), poll.era);
        self.highest_era.send_if_modified(|highest| {
            let later = era > *highest;
            *highest = era.max(*highest);
            later
        });
        let _ = self.commands.send(Command::Poll(poll)).await;
        let changed = self.state.wait_for(|state| state.version != seen);
        let changed = tokio::time::timeout(wait, changed).await.is_ok();
        let response = if changed {
            PollResponse::Changed(Box::new(self.state.borrow().clone()))
        } else {
            PollResponse::Unchanged(self.state.borrow().load)
        };
        Ok(web::json(StatusCode::OK, &response))
    }

    async fn ensure(self, bytes: &Bytes) -> Result<Response<Body>, serde_json::Error> {
        let ensure: EnsureRequest = serde_json::from_slice(bytes)?;
        let within = ensure.within.min(MAX_WAIT);
        let (reply, outcome) = oneshot::channel();
        let _ = self.commands.send(Command::Ensure(ensure, reply)).await;
        let outcome = match tokio::time::timeout(within, outcome).await {
            Ok(Ok(outcome)) => outcome,
            Ok(Err(_)) | Err(_) => EnsureOutcome::Refused(UNANSWERED_RETRY_AFTER),
        };
        let state = self.state.borrow().clone();
        Ok(web::json(StatusCode::OK, &EnsureResponse { outcome, state }))
    }

    async fn engine(self, bytes: &Bytes) -> Result<Response<Body>, serde_json::Error> {
        let update: EngineUpdate = serde_json::from_slice(bytes)?;
        let _ = self.commands.send(Command::Engine(update)).await;
        Ok(self.current_state())
    }

    fn grant(self, bytes: &Bytes) -> Result<Response<Body>, serde_json::Error> {
        let request: GrantRequest = serde_json::from_slice(bytes)?;
        let GrantRequest { endpoint, incarnation, limit, max_wait } = request;
        // Either may be newer: the loader's last report, or the answer that the router has got since. The lower limit is safe.
        let limit = {
            let state = self.state.borrow();
            let own = state.endpoint.as_ref() == Some(&endpoint);
            let reported = state.rate_limit.filter(|_| own);
            reported.map_or(limit, |reported| Rate(limit.0.min(reported.0)))
        };
        let mut limiters = self.limiters.lock().unwrap_or_else(PoisonError::into_inner);
        let grant = limiters.acquire(&endpoint, incarnation, limit, max_wait, Instant::now());
        let response = match grant {
            Grant::After(wait) => GrantResponse::After(wait),
            Grant::Refused(after) => GrantResponse::Refused(after),
        };
        Ok(web::json(StatusCode::OK, &response))
    }

    async fn updates(self, bytes: &Bytes) -> Result<Response<Body>, serde_json::Error> {
        let request: UpdatesRequest = serde_json::from_slice(bytes)?;
        Ok(match self.mirror.answer(request).await {
            Some(updates) => Response::new(web::full(updates.encode())),
            None => web::text(StatusCode::GONE, "the records are not mirrored here\n"),
        })
    }

    fn keep_origins(&self, bytes: &Bytes) -> Response<Body> {
        let mut origins = self.origins.lock().unwrap_or_else(PoisonError::into_inner);
        match origins.keep(bytes, Instant::now()) {
            Ok(()) => web::text(StatusCode::NO_CONTENT, ""),
            Err(error) => web::text(StatusCode::BAD_REQUEST, format!("{error}\n")),
        }
    }

    fn find_origin(&self, bytes: &Bytes) -> Result<Response<Body>, serde_json::Error> {
        let query: OriginQuery = serde_json::from_slice(bytes)?;
        let origins = self.origins.lock().unwrap_or_else(PoisonError::into_inner);
        Ok(web::json(StatusCode::OK, &origins.find(&query, Instant::now())))
    }

    async fn name_incarnations(&self, bytes: &Bytes) -> Result<Response<Body>, serde_json::Error> {
        let query: IncarnationsQuery = serde_json::from_slice(bytes)?;
        let own = self.state.borrow().endpoint.as_ref() == Some(&query.endpoint);
        let answer = if own {
            self.incarnations.answer(query.renew).await
        } else {
            IncarnationsAnswer::default()
        };
        Ok(web::json(StatusCode::OK, &answer))
    }

    fn current_state(&self) -> Response<Body> {
        web::json(StatusCode::OK, &*self.state.borrow())
    }
}

#[cfg(test)]
mod tests;
