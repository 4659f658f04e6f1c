//! All queues of a router, with what they have in common.

use std::collections::HashMap;
use std::hash::Hash;
use std::time::Duration;

use tokio::time::Instant;
use units::WorkspaceName;

use crate::counters::TokenCounters;
use crate::queue::{Departure, Rejected, RejectionCause, WaitQueue};
use crate::returns::ReturnTable;
use crate::summary::{QueueState, QueueSummary};
use crate::ticket::{Arrival, TicketId};

/// How long an empty queue is kept, for the rate that it was served at.
const KEEP_EMPTY: Duration = Duration::from_secs(10);

/// A request that asks to wait.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry<K, D> {
    /// The queue.
    pub key: K,
    /// Identifies the request if its caller sends it again.
    pub digest: D,
    /// What the request needs.
    pub arrival: Arrival,
}

/// A request that was added to a queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Entered {
    /// Identifies the request.
    pub id: TicketId,
    /// How many requests go first.
    pub position: usize,
    /// The number of requests in the queue, with this one.
    pub length: usize,
    /// The time until the turn of the request.
    pub expected: Duration,
}

/// The searching request of a queue has changed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TurnChange {
    /// The request that searched before and still waits.
    pub before: Option<TicketId>,
    /// The request that searches now.
    pub now: Option<TicketId>,
}

/// A request that was removed from a queue because it is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Removed {
    /// Identifies the request.
    pub id: TicketId,
    /// Why it is refused.
    pub rejected: Rejected,
}

#[derive(Debug)]
struct QueueSlot<D> {
    queue: WaitQueue,
    /// The request that searches.
    searching: Option<TicketId>,
    digests: HashMap<TicketId, D>,
}

impl<D> Default for QueueSlot<D> {
    fn default() -> Self {
        Self { queue: WaitQueue::default(), searching: None, digests: HashMap::new() }
    }
}

/// All queues of a router.
#[derive(Debug)]
pub struct Queues<K, D> {
    slots: HashMap<K, QueueSlot<D>>,
    counters: TokenCounters,
    returns: ReturnTable<D>,
    next_id: u64,
    pruned: Option<Instant>,
    stopping: bool,
}

impl<K, D> Default for Queues<K, D> {
    fn default() -> Self {
        Self {
            slots: HashMap::new(),
            counters: TokenCounters::default(),
            returns: ReturnTable::default(),
            next_id: 0,
            pruned: None,
            stopping: false,
        }
    }
}

impl<K: Clone + Eq + Hash + Ord, D: Clone + Eq + Hash> Queues<K, D> {
    /// Whether no request waits in a queue.
    pub fn is_empty(&self, key: &K) -> bool {
        self.slots.get(key).is_none_or(|slot| slot.queue.is_empty())
    }

    /// Adds a request to a queue. `ready_in` is the time until the model is ready, if the request has found out.
    pub fn enter(
        &mut self,
        entry: Entry<K, D>,
        ready_in: Option<Duration>,
        now: Instant,
    ) -> Result<Entered, Rejected> {
        if self.stopping {
            return Err(Rejected { cause: RejectionCause::Stopping, after: Duration::ZERO });
        }
        self.prune(now);
        let Entry { key, digest, arrival } = entry;
        let returning = self.returns.recognize(&digest, now);
        let id = TicketId(self.next_id);
        self.next_id += 1;
        let account = arrival.workspace.clone();
        self.counters.begin_waiting(&account, now);
        let slot = self.slots.entry(key).or_default();
        if let Some(ready_in) = ready_in {
            slot.queue.set_ready_in(ready_in, now);
        }
        match slot.queue.push(id, arrival, returning, &self.counters, now) {
            Ok(position) => {
                slot.digests.insert(id, digest);
                let expected = slot.queue.forecast(position, now);
                Ok(Entered { id, position, length: slot.queue.len(), expected })
            }
            Err(rejected) => {
                self.counters.end_waiting(&account);
                self.returns.promise(digest, now + rejected.after, now);
                Err(rejected)
            }
        }
    }

    /// Removes a request, if it still waits. The tokens of a served request are counted.
    pub fn remove(&mut self, key: &K, id: TicketId, departure: Departure, now: Instant) {
        let Some(slot) = self.slots.get_mut(key) else { return };
        let Some(ticket) = slot.queue.remove(id, departure, now) else { return };
        slot.digests.remove(&id);
        self.counters.end_waiting(&ticket.arrival.workspace);
        if departure == Departure::Served {
            self.counters.charge(&ticket.arrival.workspace, ticket.arrival.tokens, now);
        }
    }

    /// Whether the model was not ready at some time since a request began to wait.
    pub fn waited_for_load(&self, key: &K, id: TicketId) -> bool {
        self.slots.get(key).is_some_and(|slot| slot.queue.waited_for_load(id))
    }

    /// Counts the tokens of a request that was sent to an endpoint without waiting.
    pub fn charge(&mut self, workspace: &Option<WorkspaceName>, tokens: u64, now: Instant) {
        self.counters.charge(workspace, tokens, now);
    }

    /// Records whether a request waits for a better endpoint than it could get now.
    pub fn set_held(&mut self, key: &K, id: TicketId, held: bool) {
        if let Some(slot) = self.slots.get_mut(key) {
            slot.queue.set_held(id, held);
        }
    }

    /// Records the time until the model of a queue is ready, and removes the requests whose turn can't come in time any more.
    pub fn review(&mut self, key: &K, ready_in: Duration, now: Instant) -> Vec<Removed> {
        let Some(slot) = self.slots.get_mut(key) else { return Vec::new() };
        slot.queue.set_ready_in(ready_in, now);
        let mut rejected = slot.queue.review(&self.counters, now);
        if self.stopping {
            rejected.extend(slot.queue.hand_back(&self.counters, now));
        }
        let mut removed = Vec::new();
        for (ticket, rejected) in rejected {
            self.counters.end_waiting(&ticket.arrival.workspace);
            let digest = slot.digests.remove(&ticket.id);
            if let Some(digest) = digest.filter(|_| rejected.cause != RejectionCause::Stopping) {
                self.returns.promise(digest, now + rejected.after, now);
            }
            removed.push(Removed { id: ticket.id, rejected });
        }
        removed
    }

    /// The request of a queue that searches.
    pub fn head(&self, key: &K) -> Option<TicketId> {
        self.slots.get(key)?.searching
    }

    /// Chooses the request of a queue that searches now; none if that has not changed.
    pub fn update_turn(&mut self, key: &K, now: Instant) -> Option<TurnChange> {
        let slot = self.slots.get_mut(key)?;
        let head = slot.queue.head(&self.counters, now);
        let before = std::mem::replace(&mut slot.searching, head);
        if before == head {
            return None;
        }
        let before = before.filter(|id| slot.queue.ticket(*id).is_some());
        Some(TurnChange { before, now: head })
    }

    /// Removes the requests whose turn is not expected soon, because the router stops. From then on no request is added.
    pub fn hand_back(&mut self, now: Instant) -> Vec<(K, Removed)> {
        self.stopping = true;
        let mut removed = Vec::new();
        for (key, slot) in &mut self.slots {
            for (ticket, rejected) in slot.queue.hand_back(&self.counters, now) {
                self.counters.end_waiting(&ticket.arrival.workspace);
                slot.digests.remove(&ticket.id);
                removed.push((key.clone(), Removed { id: ticket.id, rejected }));
            }
        }
        removed
    }

    /// Summarizes the requests in all queues that `chosen` selects; none if there are none.
    pub fn summary(&self, chosen: impl Fn(&K) -> bool, now: Instant) -> Option<QueueSummary> {
        let slots = self.slots.iter().filter(|(key, _)| chosen(key));
        QueueSummary::of(slots.flat_map(|(_, slot)| slot.queue.tickets()), now)
    }

    /// The queues in which requests wait, in the order of their keys.
    pub fn report(&self, now: Instant) -> Vec<QueueState<K>> {
        let states = self.slots.iter().filter_map(|(key, slot)| {
            let summary = slot.queue.summary(now)?;
            let expected = slot.queue.forecast(slot.queue.len(), now);
            Some(QueueState { key: key.clone(), summary, expected, rate: slot.queue.rate() })
        });
        let mut states: Vec<QueueState<K>> = states.collect();
        states.sort_by(|one, other| one.key.cmp(&other.key));
        states
    }

    /// The virtual token counters.
    pub fn counters(&self) -> &TokenCounters {
        &self.counters
    }

    /// Forgets queues that have been empty for a while, once a second at most.
    fn prune(&mut self, now: Instant) {
        let due = self.pruned.is_none_or(|pruned| now - pruned > Duration::from_secs(1));
        if !due {
            return;
        }
        self.pruned = Some(now);
        if let Some(limit) = now.checked_sub(KEEP_EMPTY) {
            self.slots.retain(|_, slot| !slot.queue.empty_since(limit));
        }
    }
}

#[cfg(test)]
mod tests;
