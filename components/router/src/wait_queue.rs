//! The queues of the requests that wait for models, and the place that each of these requests has in them.
//!
//! Which request searches, and which one is refused, is decided by the crate `waiting`. This module tells the requests, and removes them
//! from their queues on drop, however they end.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use catalog::ModelId;
use control::{QueueReport, QueueSummary, WaitingReport, WaitingWorkspace, WorkspaceCounter};
use events::{Event, emit, millis};
use process::ShutdownPhase;
use quarantine::Digest;
use tokio::sync::watch;
use tokio::time::Instant;
use units::{ServiceName, SoftwareVersion};
use waiting::{Departure, Entered, Entry, Queues, Rejected, Removed, TicketId};

use crate::choose::ReserveError;
use crate::queued::Waiter;
use crate::reservation::{Reservation, WaitingRequest};
use crate::shared::Shared;
use crate::software::{RequiredSoftware, WaitingFor};

/// The requests of one service for one model. Those that only one version of the software may serve have a queue of their own
/// while other versions serve: they keep no other request waiting, and none keeps them waiting for an endpoint that it can't use.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct QueueKey {
    pub(crate) service: ServiceName,
    pub(crate) model: ModelId,
    /// The version of the software that the endpoint must run, if not any endpoint may serve the requests.
    pub(crate) software: Option<SoftwareVersion>,
}

impl QueueKey {
    /// What the requests of the queue wait for.
    fn waiting_for(&self) -> WaitingFor {
        let required = self.software.as_ref();
        let required = required.map(|version| RequiredSoftware { service: &self.service, version });
        WaitingFor::new(&self.model.model, required)
    }

    /// Whether an endpoint with this software may serve the requests.
    fn allows(&self, software: Option<&SoftwareVersion>) -> bool {
        self.software.is_none() || self.software.as_ref() == software
    }
}

/// What a request in a queue does next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Turn {
    /// It waits for its turn.
    Wait,
    /// It searches for an endpoint.
    Search,
    /// It is refused and no longer in the queue.
    Refused(Rejected),
}

#[derive(Debug, Default)]
struct State {
    queues: Queues<QueueKey, Digest>,
    turns: HashMap<TicketId, watch::Sender<Turn>>,
}

impl State {
    /// Adds a request to a queue. The receiver tells what it does next.
    fn enter(
        &mut self,
        entry: Entry<QueueKey, Digest>,
        ready_in: Option<Duration>,
        now: Instant,
    ) -> Result<(Entered, watch::Receiver<Turn>), Rejected> {
        let key = entry.key.clone();
        let entered = self.queues.enter(entry, ready_in, now)?;
        let (sender, turn) = watch::channel(Turn::Wait);
        self.turns.insert(entered.id, sender);
        self.update_turn(&key, now);
        Ok((entered, turn))
    }

    /// Removes a request, and tells the next one to search.
    fn remove(&mut self, key: &QueueKey, id: TicketId, departure: Departure, now: Instant) {
        self.queues.remove(key, id, departure, now);
        self.turns.remove(&id);
        self.update_turn(key, now);
    }

    /// Records whether a request waits for a better endpoint, so that the next one searches too.
    fn set_held(&mut self, key: &QueueKey, id: TicketId, held: bool, now: Instant) {
        self.queues.set_held(key, id, held);
        self.update_turn(key, now);
    }

    /// Records the time until the model is ready, and refuses the requests whose turn can't come in time.
    fn review(&mut self, key: &QueueKey, ready_in: Duration, now: Instant) {
        let removed = self.queues.review(key, ready_in, now);
        self.refuse(&removed);
        self.update_turn(key, now);
    }

    /// Tells a request what it does next.
    fn notify(&self, id: TicketId, turn: Turn) {
        if let Some(sender) = self.turns.get(&id) {
            sender.send_replace(turn);
        }
    }

    /// Tells the requests of a queue which one searches, if that has changed.
    fn update_turn(&mut self, key: &QueueKey, now: Instant) {
        let Some(change) = self.queues.update_turn(key, now) else { return };
        if let Some(before) = change.before {
            self.notify(before, Turn::Wait);
        }
        if let Some(next) = change.now {
            self.notify(next, Turn::Search);
        }
    }

    fn refuse(&self, removed: &[Removed]) {
        for Removed { id, rejected } in removed {
            self.notify(*id, Turn::Refused(*rejected));
        }
    }

    /// Refuses the requests whose turn is not expected soon, because the router stops.
    fn hand_back(&mut self, now: Instant) {
        for (key, removed) in self.queues.hand_back(now) {
            self.refuse(&[removed]);
            self.update_turn(&key, now);
        }
    }
}

/// The requests that wait for models at this router.
#[derive(Debug, Default)]
pub(crate) struct WaitQueues {
    state: Mutex<State>,
}

impl WaitQueues {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether no request waits in a queue.
    pub(crate) fn is_empty(&self, key: &QueueKey) -> bool {
        self.lock().queues.is_empty(key)
    }

    /// Counts the tokens of a request that got an endpoint without waiting in a queue.
    pub(crate) fn charge(&self, waiter: &Waiter<'_>) {
        let workspace = waiter.workspace.cloned();
        self.lock().queues.charge(&workspace, waiter.tokens, Instant::now());
    }

    /// Counts the tokens of a request that searched by itself, if it got an endpoint.
    pub(crate) fn charge_if_reserved(
        &self,
        waiter: &Waiter<'_>,
        reserved: &Result<Reservation, ReserveError>,
    ) {
        if reserved.is_ok() {
            self.charge(waiter);
        }
    }

    /// Summarizes the requests that wait for a load and that an endpoint with this software may serve: those for an adapter, or
    /// those for a model and all of its adapters.
    pub(crate) fn summary(
        &self,
        service: &ServiceName,
        software: Option<&SoftwareVersion>,
        target: &ModelId,
        now: Instant,
    ) -> Option<QueueSummary> {
        let chosen = |key: &QueueKey| {
            let model = key.model.model == target.model;
            let adapter = target.adapter.is_none() || key.model.adapter == target.adapter;
            key.service == *service && key.allows(software) && model && adapter
        };
        self.lock().queues.summary(chosen, now).map(summary_message)
    }
}

fn summary_message(summary: waiting::QueueSummary) -> QueueSummary {
    let waiting = |count| u32::try_from(count).unwrap_or(u32::MAX);
    let workspaces = summary.workspaces.into_iter();
    QueueSummary {
        waiting: waiting(summary.waiting),
        workspaces: workspaces
            .map(|(name, count)| WaitingWorkspace { name, waiting: waiting(count) })
            .collect(),
        first_deadline: summary.first_deadline,
        last_deadline: summary.last_deadline,
        oldest: summary.oldest,
        priority: summary.priority,
    }
}

/// The place of a request in a queue. The request is removed and the next one searches when the place is dropped.
#[derive(Debug)]
pub(crate) struct QueuePlace {
    shared: Arc<Shared>,
    key: QueueKey,
    id: TicketId,
    turn: watch::Receiver<Turn>,
    entered_at: Instant,
    departure: Departure,
    /// Counts the request for its model.
    _waiting: WaitingRequest,
}

impl QueuePlace {
    /// Adds a request to a queue, and returns how many others go first. `ready_in` is the time until the model is ready, if the request
    /// has found out.
    pub(crate) fn enter(
        shared: &Arc<Shared>,
        entry: Entry<QueueKey, Digest>,
        ready_in: Option<Duration>,
    ) -> Result<(Self, Entered), Rejected> {
        let now = Instant::now();
        let key = entry.key.clone();
        let (entered, turn) = {
            let mut state = shared.wait_queues.lock();
            if shared.shutdown.phase() != ShutdownPhase::Run {
                state.hand_back(now);
            }
            state.enter(entry, ready_in, now)?
        };
        let waiting = WaitingRequest::new(shared, key.waiting_for());
        let (shared, departure) = (shared.clone(), Departure::Lost);
        let id = entered.id;
        let place = Self { shared, key, id, turn, entered_at: now, departure, _waiting: waiting };
        Ok((place, entered))
    }

    /// The queue.
    pub(crate) fn key(&self) -> &QueueKey {
        &self.key
    }

    /// What the request does next.
    pub(crate) fn turn(&mut self) -> Turn {
        *self.turn.borrow_and_update()
    }

    /// Waits until [`QueuePlace::turn`] has changed.
    pub(crate) async fn changed(&mut self) {
        // The sender is kept until the request is removed on drop.
        let _ = self.turn.changed().await;
    }

    /// Records the time until the model is ready, which may refuse requests of the queue, also this one.
    pub(crate) fn review(&self, ready_in: Duration) {
        let now = Instant::now();
        let mut state = self.shared.wait_queues.lock();
        state.review(&self.key, ready_in, now);
    }

    /// Records whether the request waits for a better endpoint than it could get now, so that the next one searches too.
    pub(crate) fn set_held(&self, held: bool) {
        let mut state = self.shared.wait_queues.lock();
        state.set_held(&self.key, self.id, held, Instant::now());
    }

    /// Gives the place to the reservation that the request got, which releases it when the request is about to be sent: the next one must
    /// not be sent before.
    pub(crate) fn attach(self, waiter: &Waiter<'_>, reservation: &mut Reservation) {
        let cold = self.shared.wait_queues.lock().queues.waited_for_load(&self.key, self.id);
        reservation.waited_for_load = cold;
        emit(&Event::Dequeued {
            request: waiter.request_id,
            class: waiter.class,
            model: &self.key.model.to_string(),
            waited_ms: millis(self.entered_at.elapsed()),
        });
        reservation.place = Some(self);
    }

    /// Leaves the queue because the request is sent now.
    pub(crate) fn release_served(mut self) {
        self.departure = Departure::Served;
    }
}

impl Drop for QueuePlace {
    fn drop(&mut self) {
        let now = Instant::now();
        let mut state = self.shared.wait_queues.lock();
        state.remove(&self.key, self.id, self.departure, now);
    }
}

/// Refuses the requests whose turn is not expected soon, as soon as the router is asked to stop.
pub(crate) async fn hand_back_at_stop(shared: Arc<Shared>) {
    shared.shutdown.reached(ShutdownPhase::Drain).await;
    shared.wait_queues.lock().hand_back(Instant::now());
}

/// The queues and the virtual token counters.
pub(crate) fn report(shared: &Shared) -> WaitingReport {
    let now = Instant::now();
    let state = shared.wait_queues.lock();
    let queues = state.queues.report(now).into_iter().map(|queue| QueueReport {
        service: queue.key.service,
        model: queue.key.model,
        software: queue.key.software,
        summary: summary_message(queue.summary),
        expect_ms: millis(queue.expected),
        per_s: queue.rate,
    });
    let queues = queues.collect();
    let counters = state.queues.counters().all(now).into_iter();
    let counters = counters
        .map(|(workspace, tokens)| WorkspaceCounter { workspace, tokens: whole_tokens(tokens) });
    WaitingReport { queues, counters: counters.collect() }
}

#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "counters are not negative, and only shown"
)]
fn whole_tokens(tokens: f64) -> u64 {
    tokens as u64
}

#[cfg(test)]
mod tests;
