//! Relays a response that is no stream to the caller.

use std::time::Duration;

use bytes::Bytes;
use events::{Event, Refusal, emit, millis};
use http::{Response, Version, header};
use tokio::time::Instant;
use web::{Body, BodyBuffer, BodyWriter, ByteBudget, Framing};

use crate::exchange::EndpointResponse;
use crate::in_flight::{Failure, InFlightRequest};

/// The largest response that is read whole before it is relayed, so that the request can be
/// retried if the response breaks off.
const MAX_BUFFERED_BYTES: usize = 4 << 20;

/// The longest body of a response that is read although it is not passed on.
const MAX_DISCARDED_BYTES: usize = 64 << 10;

/// Why a response is broken off that is not complete when the process ends.
pub(crate) const STOP_CAUSE: &str = "the router must end";

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
/// where that is allowed. A response that is too large to be held back is passed on as it arrives.
pub(crate) async fn relay_buffered(
    mut request: InFlightRequest,
    mut response: EndpointResponse,
    request_log: &RequestLog,
) -> Result<Response<Body>, Failure> {
    let mut timing = ResponseTiming::default();
    timing.record_chunk();
    loop {
        if platform::indicates_not_executed(response.head.status) {
            let failure = request.failure(Refusal::UnconfirmedRefusal, None);
            tokio::spawn(discard(request, response));
            return Err(failure);
        }
        let budget = &request.shared.held_responses;
        let collected =
            tokio::time::timeout_at(request.deadline, collect(&mut response, budget)).await;
        let Ok(collected) = collected else {
            return Err(request.failure(Refusal::TimedOut, None));
        };
        match collected {
            Ok(Collected::Whole(bytes)) => {
                response.reservation.record_data(Instant::now());
                let mut relayed = relayed_head(&response, web::full(bytes));
                relayed.headers_mut().remove(header::CONTENT_LENGTH);
                let end = ResponseEnd { framing: response.framing(), tail_bytes: 0, whole: true };
                request_log.log_response(response.head.status.as_u16(), &timing, end);
                request.complete(response);
                return Ok(relayed);
            }
            Ok(Collected::Start(start)) => {
                let (writer, body) = web::channel_within(&request.shared.passed_responses);
                let relayed = relayed_head(&response, body);
                let rest = LargeResponse { response, timing, writer, log: request_log.clone() };
                tokio::spawn(rest.pass_on(request, start));
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

/// Reads a response that is not passed on, so that its connection can be used again. A long one isn't worth that.
async fn discard(request: InFlightRequest, mut response: EndpointResponse) {
    let mut bytes_left = MAX_DISCARDED_BYTES;
    let read = async {
        while let Some(part) = response.next_part().await {
            let Some(left) = bytes_left.checked_sub(part?.len()) else { return Ok(false) };
            bytes_left = left;
        }
        Ok::<bool, String>(true)
    };
    match tokio::time::timeout_at(request.deadline, read).await {
        Ok(Ok(true)) => request.complete(response),
        Ok(Err(cause)) => request.record_interruption(&response.reservation.id, &cause),
        Ok(Ok(false)) | Err(_) => {}
    }
}

fn relayed_head(response: &EndpointResponse, body: Body) -> Response<Body> {
    let mut relayed = Response::new(body);
    *relayed.status_mut() = response.head.status;
    *relayed.headers_mut() = platform::passed_headers(&response.head.headers);
    relayed
}

/// What was read of a response before any of it was passed on.
enum Collected {
    Whole(Bytes),
    /// The parts so far, as the response is too large to be held back.
    Start([Bytes; 2]),
}

/// Reads a response whole, up to [`MAX_BUFFERED_BYTES`] and while there is memory for it.
async fn collect(
    response: &mut EndpointResponse,
    budget: &ByteBudget,
) -> Result<Collected, String> {
    let mut buffer = BodyBuffer::new(MAX_BUFFERED_BYTES, Some(budget));
    while let Some(part) = response.next_part().await {
        let part = part?;
        if buffer.push(&part).is_err() {
            return Ok(Collected::Start([buffer.into_reserved_bytes(), part]));
        }
    }
    Ok(Collected::Whole(buffer.into_reserved_bytes()))
}

/// A response whose start is on its way to the caller.
struct LargeResponse {
    response: EndpointResponse,
    timing: ResponseTiming,
    writer: BodyWriter,
    log: RequestLog,
}

impl LargeResponse {
    /// Passes on the parts that were read and those that follow, as fast as the caller takes them
    /// and until the deadline of the request.
    async fn pass_on(mut self, request: InFlightRequest, start: [Bytes; 2]) {
        let passed = tokio::select! {
            biased;
            passed = self.pass_parts(start) => passed,
            () = tokio::time::sleep_until(request.deadline) => {
                Ok(PassedOn::Ended("the deadline of the request has passed"))
            }
            () = request.shared.answers_due() => Ok(PassedOn::Ended(STOP_CAUSE))
        };
        let whole = matches!(passed, Ok(PassedOn::Whole));
        let cause = match passed {
            Ok(PassedOn::CallerLeft) => return self.log.log_caller_left(),
            Ok(PassedOn::Whole) => None,
            Ok(PassedOn::Ended(cause)) => Some(cause.to_owned()),
            Err(cause) => {
                request.record_interruption(&self.response.reservation.id, &cause);
                Some(cause)
            }
        };
        let framing = self.response.framing();
        let end = ResponseEnd { framing, tail_bytes: 0, whole };
        self.log.log_response(self.response.head.status.as_u16(), &self.timing, end);
        let Some(cause) = cause else {
            let _ = self.writer.finish().await;
            return request.complete(self.response);
        };
        if request.version < Version::HTTP_11 {
            // Without chunks, only a reset tells the caller that the response is cut.
            request.caller.reset_on_close();
        }
        drop(self.response);
        self.writer.abort(std::io::Error::other(cause)).await;
    }

    async fn pass_parts(&mut self, start: [Bytes; 2]) -> Result<PassedOn, String> {
        for part in start.into_iter().filter(|part| !part.is_empty()) {
            if self.writer.send(part).await.is_err() {
                return Ok(PassedOn::CallerLeft);
            }
        }
        loop {
            let part = tokio::select! {
                part = self.response.next_part() => part,
                () = self.writer.closed() => return Ok(PassedOn::CallerLeft)
            };
            let Some(part) = part else { return Ok(PassedOn::Whole) };
            let part = part?;
            self.response.reservation.record_data(Instant::now());
            self.timing.record_chunk();
            if self.writer.send(part).await.is_err() {
                return Ok(PassedOn::CallerLeft);
            }
        }
    }
}

/// How passing on a response ended.
enum PassedOn {
    Whole,
    CallerLeft,
    /// The router ended it, for this cause.
    Ended(&'static str),
}
