//! One attempt at one endpoint: a dispatch, its answer, and what can be learned if the stream is lost.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Method, Request, header};
use http_body_util::Full;
use timeline::Kind;
use tokio::time::Instant;
use units::{RequestId, Span};
use wire::{DISPATCH_PATH, Dispatch, Outcome, Refusal, UnknownCause};

use crate::candidate::Candidate;
use crate::flight::{Flight, Placed};
use crate::link::SendError;
use crate::recover::Reply;
use crate::relay::Relayed;

/// When a caller whose endpoint could not be reached should come back.
const RETRY: Span = Span::secs(1);

/// The most cuts of an answer at the same byte.
const STALLS: u32 = 6;
/// The shortest pause after such a cut.
const STALL_PAUSE: Duration = Duration::from_millis(5);

/// What came of an attempt.
#[derive(Debug)]
pub(crate) enum Step {
    /// The request has its outcome.
    Ended(Outcome<()>),
    /// It certainly did not run here.
    NotRun(Refusal),
    /// It may have run here, but may be run again elsewhere.
    Lost(UnknownCause),
}

/// A dispatch that was sent.
enum Sent {
    /// The agent answers.
    Open(Box<Reply>),
    /// The stream was lost with the connection of this generation.
    Lost(u64),
}

/// A dispatch that was not sent, and the connection that failed, if there was one.
struct Unsent {
    generation: Option<u64>,
}

/// Streams of one attempt that were cut without a new byte, one after the other.
#[derive(Debug, Default)]
struct Stalls {
    count: u32,
    bytes: u64,
}

impl Stalls {
    /// Waits a moment after the second cut at the same byte, longer after each; false once there were too many.
    async fn pause(&mut self, bytes: u64) -> bool {
        if bytes > self.bytes {
            *self = Self { count: 0, bytes };
            return true;
        }
        self.count += 1;
        if self.count > 1 {
            tokio::time::sleep(STALL_PAUSE * 2_u32.pow(self.count)).await;
        }
        self.count < STALLS
    }
}

impl Flight {
    /// Sends the request to an endpoint and follows it until it ends there.
    pub(crate) async fn attempt(&mut self, target: &Candidate) -> Step {
        let _ticket = self.core.loads.start(self.place(&target.endpoint));
        self.core.breakers.note_sent(&target.endpoint);
        self.received.restart();
        let id = self.id_for(&target.endpoint);
        let mut sent = match self.dispatch(target, id.clone()).await {
            Ok(sent) => sent,
            Err(refusal) => return Step::NotRun(refusal),
        };
        let placed = Placed { target: target.clone(), id };
        let mut stalls = Stalls::default();
        loop {
            let generation = match sent {
                Sent::Open(reply) => match self.relay(target, reply.response).await {
                    Relayed::Cut => reply.line.generation,
                    relayed => return self.conclude(&placed, relayed),
                },
                Sent::Lost(generation) => generation,
            };
            if !stalls.pause(self.received.bytes).await {
                return self.give_up(UnknownCause::AgentGone);
            }
            sent = match self.recover(&placed, generation).await {
                Ok(reply) => Sent::Open(Box::new(reply)),
                Err(cause) => return self.give_up(cause),
            };
        }
    }

    /// Sends the request; an error proves that it was not sent.
    async fn dispatch(&mut self, target: &Candidate, id: RequestId) -> Result<Sent, Refusal> {
        match self.dispatch_on(target, &id, None).await {
            Ok(sent) => Ok(sent),
            // A connection that had been open may have closed unseen: once more on a new one.
            Err(Unsent { generation: Some(generation) }) => {
                let again = self.dispatch_on(target, &id, Some(generation)).await;
                again.map_err(|_| self.unreached(target))
            }
            Err(Unsent { generation: None }) => Err(self.unreached(target)),
        }
    }

    async fn dispatch_on(
        &mut self,
        target: &Candidate,
        id: &RequestId,
        broken: Option<u64>,
    ) -> Result<Sent, Unsent> {
        let mut line = match self.core.links.line(target.addr, broken).await {
            Ok(line) => line,
            Err(error) => {
                log::debug!("entry: {error}");
                return Err(Unsent { generation: None });
            }
        };
        let request = self.dispatch_request(target, id.clone());
        self.placed.push(Placed { target: target.clone(), id: id.clone() });
        self.note(Kind::Dispatched, target);
        match line.send(request).await {
            Ok(response) => Ok(Sent::Open(Box::new(Reply { line, response }))),
            Err(SendError::Lost { .. }) => Ok(Sent::Lost(line.generation)),
            Err(SendError::NotSent { .. }) => {
                self.placed.pop();
                Err(Unsent { generation: Some(line.generation) })
            }
        }
    }

    fn unreached(&self, target: &Candidate) -> Refusal {
        self.note_failure(target);
        Refusal::NoEndpoint { retry: RETRY }
    }

    fn dispatch_request(&self, target: &Candidate, id: RequestId) -> Request<Full<Bytes>> {
        let call = &self.call;
        let head = Dispatch {
            request: id,
            entry: self.core.instance.clone(),
            incarnation: target.incarnation,
            model: call.model(),
            adapter: call.adapter(),
            class: call.class,
            group: call.group.clone(),
            budget: Span(self.cutoff.saturating_duration_since(Instant::now())),
            repeatable: call.repeatable,
            method: call.method.to_string(),
            path: call.path.clone(),
            content: call.content.clone(),
            tick: self.core.recorder.clock().tick(),
        };
        let mut request = post(target, DISPATCH_PATH, call.body.clone());
        head.write(request.headers_mut());
        if let Ok(content) = HeaderValue::from_str(&call.content) {
            request.headers_mut().insert(header::CONTENT_TYPE, content);
        }
        request
    }

    fn conclude(&mut self, placed: &Placed, relayed: Relayed) -> Step {
        let endpoint = &placed.target.endpoint;
        match relayed {
            Relayed::Whole if self.received.is_server_error() => {
                self.note_failure(&placed.target);
                Step::Ended(Outcome::Served(()))
            }
            Relayed::Whole => {
                self.core.breakers.note_success(endpoint);
                self.note_prefix(endpoint);
                Step::Ended(Outcome::Served(()))
            }
            Relayed::Refused(refusal) => {
                let same =
                    |other: &Placed| other.target.endpoint == *endpoint && other.id == placed.id;
                self.placed.retain(|other| !same(other));
                self.core.breakers.note_success(endpoint);
                self.core.loads.hold(&self.place(endpoint), &refusal);
                Step::NotRun(refusal)
            }
            Relayed::Unknown(cause) => {
                if matches!(cause, UnknownCause::Endpoint { .. }) {
                    self.note_failure(&placed.target);
                }
                self.give_up(cause)
            }
            // The caller is gone, and the flight ends with it.
            Relayed::Cut => self.give_up(UnknownCause::AgentGone),
        }
    }

    /// What is left where an attempt may have run: elsewhere, if the request may be repeated and nothing was answered.
    fn give_up(&self, cause: UnknownCause) -> Step {
        let late = cause == UnknownCause::Deadline;
        if self.call.repeatable && !self.received.begun && !late {
            Step::Lost(cause)
        } else {
            Step::Ended(Outcome::Unknown(cause))
        }
    }

    pub(crate) fn note_failure(&self, target: &Candidate) {
        if self.core.breakers.note_failure(&target.endpoint) {
            log::warn!("entry: {} is ejected after failures in a row", target.endpoint);
            metrics::counter!("entry_ejections").increment(1);
        }
    }

    pub(crate) fn note(&self, kind: Kind, target: &Candidate) {
        let event = self.core.recorder.event(kind).request(&self.call.request);
        let event = event.model(&self.call.leaf.model).endpoint(&target.endpoint);
        self.core.recorder.record(event);
    }
}

/// A request to an agent.
pub(crate) fn post(target: &Candidate, path: &str, body: Bytes) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(body));
    *request.method_mut() = Method::POST;
    let uri = format!("http://{}{path}", target.addr);
    *request.uri_mut() = uri.parse().expect("an address and a fixed path make a URI");
    request
}
