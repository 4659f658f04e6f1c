//! The next order: values in, values out.
//!
//! Load pattern: bursts for models that take turns in an accelerator that can't hold all of them. Waiting requests go
//! before what is prepared, the model first that most wait for, of equal ones that which was asked for first: how long
//! they have waited besides was worth nothing (0.00 to -0.03 of a day, mean of 8 days on each of three deployments).
//! Room is made by the model that was used longest ago. A model that runs requests first gets no new ones and is
//! unloaded when they are done, since an unload waits for what runs and blocks all other orders.

use std::cmp::Reverse;
use std::time::Duration;

use catalog::{Engine, ModelId};
use fleet::Tier;
use platform::Work;
use tokio::time::Instant;
use units::{ModelName, Size};

use crate::view::{Ledger, Want};

/// A model is kept this long after it was loaded or used, so that two in turn don't push each other out.
const KEEP: Duration = Duration::from_millis(400);
/// What is prepared pushes out only what was not used for this long.
const IDLE: Duration = Duration::from_secs(4);
/// When to ask again if there is no room: a part of one run of a request.
const AGAIN: Duration = Duration::from_millis(300);
/// Routers hear within this time that a model leaves.
const HEARD: Duration = Duration::from_millis(8);
/// An unload is ordered after this time even if routers still count requests there.
const DRAINED: Duration = Duration::from_millis(2_500);
/// What a drain usually takes: the rest of a run of which a half is over.
const USUAL: Duration = Duration::from_millis(500);
/// A model makes room only if fewer requests come for it in this time than wait for the other one: to bring it back
/// takes about as long.
const RETURN: Duration = Duration::from_secs(1);
/// Adapters on their way to one endpoint at once.
const INCOMING: usize = 4;

/// The next thing to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Next {
    /// Give this order.
    Order(Work, ModelId),
    /// Send this model no new requests: it makes room.
    Drain(ModelName),
    /// Keep the model that was to make room: nobody needs it any more.
    Spare,
    /// Tell those who want this to ask again later.
    Refuse(ModelId, Duration),
    /// Nothing.
    Rest,
}

/// Decides what to do next.
pub(crate) fn next(ledger: &Ledger, now: Instant) -> Next {
    let (Some(engine), Some(report)) = (&ledger.engine, &ledger.report) else { return Next::Rest };
    if report.draining {
        // It is gone before a load is worth its lane.
        let wanted = ledger.wants.keys().next();
        return wanted.map_or(Next::Rest, |id| Next::Refuse(id.clone(), AGAIN));
    }
    if let Some(adapter) = next_adapter(ledger, engine, now) {
        return adapter;
    }
    if report.busy {
        return Next::Rest;
    }
    let may = |id: &ModelId| !cold(ledger, &id.model) || ledger.lane.as_ref() == Some(&id.model);
    let mut models: Vec<(&ModelId, &Want)> =
        ledger.wants.iter().filter(|(id, _)| !has(ledger, &id.model) && may(id)).collect();
    models.sort_by_key(|(_, want)| (Reverse(want.waiting()), want.since));
    let Some((id, want)) = models.first() else {
        return if ledger.leaving.is_some() { Next::Spare } else { Next::Rest };
    };
    let Some(spec) = engine.model(&id.model) else {
        return Next::Refuse((*id).clone(), AGAIN);
    };
    if spec.weights <= engine.memory.saturating_sub(ledger.taken()) {
        return Next::Order(Work::Load, ModelId { model: id.model.clone(), adapter: None });
    }
    match &ledger.leaving {
        Some(leaving) if !has(ledger, &leaving.model) => Next::Spare,
        Some(leaving) => {
            let since = now - leaving.since;
            let done = ledger.running(&leaving.model) == 0 && since >= HEARD;
            if done || since >= DRAINED {
                Next::Order(Work::Unload, ModelId { model: leaving.model.clone(), adapter: None })
            } else {
                Next::Rest
            }
        }
        None => match victim(ledger, want.waiting(), now) {
            Some(model) => Next::Drain(model),
            None => Next::Refuse((*id).clone(), AGAIN),
        },
    }
}

/// The model that is to come from the weight store next, with the requests a second that wait for it; one that has a
/// lane keeps it for as long as it is wanted.
pub(crate) fn cold_want(ledger: &Ledger) -> Option<(&ModelName, f64)> {
    let wants = ledger.wants.iter().filter(|(id, _)| !has(ledger, &id.model));
    let cold = wants.filter(|(id, _)| cold(ledger, &id.model));
    let worth = |want: &Want| want.rates.values().sum::<f64>() + f64::from(want.waiting());
    let all = cold.map(|(id, want)| (&id.model, worth(want)));
    all.max_by(|(a, worth_a), (b, worth_b)| {
        let has_lane = |model: &ModelName| ledger.lane.as_ref() == Some(model);
        has_lane(a).cmp(&has_lane(b)).then(worth_a.total_cmp(worth_b)).then(b.cmp(a))
    })
}

/// Whether a model comes from the weight store if it is loaded.
fn cold(ledger: &Ledger, model: &ModelName) -> bool {
    ledger.report.as_ref().is_some_and(|report| report.copies.tier(model) == Tier::Store)
}

/// How long it is likely to take until there is room for one more model.
pub(crate) fn room(ledger: &Ledger, now: Instant) -> Duration {
    let (Some(engine), Some(report)) = (&ledger.engine, &ledger.report) else {
        return Duration::ZERO;
    };
    let largest = engine.models.iter().map(|(_, spec)| spec.weights).max().unwrap_or_default();
    let free = engine.memory.saturating_sub(ledger.taken());
    let idle = |model: &ModelName| ledger.running(model) == 0 && rested(ledger, model, KEEP, now);
    if free >= largest || report.models.iter().any(|held| idle(&held.model)) {
        Duration::ZERO
    } else {
        USUAL
    }
}

fn has(ledger: &Ledger, model: &ModelName) -> bool {
    ledger.report.as_ref().is_some_and(|report| report.models.iter().any(|h| h.model == *model))
}

/// The model that makes room for one that so many requests wait for.
fn victim(ledger: &Ledger, waiting: u32, now: Instant) -> Option<ModelName> {
    let report = ledger.report.as_ref()?;
    let quiet = if waiting > 0 { KEEP } else { IDLE };
    let able = report.models.iter().map(|held| &held.model).filter(|model| {
        let wanted =
            ledger.wants.iter().any(|(id, want)| id.model == **model && want.waiting() > 0);
        let missed = ledger.rate(model, now) * RETURN.as_secs_f64();
        let spared = missed >= f64::from(waiting.max(1));
        let idle = waiting > 0 || ledger.running(model) == 0;
        !wanted && !spared && idle && rested(ledger, model, quiet, now)
    });
    able.min_by_key(|model| {
        let running = ledger.running(model);
        (running > 0, running, ledger.last(model))
    })
    .cloned()
}

/// Whether a model was not used for some time, or is in use.
fn rested(ledger: &Ledger, model: &ModelName, quiet: Duration, now: Instant) -> bool {
    let running = ledger.running(model) > 0;
    running || ledger.last(model).is_none_or(|last| now - last >= quiet)
}

fn next_adapter(ledger: &Ledger, engine: &Engine, now: Instant) -> Option<Next> {
    let report = ledger.report.as_ref()?;
    let wanted = ledger.wants.iter().find(|(id, _)| {
        id.adapter.is_some()
            && has(ledger, &id.model)
            && !ledger.holds(id)
            && !report.incoming.contains(id)
    });
    let (id, _) = wanted?;
    if report.incoming.len() >= INCOMING {
        return None;
    }
    let size = engine.model(&id.model).map_or(Size(0), |spec| spec.adapter);
    let room = size <= engine.memory.saturating_sub(ledger.taken());
    if room && ledger.places() < engine.adapters {
        return Some(Next::Order(Work::Load, id.clone()));
    }
    match idle_adapter(ledger, now) {
        Some(adapter) => Some(Next::Order(Work::Unload, adapter)),
        // An order for a model in progress is waited for; else there is no room in sight.
        None if report.busy => None,
        None => match victim(ledger, 1, now).filter(|model| *model != id.model && !room) {
            Some(model) => Some(Next::Order(Work::Unload, ModelId { model, adapter: None })),
            None => Some(Next::Refuse(id.clone(), AGAIN)),
        },
    }
}

/// The adapter that was asked for longest ago.
fn idle_adapter(ledger: &Ledger, now: Instant) -> Option<ModelId> {
    let report = ledger.report.as_ref()?;
    let held = report.models.iter().flat_map(|held| {
        let adapter = |name: &units::AdapterName| ModelId {
            model: held.model.clone(),
            adapter: Some(name.clone()),
        };
        held.adapters.iter().map(adapter)
    });
    let able = held.filter(|id| {
        let last = ledger.adapters.get(id);
        !ledger.wants.contains_key(id) && last.is_none_or(|last| now - *last >= KEEP)
    });
    able.min_by_key(|id| ledger.adapters.get(id).copied())
}

#[cfg(test)]
mod tests;
