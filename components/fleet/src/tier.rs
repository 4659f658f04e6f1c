//! The tiers that weights are loaded from.

use std::time::Duration;

use catalog::ModelSpec;
use serde::{Deserialize, Serialize};
use units::ModelName;

use crate::{Holdings, WeightCopies};

/// How long the load of an adapter takes, including the order and its answer.
const ADAPTER_LOAD_TIME: Duration = Duration::from_millis(30);

/// The place that weights are loaded from, the fastest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Tier {
    /// The model is loaded; only the adapter has to be loaded.
    Adapter,
    /// The host memory of the endpoint.
    Memory,
    /// The disk of the endpoint.
    Disk,
    /// The weight store.
    Store,
}

impl Tier {
    /// How long a load from this tier takes if no other load delays it.
    pub fn load_time(self, spec: &ModelSpec) -> Duration {
        match self {
            Self::Adapter => ADAPTER_LOAD_TIME,
            Self::Memory => spec.memory_load,
            Self::Disk => spec.disk_load,
            Self::Store => spec.store_load,
        }
    }
}

impl WeightCopies {
    /// The tier that a model is loaded from if it isn't in the accelerator.
    pub fn tier(&self, model: &ModelName) -> Tier {
        if self.memory.contains(model) {
            Tier::Memory
        } else if self.disk.contains(model) {
            Tier::Disk
        } else {
            Tier::Store
        }
    }
}

impl Holdings {
    /// The tier that a model, or an adapter of it, is loaded from.
    pub fn tier(&self, model: &ModelName) -> Tier {
        if self.holds(model) { Tier::Adapter } else { self.copies.tier(model) }
    }
}
