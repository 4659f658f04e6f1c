//! Computes when the loads before a closing window start: as late as the weight store allows.
//!
//! All agents compute the same schedule from the same folded state. The loads of a whole site are thus spread over what the
//! store can do without any message between the agents.

use std::cmp::Reverse;
use std::collections::{HashMap, HashSet};
use std::time::Duration;

use jiff::{SignedDuration, Timestamp};
use units::{EndpointId, ModelName, Rate, ReplicaIndex, Size};
use xxhash_rust::xxh3::xxh3_64;

/// The lowest start rate that is planned with, in loads per second.
const MIN_START_RATE: f64 = 0.01;

/// The capacity of the weight store.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StoreCapacity {
    /// Loads that the store starts per second.
    pub start_rate: Rate,
    /// Loads that the store serves at full speed at the same time.
    pub concurrent_loads: u32,
    /// Bytes per second of one load at full speed.
    pub load_rate: Size,
    /// The part of a load that does not depend on the store, such as the start of the engine.
    pub fixed_time: Duration,
    /// The factor by which the planned transfer time exceeds the computed one, so that urgent loads find capacity and a store at
    /// half its speed is still fast enough; see `docs/POLICY.md`.
    pub slack: f64,
}

impl Default for StoreCapacity {
    fn default() -> Self {
        Self {
            start_rate: Rate(7.0),
            concurrent_loads: 4,
            load_rate: Size::gib(1),
            fixed_time: Duration::from_secs(5),
            slack: 2.5,
        }
    }
}

/// A load that must be complete before a window opens.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WindowLoad {
    /// The model.
    pub model: ModelName,
    /// The index of the replica.
    pub index: ReplicaIndex,
    /// The endpoint that loads the replica.
    pub endpoint: EndpointId,
    /// The size of the weights; zero if the endpoint has them cached.
    pub weights: Size,
    /// When the window opens.
    pub opens: Timestamp,
}

/// A scheduled load: its latest start and its end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoadSlot {
    /// The model.
    pub model: ModelName,
    /// The index of the replica.
    pub index: ReplicaIndex,
    /// The endpoint that loads the replica.
    pub endpoint: EndpointId,
    /// When the load starts.
    pub starts: Timestamp,
    /// When the load is complete at the latest.
    pub done: Timestamp,
    /// When the window opens.
    pub opens: Timestamp,
}

/// The planned time to transfer the weights from the store.
#[expect(clippy::cast_precision_loss, reason = "a plan needs no exact bytes")]
fn transfer_time(load: &WindowLoad, store: &StoreCapacity) -> SignedDuration {
    let seconds = load.weights.0 as f64 / store.load_rate.0.max(1) as f64 * store.slack;
    SignedDuration::try_from_secs_f64(seconds).unwrap_or(SignedDuration::MAX)
}

fn subtract(at: Timestamp, span: SignedDuration) -> Timestamp {
    at.checked_sub(span).unwrap_or(Timestamp::MIN)
}

/// Orders the loads of one opening in the same way on all agents, and in a different way for each opening.
fn order_hash(load: &WindowLoad) -> u64 {
    xxh3_64(format!("{}#{} {}", load.model, load.index, load.opens).as_bytes())
}

/// The schedule so far. It is built backwards from the last opening.
struct Plan<'a> {
    store: &'a StoreCapacity,
    /// For each of the store's concurrent loads, the start of the transfer that was scheduled last. An earlier transfer must
    /// end by then.
    permits: Vec<Timestamp>,
    /// For each endpoint, the start of the load that was scheduled last.
    endpoints: HashMap<EndpointId, Timestamp>,
    /// The turns in which a load starts already. A turn is the reciprocal of the store's start rate.
    start_turns: HashSet<i128>,
}

impl Plan<'_> {
    fn add(&mut self, load: WindowLoad) -> LoadSlot {
        let next_use = self.endpoints.get(&load.endpoint).copied().unwrap_or(Timestamp::MAX);
        let done = load.opens.min(next_use);
        let fixed = SignedDuration::try_from(self.store.fixed_time).unwrap_or(SignedDuration::MAX);
        let mut starts = subtract(done, fixed);
        if load.weights > Size(0) {
            starts = self.reserve_transfer(starts, transfer_time(&load, self.store));
        }
        self.endpoints.insert(load.endpoint.clone(), starts);
        let WindowLoad { model, index, endpoint, opens, .. } = load;
        LoadSlot { model, index, endpoint, starts, done, opens }
    }

    /// Reserves a transfer that ends by `transfer_end`, on the permit that leaves the latest end and in the last free turn.
    /// Returns its start.
    fn reserve_transfer(&mut self, transfer_end: Timestamp, duration: SignedDuration) -> Timestamp {
        let Some(permit) = self.permits.iter_mut().max() else {
            return subtract(transfer_end, duration);
        };
        let starts = subtract(transfer_end.min(*permit), duration);
        let interval = nanos(1.0 / self.store.start_rate.0.max(MIN_START_RATE));
        let mut turn = starts.as_nanosecond().div_euclid(interval);
        while !self.start_turns.insert(turn) {
            turn -= 1;
        }
        *permit = Timestamp::from_nanosecond(turn * interval).unwrap_or(Timestamp::MIN);
        *permit
    }
}

#[expect(clippy::cast_possible_truncation, reason = "the interval between loads is short")]
fn nanos(seconds: f64) -> i128 {
    (seconds * 1e9) as i128
}

/// Computes the latest start of each load, sorted by start. Loads of one endpoint do not overlap.
pub fn schedule(mut loads: Vec<WindowLoad>, store: &StoreCapacity) -> Vec<LoadSlot> {
    loads.sort_by_cached_key(|load| (Reverse(load.opens), order_hash(load)));
    let permits = vec![Timestamp::MAX; store.concurrent_loads.max(1) as usize];
    let mut plan = Plan { store, permits, endpoints: HashMap::new(), start_turns: HashSet::new() };
    let mut slots: Vec<LoadSlot> = loads.into_iter().map(|load| plan.add(load)).collect();
    slots.sort_by_key(|slot| slot.starts);
    slots
}

#[cfg(test)]
mod tests;
