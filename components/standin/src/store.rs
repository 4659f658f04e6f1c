//! The weight store: starts so many fetches a second, the urgent first, and shares its bandwidth.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time::Duration;

use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep};
use units::{ModelName, Rate, Size, Span};
use web::{BindError, Body};

use crate::clock::{millis, wall_ms};
use crate::freeze::Freeze;
use crate::gate::{Age, Silence};
use crate::server::{self, Answer, Running, Wanted, done, refuse};

/// How often the share of a running fetch is worked out again.
const STEP: Duration = Duration::from_millis(10);

/// Seconds of a fetch that are nothing but rounding.
const ROUNDING: f64 = 1e-6;

/// The slowest start of fetches, so that the pause between them is finite.
const MIN_RATE: f64 = 0.001;

/// The settings of a weight store.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct StoreSettings {
    /// How many fetches are started a second.
    pub rate: Rate,
    /// How many fetches run at full speed; more share that speed.
    pub full: u32,
    /// Bytes a second of a fetch at full speed.
    pub bandwidth: Size,
    /// The size of an artifact when a fetch does not say it.
    pub size: Size,
}

impl Default for StoreSettings {
    fn default() -> Self {
        Self { rate: Rate(7.0), full: 4, bandwidth: Size::mib(3277), size: Size::gib(8) }
    }
}

/// A fault of a weight store.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "fault", deny_unknown_fields)]
pub enum StoreFault {
    /// No faults from now on.
    None,
    /// Fetches take so many times as long.
    Slow {
        /// How many times as long.
        factor: f64,
    },
    /// Fetches are answered 503.
    Outage,
    /// Fetches are taken and make no progress for a while.
    Freeze {
        /// How long.
        span: Span,
    },
    /// Connections that exist deliver nothing any more; new ones work.
    Silence,
}

/// The body of `POST /v1/fetch`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Fetch {
    /// The model with its version.
    pub artifact: ModelName,
    /// Whether somebody waits for it.
    #[serde(default)]
    pub urgent: bool,
    /// Its size.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub size: Option<Size>,
}

/// One fetch that was done.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fetched {
    /// When it began to move, in milliseconds since 1970.
    pub wall_ms: u64,
    /// The model with its version.
    pub artifact: ModelName,
    /// Whether somebody waited for it.
    pub urgent: bool,
    /// Milliseconds that it waited for its start.
    pub waited_ms: u64,
    /// Milliseconds that it moved; nothing while it still does, or if its reader went away.
    pub took_ms: Option<u64>,
}

/// What really happened at a weight store.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreTruth {
    /// Fetches in the order of their starts.
    pub fetches: Vec<Fetched>,
    /// The most that ran at the same time.
    pub most: u32,
    /// How many wait for their start.
    pub waiting: u32,
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Place {
    urgent: bool,
    seq: Reverse<u64>,
}

#[derive(Debug)]
struct Waiting {
    place: Place,
    start: oneshot::Sender<()>,
}

impl PartialEq for Waiting {
    fn eq(&self, other: &Self) -> bool {
        self.place == other.place
    }
}

impl Eq for Waiting {}

impl PartialOrd for Waiting {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Waiting {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.place.cmp(&other.place)
    }
}

#[derive(Debug)]
struct Core {
    queue: BinaryHeap<Waiting>,
    seq: u64,
    running: u32,
    slow: f64,
    outage: bool,
    truth: StoreTruth,
}

#[derive(Debug)]
struct Shared {
    core: Mutex<Core>,
    queued: mpsc::UnboundedSender<()>,
    settings: StoreSettings,
    freeze: Freeze,
    silence: Silence,
}

/// A stand-in for the weight store.
#[derive(Debug, Clone)]
pub struct Store(Arc<Shared>);

impl Store {
    /// Starts it.
    pub async fn start(addr: SocketAddr, settings: StoreSettings) -> Result<Running, BindError> {
        let store = Self::new(settings);
        let silence = store.0.silence.clone();
        server::start(addr, silence, move |request| store.clone().answer(request)).await
    }

    fn new(settings: StoreSettings) -> Self {
        let core = Core {
            queue: BinaryHeap::new(),
            seq: 0,
            running: 0,
            slow: 1.0,
            outage: false,
            truth: StoreTruth::default(),
        };
        let (queued, next) = mpsc::unbounded_channel();
        let core = Mutex::new(core);
        let (freeze, silence) = (Freeze::default(), Silence::default());
        let store = Self(Arc::new(Shared { core, queued, settings, freeze, silence }));
        tokio::spawn(dispense(Arc::downgrade(&store.0), next));
        store
    }

    fn core(&self) -> MutexGuard<'_, Core> {
        self.0.core.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn answer(self, request: Request<Incoming>) -> Answer {
        Ok(match (request.method(), request.uri().path()) {
            (&Method::POST, "/v1/fetch") => match server::body(request).await {
                Ok(fetch) => self.fetch(fetch).await,
                Err(bad) => bad.answer(),
            },
            (&Method::GET, "/truth") => web::json(StatusCode::OK, &self.truth()),
            (&Method::POST, "/faults") => self.fault(request).await,
            _ => refuse(StatusCode::NOT_FOUND, "a weight store has POST /v1/fetch"),
        })
    }

    fn truth(&self) -> StoreTruth {
        let core = self.core();
        let waiting = core.queue.iter().filter(|one| !one.start.is_closed()).count();
        let waiting = u32::try_from(waiting).unwrap_or(u32::MAX);
        StoreTruth { waiting, ..core.truth.clone() }
    }

    async fn fetch(&self, fetch: Fetch) -> Response<Body> {
        let queued = Instant::now();
        let (start, started) = oneshot::channel();
        {
            let mut core = self.core();
            if core.outage {
                return refuse(StatusCode::SERVICE_UNAVAILABLE, "the store is down");
            }
            core.seq += 1;
            let place = Place { urgent: fetch.urgent, seq: Reverse(core.seq) };
            core.queue.push(Waiting { place, start });
        }
        let _ = self.0.queued.send(());
        if started.await.is_err() {
            return refuse(StatusCode::SERVICE_UNAVAILABLE, "the store ends");
        }
        let running = Moving::new(self.clone());
        let index = self.note_start(&fetch, queued.elapsed());
        let began = Instant::now();
        running.copy(fetch.size.unwrap_or(self.0.settings.size)).await;
        if let Some(fetched) = self.core().truth.fetches.get_mut(index) {
            fetched.took_ms = Some(millis(began.elapsed()));
        }
        done()
    }

    fn note_start(&self, fetch: &Fetch, waited: Duration) -> usize {
        let mut core = self.core();
        core.truth.most = core.truth.most.max(core.running);
        core.truth.fetches.push(Fetched {
            wall_ms: wall_ms(),
            artifact: fetch.artifact.clone(),
            urgent: fetch.urgent,
            waited_ms: millis(waited),
            took_ms: None,
        });
        core.truth.fetches.len() - 1
    }

    async fn fault(&self, request: Request<Incoming>) -> Response<Body> {
        match server::wanted(request).await {
            Ok(Wanted { fault, age }) => self.set(fault, age.as_ref()),
            Err(bad) => return bad.answer(),
        }
        done()
    }

    fn set(&self, fault: StoreFault, age: Option<&Age>) {
        let mut core = self.core();
        match fault {
            StoreFault::None => {
                core.slow = 1.0;
                core.outage = false;
                self.0.freeze.end();
            }
            StoreFault::Slow { factor } => core.slow = factor.max(f64::MIN_POSITIVE),
            StoreFault::Outage => core.outage = true,
            StoreFault::Freeze { span } => self.0.freeze.begin(span.0),
            StoreFault::Silence => server::silence(&self.0.silence, age),
        }
    }
}

/// Starts the fetches that wait, the urgent first, as often as the rate allows.
async fn dispense(shared: Weak<Shared>, mut queued: mpsc::UnboundedReceiver<()>) {
    while queued.recv().await.is_some() {
        let Some(store) = shared.upgrade().map(Store) else { return };
        let next = store.core().queue.pop();
        let rate = store.0.settings.rate.0.max(MIN_RATE);
        drop(store);
        if next.is_some_and(|next| next.start.send(()).is_ok()) {
            sleep(Duration::from_secs_f64(1.0 / rate)).await;
        }
    }
}

/// A fetch that moves; it stops counting when it is dropped.
#[derive(Debug)]
struct Moving(Store);

impl Moving {
    fn new(store: Store) -> Self {
        store.core().running += 1;
        Self(store)
    }

    async fn copy(&self, size: Size) {
        let bandwidth = self.0.0.settings.bandwidth.0.max(1);
        let mut left = size.0 as f64 / bandwidth as f64;
        while left > ROUNDING {
            self.0.0.freeze.thawed().await;
            let since = Instant::now();
            let speed = self.speed();
            sleep(STEP.min(Duration::from_secs_f64(left / speed))).await;
            left -= since.elapsed().as_secs_f64() * speed;
        }
    }

    /// The part of the full speed that this fetch gets.
    fn speed(&self) -> f64 {
        let core = self.0.core();
        let share = f64::from(self.0.0.settings.full) / f64::from(core.running.max(1));
        share.clamp(0.001, 1.0) / core.slow
    }
}

impl Drop for Moving {
    fn drop(&mut self) {
        self.0.core().running -= 1;
    }
}

#[cfg(test)]
mod tests;
