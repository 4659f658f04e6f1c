//! Sends a request to one endpoint.

use std::error::Error;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::HeaderMap;
use http::{Method, Request, Response, Uri, response};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::client::conn::TrySendError;
use platform::ForwardOptions;
use quarantine::Fingerprint;
use tokio::time::Instant;
use web::{Body, CheckedBody, CheckedResponse, Framing, SegmentedBytes};

use crate::caller::CallerConnection;
use crate::pool::Connection;
use crate::reservation::Reservation;
use crate::reset::UnansweredRequest;
use crate::retry::RetrySlot;

/// Idle time after which a connection is closed if the server states none.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_millis(500);
/// The longest stated idle time that is believed; no time can be computed that is much later.
const MAX_IDLE_TIMEOUT: Duration = Duration::from_secs(3_600);
/// Fraction of the stated idle time that is used, since the server counts from another moment.
const IDLE_TIMEOUT_FRACTION: f64 = 0.75;

/// A response of an endpoint whose head has arrived.
#[derive(Debug)]
pub(crate) struct EndpointResponse {
    pub(crate) head: response::Parts,
    framing: Framing,
    body: CheckedBody,
    pub(crate) connection: Connection,
    pub(crate) reservation: Reservation,
}

impl EndpointResponse {
    /// Reads the next part of the body; none at its end.
    pub(crate) async fn next_part(&mut self) -> Option<Result<Bytes, String>> {
        let frame = self.body.frame().await?;
        self.connection.allowance.renew();
        let frame = match frame {
            Ok(frame) => frame,
            Err(error) => return Some(Err(with_source(&error))),
        };
        // What hyper returns keeps the read buffer of the connection, which is larger, from being reused.
        let part = frame.data_ref().map_or_else(Bytes::new, |data| Bytes::copy_from_slice(data));
        Some(Ok(part))
    }

    /// What marks the end of the body.
    pub(crate) fn framing(&self) -> Framing {
        self.framing
    }

    /// Sets that the body is a stream of events.
    pub(crate) fn expect_events(&mut self) {
        self.body.expect_events();
    }

    /// Clears the request of suspicion and returns the connection to the pool; the body must have
    /// been read to its marked end.
    pub(crate) fn release_connection(mut self) {
        self.reservation.clear_suspicion();
        let timeout = idle_timeout(&self.head.headers);
        if !timeout.is_zero() {
            self.reservation.pool.keep(self.connection, timeout);
        }
    }
}

/// Outcome of sending a request to one endpoint.
#[derive(Debug)]
pub(crate) enum SendOutcome {
    /// The head of a response has arrived.
    Response(Box<EndpointResponse>),
    /// The request was not sent, because its caller has disconnected.
    CallerLeft,
    /// The request was not sent, because its endpoint does not accept requests any more.
    Draining,
    /// The request was certainly not sent.
    NotSent(String),
    /// The request may have run, and the connection failed before a response.
    Interrupted(String),
    /// No response came before the deadline; the request may have run.
    TimedOut,
    /// No response has come yet, and another endpoint, which is reserved, is expected to be faster.
    Abandoned(Box<Reservation>),
}

/// The request as it is sent to an endpoint.
#[derive(Debug, Clone)]
pub(crate) struct OutgoingRequest {
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: SegmentedBytes,
    /// Identifies the request by its content, whatever its id.
    pub(crate) fingerprint: Arc<Fingerprint>,
}

/// How long the head of a response is waited for.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ResponseDeadlines {
    /// When the request is given up.
    pub(crate) deadline: Instant,
    /// When another endpoint is considered, if the request may be retried.
    pub(crate) reconsider_at: Option<Instant>,
}

/// Sends a request and waits for the head of its response. `alternative` reserves another endpoint
/// if that one is expected to be faster; it is polled from the time to reconsider on.
pub(crate) async fn send(
    mut reservation: Reservation,
    caller: &CallerConnection,
    outgoing: &OutgoingRequest,
    sending: &ForwardOptions<'_>,
    retry: &RetrySlot,
    deadlines: ResponseDeadlines,
    alternative: impl Future<Output = Option<Reservation>>,
) -> SendOutcome {
    let deadline = deadlines.deadline;
    let built = platform::build_request(
        &outgoing.method,
        &outgoing.uri,
        &outgoing.headers,
        outgoing.body.clone(),
        sending,
    );
    let mut request = match built {
        Ok(request) => request,
        Err(error) => return SendOutcome::NotSent(error.to_string()),
    };
    let mut connection = match reservation.pool.take(deadline).await {
        Ok(connection) => connection,
        Err(error) => return SendOutcome::NotSent(error.to_string()),
    };
    let mut alternative = std::pin::pin!(alternative);
    loop {
        if caller.is_closed() {
            // Nothing was written on the connection, so it can be used again.
            if !connection.fresh {
                reservation.pool.keep(connection, DEFAULT_IDLE_TIMEOUT);
            }
            return SendOutcome::CallerLeft;
        }
        if !reservation.is_open() {
            // The endpoint has started to drain while the connection was opened.
            return SendOutcome::Draining;
        }
        reservation.record_sent(&outgoing.fingerprint);
        reservation.start_incarnation_check(&connection);
        retry.record_sent();
        let unanswered = UnansweredRequest::new(&connection, &reservation.pool);
        match attempt(&mut connection, request, deadlines, alternative.as_mut()).await {
            Attempt::Response(response) => {
                let CheckedResponse { head, framing, body } = *response;
                unanswered.finish();
                connection.allowance.renew();
                reservation.apply_headers(head.status, &head.headers);
                reservation.record_begun();
                return SendOutcome::Response(Box::new(EndpointResponse {
                    head,
                    framing,
                    body,
                    connection,
                    reservation,
                }));
            }
            Attempt::NotSent(unsent) if !connection.fresh => {
                // The idle connection was closed before anything was written on it.
                request = *unsent;
                reservation.clear_suspicion();
                connection = match reservation.pool.open(deadline).await {
                    Ok(connection) => connection,
                    Err(error) => return SendOutcome::NotSent(error.to_string()),
                };
            }
            Attempt::NotSent(_) => {
                reservation.clear_suspicion();
                return SendOutcome::NotSent("the connection was closed".to_owned());
            }
            Attempt::Interrupted(cause) => return SendOutcome::Interrupted(cause),
            Attempt::TimedOut => return SendOutcome::TimedOut,
            Attempt::Abandoned(other) => return SendOutcome::Abandoned(other),
        }
    }
}

/// Outcome of sending a request on one connection, as in [`SendOutcome`].
enum Attempt {
    Response(Box<CheckedResponse>),
    /// The request was not sent.
    NotSent(Box<Request<Body>>),
    Interrupted(String),
    TimedOut,
    Abandoned(Box<Reservation>),
}

async fn attempt(
    connection: &mut Connection,
    request: Request<Body>,
    deadlines: ResponseDeadlines,
    alternative: Pin<&mut impl Future<Output = Option<Reservation>>>,
) -> Attempt {
    let method = request.method().clone();
    let mut response = std::pin::pin!(connection.sender.try_send_request(request));
    if let Some(reconsider_at) = deadlines.reconsider_at
        && let Ok(response) = tokio::time::timeout_at(reconsider_at, response.as_mut()).await
    {
        return classify(&method, response);
    }
    if deadlines.reconsider_at.is_some_and(|reconsider_at| reconsider_at < deadlines.deadline) {
        // The endpoint may be working on the request, so it is only left for another one that is
        // free.
        let other = tokio::select! {
            biased;
            response = response.as_mut() => return classify(&method, response),
            other = alternative => other,
            () = tokio::time::sleep_until(deadlines.deadline) => return Attempt::TimedOut
        };
        if let Some(other) = other {
            return Attempt::Abandoned(Box::new(other));
        }
    }
    match tokio::time::timeout_at(deadlines.deadline, response).await {
        Err(_) => Attempt::TimedOut,
        Ok(response) => classify(&method, response),
    }
}

fn classify(
    method: &Method,
    response: Result<Response<Incoming>, TrySendError<Request<Body>>>,
) -> Attempt {
    match response {
        Ok(response) => match CheckedResponse::new(method, response) {
            Ok(response) => Attempt::Response(Box::new(response)),
            Err(error) => Attempt::Interrupted(error.to_string()),
        },
        Err(mut error) => match error.take_message() {
            Some(request) => Attempt::NotSent(Box::new(request)),
            None => Attempt::Interrupted(with_source(&error.into_error())),
        },
    }
}

/// The text of an error, and of what caused it.
fn with_source(error: &dyn Error) -> String {
    match error.source() {
        Some(source) => format!("{error}: {source}"),
        None => error.to_string(),
    }
}

/// How long the connection of a response may stay idle.
fn idle_timeout(headers: &HeaderMap) -> Duration {
    let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
    if text("connection").is_some_and(|value| value.to_ascii_lowercase().contains("close")) {
        return Duration::ZERO;
    }
    let stated = text("keep-alive").and_then(|value| {
        let seconds = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
        seconds.parse::<u64>().ok()
    });
    stated.map_or(DEFAULT_IDLE_TIMEOUT, |seconds| {
        Duration::from_secs(seconds).min(MAX_IDLE_TIMEOUT).mul_f64(IDLE_TIMEOUT_FRACTION)
    })
}

#[cfg(test)]
mod tests;
