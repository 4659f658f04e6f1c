//! The next order: values in, values out.
//!
//! Load pattern: bursts for models that take turns in an accelerator that can't hold all of them. Waiting requests go
//! before what is prepared, and the one that waits longest first. Room is made by the model that was used longest
//! ago and runs nothing, since an unload waits for what runs and blocks all other orders.

use std::time::Duration;

use catalog::{Engine, ModelId};
use platform::Work;
use tokio::time::Instant;
use units::{ModelName, Size};

use crate::ledger::{Ledger, Want};

/// A model is kept this long after it was loaded or used, so that two in turn don't push each other out.
const KEEP: Duration = Duration::from_millis(400);
/// What is prepared pushes out only what was not used for this long.
const IDLE: Duration = Duration::from_secs(4);
/// When to ask again if there is no room: about one run of a request.
const AGAIN: Duration = Duration::from_millis(300);
/// Adapters on their way to one endpoint at once.
const INCOMING: usize = 4;

/// The next thing to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Next {
    /// Give this order.
    Order(Work, ModelId),
    /// Tell those who want this to ask again later.
    Refuse(ModelId, Duration),
    /// Nothing.
    Rest,
}

/// Decides what to do next.
pub(crate) fn next(ledger: &Ledger, now: Instant) -> Next {
    let (Some(engine), Some(report)) = (&ledger.engine, &ledger.report) else { return Next::Rest };
    if let Some(adapter) = next_adapter(ledger, engine, now) {
        return adapter;
    }
    if report.busy {
        return Next::Rest;
    }
    let mut models: Vec<(&ModelId, &Want)> =
        ledger.wants.iter().filter(|(id, _)| !has(ledger, &id.model)).collect();
    models.sort_by_key(|(_, want)| (want.waiting == 0, want.since));
    for (id, want) in models {
        let Some(spec) = engine.model(&id.model) else {
            return Next::Refuse(id.clone(), AGAIN);
        };
        let target = ModelId { model: id.model.clone(), adapter: None };
        if spec.weights > engine.memory.saturating_sub(ledger.taken()) {
            return match victim(ledger, want.waiting > 0, now) {
                Some(model) => Next::Order(Work::Unload, ModelId { model, adapter: None }),
                None => Next::Refuse(id.clone(), AGAIN),
            };
        }
        return Next::Order(Work::Load, target);
    }
    Next::Rest
}

fn has(ledger: &Ledger, model: &ModelName) -> bool {
    ledger.report.as_ref().is_some_and(|report| report.models.iter().any(|h| h.model == *model))
}

/// The model that makes room: none that runs or was used just now, the one used longest ago.
fn victim(ledger: &Ledger, urgent: bool, now: Instant) -> Option<ModelName> {
    let report = ledger.report.as_ref()?;
    let quiet = if urgent { KEEP } else { IDLE };
    let able = report.models.iter().filter(|held| {
        let last = ledger.last(&held.model);
        let wanted = ledger.wants.iter().any(|(id, want)| id.model == held.model && want.waiting > 0);
        ledger.running(&held.model) == 0 && !wanted && last.is_none_or(|last| now - last >= quiet)
    });
    able.min_by_key(|held| ledger.last(&held.model)).map(|held| held.model.clone())
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
        None => match victim(ledger, true, now).filter(|model| *model != id.model && !room) {
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
