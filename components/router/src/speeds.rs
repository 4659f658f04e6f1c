//! Measures how fast endpoints send events of streams, and computes the time factors by which requests are placed.
//!
//! Load pattern: a router with 0.07 of a core relays thousands of events a second. An event is counted under a lock that only the streams of the
//! same model and endpoint share; all else is done per stream, per poll or twice a second.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use control::{EndpointSpeedReport, ServiceEvenness, SpeedsReport, StepTime};
use events::{Event, emit, millis};
use speed::{EndpointSteps, STEP_LIFETIME, Step, StepRecorder, StreamClock, known_step};
use tokio::time::Instant;
use units::{EndpointId, ModelName, ServiceName};

use crate::endpoint::TrackedEndpoint;
use crate::pool::ConnectionPool;
use crate::registry::EndpointTable;
use crate::settings::Switch;
use crate::shared::Shared;

/// The shortest interval at which factors are computed.
const MIN_UPDATE_INTERVAL: Duration = Duration::from_millis(500);
/// The same for each endpoint, so that the cost in processor time does not grow with their number.
const UPDATE_INTERVAL_PER_ENDPOINT: Duration = Duration::from_millis(1);
/// A factor in use that has changed by this ratio is logged.
const LOGGED_CHANGE: f64 = 1.25;
/// What separates the events of a stream.
const EVENT_END: &[u8] = b"\n\n";

/// A recorder that the streams of a model at an incarnation of an endpoint share.
type SharedRecorder = Arc<Mutex<StepRecorder>>;

fn lock(recorder: &SharedRecorder) -> MutexGuard<'_, StepRecorder> {
    recorder.lock().unwrap_or_else(PoisonError::into_inner)
}

/// What is known of the speed of one incarnation of an endpoint.
#[derive(Debug, Default)]
pub(crate) struct EndpointSpeed {
    recorders: HashMap<ModelName, SharedRecorder>,
    /// The time factor; none if it is unknown.
    factor: Option<f64>,
    /// Whether requests to the service of the endpoint are placed by speed.
    balanced: bool,
    /// The factor in use that was logged last; none stands for 1.
    logged: Option<f64>,
}

impl EndpointSpeed {
    /// What holds for a new incarnation: its speed is unknown, its service is the same.
    pub(crate) fn restarted(&self) -> Self {
        Self { balanced: self.balanced, logged: self.logged, ..Self::default() }
    }

    /// The time factor by which requests are placed.
    pub(crate) fn used_factor(&self) -> f64 {
        self.factor.filter(|_| self.balanced).unwrap_or(1.0)
    }

    /// Whether requests to the service of the endpoint are placed by speed.
    pub(crate) fn balanced(&self) -> bool {
        self.balanced
    }

    /// Takes the times between events since the last call, to be reported to the loader. With `all`, also what was reported before.
    pub(crate) fn take_steps(&mut self, all: bool, now: Instant) -> Vec<StepTime> {
        self.recorders.retain(|_, recorder| !lock(recorder).expired(now));
        let take = |(model, recorder): (&ModelName, &SharedRecorder)| {
            let mut recorder = lock(recorder);
            let new = recorder.take(now);
            let step = if all { recorder.average(now) } else { new };
            Some(StepTime::new(model.clone(), step?))
        };
        self.recorders.iter().filter_map(take).collect()
    }

    /// The recorder of a model.
    fn recorder(&mut self, model: &ModelName, now: Instant) -> SharedRecorder {
        let new = || Arc::new(Mutex::new(StepRecorder::new(now)));
        self.recorders.entry(model.clone()).or_insert_with(new).clone()
    }

    /// The time since this router saw the last event.
    fn age(&self, now: Instant) -> Option<Duration> {
        self.recorders.values().map(|recorder| lock(recorder).age(now)).min()
    }

    /// Sets the factor, and whether it is used; logs it if the factor in use has changed enough.
    fn update(&mut self, id: &EndpointId, events: u32, factor: Option<f64>, balanced: bool) {
        self.factor = factor;
        self.balanced = balanced;
        let (before, used) = (self.logged.unwrap_or(1.0), self.used_factor());
        if (used / before).ln().abs() < LOGGED_CHANGE.ln() {
            return;
        }
        self.logged = Some(used);
        let cause = match (balanced, factor) {
            (true, Some(_)) => "measured",
            (true, None) => "not measured any more",
            (false, _) => "speeds are not used any more",
        };
        emit(&Event::EndpointSpeed { endpoint: id.as_str(), factor: used, events, cause });
    }
}

/// A stream that is measured.
#[derive(Debug)]
pub(crate) struct MeasuredStream {
    clock: StreamClock,
    recorder: SharedRecorder,
}

/// Measures the time between the events of one stream.
#[derive(Debug, Default)]
pub(crate) enum StreamMeter {
    /// No event has arrived yet.
    #[default]
    Idle,
    /// Speeds are not measured, or the endpoint has restarted.
    Off,
    /// The stream is measured.
    On(Box<MeasuredStream>),
}

impl StreamMeter {
    /// Records events that arrived. `find` returns the recorder, if speeds are measured.
    pub(crate) fn record(
        &mut self,
        data: &[u8],
        now: Instant,
        find: impl FnOnce() -> Option<SharedRecorder>,
    ) {
        if matches!(self, Self::Idle) {
            let start = |recorder| MeasuredStream { clock: StreamClock::default(), recorder };
            *self = find().map_or(Self::Off, |recorder| Self::On(Box::new(start(recorder))));
        }
        let Self::On(stream) = self else { return };
        let events = count_events(data);
        if events > 0
            && let Some(step) = stream.clock.record(events, now)
        {
            lock(&stream.recorder).record(step, now);
        }
    }
}

/// The number of events that end in a part of a stream.
fn count_events(data: &[u8]) -> u32 {
    let ends = data.windows(EVENT_END.len()).filter(|bytes| *bytes == EVENT_END).count();
    u32::try_from(ends).unwrap_or(u32::MAX)
}

/// The recorder of a model at the incarnation of an endpoint that these connections lead to; none if speeds are not measured.
pub(crate) fn recorder(
    shared: &Shared,
    id: &EndpointId,
    pool: &Arc<ConnectionPool>,
    model: &ModelName,
    now: Instant,
) -> Option<SharedRecorder> {
    if shared.settings.borrow().scheduling.speeds == Switch::Off {
        return None;
    }
    let mut table = shared.endpoints.lock();
    let tracked = table.map.get_mut(id).filter(|tracked| Arc::ptr_eq(&tracked.pool, pool))?;
    Some(tracked.speed.recorder(model, now))
}

/// Computes the factors again and again.
pub(crate) async fn run(shared: Arc<Shared>) {
    loop {
        let endpoints = shared.endpoints.lock().map.len();
        tokio::time::sleep(update_interval(endpoints)).await;
        let switch = shared.settings.borrow().scheduling.speeds;
        update(&mut shared.endpoints.lock(), switch, Instant::now());
    }
}

fn update_interval(endpoints: usize) -> Duration {
    let endpoints = u32::try_from(endpoints).unwrap_or(u32::MAX);
    MIN_UPDATE_INTERVAL.max(UPDATE_INTERVAL_PER_ENDPOINT * endpoints)
}

/// What a router computes for one endpoint.
struct NewFactor {
    id: EndpointId,
    events: u32,
    factor: Option<f64>,
    balanced: bool,
}

/// Computes the factors of all endpoints and sets them.
fn update(table: &mut EndpointTable, switch: Switch, now: Instant) {
    let new = match switch {
        Switch::Off => {
            table.speeds.clear();
            Vec::new()
        }
        Switch::Auto | Switch::On => compute(table, switch == Switch::On, now),
    };
    let mut new: BTreeMap<EndpointId, NewFactor> =
        new.into_iter().map(|one| (one.id.clone(), one)).collect();
    for (id, tracked) in &mut table.map {
        match new.remove(id) {
            Some(one) => tracked.speed.update(id, one.events, one.factor, one.balanced),
            None => tracked.speed.update(id, 0, None, false),
        }
    }
}

/// Computes the factors of all endpoints of services in which times between events are known. `always` tells whether they are used
/// where the endpoints are alike.
fn compute(table: &mut EndpointTable, always: bool, now: Instant) -> Vec<NewFactor> {
    let mut services: BTreeMap<&ServiceName, Vec<EndpointSteps<'_>>> = BTreeMap::new();
    let with_models = |tracked: &&TrackedEndpoint| tracked.endpoint.holdings.is_some();
    for tracked in table.map.values().filter(with_models) {
        let steps = EndpointSteps {
            endpoint: &tracked.endpoint.id,
            incarnation: tracked.endpoint.incarnation,
            steps: known_steps(tracked, now),
        };
        services.entry(&tracked.endpoint.service).or_default().push(steps);
    }
    table.speeds.retain(|service, _| services.contains_key(service));
    let mut new = Vec::new();
    for (service, endpoints) in services {
        let measured = endpoints.iter().any(|one| !one.steps.is_empty());
        if !measured && !table.speeds.contains_key(service) && !always {
            continue;
        }
        let speeds = table.speeds.entry(service.clone()).or_default();
        let before = speeds.uneven(now);
        let factors = speeds.update(&endpoints, now);
        let uneven = speeds.uneven(now);
        if uneven != before {
            emit(&Event::EndpointsUneven { service: service.as_str(), uneven });
        }
        new.extend(endpoints.iter().zip(factors).map(|(one, factor)| NewFactor {
            id: one.endpoint.clone(),
            events: one.events(),
            factor,
            balanced: always || uneven,
        }));
    }
    new
}

/// The times between events that are known of an endpoint, by model.
fn known_steps(tracked: &TrackedEndpoint, now: Instant) -> Vec<(&ModelName, Step)> {
    let recorders = &tracked.speed.recorders;
    let published = published_steps(tracked, now);
    let models: BTreeSet<&ModelName> =
        recorders.keys().chain(published.iter().map(|one| &one.model)).collect();
    let step = |model: &ModelName| {
        let published = published.iter().find(|one| one.model == *model).map(StepTime::step);
        let own = recorders.get(model).map(lock);
        known_step(own.as_deref(), published, now)
    };
    models.into_iter().filter_map(|model| Some((model, step(model)?))).collect()
}

/// What the loader has published, if it was heard from lately.
fn published_steps(tracked: &TrackedEndpoint, now: Instant) -> &[StepTime] {
    match &tracked.state {
        Some((state, heard)) if now - *heard < STEP_LIFETIME => &state.steps,
        _ => &[],
    }
}

/// The speed of endpoints, for an operator.
pub(crate) fn report(shared: &Shared) -> SpeedsReport {
    let now = Instant::now();
    let table = shared.endpoints.lock();
    let service = |(service, speeds): (&ServiceName, &speed::ServiceSpeeds)| ServiceEvenness {
        service: service.clone(),
        uneven: speeds.uneven(now),
    };
    SpeedsReport {
        services: table.speeds.iter().map(service).collect(),
        endpoints: table.map.values().filter_map(|tracked| report_endpoint(tracked, now)).collect(),
    }
}

fn report_endpoint(tracked: &TrackedEndpoint, now: Instant) -> Option<EndpointSpeedReport> {
    let steps = known_steps(tracked, now);
    let heard = tracked.state.as_ref().map(|(_, heard)| now - *heard);
    let age = tracked.speed.age(now).or(heard).filter(|_| !steps.is_empty())?;
    Some(EndpointSpeedReport {
        endpoint: tracked.endpoint.id.clone(),
        service: tracked.endpoint.service.clone(),
        factor: tracked.speed.factor,
        used: tracked.speed.used_factor(),
        events: steps.iter().fold(0, |sum, (_, step)| sum.saturating_add(step.events)),
        age_ms: millis(age),
        models: steps.into_iter().map(|(model, step)| StepTime::new(model.clone(), step)).collect(),
    })
}

#[cfg(test)]
mod tests;
