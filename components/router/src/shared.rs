//! What all tasks of a router share.

use std::collections::HashMap;
use std::sync::atomic::AtomicUsize;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use admission::{RetryBudget, RetryDecision, RetryLimits};
use catalog::Catalog;
use control::{EndpointState, KeyedRecord, LoaderClient, Position};
use events::{Event, emit};
use platform::{Health, Store};
use process::{Pulse, Shutdown, Single};
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;
use units::{Domain, EndpointId, Revision, ServiceName, Span, StorePosition};
use web::Client;

use crate::Settings;
use crate::access::Access;
use crate::endpoint::TrackedEndpoint;
use crate::guard::CrashGuard;
use crate::quotas::Quotas;
use crate::registry::EndpointRegistry;

/// Callers of a router that waits for the store come back no sooner: it asks several times a second.
const SOONEST_BACK: Duration = Duration::from_millis(500);
/// And no later: the store is back sooner than that as a rule.
const LATEST_BACK: Duration = Duration::from_secs(4);

/// When callers may come back to a router that has not reached the store for this time: an outage that has lasted for some time is
/// likely to last as long again, and one that comes back too early is lost.
pub(crate) fn back_after(away: Duration) -> Duration {
    away.clamp(SOONEST_BACK, LATEST_BACK)
}

/// What a router that starts has from the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Start {
    /// Nothing yet: its first reads are on their way.
    Reading,
    /// Not both, and the store does not answer since then.
    Away(Instant),
    /// A configuration and a list of endpoints.
    Known,
}

/// What is followed in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Feed {
    Configuration,
    Membership,
}

/// The feeds whose last read gave nothing: what this router knows is getting older.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct StaleFeeds {
    configuration: bool,
    membership: bool,
}

impl StaleFeeds {
    fn set(&mut self, feed: Feed, still: bool) {
        match feed {
            Feed::Configuration => self.configuration = still,
            Feed::Membership => self.membership = still,
        }
    }

    /// Whether one stands still.
    pub(crate) fn any(self) -> bool {
        self.configuration || self.membership
    }
}

/// What all tasks of a router share.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) settings: watch::Receiver<Arc<Settings>>,
    pub(crate) instance: String,
    pub(crate) domain: Domain,
    pub(crate) pulse: Arc<Pulse>,
    pub(crate) catalog: watch::Sender<Option<Arc<Catalog>>>,
    pub(crate) known: EndpointRegistry,
    pub(crate) shutdown: Shutdown,
    /// Whether it takes no connections any more, since it is ending: what has no place by then is refused.
    pub(crate) closing: watch::Sender<bool>,
    start: watch::Sender<Start>,
    pub(crate) stale_feeds: watch::Sender<StaleFeeds>,
    /// Requests in flight.
    pub(crate) flying: AtomicUsize,
    pub(crate) client: Client,
    pub(crate) store: Store,
    /// What is known of callers' keys besides the configuration.
    pub(crate) access: Access,
    /// Holds workspaces to their limits.
    pub(crate) quotas: Quotas,
    /// Keeps requests that crash endpoints from them.
    pub(crate) guard: Arc<CrashGuard>,
    /// How far the records on ended endpoints have been read, while the store answers.
    pub(crate) crash_records_position: watch::Sender<Option<StorePosition>>,
    repeats: Mutex<HashMap<ServiceName, RetryBudget>>,
}

impl Shared {
    /// With the records that the guard has to write.
    pub(crate) fn new(process: &Single<Settings>) -> (Self, mpsc::UnboundedReceiver<KeyedRecord>) {
        let settings = process.settings.borrow().clone();
        let (guard, records) = CrashGuard::new(settings.instance.to_string());
        let shared = Self {
            settings: process.settings.clone(),
            instance: settings.instance.to_string(),
            domain: settings.domain.clone(),
            pulse: process.pulse.clone(),
            catalog: watch::Sender::new(None),
            known: EndpointRegistry::default(),
            shutdown: process.shutdown.clone(),
            closing: watch::Sender::new(false),
            start: watch::Sender::new(Start::Reading),
            stale_feeds: watch::Sender::new(StaleFeeds::default()),
            flying: AtomicUsize::new(0),
            client: Client::default(),
            store: Store::new(settings.store),
            access: Access::default(),
            quotas: Quotas::new(settings.control, settings.domain.clone()),
            guard: Arc::new(guard),
            crash_records_position: watch::Sender::new(None),
            repeats: Mutex::default(),
        };
        (shared, records)
    }

    /// Routers that this one may ask.
    pub(crate) fn other_routers(&self) -> Vec<std::net::SocketAddr> {
        let settings = self.settings.borrow();
        settings.peers.iter().filter(|router| **router != settings.control).copied().collect()
    }

    /// The configuration in force.
    pub(crate) fn current(&self) -> Option<Arc<Catalog>> {
        self.catalog.borrow().clone()
    }

    /// The configuration in force; at a start it is waited for until `until` with the list of endpoints, for as long as
    /// the first reads of the store are on their way.
    pub(crate) async fn first_catalog(&self, until: Instant) -> Option<Arc<Catalog>> {
        let reading = *self.start.borrow() == Start::Reading;
        if reading {
            let mut start = self.start.subscribe();
            let known = start.wait_for(|start| *start != Start::Reading);
            let _ = tokio::time::timeout_at(until, known).await;
        }
        self.current()
    }

    /// How far this router knows what is in the store.
    pub(crate) fn position(&self) -> Position {
        let version = self.current().map_or(Revision(0), |current| current.version);
        let peers = self.known.lock();
        Position { version, read: peers.list_position }
    }

    /// Notes how a read of the store ended; the first ones decide how requests of the start are taken.
    pub(crate) fn record_store_read(&self, feed: Feed, reached: bool) {
        self.update_start(reached);
        self.stale_feeds.send_if_modified(|still| {
            let before = *still;
            still.set(feed, !reached);
            before != *still
        });
    }

    /// Notes whether there is something to serve with, after a read of the store or the word of another router.
    pub(crate) fn update_start(&self, reached: bool) {
        let known = self.current().is_some() && self.known.lock().list_loaded;
        self.start.send_if_modified(|start| {
            let next = match (*start, known, reached) {
                (_, true, _) => Start::Known,
                (Start::Reading, false, false) => Start::Away(Instant::now()),
                (before, false, _) => before,
            };
            std::mem::replace(start, next) != next
        });
    }

    /// Since when this router has nothing to serve with, because the store does not answer.
    pub(crate) fn away_since(&self) -> Option<Instant> {
        match *self.start.borrow() {
            Start::Away(since) => Some(since),
            Start::Reading | Start::Known => None,
        }
    }

    /// When callers may come back while the store is away.
    pub(crate) fn store_back(&self) -> Option<Duration> {
        let away = self.away_since()?.elapsed();
        Some(back_after(away))
    }

    /// By how much limits of workspaces may be passed.
    pub(crate) fn bounds(&self) -> quota::Bounds {
        let settings = self.settings.borrow().quota.unwrap_or_default();
        let Span(window) = settings.window;
        quota::Bounds { window, overshoot: settings.overshoot, slack: settings.slack }
    }

    /// A client of the loader on the machine of an endpoint.
    pub(crate) fn loader_client(&self, endpoint: std::net::SocketAddr) -> LoaderClient {
        let addr = std::net::SocketAddr::new(endpoint.ip(), self.settings.borrow().loader);
        LoaderClient::new(self.client.clone(), addr)
    }

    /// Takes what a loader says of its endpoint.
    pub(crate) fn apply_endpoint_state(&self, id: &EndpointId, state: EndpointState) {
        let catalog = self.current();
        let engine = catalog.as_ref().and_then(|catalog| {
            let service = self.known.lock().map.get(id)?.endpoint.service.clone();
            catalog.service(&service)?.engine.as_ref()
        });
        self.known.apply_state(id, state, engine);
    }

    /// Asks an endpoint for its report, as a sign of life.
    pub(crate) async fn fetch_report(
        &self,
        id: &EndpointId,
        endpoint: std::net::SocketAddr,
        limit: Duration,
    ) -> Result<(), String> {
        let report = platform::fetch_report(&self.client, endpoint, limit).await;
        let report = report.map_err(|error| error.to_string())?;
        let same = |peer: &TrackedEndpoint| {
            peer.endpoint.addr == endpoint && peer.same_incarnation(report.incarnation)
        };
        self.known.apply_hints(id, report.incarnation, report.hints, same);
        Ok(())
    }

    /// Asks an endpoint whether it is well; `None` if it is not known any more or can't be asked.
    pub(crate) async fn check_health(&self, id: &EndpointId, limit: Duration) -> Option<Health> {
        let (endpoint, pool) = {
            let peers = self.known.lock();
            let peer = peers.map.get(id)?;
            (peer.endpoint.clone(), peer.pool.clone())
        };
        let catalog = self.current()?;
        let path = catalog.service(&endpoint.service)?.health.as_deref()?;
        match platform::check_health(&self.client, endpoint.addr, path, id, limit).await {
            Ok((health, notice)) => {
                let same = |peer: &TrackedEndpoint| Arc::ptr_eq(&peer.pool, &pool);
                self.known.apply_hints(id, endpoint.incarnation, notice, same);
                Some(health)
            }
            Err(error) => {
                log::debug!("router: an endpoint did not tell whether it is well: {error}");
                None
            }
        }
    }

    /// Counts a request to a service.
    pub(crate) fn count(&self, service: &ServiceName) {
        self.with_repeats(service, |repeats| repeats.record_request(Instant::now()));
    }

    /// Takes a repeat from the budget of a service, for a request.
    pub(crate) fn may_repeat(&self, service: &ServiceName, request: &str) -> bool {
        let routers = self.known.lock().reported_routers();
        let taken =
            self.with_repeats(service, |repeats| repeats.try_retry(routers, Instant::now()));
        let RetryDecision { allowed, spent, limit } = taken;
        emit(&Event::Repeat { request, service: service.as_str(), allowed, spent, limit });
        allowed
    }

    fn with_repeats<T>(&self, service: &ServiceName, f: impl FnOnce(&mut RetryBudget) -> T) -> T {
        let mut all = self.repeats.lock().unwrap_or_else(PoisonError::into_inner);
        let limits = self.settings.borrow().repeats;
        let Span(window) = limits.window;
        let limits = RetryLimits { ratio: limits.ratio, slack: limits.slack, window };
        f(all.entry(service.clone()).or_insert_with(|| RetryBudget::new(limits)))
    }
}
