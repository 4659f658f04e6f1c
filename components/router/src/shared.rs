//! State that all tasks of a router share.

use std::collections::HashMap;
use std::sync::atomic::AtomicUsize;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use admission::{RetryBudget, RetryDecision, RetryLimits};
use catalog::Catalog;
use control::{EndpointState, KeyedRecord, LoaderClient, Position, RouterClient};
use events::{Event, emit};
use origin::StreamOrigin;
use platform::{Health, Store};
use process::{MachineLimits, Shutdown, SingleThreadProcess, StallDetector};
use ratelimit::Limiters;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;
use units::{Domain, EndpointId, Revision, ServiceName, SoftwareVersion, Span, StorePosition};
use web::{ByteBudget, Client};

use crate::Settings;
use crate::access::KeyState;
use crate::capacity::IntakeCapacity;
use crate::connections::Connections;
use crate::endpoint::TrackedEndpoint;
use crate::guard::CrashGuard;
use crate::incarnations::WaitingChecks;
use crate::intake::Intake;
use crate::origins::Origins;
use crate::quotas::Quotas;
use crate::registry::EndpointRegistry;
use crate::stream_records::StreamRecords;
use crate::uploads::Uploads;
use crate::wait_queue::WaitQueues;

/// Minimum `Retry-After` of a router that waits for the store, which it asks several times a
/// second.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Maximum `Retry-After` of a router that waits for the store, which is usually back sooner.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(4);

/// `Retry-After` of a router that has not reached the store for this time. An outage is likely to
/// last as long again as it has lasted, and a request that is retried too early fails again.
pub(crate) fn outage_retry_after(outage: Duration) -> Duration {
    outage.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
}

/// What a starting router has got from the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StartState {
    /// Nothing yet: the first reads are in progress.
    Reading,
    /// The configuration or the list of endpoints is missing, and the store is unreachable since
    /// then.
    Unreachable(Instant),
    /// Both a configuration and a list of endpoints are known.
    Ready,
}

/// A part of the store that the router follows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Feed {
    Configuration,
    Membership,
}

/// The memory for parts of responses that are held back, over all requests, in bytes. What doesn't fit is passed on as it arrives.
const MAX_HELD_BYTES: usize = 4 << 20;
/// The memory for parts of responses on their way to callers, over all requests, in bytes. Beyond it, each has one part.
const MAX_PASSED_BYTES: usize = 2 << 20;

/// The feeds whose last read failed: what the router knows of them may be outdated.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct StaleFeeds {
    configuration: bool,
    membership: bool,
}

impl StaleFeeds {
    fn set(&mut self, feed: Feed, stale: bool) {
        match feed {
            Feed::Configuration => self.configuration = stale,
            Feed::Membership => self.membership = stale,
        }
    }

    /// Whether the list of endpoints is stale.
    pub(crate) fn membership(self) -> bool {
        self.membership
    }

    /// Whether any feed is stale.
    pub(crate) fn any(self) -> bool {
        self.configuration || self.membership
    }
}

/// State that all tasks of a router share.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) settings: watch::Receiver<Arc<Settings>>,
    pub(crate) instance: String,
    pub(crate) domain: Domain,
    pub(crate) stall_detector: Arc<StallDetector>,
    pub(crate) catalog: watch::Sender<Option<Arc<Catalog>>>,
    pub(crate) endpoints: EndpointRegistry,
    pub(crate) shutdown: Shutdown,
    /// Whether the router is ending and accepts no connections any more: requests that have no
    /// endpoint by then are refused.
    pub(crate) closing: watch::Sender<bool>,
    /// When all callers must have their answers, once the router is ending: the process ends shortly after.
    pub(crate) answers_due: watch::Sender<Option<Instant>>,
    start_state: watch::Sender<StartState>,
    pub(crate) stale_feeds: watch::Sender<StaleFeeds>,
    /// Number of requests in flight.
    pub(crate) in_flight: AtomicUsize,
    /// The connections of callers that arrive, and how busy the router is with them.
    pub(crate) intake: Intake,
    /// The open connections of callers.
    pub(crate) connections: Connections,
    /// The bodies of requests.
    pub(crate) uploads: Uploads,
    machine: MachineLimits,
    pub(crate) client: Client,
    pub(crate) router_client: RouterClient,
    /// Memory for the responses that are held back so that their requests can be retried.
    pub(crate) held_responses: ByteBudget,
    /// Memory for the parts of responses that are on their way to callers.
    pub(crate) passed_responses: ByteBudget,
    pub(crate) store: Store,
    /// What the router knows of the keys of callers besides the configuration.
    pub(crate) access: KeyState,
    /// Enforces the quotas of workspaces.
    pub(crate) quotas: Quotas,
    /// Schedule the requests of all routers to endpoints with rate limits, where there are no loaders.
    pub(crate) limiters: Mutex<Limiters>,
    /// The requests that wait for models, if queues are on.
    pub(crate) wait_queues: WaitQueues,
    /// Holds back requests that crash endpoints.
    pub(crate) guard: Arc<CrashGuard>,
    /// How far the crash records have been read; none while the store is unreachable.
    pub(crate) crash_records_position: watch::Sender<Option<StorePosition>>,
    /// Where streams began.
    pub(crate) origins: Origins,
    /// What the store keeps of versions and streams.
    pub(crate) stream_records: StreamRecords,
    /// Questions to loaders that wait for further requests.
    pub(crate) waiting_checks: WaitingChecks,
    retry_budgets: Mutex<HashMap<ServiceName, RetryBudget>>,
    started: Instant,
}

impl Shared {
    /// Waits until all callers must have their answers, since the process is about to end.
    pub(crate) async fn answers_due(&self) {
        let mut due = self.answers_due.subscribe();
        let at = due.wait_for(Option::is_some).await.ok().and_then(|due| *due);
        match at {
            Some(at) => tokio::time::sleep_until(at).await,
            None => std::future::pending().await,
        }
    }

    /// Whether the router accepts no connections any more, and callers must have their answers before this time.
    pub(crate) fn ends_before(&self, time: Instant) -> bool {
        *self.closing.borrow() && self.answers_due.borrow().is_some_and(|due| due < time)
    }

    /// Creates the shared state, and the queue of records that the crash guard wants written to
    /// the store.
    pub(crate) fn new(
        process: &SingleThreadProcess<Settings>,
    ) -> (Self, mpsc::UnboundedReceiver<KeyedRecord>) {
        let settings = process.settings.borrow().clone();
        let (guard, records) = CrashGuard::new(settings.instance.to_string());
        let client = Client::default();
        let store = Store::new(settings.store);
        let shared = Self {
            settings: process.settings.clone(),
            instance: settings.instance.to_string(),
            domain: settings.domain.clone(),
            stall_detector: process.stall_detector.clone(),
            catalog: watch::Sender::new(None),
            endpoints: EndpointRegistry::default(),
            shutdown: process.shutdown.clone(),
            closing: watch::Sender::new(false),
            answers_due: watch::Sender::new(None),
            start_state: watch::Sender::new(StartState::Reading),
            stale_feeds: watch::Sender::new(StaleFeeds::default()),
            in_flight: AtomicUsize::new(0),
            intake: Intake::new(process.idle_meter.clone()),
            connections: Connections::default(),
            uploads: Uploads::default(),
            machine: MachineLimits::detect(),
            router_client: RouterClient::new(&client),
            client,
            held_responses: ByteBudget::new(MAX_HELD_BYTES),
            passed_responses: ByteBudget::new(MAX_PASSED_BYTES),
            stream_records: StreamRecords::new(store.clone()),
            store,
            access: KeyState::default(),
            quotas: Quotas::new(settings.control, settings.domain.clone(), settings.queues()),
            limiters: Mutex::default(),
            wait_queues: WaitQueues::default(),
            guard: Arc::new(guard),
            crash_records_position: watch::Sender::new(None),
            origins: Origins::default(),
            waiting_checks: WaitingChecks::default(),
            retry_budgets: Mutex::default(),
            started: Instant::now(),
        };
        (shared, records)
    }

    /// The other routers, as the settings name them.
    pub(crate) fn other_routers(&self) -> Vec<std::net::SocketAddr> {
        let settings = self.settings.borrow();
        settings.peers.iter().filter(|router| **router != settings.control).copied().collect()
    }

    /// What the requests of callers may use, where a body may have this size, in bytes.
    pub(crate) fn intake_capacity(&self, max_body: usize) -> IntakeCapacity {
        IntakeCapacity::new(self.settings.borrow().limits, self.machine, max_body)
    }

    /// The configuration in force.
    pub(crate) fn current(&self) -> Option<Arc<Catalog>> {
        self.catalog.borrow().clone()
    }

    /// The configuration in force. While the first reads of the store are in progress, waits until
    /// `deadline` at most for the configuration and the list of endpoints.
    pub(crate) async fn first_catalog(&self, deadline: Instant) -> Option<Arc<Catalog>> {
        let reading = *self.start_state.borrow() == StartState::Reading;
        if reading {
            let mut start = self.start_state.subscribe();
            let known = start.wait_for(|start| *start != StartState::Reading);
            let _ = tokio::time::timeout_at(deadline, known).await;
        }
        self.current()
    }

    /// How far this router has read the store.
    pub(crate) fn position(&self) -> Position {
        let version = self.current().map_or(Revision(0), |current| current.version);
        let table = self.endpoints.lock();
        Position { version, read: table.list_position }
    }

    /// Records whether a read of the store succeeded. The first reads decide whether requests at
    /// the start wait or are refused.
    pub(crate) fn record_store_read(&self, feed: Feed, reached: bool) {
        self.update_start_state(reached);
        self.stale_feeds.send_if_modified(|stale| {
            let before = *stale;
            stale.set(feed, !reached);
            before != *stale
        });
    }

    /// Updates the start state after a read of the store or an answer of another router.
    pub(crate) fn update_start_state(&self, reached: bool) {
        let known = self.current().is_some() && self.endpoints.lock().list_loaded;
        self.start_state.send_if_modified(|start| {
            let next = match (*start, known, reached) {
                (_, true, _) => StartState::Ready,
                (StartState::Reading, false, false) => StartState::Unreachable(Instant::now()),
                (before, false, _) => before,
            };
            std::mem::replace(start, next) != next
        });
    }

    /// Since when the store has been unreachable, if the router lacks the configuration or the
    /// list of endpoints for that reason.
    pub(crate) fn unreachable_since(&self) -> Option<Instant> {
        match *self.start_state.borrow() {
            StartState::Unreachable(since) => Some(since),
            StartState::Reading | StartState::Ready => None,
        }
    }

    /// `Retry-After` while the router can't serve because the store is unreachable.
    pub(crate) fn store_retry_after(&self) -> Option<Duration> {
        let outage = self.unreachable_since()?.elapsed();
        Some(outage_retry_after(outage))
    }

    /// By how much the quotas of workspaces may be exceeded.
    pub(crate) fn quota_bounds(&self) -> quota::Bounds {
        let settings = self.settings.borrow().quota.unwrap_or_default();
        let Span(window) = settings.window;
        quota::Bounds { window, overshoot: settings.overshoot, slack: settings.slack }
    }

    /// A client of the loader that runs on the instance of an endpoint.
    pub(crate) fn loader_client(&self, endpoint: std::net::SocketAddr) -> LoaderClient {
        LoaderClient::new(self.client.clone(), self.loader_addr(endpoint))
    }

    /// The address of the loader that runs on the instance of an endpoint.
    pub(crate) fn loader_addr(&self, endpoint: std::net::SocketAddr) -> std::net::SocketAddr {
        std::net::SocketAddr::new(endpoint.ip(), self.settings.borrow().loader)
    }

    /// Applies the state of an endpoint that its loader reported.
    pub(crate) fn apply_endpoint_state(&self, id: &EndpointId, state: EndpointState) {
        let catalog = self.current();
        let engine = catalog.as_ref().and_then(|catalog| {
            let service = self.endpoints.lock().map.get(id)?.endpoint.service.clone();
            catalog.service(&service)?.engine.as_ref()
        });
        self.endpoints.apply_state(id, state, engine);
    }

    /// Fetches the report of an endpoint, which shows that it responds.
    pub(crate) async fn fetch_report(
        &self,
        id: &EndpointId,
        endpoint: std::net::SocketAddr,
        timeout: Duration,
    ) -> Result<(), String> {
        let asked_at = Instant::now();
        let report = platform::fetch_report(&self.client, endpoint, timeout).await;
        let report = report.map_err(|error| error.to_string())?;
        let same = |tracked: &TrackedEndpoint| {
            tracked.endpoint.addr == endpoint && tracked.same_incarnation(report.incarnation)
        };
        self.endpoints.apply_hints(id, report.incarnation, report.hints, asked_at, same);
        Ok(())
    }

    /// Checks the health of an endpoint; `None` if the endpoint is unknown or can't be asked.
    pub(crate) async fn check_health(&self, id: &EndpointId, timeout: Duration) -> Option<Health> {
        let (endpoint, pool) = {
            let table = self.endpoints.lock();
            let tracked = table.map.get(id)?;
            (tracked.endpoint.clone(), tracked.pool.clone())
        };
        let catalog = self.current()?;
        let path = catalog.service(&endpoint.service)?.health.as_deref()?;
        let asked_at = Instant::now();
        match platform::check_health(&self.client, endpoint.addr, path, id, timeout).await {
            Ok((health, hints)) => {
                let same = |tracked: &TrackedEndpoint| Arc::ptr_eq(&tracked.pool, &pool);
                self.endpoints.apply_hints(id, endpoint.incarnation, hints, asked_at, same);
                Some(health)
            }
            Err(error) => {
                log::debug!("router: the health check of {id} failed: {error}");
                None
            }
        }
    }

    /// Whether a service may have endpoints of several software versions, or has had them lately. A stale list may lack some.
    pub(crate) fn may_have_several_versions(&self, service: &ServiceName) -> bool {
        self.stale_feeds.borrow().membership()
            || self.endpoints.lock().software_of(service, Instant::now()).several()
    }

    /// The software of the incarnation that began a stream, if it is known by now.
    pub(crate) fn software_of(&self, origin: &StreamOrigin) -> Option<SoftwareVersion> {
        origin.software.clone().or_else(|| self.endpoints.lock().software_of_origin(origin))
    }

    /// Counts a request to a service for its retry budget.
    pub(crate) fn record_request(&self, service: &ServiceName) {
        self.with_retry_budget(service, |budget| budget.record_request(Instant::now()));
    }

    /// Reserves a retry of a request in the budget of its service; false if the budget is
    /// exhausted.
    pub(crate) fn try_reserve_retry(&self, service: &ServiceName, request_id: &str) -> bool {
        let routers = self.endpoints.lock().heard_routers.most(Instant::now());
        let decision =
            self.with_retry_budget(service, |budget| budget.try_reserve(routers, Instant::now()));
        let RetryDecision { allowed, spent, limit } = decision;
        emit(&Event::Retry {
            request: request_id,
            service: service.as_str(),
            allowed,
            spent,
            limit,
        });
        allowed
    }

    /// Records that a reserved retry is sent.
    pub(crate) fn record_sent_retry(&self, service: &ServiceName) {
        self.with_retry_budget(service, |budget| budget.record_sent(Instant::now()));
    }

    /// Gives back a reserved retry.
    pub(crate) fn cancel_retry(&self, service: &ServiceName) {
        self.with_retry_budget(service, RetryBudget::cancel);
    }

    fn with_retry_budget<T>(
        &self,
        service: &ServiceName,
        f: impl FnOnce(&mut RetryBudget) -> T,
    ) -> T {
        let mut budgets = self.retry_budgets.lock().unwrap_or_else(PoisonError::into_inner);
        let limits = self.settings.borrow().repeats;
        let Span(window) = limits.window;
        let limits = RetryLimits { ratio: limits.ratio, slack: limits.slack, window };
        f(budgets.entry(service.clone()).or_insert_with(|| RetryBudget::new(limits, self.started)))
    }
}
