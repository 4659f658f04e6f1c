//! Relays a response that is no stream to the caller.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use events::{Event, Refusal, emit, millis};
use http::Response;
use http::header;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::Instant;
use web::{Body, Framing};

use crate::exchange::EndpointResponse;
use crate::in_flight::{Failure, InFlightRequest};

/// The largest response that is read whole before it is relayed, so that the request can be
/// retried if the response breaks off.
const MAX_BUFFERED_BYTES: usize = 8 << 20;

/// What is logged of a request.
#[derive(Debug, Clone)]
pub(crate) struct RequestLog {
    pub(crate) request_id: String,
    pub(crate) class: String,
    pub(crate) arrived: Instant,
    /// When the caller stops waiting.
    pub(crate) deadline: Instant,
}

impl RequestLog {
    pub(crate) fn log_response(&self, status: u16, timing: &ResponseTiming, end: ResponseEnd) {
        let since = |at: Instant| millis(at - self.arrived);
        let first = timing.first.unwrap_or_else(Instant::now);
        emit(&Event::Answered {
            request: &self.request_id,
            class: &self.class,
            status,
            first_ms: since(first),
            total_ms: since(Instant::now()),
            gap_ms: millis(timing.longest_gap),
            whole: end.whole,
            framing: end.framing.as_str(),
            tail_bytes: end.tail_bytes,
        });
    }

    pub(crate) fn log_caller_left(&self) {
        let now = Instant::now();
        emit(&Event::CallerLeft {
            request: &self.request_id,
            held_ms: millis(now - self.arrived),
            left_ms: millis(self.deadline.saturating_duration_since(now)),
        });
    }
}

/// How a response ended.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ResponseEnd {
    pub(crate) framing: Framing,
    /// The bytes of a stream after its last complete event.
    pub(crate) tail_bytes: usize,
    pub(crate) whole: bool,
}

/// When chunks of a response arrived.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct ResponseTiming {
    pub(crate) first: Option<Instant>,
    last: Option<Instant>,
    pub(crate) longest_gap: Duration,
}

impl ResponseTiming {
    pub(crate) fn record_chunk(&mut self) {
        let now = Instant::now();
        self.first.get_or_insert(now);
        if let Some(last) = self.last.replace(now) {
            self.longest_gap = self.longest_gap.max(now - last);
        }
    }
}

/// Reads a response that is no stream, then relays it. If it breaks off, the request is retried
/// where that is allowed.
pub(crate) async fn relay_buffered(
    request: &mut InFlightRequest,
    mut response: EndpointResponse,
    request_log: &RequestLog,
) -> Result<Response<Body>, Failure> {
    let mut timing = ResponseTiming::default();
    timing.record_chunk();
    loop {
        let collected =
            tokio::time::timeout_at(request.deadline, collect(&mut response.body)).await;
        let Ok(collected) = collected else {
            return Err(request.failure(Refusal::TimedOut, None));
        };
        match collected {
            Ok(bytes) => {
                response.reservation.record_data(Instant::now());
                let mut headers = platform::passed_headers(&response.head.headers);
                headers.remove(header::CONTENT_LENGTH);
                let mut relayed = Response::new(web::full(bytes));
                *relayed.status_mut() = response.head.status;
                *relayed.headers_mut() = headers;
                let end = ResponseEnd { framing: response.framing(), tail_bytes: 0, whole: true };
                request_log.log_response(response.head.status.as_u16(), &timing, end);
                request.complete(response);
                return Ok(relayed);
            }
            Err(cause) => {
                // This run was already counted when its response began.
                request.runs -= 1;
                let id = response.reservation.id.clone();
                drop(response);
                request.interrupted(&id, &cause)?;
                response = request.fetch_response(None).await?;
            }
        }
    }
}

/// Reads a response body whole, up to [`MAX_BUFFERED_BYTES`].
async fn collect(body: &mut Incoming) -> Result<Bytes, String> {
    let mut bytes = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| error.to_string())?;
        if let Ok(data) = frame.into_data() {
            bytes.extend_from_slice(&data);
        }
        if bytes.len() > MAX_BUFFERED_BYTES {
            return Err("the response is too large".to_owned());
        }
    }
    Ok(bytes.freeze())
}
