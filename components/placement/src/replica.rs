//! Which replica serves a request where endpoints differ in speed.
//!
//! Load pattern: 25 routers send 180 streams a second to 46 endpoints of different speed, and each knows the streams of
//! the others from reports up to a second old. Replicas of a busy model are filled evenly, by share of capacity instead
//! of one after another. If all routers sent what arrives within that second to the replica that looks least busy, they
//! would overload it together. So for each request of a busy model two replicas are drawn, in proportion to their
//! capacity, and the better one is taken: however wrong the reports are, no replica is expected to get more than twice
//! its part. Requests of a model with so few requests that they can't overload a replica within a second all prefer the
//! same replica, so that the others become idle and can be evicted.

use std::time::Duration;

use catalog::ModelId;
use units::Domain;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::capacity::{is_long_target, slow_factor};
use crate::choose::{CROWDED_SLOT_SHARE, latency_step, slot_share_limit, slot_wait};
use crate::{
    Candidate, ChosenEndpoint, MAX_MODEL_SLOT_SHARE, by_capacity, choose_endpoint, memory_scarce,
};

/// Shares of capacity count as equal within this part of the capacity.
const SHARE_STEP: f64 = 0.125;
/// The age that reports on the streams of other routers reach, in seconds.
const MAX_REPORT_AGE_S: f64 = 1.0;
/// The number of replicas that are drawn for a request.
const DRAWN_REPLICAS: u8 = 2;
/// Slow replicas are preferred for requests with long targets below this share of their capacity.
const MAX_SLOW_SHARE: f64 = MAX_MODEL_SLOT_SHARE;

/// A request for a model, as the choice of its replica sees it.
#[derive(Debug, Clone, Copy)]
pub struct ReplicaRequest<'a> {
    /// The model that the replica must hold.
    pub id: &'a ModelId,
    /// The time that the median endpoint takes for the request's prompt.
    pub prefill: Duration,
    /// The time within which the caller hopes for the first event.
    pub target: Duration,
    /// Requests per second of all routers for the model.
    pub rate: f64,
    /// A random number, another one for each request.
    pub seed: u64,
}

/// Chooses the replica that gets a request; `local` is the router's failure domain. Where requests don't go by
/// capacity, it is the one of [`choose_endpoint`].
pub fn choose_replica(
    candidates: &[Candidate<'_>],
    request: &ReplicaRequest<'_>,
    local: &Domain,
) -> Option<ChosenEndpoint> {
    if !by_capacity(candidates) {
        return choose_endpoint(candidates, Some(request.id), request.prefill, local);
    }
    let scarce = memory_scarce(candidates);
    let serving = candidates.iter().enumerate().filter(|(_, candidate)| candidate.serves(request));
    let replicas: Vec<Replica<'_>> = serving
        .map(|(index, candidate)| Replica::new(index, candidate, request, scarce, local))
        .collect();
    let considered = match may_overload(&replicas, request.rate) {
        true => drawn(&replicas, request.seed),
        false => by_rank(&replicas, request.id),
    };
    let chosen = slow_replica(&replicas, &considered, request.target)
        .or_else(|| considered.into_iter().min_by_key(|replica| replica.cost))?;
    Some(ChosenEndpoint { index: chosen.index, first_event: chosen.first_event })
}

/// What makes one replica better than another, the most important first. Among equals the first one considered is taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Cost {
    /// The expected delay in steps that callers notice.
    steps: u128,
    /// The share of capacity that is taken, in steps.
    share: u64,
    remote: bool,
}

/// A candidate that can serve the request.
#[derive(Debug, Clone, Copy)]
struct Replica<'a> {
    index: usize,
    candidate: &'a Candidate<'a>,
    first_event: Duration,
    cost: Cost,
}

impl Candidate<'_> {
    fn serves(&self, request: &ReplicaRequest<'_>) -> bool {
        self.holdings.is_some_and(|held| held.serves(request.id))
    }
}

impl<'a> Replica<'a> {
    fn new(
        index: usize,
        candidate: &'a Candidate<'a>,
        request: &ReplicaRequest<'_>,
        scarce: bool,
        local: &Domain,
    ) -> Self {
        let share = candidate.capacity_share();
        let backlog = candidate.scaled(candidate.backlog);
        let delay = backlog + slot_wait(share, slot_share_limit(scarce));
        let cost = Cost {
            steps: delay.as_millis() / latency_step(scarce).as_millis(),
            share: (share / SHARE_STEP) as u64,
            remote: !scarce && candidate.endpoint.domain != *local,
        };
        let prefill = candidate.scaled(request.prefill);
        let first_event = backlog + prefill + slot_wait(share, CROWDED_SLOT_SHARE);
        Self { index, candidate, first_event, cost }
    }

    /// Whether the replica has room for requests that a slow endpoint serves in time.
    fn takes_long_target(&self, target: Duration) -> bool {
        self.candidate.next_capacity_share() < MAX_SLOW_SHARE
            && is_long_target(target, self.first_event)
    }
}

/// The slow replica that serves a request with a long target, which leaves the fast ones to short targets.
fn slow_replica<'r, 'a>(
    replicas: &[Replica<'a>],
    considered: &[&'r Replica<'a>],
    target: Duration,
) -> Option<&'r Replica<'a>> {
    let slow = slow_factor(replicas.iter().map(|replica| replica.candidate));
    let suitable = considered
        .iter()
        .filter(|replica| replica.candidate.factor() >= slow && replica.takes_long_target(target));
    suitable.min_by_key(|replica| replica.cost).copied()
}

/// Whether the requests that arrive while reports are on their way could overload a replica.
fn may_overload(replicas: &[Replica<'_>], rate: f64) -> bool {
    let capacities = replicas.iter().map(|replica| replica.candidate.capacity());
    let smallest = capacities.fold(f64::INFINITY, f64::min);
    rate * MAX_REPORT_AGE_S > smallest * SHARE_STEP
}

/// All replicas, those that all routers prefer first.
fn by_rank<'r, 'a>(replicas: &'r [Replica<'a>], id: &ModelId) -> Vec<&'r Replica<'a>> {
    let mut sorted: Vec<&Replica<'_>> = replicas.iter().collect();
    sorted.sort_by_key(|replica| replica.candidate.rank(id.model.as_str()));
    sorted
}

/// Some replicas that are drawn at random, each with a chance in proportion to its capacity.
fn drawn<'r, 'a>(replicas: &'r [Replica<'a>], seed: u64) -> Vec<&'r Replica<'a>> {
    (0..DRAWN_REPLICAS).filter_map(|draw| draw_one(replicas, seed, draw)).collect()
}

fn draw_one<'r, 'a>(replicas: &'r [Replica<'a>], seed: u64, draw: u8) -> Option<&'r Replica<'a>> {
    let total: f64 = replicas.iter().map(|replica| replica.candidate.capacity()).sum();
    let fraction = xxh3_64_with_seed(&[draw], seed) as f64 / u64::MAX as f64;
    let mut left = fraction * total;
    let drawn = replicas.iter().find(|replica| {
        left -= replica.candidate.capacity();
        left < 0.0
    });
    drawn.or(replicas.last())
}

#[cfg(test)]
mod tests;
