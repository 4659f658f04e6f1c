//! Choosing the endpoint for a grant.

use jiff::Timestamp;
use units::{Domain, EndpointId, ModelName, ReplicaIndex, ServiceName, Size};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A grant that an endpoint holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Held {
    /// The model.
    pub model: ModelName,
    /// The accelerator memory it takes when loaded.
    pub need: Size,
    /// When its next closing window opens.
    pub opens: Option<Timestamp>,
}

/// What placement knows of an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Host {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Its failure domain.
    pub domain: Domain,
    /// The platform's service it belongs to.
    pub service: ServiceName,
    /// Its accelerator memory.
    pub memory: Size,
    /// Artifacts that it has in a cache faster than the store.
    pub cached: Vec<ModelName>,
    /// The grants it holds, with the revoked that are not released yet.
    pub held: Vec<Held>,
    /// Whether it may be given new grants.
    pub open: bool,
}

/// A replica that needs an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Wish<'a> {
    /// The model.
    pub model: &'a ModelName,
    /// Which replica.
    pub index: ReplicaIndex,
    /// What the engine loads.
    pub artifact: &'a ModelName,
    /// The service whose endpoints may serve it.
    pub service: &'a ServiceName,
    /// The accelerator memory it takes.
    pub need: Size,
    /// When its next closing window opens.
    pub opens: Option<Timestamp>,
    /// The failure domains of the model's other replicas, one entry for each.
    pub domains: &'a [Domain],
}

/// What a flaw of a place costs; the place with the lowest sum is chosen.
#[derive(Debug, Clone, PartialEq)]
pub struct Weights {
    /// For each replica of the model in the same failure domain.
    pub domain: f64,
    /// If the checkpoint must come from the store.
    pub remote: f64,
    /// For each time that the grants of the endpoint fill its memory.
    pub load: f64,
    /// For each endpoint memory by which models of the same window do not fit together.
    pub clash: f64,
}

impl Default for Weights {
    fn default() -> Self {
        Self { domain: 8.0, remote: 1.0, load: 1.0, clash: 4.0 }
    }
}

impl Host {
    fn can_hold(&self, wish: &Wish<'_>) -> bool {
        self.open
            && self.service == *wish.service
            && self.memory >= wish.need
            && !self.held.iter().any(|held| held.model == *wish.model)
    }

    fn cost(&self, wish: &Wish<'_>, weights: &Weights) -> f64 {
        let same = wish.domains.iter().filter(|domain| **domain == self.domain).count();
        let remote = !self.cached.contains(wish.artifact);
        weights.domain * count(same)
            + weights.remote * f64::from(u8::from(remote))
            + weights.load * self.load(wish)
            + weights.clash * self.clash(wish)
    }

    fn load(&self, wish: &Wish<'_>) -> f64 {
        let granted: Size = self.held.iter().map(|held| held.need).sum();
        ratio(granted + wish.need, self.memory)
    }

    fn clash(&self, wish: &Wish<'_>) -> f64 {
        if wish.opens.is_none() {
            return 0.0;
        }
        let peers = self.held.iter().filter(|held| held.opens == wish.opens);
        let together = peers.map(|held| held.need).sum::<Size>() + wish.need;
        ratio(together.saturating_sub(self.memory), self.memory)
    }
}

#[expect(clippy::cast_precision_loss, reason = "counts of replicas are small")]
fn count(number: usize) -> f64 {
    number as f64
}

#[expect(clippy::cast_precision_loss, reason = "a score needs no exact bytes")]
fn ratio(part: Size, whole: Size) -> f64 {
    part.0 as f64 / whole.0.max(1) as f64
}

/// Breaks ties: all planners order the endpoints of a replica alike, each replica differently.
fn tie(seed: u64, endpoint: &EndpointId) -> u64 {
    xxh3_64_with_seed(endpoint.as_str().as_bytes(), seed)
}

/// The best endpoint for a replica, as an index into `hosts`; `None` if none can hold it.
pub fn place(hosts: &[Host], wish: &Wish<'_>, weights: &Weights) -> Option<usize> {
    let seed = xxh3_64_with_seed(wish.model.as_str().as_bytes(), u64::from(wish.index.0));
    let fit = hosts.iter().enumerate().filter(|(_, host)| host.can_hold(wish));
    let scored = fit.map(|(i, host)| (host.cost(wish, weights), i));
    let best = scored.min_by(|a, b| {
        let tied = || tie(seed, &hosts[a.1].endpoint).cmp(&tie(seed, &hosts[b.1].endpoint));
        a.0.total_cmp(&b.0).then_with(tied)
    });
    best.map(|(_, i)| i)
}

/// How much less another place would cost a replica than the host at index `at`, which holds it;
/// `None` if no other can hold it. `wish.domains` are those of the model's other replicas.
pub fn saving(hosts: &[Host], at: usize, wish: &Wish<'_>, weights: &Weights) -> Option<f64> {
    let other = place(hosts, wish, weights)?;
    let mut here = hosts[at].clone();
    here.held.retain(|held| held.model != *wish.model);
    Some(here.cost(wish, weights) - hosts[other].cost(wish, weights))
}

#[cfg(test)]
mod tests;
