//! An endpoint and what it holds.

use std::net::SocketAddr;
use std::time::Duration;

use catalog::ModelId;
use serde::{Deserialize, Serialize};
use units::{
    AdapterName, Domain, EndpointId, EndpointIncarnation, ModelName, ServiceName, SoftwareVersion,
};

/// Whether an endpoint takes new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndpointStage {
    /// The endpoint takes new requests.
    Ready,
    /// The endpoint finishes its requests and then stops, after this time if it is known.
    Draining(Option<Duration>),
}

/// Copies of model weights that an endpoint keeps outside its accelerator.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightCopies {
    /// Models with a copy in host memory.
    pub memory: Vec<ModelName>,
    /// Models with a copy on disk.
    pub disk: Vec<ModelName>,
}

/// A model that is loaded in an endpoint's accelerator, with its adapters.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadedModel {
    /// The model.
    pub model: ModelName,
    /// The loaded adapters of the model.
    pub adapters: Vec<AdapterName>,
}

/// A load in progress.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Loading {
    /// The model that is being loaded.
    pub model: ModelName,
    /// Whether the weights come from the weight store.
    pub cold: bool,
    /// The time that the load is expected to take from now.
    #[serde(with = "crate::millis")]
    #[serde(rename = "left")]
    pub remaining: Duration,
}

/// The models and copies of weights that an endpoint holds.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holdings {
    /// The loaded models.
    pub models: Vec<LoadedModel>,
    /// The copies of weights outside the accelerator.
    pub copies: WeightCopies,
    /// The load in progress.
    pub loading: Option<Loading>,
    /// Models that are about to be evicted and must get no new requests.
    #[serde(rename = "leaving")]
    pub evicting: Vec<ModelName>,
}

impl Holdings {
    /// Whether the model is loaded and isn't about to be evicted.
    pub fn holds(&self, model: &ModelName) -> bool {
        self.models.iter().any(|held| held.model == *model) && !self.evicting.contains(model)
    }

    /// Whether the model, and the adapter if the id names one, is loaded and the model isn't about to be evicted.
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
    /// The id of the endpoint. It may stay the same when the endpoint restarts.
    pub id: EndpointId,
    /// The incarnation that this entry describes, if the endpoint reports it. What was known of an earlier incarnation does
    /// not apply to this one.
    #[serde(default)]
    #[serde(rename = "life")]
    pub incarnation: Option<EndpointIncarnation>,
    /// The version of the software that this incarnation runs, if it is known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub software: Option<SoftwareVersion>,
    /// The service that the endpoint belongs to.
    pub service: ServiceName,
    /// The address at which the endpoint listens.
    pub addr: SocketAddr,
    /// The failure domain of the endpoint.
    pub domain: Domain,
    /// Requests that the endpoint runs at the same time.
    pub slots: u32,
    /// Whether the endpoint takes new requests.
    pub stage: EndpointStage,
    /// What the endpoint held when it wrote the entry, if it runs models.
    pub holdings: Option<Holdings>,
}
