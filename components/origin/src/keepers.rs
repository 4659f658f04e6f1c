//! Which processes keep the origin of a stream.
//!
//! Load pattern: a router dies, and hundreds of its callers take up their streams at other routers within a second. Each of these
//! finds the keepers of a stream from its key alone.

use std::collections::{HashMap, HashSet};

use units::{Domain, EndpointId};

use crate::StreamKey;

/// How many keepers are told of a stream, while [`TellBudget`](crate::TellBudget) allows it.
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
    /// Whether it will answer.
    pub state: KeeperState,
}

/// Whether a keeper will answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum KeeperState {
    /// Its endpoint serves.
    Serving,
    /// Its endpoint drains, and the keeper leaves with it. It is chosen only where too few others are there.
    Leaving,
    /// It does not answer. It is not chosen.
    Dead,
}

/// The rank of a keeper for a stream; the lowest is the best.
type Rank = (KeeperState, u64);

/// The keepers of a stream, best first, as indices into `keepers`. The first ones are in different failure domains, as far as
/// there are several.
pub fn rank_keepers(key: StreamKey, keepers: &[Keeper<'_>], count: usize) -> Vec<usize> {
    let live = |(_, keeper): &(usize, &Keeper<'_>)| keeper.state != KeeperState::Dead;
    let mut best: Vec<(Rank, usize)> = Vec::with_capacity(count + 1);
    let mut by_domain: HashMap<&Domain, (Rank, usize)> = HashMap::new();
    for (index, keeper) in keepers.iter().enumerate().filter(live) {
        let ranked = (rank(key, keeper), index);
        insert_best(&mut best, ranked, count);
        let first = by_domain.entry(keeper.domain).or_insert(ranked);
        *first = (*first).min(ranked);
    }
    let mut chosen: Vec<(Rank, usize)> = by_domain.into_values().collect();
    chosen.sort_unstable();
    let mut chosen: Vec<usize> = chosen.into_iter().map(|(_, index)| index).take(count).collect();
    for (_, index) in best {
        if chosen.len() < count && !chosen.contains(&index) {
            chosen.push(index);
        }
    }
    chosen
}

/// The keepers that a process in the failure domain `own` tells of a stream: the best ones, but the first of those that are asked
/// in another domain before all, since the own domain may lose its power together with the teller.
pub fn choose_told(
    key: StreamKey,
    keepers: &[Keeper<'_>],
    count: usize,
    own: &Domain,
) -> Vec<usize> {
    let mut chosen = rank_keepers(key, keepers, MAX_ASKED.max(count));
    let elsewhere = |index: &usize| {
        keepers[*index].domain != own && keepers[*index].state == KeeperState::Serving
    };
    if let Some(place) = chosen.iter().position(elsewhere) {
        chosen[..=place].rotate_right(1);
    }
    chosen.truncate(count);
    chosen
}

/// Adds an element to the `count` lowest ones, in order.
fn insert_best(best: &mut Vec<(Rank, usize)>, ranked: (Rank, usize), count: usize) {
    if best.len() == count && best.last().is_none_or(|worst| *worst <= ranked) {
        return;
    }
    let at = best.partition_point(|other| *other < ranked);
    best.insert(at, ranked);
    best.truncate(count);
}

fn rank(key: StreamKey, keeper: &Keeper<'_>) -> Rank {
    (keeper.state, key.mix(keeper.endpoint.as_str().as_bytes()))
}

/// A stream whose keepers have been told of it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ToldStream {
    /// The stream.
    pub key: StreamKey,
    /// The endpoints of the keepers that have acknowledged it.
    pub told: Vec<EndpointId>,
}

/// The keepers that must be told of a stream, since the set of keepers has changed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Retelling {
    /// The index of the stream.
    pub stream: usize,
    /// The indices of the keepers.
    pub keepers: Vec<usize>,
}

/// What a process in the failure domain `own` must tell again, so that `count` keepers know each stream, once the keepers are those
/// of `after`. `before` are the keepers at the last call.
pub fn retell(
    streams: &[ToldStream],
    count: usize,
    own: &Domain,
    before: &[Keeper<'_>],
    after: &[Keeper<'_>],
) -> Vec<Retelling> {
    let old: HashMap<&EndpointId, &Keeper<'_>> = before.iter().map(|k| (k.endpoint, k)).collect();
    let new: HashMap<&EndpointId, &Keeper<'_>> = after.iter().map(|k| (k.endpoint, k)).collect();
    let improved: Vec<&Keeper<'_>> = after
        .iter()
        .filter(|keeper| old.get(keeper.endpoint).is_none_or(|was| was.state > keeper.state))
        .filter(|keeper| keeper.state != KeeperState::Dead)
        .collect();
    let mut retellings = Vec::new();
    for (stream, told) in streams.iter().enumerate() {
        if !may_move(told, count, own, &improved, &new) {
            continue;
        }
        let ranked = choose_told(told.key, after, count, own);
        let untold = |index: &usize| !told.told.contains(after[*index].endpoint);
        let keepers: Vec<usize> = ranked.into_iter().filter(untold).collect();
        if !keepers.is_empty() {
            retellings.push(Retelling { stream, keepers });
        }
    }
    retellings
}

/// Whether the keepers of a stream may have changed, without ranking all of them.
fn may_move(
    stream: &ToldStream,
    count: usize,
    own: &Domain,
    improved: &[&Keeper<'_>],
    new: &HashMap<&EndpointId, &Keeper<'_>>,
) -> bool {
    let told: Vec<_> = stream.told.iter().filter_map(|endpoint| new.get(endpoint)).collect();
    let mut serving: Vec<_> = told.iter().filter(|k| k.state == KeeperState::Serving).collect();
    if serving.iter().all(|keeper| keeper.domain == own)
        && improved.iter().any(|keeper| keeper.domain != own)
    {
        return true;
    }
    serving.sort_by_key(|keeper| rank(stream.key, keeper));
    let mut domains = HashSet::new();
    serving.retain(|keeper| domains.insert(keeper.domain));
    let Some(worst) = count.checked_sub(1).and_then(|last| serving.get(last)) else { return true };
    let worst = rank(stream.key, worst);
    improved.iter().any(|keeper| rank(stream.key, keeper) < worst)
}

#[cfg(test)]
mod tests;
