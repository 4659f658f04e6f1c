//! Finds the endpoint for a request, or what it waits for.

use std::sync::Arc;
use std::time::Duration;

use admission::{Admission, admit};
use catalog::{Engine, ModelId};
use fleet::Tier;
use placement::{Candidate, ChosenEndpoint, LoadSource, ReplicaStatus};
use tokio::time::Instant;
use units::{EndpointId, ServiceName};

use crate::endpoint::TrackedEndpoint;
use crate::loader_task::{self, LoadRequest};
use crate::place::{Place, Waiting};
use crate::probe;
use crate::registry::{EndpointTable, NO_WAITING_REQUESTS};
use crate::shared::Shared;

/// A request looks again after this time at the latest, since a pause of an endpoint ends without news.
const LOOK: Duration = Duration::from_millis(100);
/// How long a load is waited for, beyond what it takes, on behalf of callers that were told to come back for it.
const RETURN: Duration = Duration::from_millis(1_500);
/// While streams pause for too long, an engine gets so many prompts of this router at once, since it reads them in one go:
/// where one stream in four paused for too long, a day was worth 0.01 more with this, mean of 15 days; where they seldom
/// did, 0.02 less.
const AT_ONCE: u32 = 1;
/// The next ones are held back for this part of the time within which their callers hope for the first event.
const HOLD: u32 = 4;
/// When callers may come back if no endpoint is known.
const NONE: Duration = Duration::from_millis(1_000);

/// What a request asks for.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Wanted<'a> {
    pub(crate) service: &'a ServiceName,
    pub(crate) model: Option<&'a ModelId>,
    pub(crate) engine: Option<&'a Engine>,
    /// Tokens of its prompt.
    pub(crate) prompt: u32,
    /// Within this time its caller hopes for the first event.
    pub(crate) target: Duration,
    pub(crate) due: Instant,
    /// Since when it looks for a place.
    pub(crate) since: Instant,
    /// Endpoints that have had it.
    pub(crate) tried: &'a [EndpointId],
    /// Whether it is kept from others that were at ends of endpoints.
    pub(crate) apart: bool,
}

impl Wanted<'_> {
    /// How long its prompt takes to be read.
    fn work(&self, peers: &mut EndpointTable) -> Duration {
        self.model.map_or(Duration::ZERO, |id| peers.demand(&id.model).prefill_time(self.prompt))
    }
}

/// Why there is no place.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum NoPlace {
    /// No endpoint of the service can take it.
    NoEndpoint(Duration),
    /// The model can't be there in time.
    Cold(Duration),
}

/// What is asked of a loader.
struct Ask {
    id: EndpointId,
    target: ModelId,
    /// When it is expected.
    expect: Duration,
    /// Whether it comes from the weight store.
    cold: bool,
}

enum Found {
    Place(Place),
    /// Nobody holds the model: it is to be loaded on these, the first of which is expected first.
    Wake(Vec<Ask>),
    Later(Duration),
    /// All that may have it want nothing for so long.
    Away(Duration),
    Nobody,
}

/// The place of a request, once there is one.
pub(crate) async fn place(shared: &Arc<Shared>, wanted: Wanted<'_>) -> Result<Place, NoPlace> {
    if let Some(model) = wanted.model {
        let now = Instant::now();
        shared.known.lock().demand(&model.model).record_arrival(wanted.prompt, now);
    }
    let mut waiting = None;
    loop {
        let changed = shared.known.changed.notified();
        let left = wanted.due.saturating_duration_since(Instant::now());
        match find(shared, &wanted) {
            Found::Place(mut place) => {
                place.cold = waiting.is_some();
                return Ok(place);
            }
            Found::Away(left) => return Err(NoPlace::NoEndpoint(left)),
            Found::Nobody => return Err(NoPlace::NoEndpoint(NONE)),
            Found::Wake(asks) => {
                let Some(first) = asks.first() else { continue };
                waiting.get_or_insert_with(|| Waiting::new(shared, &first.target));
                let outlook = admit(left, first.expect);
                // It is asked for in any case: callers that are turned away are told to come back for it.
                let waits = outlook == Admission::Wait;
                for Ask { id, target, expect, cold } in &asks {
                    let (expect, cold) = (*expect, *cold);
                    let within = if waits { left } else { expect + RETURN };
                    // A loader that is not to make room loads the model all the same if it has room.
                    let urgent =
                        shared.known.lock().may_request_room(&target.model, id, asks.len());
                    loader_task::request_load(
                        shared,
                        id,
                        target,
                        LoadRequest { urgent, within, expect, cold },
                    );
                }
                if let Admission::Refuse(after) = outlook {
                    return Err(NoPlace::Cold(after));
                }
            }
            Found::Later(expect) => {
                if let Admission::Refuse(after) = admit(left, expect) {
                    return Err(NoPlace::Cold(after));
                }
            }
        }
        let _ = tokio::time::timeout(LOOK, changed).await;
    }
}

fn find(shared: &Arc<Shared>, wanted: &Wanted<'_>) -> Found {
    let now = Instant::now();
    let mut peers = shared.known.lock();
    let work = wanted.work(&mut peers);
    let (mut ids, mut candidates) = (Vec::new(), Vec::new());
    let mut untried = false;
    for (id, peer) in &peers.map {
        if peer.endpoint.service != *wanted.service {
            continue;
        }
        untried |= peer.accepts_work() && !wanted.tried.contains(id);
        if !peer.usable(now) {
            if peer.needs_probe(now) {
                probe::start(shared, id, &peers);
            }
            continue;
        }
        if wanted.tried.contains(id) || wanted.apart && peer.pool.sent_requests().isolated > 0 {
            continue;
        }
        let refused = |model: &ModelId| {
            let until = |id: &ModelId| peer.refused_until.get(id).is_some_and(|until| *until > now);
            until(model) || until(&ModelId { model: model.model.clone(), adapter: None })
        };
        ids.push(id.clone());
        candidates
            .push(peer.candidate(peer.can_load(now) && !wanted.model.is_some_and(refused), now));
    }
    if let Some(left) = peers.service_backoff(wanted.service, wanted.tried, now) {
        return Found::Away(left);
    }
    if !untried {
        // All have turned it away, or there is none: nothing to wait for.
        return Found::Nobody;
    }
    if let Some(served) =
        placement::choose_endpoint(&candidates, wanted.model, work, &shared.domain)
    {
        if let Some(left) = arriving(&candidates, wanted, served) {
            return Found::Later(left);
        }
        let reading = peers.map.get(&ids[served.index]).map_or(0, |peer| peer.backlog.prompts());
        if peers.serialize_prompts()
            && reading >= AT_ONCE
            && now - wanted.since < wanted.target / HOLD
        {
            return Found::Later(Duration::ZERO);
        }
        let more = spread(&peers, &candidates, wanted, served);
        let id = ids.swap_remove(served.index);
        drop(candidates);
        if wanted.model.is_some() && peers.map.get(&id).is_some_and(|peer| peer.needs_probe(now)) {
            probe::start(shared, &id, &peers);
            return Found::Later(Duration::ZERO);
        }
        let times = (work, served.first_event);
        let place = Place::take(shared, &mut peers, id, wanted.model, times, wanted.apart, now);
        drop(peers);
        if let Some(Ask { id, target, expect, cold }) = more {
            let wish = LoadRequest { urgent: true, within: expect + RETURN, expect, cold };
            loader_task::request_load(shared, &id, &target, wish);
        }
        return place.map_or(Found::Nobody, Found::Place);
    }
    let (Some(model), Some(engine)) = (wanted.model, wanted.engine) else {
        return Found::Later(Duration::ZERO);
    };
    let tight = placement::memory_scarce(&candidates);
    let count = peers.waiting.get(&model.model).copied().unwrap_or(0);
    let most = peers.replicas_needed(&model.model, engine.slots, (count, work * count), tight);
    // What comes from the weight store is asked for at one endpoint, also while its loader waits for a lane.
    let copied = placement::has_copy(&candidates, &model.model);
    let asked = peers.pending_cold_load(&model.model).filter(|_| !copied);
    let asked = asked.and_then(|id| ids.iter().position(|one| one == id));
    let (first, list) = match asked {
        Some(index) => (index, &candidates[index..=index]),
        None => (0, &candidates[..]),
    };
    let asks: Vec<Ask> = placement::choose_load_targets(
        list,
        model,
        engine,
        LoadSource::CopiesOrStore,
        most as usize,
    )
    .into_iter()
    .map(|wake| {
        // The model first; all adapters of it wait for the same load.
        let adapter = model.adapter.clone().filter(|_| wake.tier == Tier::Adapter);
        let target = ModelId { model: model.model.clone(), adapter };
        let cold = wake.tier == Tier::Store;
        Ask { id: ids[first + wake.index].clone(), target, expect: wake.ready_in, cold }
    })
    .collect();
    if let Some(first) = asks.first() {
        // A holder that takes requests again before a copy is elsewhere is waited for.
        let back = peers.replica_backoff(&model.model, now).filter(|left| *left <= first.expect);
        if let Some(left) = back {
            return Found::Later(left);
        }
        return Found::Wake(asks);
    }
    // No loader can be asked just now.
    let cold = engine.model(&model.model).map_or(Duration::ZERO, |spec| spec.store_load);
    Found::Later(if copied { Duration::ZERO } else { cold })
}

/// When the first endpoint that may have a request takes any again, if all want nothing for a while.
pub(crate) fn back(shared: &Arc<Shared>, wanted: &Wanted<'_>) -> Option<Duration> {
    shared.known.lock().service_backoff(wanted.service, wanted.tried, Instant::now())
}

/// Whether another endpoint than those that were tried is expected to begin a request within this time.
pub(crate) fn elsewhere(shared: &Arc<Shared>, wanted: &Wanted<'_>, within: Duration) -> bool {
    let now = Instant::now();
    let mut peers = shared.known.lock();
    let work = wanted.work(&mut peers);
    let usable = |peer: &&TrackedEndpoint| {
        let id = &peer.endpoint.id;
        peer.endpoint.service == *wanted.service && peer.usable(now) && !wanted.tried.contains(id)
    };
    let candidates: Vec<_> =
        peers.map.values().filter(usable).map(|peer| peer.candidate(false, now)).collect();
    placement::choose_endpoint(&candidates, wanted.model, work, &shared.domain)
        .is_some_and(|served| served.first_event < within)
}

/// When another holder will be there, if the request is late at those that are and in time at that one.
fn arriving(
    candidates: &[Candidate<'_>],
    wanted: &Wanted<'_>,
    served: ChosenEndpoint,
) -> Option<Duration> {
    let model = &wanted.model?.model;
    let loads = candidates.iter().filter_map(|one| one.holdings?.loading.as_ref());
    let left = loads.filter(|load| load.model == *model).map(|load| load.remaining).min()?;
    (served.first_event > wanted.target && left < served.first_event / 2).then_some(left)
}

/// One more endpoint for the model of a request that this one serves.
fn spread(
    peers: &EndpointTable,
    candidates: &[Candidate<'_>],
    wanted: &Wanted<'_>,
    served: ChosenEndpoint,
) -> Option<Ask> {
    let (model, engine) = wanted.model.zip(wanted.engine)?;
    let base = ModelId { model: model.model.clone(), adapter: None };
    let was_asked = |one: &Candidate<'_>| {
        peers.map.get(&one.endpoint.id).is_some_and(|peer| peer.open_loads.contains_key(&base))
    };
    let asked: Vec<bool> = candidates.iter().map(was_asked).collect();
    let tight = placement::memory_scarce(candidates);
    let needed =
        peers.replicas_needed(&base.model, engine.slots, NO_WAITING_REQUESTS, tight) as usize;
    let target = wanted.target;
    let holders = ReplicaStatus { model: &base, asked: &asked, needed, chosen: served, target };
    let wake = placement::scale_out(candidates, engine, &holders)?;
    let id = candidates[wake.index].endpoint.id.clone();
    Some(Ask { id, target: base, expect: wake.ready_in, cold: wake.tier == Tier::Store })
}
