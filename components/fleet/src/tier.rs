//! Where weights are loaded from.

use std::time::Duration;

use catalog::ModelSpec;
use serde::{Deserialize, Serialize};
use units::ModelName;

use crate::{Holdings, WeightCopies};

/// An adapter, with the order and its answer.
const ADAPTER: Duration = Duration::from_millis(30);

/// Where the weights come from, the fastest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Tier {
    /// The model is loaded; an adapter of it is not.
    Adapter,
    /// Host memory of the endpoint.
    Memory,
    /// Disk of the endpoint.
    Disk,
    /// The weight store.
    Store,
}

impl Tier {
    /// How long a load takes that has nothing in its way.
    pub fn load_time(self, spec: &ModelSpec) -> Duration {
        match self {
            Self::Adapter => ADAPTER,
            Self::Memory => spec.memory_load,
            Self::Disk => spec.disk_load,
            Self::Store => spec.store_load,
        }
    }
}

impl WeightCopies {
    /// Where a model is loaded from that is not in the accelerator.
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
    /// Where a model, or an adapter of it, is loaded from.
    pub fn tier(&self, model: &ModelName) -> Tier {
        if self.holds(model) { Tier::Adapter } else { self.copies.tier(model) }
    }
}
