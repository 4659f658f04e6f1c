//! What the loader knows about its endpoint and about the requests of routers.

use std::collections::BTreeMap;
use std::time::Duration;

use catalog::{Engine, ModelId};
use control::EnsureOutcome;
use platform::Report;
use speed::SharedSteps;
use tokio::sync::oneshot;
use tokio::time::Instant;
use units::{ModelName, Size, SoftwareVersion};

use crate::room::RoomState;

/// A model or adapter that routers have asked for.
#[derive(Debug)]
pub(crate) struct RequestedModel {
    /// Requests that wait for it, by router; none if it is loaded before requests wait for it.
    pub(crate) waiting: BTreeMap<String, u32>,
    /// Requests a second that arrive for it, by router.
    pub(crate) request_rates: BTreeMap<String, f64>,
    /// The version of the endpoint's software, if endpoints of no other version may serve requests that wait for it.
    pub(crate) software: Option<SoftwareVersion>,
    /// Until when routers wait for it.
    pub(crate) deadline: Instant,
    /// When it was first asked for.
    pub(crate) since: Instant,
    /// Where the outcome is sent.
    pub(crate) replies: Vec<oneshot::Sender<EnsureOutcome>>,
}

impl RequestedModel {
    /// Requests that wait for the model at all routers.
    pub(crate) fn total_waiting(&self) -> u32 {
        self.waiting.values().copied().fold(0, u32::saturating_add)
    }
}

/// How all routers use a model.
#[derive(Debug, Clone, Default)]
pub(crate) struct Usage {
    /// When a request for the model last began.
    pub(crate) last_used: Option<Instant>,
    /// Requests that run, by router, and the poll that reported them.
    pub(crate) running: BTreeMap<String, (u32, LastPoll)>,
    /// Requests a second, decaying.
    request_rate: f64,
    /// The same, decaying faster.
    recent_rate: f64,
    /// When the rates were last updated.
    rate_updated: Option<Instant>,
}

/// Time constant of the decaying rate of requests.
const RATE_TIME_CONSTANT: Duration = Duration::from_secs(3);

/// Time constant of the rate that shows a shift of demand.
const RECENT_RATE_TIME_CONSTANT: Duration = Duration::from_secs(1);
/// From this rate on, per second, a shift of demand is told from chance within a second.
const MIN_SHIFT_RATE: f64 = 4.0;

impl Usage {
    /// Counts requests that began.
    pub(crate) fn record_requests(&mut self, count: u32, now: Instant) {
        self.request_rate = self.rate_at(now) + f64::from(count) / RATE_TIME_CONSTANT.as_secs_f64();
        self.recent_rate =
            self.recent_rate_at(now) + f64::from(count) / RECENT_RATE_TIME_CONSTANT.as_secs_f64();
        self.rate_updated = Some(now);
        if count > 0 {
            self.last_used = Some(now);
        }
    }

    /// Requests that run, as reported by routers that have polled recently.
    fn running_at(&self, now: Instant) -> u32 {
        let recent = self.running.values().filter(|(_, poll)| poll.is_recent(now));
        recent.map(|(count, _)| *count).fold(0, u32::saturating_add)
    }

    fn rate_at(&self, now: Instant) -> f64 {
        self.request_rate * self.remaining_weight(RATE_TIME_CONSTANT, now)
    }

    fn recent_rate_at(&self, now: Instant) -> f64 {
        self.recent_rate * self.remaining_weight(RECENT_RATE_TIME_CONSTANT, now)
    }

    /// The rate for routers, which shows a shift of demand with its first requests.
    fn shared_rate_at(&self, now: Instant) -> f64 {
        let (rate, recent) = (self.rate_at(now), self.recent_rate_at(now));
        if recent >= MIN_SHIFT_RATE { rate.max(recent) } else { rate }
    }

    fn remaining_weight(&self, time_constant: Duration, now: Instant) -> f64 {
        let since = self.rate_updated.map_or(Duration::ZERO, |updated| now - updated);
        (-since.as_secs_f64() / time_constant.as_secs_f64()).exp()
    }
}

/// A router that hasn't polled for this long has no requests at the endpoint any more, or is cut off and will report
/// its requests later.
const ROUTER_TIMEOUT: Duration = Duration::from_secs(3);
/// The same timeout as a multiple of the time that the router waits for an answer, since it polls again right after
/// that.
const ROUTER_TIMEOUT_WAITS: u32 = 2;

/// The last poll of a router.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LastPoll {
    pub(crate) at: Instant,
    /// How long the router waits for an answer.
    pub(crate) wait: Duration,
}

impl LastPoll {
    pub(crate) fn is_recent(self, now: Instant) -> bool {
        now - self.at < ROUTER_TIMEOUT.max(self.wait * ROUTER_TIMEOUT_WAITS)
    }
}

/// The eviction of a model to make room for another one: the model gets no new requests and is unloaded when its last
/// one has ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Eviction {
    pub(crate) model: ModelName,
    pub(crate) since: Instant,
}

/// What is known about the endpoint, and what routers ask for.
#[derive(Debug, Default)]
pub(crate) struct EndpointView {
    /// What endpoints of the service can hold.
    pub(crate) engine: Option<Engine>,
    /// The endpoint's last report.
    pub(crate) report: Option<Report>,
    /// Models and adapters that routers have asked for.
    pub(crate) requested: BTreeMap<ModelId, RequestedModel>,
    /// How models are used.
    pub(crate) usage: BTreeMap<ModelName, Usage>,
    /// Routers, and their last polls.
    pub(crate) routers: BTreeMap<String, LastPoll>,
    /// The last poll of a router that uses the rates of requests.
    pub(crate) rates_wanted: Option<LastPoll>,
    /// The eviction in progress.
    pub(crate) eviction: Option<Eviction>,
    /// When each adapter was last asked for.
    pub(crate) adapters_asked: BTreeMap<ModelId, Instant>,
    /// The model that may be loaded from the weight store now.
    pub(crate) permit: Option<ModelName>,
    /// What is known of the requests that wait at routers, and of the models that can make room for theirs.
    pub(crate) rooms: RoomState,
    /// The time between events of streams, as measured by all routers.
    pub(crate) steps: SharedSteps,
}

impl EndpointView {
    /// Forgets what an earlier incarnation of the endpoint held and ran.
    pub(crate) fn reset_endpoint(&mut self) {
        self.report = None;
        self.eviction = None;
        self.adapters_asked.clear();
        self.rooms.reset_endpoint();
        self.steps.clear();
        for usage in self.usage.values_mut() {
            usage.running.clear();
        }
    }

    /// Whether the endpoint holds the model, with its adapter if one is named.
    pub(crate) fn holds(&self, id: &ModelId) -> bool {
        let Some(report) = &self.report else { return false };
        let held = report.models.iter().find(|held| held.model == id.model);
        held.is_some_and(|held| id.adapter.as_ref().is_none_or(|a| held.adapters.contains(a)))
    }

    /// Requests that run with a model, as reported by routers that have polled recently.
    pub(crate) fn running(&self, model: &ModelName) -> u32 {
        self.usage.get(model).map_or(0, |usage| usage.running_at(Instant::now()))
    }

    /// What routers ask for of a model: the model itself, or else the first of its adapters.
    pub(crate) fn first_requested(&self, model: &ModelName) -> Option<&RequestedModel> {
        let base = ModelId { model: model.clone(), adapter: None };
        let (id, requested) = self.requested.range(base..).next()?;
        (id.model == *model).then_some(requested)
    }

    /// The recent rate of requests for a model, per second.
    pub(crate) fn request_rate(&self, model: &ModelName, now: Instant) -> f64 {
        self.usage.get(model).map_or(0.0, |usage| usage.rate_at(now))
    }

    /// The rates of requests for the models that the endpoint holds, per second; none while no router uses them.
    pub(crate) fn shared_rates(&self, now: Instant) -> Vec<(ModelName, f64)> {
        if !self.rates_wanted.is_some_and(|poll| poll.is_recent(now)) {
            return Vec::new();
        }
        let held = self.report.iter().flat_map(|report| &report.models).map(|held| &held.model);
        held.map(|model| {
            let rate = self.usage.get(model).map_or(0.0, |usage| usage.shared_rate_at(now));
            (model.clone(), rate)
        })
        .collect()
    }

    /// The number of routers that have polled recently.
    pub(crate) fn active_routers(&self) -> u32 {
        let now = Instant::now();
        let active = self.routers.values().filter(|poll| poll.is_recent(now)).count();
        u32::try_from(active).unwrap_or(u32::MAX)
    }

    /// Requests that run with any model.
    pub(crate) fn total_running(&self) -> u32 {
        let now = Instant::now();
        let running = self.usage.values().map(|usage| usage.running_at(now));
        running.fold(0, u32::saturating_add)
    }

    /// When a model was last used.
    pub(crate) fn last_used(&self, model: &ModelName) -> Option<Instant> {
        self.usage.get(model).and_then(|usage| usage.last_used)
    }

    /// Marks a model as used now.
    pub(crate) fn mark_used(&mut self, model: &ModelName, now: Instant) {
        self.usage.entry(model.clone()).or_default().last_used = Some(now);
    }

    /// Accelerator memory taken by weights, by adapters and by adapters that are being loaded.
    pub(crate) fn used_memory(&self) -> Size {
        let (Some(report), Some(engine)) = (&self.report, &self.engine) else { return Size(0) };
        let weights = |model: &ModelName| engine.model(model).map_or(Size(0), |spec| spec.weights);
        let adapter = |model: &ModelName| engine.model(model).map_or(Size(0), |spec| spec.adapter);
        let models: Size = report.models.iter().map(|held| weights(&held.model)).sum();
        let adapters = report.models.iter();
        let adapters =
            adapters.map(|held| adapter(&held.model).saturating_mul(held.adapters.len()));
        let loading = report.loading_adapters.iter().map(|id| adapter(&id.model));
        models + adapters.sum() + loading.sum()
    }

    /// Adapters that are loaded or being loaded.
    pub(crate) fn adapter_count(&self) -> u32 {
        let Some(report) = &self.report else { return 0 };
        let held: usize = report.models.iter().map(|held| held.adapters.len()).sum();
        u32::try_from(held + report.loading_adapters.len()).unwrap_or(u32::MAX)
    }
}

#[cfg(test)]
mod tests;
