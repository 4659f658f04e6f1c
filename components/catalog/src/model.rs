//! Model engines and the models that they can load.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use thiserror::Error;
use units::{AdapterName, ModelName, ParseIdError, Size};

/// A model, or an adapter of a model; written as `model` or `model/adapter`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct ModelId {
    /// The model.
    pub model: ModelName,
    /// The adapter, if one is named.
    pub adapter: Option<AdapterName>,
}

/// The error for a text that is not a model id.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("`{text}` names no model: {cause}; write `model` or `model/adapter`")]
pub struct ParseModelError {
    text: String,
    cause: ParseIdError,
}

impl FromStr for ModelId {
    type Err = ParseModelError;

    fn from_str(text: &str) -> Result<Self, ParseModelError> {
        let bad = |cause| ParseModelError { text: text.to_owned(), cause };
        let (model, adapter) = match text.split_once('/') {
            Some((model, adapter)) => (model, Some(adapter.parse().map_err(bad)?)),
            None => (text, None),
        };
        Ok(Self { model: model.parse().map_err(bad)?, adapter })
    }
}

impl TryFrom<String> for ModelId {
    type Error = ParseModelError;

    fn try_from(text: String) -> Result<Self, ParseModelError> {
        text.parse()
    }
}

impl From<ModelId> for String {
    fn from(id: ModelId) -> String {
        id.to_string()
    }
}

impl fmt::Display for ModelId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.adapter {
            Some(adapter) => write!(f, "{}/{adapter}", self.model),
            None => self.model.fmt(f),
        }
    }
}

/// Sizes and load times of a model, as the configuration gives them.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ModelSpec {
    /// The accelerator memory that the weights take.
    pub weights: Size,
    /// The accelerator memory that one adapter of the model takes.
    pub adapter: Size,
    /// How long a load from the weight store takes if no other load slows it down.
    #[serde(rename = "cold")]
    pub store_load: Duration,
    /// How long a load from the endpoint's disk takes.
    #[serde(rename = "disk")]
    pub disk_load: Duration,
    /// How long a load from the endpoint's host memory takes.
    #[serde(rename = "warm")]
    pub memory_load: Duration,
}

/// The specification of the model engines of a service. It is the same for all endpoints of the service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Engine {
    /// Requests that one endpoint runs at the same time.
    pub slots: u32,
    /// Tokens that the cache of one endpoint holds.
    #[serde(rename = "tokens")]
    pub cache_tokens: u64,
    /// The accelerator memory of one endpoint for weights and adapters.
    pub memory: Size,
    /// The most adapters that one endpoint holds.
    pub adapters: u32,
    /// The host memory of one endpoint for copies of weights.
    #[serde(rename = "host")]
    pub host_memory: Size,
    /// The disk space of one endpoint for copies of weights.
    pub disk: Size,
    /// Loads from the weight store per second, over all endpoints together.
    #[serde(rename = "rate")]
    pub load_rate: f64,
    /// The models, sorted by name.
    pub models: Vec<(ModelName, ModelSpec)>,
}

impl Engine {
    /// The specification of the model with this name.
    pub fn model(&self, name: &ModelName) -> Option<&ModelSpec> {
        let found = self.models.binary_search_by(|(other, _)| other.cmp(name)).ok()?;
        Some(&self.models[found].1)
    }
}
