//! Answers routers.

use bytes::Bytes;
use control::{
    ENGINE_PATH, ENSURE_PATH, EngineNews, Ensure, Ensured, SYNC_PATH, State, Sync, Verdict,
};
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::de::DeserializeOwned;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, watch};
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
    Uses(Sync),
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
        match parts.uri.path() {
            SYNC_PATH => match decode(&bytes) {
                Ok(sync) => self.sync(sync).await,
                Err(refusal) => refusal,
            },
            ENSURE_PATH => match decode(&bytes) {
                Ok(ensure) => self.ensure(ensure).await,
                Err(refusal) => refusal,
            },
            ENGINE_PATH => match decode(&bytes) {
                Ok(news) => self.engine(news).await,
                Err(refusal) => refusal,
            },
            _ => web::text(StatusCode::NOT_FOUND, "no such call\n"),
        }
    }

    async fn sync(mut self, sync: Sync) -> Response<Body> {
        let (seen, wait) = (sync.seen, sync.wait.min(LONGEST));
        let _ = self.commands.send(Command::Uses(sync)).await;
        let newer = self.state.wait_for(|state| state.version != seen);
        let _ = tokio::time::timeout(wait, newer).await;
        self.now()
    }

    async fn ensure(self, ensure: Ensure) -> Response<Body> {
        let within = ensure.within.min(LONGEST);
        let (reply, verdict) = oneshot::channel();
        let _ = self.commands.send(Command::Ensure(ensure, reply)).await;
        let verdict = match tokio::time::timeout(within, verdict).await {
            Ok(Ok(verdict)) => verdict,
            Ok(Err(_)) | Err(_) => Verdict::Refused(AGAIN),
        };
        let state = self.state.borrow().clone();
        web::json(StatusCode::OK, &Ensured { verdict, state })
    }

    async fn engine(self, news: EngineNews) -> Response<Body> {
        let _ = self.commands.send(Command::Engine(news)).await;
        self.now()
    }

    fn now(&self) -> Response<Body> {
        web::json(StatusCode::OK, &*self.state.borrow())
    }
}

fn decode<T: DeserializeOwned>(bytes: &Bytes) -> Result<T, Response<Body>> {
    serde_json::from_slice(bytes).map_err(|error| {
        web::text(StatusCode::BAD_REQUEST, format!("the message can't be read: {error}\n"))
    })
}
