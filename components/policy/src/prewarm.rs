//! Computes which replicas are loaded before the next closing windows, and when. All agents compute the same result.

use jiff::{SignedDuration, Timestamp};
use state::{Grant, State};
use tree::{Leaf, NodeKind, Window};
use units::{EndpointId, ModelName, ReplicaIndex, Size};

use crate::closing::GRANT_LEAD;
use crate::{LoadSlot, StoreCapacity, WindowLoad, schedule};

/// The loads for the windows that open within [`GRANT_LEAD`](crate::GRANT_LEAD), sorted by start time.
pub fn prewarm_schedule(state: &State, now: Timestamp, store: &StoreCapacity) -> Vec<LoadSlot> {
    let models = state.tree().leaves().iter().filter(|leaf| leaf.kind == NodeKind::Model);
    let loads = models.flat_map(|leaf| model_loads(state, leaf, now)).collect();
    schedule(loads, store)
}

/// A replica that a closing window needs loaded now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NeededReplica {
    /// The model.
    pub model: ModelName,
    /// The index of the replica.
    pub index: ReplicaIndex,
    /// When the window opens, or opened.
    pub opens: Timestamp,
}

/// The replicas that closing windows need loaded at an endpoint now: those whose latest start has come, or whose window is
/// open. A replica that is needed for several openings is included once. It has the opening of its scheduled load, or
/// otherwise the latest opening of its open windows.
pub fn needed_replicas(
    state: &State,
    endpoint: &EndpointId,
    now: Timestamp,
    store: &StoreCapacity,
) -> Vec<NeededReplica> {
    let grants: Vec<&Grant> = state.grants_at(endpoint).filter(|grant| !grant.revoked).collect();
    let mut needs = Vec::new();
    if grants.iter().any(|grant| has_near_opening(state, grant, now)) {
        let due =
            prewarm_schedule(state, now, store).into_iter().take_while(|slot| slot.starts <= now);
        let own = due.filter(|slot| slot.endpoint == *endpoint);
        needs.extend(own.map(|LoadSlot { model, index, opens, .. }| NeededReplica {
            model,
            index,
            opens,
        }));
    }
    for grant in grants {
        let is_included = needs.iter().any(|need| need.model == grant.model);
        if !is_included {
            needs.extend(open_window_need(state, grant, now));
        }
    }
    needs
}

/// The grant's replica, if an open window needs it, with the latest opening of its open windows.
fn open_window_need(state: &State, grant: &Grant, now: Timestamp) -> Option<NeededReplica> {
    let leaf = state.tree().model(&grant.model)?;
    let windows = leaf.settings.windows.iter().filter(|window| grant.index.0 < window.replicas);
    let opens = windows.filter_map(|window| window.open_at(now)).max()?;
    Some(NeededReplica { model: grant.model.clone(), index: grant.index, opens })
}

/// Whether a window of the grant's model opens within [`GRANT_LEAD`].
fn has_near_opening(state: &State, grant: &Grant, now: Timestamp) -> bool {
    let leaf = state.tree().model(&grant.model);
    leaf.is_some_and(|leaf| {
        leaf.settings.windows.iter().any(|window| near_opening(window, now).is_some())
    })
}

/// The loads of one model: one for each of its grants, for the first window that needs the replica.
fn model_loads(state: &State, leaf: &Leaf, now: Timestamp) -> Vec<WindowLoad> {
    let windows = leaf.settings.windows.iter();
    let openings: Vec<(Timestamp, u32)> =
        windows.filter_map(|window| near_opening(window, now)).collect();
    if openings.is_empty() {
        return Vec::new();
    }
    let grants = state.grants_of(&leaf.model).filter(|grant| !grant.revoked);
    let load = |grant: &Grant| {
        let needing = openings.iter().filter(|(_, replicas)| grant.index.0 < *replicas);
        let opens = needing.map(|(opens, _)| *opens).min()?;
        let weights = if is_cached(state, grant) { Size(0) } else { leaf.settings.weights };
        let (model, endpoint) = (leaf.model.clone(), grant.endpoint.clone());
        Some(WindowLoad { model, index: grant.index, endpoint, weights, opens })
    };
    grants.filter_map(load).collect()
}

/// The next opening of a window and the replicas it needs, if it opens within [`GRANT_LEAD`].
fn near_opening(window: &Window, now: Timestamp) -> Option<(Timestamp, u32)> {
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
