//! What this router knows about each endpoint, and which endpoints may get requests.

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use admission::HeardRouters;
use catalog::{Engine, ModelId};
use control::{EndpointLoad, EndpointState, ListHistory, ModelUse, PastVersion};
use events::{Event, emit, millis};
use fleet::{Endpoint, Tier};
use origin::{StreamOrigin, VersionHistory};
use placement::{Demand, ScalingInputs};
use platform::EndpointHints;
use speed::ServiceSpeeds;
use tokio::sync::Notify;
use tokio::time::Instant;
use units::{
    EndpointId, EndpointIncarnation, ModelName, ServiceName, SoftwareVersion, StorePosition,
};

use crate::cold::ColdLoads;
use crate::endpoint::{TrackedEndpoint, Usage};
use crate::hints::{KnownHints, ReceivedHints};
use crate::origins::ServiceSoftware;
use crate::pool::ConnectionPool;
use crate::snapshot::ROUTER_TIMEOUT;
use crate::software::{BoundDemands, RequiredSoftware};

/// Minimum time between requests to different loaders to make room for the same model. Without it, a burst for one model
/// would evict another model on every endpoint that has a copy of its weights.
const ROOM_REQUEST_INTERVAL: Duration = Duration::from_millis(1_000);
/// How long an endpoint gets no requests after a failed call; doubled with each consecutive failure.
const FIRST_FAILURE_PAUSE: Duration = Duration::from_millis(250);
/// The longest pause after failed calls.
const MAX_FAILURE_PAUSE: Duration = Duration::from_secs(4);
/// The weight of one stream in the share of recent streams that stalled: about the last fifty streams count.
const STREAM_WEIGHT: f64 = 0.02;
/// Above this share of stalled streams, prompts are sent to an endpoint one after another. Below it, the time that prompts
/// would wait costs more than the stalls.
const SERIALIZE_PAUSE_RATIO: f64 = 0.05;
/// The most removed endpoints whose hints are kept: more than are removed while an older list entry can still return.
const MAX_PAST_HINTS: usize = 512;
/// The longest back-off that an endpoint may ask for. After this time it gets requests again, so that a mistake in its clock
/// or settings can't exclude it for its whole incarnation.
pub(crate) const MAX_BACKOFF: Duration = Duration::from_secs(300);
/// The number of waiting requests and their processing time for a model that no request waits for.
pub(crate) const NO_WAITING_REQUESTS: (u32, Duration) = (0, Duration::ZERO);

/// All known endpoints, with the state that concerns several of them.
#[derive(Debug, Default)]
pub(crate) struct EndpointTable {
    pub(crate) map: BTreeMap<EndpointId, TrackedEndpoint>,
    /// The loaders that were recently asked to make room for each model, and when.
    room_requests: HashMap<ModelName, Vec<(EndpointId, Instant)>>,
    /// The number of requests that wait for each model and that any endpoint may serve.
    pub(crate) waiting: HashMap<ModelName, u32>,
    /// Loads from the weight store.
    pub(crate) cold: ColdLoads,
    /// The requests that only endpoints with one version of the software may serve.
    pub(crate) bound: BoundDemands,
    /// How much work each model's requests cause on its replicas.
    demands: HashMap<ModelName, Demand>,
    /// The speeds of the endpoints of each service.
    pub(crate) speeds: BTreeMap<ServiceName, ServiceSpeeds>,
    /// The share of recent streams that stalled for too long.
    pause_ratio: f64,
    /// Whether the list of endpoints has been read.
    pub(crate) list_loaded: bool,
    /// The position up to which the list has been read, by this router or by the router that it got a snapshot from.
    pub(crate) list_position: StorePosition,
    /// When that position was set.
    pub(crate) positioned_at: Option<Instant>,
    /// How many routers the loaders have heard lately.
    pub(crate) heard_routers: HeardRouters,
    /// The software versions that each service has had lately.
    versions: VersionHistory,
    /// When the list was last known to be complete.
    pub(crate) list_confirmed: Option<Instant>,
    /// Whether the versions are known that services had before this router started.
    pub(crate) knows_past_versions: bool,
    /// Hints from endpoints that are no longer listed: a list entry that is older than the hints may come back.
    past_hints: VecDeque<(EndpointId, Option<EndpointIncarnation>, KnownHints)>,
}

/// The endpoint table behind a lock, shared by all tasks of a router.
#[derive(Debug, Default)]
pub(crate) struct EndpointRegistry {
    table: Mutex<EndpointTable>,
    /// Notified whenever something changes that a waiting request may be waiting for.
    pub(crate) changed: Notify,
}

impl EndpointRegistry {
    pub(crate) fn lock(&self) -> MutexGuard<'_, EndpointTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies the state that a loader reports for its endpoint.
    pub(crate) fn apply_state(
        &self,
        id: &EndpointId,
        state: EndpointState,
        engine: Option<&Engine>,
    ) {
        let now = Instant::now();
        let mut table = self.lock();
        let accepted = table.map.get(id).is_some_and(TrackedEndpoint::accepts_work);
        table.remember_version(id, now);
        if table.map.get_mut(id).is_some_and(|tracked| tracked.apply_state(state, now)) {
            table.forget_incarnation(id);
        }
        if let Some(tracked) = table.map.get_mut(id) {
            tracked.log_rate_limit("its loader", now);
        }
        if let Some(tracked) =
            table.map.get(id).filter(|tracked| accepted && !tracked.accepts_work())
        {
            let (addr, cause) =
                (tracked.endpoint.addr.to_string(), "its loader reports it as draining");
            emit(&Event::EndpointChanged {
                endpoint: id.as_str(),
                addr,
                stage: "draining",
                software: "",
                cause,
            });
        }
        let table = &mut *table;
        if let Some((state, _)) = table.map.get(id).and_then(|tracked| tracked.state.as_ref()) {
            table.heard_routers.record(state.load.routers, now);
            table.cold.update(id, &state.holdings, engine, now);
        }
        self.changed.notify_waiters();
    }

    /// Applies a loader's response that only the load of its endpoint has changed. Returns false if no earlier state is known
    /// that this could refer to.
    pub(crate) fn refresh_load(&self, id: &EndpointId, load: EndpointLoad) -> bool {
        let (mut table, now, routers) = (self.lock(), Instant::now(), load.routers);
        let same = table.map.get_mut(id).is_some_and(|tracked| tracked.refresh_load(load, now));
        if same {
            table.heard_routers.record(routers, now);
        }
        drop(table);
        self.changed.notify_waiters();
        same
    }

    /// The address of an endpoint and its connection pool.
    pub(crate) fn pool(&self, id: &EndpointId) -> Option<(SocketAddr, Arc<ConnectionPool>)> {
        self.lock().map.get(id).map(|tracked| (tracked.endpoint.addr, tracked.pool.clone()))
    }

    /// Records that an endpoint has answered a probe.
    pub(crate) fn record_report(&self, id: &EndpointId) {
        if let Some(tracked) = self.lock().map.get(id) {
            tracked.pool.liveness().probe_answered(Instant::now(), tracked.running == 0);
        }
        self.changed.notify_waiters();
    }

    /// Records a failed call to an incarnation of an endpoint.
    pub(crate) fn record_failure(
        &self,
        id: &EndpointId,
        incarnation: Option<EndpointIncarnation>,
        cause: &str,
    ) {
        let mut table = self.lock();
        if table.map.get(id).is_some_and(|tracked| tracked.same_incarnation(incarnation)) {
            table.pause(id, cause);
        }
    }

    /// Applies the hints in an endpoint's answer to a request that was sent at `asked_at`. `incarnation` is the one that answered, if
    /// known; `same` tells whether the endpoint listed now is the one that answered. Returns false if it is not.
    pub(crate) fn apply_hints(
        &self,
        id: &EndpointId,
        incarnation: Option<EndpointIncarnation>,
        hints: EndpointHints,
        asked_at: Instant,
        same: impl Fn(&TrackedEndpoint) -> bool,
    ) -> bool {
        self.apply_rate_limit(id, hints.rate_limit, asked_at, &same);
        let announces = hints.draining || hints.retry_after.is_some();
        let new = ReceivedHints::from_answer(hints, Instant::now());
        let mut table = self.lock();
        let Some(tracked) = table.map.get_mut(id) else {
            if announces {
                // The endpoint may be listed again by an entry that is older than these hints.
                table.add_past_hints(id, incarnation, new);
            }
            return true;
        };
        if !same(tracked) {
            return false;
        }
        let settled = tracked.hints.in_doubt();
        tracked.hints.settle();
        if !announces {
            drop(table);
            if settled {
                self.changed.notify_waiters();
            }
            return true;
        }
        let accepted = tracked.accepts_work();
        tracked.hints.own = tracked.hints.own.merge(new);
        if tracked.hints.own.draining {
            tracked.pool.retire();
        }
        if accepted && hints.draining {
            let (addr, cause) =
                (tracked.endpoint.addr.to_string(), "it announced that it is draining");
            emit(&Event::EndpointChanged {
                endpoint: id.as_str(),
                addr,
                stage: "draining",
                software: "",
                cause,
            });
        }
        if let Some(after) = hints.retry_after.map(|after| after.min(MAX_BACKOFF)) {
            let (pause_ms, cause) = (millis(after), "it asked for no requests for this time");
            emit(&Event::EndpointPaused { endpoint: id.as_str(), pause_ms, cause });
        }
        drop(table);
        self.changed.notify_waiters();
        true
    }

    /// Records whether a stream that ended complete stalled for longer than its route allows.
    pub(crate) fn record_stream(&self, paused: bool) {
        let pause_ratio = &mut self.lock().pause_ratio;
        *pause_ratio += (f64::from(u8::from(paused)) - *pause_ratio) * STREAM_WEIGHT;
    }

    /// Records that an incarnation of an endpoint answered.
    pub(crate) fn record_success(&self, id: &EndpointId, incarnation: Option<EndpointIncarnation>) {
        let mut table = self.lock();
        if let Some(tracked) =
            table.map.get_mut(id).filter(|tracked| tracked.same_incarnation(incarnation))
        {
            tracked.consecutive_failures = 0;
            tracked.paused_until = None;
            tracked.recent_failures.record_success(Instant::now());
        }
    }

    /// Records that an endpoint does not have a model, whatever its loader or its list entry says.
    pub(crate) fn record_missing_model(
        &self,
        id: &EndpointId,
        incarnation: Option<EndpointIncarnation>,
        model: &ModelId,
    ) {
        let mut table = self.lock();
        let tracked = table.map.get_mut(id).filter(|tracked| tracked.same_incarnation(incarnation));
        let Some(tracked) = tracked else { return };
        let holdings = match &mut tracked.state {
            Some((state, _)) => Some(&mut state.holdings),
            None => tracked.endpoint.holdings.as_mut(),
        };
        let Some(holdings) = holdings else { return };
        match &model.adapter {
            None => holdings.models.retain(|held| held.model != model.model),
            Some(adapter) => {
                for held in holdings.models.iter_mut().filter(|held| held.model == model.model) {
                    held.adapters.retain(|other| other != adapter);
                }
            }
        }
    }
}

impl EndpointTable {
    /// The software of the endpoints of a service.
    pub(crate) fn software_of(&self, service: &ServiceName, now: Instant) -> ServiceSoftware {
        let mut software =
            ServiceSoftware { versions: self.versions.versions(service, now), unknown: false };
        let own = self.map.values().filter(|tracked| tracked.endpoint.service == *service);
        own.for_each(|tracked| tracked.add_software(&mut software));
        software
    }

    /// The software of the incarnation that began a stream, if the list shows it.
    pub(crate) fn software_of_origin(&self, origin: &StreamOrigin) -> Option<SoftwareVersion> {
        let tracked = self.map.get(&origin.endpoint)?;
        let same =
            origin.incarnation.is_some() && tracked.endpoint.incarnation == origin.incarnation;
        tracked.endpoint.software.clone().filter(|_| same)
    }

    /// Whether the list may come to show the software of the incarnation that began a stream.
    pub(crate) fn may_list_software(&self, origin: &StreamOrigin) -> bool {
        let tracked = self.map.get(&origin.endpoint);
        origin.incarnation.is_some()
            && tracked.is_some_and(|tracked| !tracked.has_ended(origin.incarnation))
    }

    /// The software of the endpoints of each listed service.
    pub(crate) fn all_software_versions(
        &self,
        now: Instant,
    ) -> BTreeMap<&ServiceName, ServiceSoftware> {
        let mut all: BTreeMap<&ServiceName, ServiceSoftware> = BTreeMap::new();
        for tracked in self.map.values() {
            tracked.add_software(all.entry(&tracked.endpoint.service).or_default());
        }
        for (service, software) in &mut all {
            software.versions.extend(self.versions.versions(service, now));
        }
        all
    }

    /// The software versions that services have had lately.
    pub(crate) fn version_history(&self) -> &VersionHistory {
        &self.versions
    }

    /// The time since the list was last known to be complete.
    pub(crate) fn list_age(&self, now: Instant) -> Duration {
        let age = |confirmed| now.saturating_duration_since(confirmed);
        self.list_confirmed.map_or(Duration::MAX, age)
    }

    /// What is known of the time before the list, if that is complete.
    pub(crate) fn history(&self, now: Instant) -> Option<ListHistory> {
        if !self.knows_past_versions {
            return None;
        }
        let age = now.saturating_duration_since(self.list_confirmed?);
        let versions = self.versions.recent(now).map(|(service, software, age)| PastVersion {
            service: service.clone(),
            software: software.clone(),
            age,
        });
        Some(ListHistory { age, versions: versions.collect() })
    }

    /// Takes up what another router knows of the time before its list.
    pub(crate) fn apply_history(&mut self, history: &ListHistory, now: Instant) {
        for PastVersion { service, software, age } in &history.versions {
            let seen = now.checked_sub(*age).unwrap_or(now);
            self.versions.record_past(service, software, seen, now);
        }
        // The answer may have been on its way for as long as a router waits for it.
        let confirmed = now.checked_sub(history.age + ROUTER_TIMEOUT);
        self.list_confirmed = self.list_confirmed.max(confirmed);
        self.knows_past_versions = true;
    }

    /// Records that a service had a version at `seen`, as another process has found.
    pub(crate) fn record_past_version(
        &mut self,
        service: &ServiceName,
        software: &SoftwareVersion,
        seen: Instant,
        now: Instant,
    ) {
        self.versions.record_past(service, software, seen, now);
    }

    /// For how long the versions of a service have been seen.
    pub(crate) fn versions_watched(&self, service: &ServiceName, now: Instant) -> Duration {
        self.versions.watched(service, now)
    }

    /// Remembers the version of an endpoint that is about to change or to be removed.
    pub(crate) fn remember_version(&mut self, id: &EndpointId, now: Instant) {
        let Some(Endpoint { service, software: Some(software), .. }) =
            self.map.get(id).map(|tracked| &tracked.endpoint)
        else {
            return;
        };
        self.versions.record(service, software, now);
    }

    /// Whether so many streams stall for too long that prompts are better sent to an endpoint one after another.
    pub(crate) fn serialize_prompts(&self) -> bool {
        self.pause_ratio > SERIALIZE_PAUSE_RATIO
    }

    /// Sends an endpoint no requests for a while after a failed call.
    fn pause(&mut self, id: &EndpointId, cause: &str) {
        let Some(tracked) = self.map.get_mut(id) else { return };
        let pause = (FIRST_FAILURE_PAUSE * (1 << tracked.consecutive_failures.min(4)))
            .min(MAX_FAILURE_PAUSE);
        tracked.consecutive_failures += 1;
        tracked.recent_failures.record_failure(Instant::now());
        tracked.paused_until = Some(Instant::now() + pause);
        let pause_ms = millis(pause);
        emit(&Event::EndpointPaused { endpoint: id.as_str(), pause_ms, cause });
    }

    /// Whether a loader may be asked now to make room for a model that at most `most` endpoints should hold; if so, records it.
    /// If only the endpoint's version of the software may serve the requests that wait, loads at other versions don't count.
    pub(crate) fn may_request_room(
        &mut self,
        model: &ModelName,
        id: &EndpointId,
        most: usize,
        bound: bool,
    ) -> bool {
        let now = Instant::now();
        let asked = self.room_requests.entry(model.clone()).or_default();
        asked.retain(|(other, at)| other != id && now - *at < ROOM_REQUEST_INTERVAL);
        let software = |id| self.map.get(id).and_then(|one| one.endpoint.software.as_ref());
        let counts = |other| !bound || software(other) == software(id);
        if asked.iter().filter(|(other, _)| counts(other)).count() >= most.max(1) {
            return false;
        }
        asked.push((id.clone(), now));
        true
    }

    /// The demand for a model.
    pub(crate) fn demand(&mut self, model: &ModelName) -> &mut Demand {
        self.demands.entry(model.clone()).or_default()
    }

    /// The demand for a model, if this router has had requests for it.
    pub(crate) fn known_demand(&self, model: &ModelName) -> Option<Demand> {
        self.demands.get(model).copied()
    }

    /// The endpoint whose loader was asked to load a model from the weight store and has not answered yet; of those with the
    /// required software, if any is required.
    pub(crate) fn pending_cold_load(
        &self,
        model: &ModelName,
        required: Option<RequiredSoftware<'_>>,
    ) -> Option<&EndpointId> {
        let allowed = self.map.iter().filter(|(_, tracked)| tracked.meets(required));
        let mut asked = allowed.filter(|(_, tracked)| {
            let open =
                tracked.open_loads.iter().any(|(id, loads)| id.model == *model && loads.open > 0);
            let now = Instant::now();
            open && tracked.holdings(now).is_some_and(|held| held.tier(model) == Tier::Store)
        });
        asked.next().map(|(id, _)| id)
    }

    /// How many other models that more requests wait for at this router have been requested from the weight store and are
    /// not being loaded yet, before a load at an endpoint. Permits go to the models with the most demand.
    pub(crate) fn store_loads_ahead(
        &self,
        id: &EndpointId,
        model: &ModelName,
        now: Instant,
    ) -> usize {
        let own = self.map.get(id).map_or(0, |one| self.waiting_at(&one.endpoint, model));
        let requested = self.map.iter().flat_map(|(id, tracked)| {
            let held = tracked.holdings(now);
            let from_store =
                move |name: &&ModelName| held.is_some_and(|held| held.tier(name) == Tier::Store);
            let open = tracked.open_loads.keys().map(|target| &target.model);
            let more = move |name: &&ModelName| self.waiting_at(&tracked.endpoint, name) > own;
            let requested = open.filter(from_store).filter(more);
            requested.filter(move |name| !self.cold.is_running(id, name))
        });
        let ahead: HashSet<&ModelName> = requested.filter(|other| *other != model).collect();
        ahead.len()
    }

    /// Requests per second for a model at this router.
    pub(crate) fn request_rate(&self, model: &ModelName, now: Instant) -> f64 {
        self.demands.get(model).map_or(0.0, |demand| demand.request_rate(now))
    }

    /// How many replicas a model needs for the requests that any endpoint may serve, or for those that only the required
    /// software may serve. `waiting` is the number of requests that wait for it at this router and the time their
    /// prompts take, `slots` the slots of one endpoint, and `memory_scarce` whether models wait for accelerator memory.
    pub(crate) fn replicas_needed(
        &self,
        model: &ModelName,
        required: Option<RequiredSoftware<'_>>,
        slots: u32,
        waiting: (u32, Duration),
        memory_scarce: bool,
    ) -> u32 {
        let allowed = self.map.values().filter(|tracked| tracked.meets(required));
        let uses = allowed.filter_map(|tracked| tracked.uses.get(model));
        let running = uses.map(|usage| usage.running).sum();
        let inputs =
            ScalingInputs { routers: self.routers(), running, slots, waiting, memory_scarce };
        let demand = self.known_demand(model).unwrap_or_default();
        let now = Instant::now();
        match required {
            None => demand.replicas_needed_at(&inputs, self.reported_rate(model, now), now),
            Some(required) => {
                let demand = demand.with_arrivals(self.bound_arrivals(model, required));
                demand.replicas_needed(&inputs, now)
            }
        }
    }

    /// The number of routers that the loaders hear from; at least this one.
    pub(crate) fn routers(&self) -> u32 {
        let known = self.map.values().filter(|tracked| tracked.state.is_some());
        known.map(TrackedEndpoint::routers).max().unwrap_or(1)
    }

    /// Takes the use of an endpoint's models since the last call, to be reported to its loader.
    pub(crate) fn take_uses(&mut self, id: &EndpointId, now: Instant) -> Option<Vec<ModelUse>> {
        let tracked = self.map.get_mut(id)?;
        let held: Vec<ModelName> = tracked.holdings(now).map_or_else(Vec::new, |holdings| {
            holdings.models.iter().map(|held| held.model.clone()).collect()
        });
        let uses = held.into_iter().filter_map(|model| {
            let Usage { begun, running } = tracked.uses.remove(&model)?;
            if running > 0 {
                tracked.uses.insert(model.clone(), Usage { begun: 0, running });
            }
            (begun > 0 || running > 0).then_some(ModelUse { model, begun, running })
        });
        Some(uses.collect())
    }

    /// The time until the first endpoint of a service with the required software takes requests again, if all endpoints that may
    /// get one have asked for back-off.
    pub(crate) fn service_backoff(
        &self,
        service: &ServiceName,
        required: Option<RequiredSoftware<'_>>,
        tried: &[EndpointId],
        now: Instant,
    ) -> Option<Duration> {
        let all = self.map.values().filter(|tracked| tracked.endpoint.service == *service);
        let accepting = all.filter(|tracked| tracked.accepts_work() && tracked.meets(required));
        let mut first = None;
        for tracked in accepting {
            match tracked.pause_left(now) {
                Some(left) => first = Some(first.map_or(left, |first: Duration| first.min(left))),
                None if tried.contains(&tracked.endpoint.id) => {}
                None => return None,
            }
        }
        first
    }

    /// The time until the first replica of a model that has asked for back-off takes requests again; of those with the required
    /// software, if any is required.
    pub(crate) fn replica_backoff(
        &self,
        model: &ModelName,
        required: Option<RequiredSoftware<'_>>,
        now: Instant,
    ) -> Option<Duration> {
        let holds = |tracked: &&TrackedEndpoint| {
            tracked.holdings(now).is_some_and(|held| held.holds(model))
        };
        let allowed = self.map.values().filter(|tracked| tracked.meets(required));
        let accepting = allowed.filter(|tracked| tracked.accepts_work()).filter(holds);
        accepting.filter_map(|tracked| tracked.backoff_left(now)).min()
    }

    /// Remembers the hints of an endpoint that is no longer listed.
    pub(crate) fn remember_hints(
        &mut self,
        id: &EndpointId,
        incarnation: Option<EndpointIncarnation>,
        hints: KnownHints,
    ) {
        if hints == KnownHints::default() {
            return;
        }
        if self.past_hints.len() == MAX_PAST_HINTS {
            self.past_hints.pop_front();
        }
        self.past_hints.push_back((id.clone(), incarnation, hints));
    }

    /// Adds to the hints of an endpoint that is no longer listed.
    fn add_past_hints(
        &mut self,
        id: &EndpointId,
        incarnation: Option<EndpointIncarnation>,
        new: ReceivedHints,
    ) {
        let mut hints = self.past_hints_in(id, incarnation).unwrap_or_default();
        hints.own = hints.own.merge(new);
        self.remember_hints(id, incarnation, hints);
    }

    /// The hints of an endpoint that was listed before and is now listed in this incarnation.
    pub(crate) fn past_hints(
        &self,
        id: &EndpointId,
        incarnation: Option<EndpointIncarnation>,
        now: Instant,
    ) -> KnownHints {
        self.past_hints_in(id, incarnation).unwrap_or_else(|| {
            let newest = self.past_hints.iter().rev().find(|(other, ..)| other == id);
            let next = newest.map(|(_, _, hints)| hints.after_restart(now));
            next.unwrap_or_default()
        })
    }

    fn past_hints_in(
        &self,
        id: &EndpointId,
        incarnation: Option<EndpointIncarnation>,
    ) -> Option<KnownHints> {
        let mut all = self.past_hints.iter().rev();
        let found = all.find(|(other, then, _)| {
            other == id && !EndpointIncarnation::differ(*then, incarnation)
        });
        found.map(|(_, _, hints)| *hints)
    }

    /// Discards what belongs to an earlier incarnation of an endpoint.
    pub(crate) fn forget_incarnation(&mut self, id: &EndpointId) {
        self.cold.remove_endpoint(id);
        for asked in self.room_requests.values_mut() {
            asked.retain(|(other, _)| other != id);
        }
        let addr =
            self.map.get(id).map_or_else(String::new, |tracked| tracked.endpoint.addr.to_string());
        emit(&Event::EndpointChanged {
            endpoint: id.as_str(),
            addr,
            stage: "restarted",
            software: self.map.get(id).map_or("", |tracked| tracked.software()),
            cause: "",
        });
    }
}
