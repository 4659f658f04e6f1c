//! Selects the routers that coordinate a workspace: they promise tokens, and pool the shares of the other routers.
//!
//! Load pattern: with hundreds of routers, the share of one of them is smaller than a single request. A few routers, the same for
//! all that know the same roster, therefore lease the shares of the others. A router that knows another roster selects others; that
//! costs promises, and never tokens, since each router leases its own share to one router at a time.

use std::net::{IpAddr, SocketAddr};

use xxhash_rust::xxh3::{Xxh3, xxh3_64_with_seed};

use crate::BucketSpec;

/// How many typical requests the bucket of a coordinator holds at least, so that large requests fit too and requests are spread
/// evenly enough.
const POOLED_REQUESTS: f64 = 32.0;

/// The number of coordinators of a workspace whose typical request has this cost. It follows from the configuration only, so that
/// all routers agree on it.
pub fn coordinator_count(terms: BucketSpec, typical_cost: f64) -> usize {
    let count = terms.capacity / (typical_cost.max(1.0) * POOLED_REQUESTS);
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a small positive number; larger ones saturate"
    )]
    let count = count.max(1.0) as usize;
    count
}

/// Identifies a request by these parts, which do not change when its caller sends it again.
pub fn fingerprint(parts: &[&[u8]]) -> u64 {
    let mut hash = Xxh3::new();
    for part in parts {
        // The lengths are hashed as well, so that moving the boundary between two parts changes the fingerprint.
        hash.update(&(part.len() as u64).to_be_bytes());
        hash.update(part);
    }
    hash.digest()
}

/// All routers in the order in which they coordinate a workspace.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Coordinators {
    ranked: Vec<SocketAddr>,
    count: usize,
}

impl Coordinators {
    /// Selects `count` of the routers by rendezvous hashing of the workspace's name.
    pub fn new(
        workspace: &str,
        routers: impl IntoIterator<Item = SocketAddr>,
        count: usize,
    ) -> Self {
        let seed = xxh3_64_with_seed(workspace.as_bytes(), 0);
        let mut ranked: Vec<(u64, SocketAddr)> =
            routers.into_iter().map(|addr| (score(seed, addr), addr)).collect();
        ranked.sort_unstable();
        let count = count.min(ranked.len());
        Self { ranked: ranked.into_iter().map(|(_, addr)| addr).collect(), count }
    }

    /// The coordinator that is responsible for a request. One of all routers is chosen by rendezvous hashing of the request's
    /// fingerprint; the coordinator is the one that leases its share. Coordinators thus get requests in proportion to their shares.
    pub fn responsible(&self, fingerprint: u64) -> Option<SocketAddr> {
        let chosen =
            (0..self.ranked.len()).max_by_key(|at| score(fingerprint, self.ranked[*at]))?;
        self.ranked.get(chosen % self.count.max(1)).copied()
    }

    /// The routers whose shares this coordinator leases: about as many for each coordinator.
    pub fn members(&self, coordinator: SocketAddr) -> Vec<SocketAddr> {
        let place = self.ranked.iter().take(self.count).position(|addr| *addr == coordinator);
        let Some(place) = place else { return Vec::new() };
        let members = self.ranked.iter().skip(self.count + place);
        members.step_by(self.count).copied().collect()
    }
}

fn score(seed: u64, addr: SocketAddr) -> u64 {
    let port = addr.port().to_be_bytes();
    let port_seed = xxh3_64_with_seed(&port, seed);
    match addr.ip() {
        IpAddr::V4(ip) => xxh3_64_with_seed(&ip.octets(), port_seed),
        IpAddr::V6(ip) => xxh3_64_with_seed(&ip.octets(), port_seed),
    }
}

#[cfg(test)]
mod tests;
