//! Loads from the weight store that are in progress, and how many it carries at once.

use std::collections::HashMap;

use admission::Lanes;
use catalog::Engine;
use fleet::Holdings;
use tokio::time::Instant;
use units::{EndpointId, ModelName};

#[derive(Debug, Clone, Copy)]
struct ColdLoad {
    since: Instant,
    beside: u32,
}

/// All of them.
#[derive(Debug, Default)]
pub(crate) struct ColdLoads {
    loads: HashMap<(EndpointId, ModelName), ColdLoad>,
    lanes: Lanes,
}

impl ColdLoads {
    /// Learns from what an endpoint loads now how many loads the weight store carries at once.
    pub(crate) fn learn(
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
                self.lanes.learn(now - load.since, spec.cold, load.beside);
            }
        }
        if let Some(loading) = current {
            let key = (id.clone(), loading.model.clone());
            self.loads.entry(key).or_insert(ColdLoad { since: now, beside: 0 });
        }
        let count = u32::try_from(self.loads.len()).unwrap_or(u32::MAX);
        for load in self.loads.values_mut() {
            load.beside = load.beside.max(count);
        }
    }

    /// An endpoint is gone, and its loads with it.
    pub(crate) fn forget(&mut self, id: &EndpointId) {
        self.loads.retain(|(endpoint, _), _| endpoint != id);
    }

    /// Lanes of the weight store that are free.
    pub(crate) fn free(&self) -> usize {
        (self.lanes.count() as usize).saturating_sub(self.loads.len())
    }
}
