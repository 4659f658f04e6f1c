//! Tests of the order of a queue.

use rstest::rstest;

use super::*;
use crate::tests::{arrival, seconds, workspace};

fn ticket(id: u64, name: &str, now: Instant) -> Ticket {
    let arrival = arrival(name, 10.0, now);
    Ticket { id: TicketId(id), arrival, since: now, returning: false, held: false }
}

/// One workspace with many requests would be served before a workspace with few that came a moment later.
#[test]
fn workspaces_are_served_in_turn_whatever_the_number_of_their_requests() {
    let now = Instant::now();
    let mut tickets: Vec<Ticket> = (0..6).map(|id| ticket(id, "many", now)).collect();
    tickets.extend((6..8).map(|id| ticket(id, "few", now)));
    let order = order(&tickets, &TokenCounters::default(), Duration::ZERO, now);
    assert_eq!(order, [0, 6, 1, 7, 2, 3, 4, 5]);
}

/// A workspace that was served more than the others would go on being served first.
#[test]
fn the_workspace_that_was_served_the_fewest_tokens_goes_first() {
    let now = Instant::now();
    let mut counters = TokenCounters::default();
    counters.charge(&workspace("a"), 250, now);
    let tickets =
        [ticket(0, "a", now), ticket(1, "b", now), ticket(2, "b", now), ticket(3, "b", now)];
    assert_eq!(order(&tickets, &counters, Duration::ZERO, now), [1, 2, 3, 0]);
}

/// Each criterion would be without effect if a later one decided before it.
#[rstest]
#[case::a_returning_caller_before_a_higher_priority(|one: &mut Ticket, other: &mut Ticket| {
    one.returning = true;
    other.arrival.priority = 0;
})]
#[case::a_higher_priority_before_a_target_that_can_be_met(|one: &mut Ticket, other: &mut Ticket| {
    one.arrival.priority = 0;
    one.arrival.target = one.since;
    other.arrival.deadline -= seconds(1.0);
})]
#[case::a_target_that_can_be_met_before_an_earlier_deadline(|one: &mut Ticket, other: &mut Ticket| {
    other.arrival.target = other.since;
    other.arrival.deadline -= seconds(1.0);
    one.arrival.priority = other.arrival.priority;
})]
#[case::an_earlier_deadline_before_an_earlier_arrival(|one: &mut Ticket, _: &mut Ticket| {
    one.arrival.deadline -= seconds(1.0);
})]
fn within_a_workspace_the_criteria_apply_in_their_order(
    #[case] change: fn(&mut Ticket, &mut Ticket),
) {
    let now = Instant::now();
    let (mut one, mut other) = (ticket(1, "a", now), ticket(0, "a", now));
    change(&mut one, &mut other);
    let order = order(&[other, one], &TokenCounters::default(), seconds(2.0), now);
    assert_eq!(order, [1, 0]);
}
