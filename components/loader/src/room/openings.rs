//! When there is room for a model, and which model makes it.

use std::time::Duration;

use tokio::time::Instant;
use units::{ModelName, Size};

use crate::plan::{PREFETCH_MIN_IDLE, RELOAD_TIME, USUAL_DRAIN};
use crate::room::{self, Rank};
use crate::view::{EndpointView, RequestedModel};

/// The shortest time after which a refused router is asked to return: much less makes it ask in vain, since the loader
/// learns of ended requests by the polls of routers.
const MIN_ROOM_WAIT: Duration = Duration::from_millis(50);
/// The longest time after which a refused router is asked to return. Later times are too uncertain to be told, and no
/// room is kept for them.
pub(crate) const MAX_ROOM_WAIT: Duration = Duration::from_secs(2);

/// Whether there is room for a model.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Room {
    /// There is free room.
    Free,
    /// There is room once this model is evicted.
    Evict(ModelName),
    /// There is none before this time is over.
    After(Duration),
}

/// A loaded model that can make room.
#[derive(Debug)]
struct Opening<'a> {
    model: &'a ModelName,
    /// From when on it can be evicted.
    at: Instant,
    size: Size,
    running: u32,
    /// Whether more requests are expected for it than wait for the model that needs the room.
    in_demand: bool,
}

/// Room that is needed at some time.
#[derive(Debug, Clone, Copy)]
struct RoomNeed {
    at: Instant,
    size: Size,
}

/// The expected time until a load of a model can begin: the rest of a drain, unless there is room or an idle model can
/// make it at once.
pub(crate) fn start_delay(view: &EndpointView, model: &ModelName, now: Instant) -> Duration {
    if let Some(eviction) = &view.eviction {
        let drained = view.running(&eviction.model) == 0;
        let rest = USUAL_DRAIN.saturating_sub(now - eviction.since);
        return if drained { Duration::ZERO } else { rest };
    }
    let Some(engine) = &view.engine else { return Duration::ZERO };
    let size = engine.model(model).map_or(Size(0), |spec| spec.weights);
    let free = engine.memory.saturating_sub(view.used_memory());
    let mut held = view.report.iter().flat_map(|report| &report.models).map(|held| &held.model);
    let idle = held.any(|model| {
        let evictable = view.running(model) == 0 && view.rooms.residences.has_served(model);
        evictable && !room::is_awaited(view, model, now)
    });
    if size <= free || idle { Duration::ZERO } else { USUAL_DRAIN }
}

/// Finds room for a model that requests wait for.
pub(crate) fn room_for(view: &EndpointView, model: &ModelName, now: Instant) -> Room {
    let Some(engine) = &view.engine else { return Room::After(MAX_ROOM_WAIT) };
    let size = |model: &ModelName| engine.model(model).map_or(Size(0), |spec| spec.weights);
    let free = engine.memory.saturating_sub(view.used_memory());
    let turns = room::turn_times(view, view.requested.iter());
    let other = room::longest_other_turn(&turns, model);
    let rank = Rank::new(view, model, other, now);
    let openings = openings(view, rank.in_time, &size, now);
    let needs = promised_ahead(view, model, &rank, &size, now);
    let Some(at) = first_fit(free, size(model), &openings, &needs, now) else {
        return Room::After(MAX_ROOM_WAIT);
    };
    if at > now {
        return Room::After((at - now).clamp(MIN_ROOM_WAIT, MAX_ROOM_WAIT));
    }
    if size(model) <= free {
        return Room::Free;
    }
    let candidates = openings.iter().filter(|opening| opening.at <= now);
    let best = candidates.min_by_key(|opening| {
        let last_used = view.last_used(opening.model);
        (opening.running > 0, opening.in_demand, opening.running, last_used)
    });
    best.map_or(Room::After(MIN_ROOM_WAIT), |opening| Room::Evict(opening.model.clone()))
}

/// Whether an idle model could make room by now while the model that is being evicted still has running requests.
pub(crate) fn is_eviction_outdated(
    view: &EndpointView,
    model: &ModelName,
    evicted: &ModelName,
    now: Instant,
) -> bool {
    let has_idle = || match room_for(view, model, now) {
        Room::Evict(other) => view.running(&other) == 0,
        Room::Free | Room::After(_) => false,
    };
    view.running(evicted) > 0 && room::is_queued(view, model, now) && has_idle()
}

/// The loaded models that can make room for `waiting` requests. An idle model that has served requests can do so at
/// once, and others when their residence is over. One with running requests that more requests are expected for is not
/// drained, but may be idle soon. Models that requests wait for can't make room.
fn openings<'a>(
    view: &'a EndpointView,
    waiting: u32,
    size: &impl Fn(&ModelName) -> Size,
    now: Instant,
) -> Vec<Opening<'a>> {
    let report = view.report.as_ref();
    let held = report.into_iter().flat_map(|report| &report.models).map(|held| &held.model);
    let opening = |model: &'a ModelName| {
        let awaited = room::is_awaited(view, model, now) || is_requested(view, model);
        let running = view.running(model);
        let expected = view.request_rate(model, now) * RELOAD_TIME.as_secs_f64();
        let in_demand = expected >= f64::from(waiting.max(1));
        let unavailable = awaited || running > 0 && waiting == 0;
        let residences = &view.rooms.residences;
        let mut at = residences.end(model, now).max(now);
        if running > 0 && in_demand {
            at = at.max(now + USUAL_DRAIN);
        } else if running == 0 && residences.has_served(model) {
            at = now;
        }
        if waiting == 0 {
            // No caller gains by this load, so it takes only room that nobody uses.
            at = view.last_used(model).map_or(at, |last| at.max(last + PREFETCH_MIN_IDLE));
        }
        (!unavailable).then(|| Opening { model, at, size: size(model), running, in_demand })
    };
    held.filter_map(opening).collect()
}

/// Whether a router waits for a loaded model by an open request.
fn is_requested(view: &EndpointView, model: &ModelName) -> bool {
    let mut requested = view.requested.iter().filter(|(id, _)| id.model == *model);
    requested.any(|(_, one): (_, &RequestedModel)| one.total_waiting() > 0)
}

/// The room promised to refused models that go ahead of this one.
fn promised_ahead(
    view: &EndpointView,
    model: &ModelName,
    rank: &Rank,
    size: &impl Fn(&ModelName) -> Size,
    now: Instant,
) -> Vec<RoomNeed> {
    let other = room::load_time(view, model);
    let promised = view.rooms.promises.open(now).filter(|(other, _)| *other != model);
    let live = promised.filter(|(name, _)| room::is_queued(view, name, now));
    let ahead = live.filter(|(name, _)| Rank::new(view, name, other, now).compare(rank).is_le());
    ahead.map(|(name, at)| RoomNeed { at, size: size(name) }).collect()
}

/// The first time at which a model of this size fits, so that the room for all other needs is still there at their
/// times.
fn first_fit(
    free: Size,
    size: Size,
    openings: &[Opening<'_>],
    needs: &[RoomNeed],
    now: Instant,
) -> Option<Instant> {
    let available = |at: Instant| {
        let open = openings.iter().filter(|opening| opening.at <= at);
        free + open.map(|opening| opening.size).sum()
    };
    let needed = |at: Instant| {
        let due = needs.iter().filter(|need| need.at <= at);
        size + due.map(|need| need.size).sum()
    };
    let fits = |at: Instant| {
        let later = needs.iter().map(|need| need.at).filter(|need| *need > at);
        std::iter::once(at).chain(later).all(|time| available(time) >= needed(time))
    };
    let times = openings.iter().map(|opening| opening.at).chain([now]);
    times.filter(|at| fits(*at)).min()
}
