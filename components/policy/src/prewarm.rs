//! Which replicas are loaded before the next closing windows, and when: the same on all agents.

use jiff::{SignedDuration, Timestamp};
use state::{Grant, State};
use tree::{Leaf, NodeKind, Window};
use units::{EndpointId, ModelName, ReplicaIndex, Size};

use crate::closing::GRANT_LEAD;
use crate::{Load, Slot, Store, schedule};

/// The loads before the windows that open within [`GRANT_LEAD`](crate::GRANT_LEAD), the earliest start first.
pub fn prewarm(state: &State, now: Timestamp, store: &Store) -> Vec<Slot> {
    let models = state.tree().leaves().iter().filter(|leaf| leaf.kind == NodeKind::Model);
    let loads = models.flat_map(|leaf| loads_of(state, leaf, now)).collect();
    schedule(loads, store)
}

/// A replica that a closing window needs loaded now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Need {
    /// The model.
    pub model: ModelName,
    /// Which replica.
    pub index: ReplicaIndex,
    /// When the window opens or opened.
    pub opens: Timestamp,
}

/// What closing windows need at an endpoint now: replicas whose latest start has come, or whose window is
/// open. A replica that is needed for several openings is named once, with the latest.
pub fn needs(state: &State, endpoint: &EndpointId, now: Timestamp, store: &Store) -> Vec<Need> {
    let held: Vec<&Grant> = state.grants_at(endpoint).filter(|grant| !grant.revoked).collect();
    let mut needs = Vec::new();
    if held.iter().any(|grant| has_near(state, grant, now)) {
        let due = prewarm(state, now, store).into_iter().take_while(|slot| slot.starts <= now);
        let own = due.filter(|slot| slot.endpoint == *endpoint);
        needs.extend(own.map(|Slot { model, index, opens, .. }| Need { model, index, opens }));
    }
    for grant in held {
        let named = needs.iter().any(|need| need.model == grant.model);
        if !named {
            needs.extend(open_need(state, grant, now));
        }
    }
    needs
}

/// What an open window needs of a grant.
fn open_need(state: &State, grant: &Grant, now: Timestamp) -> Option<Need> {
    let leaf = state.tree().model(&grant.model)?;
    let windows = leaf.settings.windows.iter().filter(|window| grant.index.0 < window.replicas);
    let opens = windows.filter_map(|window| window.open_at(now)).max()?;
    Some(Need { model: grant.model.clone(), index: grant.index, opens })
}

fn has_near(state: &State, grant: &Grant, now: Timestamp) -> bool {
    let leaf = state.tree().model(&grant.model);
    leaf.is_some_and(|leaf| leaf.settings.windows.iter().any(|window| near(window, now).is_some()))
}

/// The loads of one model: each of its grants once, for the first window that needs it.
fn loads_of(state: &State, leaf: &Leaf, now: Timestamp) -> Vec<Load> {
    let windows = leaf.settings.windows.iter();
    let openings: Vec<(Timestamp, u32)> = windows.filter_map(|window| near(window, now)).collect();
    if openings.is_empty() {
        return Vec::new();
    }
    let grants = state.grants_of(&leaf.model).filter(|grant| !grant.revoked);
    let load = |grant: &Grant| {
        let needing = openings.iter().filter(|(_, replicas)| grant.index.0 < *replicas);
        let opens = needing.map(|(opens, _)| *opens).min()?;
        let weights = if is_cached(state, grant) { Size(0) } else { leaf.settings.weights };
        let (model, endpoint) = (leaf.model.clone(), grant.endpoint.clone());
        Some(Load { model, index: grant.index, endpoint, weights, opens })
    };
    grants.filter_map(load).collect()
}

/// When a window opens, if that is soon, and how many replicas it needs.
fn near(window: &Window, now: Timestamp) -> Option<(Timestamp, u32)> {
    let lead = SignedDuration::try_from(GRANT_LEAD).ok()?;
    let opens = window.next_opening(now).filter(|opens| opens.duration_since(now) <= lead)?;
    Some((opens, window.replicas))
}

fn is_cached(state: &State, grant: &Grant) -> bool {
    let member = state.member(&grant.endpoint);
    member.is_some_and(|member| member.attach.cached.contains(&grant.artifact))
}

#[cfg(test)]
mod tests;
