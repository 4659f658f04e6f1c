//! One endpoint.

use std::net::SocketAddr;
use std::time::Duration;

use catalog::ModelId;
use serde::{Deserialize, Serialize};
use units::{AdapterName, Domain, EndpointId, EndpointIncarnation, ModelName, ServiceName};

/// Whether an endpoint takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndpointStage {
    /// It does.
    Ready,
    /// It finishes what it has and leaves; with the time that is left, if it was told.
    Draining(Option<Duration>),
}

/// Copies of weights that an endpoint keeps outside its accelerator.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightCopies {
    /// In host memory.
    pub memory: Vec<ModelName>,
    /// On disk.
    pub disk: Vec<ModelName>,
}

/// A model that is in an endpoint's accelerator, with its adapters.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadedModel {
    /// The model.
    pub model: ModelName,
    /// Its adapters.
    pub adapters: Vec<AdapterName>,
}

/// A load in progress.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Loading {
    /// What is loaded.
    pub model: ModelName,
    /// Whether it comes from the weight store.
    pub cold: bool,
    /// How long it is expected to take from now.
    #[serde(with = "crate::millis")]
    #[serde(rename = "left")]
    pub remaining: Duration,
}

/// What an endpoint holds.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holdings {
    /// Loaded models.
    pub models: Vec<LoadedModel>,
    /// Copies.
    pub copies: WeightCopies,
    /// The load in progress.
    pub loading: Option<Loading>,
    /// Models that are about to make way and must get no new requests.
    #[serde(rename = "leaving")]
    pub evicting: Vec<ModelName>,
}

impl Holdings {
    /// Whether the model is loaded and stays.
    pub fn holds(&self, model: &ModelName) -> bool {
        self.models.iter().any(|held| held.model == *model) && !self.evicting.contains(model)
    }

    /// Whether the model is loaded, with the adapter if one is asked for.
    pub fn serves(&self, id: &ModelId) -> bool {
        let held = self.models.iter().find(|held| held.model == id.model);
        let adapter =
            |held: &LoadedModel| id.adapter.as_ref().is_none_or(|a| held.adapters.contains(a));
        held.is_some_and(adapter) && !self.evicting.contains(&id.model)
    }
}

/// An endpoint as the platform's list describes it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Endpoint {
    /// Its id, which it may keep when it starts again.
    pub id: EndpointId,
    /// Which of its lives this is about, if it says so; what was known of an earlier one does not hold for it.
    #[serde(default)]
    #[serde(rename = "life")]
    pub incarnation: Option<EndpointIncarnation>,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Its failure domain.
    pub domain: Domain,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub stage: EndpointStage,
    /// What it held when it wrote the entry, if it runs models.
    pub holdings: Option<Holdings>,
}
