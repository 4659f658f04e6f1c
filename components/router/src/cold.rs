//! Loads from the weight store that are in progress or asked for, and how many it carries at once.

use std::collections::HashMap;
use std::time::Duration;

use admission::{ConcurrentLoads, LoadConcurrency};
use catalog::Engine;
use fleet::Holdings;
use tokio::time::Instant;
use units::{EndpointId, ModelName};

/// A loader that was asked for a model says within this time that it loads it, room made first; until then the lane
/// counts as taken. Without that, a router asked for a dozen loads in the moment before the first was told of, and
/// each took 18 s instead of 6.
const ASKED: Duration = Duration::from_millis(1_500);

#[derive(Debug, Clone, Copy)]
struct ColdLoad {
    since: Instant,
    beside: ConcurrentLoads,
}

/// All of them.
#[derive(Debug, Default)]
pub(crate) struct ColdLoads {
    loads: HashMap<(EndpointId, ModelName), ColdLoad>,
    asked: HashMap<(EndpointId, ModelName), Instant>,
    lanes: LoadConcurrency,
}

impl ColdLoads {
    /// Learns from what an endpoint loads now how many loads the weight store carries at once.
    pub(crate) fn update(
        &mut self,
        id: &EndpointId,
        holdings: &Holdings,
        engine: Option<&Engine>,
        now: Instant,
    ) {
        let current = holdings.loading.as_ref().filter(|loading| loading.cold);
        let ended: Vec<(EndpointId, ModelName)> = self
            .loads
            .keys()
            .filter(|(endpoint, model)| {
                endpoint == id && current.is_none_or(|loading| loading.model != *model)
            })
            .cloned()
            .collect();
        for key in ended {
            let Some(load) = self.loads.remove(&key) else { continue };
            let spec = engine.and_then(|engine| engine.model(&key.1));
            if let Some(spec) = spec.filter(|_| holdings.holds(&key.1)) {
                self.lanes.learn(now - load.since, spec.store_load, load.beside);
            }
        }
        if let Some(loading) = current {
            let key = (id.clone(), loading.model.clone());
            self.asked.remove(&key);
            let count = u32::try_from(self.loads.len() + 1).unwrap_or(u32::MAX);
            let load = ColdLoad { since: now, beside: ConcurrentLoads::steady(count) };
            self.loads.entry(key).or_insert(load);
        }
        let count = u32::try_from(self.loads.len()).unwrap_or(u32::MAX);
        for load in self.loads.values_mut() {
            load.beside.record(count);
        }
    }

    /// A loader is asked for a model that comes from the weight store.
    pub(crate) fn add_request(&mut self, id: &EndpointId, model: &ModelName, now: Instant) {
        self.asked.retain(|_, at| now - *at < ASKED);
        let key = (id.clone(), model.clone());
        if !self.loads.contains_key(&key) {
            self.asked.entry(key).or_insert(now);
        }
    }

    /// A loader has answered for a model.
    pub(crate) fn remove_request(&mut self, id: &EndpointId, model: &ModelName) {
        self.asked.remove(&(id.clone(), model.clone()));
    }

    /// An endpoint is gone, and its loads with it.
    pub(crate) fn remove_endpoint(&mut self, id: &EndpointId) {
        self.loads.retain(|(endpoint, _), _| endpoint != id);
        self.asked.retain(|(endpoint, _), _| endpoint != id);
    }

    /// Lanes of the weight store that are free.
    pub(crate) fn available_permits(&self, now: Instant) -> usize {
        let asked = self.asked.values().filter(|at| now - **at < ASKED).count();
        (self.lanes.limit() as usize).saturating_sub(self.loads.len() + asked)
    }

    /// Lanes of the weight store.
    pub(crate) fn permit_limit(&self) -> usize {
        self.lanes.limit() as usize
    }
}
