//! A model engine: memory, cached checkpoints, orders, batching and streams of tokens.

mod core;
mod orders;
mod replica;
mod requests;
mod run;
mod settings;
mod tokens;
mod truth;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use platform::{Inventory, Usage};
use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use tokio::time::{sleep_until, timeout};
use units::Span;
use web::{BindError, Body};

use crate::gate::{Age, Silence};
use crate::server::{self, Answer, Cut, Running, done, query, refuse};

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
    /// Connections that exist deliver nothing any more; new ones work.
    Silence,
}

#[derive(Debug)]
struct Shared {
    core: Mutex<Core>,
    version: watch::Sender<u64>,
    settings: EngineSettings,
    silence: Silence,
    client: web::Client,
}

/// A stand-in for a model engine.
#[derive(Debug, Clone)]
pub struct Engine(Arc<Shared>);

impl Engine {
    /// Starts it.
    pub async fn start(addr: SocketAddr, settings: EngineSettings) -> Result<Running, BindError> {
        let silence = Silence::default();
        let engine = Self(Arc::new(Shared {
            core: Mutex::new(Core::new(&settings)),
            version: watch::Sender::new(1),
            settings,
            silence: silence.clone(),
            client: web::Client::default(),
        }));
        server::start(addr, silence, move |request| engine.clone().answer(request)).await
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

    /// Waits while the engine is frozen.
    async fn thaw(&self) {
        let thaw = self.core().faults.thaw;
        sleep_until(thaw).await;
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
        self.thaw().await;
        if self.core().faults.is_down() {
            return Err(Cut);
        }
        Ok(match (request.method(), parts.as_slice()) {
            (&Method::POST, ["v1", "orders"]) => match server::body(request).await {
                Ok(order) => self.order(order),
                Err(refusal) => refusal,
            },
            (&Method::GET, ["v1", "inventory"]) => self.inventory(&request).await,
            (&Method::GET, ["v1", "usage"]) => web::json(StatusCode::OK, &self.usage()),
            (&Method::POST, ["v1", "completions"] | ["v1", "chat", "completions"]) => {
                self.complete(request).await
            }
            (&Method::GET, ["v1", "requests", id]) => {
                self.resume(id, query(&request, "from").unwrap_or(0))
            }
            (&Method::DELETE, ["v1", "requests", id]) => self.cancel(id).await,
            _ => refuse(StatusCode::NOT_FOUND, "an engine has no such path"),
        })
    }

    async fn inventory(&self, request: &Request<Incoming>) -> Response<Body> {
        let after = query(request, "after").unwrap_or(0);
        let wait = Duration::from_millis(query(request, "wait_ms").unwrap_or(0));
        let mut version = self.0.version.subscribe();
        // A crash begins again with a low version, so any other version is news.
        let _ = timeout(wait, version.wait_for(|version| *version != after)).await;
        self.thaw().await;
        let inventory: Inventory = self.core().inventory(self.0.settings.memory);
        web::json(StatusCode::OK, &inventory)
    }

    fn usage(&self) -> Usage {
        let lag = self.0.settings.usage_lag;
        self.core().usage(lag)
    }

    async fn fault(&self, request: Request<Incoming>) -> Response<Body> {
        let age = request.extensions().get::<Age>().cloned();
        let fault = match server::body(request).await {
            Ok(fault) => fault,
            Err(refusal) => return refusal,
        };
        match fault {
            EngineFault::None => self.core().faults = core::Faults::default(),
            EngineFault::Crash { down } => self.crash(down.0),
            EngineFault::Freeze { span } => self.core().faults.freeze(span.0),
            EngineFault::DieLoading { count } => self.core().faults.die = count,
            EngineFault::FailLoad { count } => self.core().faults.fail = count,
            EngineFault::DropStream { count } => self.core().faults.cuts = count,
            EngineFault::Slow { factor } => self.core().faults.slow = factor.max(0.0),
            EngineFault::Silence => server::silence(&self.0.silence, age.as_ref()),
        }
        done()
    }

    fn crash(&self, down: Duration) {
        log::info!("engine: crashes on purpose");
        self.change(|core| core.crash(down, &self.0.settings));
    }
}
