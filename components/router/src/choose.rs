//! Finds the endpoint for a request, or what it waits for.

use std::sync::Arc;
use std::time::Duration;

use admission::{Outlook, outlook};
use catalog::{Engine, ModelId};
use fleet::{Stage, Tier};
use placement::{Candidate, Wake};
use tokio::time::Instant;
use units::{EndpointId, ModelName, ServiceName};

use crate::known::Peers;
use crate::peer::{self, Wish};
use crate::pool::Pool;
use crate::probe;
use crate::shared::Shared;

/// A request looks again after this time at the latest, since a pause of an endpoint ends without news.
const LOOK: Duration = Duration::from_millis(100);
/// How long a load is waited for, beyond what it takes, on behalf of callers that were told to come back for it.
const RETURN: Duration = Duration::from_millis(1_500);
/// When callers may come back if no endpoint is known.
const NONE: Duration = Duration::from_millis(1_000);

/// Where a request goes; its place is given back when this is dropped.
#[derive(Debug)]
pub(crate) struct Place {
    shared: Arc<Shared>,
    pub(crate) id: EndpointId,
    pub(crate) pool: Arc<Pool>,
    pub(crate) running: u32,
    pub(crate) age: Duration,
    model: Option<ModelId>,
    prompt: u32,
    /// Whether the request waited for a model to be loaded.
    pub(crate) cold: bool,
    /// Whether an answer has begun.
    answered: bool,
}

impl Place {
    /// Notes that the endpoint has begun to run the request.
    pub(crate) fn begun(&mut self) {
        self.pool.signs().alive(Instant::now());
        self.answered = true;
        self.give_back();
    }

    /// Takes its prompt off what the endpoint has still to read.
    fn give_back(&mut self) {
        let prompt = std::mem::take(&mut self.prompt);
        if prompt > 0
            && let Some(peer) = self.shared.known.lock().map.get_mut(&self.id)
        {
            peer.backlog = peer.backlog.saturating_sub(prompt);
        }
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.give_back();
        let mut peers = self.shared.known.lock();
        let Some(peer) = peers.map.get_mut(&self.id) else { return };
        peer.running = peer.running.saturating_sub(1);
        if peer.running == 0 && self.answered {
            self.pool.signs().rest(Instant::now());
        }
        if let Some(model) = &self.model
            && let Some(usage) = peer.uses.get_mut(&model.model)
        {
            usage.running = usage.running.saturating_sub(1);
        }
    }
}

/// What a request asks for.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Wanted<'a> {
    pub(crate) service: &'a ServiceName,
    pub(crate) model: Option<&'a ModelId>,
    pub(crate) engine: Option<&'a Engine>,
    /// Tokens of its prompt.
    pub(crate) prompt: u32,
    pub(crate) due: Instant,
    /// Endpoints that have had it.
    pub(crate) tried: &'a [EndpointId],
}

/// Why there is no place.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum NoPlace {
    /// No endpoint of the service can take it.
    NoEndpoint(Duration),
    /// The model can't be there in time.
    Cold(Duration),
}

/// Counts a request that waits for a model, until it is dropped.
struct Waiting {
    shared: Arc<Shared>,
    model: ModelName,
}

impl Waiting {
    fn new(shared: &Arc<Shared>, target: &ModelId) -> Self {
        *shared.known.lock().waiting.entry(target.model.clone()).or_default() += 1;
        Self { shared: shared.clone(), model: target.model.clone() }
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        let mut peers = self.shared.known.lock();
        if let Some(count) = peers.waiting.get_mut(&self.model) {
            *count -= 1;
            if *count == 0 {
                peers.waiting.remove(&self.model);
            }
        }
    }
}

enum Found {
    Place(Place),
    Wake(EndpointId, ModelId, Duration),
    Later(Duration),
    Nobody,
}

/// The place of a request, once there is one.
pub(crate) async fn place(shared: &Arc<Shared>, wanted: Wanted<'_>) -> Result<Place, NoPlace> {
    let mut waiting = None;
    loop {
        let changed = shared.known.changed.notified();
        let left = wanted.due.saturating_duration_since(Instant::now());
        match find(shared, &wanted) {
            Found::Place(mut place) => {
                place.cold = waiting.is_some();
                return Ok(place);
            }
            Found::Nobody => return Err(NoPlace::NoEndpoint(NONE)),
            Found::Wake(id, target, expect) => {
                waiting.get_or_insert_with(|| Waiting::new(shared, &target));
                let outlook = outlook(left, expect);
                // It is asked for in any case: callers that are turned away are told to come back for it.
                let within = if outlook == Outlook::Wait { left } else { expect + RETURN };
                // A loader that is not to make room loads the model all the same if it has room.
                let urgent = shared.known.lock().may_urge(&target.model, &id);
                peer::want(shared, &id, &target, Wish { urgent, within, expect });
                if let Outlook::Refuse(after) = outlook {
                    return Err(NoPlace::Cold(after));
                }
            }
            Found::Later(expect) => {
                if let Outlook::Refuse(after) = outlook(left, expect) {
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
    let (mut ids, mut candidates) = (Vec::new(), Vec::new());
    let mut untried = false;
    for (id, peer) in &peers.map {
        if peer.endpoint.service != *wanted.service {
            continue;
        }
        untried |= peer.endpoint.stage == Stage::Ready && !wanted.tried.contains(id);
        if !peer.usable(now) {
            if peer.doubtful(now) {
                probe::start(shared, id, &peers);
            }
            continue;
        }
        if wanted.tried.contains(id) {
            continue;
        }
        let refused = |model: &ModelId| {
            let until = |id: &ModelId| peer.refused.get(id).is_some_and(|until| *until > now);
            until(model) || until(&ModelId { model: model.model.clone(), adapter: None })
        };
        ids.push(id.clone());
        candidates.push(Candidate {
            endpoint: &peer.endpoint,
            holdings: peer.holdings(now),
            running: peer.running,
            total: peer.total(),
            backlog: peer.backlog,
            room: peer.state.as_ref().map_or(Duration::ZERO, |(state, _)| state.room),
            waiting: peer.state.as_ref().map_or(0, |(state, _)| state.waiting),
            able: peer.able(now) && !wanted.model.is_some_and(refused),
        });
    }
    if !untried {
        // All have turned it away, or there is none: nothing to wait for.
        return Found::Nobody;
    }
    if let Some(index) = placement::serve(&candidates, wanted.model, &shared.domain) {
        let spread = wanted.model.zip(wanted.engine).and_then(|(model, engine)| {
            let wake = spread(&peers, &candidates, index, model, engine)?;
            Some((ids[wake.index].clone(), model.model.clone(), wake.expect))
        });
        let id = ids.swap_remove(index);
        drop(candidates);
        if wanted.model.is_some() && peers.map.get(&id).is_some_and(|peer| peer.doubtful(now)) {
            probe::start(shared, &id, &peers);
            return Found::Later(Duration::ZERO);
        }
        let found = take(shared, &mut peers, id, wanted, now);
        drop(peers);
        if let Some((id, model, expect)) = spread {
            let wish = Wish { urgent: true, within: expect + RETURN, expect };
            peer::want(shared, &id, &ModelId { model, adapter: None }, wish);
        }
        return found;
    }
    let (Some(model), Some(engine)) = (wanted.model, wanted.engine) else {
        return Found::Later(Duration::ZERO);
    };
    let lane = peers.free_lanes() > 0;
    match placement::wake(&candidates, model, engine, lane) {
        Some(wake) => {
            // The model first; all adapters of it wait for the same load.
            let adapter = model.adapter.clone().filter(|_| wake.tier == Tier::Adapter);
            let target = ModelId { model: model.model.clone(), adapter };
            Found::Wake(ids.swap_remove(wake.index), target, wake.expect)
        }
        None => {
            // The store's lanes are taken, or no loader can be asked just now.
            let cold = engine.model(&model.model).map_or(Duration::ZERO, |spec| spec.cold);
            let copied = candidates
                .iter()
                .filter_map(|candidate| candidate.holdings)
                .any(|held| held.tier(&model.model) != Tier::Store);
            Found::Later(if copied { Duration::ZERO } else { cold })
        }
    }
}

/// One more endpoint for a model whose holders are all filled up, unless one is on its way.
fn spread(
    peers: &Peers,
    candidates: &[Candidate<'_>],
    best: usize,
    model: &ModelId,
    engine: &Engine,
) -> Option<Wake> {
    if candidates[best].fill() <= placement::FILL {
        return None;
    }
    let base = ModelId { model: model.model.clone(), adapter: None };
    if peers.map.values().any(|peer| peer.wakes.contains_key(&base)) {
        return None;
    }
    let free = |one: &Candidate<'_>| one.holdings.is_some_and(|held| !held.holds(&model.model));
    let others: Vec<usize> =
        (0..candidates.len()).filter(|index| free(&candidates[*index])).collect();
    let list: Vec<Candidate<'_>> = others.iter().map(|index| candidates[*index]).collect();
    let wake = placement::wake(&list, &base, engine, false)?;
    Some(Wake { index: others[wake.index], ..wake })
}

fn take(
    shared: &Arc<Shared>,
    peers: &mut Peers,
    id: EndpointId,
    wanted: &Wanted<'_>,
    now: Instant,
) -> Found {
    let Wanted { model, prompt, .. } = *wanted;
    let Some(peer) = peers.map.get_mut(&id) else { return Found::Nobody };
    peer.pool.signs().sent(now);
    peer.running += 1;
    peer.backlog += prompt;
    if let Some(model) = model {
        let usage = peer.uses.entry(model.model.clone()).or_default();
        usage.begun += 1;
        usage.running += 1;
    }
    let heard = peer.state.as_ref().map_or(peer.seen, |(_, heard)| *heard);
    Found::Place(Place {
        shared: shared.clone(),
        id,
        pool: peer.pool.clone(),
        running: peer.running,
        age: now - heard,
        model: model.cloned(),
        prompt,
        cold: false,
        answered: false,
    })
}
