//! A plain service that counts executions and echoes what it was sent.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use edge::REQUEST_HEADER;
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use tokio::time::sleep;
use units::Span;
use web::{BindError, Body};
use xxhash_rust::xxh3::xxh3_64;

use crate::execution::Execution;
use crate::freeze::Freeze;
use crate::gate::Silence;
use crate::server::{self, Answer, BODY_LIMIT, Running, Wanted, done, header, refuse};

/// The settings of a plain service.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ServiceSettings {
    /// How long each call takes.
    pub delay: Span,
}

/// A fault of a plain service.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "fault", deny_unknown_fields)]
pub enum ServiceFault {
    /// No faults from now on.
    None,
    /// Each call takes this much longer.
    Slow {
        /// How much longer.
        delay: Span,
    },
    /// Calls are taken, and run and answered only after a while.
    Freeze {
        /// How long.
        span: Span,
    },
    /// Calls are answered 500 at once, not run.
    Fail,
    /// Connections that exist deliver nothing any more; new ones work.
    Silence,
}

/// What really happened at a plain service.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceTruth {
    /// Executions by request id; calls without an id count under the empty one.
    pub executions: BTreeMap<String, Execution>,
}

#[derive(Debug)]
struct Core {
    truth: ServiceTruth,
    slow: Duration,
    fail: bool,
}

/// What the service echoes.
#[derive(Debug, Serialize, Deserialize)]
pub struct Echo {
    /// The method of the call.
    pub method: String,
    /// Its path and query.
    pub path: String,
    /// Its request id.
    pub request: String,
    /// The XXH3 digest of the body, in hexadecimal.
    pub digest: String,
    /// The body as text.
    pub body: String,
}

/// A stand-in for a plain service.
#[derive(Debug, Clone)]
pub struct Service {
    core: Arc<Mutex<Core>>,
    freeze: Arc<Freeze>,
    delay: Duration,
    silence: Silence,
}

impl Service {
    /// Starts it.
    pub async fn start(addr: SocketAddr, settings: ServiceSettings) -> Result<Running, BindError> {
        let core = Core { truth: ServiceTruth::default(), slow: Duration::ZERO, fail: false };
        let silence = Silence::default();
        let core = Arc::new(Mutex::new(core));
        let (freeze, delay) = (Arc::default(), settings.delay.0);
        let service = Self { core, freeze, delay, silence: silence.clone() };
        server::start(addr, silence, move |request| service.clone().answer(request)).await
    }

    fn core(&self) -> MutexGuard<'_, Core> {
        self.core.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn answer(self, request: Request<Incoming>) -> Answer {
        Ok(match (request.method(), request.uri().path()) {
            (&Method::GET, "/truth") => web::json(StatusCode::OK, &self.core().truth),
            (&Method::POST, "/faults") => self.fault(request).await,
            _ => self.run(request).await,
        })
    }

    async fn run(self, request: Request<Incoming>) -> Response<Body> {
        let (head, body) = request.into_parts();
        let body = match web::read(body, BODY_LIMIT).await {
            Ok(body) => body,
            Err(error) => return refuse(StatusCode::BAD_REQUEST, error.to_string()),
        };
        let head = Request::from_parts(head, ());
        // A caller that goes away does not undo what it asked for.
        let ran = tokio::spawn(self.execute(head, body)).await;
        match ran.ok().flatten() {
            Some(echo) => web::json(StatusCode::OK, &echo),
            None => refuse(StatusCode::INTERNAL_SERVER_ERROR, "the service fails"),
        }
    }

    /// Runs a call, unless the service fails at once.
    async fn execute(self, request: Request<()>, body: Bytes) -> Option<Echo> {
        self.freeze.thawed().await;
        let id = header(&request, REQUEST_HEADER).unwrap_or_default().to_owned();
        let delay = self.begin(&id)?;
        sleep(delay).await;
        self.freeze.thawed().await;
        self.core().truth.executions.entry(id.clone()).or_default().finished += 1;
        Some(Echo {
            method: request.method().to_string(),
            path: request.uri().to_string(),
            request: id,
            digest: format!("{:016x}", xxh3_64(&body)),
            body: String::from_utf8_lossy(&body).into_owned(),
        })
    }

    /// Counts an execution and says how long it takes.
    fn begin(&self, id: &str) -> Option<Duration> {
        let mut core = self.core();
        if core.fail {
            return None;
        }
        core.truth.executions.entry(id.to_owned()).or_default().runs += 1;
        Some(self.delay + core.slow)
    }

    async fn fault(&self, request: Request<Incoming>) -> Response<Body> {
        let Wanted { fault, age } = match server::wanted(request).await {
            Ok(wanted) => wanted,
            Err(bad) => return bad.answer(),
        };
        let mut core = self.core();
        match fault {
            ServiceFault::None => {
                core.slow = Duration::ZERO;
                core.fail = false;
                self.freeze.end();
            }
            ServiceFault::Slow { delay } => core.slow = delay.0,
            ServiceFault::Freeze { span } => self.freeze.begin(span.0),
            ServiceFault::Fail => core.fail = true,
            ServiceFault::Silence => server::silence(&self.silence, age.as_ref()),
        }
        done()
    }
}
