//! Which mirrors a follower uses.

use units::{Domain, EndpointId};
use xxhash_rust::xxh3::xxh3_64;

/// The most followers that a mirror should have: one answers a few questions a second of each.
const MAX_FOLLOWERS: u32 = 64;
/// With fewer followers to a failure domain, mirrors would make about as many calls to the store as their followers save.
const MIN_FOLLOWERS: u32 = 12;
/// Until followers are counted, one is assumed for this many loaders.
const ASSUMED_LOADERS_PER_FOLLOWER: usize = 2;
/// How many mirrors a follower tries, beyond those in regular use, before it reads the store itself.
const SPARE_MIRRORS: usize = 3;

/// What a follower knows about the size of the deployment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Fleet {
    /// All followers.
    pub followers: u32,
    /// The failure domains that they are spread over.
    pub domains: u32,
}

impl Fleet {
    /// An estimate from the followers that were counted. While the count is not complete, `loaders` is the number of all loaders, and
    /// otherwise 0: all processes start together, and without an assumption each follower would read the store until it is complete.
    pub fn estimate(counted: u32, loaders: usize, domains: usize) -> Self {
        let assumed = u32::try_from(loaders / ASSUMED_LOADERS_PER_FOLLOWER).unwrap_or(u32::MAX);
        let domains = u32::try_from(domains).unwrap_or(u32::MAX);
        Self { followers: counted.max(assumed), domains }
    }

    /// The number of mirrors in regular use in each failure domain; 0 if followers read the store themselves.
    pub fn mirrors(self) -> u32 {
        let followers = self.followers / self.domains.max(1);
        if followers < MIN_FOLLOWERS { 0 } else { followers.div_ceil(MAX_FOLLOWERS) }
    }
}

/// The mirrors that a follower uses, the preferred one first. `candidates` are the endpoints of the follower's failure domain whose
/// loaders can mirror topics. All followers of the domain rank them alike, so that they use the same few, and a candidate that comes
/// or goes moves few followers.
pub fn rank<'a>(
    follower: &str,
    domain: &Domain,
    fleet: Fleet,
    candidates: impl Iterator<Item = &'a EndpointId>,
) -> Vec<EndpointId> {
    let regular = fleet.mirrors() as usize;
    if regular == 0 {
        return Vec::new();
    }
    let hash = |id: &EndpointId| xxh3_64(format!("{domain} {id}").as_bytes());
    let mut ranked: Vec<(u64, &EndpointId)> = candidates.map(|id| (hash(id), id)).collect();
    ranked.sort_unstable();
    ranked.truncate(regular + SPARE_MIRRORS);
    let shared = ranked.len().min(regular);
    if shared > 0 {
        let own = usize::try_from(xxh3_64(follower.as_bytes()) % shared as u64).unwrap_or(0);
        ranked[..shared].rotate_left(own);
    }
    ranked.into_iter().map(|(_, id)| id.clone()).collect()
}

#[cfg(test)]
mod tests;
