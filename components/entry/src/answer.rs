//! Answers to callers.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_util::stream;
use http::{HeaderMap, HeaderValue, Response, StatusCode, header};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use serde::Serialize;
use tokio::sync::mpsc;
use units::RequestId;
use web::Body;
use wire::{Outcome, Refusal, UnknownCause};

use crate::invalid::Invalid;

/// The header that says how a request ended.
const OUTCOME: &str = "hyssop-outcome";
/// The header with the request's id.
const REQUEST: &str = "hyssop-request";
/// When to come back if the refusal does not say.
const RETRY: Duration = Duration::from_secs(1);

/// The head of an endpoint's answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct AnswerHead {
    pub(crate) status: StatusCode,
    pub(crate) content: Option<HeaderValue>,
}

/// What the task that carries a request tells the one that answers the caller.
#[derive(Debug)]
pub(crate) enum Message {
    /// The endpoint has begun to answer.
    Head(AnswerHead),
    /// The next bytes of its answer.
    Bytes(Bytes),
    /// How the request ended.
    End(Outcome<()>),
}

#[derive(Debug, Serialize)]
struct ErrorBody<'a> {
    error: ErrorDetail<'a>,
}

#[derive(Debug, Serialize)]
struct ErrorDetail<'a> {
    r#type: &'a str,
    message: String,
    outcome: &'static str,
    request: &'a RequestId,
}

/// Answers the caller from the first message on.
pub(crate) async fn respond(
    request: &RequestId,
    mut messages: mpsc::Receiver<Message>,
) -> Response<Body> {
    match messages.recv().await {
        Some(Message::Head(head)) => streamed(request, &head, messages),
        Some(Message::End(Outcome::NotRun(refusal))) => refused(request, &refusal),
        Some(Message::End(Outcome::Unknown(cause))) => unknown(request, &cause),
        Some(Message::End(Outcome::Served(())) | Message::Bytes(_)) | None => {
            unknown(request, &broken_off())
        }
    }
}

/// The answer to a request that can't be read or leads nowhere.
pub(crate) fn invalid(request: &RequestId, invalid: &Invalid) -> Response<Body> {
    error(request, invalid.status(), invalid.kind(), invalid.to_string(), "not-run")
}

/// The answer to a request that was not run.
pub(crate) fn refused(request: &RequestId, refusal: &Refusal) -> Response<Body> {
    let status = refusal_status(refusal);
    let kind = tag(refusal, "refusal");
    let mut response = error(request, status, &kind, refusal.to_string(), "not-run");
    if status != StatusCode::CONFLICT {
        let secs = retry_after(refusal).as_secs_f64().ceil().max(1.0);
        set(response.headers_mut(), header::RETRY_AFTER.as_str(), &format!("{secs:.0}"));
    }
    response
}

/// The answer to a request whose outcome is not known.
pub(crate) fn unknown(request: &RequestId, cause: &UnknownCause) -> Response<Body> {
    let kind = tag(cause, "unknown");
    error(request, StatusCode::GATEWAY_TIMEOUT, &kind, cause.to_string(), "unknown")
}

/// Marks an answer of the entry itself.
pub(crate) fn mark(response: &mut Response<Body>, request: &RequestId, outcome: &str) {
    set(response.headers_mut(), OUTCOME, outcome);
    set(response.headers_mut(), REQUEST, request.as_str());
}

/// Asks the caller to open a new connection, which the balancer leads to another entry.
pub(crate) fn close(response: &mut Response<Body>) {
    set(response.headers_mut(), header::CONNECTION.as_str(), "close");
}

fn refusal_status(refusal: &Refusal) -> StatusCode {
    match refusal {
        Refusal::Full { .. } | Refusal::Hopeless { .. } => StatusCode::TOO_MANY_REQUESTS,
        Refusal::KeyTaken => StatusCode::CONFLICT,
        Refusal::Late
        | Refusal::Leaving
        | Refusal::Incarnation { .. }
        | Refusal::NoGrant
        | Refusal::LoadFailed { .. }
        | Refusal::Cancelled
        | Refusal::NoEndpoint { .. }
        | Refusal::NoClaim { .. }
        | Refusal::Endpoint { .. }
        | Refusal::Shutdown => StatusCode::SERVICE_UNAVAILABLE,
    }
}

fn retry_after(refusal: &Refusal) -> Duration {
    match refusal {
        Refusal::Hopeless { wait } => wait.0,
        Refusal::Full { retry } | Refusal::NoEndpoint { retry } | Refusal::NoClaim { retry } => {
            retry.0
        }
        _ => RETRY,
    }
}

fn error(
    request: &RequestId,
    status: StatusCode,
    kind: &str,
    message: String,
    outcome: &'static str,
) -> Response<Body> {
    let detail = ErrorDetail { r#type: kind, message, outcome, request };
    let mut response = web::json(status, &ErrorBody { error: detail });
    mark(&mut response, request, outcome);
    response
}

/// The serde tag of a closed set's member, as it stands on the wire.
fn tag<T: Serialize>(value: &T, name: &str) -> String {
    let value = serde_json::to_value(value).unwrap_or_default();
    value.get(name).and_then(|tag| tag.as_str()).unwrap_or("error").to_owned()
}

fn set(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}

fn broken_off() -> UnknownCause {
    UnknownCause::Endpoint { cause: "the entry lost track of the request".to_owned() }
}

fn streamed(
    request: &RequestId,
    head: &AnswerHead,
    messages: mpsc::Receiver<Message>,
) -> Response<Body> {
    let events = head.content.as_ref().is_some_and(sse::is_event_stream);
    let source = Source { messages, request: request.clone(), events, ended: false };
    let frames = stream::unfold(source, |mut source| async move {
        let frame = source.next().await?;
        Some((frame, source))
    });
    let mut response = Response::new(StreamBody::new(frames).boxed_unsync());
    *response.status_mut() = head.status;
    if let Some(content) = &head.content {
        response.headers_mut().insert(header::CONTENT_TYPE, content.clone());
    }
    mark(&mut response, request, "served");
    response
}

/// The body of an answer that has begun.
struct Source {
    messages: mpsc::Receiver<Message>,
    request: RequestId,
    events: bool,
    ended: bool,
}

impl Source {
    async fn next(&mut self) -> Option<std::io::Result<Frame<Bytes>>> {
        if self.ended {
            return None;
        }
        match self.messages.recv().await {
            Some(Message::Bytes(bytes)) => Some(Ok(Frame::data(bytes))),
            Some(Message::End(Outcome::Served(()))) => None,
            Some(Message::End(Outcome::Unknown(cause))) => Some(self.fail(&cause)),
            Some(Message::End(Outcome::NotRun(_)) | Message::Head(_)) | None => {
                Some(self.fail(&broken_off()))
            }
        }
    }

    /// Ends a stream of events with an error event, and cuts any other body, so that it can't look whole.
    fn fail(&mut self, cause: &UnknownCause) -> std::io::Result<Frame<Bytes>> {
        self.ended = true;
        if !self.events {
            return Err(std::io::Error::other(cause.to_string()));
        }
        let kind = tag(cause, "unknown");
        let detail = ErrorDetail {
            r#type: &kind,
            message: cause.to_string(),
            outcome: "unknown",
            request: &self.request,
        };
        let json = serde_json::to_vec(&ErrorBody { error: detail }).unwrap_or_default();
        let mut event = BytesMut::from(&b"event: error\ndata: "[..]);
        event.extend_from_slice(&json);
        event.extend_from_slice(b"\n\n");
        Ok(Frame::data(event.freeze()))
    }
}

#[cfg(test)]
mod tests;
