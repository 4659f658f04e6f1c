//! Loads from the weight store that run or have been requested, and how many of them may run at
//! once.

use std::collections::HashMap;
use std::time::Duration;

use admission::{ConcurrentLoads, LoadConcurrency};
use catalog::Engine;
use fleet::Holdings;
use tokio::time::Instant;
use units::{EndpointId, ModelName};

/// A loader that was asked for a model reports the load within this time, the eviction of other
/// models included; until then the request counts as a running load. Without this, a router
/// requests further loads before the first one is reported, and all of them take several times as
/// long: a dozen at once took 18 s each instead of 6 s.
const LOAD_REPORT_TIMEOUT: Duration = Duration::from_millis(1_500);

/// A load from the weight store that is running.
#[derive(Debug, Clone, Copy)]
struct ColdLoad {
    start: Instant,
    /// How long the load takes alone.
    duration: Duration,
    concurrent: ConcurrentLoads,
}

/// All loads from the weight store that this router knows of.
#[derive(Debug, Default)]
pub(crate) struct ColdLoads {
    running: HashMap<(EndpointId, ModelName), ColdLoad>,
    requested: HashMap<(EndpointId, ModelName), Instant>,
    concurrency: LoadConcurrency,
}

impl ColdLoads {
    /// Updates the loads of an endpoint, and learns from those that ended how many loads the
    /// weight store serves at full speed.
    pub(crate) fn update(
        &mut self,
        id: &EndpointId,
        holdings: &Holdings,
        engine: Option<&Engine>,
        now: Instant,
    ) {
        let current = holdings.loading.as_ref().filter(|loading| loading.cold);
        let ended: Vec<(EndpointId, ModelName)> = self
            .running
            .keys()
            .filter(|(endpoint, model)| {
                endpoint == id && current.is_none_or(|loading| loading.model != *model)
            })
            .cloned()
            .collect();
        for key in ended {
            let Some(load) = self.running.remove(&key) else { continue };
            let spec = engine.and_then(|engine| engine.model(&key.1));
            if let Some(spec) = spec.filter(|_| holdings.holds(&key.1)) {
                self.concurrency.learn(now - load.start, spec.store_load, load.concurrent);
            }
        }
        if let Some(loading) = current {
            let key = (id.clone(), loading.model.clone());
            self.requested.remove(&key);
            let count = u32::try_from(self.running.len() + 1).unwrap_or(u32::MAX);
            let spec = engine.and_then(|engine| engine.model(&loading.model));
            let load = ColdLoad {
                start: now,
                duration: spec.map_or(Duration::ZERO, |spec| spec.store_load),
                concurrent: ConcurrentLoads::steady(count),
            };
            self.running.entry(key).or_insert(load);
        }
        let count = u32::try_from(self.running.len()).unwrap_or(u32::MAX);
        for load in self.running.values_mut() {
            load.concurrent.record(count);
        }
    }

    /// Records that a loader is asked for a model that is loaded from the weight store.
    pub(crate) fn add_request(&mut self, id: &EndpointId, model: &ModelName, now: Instant) {
        self.requested.retain(|_, at| now - *at < LOAD_REPORT_TIMEOUT);
        let key = (id.clone(), model.clone());
        if !self.running.contains_key(&key) {
            self.requested.entry(key).or_insert(now);
        }
    }

    /// Records that a loader has answered the request for a model.
    pub(crate) fn remove_request(&mut self, id: &EndpointId, model: &ModelName) {
        self.requested.remove(&(id.clone(), model.clone()));
    }

    /// Removes an endpoint that is gone, and its loads.
    pub(crate) fn remove_endpoint(&mut self, id: &EndpointId) {
        self.running.retain(|(endpoint, _), _| endpoint != id);
        self.requested.retain(|(endpoint, _), _| endpoint != id);
    }

    /// How many more loads from the weight store may start now.
    pub(crate) fn available_permits(&self, now: Instant) -> usize {
        let requested =
            self.requested.values().filter(|at| now - **at < LOAD_REPORT_TIMEOUT).count();
        (self.concurrency.limit() as usize).saturating_sub(self.running.len() + requested)
    }

    /// Whether a load from the weight store is running.
    pub(crate) fn is_running(&self, id: &EndpointId, model: &ModelName) -> bool {
        self.running.contains_key(&(id.clone(), model.clone()))
    }

    /// The time until a load from the weight store that takes `load` can begin, after `ahead` others like it.
    pub(crate) fn permit_wait(&self, ahead: usize, load: Duration, now: Instant) -> Duration {
        let left = |load: &ColdLoad| (load.start + load.duration).saturating_duration_since(now);
        let running: Vec<Duration> = self.running.values().map(left).collect();
        admission::permit_wait(&running, self.permit_limit(), ahead, load)
    }

    /// How many loads from the weight store may run at once.
    pub(crate) fn permit_limit(&self) -> usize {
        self.concurrency.limit() as usize
    }
}
