//! Answers routers.

use bytes::Bytes;
use control::{
    ENGINE_PATH, ENSURE_PATH, EngineNews, Ensure, Ensured, POLL_PATH, Poll, Polled, State, Verdict,
};
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, watch};
use units::Era;
use web::Body;

/// The largest message: an engine with some thousands of models.
const LARGEST: usize = 4 << 20;
/// The longest that a router may wait for news.
const LONGEST: Duration = Duration::from_secs(30);
/// When to ask again after a verdict was lost.
const AGAIN: Duration = Duration::from_millis(300);

/// What routers say, for the steward.
#[derive(Debug)]
pub(crate) enum Command {
    /// A router says what it uses.
    Uses(Poll),
    /// A router asks for a model.
    Ensure(Ensure, oneshot::Sender<Verdict>),
    /// A router says what the endpoint can hold.
    Engine(EngineNews),
}

/// Answers one router's request; cheap to clone.
#[derive(Debug, Clone)]
pub(crate) struct Desk {
    pub(crate) commands: mpsc::Sender<Command>,
    pub(crate) state: watch::Receiver<State>,
    /// The highest era of the store that a router has spoken of.
    pub(crate) heard: watch::Sender<Era>,
}

impl Desk {
    /// Answers a request.
    pub(crate) async fn answer(self, request: Request<Incoming>) -> Response<Body> {
        let (parts, body) = request.into_parts();
        if parts.method != Method::POST {
            return web::text(StatusCode::METHOD_NOT_ALLOWED, "use POST\n");
        }
        let bytes = match web::read(body, LARGEST).await {
            Ok(bytes) => bytes,
            Err(error) => return web::text(StatusCode::BAD_REQUEST, error.to_string()),
        };
        let answered = match parts.uri.path() {
            POLL_PATH => self.poll(&bytes).await,
            ENSURE_PATH => self.ensure(&bytes).await,
            ENGINE_PATH => self.engine(&bytes).await,
            _ => return web::text(StatusCode::NOT_FOUND, "no such call\n"),
        };
        answered.unwrap_or_else(|error| {
            let text = format!("the message can't be read: {error}\n");
            web::text(StatusCode::BAD_REQUEST, text)
        })
    }

    async fn poll(mut self, bytes: &Bytes) -> Result<Response<Body>, serde_json::Error> {
        let poll: Poll = serde_json::from_slice(bytes)?;
        let (seen, wait, era) = (poll.seen, poll.wait.min(LONGEST), poll.era);
        self.heard.send_if_modified(|heard| {
            let later = era > *heard;
            *heard = era.max(*heard);
            later
        });
        let _ = self.commands.send(Command::Uses(poll)).await;
        let newer = self.state.wait_for(|state| state.version != seen);
        let newer = tokio::time::timeout(wait, newer).await.is_ok();
        let polled = if newer {
            Polled::News(Box::new(self.state.borrow().clone()))
        } else {
            Polled::Same(self.state.borrow().load)
        };
        Ok(web::json(StatusCode::OK, &polled))
    }

    async fn ensure(self, bytes: &Bytes) -> Result<Response<Body>, serde_json::Error> {
        let ensure: Ensure = serde_json::from_slice(bytes)?;
        let within = ensure.within.min(LONGEST);
        let (reply, verdict) = oneshot::channel();
        let _ = self.commands.send(Command::Ensure(ensure, reply)).await;
        let verdict = match tokio::time::timeout(within, verdict).await {
            Ok(Ok(verdict)) => verdict,
            Ok(Err(_)) | Err(_) => Verdict::Refused(AGAIN),
        };
        let state = self.state.borrow().clone();
        Ok(web::json(StatusCode::OK, &Ensured { verdict, state }))
    }

    async fn engine(self, bytes: &Bytes) -> Result<Response<Body>, serde_json::Error> {
        let news: EngineNews = serde_json::from_slice(bytes)?;
        let _ = self.commands.send(Command::Engine(news)).await;
        Ok(self.now())
    }

    fn now(&self) -> Response<Body> {
        web::json(StatusCode::OK, &*self.state.borrow())
    }
}

#[cfg(test)]
mod tests;
