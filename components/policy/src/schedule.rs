//! When the loads before a closing window start: as late as the weight store allows.
//!
//! All agents compute the same schedule from the same folded state, so the loads of a whole site are spread
//! over the store's lanes and rate without a message.

use std::cmp::Reverse;
use std::collections::{HashMap, HashSet};
use std::time::Duration;

use jiff::{SignedDuration, Timestamp};
use units::{EndpointId, ModelName, Rate, ReplicaIndex, Size};
use xxhash_rust::xxh3::xxh3_64;

/// The lowest rate that is planned with.
const RATE_LEAST: f64 = 0.01;

/// What the weight store can do.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Store {
    /// Loads that it starts a second.
    pub rate: Rate,
    /// Loads that it serves at the same time at full speed.
    pub lanes: u32,
    /// Bytes a second of one lane.
    pub speed: Size,
    /// The part of a load that does not wait for the store, such as the engine's own start.
    pub fixed: Duration,
    /// How many times longer than computed a load is planned for, so that urgent loads find room and a store
    /// at half its speed is still fast enough; see `docs/POLICY.md`.
    pub slack: f64,
}

impl Default for Store {
    fn default() -> Self {
        Self {
            rate: Rate(7.0),
            lanes: 4,
            speed: Size::gib(1),
            fixed: Duration::from_secs(5),
            slack: 2.5,
        }
    }
}

/// A load that must be done before a window opens.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Load {
    /// The model.
    pub model: ModelName,
    /// Which replica.
    pub index: ReplicaIndex,
    /// Where.
    pub endpoint: EndpointId,
    /// The size of the weights; nothing if the endpoint has them cached.
    pub weights: Size,
    /// When the window opens.
    pub opens: Timestamp,
}

/// When a load starts and is done at the latest.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Slot {
    /// The model.
    pub model: ModelName,
    /// Which replica.
    pub index: ReplicaIndex,
    /// Where.
    pub endpoint: EndpointId,
    /// When it starts.
    pub starts: Timestamp,
    /// When it is done.
    pub done: Timestamp,
    /// When the window opens.
    pub opens: Timestamp,
}

#[expect(clippy::cast_precision_loss, reason = "a plan needs no exact bytes")]
fn fetch(load: &Load, store: &Store) -> SignedDuration {
    let seconds = load.weights.0 as f64 / store.speed.0.max(1) as f64 * store.slack;
    SignedDuration::try_from_secs_f64(seconds).unwrap_or(SignedDuration::MAX)
}

fn before(at: Timestamp, span: SignedDuration) -> Timestamp {
    at.checked_sub(span).unwrap_or(Timestamp::MIN)
}

/// Orders loads of the same opening the same everywhere, and each opening differently.
fn rank(load: &Load) -> u64 {
    xxh3_64(format!("{}#{} {}", load.model, load.index, load.opens).as_bytes())
}

/// What is planned so far, from the last opening backwards.
struct Plan<'a> {
    store: &'a Store,
    /// When each lane is needed next.
    lanes: Vec<Timestamp>,
    /// When each endpoint is needed next.
    endpoints: HashMap<EndpointId, Timestamp>,
    /// The starts that are taken, in turns of the store's rate.
    turns: HashSet<i128>,
}

impl Plan<'_> {
    fn add(&mut self, load: Load) -> Slot {
        let own = self.endpoints.get(&load.endpoint).copied().unwrap_or(Timestamp::MAX);
        let done = load.opens.min(own);
        let fixed = SignedDuration::try_from(self.store.fixed).unwrap_or(SignedDuration::MAX);
        let mut starts = before(done, fixed);
        if load.weights > Size(0) {
            starts = self.fetch_before(starts, fetch(&load, self.store));
        }
        self.endpoints.insert(load.endpoint.clone(), starts);
        let Load { model, index, endpoint, opens, .. } = load;
        Slot { model, index, endpoint, starts, done, opens }
    }

    /// Takes the lane that is free the longest, and the last free turn to start.
    fn fetch_before(&mut self, fetched: Timestamp, lasts: SignedDuration) -> Timestamp {
        let Some(lane) = self.lanes.iter_mut().max() else { return before(fetched, lasts) };
        let starts = before(fetched.min(*lane), lasts);
        let pause = nanos(1.0 / self.store.rate.0.max(RATE_LEAST));
        let mut turn = starts.as_nanosecond().div_euclid(pause);
        while !self.turns.insert(turn) {
            turn -= 1;
        }
        *lane = Timestamp::from_nanosecond(turn * pause).unwrap_or(Timestamp::MIN);
        *lane
    }
}

#[expect(clippy::cast_possible_truncation, reason = "a pause between loads is short")]
fn nanos(seconds: f64) -> i128 {
    (seconds * 1e9) as i128
}

/// The latest start of each load, with the earliest start first. Loads of one endpoint do not overlap.
pub fn schedule(mut loads: Vec<Load>, store: &Store) -> Vec<Slot> {
    loads.sort_by_cached_key(|load| (Reverse(load.opens), rank(load)));
    let lanes = vec![Timestamp::MAX; store.lanes.max(1) as usize];
    let mut plan = Plan { store, lanes, endpoints: HashMap::new(), turns: HashSet::new() };
    let mut slots: Vec<Slot> = loads.into_iter().map(|load| plan.add(load)).collect();
    slots.sort_by_key(|slot| slot.starts);
    slots
}

#[cfg(test)]
mod tests;
