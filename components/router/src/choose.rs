//! Chooses the endpoint for a request, or the models to load so that there is one.

use std::sync::Arc;
use std::time::Duration;

use admission::{Admission, admit};
use catalog::{Engine, ModelId};
use fleet::Tier;
use placement::{Candidate, ChosenEndpoint, ReplicaStatus};
use tokio::time::Instant;
use units::{Domain, EndpointId, ServiceName, SoftwareVersion};

use crate::balance;
use crate::endpoint::TrackedEndpoint;
use crate::loader_task::{self, LoadRequest};
use crate::probe;
use crate::queued::{self, Waiter};
use crate::registry::{EndpointTable, NO_WAITING_REQUESTS};
use crate::reservation::{Reservation, WaitingRequest};
use crate::shared::Shared;
use crate::software::{RequiredSoftware, WaitingFor};

/// Interval at which a waiting request searches again: the pause of an endpoint ends without a
/// notification.
pub(crate) const SEARCH_INTERVAL: Duration = Duration::from_millis(100);
/// A waiting request pauses before it searches again for the time that it has waited divided by this. With many requests waiting for
/// models, something changes hundreds of times a second, and each search considers all endpoints.
const SEARCH_PAUSE_DIVISOR: u32 = 8;
/// A shorter pause is left out: a timer would delay a request that is about to be served by more than that.
const MIN_SEARCH_PAUSE: Duration = Duration::from_millis(5);
/// The longest such pause.
const MAX_SEARCH_PAUSE: Duration = Duration::from_millis(50);
/// How much later than expected a load may finish and still serve the callers that were refused
/// with `Retry-After` and come back for the model.
const CALLER_RETURN_TIME: Duration = Duration::from_millis(1_500);
/// How many prompts of this router an endpoint processes at once while streams pause for too long:
/// an engine reads all waiting prompts in one pass, which pauses its streams. It is worth its
/// delay where pauses are frequent, such as in one stream in four, and not where they are rare, so
/// it applies only then.
const MAX_CONCURRENT_PREFILLS: u32 = 1;
/// Further requests are held back for the target time divided by this.
const PREFILL_HOLD_DIVISOR: u32 = 4;
/// `Retry-After` if no endpoint is left that the request could be sent to.
pub(crate) const NO_ENDPOINT_RETRY_AFTER: Duration = Duration::from_millis(1_000);

/// What a request needs of an endpoint.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RequestNeeds<'a> {
    pub(crate) service: &'a ServiceName,
    pub(crate) model: Option<&'a ModelId>,
    pub(crate) engine: Option<&'a Engine>,
    /// Tokens of the prompt.
    pub(crate) prompt_tokens: u32,
    /// Target for the time to the first event.
    pub(crate) first_event_target: Duration,
    /// The longest pause between two events that the route allows; zero if it sets no target.
    pub(crate) max_pause: Duration,
    pub(crate) deadline: Instant,
    /// When the request began to look for an endpoint.
    pub(crate) search_start: Instant,
    /// Endpoints that the request was already sent to and that it does not go back to.
    pub(crate) excluded: &'a [EndpointId],
    /// The version of the software that the endpoint must run, if the request continues a stream.
    pub(crate) software: Option<&'a SoftwareVersion>,
    /// Whether the request may not share an endpoint with other requests that were at crashed
    /// endpoints.
    pub(crate) isolated: bool,
    /// What decides on the place of the request in the queue for its model, if queues are on.
    pub(crate) waiter: Option<Waiter<'a>>,
}

impl RequestNeeds<'_> {
    /// Whether the request may be served by any endpoint of its queue, so that it can wait there for its model. Others search by
    /// themselves, so that they keep no other request waiting.
    fn may_queue(&self) -> bool {
        self.excluded.is_empty() && !self.isolated
    }

    /// The software that the endpoint must run, if the request continues a stream.
    pub(crate) fn required_software(&self) -> Option<RequiredSoftware<'_>> {
        let service = self.service;
        self.software.map(|version| RequiredSoftware { service, version })
    }

    /// Whether the request may go to an endpoint, whatever its state.
    fn may_use(&self, tracked: &TrackedEndpoint) -> bool {
        tracked.endpoint.service == *self.service && tracked.meets(self.required_software())
    }

    /// How long an idle endpoint takes to process the prompt.
    fn prefill_time(&self, table: &mut EndpointTable) -> Duration {
        self.model
            .map_or(Duration::ZERO, |id| table.demand(&id.model).prefill_time(self.prompt_tokens))
    }
}

/// Why a request gets no endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ReserveError {
    /// No endpoint of the service can take the request; it may be retried after this time.
    NoEndpoint(Duration),
    /// No endpoint runs the software that the request needs, and none is about to.
    NoVersion,
    /// The model can't be loaded before the deadline; the request may be retried after this time.
    LoadTooSlow(Duration),
    /// Too many requests for the model go first; the request may be retried after this time.
    QueueTooLong(Duration),
    /// The router stops, and the request would have to wait.
    HandedBack,
}

/// A model to be loaded on an endpoint.
pub(crate) struct PlannedLoad {
    id: EndpointId,
    target: ModelId,
    /// How long the load is expected to take.
    pub(crate) duration: Duration,
    /// Whether the weights come from the weight store.
    from_store: bool,
    /// Whether only the endpoint's version of the software may serve the requests that wait for the load.
    bound: bool,
}

impl PlannedLoad {
    fn request(&self, urgent: bool, within: Duration) -> LoadRequest {
        LoadRequest {
            urgent,
            within,
            expected_duration: self.duration,
            from_store: self.from_store,
            bound: self.bound,
        }
    }
}

/// The result of one search for an endpoint.
pub(crate) enum SearchResult {
    Reserved(Box<Reservation>),
    /// No endpoint holds the model: it is to be loaded on these endpoints, the fastest of which
    /// comes first.
    Load(Vec<PlannedLoad>),
    /// No endpoint can serve the request yet; one is expected after this time.
    Wait(Duration),
    /// No loader can be asked now. Once one can, the model is expected to take this time.
    NoLoader(Duration),
    /// An endpoint could serve the request, but a better one is expected after this time.
    Hold(Duration),
    /// All endpoints that may serve the request have asked for a pause, the first of which ends
    /// after this time.
    Paused(Duration),
    /// No endpoint is left that the request could be sent to.
    NoEndpoint,
    /// No endpoint accepts work that runs the software which the request needs, and none is about to.
    NoVersion,
}

/// Reserves an endpoint for a request, and waits until one can serve it.
pub(crate) async fn reserve(
    shared: &Arc<Shared>,
    needs: RequestNeeds<'_>,
) -> Result<Reservation, ReserveError> {
    if let Some(model) = needs.model {
        let (required, now) = (needs.required_software(), Instant::now());
        let mut table = shared.endpoints.lock();
        table.record_arrival(&model.model, required, needs.prompt_tokens, now);
    }
    match (needs.waiter, needs.model) {
        (Some(waiter), Some(model)) if needs.may_queue() => {
            queued::reserve(shared, needs, waiter, model).await
        }
        (Some(waiter), _) => {
            let reserved = reserve_alone(shared, needs).await;
            shared.wait_queues.charge_if_reserved(&waiter, &reserved);
            reserved
        }
        (None, _) => reserve_alone(shared, needs).await,
    }
}

/// Reserves an endpoint for a request that searches by itself.
pub(crate) async fn reserve_alone(
    shared: &Arc<Shared>,
    needs: RequestNeeds<'_>,
) -> Result<Reservation, ReserveError> {
    let mut waiting = None;
    loop {
        let changed = shared.endpoints.changed.notified();
        let time_left = needs.deadline.saturating_duration_since(Instant::now());
        match search(shared, &needs) {
            SearchResult::Reserved(mut reservation) => {
                reservation.waited_for_load = waiting.is_some();
                return Ok(*reservation);
            }
            SearchResult::Paused(left) => return Err(ReserveError::NoEndpoint(left)),
            SearchResult::NoEndpoint => {
                return Err(ReserveError::NoEndpoint(NO_ENDPOINT_RETRY_AFTER));
            }
            SearchResult::NoVersion => return Err(ReserveError::NoVersion),
            SearchResult::Load(loads) => {
                let Some(first) = loads.first() else { continue };
                waiting.get_or_insert_with(|| count_waiting(shared, &needs, &first.target));
                let admission = admit(time_left, first.duration);
                // The model is loaded even if the request is refused: its caller is told to come
                // back for it.
                let within = (admission == Admission::Wait).then_some(time_left);
                request_loads(shared, &loads, within);
                if let Admission::Refuse(after) = admission {
                    return Err(ReserveError::LoadTooSlow(after));
                }
            }
            SearchResult::Wait(duration)
            | SearchResult::NoLoader(duration)
            | SearchResult::Hold(duration) => {
                if let Admission::Refuse(after) = admit(time_left, duration) {
                    return Err(ReserveError::LoadTooSlow(after));
                }
            }
        }
        let searched = Instant::now();
        let _ = tokio::time::timeout(SEARCH_INTERVAL, changed).await;
        if let Some(pause) = search_pause(searched - needs.search_start) {
            tokio::time::sleep_until(searched + pause).await;
        }
    }
}

/// Asks loaders for a model. `within` is how long a request waits for it, or none if its caller is
/// told to come back for it.
pub(crate) fn request_loads(shared: &Arc<Shared>, loads: &[PlannedLoad], within: Option<Duration>) {
    for load in loads {
        let within = within.unwrap_or(load.duration + CALLER_RETURN_TIME);
        // A loader that may not evict other models still loads the model if there is room for it.
        let urgent = shared.endpoints.lock().may_request_room(
            &load.target.model,
            &load.id,
            loads.len(),
            load.bound,
        );
        loader_task::request_load(shared, &load.id, &load.target, load.request(urgent, within));
    }
}

/// Counts a request among those that wait for a model.
fn count_waiting(
    shared: &Arc<Shared>,
    needs: &RequestNeeds<'_>,
    target: &ModelId,
) -> WaitingRequest {
    let restricting = shared.endpoints.lock().restricting(needs.required_software());
    WaitingRequest::new(shared, WaitingFor::new(&target.model, restricting))
}

/// How long a request that has waited for this time does not search again, whatever changes.
pub(crate) fn search_pause(waited: Duration) -> Option<Duration> {
    let pause = (waited / SEARCH_PAUSE_DIVISOR).min(MAX_SEARCH_PAUSE);
    (pause >= MIN_SEARCH_PAUSE).then_some(pause)
}

/// What a search decides, before anything is reserved.
enum Plan {
    /// Send the request to this endpoint.
    Send {
        id: EndpointId,
        /// How long the prompt takes, and how long after now the first event is expected.
        times: (Duration, Duration),
        /// A further load of the model, for later requests.
        extra_load: Option<PlannedLoad>,
    },
    /// This endpoint must answer a probe first.
    Probe(EndpointId),
    /// Nothing is reserved.
    Other(SearchResult),
}

/// The endpoints that a request may use, as a search finds them.
#[derive(Default)]
struct Considered<'a> {
    /// Those that may get the request, or load its model, now.
    candidates: Vec<Candidate<'a>>,
    /// Those that were silent, so that only a probe can bring them back.
    silent: Vec<&'a EndpointId>,
    /// Whether any of them accepts work.
    any_accepts: bool,
    /// Whether any of them accepts work that the request was not sent to.
    any_left: bool,
}

/// Searches once for an endpoint.
pub(crate) fn search(shared: &Arc<Shared>, needs: &RequestNeeds<'_>) -> SearchResult {
    let now = Instant::now();
    let mut table = shared.endpoints.lock();
    let prefill_time = needs.prefill_time(&mut table);
    let considered = consider(&table, needs, now);
    for id in &considered.silent {
        probe::start(shared, id, &table);
    }
    let plan = plan(&table, &considered, needs, (prefill_time, now), &shared.domain);
    drop(considered);
    let (id, times, extra_load) = match plan {
        Plan::Send { id, times, extra_load } => (id, times, extra_load),
        Plan::Probe(id) => {
            probe::start(shared, &id, &table);
            return SearchResult::Wait(Duration::ZERO);
        }
        Plan::Other(result) => return result,
    };
    let reservation = Reservation::new(shared, &mut table, id, needs, times, now);
    drop(table);
    if let Some(load) = extra_load {
        let request = load.request(true, load.duration + CALLER_RETURN_TIME);
        loader_task::request_load(shared, &load.id, &load.target, request);
    }
    reservation.map_or(SearchResult::NoEndpoint, |one| SearchResult::Reserved(Box::new(one)))
}

fn consider<'a>(
    table: &'a EndpointTable,
    needs: &RequestNeeds<'_>,
    now: Instant,
) -> Considered<'a> {
    // A model is loaded at an endpoint that announces a rate limit only if all of them do.
    let all_limited = table.all_rate_limited(needs.service, needs.required_software(), now);
    // An adapter can't be loaded where its model was refused.
    let refusals: Vec<ModelId> = needs.model.map(with_base_model).unwrap_or_default();
    let mut considered = Considered::default();
    for (id, tracked) in table.map.iter().filter(|(_, tracked)| needs.may_use(tracked)) {
        let excluded = needs.excluded.contains(id);
        considered.any_accepts |= tracked.accepts_work();
        considered.any_left |= tracked.accepts_work() && !excluded;
        if !tracked.usable(now) {
            if tracked.unresponsive(now) && tracked.needs_probe(now) {
                considered.silent.push(id);
            }
            continue;
        }
        if excluded || needs.isolated && tracked.pool.sent_requests().isolated > 0 {
            continue;
        }
        let refused =
            |id: &ModelId| tracked.refused_until.get(id).is_some_and(|until| *until > now);
        considered.candidates.push(tracked.candidate(
            tracked.can_load(now)
                && (all_limited || tracked.rate_limit(now).is_none())
                && !refusals.iter().any(refused),
            now,
        ));
    }
    considered
}

/// Decides where a request is sent, or what it waits for.
fn plan(
    table: &EndpointTable,
    considered: &Considered<'_>,
    needs: &RequestNeeds<'_>,
    (prefill_time, now): (Duration, Instant),
    local: &Domain,
) -> Plan {
    if let Some(left) = backoff(table, needs, now) {
        return Plan::Other(SearchResult::Paused(left));
    }
    if let Some(required) = needs.required_software().filter(|_| !considered.any_accepts)
        && table.list_loaded
        && !table.may_meet_soon(required)
    {
        return Plan::Other(SearchResult::NoVersion);
    }
    if !considered.any_left {
        // Every endpoint has refused the request, or there is none: there is nothing to wait for.
        return Plan::Other(SearchResult::NoEndpoint);
    }
    let candidates = &considered.candidates;
    match balance::choose_endpoint(table, candidates, needs, prefill_time, local) {
        Some(chosen) => plan_send(table, candidates, needs, chosen, (prefill_time, now)),
        None => Plan::Other(plan_loads(table, candidates, needs, prefill_time, now)),
    }
}

/// Decides whether a request is sent to the endpoint that was chosen for it.
fn plan_send(
    table: &EndpointTable,
    candidates: &[Candidate<'_>],
    needs: &RequestNeeds<'_>,
    chosen: ChosenEndpoint,
    (prefill_time, now): (Duration, Instant),
) -> Plan {
    if let Some(left) = faster_loading_replica(candidates, needs, chosen) {
        return Plan::Other(SearchResult::Hold(left));
    }
    let id = &candidates[chosen.index].endpoint.id;
    let prefills = table.map.get(id).map_or(0, |tracked| tracked.backlog.prompts());
    if table.serialize_prompts()
        && prefills >= MAX_CONCURRENT_PREFILLS
        && now - needs.search_start < needs.first_event_target / PREFILL_HOLD_DIVISOR
    {
        return Plan::Other(SearchResult::Hold(Duration::ZERO));
    }
    let needs_probe = || table.map.get(id).is_some_and(|tracked| tracked.needs_probe(now));
    if needs.model.is_some() && needs_probe() {
        return Plan::Probe(id.clone());
    }
    let extra_load = plan_extra_load(table, candidates, needs, chosen, prefill_time);
    Plan::Send { id: id.clone(), times: (prefill_time, chosen.first_event), extra_load }
}

/// Decides where the model of a request is loaded, since no candidate holds it.
fn plan_loads(
    table: &EndpointTable,
    candidates: &[Candidate<'_>],
    needs: &RequestNeeds<'_>,
    prefill_time: Duration,
    now: Instant,
) -> SearchResult {
    let (Some(model), Some(engine)) = (needs.model, needs.engine) else {
        return SearchResult::Wait(Duration::ZERO);
    };
    let restricting = table.restricting(needs.required_software());
    let memory_scarce = placement::memory_scarce(candidates);
    let count = table.waiting_for(&model.model, restricting);
    let max_loads = table.replicas_needed(
        &model.model,
        restricting,
        engine.slots,
        (count, prefill_time * count),
        memory_scarce,
    );
    // A load from the weight store is requested at one endpoint only, also while its loader waits
    // for a load permit.
    let has_copy = placement::has_copy(candidates, &model.model);
    let requested = table.pending_cold_load(&model.model, restricting).filter(|_| !has_copy);
    let requested =
        requested.and_then(|id| candidates.iter().position(|one| one.endpoint.id == *id));
    let (first, list) = match requested {
        Some(index) => (index, &candidates[index..=index]),
        None => (0, candidates),
    };
    let max_loads = max_loads as usize;
    let targets =
        balance::choose_load_targets(list, (model, engine), needs, prefill_time, max_loads);
    let loads = targets.into_iter().map(|load_target| {
        // The base model is loaded first; all of its adapters wait for the same load.
        let adapter = model.adapter.clone().filter(|_| load_target.tier == Tier::Adapter);
        PlannedLoad {
            id: candidates[first + load_target.index].endpoint.id.clone(),
            target: ModelId { model: model.model.clone(), adapter },
            duration: load_target.ready_in,
            from_store: load_target.tier == Tier::Store,
            bound: restricting.is_some(),
        }
    });
    let loads: Vec<PlannedLoad> = loads.collect();
    if let Some(first) = loads.first() {
        // Wait for a replica that accepts requests again before a new replica would be ready.
        let backoff = table.replica_backoff(&model.model, restricting, now);
        if let Some(left) = backoff.filter(|left| *left <= first.duration) {
            return SearchResult::Wait(left);
        }
        return SearchResult::Load(loads);
    }
    // No loader can be asked now.
    let store_load = engine.model(&model.model).map_or(Duration::ZERO, |spec| spec.store_load);
    SearchResult::NoLoader(if has_copy { Duration::ZERO } else { store_load })
}

/// A model, and before it the model that it is an adapter of.
fn with_base_model(id: &ModelId) -> Vec<ModelId> {
    let base = id.adapter.is_some().then(|| ModelId { model: id.model.clone(), adapter: None });
    base.into_iter().chain([id.clone()]).collect()
}

/// The time until a planned load is done. The remaining time of a load in progress is counted from when its loader reported it;
/// a load from the weight store that has not begun waits for a permit.
pub(crate) fn ready_in(shared: &Shared, load: &PlannedLoad, now: Instant) -> Duration {
    let table = shared.endpoints.lock();
    let progress = table.map.get(&load.id).map(|tracked| tracked.load_progress(now));
    let left = load.duration.saturating_sub(progress.unwrap_or_default());
    if !load.from_store || table.cold.is_running(&load.id, &load.target.model) {
        return left;
    }
    let ahead = table.store_loads_ahead(&load.id, &load.target.model, now);
    left + table.cold.permit_wait(ahead, load.duration, now)
}

/// The time until the first loader that refused to load a model may be asked again.
pub(crate) fn loader_pause(
    table: &EndpointTable,
    needs: &RequestNeeds<'_>,
    now: Instant,
) -> Duration {
    let own = table.map.values().filter(|tracked| needs.may_use(tracked));
    let same = |id: &ModelId| needs.model.is_some_and(|model| model.model == id.model);
    let refusals = own.flat_map(|tracked| &tracked.refused_until).filter(|(id, _)| same(id));
    let pauses = refusals.filter_map(|(_, until)| until.checked_duration_since(now));
    pauses.min().unwrap_or(Duration::ZERO)
}

/// If all endpoints that may serve a request have asked for a pause: the time until the first of
/// these pauses ends.
pub(crate) fn retry_after(shared: &Arc<Shared>, needs: &RequestNeeds<'_>) -> Option<Duration> {
    backoff(&shared.endpoints.lock(), needs, Instant::now())
}

fn backoff(table: &EndpointTable, needs: &RequestNeeds<'_>, now: Instant) -> Option<Duration> {
    table.service_backoff(needs.service, needs.required_software(), needs.excluded, now)
}

/// Whether an endpoint that is not in `needs.excluded` is expected to send the first event within
/// this time.
pub(crate) fn has_alternative(
    shared: &Arc<Shared>,
    needs: &RequestNeeds<'_>,
    within: Duration,
) -> bool {
    let mut table = shared.endpoints.lock();
    let first_event = alternative(&mut table, needs, &shared.domain, Instant::now());
    first_event.is_some_and(|first_event| first_event < within)
}

/// How long an endpoint that is not in `needs.excluded` is expected to take for the first event.
fn alternative(
    table: &mut EndpointTable,
    needs: &RequestNeeds<'_>,
    local: &Domain,
    now: Instant,
) -> Option<Duration> {
    let prefill_time = needs.prefill_time(table);
    let table = &*table;
    let usable = |tracked: &&TrackedEndpoint| {
        let id = &tracked.endpoint.id;
        needs.may_use(tracked) && tracked.usable(now) && !needs.excluded.contains(id)
    };
    let candidates: Vec<_> =
        table.map.values().filter(usable).map(|tracked| tracked.candidate(false, now)).collect();
    let chosen = balance::choose_endpoint(table, &candidates, needs, prefill_time, local);
    chosen.map(|chosen| chosen.first_event)
}

/// The time until another replica is loaded, if the request would miss its target at the present
/// replicas and that time is less than half of what they are expected to take.
fn faster_loading_replica(
    candidates: &[Candidate<'_>],
    needs: &RequestNeeds<'_>,
    chosen: ChosenEndpoint,
) -> Option<Duration> {
    let model = &needs.model?.model;
    let loads = candidates.iter().filter_map(|one| one.holdings?.loading.as_ref());
    let left = loads.filter(|load| load.model == *model).map(|load| load.remaining).min()?;
    (chosen.first_event > needs.first_event_target && left < chosen.first_event / 2).then_some(left)
}

/// A further endpoint on which to load the model of a request, if the replicas are too few or too
/// slow.
fn plan_extra_load(
    table: &EndpointTable,
    candidates: &[Candidate<'_>],
    needs: &RequestNeeds<'_>,
    chosen: ChosenEndpoint,
    prefill_time: Duration,
) -> Option<PlannedLoad> {
    let (model, engine) = needs.model.zip(needs.engine)?;
    let base = ModelId { model: model.model.clone(), adapter: None };
    let was_requested = |one: &Candidate<'_>| {
        table
            .map
            .get(&one.endpoint.id)
            .is_some_and(|tracked| tracked.open_loads.contains_key(&base))
    };
    let requested: Vec<bool> = candidates.iter().map(was_requested).collect();
    let memory_scarce = placement::memory_scarce(candidates);
    let restricting = table.restricting(needs.required_software());
    let needed = table.replicas_needed(
        &base.model,
        restricting,
        engine.slots,
        NO_WAITING_REQUESTS,
        memory_scarce,
    ) as usize;
    let target = needs.first_event_target;
    let replicas = ReplicaStatus { model: &base, requested: &requested, needed, chosen, target };
    let load_target = balance::scale_out(candidates, engine, &replicas, needs, prefill_time)?;
    let id = candidates[load_target.index].endpoint.id.clone();
    Some(PlannedLoad {
        id,
        target: base,
        duration: load_target.ready_in,
        from_store: load_target.tier == Tier::Store,
        bound: restricting.is_some(),
    })
}

#[cfg(test)]
mod tests;
