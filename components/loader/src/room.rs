//! Load order, eviction and refusal times for models that routers describe the waiting requests of: pure decisions,
//! without input or output.
//!
//! Load pattern: 314 models take turns in room for 171. Dozens of routers ask each endpoint for a model each, for one
//! request or for thirty, with deadlines of some seconds to 17 s; a load takes less than a second from a copy, and ten
//! seconds from the weight store. The request that asks at the right moment gets the room, whatever the others wait
//! for, and a router that was refused can't know when to ask again.
//!
//! Models are loaded in one order: those that would lose a caller if another load went first, then those with the highest
//! priority among their requests, then those that serve the most requests in time for the duration of their load. Only models that no request waits for make room. A refused
//! router is told when there will be room, and the room is kept for it unless a model of higher rank needs it.
//!
//! Models whose routers send no summary are ordered by [`crate::plan`] as if this module didn't exist.

use std::cmp::{Ordering, Reverse};
use std::collections::BTreeSet;
use std::time::Duration;

use catalog::ModelId;
use tokio::time::Instant;
use units::{ModelName, WorkspaceName};

use crate::view::{EndpointView, RequestedModel};

mod openings;
mod queues;
mod residence;
mod turns;

pub(crate) use openings::{MAX_ROOM_WAIT, Room, is_eviction_outdated, room_for};
use queues::{Queues, ReceivedSummary};
use residence::Residences;
use turns::{Promises, RecentLoads};

/// The assumed duration of a load of a model that the configuration doesn't describe.
const UNKNOWN_LOAD: Duration = Duration::from_secs(1);

/// How long an endpoint takes from the end of one load to the beginning of the next: a drain of usual duration, an unload,
/// and the reports that show the end of each order.
const TURN_TIME: Duration = Duration::from_millis(650);

/// What is remembered between decisions.
#[derive(Debug, Default)]
pub(crate) struct RoomState {
    /// The queue summaries of the routers.
    pub(crate) queues: Queues,
    /// How long the loaded models have been there.
    pub(crate) residences: Residences,
    /// When refused models were told to find room.
    pub(crate) promises: Promises,
    /// The loads that workspaces had lately.
    pub(crate) loads: RecentLoads,
    /// The model that was unloaded for the next load.
    pub(crate) evicted: Option<ModelName>,
}

impl RoomState {
    /// Removes what no longer counts.
    pub(crate) fn expire(&mut self, now: Instant) {
        self.queues.expire(now);
        self.promises.expire(now);
        self.loads.expire(now);
    }

    /// Forgets what concerns an earlier incarnation of the endpoint; the waiting requests remain.
    pub(crate) fn reset_endpoint(&mut self) {
        self.residences.clear();
        self.promises.clear();
        self.evicted = None;
    }
}

/// Room that is given to a model, and why.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct RoomGrant {
    /// Requests that wait for the model and can be served in time.
    pub(crate) waiting: u32,
    /// The workspaces of the requests that wait.
    pub(crate) workspaces: Vec<WorkspaceName>,
    /// Whether the model goes first since a caller would be lost otherwise.
    pub(crate) urgent: bool,
}

/// Describes a load that begins now; none if no router describes its requests.
pub(crate) fn grant(view: &EndpointView, model: &ModelName, now: Instant) -> Option<RoomGrant> {
    if !is_queued(view, model, now) {
        return None;
    }
    let turns = turn_times(view, view.requested.iter());
    let rank = Rank::new(view, model, longest_other_turn(&turns, model), now);
    let workspaces = workspaces(view, model, now);
    Some(RoomGrant { waiting: rank.in_time, workspaces, urgent: rank.urgent })
}

/// Whether requests wait for a model by the summary of a router.
pub(crate) fn is_queued(view: &EndpointView, model: &ModelName, now: Instant) -> bool {
    view.rooms.queues.summaries(model, now).next().is_some()
}

/// Whether requests wait for a loaded model by the summary of a router.
pub(crate) fn is_awaited(view: &EndpointView, model: &ModelName, now: Instant) -> bool {
    view.rooms.queues.is_renewed(model, now)
}

/// The number of requests that can still be served if their model is loaded at `end`. Those of routers that send no
/// summary all count, as long as they are waited for.
pub(crate) fn waiting_in_time(
    view: &EndpointView,
    model: &ModelName,
    requested: Option<&RequestedModel>,
    end: Instant,
    now: Instant,
) -> u32 {
    let summaries = view.rooms.queues.summaries(model, now);
    let queued = summaries.map(|received| received.in_time(end));
    // Both are in the order of the routers.
    let mut routers = view.rooms.queues.routers(model, now).peekable();
    let others = requested.into_iter().flat_map(|requested| &requested.waiting);
    let unqueued = others.filter(|(router, _)| {
        while routers.next_if(|queued| *queued < router.as_str()).is_some() {}
        routers.peek() != Some(&router.as_str())
    });
    queued.chain(unqueued.map(|(_, waiting)| *waiting)).fold(0, u32::saturating_add)
}

/// The workspaces whose requests wait for a model.
fn workspaces(view: &EndpointView, model: &ModelName, now: Instant) -> Vec<WorkspaceName> {
    let summaries = view.rooms.queues.summaries(model, now);
    let names = summaries.flat_map(|received| received.workspaces()).map(|one| one.name.clone());
    names.collect::<BTreeSet<_>>().into_iter().collect()
}

/// How long a load of the model takes if nothing delays it.
pub(crate) fn load_time(view: &EndpointView, model: &ModelName) -> Duration {
    let spec = view.engine.as_ref().and_then(|engine| engine.model(model));
    let tier = view.report.as_ref().map(|report| report.copies.tier(model));
    spec.zip(tier).map_or(UNKNOWN_LOAD, |(spec, tier)| tier.load_time(spec))
}

/// The place of a model in the load order; the lesser one goes first.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Rank {
    /// Whether a waiting request that can be served now is lost if another load goes first.
    pub(crate) urgent: bool,
    /// The highest priority of the requests that wait; 0 is the highest. Without it the requests of a route with a long
    /// deadline, which pile up, would take the room of those that are needed at once.
    priority: u8,
    /// Requests that can be served in time.
    pub(crate) in_time: u32,
    /// The same for each second of the load.
    density: f64,
    /// Recent loads for the workspaces that wait.
    recent_loads: f64,
    /// The earliest deadline that can be met.
    deadline: Option<Instant>,
}

impl Rank {
    /// Ranks a model against others that would delay it by up to `other`.
    pub(crate) fn new(
        view: &EndpointView,
        model: &ModelName,
        other: Duration,
        now: Instant,
    ) -> Self {
        let duration = load_time(view, model);
        let end = now + openings::start_delay(view, model, now) + duration;
        let summaries = || view.rooms.queues.summaries(model, now);
        let deadline = summaries().filter_map(|received| received.deadline_after(end)).min();
        let in_time = waiting_in_time(view, model, view.first_requested(model), end, now);
        let workspaces = summaries().flat_map(|received| received.workspaces());
        Self {
            urgent: deadline.is_some_and(|deadline| deadline - end < other),
            priority: summaries().map(ReceivedSummary::priority).min().unwrap_or(u8::MAX),
            in_time,
            density: f64::from(in_time) / duration.as_secs_f64().max(f64::EPSILON),
            recent_loads: view.rooms.loads.average(workspaces, now),
            deadline,
        }
    }

    /// Compares two ranks.
    pub(crate) fn compare(&self, other: &Self) -> Ordering {
        let urgency = other.urgent.cmp(&self.urgent);
        let priority = self.priority.cmp(&other.priority);
        let density = other.density.total_cmp(&self.density);
        let loads = self.recent_loads.total_cmp(&other.recent_loads);
        let deadline = match (self.deadline, other.deadline) {
            (Some(own), Some(other)) => own.cmp(&other),
            (own, other) => other.is_some().cmp(&own.is_some()),
        };
        urgency.then(priority).then(density).then(loads).then(deadline)
    }
}

/// How long loads occupy the endpoint, for the models that requests wait for.
pub(crate) fn turn_times<'a>(
    view: &EndpointView,
    models: impl Iterator<Item = (&'a ModelId, &'a RequestedModel)>,
) -> Vec<(&'a ModelName, Duration)> {
    let awaited = models.filter(|(_, requested)| requested.total_waiting() > 0);
    awaited.map(|(id, _)| (&id.model, load_time(view, &id.model) + TURN_TIME)).collect()
}

/// The time that a model waits at most if another one goes first.
pub(crate) fn longest_other_turn(turns: &[(&ModelName, Duration)], model: &ModelName) -> Duration {
    let others = turns.iter().filter(|(other, _)| *other != model);
    others.map(|(_, turn)| *turn).max().unwrap_or_default()
}

/// Puts models into their load order. `models` are in the order of [`crate::plan`], which those without a summary keep
/// among each other. Each of them goes ahead of models with a summary that fewer requests wait for, unless one of these
/// would lose a caller.
pub(crate) fn order(
    view: &EndpointView,
    models: &mut Vec<(&ModelId, &RequestedModel)>,
    now: Instant,
) {
    if view.rooms.queues.is_empty(now) {
        return;
    }
    let turns = turn_times(view, models.iter().copied());
    let rank = |model: &ModelName| {
        let other = longest_other_turn(&turns, model);
        Rank::new(view, model, other, now)
    };
    let is_queued = |id: &ModelId| is_queued(view, &id.model, now);
    let queued = models.iter().copied().filter(|(id, _)| is_queued(id));
    let mut queued: Vec<_> = queued.map(|(id, one)| (rank(&id.model), id, one)).collect();
    queued.sort_by(|(a, id_a, _), (b, id_b, _)| a.compare(b).then(id_a.cmp(id_b)));
    let others: Vec<_> = models.iter().copied().filter(|(id, _)| !is_queued(id)).collect();
    models.clear();
    let mut others = others.into_iter().peekable();
    for (rank, id, requested) in queued {
        let key = (Reverse(rank.in_time), requested.since);
        let goes_first = |(_, other): &(&ModelId, &RequestedModel)| {
            !rank.urgent && (Reverse(other.total_waiting()), other.since) < key
        };
        while let Some(other) = others.next_if(goes_first) {
            models.push(other);
        }
        models.push((id, requested));
    }
    models.extend(others);
}

#[cfg(test)]
mod replay;
#[cfg(test)]
pub(crate) mod simulation;
#[cfg(test)]
mod tests;
