//! Model engines and the models that they can hold.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use thiserror::Error;
use units::{AdapterName, ModelName, ParseIdError, Size};

/// A model, or one adapter of it; written as `model` or `model/adapter`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct ModelId {
    /// The model.
    pub model: ModelName,
    /// The adapter, if one is asked for.
    pub adapter: Option<AdapterName>,
}

/// Why a text names no model.
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

/// What is known of a model before it is loaded.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ModelSpec {
    /// Accelerator memory that its weights take.
    pub weights: Size,
    /// Accelerator memory that one of its adapters takes.
    pub adapter: Size,
    /// A load from the weight store that has a lane to itself.
    #[serde(rename = "cold")]
    pub store_load: Duration,
    /// A load from the endpoint's disk.
    #[serde(rename = "disk")]
    pub disk_load: Duration,
    /// A load from the endpoint's host memory.
    #[serde(rename = "warm")]
    pub memory_load: Duration,
}

/// What all endpoints of a service that run models have in common.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Engine {
    /// Requests that one endpoint runs at once.
    pub slots: u32,
    /// Tokens that the cache of one endpoint holds.
    #[serde(rename = "tokens")]
    pub cache_tokens: u64,
    /// Accelerator memory of one endpoint for weights and adapters.
    pub memory: Size,
    /// Adapters that one endpoint holds at most.
    pub adapters: u32,
    /// Host memory of one endpoint for copies of weights.
    #[serde(rename = "host")]
    pub host_memory: Size,
    /// Disk of one endpoint for copies of weights.
    pub disk: Size,
    /// Loads from the weight store a second, over all endpoints.
    #[serde(rename = "rate")]
    pub load_rate: f64,
    /// The models, sorted by name.
    pub models: Vec<(ModelName, ModelSpec)>,
}

impl Engine {
    /// The model of this name.
    pub fn model(&self, name: &ModelName) -> Option<&ModelSpec> {
        let found = self.models.binary_search_by(|(other, _)| other.cmp(name)).ok()?;
        Some(&self.models[found].1)
    }
}
