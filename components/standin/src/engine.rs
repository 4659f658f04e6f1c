//! A model engine: memory, cached checkpoints, orders, batching and streams of tokens.

mod adapters;
mod core;
mod kv;
mod orders;
mod prefixes;
mod replica;
mod requests;
mod run;
mod settings;
mod tokens;
mod truth;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use edge::Inventory;
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use tokio::time::timeout;
use units::Span;
use web::{BindError, Body};

use crate::freeze::Freeze;
use crate::gate::Silence;
use crate::server::{self, Answer, BODY_LIMIT, Cut, Running, Wanted, done, query, refuse};

use self::core::Core;
pub use settings::EngineSettings;
pub use tokens::{expected, word};
pub use truth::{EngineTruth, LoadEvent, LoadPhase};

/// A fault of a model engine.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "fault", deny_unknown_fields)]
pub enum EngineFault {
    /// No faults from now on.
    None,
    /// The engine loses all it holds, and is gone for a while.
    Crash {
        /// How long it is gone.
        #[serde(default)]
        down: Span,
    },
    /// Calls are taken and not answered, and no token comes, for a while.
    Freeze {
        /// How long.
        span: Span,
    },
    /// The next loads get half-way, then the engine crashes.
    DieLoading {
        /// How many.
        count: u32,
    },
    /// The next loads fail.
    FailLoad {
        /// How many.
        count: u32,
    },
    /// The next streams are cut within a token; their requests run on.
    DropStream {
        /// How many.
        count: u32,
    },
    /// Tokens take so many times as long.
    Slow {
        /// How many times as long.
        factor: f64,
    },
    /// The next cache events are lost; their numbers are missing.
    LoseEvents {
        /// How many.
        count: u32,
    },
    /// Connections that exist deliver nothing any more; new ones work.
    Silence,
}

#[derive(Debug)]
struct Shared {
    core: Mutex<Core>,
    version: watch::Sender<u64>,
    settings: EngineSettings,
    freeze: Freeze,
    silence: Silence,
}

/// A stand-in for a model engine.
#[derive(Debug, Clone)]
pub struct Engine(Arc<Shared>);

impl Engine {
    /// Starts it.
    pub async fn start(addr: SocketAddr, settings: EngineSettings) -> Result<Running, BindError> {
        let engine = Self::new(settings);
        let silence = engine.0.silence.clone();
        server::start(addr, silence, move |request| engine.clone().answer(request)).await
    }

    fn new(settings: EngineSettings) -> Self {
        Self(Arc::new(Shared {
            core: Mutex::new(Core::new(&settings)),
            version: watch::Sender::new(1),
            settings,
            freeze: Freeze::default(),
            silence: Silence::default(),
        }))
    }

    fn core(&self) -> MutexGuard<'_, Core> {
        self.0.core.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes the core and wakes whoever waits for a new inventory.
    fn change<T>(&self, change: impl FnOnce(&mut Core) -> T) -> T {
        let mut core = self.core();
        let changed = change(&mut core);
        self.0.version.send_replace(core.version);
        changed
    }

    async fn answer(self, request: Request<Incoming>) -> Answer {
        let path = request.uri().path().to_owned();
        let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
        match (request.method(), parts.as_slice()) {
            (&Method::GET, ["truth"]) => {
                return Ok(web::json(StatusCode::OK, &self.core().truth()));
            }
            (&Method::POST, ["faults"]) => return Ok(self.fault(request).await),
            _ => {}
        }
        let (head, body) = request.into_parts();
        let request = match web::read(body, BODY_LIMIT).await {
            Ok(body) => Request::from_parts(head, body),
            Err(error) => return Ok(refuse(StatusCode::BAD_REQUEST, error.to_string())),
        };
        // What was sent to a frozen engine takes effect once it thaws, though its sender may be gone.
        tokio::spawn(self.act(request)).await.unwrap_or(Err(Cut))
    }

    async fn act(self, request: Request<Bytes>) -> Answer {
        self.0.freeze.thawed().await;
        if self.core().faults.is_down() {
            return Err(Cut);
        }
        let path = request.uri().path().to_owned();
        let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
        Ok(match (request.method(), parts.as_slice()) {
            (&Method::POST, ["v1", "orders"]) => match server::parse(request.body()) {
                Ok(order) => self.order(order),
                Err(bad) => bad.answer(),
            },
            (&Method::GET, ["v1", "inventory"]) => self.inventory(&request).await,
            (&Method::GET, ["v1", "usage"]) => web::json(StatusCode::OK, &self.core().usage()),
            (&Method::POST, ["v1", "completions"] | ["v1", "chat", "completions"]) => {
                self.complete(&request)
            }
            (&Method::GET, ["v1", "requests", id]) => {
                self.resume(id, query(&request, "from").unwrap_or(0))
            }
            (&Method::GET, ["v1", "cache-events"]) => {
                let from = query(&request, "from").unwrap_or(0);
                let events = self.core().prefixes.events(from, self.0.settings.cache_lag.0);
                web::json(StatusCode::OK, &events)
            }
            (&Method::POST, ["v1", "requests", id, "export"]) => self.export(id).await,
            (&Method::POST, ["v1", "requests", id, "import"]) => self.import(id, &request),
            (&Method::DELETE, ["v1", "requests", id]) => self.cancel(id).await,
            _ => refuse(StatusCode::NOT_FOUND, "an engine has no such path"),
        })
    }

    async fn inventory(&self, request: &Request<Bytes>) -> Response<Body> {
        let after = query(request, "after").unwrap_or(0);
        let wait = Duration::from_millis(query(request, "wait_ms").unwrap_or(0));
        let mut version = self.0.version.subscribe();
        // A crash begins again with a low version, so any other version is news.
        let _ = timeout(wait, version.wait_for(|version| *version != after)).await;
        self.0.freeze.thawed().await;
        let inventory: Inventory = self.core().inventory(self.0.settings.memory);
        web::json(StatusCode::OK, &inventory)
    }

    async fn fault(&self, request: Request<Incoming>) -> Response<Body> {
        let Wanted { fault, age } = match server::wanted(request).await {
            Ok(wanted) => wanted,
            Err(bad) => return bad.answer(),
        };
        match fault {
            EngineFault::None => {
                self.core().faults = core::Faults::default();
                self.0.freeze.end();
            }
            EngineFault::Crash { down } => self.crash(down.0),
            EngineFault::Freeze { span } => self.0.freeze.begin(span.0),
            EngineFault::DieLoading { count } => self.core().faults.die = count,
            EngineFault::FailLoad { count } => self.core().faults.fail = count,
            EngineFault::DropStream { count } => self.core().faults.cuts = count,
            EngineFault::Slow { factor } => self.core().faults.slow = factor.max(0.0),
            EngineFault::LoseEvents { count } => self.core().prefixes.gaps = count,
            EngineFault::Silence => server::silence(&self.0.silence, age.as_ref()),
        }
        done()
    }

    fn crash(&self, down: Duration) {
        log::info!("engine: crashes on purpose");
        self.change(|core| core.crash(down, &self.0.settings));
    }
}

#[cfg(test)]
mod tests;
