//! The queue of the requests that wait for one model.
//!
//! Load pattern: many requests wait for one model, more than can be served before their deadlines. Those whose turn can't come in
//! time are refused as soon as that is known, with the time at which they would have a turn.

use std::time::Duration;

use tokio::time::Instant;

use crate::counters::TokenCounters;
use crate::order::order;
use crate::rate::RateMeter;
use crate::summary::QueueSummary;
use crate::ticket::{Arrival, Ticket, TicketId};

/// The most requests in a queue.
pub const MAX_QUEUE_LENGTH: usize = 1_024;
/// A refused caller is never asked to return sooner, so that callers don't return in one burst.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(250);
/// A refused caller is never asked to return later: the state of a queue can't be foreseen for a longer time.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);
/// A router that is asked to stop keeps the requests whose turn comes within this time.
const STOP_TIME: Duration = Duration::from_millis(500);

/// Why a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RejectionCause {
    /// The model is not ready in time.
    ModelNotReady,
    /// The model is ready in time, but too many requests go first.
    QueueTooLong,
    /// The router stops.
    Stopping,
}

/// A request that is refused without having been served.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Rejected {
    /// Why the request is refused.
    pub cause: RejectionCause,
    /// The time after which the request would have a turn.
    pub after: Duration,
}

/// How a request leaves a queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Departure {
    /// An endpoint serves the request.
    Served,
    /// The request was refused, or its caller left.
    Lost,
}

/// The queue of the requests that wait for one model.
#[derive(Debug, Default)]
pub struct WaitQueue {
    tickets: Vec<Ticket>,
    rate: RateMeter,
    ready_at: Option<Instant>,
    /// When the model was last known not to be ready.
    not_ready: Option<Instant>,
    /// The latest time that a refused caller was told.
    promised: Option<Instant>,
    /// When the last request left the queue empty.
    emptied: Option<Instant>,
}

impl WaitQueue {
    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.tickets.is_empty()
    }

    /// The number of requests that wait.
    pub fn len(&self) -> usize {
        self.tickets.len()
    }

    /// A request that waits.
    pub fn ticket(&self, id: TicketId) -> Option<&Ticket> {
        self.tickets.iter().find(|ticket| ticket.id == id)
    }

    pub(crate) fn tickets(&self) -> &[Ticket] {
        &self.tickets
    }

    /// Whether the queue has been empty since before `time`.
    pub(crate) fn empty_since(&self, time: Instant) -> bool {
        self.is_empty() && self.emptied.is_none_or(|emptied| emptied < time)
    }

    /// The time until the model is ready.
    pub fn ready_in(&self, now: Instant) -> Duration {
        self.ready_at.map_or(Duration::ZERO, |ready| ready.saturating_duration_since(now))
    }

    /// Requests per second that the queue lately served, if known.
    pub fn rate(&self) -> Option<f64> {
        self.rate.per_second()
    }

    /// The time until the turn of the request at a position; 0 is the next one.
    pub fn forecast(&self, position: usize, now: Instant) -> Duration {
        let position = u32::try_from(position).unwrap_or(u32::MAX);
        let ahead = self.rate().map_or(0.0, |rate| f64::from(position) / rate);
        let ahead = Duration::try_from_secs_f64(ahead).unwrap_or(Duration::MAX);
        self.ready_in(now).saturating_add(ahead)
    }

    /// Adds a request, and returns its position, or why it is refused.
    pub fn push(
        &mut self,
        id: TicketId,
        arrival: Arrival,
        returning: bool,
        counters: &TokenCounters,
        now: Instant,
    ) -> Result<usize, Rejected> {
        if self.len() >= MAX_QUEUE_LENGTH {
            let after = self.promise(self.forecast(self.len(), now), now);
            return Err(Rejected { cause: RejectionCause::QueueTooLong, after });
        }
        if self.is_empty() {
            self.rate.resume(now);
        }
        let deadline = arrival.deadline;
        self.tickets.push(Ticket { id, arrival, since: now, returning, held: false });
        let position = self.order(counters, now).iter().position(|other| *other == id);
        let position = position.unwrap_or(self.tickets.len() - 1);
        match self.reject(position, deadline, now) {
            None => Ok(position),
            Some(rejected) => {
                self.tickets.pop();
                Err(rejected)
            }
        }
    }

    /// Removes a request, if it still waits.
    pub fn remove(&mut self, id: TicketId, departure: Departure, now: Instant) -> Option<Ticket> {
        let index = self.tickets.iter().position(|ticket| ticket.id == id)?;
        if departure == Departure::Served {
            // The model is ready, whatever was expected.
            self.rate.advance(true, now);
            self.rate.record_served();
            self.ready_at = None;
        }
        let ticket = self.tickets.swap_remove(index);
        if self.is_empty() {
            self.emptied = Some(now);
        }
        Some(ticket)
    }

    /// The request that searches for an endpoint.
    pub fn head(&self, counters: &TokenCounters, now: Instant) -> Option<TicketId> {
        let order = order(&self.tickets, counters, self.ready_in(now), now);
        order.into_iter().map(|index| &self.tickets[index]).find(|one| !one.held).map(|one| one.id)
    }

    /// Records whether a request waits for a better endpoint than it could get now. It keeps no other request waiting.
    pub fn set_held(&mut self, id: TicketId, held: bool) {
        if let Some(ticket) = self.tickets.iter_mut().find(|ticket| ticket.id == id) {
            ticket.held = held;
        }
    }

    /// Records after which time the model is expected to be ready.
    pub fn set_ready_in(&mut self, ready_in: Duration, now: Instant) {
        self.rate.advance(self.ready_in(now).is_zero(), now);
        self.ready_at = now.checked_add(ready_in).filter(|_| !ready_in.is_zero());
        if !ready_in.is_zero() {
            self.not_ready = Some(now);
        }
    }

    /// Whether the model was not ready at some time since a request began to wait.
    pub fn waited_for_load(&self, id: TicketId) -> bool {
        self.ticket(id).is_some_and(|ticket| self.not_ready.is_some_and(|at| at >= ticket.since))
    }

    /// Removes the requests whose turn can't come in time any more.
    pub fn review(&mut self, counters: &TokenCounters, now: Instant) -> Vec<(Ticket, Rejected)> {
        let order = self.order(counters, now);
        let mut rejected = Vec::new();
        let mut position = 0;
        for id in order {
            let Some(deadline) = self.ticket(id).map(|ticket| ticket.arrival.deadline) else {
                continue;
            };
            match self.reject(position, deadline, now) {
                None => position += 1,
                Some(rejection) => {
                    let removed = self.remove(id, Departure::Lost, now);
                    rejected.extend(removed.map(|ticket| (ticket, rejection)));
                }
            }
        }
        rejected
    }

    /// Removes the requests whose turn is not expected soon, because the router stops.
    pub fn hand_back(&mut self, counters: &TokenCounters, now: Instant) -> Vec<(Ticket, Rejected)> {
        let rejection = Rejected { cause: RejectionCause::Stopping, after: Duration::ZERO };
        let order = self.order(counters, now);
        let late = order.into_iter().enumerate().filter(|(position, id)| {
            let held = self.ticket(*id).is_some_and(|ticket| ticket.held);
            !held && self.forecast(*position, now) > STOP_TIME
        });
        let late: Vec<TicketId> = late.map(|(_, id)| id).collect();
        let removed = late.into_iter().filter_map(|id| self.remove(id, Departure::Lost, now));
        removed.map(|ticket| (ticket, rejection)).collect()
    }

    /// Summarizes the requests that wait; none if there are none.
    pub fn summary(&self, now: Instant) -> Option<QueueSummary> {
        QueueSummary::of(self.tickets.iter(), now)
    }

    /// The requests in the order in which they are served.
    fn order(&self, counters: &TokenCounters, now: Instant) -> Vec<TicketId> {
        let order = order(&self.tickets, counters, self.ready_in(now), now);
        order.into_iter().map(|index| self.tickets[index].id).collect()
    }

    /// Refuses the request at a position if its turn can't come before its deadline.
    fn reject(&mut self, position: usize, deadline: Instant, now: Instant) -> Option<Rejected> {
        let left = deadline.saturating_duration_since(now);
        let forecast = self.forecast(position, now);
        if now < deadline && forecast <= left {
            return None;
        }
        let cause = if self.ready_in(now) > left {
            RejectionCause::ModelNotReady
        } else {
            RejectionCause::QueueTooLong
        };
        Some(Rejected { cause, after: self.promise(forecast, now) })
    }

    /// The time after which a refused caller has a turn. Callers that are refused one after another get times as far apart as the
    /// queue serves them.
    fn promise(&mut self, forecast: Duration, now: Instant) -> Duration {
        let step = self.rate().map(|rate| {
            Duration::from_secs_f64(
                rate.max(f64::MIN_POSITIVE).recip().min(MAX_RETRY_AFTER.as_secs_f64()),
            )
        });
        let next = self.promised.zip(step).map(|(last, step)| last + step);
        let spread = next.map_or(Duration::ZERO, |next| next.saturating_duration_since(now));
        let after = forecast.max(spread).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
        self.promised = Some(now + after);
        after
    }
}

#[cfg(test)]
mod tests;
