//! One request to one endpoint.

use std::error::Error as _;
use std::time::Duration;

use bytes::Bytes;
use http::header::HeaderMap;
use http::{Method, Request, Response, Uri, response};
use hyper::body::Incoming;
use hyper::client::conn::TrySendError;
use platform::ForwardOptions;
use quarantine::Digest;
use tokio::time::Instant;
use web::Body;

use crate::caller::Caller;
use crate::place::Place;
use crate::pool::Connection;

/// How long a connection is kept whose server does not say how long it keeps it.
const UNSTATED: Duration = Duration::from_millis(500);
/// The part of the stated time that is used, since the server counts from another moment.
const STATED: f64 = 0.75;

/// An answer whose head has arrived.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) head: response::Parts,
    pub(crate) body: Incoming,
    pub(crate) link: Connection,
    pub(crate) place: Place,
}

impl Answer {
    /// Keeps the connection; the body must have been read to its end.
    pub(crate) fn keep(mut self) {
        self.place.outlived();
        let idle = kept_for(&self.head.headers);
        if !idle.is_zero() {
            self.place.pool.keep(self.link, idle);
        }
    }
}

/// What became of a request at one endpoint.
#[derive(Debug)]
pub(crate) enum Sent {
    /// An answer began.
    Answer(Box<Answer>),
    /// It was not sent, since its caller has left.
    Left,
    /// It was not sent, since its endpoint takes no new work any more.
    Moved,
    /// It was certainly not sent.
    Unsent(String),
    /// It may have run, and no answer came.
    Broken(String),
    /// No answer came in time.
    Late,
    /// No answer came so far, and it is better off at another endpoint.
    Elsewhere,
}

/// What is sent.
#[derive(Debug, Clone)]
pub(crate) struct Outgoing {
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// What tells the request from others, whatever its id.
    pub(crate) digest: Digest,
}

/// How long the head of an answer is waited for.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Patience {
    /// To the end.
    pub(crate) due: Instant,
    /// From then on it may be left for another endpoint, if there is a better one.
    pub(crate) ask: Option<Instant>,
}

/// Sends a request and waits for the head of its answer; `leave` says whether it is better off elsewhere.
pub(crate) async fn send(
    mut place: Place,
    caller: &Caller,
    outgoing: &Outgoing,
    sending: &ForwardOptions<'_>,
    patience: Patience,
    leave: impl Fn() -> bool,
) -> Sent {
    let until = patience.due;
    let built = platform::build_request(
        &outgoing.method,
        &outgoing.uri,
        &outgoing.headers,
        outgoing.body.clone(),
        sending,
    );
    let mut request = match built {
        Ok(request) => request,
        Err(error) => return Sent::Unsent(error.to_string()),
    };
    let mut link = match place.pool.take(until).await {
        Ok(link) => link,
        Err(error) => return Sent::Unsent(error.to_string()),
    };
    loop {
        if caller.gone() {
            // The connection is as good as before.
            if !link.fresh {
                place.pool.keep(link, UNSTATED);
            }
            return Sent::Left;
        }
        if !place.open() {
            // What became known while a connection was made.
            return Sent::Moved;
        }
        place.sent(&outgoing.digest);
        match attempt(&mut link, request, patience, &leave).await {
            Attempt::Answer(head, body) => {
                place.heard(head.status, &head.headers);
                place.begun();
                return Sent::Answer(Box::new(Answer { head, body, link, place }));
            }
            Attempt::Returned(unsent) if !link.fresh => {
                // A kept connection was closed before anything was written on it.
                request = *unsent;
                place.outlived();
                link = match place.pool.open(until).await {
                    Ok(link) => link,
                    Err(error) => return Sent::Unsent(error.to_string()),
                };
            }
            Attempt::Returned(_) => {
                place.outlived();
                return Sent::Unsent("the connection was closed".to_owned());
            }
            Attempt::Broken(cause) => return Sent::Broken(cause),
            Attempt::Late => return Sent::Late,
            Attempt::Elsewhere => return Sent::Elsewhere,
        }
    }
}

enum Attempt {
    Answer(response::Parts, Incoming),
    Returned(Box<Request<Body>>),
    Broken(String),
    Late,
    Elsewhere,
}

async fn attempt(
    link: &mut Connection,
    request: Request<Body>,
    patience: Patience,
    leave: impl Fn() -> bool,
) -> Attempt {
    let mut answer = std::pin::pin!(link.sender.try_send_request(request));
    if let Some(ask) = patience.ask
        && let Ok(answer) = tokio::time::timeout_at(ask, answer.as_mut()).await
    {
        return judge(answer);
    }
    if patience.ask.is_some_and(|ask| ask < patience.due) && leave() {
        return Attempt::Elsewhere;
    }
    match tokio::time::timeout_at(patience.due, answer).await {
        Err(_) => Attempt::Late,
        Ok(answer) => judge(answer),
    }
}

fn judge(answer: Result<Response<Incoming>, TrySendError<Request<Body>>>) -> Attempt {
    match answer {
        Ok(response) => {
            let (head, body) = response.into_parts();
            Attempt::Answer(head, body)
        }
        Err(mut error) => match error.take_message() {
            Some(request) => Attempt::Returned(Box::new(request)),
            None => {
                let error = error.into_error();
                let cause = error.source().map(ToString::to_string).unwrap_or_default();
                Attempt::Broken(format!("{error} {cause}"))
            }
        },
    }
}

/// How long the connection of an answer may be kept.
fn kept_for(headers: &HeaderMap) -> Duration {
    let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
    if text("connection").is_some_and(|value| value.to_ascii_lowercase().contains("close")) {
        return Duration::ZERO;
    }
    let stated = text("keep-alive").and_then(|value| {
        let seconds = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
        seconds.parse::<u64>().ok()
    });
    stated.map_or(UNSTATED, |seconds| Duration::from_secs(seconds).mul_f64(STATED))
}

#[cfg(test)]
mod tests;
