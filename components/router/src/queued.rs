//! Reserves an endpoint for a request that waits in the queue for its model.
//!
//! Load pattern: dozens of requests wait for the same model, which is loaded from the weight store. Only the first one in the queue
//! searches and asks loaders; the others would find the same.

use std::sync::Arc;
use std::time::Duration;

use catalog::ModelId;
use events::{Event, emit, millis};
use process::ShutdownPhase;
use quarantine::Digest;
use tokio::sync::futures::Notified;
use tokio::time::Instant;
use units::WorkspaceName;
use waiting::{Arrival, Entry, Rejected, RejectionCause};

use crate::choose::{self, RequestNeeds, ReserveError, SearchResult};
use crate::registry::EndpointTable;
use crate::reservation::Reservation;
use crate::shared::Shared;
use crate::wait_queue::{QueueKey, QueuePlace, Turn};

/// What decides on the place of a request in a queue, besides its needs.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Waiter<'a> {
    pub(crate) request_id: &'a str,
    pub(crate) class: &'a str,
    pub(crate) workspace: Option<&'a WorkspaceName>,
    pub(crate) priority: u8,
    /// Prompt tokens and maximum output tokens.
    pub(crate) tokens: u64,
    pub(crate) digest: Digest,
}

impl From<Rejected> for ReserveError {
    fn from(rejected: Rejected) -> Self {
        match rejected.cause {
            RejectionCause::ModelNotReady => Self::LoadTooSlow(rejected.after),
            RejectionCause::QueueTooLong => Self::QueueTooLong(rejected.after),
            RejectionCause::Stopping => Self::HandedBack,
        }
    }
}

/// Reserves an endpoint at once if no other request waits for the model; else waits for the turn of the request.
pub(crate) async fn reserve(
    shared: &Arc<Shared>,
    needs: RequestNeeds<'_>,
    waiter: Waiter<'_>,
    model: &ModelId,
) -> Result<Reservation, ReserveError> {
    let key = queue_key(&shared.endpoints.lock(), &needs, model);
    let mut found = None;
    if shared.wait_queues.is_empty(&key) {
        let result = match choose::search(shared, &needs) {
            SearchResult::Reserved(reservation) => {
                shared.wait_queues.charge(&waiter);
                return Ok(*reservation);
            }
            other => other,
        };
        let stopping = shared.shutdown.phase() != ShutdownPhase::Run;
        if stopping && awaits_endpoint(&result) {
            // The model is ready, so the router serves the request also while it stops.
            let reserved = choose::reserve_alone(shared, needs).await;
            shared.wait_queues.charge_if_reserved(&waiter, &reserved);
            return reserved;
        }
        found = Some(pending(shared, &needs, result)?);
    }
    let ready_in = found.as_ref().map(|pending| pending.ready_in);
    let entry = Entry { key, digest: waiter.digest, arrival: arrival(&needs, &waiter) };
    match QueuePlace::enter(shared, entry, ready_in) {
        Ok((place, entered)) => {
            emit(&Event::Queued {
                request: waiter.request_id,
                class: waiter.class,
                model: &model.to_string(),
                workspace: waiter.workspace.map_or("", |workspace| workspace.as_str()),
                position: entered.position,
                length: entered.length,
                expect_ms: millis(entered.expected),
            });
            wait(shared, &needs, &waiter, model, place).await
        }
        Err(rejected) => {
            // The model is loaded all the same: the caller is told to come back for it.
            if let Some(pending) = found.filter(|_| rejected.cause != RejectionCause::Stopping) {
                choose::request_loads(shared, &pending.loads, None);
            }
            Err(rejected.into())
        }
    }
}

/// The queue of a request. A version that all endpoints run is no condition.
fn queue_key(table: &EndpointTable, needs: &RequestNeeds<'_>, model: &ModelId) -> QueueKey {
    let restricting = table.restricting(needs.required_software());
    let software = restricting.map(|required| required.version.clone());
    QueueKey { service: needs.service.clone(), model: model.clone(), software }
}

/// Whether a request waits for nothing but the answer of an endpoint that has its model, or for a better endpoint.
fn awaits_endpoint(result: &SearchResult) -> bool {
    match result {
        SearchResult::Hold(_) => true,
        SearchResult::Wait(ready_in) => ready_in.is_zero(),
        SearchResult::Reserved(_)
        | SearchResult::Load(_)
        | SearchResult::NoLoader(_)
        | SearchResult::Paused(_)
        | SearchResult::NoEndpoint
        | SearchResult::NoVersion => false,
    }
}

fn arrival(needs: &RequestNeeds<'_>, waiter: &Waiter<'_>) -> Arrival {
    Arrival {
        workspace: waiter.workspace.cloned(),
        priority: waiter.priority,
        tokens: waiter.tokens,
        target: needs.search_start + needs.first_event_target,
        deadline: needs.deadline,
    }
}

/// What a search found that reserved no endpoint.
struct Pending {
    /// The time until the model is ready.
    ready_in: Duration,
    /// The loads to ask for.
    loads: Vec<choose::PlannedLoad>,
    /// Whether an endpoint could serve the request, but it waits for a better one.
    held: bool,
}

fn pending(
    shared: &Shared,
    needs: &RequestNeeds<'_>,
    result: SearchResult,
) -> Result<Pending, ReserveError> {
    let (ready_in, loads, held) = match result {
        // A reservation is used by the caller of this function.
        SearchResult::Reserved(_) | SearchResult::Hold(_) => (Duration::ZERO, Vec::new(), true),
        SearchResult::Load(loads) => {
            let now = Instant::now();
            let first = loads.first().map(|load| choose::ready_in(shared, load, now));
            (first.unwrap_or(Duration::ZERO), loads, false)
        }
        SearchResult::NoLoader(ready_in) => {
            let now = Instant::now();
            let loader_pause = choose::loader_pause(&shared.endpoints.lock(), needs, now);
            (ready_in + loader_pause, Vec::new(), false)
        }
        SearchResult::Wait(ready_in) => (ready_in, Vec::new(), false),
        SearchResult::Paused(left) => return Err(ReserveError::NoEndpoint(left)),
        SearchResult::NoEndpoint => {
            return Err(ReserveError::NoEndpoint(choose::NO_ENDPOINT_RETRY_AFTER));
        }
        SearchResult::NoVersion => return Err(ReserveError::NoVersion),
    };
    Ok(Pending { ready_in, loads, held })
}

/// Waits in a queue, and searches when it is the turn of the request.
async fn wait(
    shared: &Arc<Shared>,
    needs: &RequestNeeds<'_>,
    waiter: &Waiter<'_>,
    model: &ModelId,
    mut place: QueuePlace,
) -> Result<Reservation, ReserveError> {
    let mut held = false;
    loop {
        match place.turn() {
            Turn::Refused(rejected) => return Err(rejected.into()),
            Turn::Wait if !held => {
                place.changed().await;
                continue;
            }
            Turn::Wait | Turn::Search => {}
        }
        let key = || queue_key(&shared.endpoints.lock(), needs, model);
        if needs.software.is_some() && *place.key() != key() {
            // Other versions have begun or ceased to serve since: the requests of this queue wait for other endpoints.
            drop(place);
            let reserved = choose::reserve_alone(shared, *needs).await;
            shared.wait_queues.charge_if_reserved(waiter, &reserved);
            return reserved;
        }
        let changed = shared.endpoints.changed.notified();
        let result = match choose::search(shared, needs) {
            SearchResult::Reserved(mut reservation) => {
                place.attach(waiter, &mut reservation);
                return Ok(*reservation);
            }
            other => other,
        };
        let pending = pending(shared, needs, result)?;
        held = pending.held;
        place.set_held(held);
        if !held {
            let time_left = needs.deadline.saturating_duration_since(Instant::now());
            let within = (pending.ready_in <= time_left).then_some(time_left);
            choose::request_loads(shared, &pending.loads, within);
            place.review(pending.ready_in);
        }
        pause(needs, &mut place, changed).await;
    }
}

/// Waits until another search may find something else, or the turn of the request has changed.
async fn pause(needs: &RequestNeeds<'_>, place: &mut QueuePlace, changed: Notified<'_>) {
    let searched = Instant::now();
    let search_again = async {
        let _ = tokio::time::timeout(choose::SEARCH_INTERVAL, changed).await;
        if let Some(pause) = choose::search_pause(searched - needs.search_start) {
            tokio::time::sleep_until(searched + pause).await;
        }
    };
    tokio::select! {
        () = search_again => {}
        () = place.changed() => {}
    }
}

#[cfg(test)]
mod tests;
