//! Which processes keep the origin of a stream.
//!
//! Load pattern: a router dies, and hundreds of its callers take up their streams at other routers within a second. Each of these
//! finds the keepers of a stream from its key alone.

use units::{Domain, EndpointId};

use crate::StreamKey;

/// How many keepers are told of a stream.
pub const TOLD_KEEPERS: usize = 2;
/// How many keepers are asked for a stream at most: more than are told, since the list may have changed in between.
pub const MAX_ASKED: usize = 4;

/// A process that can keep origins: the loader beside an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Keeper<'a> {
    /// The endpoint beside which it runs.
    pub endpoint: &'a EndpointId,
    /// Its failure domain.
    pub domain: &'a Domain,
}

/// The keepers of a stream, best first, as indices into `keepers`. The first ones are in different failure domains, as far as
/// there are several.
pub fn rank_keepers(key: StreamKey, keepers: &[Keeper<'_>], count: usize) -> Vec<usize> {
    let mut ranked: Vec<usize> = (0..keepers.len()).collect();
    ranked.sort_by_cached_key(|index| key.mix(keepers[*index].endpoint.as_str().as_bytes()));
    let mut chosen: Vec<usize> = Vec::with_capacity(count);
    for _ in 0..count.min(ranked.len()) {
        let used =
            |index: &usize| chosen.iter().any(|c| keepers[*c].domain == keepers[*index].domain);
        let next = ranked.iter().position(|index| !used(index)).unwrap_or(0);
        chosen.push(ranked.remove(next));
    }
    chosen
}
