//! Callers: one request each, measured from the moment it should have been sent.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, Uri, header};
use http_body_util::BodyExt;
use hyper_util::client::legacy;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use tokio::time::timeout;
use tree::Class;
use units::{RequestId, Span};
use web::{Body, BodyBuffer, CheckedResponse, LimitedConnector, MAX_HEAD_BYTES, ReadAllowance};

use crate::answer::{Answer, Expected};
use crate::clock::Clock;
use crate::evidence::{Call, Ending};

/// The timeout of connecting to an entry.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// The largest answer, in bytes; a larger one counts as cut.
const MAX_ANSWER_BYTES: usize = 16 << 20;
/// How much longer than its deadline a caller waits before it calls the answer silent.
const PATIENCE: Duration = Duration::from_secs(5);
/// How much of an answer is kept for reports.
const KEPT: usize = 400;

/// An entry that callers can reach.
#[derive(Debug, Clone)]
pub(crate) struct Door {
    /// The entry's process name.
    pub(crate) name: String,
    /// Where callers reach it.
    pub(crate) addr: SocketAddr,
}

/// What a caller asks.
#[derive(Debug, Clone)]
pub(crate) struct Ask {
    /// The method.
    pub(crate) method: Method,
    /// The path.
    pub(crate) path: String,
    /// The body.
    pub(crate) body: Bytes,
    /// The model or service, for reports.
    pub(crate) target: String,
    /// The class it asks for.
    pub(crate) class: Class,
    /// The deadline it asks for.
    pub(crate) deadline: Span,
    /// The idempotency key, if the call may not be repeated.
    pub(crate) key: Option<String>,
    /// What the right answer is.
    pub(crate) expected: Expected,
}

/// Sends requests to entries as callers behind a balancer do; cheap to clone.
#[derive(Clone)]
pub(crate) struct Caller {
    client: legacy::Client<LimitedConnector, Body>,
    clock: Clock,
}

impl Caller {
    pub(crate) fn new(clock: Clock) -> Self {
        let client = legacy::Client::builder(TokioExecutor::new())
            .pool_idle_timeout(Duration::from_secs(2))
            .pool_timer(TokioTimer::new())
            .retry_canceled_requests(false)
            .http1_max_buf_size(MAX_HEAD_BYTES)
            .build(LimitedConnector::new(CONNECT_TIMEOUT));
        Self { client, clock }
    }

    /// Sends a request to the first of the doors that can be reached and follows its answer to the end.
    pub(crate) async fn send(&self, doors: &[Door], ask: &Ask, at: Duration) -> Call {
        let mut call = Call {
            at,
            first: None,
            done: at,
            deadline: ask.deadline.0,
            class: ask.class,
            target: ask.target.clone(),
            entry: String::new(),
            request: None,
            key: ask.key.clone(),
            status: 0,
            ending: Ending::Silent,
            own: false,
            text: String::new(),
        };
        let limit = ask.deadline.0 + PATIENCE;
        if timeout(limit, self.follow(doors, ask, &mut call)).await.is_err() {
            call.ending = Ending::Silent;
            call.text = format!("no end of the answer within {limit:?}");
        }
        call.done = self.clock.now();
        call
    }

    async fn follow(&self, doors: &[Door], ask: &Ask, call: &mut Call) {
        for door in doors {
            call.entry.clone_from(&door.name);
            let request = match ask.request(door.addr) {
                Ok(request) => request,
                Err(error) => {
                    call.text = error.to_string();
                    return;
                }
            };
            let method = request.method().clone();
            match self.client.request(request).await {
                Ok(response) => match CheckedResponse::new(&method, response) {
                    Ok(response) => return self.read(response, ask, call).await,
                    Err(error) => {
                        call.ending = Ending::Cut;
                        call.text = error.to_string();
                        return;
                    }
                },
                Err(error) if error.is_connect() => call.text = error.to_string(),
                Err(error) => {
                    call.ending = Ending::Cut;
                    call.text = error.to_string();
                    return;
                }
            }
        }
    }

    async fn read(&self, response: CheckedResponse, ask: &Ask, call: &mut Call) {
        let CheckedResponse { head, mut body, .. } = response;
        call.status = head.status.as_u16();
        call.request = text_of(&head.headers, "hyssop-request").and_then(|id| id.parse().ok());
        let outcome = text_of(&head.headers, "hyssop-outcome").unwrap_or_default().to_owned();
        let allowance = head.extensions.get::<ReadAllowance>().cloned().unwrap_or_default();
        let mut buffer = BodyBuffer::new(MAX_ANSWER_BYTES, None);
        let mut cut = false;
        while let Some(frame) = body.frame().await {
            allowance.renew();
            let Ok(frame) = frame else {
                cut = true;
                break;
            };
            if let Ok(data) = frame.into_data() {
                call.first.get_or_insert_with(|| self.clock.now());
                if buffer.push(&data).is_err() {
                    cut = true;
                    break;
                }
            }
        }
        let bytes = buffer.into_bytes();
        let answer = Answer::read(&bytes);
        call.text = answer.text.chars().take(KEPT).collect();
        let id = call.request.as_ref().map_or("", RequestId::as_str);
        call.own = ask.expected.matches(id, &bytes);
        call.ending = ending(&outcome, cut, &answer);
    }
}

impl Ask {
    fn request(&self, addr: SocketAddr) -> Result<Request<Body>, http::Error> {
        let uri = Uri::builder()
            .scheme("http")
            .authority(addr.to_string())
            .path_and_query(&*self.path)
            .build()?;
        let class = match self.class {
            Class::Urgent => "urgent",
            Class::Interactive => "interactive",
            Class::Series => "series",
        };
        let mut request = Request::builder()
            .method(self.method.clone())
            .uri(uri)
            .header(header::CONTENT_TYPE, "application/json")
            .header("hyssop-deadline", self.deadline.to_string())
            .header("hyssop-class", class);
        if let Some(key) = &self.key {
            request = request.header("idempotency-key", key);
        }
        request.body(web::full(self.body.clone()))
    }
}

fn ending(outcome: &str, cut: bool, answer: &Answer) -> Ending {
    match outcome {
        "not-run" => Ending::NotRun,
        "unknown" => Ending::Unknown,
        "served" if cut => Ending::Cut,
        "served" if answer.failed => Ending::Unknown,
        "served" if answer.whole => Ending::Served,
        _ => Ending::Cut,
    }
}

fn text_of<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

#[cfg(test)]
mod tests;
