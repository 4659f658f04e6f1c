//! What a router knows of the endpoints, and which of them may get requests.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use catalog::{Engine, ModelId};
use control::{EndpointLoad, EndpointState, ModelUse};
use events::{Event, emit, millis};
use fleet::Tier;
use placement::{Demand, ScalingInputs};
use platform::EndpointHints;
use tokio::sync::Notify;
use tokio::time::Instant;
use units::{EndpointId, EndpointIncarnation, ModelName, ServiceName, StorePosition};

use crate::cold::ColdLoads;
use crate::endpoint::{ReceivedHints, TrackedEndpoint, Usage};
use crate::guard::wall_clock;
use crate::pool::ConnectionPool;

/// One loader is asked to make room for a model, and another one only after this time: else a burst for one model would
/// push out a model on each endpoint that has a copy.
const INSIST: Duration = Duration::from_millis(1_000);
/// An endpoint that failed a call gets no requests for this time, doubled with each failure in a row.
const PAUSE: Duration = Duration::from_millis(250);
/// The longest such pause.
const LONGEST: Duration = Duration::from_secs(4);
/// What one stream counts among those of late that paused: the last fifty or so do.
const PAUSE_PART: f64 = 0.02;
/// From this part on prompts are sent one after another; below it, what they wait costs more than the pauses.
const PAUSING: f64 = 0.05;
/// So many endpoints that have left are remembered: more than leave while an entry can come back.
const LEFT: usize = 512;
/// An endpoint that names a longer time for which it wants nothing is asked again after this: a mistake of its clock or its settings
/// must not shut it out for as long as it lives.
const AWAY: Duration = Duration::from_secs(300);
/// Nobody waits for a model.
pub(crate) const NO_WAITING_REQUESTS: (u32, Duration) = (0, Duration::ZERO);

/// All endpoints.
#[derive(Debug, Default)]
pub(crate) struct EndpointTable {
    pub(crate) map: BTreeMap<EndpointId, TrackedEndpoint>,
    /// The loaders that were asked to make room for each model of late, and when.
    room_requests: HashMap<ModelName, Vec<(EndpointId, Instant)>>,
    /// Requests that wait for each model.
    pub(crate) waiting: HashMap<ModelName, u32>,
    /// Loads from the weight store.
    pub(crate) cold: ColdLoads,
    /// What each model asks of its holders.
    demands: HashMap<ModelName, Demand>,
    /// The part of streams of late that paused for too long.
    pause_ratio: f64,
    pub(crate) list_loaded: bool,
    /// How far the list has been read, by this router or one that told it.
    pub(crate) list_position: StorePosition,
    /// What endpoints that are not listed any more said of themselves: an entry may come back that is older than that.
    past_hints: VecDeque<(EndpointId, Option<EndpointIncarnation>, ReceivedHints)>,
}

/// All endpoints, shared by the tasks of a router.
#[derive(Debug, Default)]
pub(crate) struct EndpointRegistry {
    peers: Mutex<EndpointTable>,
    /// Told whenever something changes that a waiting request may wait for.
    pub(crate) changed: Notify,
}

impl EndpointRegistry {
    pub(crate) fn lock(&self) -> MutexGuard<'_, EndpointTable> {
        self.peers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes what a loader says.
    pub(crate) fn apply_state(
        &self,
        id: &EndpointId,
        state: EndpointState,
        engine: Option<&Engine>,
    ) {
        let now = Instant::now();
        let mut peers = self.lock();
        let stayed = peers.map.get(id).is_some_and(TrackedEndpoint::accepts_work);
        if peers.map.get_mut(id).is_some_and(|peer| peer.apply_state(state, now)) {
            peers.forget_incarnation(id);
        }
        if let Some(peer) = peers.map.get(id).filter(|peer| stayed && !peer.accepts_work()) {
            let (addr, cause) = (peer.endpoint.addr.to_string(), "its loader says so");
            emit(&Event::Member { endpoint: id.as_str(), addr, stage: "draining", cause });
        }
        let peers = &mut *peers;
        if let Some((state, _)) = peers.map.get(id).and_then(|peer| peer.state.as_ref()) {
            peers.cold.update(id, &state.holdings, engine, now);
        }
        self.changed.notify_waiters();
    }

    /// Takes that a loader has nothing new to say but how busy its endpoint is; false if nothing is known from it that
    /// could be the same.
    pub(crate) fn refresh_load(&self, id: &EndpointId, load: EndpointLoad) -> bool {
        let mut peers = self.lock();
        let same =
            peers.map.get_mut(id).is_some_and(|peer| peer.refresh_load(load, Instant::now()));
        drop(peers);
        self.changed.notify_waiters();
        same
    }

    /// The address of an endpoint and its connections.
    pub(crate) fn pool(&self, id: &EndpointId) -> Option<(SocketAddr, Arc<ConnectionPool>)> {
        self.lock().map.get(id).map(|peer| (peer.endpoint.addr, peer.pool.clone()))
    }

    /// Notes that an endpoint has answered a question.
    pub(crate) fn record_report(&self, id: &EndpointId) {
        if let Some(peer) = self.lock().map.get(id) {
            peer.pool.liveness().probe_answered(Instant::now(), peer.running == 0);
        }
        self.changed.notify_waiters();
    }

    /// Notes that a call to an endpoint in one of its lives failed.
    pub(crate) fn record_failure(
        &self,
        id: &EndpointId,
        life: Option<EndpointIncarnation>,
        cause: &str,
    ) {
        let mut peers = self.lock();
        if peers.map.get(id).is_some_and(|peer| peer.same_incarnation(life)) {
            peers.pause(id, cause);
        }
    }

    /// Takes what an answer says of its endpoint, in a life as far as that is known; `same` says whether that is the one that is
    /// listed now.
    pub(crate) fn apply_hints(
        &self,
        id: &EndpointId,
        life: Option<EndpointIncarnation>,
        notice: EndpointHints,
        same: impl Fn(&TrackedEndpoint) -> bool,
    ) {
        if notice == EndpointHints::default() {
            return;
        }
        let after = notice.retry_after.map(|after| after.min(AWAY));
        let until = after.map(|after| Instant::now() + after);
        let new = ReceivedHints { leaving: notice.draining, until, heard: wall_clock() };
        let mut peers = self.lock();
        let Some(peer) = peers.map.get_mut(id) else {
            // An older entry may come back.
            let said = peers.past_hints(id, life).merge(new);
            return peers.remember_hints(id, life, said);
        };
        if !same(peer) {
            return;
        }
        let stayed = peer.accepts_work();
        peer.hints = peer.hints.merge(new);
        if peer.hints.leaving {
            peer.pool.retire();
        }
        if stayed && notice.draining {
            let (addr, cause) = (peer.endpoint.addr.to_string(), "it says so in an answer");
            emit(&Event::Member { endpoint: id.as_str(), addr, stage: "draining", cause });
        }
        if let Some(after) = after {
            let (pause_ms, cause) = (millis(after), "it wants nothing for so long");
            emit(&Event::Suspect { endpoint: id.as_str(), pause_ms, cause });
        }
        drop(peers);
        self.changed.notify_waiters();
    }

    /// Notes whether a stream that ended whole paused for longer than its caller likes.
    pub(crate) fn record_stream(&self, paused: bool) {
        let pause_ratio = &mut self.lock().pause_ratio;
        *pause_ratio += (f64::from(u8::from(paused)) - *pause_ratio) * PAUSE_PART;
    }

    /// Notes that an endpoint answered in one of its lives.
    pub(crate) fn record_success(&self, id: &EndpointId, life: Option<EndpointIncarnation>) {
        let mut peers = self.lock();
        if let Some(peer) = peers.map.get_mut(id).filter(|peer| peer.same_incarnation(life)) {
            peer.consecutive_failures = 0;
            peer.paused_until = None;
            peer.recent_failures.record_success(Instant::now());
        }
    }

    /// Notes that a model is not there, whatever was believed.
    pub(crate) fn record_missing_model(
        &self,
        id: &EndpointId,
        life: Option<EndpointIncarnation>,
        model: &ModelId,
    ) {
        let mut peers = self.lock();
        let peer = peers.map.get_mut(id).filter(|peer| peer.same_incarnation(life));
        let Some(peer) = peer else { return };
        let holdings = match &mut peer.state {
            Some((state, _)) => Some(&mut state.holdings),
            None => peer.endpoint.holdings.as_mut(),
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
    /// Whether so many streams pause for too long that prompts are better sent one after another.
    pub(crate) fn serialize_prompts(&self) -> bool {
        self.pause_ratio > PAUSING
    }

    /// Gives an endpoint no requests for a while.
    fn pause(&mut self, id: &EndpointId, cause: &str) {
        let Some(peer) = self.map.get_mut(id) else { return };
        let pause = (PAUSE * (1 << peer.consecutive_failures.min(4))).min(LONGEST);
        peer.consecutive_failures += 1;
        peer.recent_failures.record_failure(Instant::now());
        peer.paused_until = Some(Instant::now() + pause);
        let pause_ms = millis(pause);
        emit(&Event::Suspect { endpoint: id.as_str(), pause_ms, cause });
    }

    /// Whether a loader may be asked to make room for a model that so many endpoints should hold, which is noted.
    pub(crate) fn may_request_room(
        &mut self,
        model: &ModelName,
        id: &EndpointId,
        most: usize,
    ) -> bool {
        let now = Instant::now();
        let urged = self.room_requests.entry(model.clone()).or_default();
        urged.retain(|(other, at)| other != id && now - *at < INSIST);
        if urged.len() >= most.max(1) {
            return false;
        }
        urged.push((id.clone(), now));
        true
    }

    /// What a model asks of its holders.
    pub(crate) fn demand(&mut self, model: &ModelName) -> &mut Demand {
        self.demands.entry(model.clone()).or_default()
    }

    /// The endpoint whose loader was asked for a model that comes from the weight store, and has not answered.
    pub(crate) fn pending_cold_load(&self, model: &ModelName) -> Option<&EndpointId> {
        let mut asked = self.map.iter().filter(|(_, peer)| {
            let open = peer.open_loads.iter().any(|(id, asks)| id.model == *model && asks.open > 0);
            let now = Instant::now();
            open && peer.holdings(now).is_some_and(|held| held.tier(model) == Tier::Store)
        });
        asked.next().map(|(id, _)| id)
    }

    /// Requests a second that come for a model here.
    pub(crate) fn request_rate(&self, model: &ModelName, now: Instant) -> f64 {
        self.demands.get(model).map_or(0.0, |demand| demand.request_rate(now))
    }

    /// How many endpoints should hold a model, of which so much work waits at this router; `slots` are those of one,
    /// `tight` says whether models wait for room.
    pub(crate) fn replicas_needed(
        &self,
        model: &ModelName,
        slots: u32,
        waiting: (u32, Duration),
        tight: bool,
    ) -> u32 {
        let uses = self.map.values().filter_map(|peer| peer.uses.get(model));
        let running = uses.map(|usage| usage.running).sum();
        let pressure = ScalingInputs {
            routers: self.routers(),
            running,
            slots,
            waiting,
            memory_scarce: tight,
        };
        let demand = self.demands.get(model).copied().unwrap_or_default();
        demand.replicas_needed(&pressure, Instant::now())
    }

    /// Routers, as far as loaders hear them; at least this one.
    fn routers(&self) -> u32 {
        self.reported_routers().unwrap_or(1)
    }

    /// Routers that loaders hear, once one has said so.
    pub(crate) fn reported_routers(&self) -> Option<u32> {
        self.map.values().filter(|peer| peer.state.is_some()).map(TrackedEndpoint::routers).max()
    }

    /// What is told to a loader: how its models are used.
    pub(crate) fn take_uses(&mut self, id: &EndpointId, now: Instant) -> Option<Vec<ModelUse>> {
        let peer = self.map.get_mut(id)?;
        let held: Vec<ModelName> = peer.holdings(now).map_or_else(Vec::new, |holdings| {
            holdings.models.iter().map(|held| held.model.clone()).collect()
        });
        let uses = held.into_iter().filter_map(|model| {
            let Usage { begun, running } = peer.uses.remove(&model)?;
            if running > 0 {
                peer.uses.insert(model.clone(), Usage { begun: 0, running });
            }
            (begun > 0 || running > 0).then_some(ModelUse { model, begun, running })
        });
        Some(uses.collect())
    }

    /// When the first endpoint of a service takes requests again, if all that may have one want nothing for a while.
    pub(crate) fn service_backoff(
        &self,
        service: &ServiceName,
        tried: &[EndpointId],
        now: Instant,
    ) -> Option<Duration> {
        let all = self.map.values().filter(|peer| peer.endpoint.service == *service);
        let staying = all.filter(|peer| peer.accepts_work());
        let mut first = None;
        for peer in staying {
            match peer.backoff_left(now) {
                Some(left) => first = Some(first.map_or(left, |first: Duration| first.min(left))),
                None if tried.contains(&peer.endpoint.id) => {}
                None => return None,
            }
        }
        first
    }

    /// When the first holder of a model takes requests again that wants none for a while.
    pub(crate) fn replica_backoff(&self, model: &ModelName, now: Instant) -> Option<Duration> {
        let holds =
            |peer: &&TrackedEndpoint| peer.holdings(now).is_some_and(|held| held.holds(model));
        let staying = self.map.values().filter(|peer| peer.accepts_work()).filter(holds);
        staying.filter_map(|peer| peer.backoff_left(now)).min()
    }

    /// Remembers what an endpoint has said that is not listed any more.
    pub(crate) fn remember_hints(
        &mut self,
        id: &EndpointId,
        life: Option<EndpointIncarnation>,
        said: ReceivedHints,
    ) {
        if said == ReceivedHints::default() {
            return;
        }
        if self.past_hints.len() == LEFT {
            self.past_hints.pop_front();
        }
        self.past_hints.push_back((id.clone(), life, said));
    }

    /// What an endpoint has said in this life, if it was listed before.
    pub(crate) fn past_hints(
        &self,
        id: &EndpointId,
        life: Option<EndpointIncarnation>,
    ) -> ReceivedHints {
        let mut all = self.past_hints.iter().rev();
        let found = all.find(|(other, then, said)| {
            other == id
                && (!EndpointIncarnation::differ(*then, life) || said.is_from_incarnation(life))
        });
        found.map(|(_, _, said)| *said).unwrap_or_default()
    }

    /// Forgets what hangs together with an earlier life of an endpoint.
    pub(crate) fn forget_incarnation(&mut self, id: &EndpointId) {
        self.cold.remove_endpoint(id);
        for urged in self.room_requests.values_mut() {
            urged.retain(|(other, _)| other != id);
        }
        let addr = self.map.get(id).map_or_else(String::new, |peer| peer.endpoint.addr.to_string());
        emit(&Event::Member { endpoint: id.as_str(), addr, stage: "restarted", cause: "" });
    }
}
