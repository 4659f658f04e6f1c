//! The next action of the controller: a pure decision, without input or output.
//!
//! Load pattern: bursts for models that take turns in an accelerator that can't hold all of them. Models that requests
//! wait for are loaded before models that are only prefetched, in the order of their waiting requests; at an equal
//! number the model asked for first is loaded first. The time that requests have waited is not considered otherwise,
//! since that gains nothing. The model that was used longest ago is evicted. A model with running requests first gets
//! no new ones and is unloaded when they have ended, since an unload waits for running requests and blocks all other
//! orders.
//!
//! Models whose routers describe the requests that wait for them are ordered and get room by [`crate::room`].

use std::cmp::Reverse;
use std::time::Duration;

use catalog::{Engine, ModelId};
use fleet::Tier;
use platform::Operation;
use tokio::time::Instant;
use units::{ModelName, Size, SoftwareVersion};

use crate::room::{self, Room};
use crate::view::{EndpointView, RequestedModel};

/// A model is not evicted for this long after it was loaded or used; otherwise two models with alternating requests
/// would evict each other.
pub(crate) const MIN_RESIDENCE: Duration = Duration::from_millis(400);
/// A model that is only prefetched evicts only models that haven't been used for this long.
pub(crate) const PREFETCH_MIN_IDLE: Duration = Duration::from_secs(4);
/// When routers should retry a request for a model that can't be loaded now: a part of the duration of one request.
const RETRY_AFTER: Duration = Duration::from_millis(300);
/// The time in which routers hear of an eviction and stop sending requests to the model.
const EVICTION_NOTICE: Duration = Duration::from_millis(8);
/// An evicted model is unloaded after this time even if routers still report running requests.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(2_500);
/// The usual duration of a drain: the rest of a request of which half is over.
pub(crate) const USUAL_DRAIN: Duration = Duration::from_millis(500);
/// A model is evicted only if fewer requests arrive for it within this time than wait for the model that needs the
/// room, since loading it again takes about as long.
pub(crate) const RELOAD_TIME: Duration = Duration::from_secs(1);
/// The number of adapters that are loaded on one endpoint at once.
const MAX_LOADING_ADAPTERS: usize = 4;

/// The next action.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Action {
    /// Give this order.
    Order(Operation, ModelId),
    /// Begin to evict this model: routers send it no new requests.
    Evict(ModelName),
    /// Cancel the eviction in progress, since the room is not needed any more.
    CancelEviction,
    /// Tell the routers that asked for this model to retry after this time.
    Refuse(ModelId, Duration),
    /// Wait: there is nothing to do now.
    Wait,
}

/// Decides on the next action.
pub(crate) fn next_action(view: &EndpointView, now: Instant) -> Action {
    let (Some(engine), Some(report)) = (&view.engine, &view.report) else { return Action::Wait };
    if report.draining {
        // The endpoint leaves before a load would be worth its permit.
        let requested = view.requested.keys().next();
        return requested.map_or(Action::Wait, |id| Action::Refuse(id.clone(), RETRY_AFTER));
    }
    if let Some(action) = next_adapter_action(view, engine, now) {
        return action;
    }
    if report.busy {
        return Action::Wait;
    }
    let may_load =
        |id: &ModelId| !needs_store(view, &id.model) || view.permit.as_ref() == Some(&id.model);
    let mut models: Vec<(&ModelId, &RequestedModel)> = view
        .requested
        .iter()
        .filter(|(id, _)| !is_loaded(view, &id.model) && may_load(id))
        .collect();
    models.sort_by_key(|(_, requested)| (Reverse(requested.total_waiting()), requested.since));
    room::order(view, &mut models, now);
    let Some((id, requested)) = models.first() else {
        return if view.eviction.is_some() { Action::CancelEviction } else { Action::Wait };
    };
    let Some(spec) = engine.model(&id.model) else {
        return Action::Refuse((*id).clone(), RETRY_AFTER);
    };
    let load = Action::Order(Operation::Load, ModelId { model: id.model.clone(), adapter: None });
    if view.eviction.is_none() && room::is_queued(view, &id.model, now) {
        return match room::room_for(view, &id.model, now) {
            Room::Free => load,
            Room::Evict(model) => Action::Evict(model),
            Room::After(wait) => Action::Refuse((*id).clone(), wait),
        };
    }
    if spec.weights <= engine.memory.saturating_sub(view.used_memory()) {
        return load;
    }
    match &view.eviction {
        Some(eviction) if !is_loaded(view, &eviction.model) => Action::CancelEviction,
        Some(eviction) if room::is_awaited(view, &eviction.model, now) => Action::CancelEviction,
        Some(eviction) if room::is_eviction_outdated(view, &id.model, &eviction.model, now) => {
            Action::CancelEviction
        }
        Some(eviction) => {
            let since = now - eviction.since;
            let drained = view.running(&eviction.model) == 0 && since >= EVICTION_NOTICE;
            if drained || since >= DRAIN_TIMEOUT {
                Action::Order(
                    Operation::Unload,
                    ModelId { model: eviction.model.clone(), adapter: None },
                )
            } else {
                Action::Wait
            }
        }
        None => match eviction_candidate(view, requested.total_waiting(), now) {
            Some(model) => Action::Evict(model),
            None => Action::Refuse((*id).clone(), RETRY_AFTER),
        },
    }
}

/// The model to load from the weight store next, with its demand: requests a second plus the number of requests that
/// wait for it. A model that has the permit stays the next one for as long as it is requested.
pub(crate) fn next_store_load(view: &EndpointView) -> Option<(&ModelName, f64)> {
    next_store_load_at(view, Instant::now())
}

/// The same at a given time. Requests whose deadline passes before the load is complete don't count.
fn next_store_load_at(view: &EndpointView, now: Instant) -> Option<(&ModelName, f64)> {
    let requested = view.requested.iter().filter(|(id, _)| !is_loaded(view, &id.model));
    let from_store = requested.filter(|(id, _)| needs_store(view, &id.model));
    let demand = |id: &ModelId, requested: &RequestedModel| {
        let end = now + room::load_time(view, &id.model);
        let waiting = room::waiting_in_time(view, &id.model, Some(requested), end, now);
        requested.request_rates.values().sum::<f64>() + f64::from(waiting)
    };
    let models = from_store.map(|(id, requested)| (&id.model, demand(id, requested)));
    models.max_by(|(a, demand_a), (b, demand_b)| {
        let has_permit = |model: &ModelName| view.permit.as_ref() == Some(model);
        has_permit(a).cmp(&has_permit(b)).then(demand_a.total_cmp(demand_b)).then(b.cmp(a))
    })
}

/// The version of the endpoint's software, if endpoints of no other version may serve requests that wait for a model.
pub(crate) fn required_software<'a>(
    view: &'a EndpointView,
    model: &ModelName,
) -> Option<&'a SoftwareVersion> {
    let mut requested = view.requested.iter().filter(|(id, _)| id.model == *model);
    requested.find_map(|(_, requested)| requested.software.as_ref())
}

/// Whether a load of the model would read from the weight store.
fn needs_store(view: &EndpointView, model: &ModelName) -> bool {
    view.report.as_ref().is_some_and(|report| report.copies.tier(model) == Tier::Store)
}

/// The expected time until there is room for one more model.
pub(crate) fn room_wait(view: &EndpointView, now: Instant) -> Duration {
    let (Some(engine), Some(report)) = (&view.engine, &view.report) else {
        return Duration::ZERO;
    };
    let largest = engine.models.iter().map(|(_, spec)| spec.weights).max().unwrap_or_default();
    let free = engine.memory.saturating_sub(view.used_memory());
    let idle = |model: &ModelName| {
        view.running(model) == 0 && running_or_idle_for(view, model, MIN_RESIDENCE, now)
    };
    if free >= largest || report.models.iter().any(|held| idle(&held.model)) {
        Duration::ZERO
    } else {
        USUAL_DRAIN
    }
}

fn is_loaded(view: &EndpointView, model: &ModelName) -> bool {
    view.report.as_ref().is_some_and(|report| report.models.iter().any(|h| h.model == *model))
}

/// The model to evict for another one that `waiting` requests wait for.
fn eviction_candidate(view: &EndpointView, waiting: u32, now: Instant) -> Option<ModelName> {
    let report = view.report.as_ref()?;
    let min_idle = if waiting > 0 { MIN_RESIDENCE } else { PREFETCH_MIN_IDLE };
    let evictable = report.models.iter().map(|held| &held.model).filter(|model| {
        let awaited = view
            .requested
            .iter()
            .any(|(id, requested)| id.model == **model && requested.total_waiting() > 0);
        let missed = view.request_rate(model, now) * RELOAD_TIME.as_secs_f64();
        let worth_more = missed >= f64::from(waiting.max(1));
        let interruptible = waiting > 0 || view.running(model) == 0;
        let awaited = awaited || room::is_awaited(view, model, now);
        !awaited && !worth_more && interruptible && running_or_idle_for(view, model, min_idle, now)
    });
    evictable
        .min_by_key(|model| {
            let running = view.running(model);
            (running > 0, running, view.last_used(model))
        })
        .cloned()
}

/// Whether a model has running requests, or hasn't been used for `min_idle`.
fn running_or_idle_for(
    view: &EndpointView,
    model: &ModelName,
    min_idle: Duration,
    now: Instant,
) -> bool {
    let running = view.running(model) > 0;
    running || view.last_used(model).is_none_or(|last| now - last >= min_idle)
}

fn next_adapter_action(view: &EndpointView, engine: &Engine, now: Instant) -> Option<Action> {
    let report = view.report.as_ref()?;
    let missing = view.requested.iter().find(|(id, _)| {
        id.adapter.is_some()
            && is_loaded(view, &id.model)
            && !view.holds(id)
            && !report.loading_adapters.contains(id)
    });
    let (id, _) = missing?;
    if report.loading_adapters.len() >= MAX_LOADING_ADAPTERS {
        return None;
    }
    let size = engine.model(&id.model).map_or(Size(0), |spec| spec.adapter);
    let fits = size <= engine.memory.saturating_sub(view.used_memory());
    if fits && view.adapter_count() < engine.adapters {
        return Some(Action::Order(Operation::Load, id.clone()));
    }
    match evictable_adapter(view, now) {
        Some(adapter) => Some(Action::Order(Operation::Unload, adapter)),
        // If the endpoint is busy with an order for a model, its end is waited for; otherwise no room will be freed.
        None if report.busy => None,
        None => {
            match eviction_candidate(view, 1, now).filter(|model| *model != id.model && !fits) {
                Some(model) => {
                    Some(Action::Order(Operation::Unload, ModelId { model, adapter: None }))
                }
                None => Some(Action::Refuse(id.clone(), RETRY_AFTER)),
            }
        }
    }
}

/// The adapter that was asked for longest ago, unless that is too recent or routers wait for it.
fn evictable_adapter(view: &EndpointView, now: Instant) -> Option<ModelId> {
    let report = view.report.as_ref()?;
    let held = report.models.iter().flat_map(|held| {
        let adapter = |name: &units::AdapterName| ModelId {
            model: held.model.clone(),
            adapter: Some(name.clone()),
        };
        held.adapters.iter().map(adapter)
    });
    let evictable = held.filter(|id| {
        let last = view.adapters_asked.get(id);
        !view.requested.contains_key(id) && last.is_none_or(|last| now - *last >= MIN_RESIDENCE)
    });
    evictable.min_by_key(|id| view.adapters_asked.get(id).copied())
}

#[cfg(test)]
mod tests;
#[cfg(test)]
mod unqueued;
