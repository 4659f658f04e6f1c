//! Choosing among the endpoints that may serve a request.

use rand::{Rng, RngExt};
use units::EndpointId;

use crate::breaker::Admission;

/// What it costs to leave the failure domain, as a share of a replica's batch: a far endpoint is
/// chosen once the near ones are busier by this much.
const FAR: f64 = 0.25;
/// How full the first replicas may be, as a share of their batches, before requests spread to the next:
/// replicas that are not needed get no request, fall idle and free their accelerator.
const PACKED: f64 = 0.625;

/// One endpoint to choose from.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Choice {
    pub(crate) endpoint: EndpointId,
    /// Whether it is in the entry's failure domain.
    pub(crate) near: bool,
    /// Requests that run or wait there.
    pub(crate) requests: f64,
    /// The same, as an upper estimate.
    pub(crate) lasting: f64,
    pub(crate) admission: Admission,
    /// What a prefix that is probably cached there saves, as a share of the time that a request runs.
    pub(crate) saves: f64,
}

/// How to choose.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Policy {
    /// How many choices, from the first on, are awake; all requests go to the first while none is.
    pub(crate) awake: usize,
    /// Whether requests stay at the first replicas that have room for them.
    pub(crate) packed: bool,
    /// How many requests one replica runs at the same time.
    pub(crate) batch: u32,
    /// Whether the request may serve as the probe of an ejected endpoint.
    pub(crate) probes: bool,
}

/// Chooses one: the first of a cold model, else the cheapest of two near ones and a far one.
pub(crate) fn pick(choices: &[Choice], policy: &Policy, rng: &mut impl Rng) -> Option<usize> {
    let open = admitted(choices, policy);
    let awake: Vec<usize> = open.iter().copied().filter(|&at| at < policy.awake).collect();
    if awake.is_empty() {
        return open.first().copied();
    }
    let awake = if policy.packed { needed(choices, &awake, policy) } else { awake };
    let mut sampled = sample(choices, &awake, rng);
    sampled.extend(awake.iter().filter(|&&at| choices[at].saves > 0.0));
    cheapest(choices, &sampled, policy)
}

/// The choices that are not ejected; all of them if each one is, since a refusal helps nobody.
fn admitted(choices: &[Choice], policy: &Policy) -> Vec<usize> {
    let every = 0..choices.len();
    let open = every.clone().filter(|&at| match choices[at].admission {
        Admission::Closed | Admission::Overdue => true,
        Admission::Probe => policy.probes,
        Admission::Open => false,
    });
    let open: Vec<usize> = open.collect();
    if open.is_empty() { every.collect() } else { open }
}

/// The fewest of the awake replicas, from the first on, that have room for one request more.
fn needed(choices: &[Choice], awake: &[usize], policy: &Policy) -> Vec<usize> {
    let room = PACKED * f64::from(policy.batch);
    let mut free = 0.0;
    let mut chosen = Vec::new();
    for &at in awake {
        chosen.push(at);
        free += room - choices[at].lasting;
        if free > 0.0 {
            break;
        }
    }
    chosen
}

/// Up to two near choices and one far one; two far ones where none is near.
fn sample(choices: &[Choice], among: &[usize], rng: &mut impl Rng) -> Vec<usize> {
    let (near, far): (Vec<usize>, Vec<usize>) =
        among.iter().copied().partition(|&at| choices[at].near);
    let far_count = if near.is_empty() { 2 } else { 1 };
    let mut sampled = draw(near, 2, rng);
    sampled.extend(draw(far, far_count, rng));
    sampled
}

fn draw(mut from: Vec<usize>, count: usize, rng: &mut impl Rng) -> Vec<usize> {
    let count = count.min(from.len());
    for place in 0..count {
        let other = rng.random_range(place..from.len());
        from.swap(place, other);
    }
    from.truncate(count);
    from
}

fn cheapest(choices: &[Choice], sampled: &[usize], policy: &Policy) -> Option<usize> {
    let costs = sampled.iter().map(|&at| (at, cost(&choices[at], policy)));
    costs.min_by(|a, b| a.1.total_cmp(&b.1)).map(|(at, _)| at)
}

/// Requests ahead, with the way there counted as requests, and so is the time that a cached prefix saves: a
/// whole batch ahead is a wait of one request's time, so no wait is longer by more than what is saved.
fn cost(choice: &Choice, policy: &Policy) -> f64 {
    let batch = f64::from(policy.batch);
    let way = if choice.near { 0.0 } else { FAR * batch };
    choice.requests + way - choice.saves * batch
}

#[cfg(test)]
mod tests;
