//! Passes an answer on to the caller.

use std::fmt;
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use events::{Event, Refusal, Step, emit, millis};
use http::Response;
use http::header;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::Instant;
use units::EndpointId;
use web::{Body, Writer};

use crate::exchange::Answer;
use crate::flight::{Failure, Flight};

/// The largest answer that is read whole before it is passed on, so that one that ends early can be sent for again.
const WHOLE: usize = 8 << 20;
/// A stream that can go on elsewhere does so when nothing came for this part of the time that its caller waits.
const STALL: u32 = 5;
/// The largest event of a stream.
const EVENT: usize = 1 << 20;

/// When a request came and how its answer went, for the log.
#[derive(Debug, Clone)]
pub(crate) struct Times {
    pub(crate) name: String,
    pub(crate) class: String,
    pub(crate) arrived: Instant,
    /// Until when the caller waits.
    pub(crate) until: Instant,
}

impl Times {
    pub(crate) fn answered(&self, status: u16, pace: &Pace, whole: bool) {
        let since = |at: Instant| millis(at - self.arrived);
        let first = pace.first.unwrap_or_else(Instant::now);
        emit(&Event::Answered {
            request: &self.name,
            class: &self.class,
            status,
            first_ms: since(first),
            total_ms: since(Instant::now()),
            gap_ms: millis(pace.gap),
            whole,
        });
    }

    pub(crate) fn left(&self) {
        let now = Instant::now();
        emit(&Event::Left {
            request: &self.name,
            held_ms: millis(now - self.arrived),
            left_ms: millis(self.until.saturating_duration_since(now)),
        });
    }
}

/// When pieces of an answer came.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Pace {
    pub(crate) first: Option<Instant>,
    last: Option<Instant>,
    gap: Duration,
}

impl Pace {
    pub(crate) fn piece(&mut self) {
        let now = Instant::now();
        self.first.get_or_insert(now);
        if let Some(last) = self.last.replace(now) {
            self.gap = self.gap.max(now - last);
        }
    }
}

/// Reads a plain answer whole; one that ends early is sent for again if that is allowed.
pub(crate) async fn plain(
    flight: &mut Flight,
    mut answer: Answer,
) -> Result<Response<Body>, Failure> {
    loop {
        let collected = tokio::time::timeout_at(flight.due, collect(&mut answer.body)).await;
        let Ok(collected) = collected else {
            return Err(flight.failed(Refusal::TimedOut, None));
        };
        match collected {
            Ok(bytes) => {
                let mut headers = platform::passed_headers(&answer.head.headers);
                headers.remove(header::CONTENT_LENGTH);
                let mut response = Response::new(web::full(bytes));
                *response.status_mut() = answer.head.status;
                *response.headers_mut() = headers;
                answer.keep();
                flight.outlived();
                return Ok(response);
            }
            Err(cause) => {
                // The run was counted when its answer began.
                flight.runs -= 1;
                let id = answer.place.id.clone();
                drop(answer);
                flight.broken(&id, &cause)?;
                answer = flight.answer(None).await?;
            }
        }
    }
}

async fn collect(body: &mut Incoming) -> Result<Bytes, String> {
    let mut whole = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| error.to_string())?;
        if let Ok(data) = frame.into_data() {
            whole.extend_from_slice(&data);
        }
        if whole.len() > WHOLE {
            return Err("the answer is too large".to_owned());
        }
    }
    Ok(whole.freeze())
}

/// Starts to pass a stream on.
pub(crate) fn stream(flight: Flight, answer: Answer, times: Times) -> Response<Body> {
    let (writer, body) = web::channel();
    let mut headers = platform::passed_headers(&answer.head.headers);
    if flight.route.kind.repeatable() {
        // What is joined from several runs is longer than the first of them says.
        headers.remove(header::CONTENT_LENGTH);
    }
    let mut response = Response::new(body);
    *response.status_mut() = answer.head.status;
    *response.headers_mut() = headers;
    tokio::spawn(pass(flight, answer, writer, times));
    response
}

/// What the next read of an answer gave.
enum Heard {
    Data(Bytes),
    End,
    Broken(String),
    /// Nothing for the time that was named.
    Silence,
    /// The caller has left.
    Left,
    /// The time of the request is over.
    Late,
}

/// Reads on until `due`, and for `patience` at most where that is named.
async fn hear(
    answer: &mut Answer,
    writer: &Writer,
    patience: Option<Duration>,
    due: Instant,
) -> Heard {
    let silence = tokio::time::sleep(patience.unwrap_or(Duration::MAX));
    tokio::select! {
        frame = answer.body.frame() => match frame {
            Some(Ok(frame)) => Heard::Data(frame.into_data().unwrap_or_default()),
            Some(Err(error)) => Heard::Broken(error.to_string()),
            None => Heard::End
        },
        () = writer.closed() => Heard::Left,
        () = tokio::time::sleep_until(due) => Heard::Late,
        () = silence, if patience.is_some() => Heard::Silence
    }
}

/// Why a stream goes on at another endpoint.
#[derive(Debug)]
enum Loss {
    /// It stands still, and a repeat has been taken from the budget.
    Still,
    Broken(String),
}

impl fmt::Display for Loss {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Still => f.write_str("it stands still"),
            Self::Broken(cause) => f.write_str(cause),
        }
    }
}

async fn pass(mut flight: Flight, mut answer: Answer, writer: Writer, times: Times) {
    let status = answer.head.status.as_u16();
    let resumable = flight.route.kind.repeatable();
    let mut events = Events { last: flight.call.last_event, ..Events::default() };
    let mut pace = Pace::default();
    let cause = loop {
        let elsewhere = resumable && flight.runs < flight.route.attempts;
        let patience = elsewhere.then(|| flight.route.event_timeout / STALL);
        let loss = match hear(&mut answer, &writer, patience, flight.due).await {
            Heard::Left => return times.left(),
            Heard::Late => break "the time of the request is over".to_owned(),
            Heard::Data(data) => {
                answer.place.pool.liveness().answer_received(Instant::now());
                let ready = if resumable { events.take(data) } else { data };
                if ready.is_empty() {
                    continue;
                }
                pace.piece();
                if writer.send(ready).await.is_err() {
                    return times.left();
                }
                continue;
            }
            Heard::End => {
                // What stands behind the last whole event belongs to the answer all the same.
                let rest = events.rest.split().freeze();
                if !rest.is_empty() {
                    let _ = writer.send(rest).await;
                }
                let _ = writer.finish().await;
                times.answered(status, &pace, true);
                flight.shared.known.record_stream(pace.gap > flight.route.max_pause);
                flight.outlived();
                return answer.keep();
            }
            // A long prompt of another request silences it too: it is left only for an endpoint that goes on before
            // the caller leaves, or the stream would be lost while its endpoint is at work on it.
            Heard::Silence
                if flight.may_leave(&answer.place.id, flight.route.event_timeout / 2) =>
            {
                Loss::Still
            }
            Heard::Silence => continue,
            Heard::Broken(cause) => Loss::Broken(cause),
        };
        let id = answer.place.id.clone();
        drop(answer);
        events.rest.clear();
        let resumed = tokio::select! {
            resumed = resume(&mut flight, &id, &loss, events.last) => resumed,
            () = writer.closed() => return times.left()
        };
        match resumed {
            Some(next) => answer = next,
            None => break loss.to_string(),
        }
    };
    times.answered(status, &pace, false);
    writer.cut(std::io::Error::other(cause)).await;
}

/// Goes on with a broken stream at another endpoint, if that is allowed.
async fn resume(
    flight: &mut Flight,
    id: &EndpointId,
    loss: &Loss,
    last: Option<u64>,
) -> Option<Answer> {
    // The run was counted when its answer began.
    match loss {
        Loss::Still => flight.leave(id, &loss.to_string()),
        Loss::Broken(cause) => {
            flight.runs = flight.runs.saturating_sub(1);
            flight.broken(id, cause).ok()?;
        }
    }
    flight.start = flight.due.min(Instant::now() + flight.route.event_timeout / 2);
    let next = flight.answer(last).await.ok()?;
    flight.step(Step::Resumed, &next.place.id, "");
    next.head.status.is_success().then_some(next)
}

/// Splits a stream after whole events.
#[derive(Debug, Default)]
struct Events {
    rest: BytesMut,
    last: Option<u64>,
}

impl Events {
    /// Adds bytes and takes out the events that are whole now.
    fn take(&mut self, data: Bytes) -> Bytes {
        self.rest.extend_from_slice(&data);
        let Some(end) = self.rest.windows(2).rposition(|pair| pair == b"\n\n") else {
            if self.rest.len() > EVENT {
                return self.rest.split().freeze();
            }
            return Bytes::new();
        };
        let whole = self.rest.copy_to_bytes(end + 2);
        let mut ids = whole.split(|byte| *byte == b'\n').filter_map(platform::event_id);
        if let Some(last) = ids.next_back() {
            self.last = Some(last);
        }
        whole
    }
}

#[cfg(test)]
mod tests;
