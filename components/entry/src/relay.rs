//! Passing an agent's answer on to the caller.

use bytes::{Bytes, BytesMut};
use http::{Response, StatusCode, header};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tree::Class;
use wire::{Refusal, Report, ResponseEnd, UnknownCause, parse_end_trailers};

use crate::answer::{AnswerHead, Message};
use crate::candidate::Candidate;
use crate::flight::Flight;

/// The longest refusal or cause that an agent sends.
const WORD_LIMIT: usize = 64 << 10;
/// Answers in JSON up to this size reach the caller only when they are whole, so that one that fails on
/// the way still has a true status.
const HOLD: usize = 256 << 10;

/// The longest unfinished event that is kept back.
const EVENT_LIMIT: usize = 64 << 10;

/// What has come of the answer.
#[derive(Debug, Default)]
pub(crate) struct Received {
    /// Whether the caller has been given a part of it.
    pub(crate) begun: bool,
    /// The bytes that came.
    pub(crate) bytes: u64,
    head: Option<AnswerHead>,
    held: BytesMut,
}

/// How an answer's stream ended.
#[derive(Debug)]
pub(crate) enum Relayed {
    /// The whole answer has been passed on.
    Whole,
    /// The request did not run.
    Refused(Refusal),
    /// It may have run, or failed while it ran.
    Unknown(UnknownCause),
    /// The stream was cut; the rest may be asked for.
    Cut,
}

/// The next of an agent's answer.
#[derive(Debug)]
enum Part {
    Bytes(Bytes),
    End(ResponseEnd),
    Cut,
}

/// How the bytes of an answer are passed on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Mode {
    /// Kept back until they are whole, if they are few.
    Held,
    /// Event by event.
    Events,
    /// As they come.
    Plain,
}

impl Received {
    /// Forgets what an earlier endpoint answered; the caller has seen nothing of it.
    pub(crate) fn restart(&mut self) {
        if !self.begun {
            *self = Self::default();
        }
    }

    /// Whether the endpoint answered that it failed.
    pub(crate) fn is_server_error(&self) -> bool {
        self.head.as_ref().is_some_and(|head| head.status.is_server_error())
    }

    fn mode(&self) -> Mode {
        let content = self.head.as_ref().and_then(|head| head.content.as_ref());
        match content {
            Some(content) if sse::is_event_stream(content) => Mode::Events,
            Some(content) if content.as_bytes().starts_with(b"application/json") => Mode::Held,
            Some(_) | None => Mode::Plain,
        }
    }

    /// Adds bytes and takes out those that the caller may have now.
    fn add(&mut self, bytes: Bytes) -> Bytes {
        self.bytes += bytes.len() as u64;
        match self.mode() {
            Mode::Plain => bytes,
            Mode::Events if self.held.is_empty() && bytes.ends_with(b"\n\n") => bytes,
            Mode::Events => {
                self.held.extend_from_slice(&bytes);
                let whole = whole_events(&self.held);
                let ready = if self.held.len() > EVENT_LIMIT { self.held.len() } else { whole };
                self.held.split_to(ready).freeze()
            }
            Mode::Held => {
                self.held.extend_from_slice(&bytes);
                if self.begun || self.held.len() > HOLD { self.rest() } else { Bytes::new() }
            }
        }
    }

    fn rest(&mut self) -> Bytes {
        self.held.split().freeze()
    }
}

impl Flight {
    /// Passes an answer on until its stream ends.
    pub(crate) async fn relay(
        &mut self,
        target: &Candidate,
        response: Response<Incoming>,
    ) -> Relayed {
        let (parts, mut body) = response.into_parts();
        if let Ok(report) = Report::read(&parts.headers) {
            self.core.recorder.clock().observe(report.tick);
            let place = self.place(&target.endpoint);
            self.core.loads.note(&place, &report);
            self.core.prefixes.note(&place, &report);
        }
        let head = AnswerHead {
            status: parts.status,
            content: parts.headers.get(header::CONTENT_TYPE).cloned(),
        };
        if !matches!(head.status, StatusCode::CONFLICT | StatusCode::GONE) {
            return self.relay_answer(head, body).await;
        }
        // The endpoint's own answers with these statuses have an end; the agent's word has none.
        let (bytes, last) = read_word(&mut body).await;
        match (last, word(head.status, &bytes)) {
            (Part::Cut, Some(relayed)) => relayed,
            (Part::Cut, None) => Relayed::Cut,
            (last, _) => {
                self.received.head.get_or_insert(head);
                self.pass(bytes.freeze()).await;
                match last {
                    Part::End(end) => self.end(end).await,
                    Part::Bytes(_) | Part::Cut => self.relay_rest(body).await,
                }
            }
        }
    }

    async fn relay_answer(&mut self, head: AnswerHead, body: Incoming) -> Relayed {
        self.received.head.get_or_insert(head);
        if self.received.mode() != Mode::Held {
            self.begin().await;
        }
        self.relay_rest(body).await
    }

    async fn relay_rest(&mut self, mut body: Incoming) -> Relayed {
        loop {
            match next_part(&mut body).await {
                Part::Bytes(bytes) => self.pass(bytes).await,
                Part::End(end) => return self.end(end).await,
                Part::Cut => return Relayed::Cut,
            }
        }
    }

    async fn end(&mut self, end: ResponseEnd) -> Relayed {
        let length = match end {
            ResponseEnd::Whole { length } => length,
            ResponseEnd::Failed(cause) => return Relayed::Unknown(cause),
        };
        if length > self.received.bytes {
            return Relayed::Cut;
        }
        if length < self.received.bytes {
            let cause = format!("{} bytes came of {length}", self.received.bytes);
            return Relayed::Unknown(UnknownCause::Endpoint { cause });
        }
        self.begin().await;
        let rest = self.received.rest();
        self.tell(Message::Bytes(rest)).await;
        Relayed::Whole
    }

    async fn pass(&mut self, bytes: Bytes) {
        let ready = self.received.add(bytes);
        if !ready.is_empty() {
            self.begin().await;
            self.tell(Message::Bytes(ready)).await;
        }
    }

    /// Gives the caller the head of the answer, once.
    async fn begin(&mut self) {
        let Some(head) = self.received.head.clone() else { return };
        if self.received.begun {
            return;
        }
        self.received.begun = true;
        let class = class_label(self.call.class);
        let passed = self.call.arrived.elapsed().as_secs_f64();
        metrics::histogram!("entry_first_byte_seconds", "class" => class).record(passed);
        self.tell(Message::Head(head)).await;
    }

    async fn tell(&self, message: Message) {
        if self.messages.send(message).await.is_err() {
            // The caller has hung up, which ends the flight from outside.
            std::future::pending::<()>().await;
        }
    }
}

/// The name of a class on metrics.
pub(crate) fn class_label(class: Class) -> &'static str {
    match class {
        Class::Urgent => "urgent",
        Class::Interactive => "interactive",
        Class::Series => "series",
    }
}

async fn next_part(body: &mut Incoming) -> Part {
    loop {
        let Some(Ok(frame)) = body.frame().await else { return Part::Cut };
        match frame.into_data() {
            Ok(bytes) if bytes.is_empty() => {}
            Ok(bytes) => return Part::Bytes(bytes),
            Err(frame) => {
                let trailers = frame.into_trailers().unwrap_or_default();
                return parse_end_trailers(&trailers).map_or(Part::Cut, Part::End);
            }
        }
    }
}

/// Reads what may be an agent's word: all up to the end of the stream, or more than a word can have.
async fn read_word(body: &mut Incoming) -> (BytesMut, Part) {
    let mut bytes = BytesMut::new();
    loop {
        match next_part(body).await {
            Part::Bytes(more) => bytes.extend_from_slice(&more),
            last => return (bytes, last),
        }
        if bytes.len() > WORD_LIMIT {
            return (bytes, Part::Bytes(Bytes::new()));
        }
    }
}

fn word(status: StatusCode, bytes: &[u8]) -> Option<Relayed> {
    if status == StatusCode::CONFLICT {
        serde_json::from_slice(bytes).ok().map(Relayed::Refused)
    } else {
        serde_json::from_slice(bytes).ok().map(Relayed::Unknown)
    }
}

/// The length of the whole events at the start of the bytes.
fn whole_events(bytes: &[u8]) -> usize {
    let ends = |at: &usize| {
        let rest = &bytes[*at..];
        rest.starts_with(b"\n\n") || rest.starts_with(b"\n\r\n")
    };
    let last = (0..bytes.len()).rev().find(ends);
    last.map_or(0, |at| if bytes[at + 1] == b'\n' { at + 2 } else { at + 3 })
}

#[cfg(test)]
mod tests;
