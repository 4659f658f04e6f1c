//! Chooses the endpoint for a grant.

use jiff::Timestamp;
use units::{Domain, EndpointId, ModelName, ReplicaIndex, ServiceName, Size};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A grant that an endpoint holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeldGrant {
    /// The model.
    pub model: ModelName,
    /// The accelerator memory that the replica takes when loaded.
    pub memory: Size,
    /// When the model's next closing window opens.
    pub next_opening: Option<Timestamp>,
}

/// An endpoint that may get a grant.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CandidateEndpoint {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Its failure domain.
    pub domain: Domain,
    /// The platform's service to which the endpoint belongs.
    pub service: ServiceName,
    /// Its accelerator memory.
    pub memory: Size,
    /// Artifacts that the endpoint has in a cache faster than the weight store.
    pub cached: Vec<ModelName>,
    /// The grants that the endpoint holds, including those that are revoked but not released yet.
    pub grants: Vec<HeldGrant>,
    /// Whether the endpoint may get new grants.
    pub accepts_grants: bool,
}

/// A replica that needs an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReplicaSpec<'a> {
    /// The model.
    pub model: &'a ModelName,
    /// The index of the replica.
    pub index: ReplicaIndex,
    /// The artifact that the engine loads.
    pub artifact: &'a ModelName,
    /// The service whose endpoints may run the replica.
    pub service: &'a ServiceName,
    /// The accelerator memory that the replica takes.
    pub memory: Size,
    /// When the model's next closing window opens.
    pub next_opening: Option<Timestamp>,
    /// The failure domains of the model's other replicas, one entry for each.
    pub other_domains: &'a [Domain],
}

/// The cost of each disadvantage of an endpoint for a replica. The endpoint with the lowest sum is chosen.
#[derive(Debug, Clone, PartialEq)]
pub struct PlacementWeights {
    /// Cost per other replica of the model in the same failure domain.
    pub same_domain: f64,
    /// Cost if the checkpoint must be loaded from the weight store.
    pub not_cached: f64,
    /// Cost of the memory of all grants of the endpoint, per multiple of the endpoint's memory.
    pub memory_use: f64,
    /// Cost of the memory by which the models with the same next opening exceed the endpoint's memory, per multiple of that
    /// memory.
    pub window_conflict: f64,
}

impl Default for PlacementWeights {
    fn default() -> Self {
        Self { same_domain: 8.0, not_cached: 1.0, memory_use: 1.0, window_conflict: 4.0 }
    }
}

impl CandidateEndpoint {
    fn can_hold(&self, replica: &ReplicaSpec<'_>) -> bool {
        self.accepts_grants
            && self.service == *replica.service
            && self.memory >= replica.memory
            && !self.grants.iter().any(|held| held.model == *replica.model)
    }

    fn cost(&self, replica: &ReplicaSpec<'_>, weights: &PlacementWeights) -> f64 {
        let same = replica.other_domains.iter().filter(|domain| **domain == self.domain).count();
        let not_cached = !self.cached.contains(replica.artifact);
        weights.same_domain * to_f64(same)
            + weights.not_cached * f64::from(u8::from(not_cached))
            + weights.memory_use * self.memory_use(replica)
            + weights.window_conflict * self.window_conflict(replica)
    }

    fn memory_use(&self, replica: &ReplicaSpec<'_>) -> f64 {
        let granted: Size = self.grants.iter().map(|held| held.memory).sum();
        ratio(granted + replica.memory, self.memory)
    }

    fn window_conflict(&self, replica: &ReplicaSpec<'_>) -> f64 {
        if replica.next_opening.is_none() {
            return 0.0;
        }
        let peers = self.grants.iter().filter(|held| held.next_opening == replica.next_opening);
        let together = peers.map(|held| held.memory).sum::<Size>() + replica.memory;
        ratio(together.saturating_sub(self.memory), self.memory)
    }
}

#[expect(clippy::cast_precision_loss, reason = "counts of replicas are small")]
fn to_f64(number: usize) -> f64 {
    number as f64
}

#[expect(clippy::cast_precision_loss, reason = "a score needs no exact bytes")]
fn ratio(part: Size, whole: Size) -> f64 {
    part.0 as f64 / whole.0.max(1) as f64
}

/// Breaks ties: all planners order the endpoints for a replica in the same way, and the order differs between replicas.
fn tie_break(seed: u64, endpoint: &EndpointId) -> u64 {
    xxh3_64_with_seed(endpoint.as_str().as_bytes(), seed)
}

/// Returns the best endpoint for a replica, as an index into `candidates`. `None` if no endpoint can hold it.
pub fn choose_endpoint(
    candidates: &[CandidateEndpoint],
    replica: &ReplicaSpec<'_>,
    weights: &PlacementWeights,
) -> Option<usize> {
    let seed = xxh3_64_with_seed(replica.model.as_str().as_bytes(), u64::from(replica.index.0));
    let fit = candidates.iter().enumerate().filter(|(_, candidate)| candidate.can_hold(replica));
    let scored = fit.map(|(i, candidate)| (candidate.cost(replica, weights), i));
    let best = scored.min_by(|a, b| {
        let by_hash = || {
            tie_break(seed, &candidates[a.1].endpoint)
                .cmp(&tie_break(seed, &candidates[b.1].endpoint))
        };
        a.0.total_cmp(&b.0).then_with(by_hash)
    });
    best.map(|(_, i)| i)
}

/// How much lower the cost of a replica would be at the best other endpoint than at the candidate `current`, which holds it.
/// `None` if no other endpoint can hold it. `replica.other_domains` are the domains of the model's other replicas.
pub fn relocation_saving(
    candidates: &[CandidateEndpoint],
    current: usize,
    replica: &ReplicaSpec<'_>,
    weights: &PlacementWeights,
) -> Option<f64> {
    let other = choose_endpoint(candidates, replica, weights)?;
    let mut here = candidates[current].clone();
    here.grants.retain(|held| held.model != *replica.model);
    Some(here.cost(replica, weights) - candidates[other].cost(replica, weights))
}

#[cfg(test)]
mod tests;
