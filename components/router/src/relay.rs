//! Passes an answer on to the caller.

use bytes::{Buf, Bytes, BytesMut};
use events::{Event, Step, emit};
use http::Response;
use http::header;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::Instant;
use web::{Body, Writer};

use crate::exchange::Answer;
use crate::flight::{Failure, Flight};

/// The largest answer that is read whole before it is passed on, so that one that ends early can be sent for again.
const WHOLE: usize = 8 << 20;
/// The largest event of a stream.
const EVENT: usize = 1 << 20;

/// When a request came and how its answer went, for the log.
#[derive(Debug, Clone)]
pub(crate) struct Times {
    pub(crate) name: String,
    pub(crate) arrived: Instant,
}

impl Times {
    pub(crate) fn answered(&self, status: u16, first: Instant, whole: bool) {
        let millis =
            |at: Instant| u64::try_from((at - self.arrived).as_millis()).unwrap_or(u64::MAX);
        emit(&Event::Answered {
            request: &self.name,
            status,
            first_ms: millis(first),
            total_ms: millis(Instant::now()),
            whole,
        });
    }

    pub(crate) fn left(&self) {
        let held = self.arrived.elapsed().as_millis();
        emit(&Event::Left {
            request: &self.name,
            held_ms: u64::try_from(held).unwrap_or(u64::MAX),
        });
    }
}

/// Reads a plain answer whole; one that ends early is sent for again if that is allowed.
pub(crate) async fn plain(
    flight: &mut Flight,
    mut answer: Answer,
) -> Result<Response<Body>, Failure> {
    loop {
        match collect(&mut answer.body).await {
            Ok(bytes) => {
                let mut headers = platform::final_headers(&answer.head.headers);
                headers.remove(header::CONTENT_LENGTH);
                let mut response = Response::new(web::full(bytes));
                *response.status_mut() = answer.head.status;
                *response.headers_mut() = headers;
                answer.keep();
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
    let mut headers = platform::final_headers(&answer.head.headers);
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

async fn pass(mut flight: Flight, mut answer: Answer, writer: Writer, times: Times) {
    let status = answer.head.status.as_u16();
    let resumable = flight.route.kind.repeatable();
    let mut events = Events { last: flight.call.last_event, ..Events::default() };
    let mut first = None;
    loop {
        let frame = tokio::select! {
            frame = answer.body.frame() => frame,
            () = writer.closed() => return times.left(),
        };
        let cause = match frame {
            None if events.rest.is_empty() => {
                let _ = writer.finish().await;
                times.answered(status, first.unwrap_or_else(Instant::now), true);
                return answer.keep();
            }
            None => {
                // What stands behind the last whole event belongs to the answer all the same.
                let rest = events.rest.split().freeze();
                let _ = writer.send(rest).await;
                let _ = writer.finish().await;
                times.answered(status, first.unwrap_or_else(Instant::now), true);
                return answer.keep();
            }
            Some(Ok(frame)) => {
                let Ok(data) = frame.into_data() else { continue };
                let ready = if resumable { events.take(data) } else { data };
                if ready.is_empty() {
                    continue;
                }
                first.get_or_insert_with(Instant::now);
                if writer.send(ready).await.is_err() {
                    return times.left();
                }
                continue;
            }
            Some(Err(error)) => error.to_string(),
        };
        let id = answer.place.id.clone();
        drop(answer);
        flight.runs = flight.runs.saturating_sub(1);
        events.rest.clear();
        flight.start = flight.due.min(Instant::now() + flight.route.patience / 2);
        let resumed = match flight.broken(&id, &cause) {
            Ok(()) if resumable => tokio::select! {
                resumed = flight.answer(events.last) => resumed.ok(),
                () = writer.closed() => return times.left(),
            },
            _ => None,
        };
        match resumed {
            Some(next) if next.head.status.is_success() => {
                flight.step(Step::Resumed, &next.place.id, "");
                answer = next;
            }
            _ => {
                times.answered(status, first.unwrap_or_else(Instant::now), false);
                return writer.cut(std::io::Error::other(cause)).await;
            }
        }
    }
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
