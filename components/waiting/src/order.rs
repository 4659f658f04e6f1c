//! The order in which the requests of one queue are served.
//!
//! Load pattern: requests of several workspaces wait for one model. They are served as if each workspace got the same number of
//! tokens per second, and by urgency within a workspace.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;
use units::WorkspaceName;

use crate::counters::{TokenCounters, tokens_of};
use crate::ticket::{Ticket, TicketId};

/// What decides between two requests of one workspace; the lower one goes first.
type Rank = (bool, u8, bool, Instant, TicketId);

fn rank(ticket: &Ticket, ready_at: Instant) -> Rank {
    let arrival = &ticket.arrival;
    let misses_target = ready_at > arrival.target;
    (!ticket.returning, arrival.priority, misses_target, arrival.deadline, ticket.id)
}

/// The positions of the tickets in the order in which they are served. `ready_in` is the time until the model is ready.
pub(crate) fn order(
    tickets: &[Ticket],
    counters: &TokenCounters,
    ready_in: Duration,
    now: Instant,
) -> Vec<usize> {
    let ready_at = now + ready_in;
    let mut workspaces: BTreeMap<Option<&WorkspaceName>, Vec<usize>> = BTreeMap::new();
    for (index, ticket) in tickets.iter().enumerate() {
        workspaces.entry(ticket.arrival.workspace.as_ref()).or_default().push(index);
    }
    let mut tagged = Vec::with_capacity(tickets.len());
    for (workspace, mut indexes) in workspaces {
        indexes.sort_by_key(|index| rank(&tickets[*index], ready_at));
        // The counter of the workspace when the turn of each request comes.
        let mut counter = counters.tokens(&workspace.cloned(), now);
        for index in indexes {
            tagged.push((counter, index));
            counter += tokens_of(tickets[index].arrival.tokens);
        }
    }
    tagged.sort_by(|(one, first), (other, second)| {
        let ranks = || rank(&tickets[*first], ready_at).cmp(&rank(&tickets[*second], ready_at));
        one.total_cmp(other).then_with(ranks)
    });
    tagged.into_iter().map(|(_, index)| index).collect()
}

#[cfg(test)]
mod tests;
