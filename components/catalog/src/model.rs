//! Model engines and the models that they can load.

use std::collections::HashMap;
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
    #[serde(deserialize_with = "crate::time::deserialize")]
    pub store_load: Duration,
    /// How long a load from the endpoint's disk takes.
    #[serde(rename = "disk")]
    #[serde(deserialize_with = "crate::time::deserialize")]
    pub disk_load: Duration,
    /// How long a load from the endpoint's host memory takes.
    #[serde(rename = "warm")]
    #[serde(deserialize_with = "crate::time::deserialize")]
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
    /// The models.
    pub models: Models,
}

impl Engine {
    /// The specification of the model with this name.
    pub fn model(&self, name: &ModelName) -> Option<&ModelSpec> {
        self.models.get(name)
    }
}

/// The models of an engine. Routers look some up for each endpoint whenever a waiting request searches again, so a lookup
/// takes the same time however many models there are.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(from = "Vec<(ModelName, ModelSpec)>", into = "Vec<(ModelName, ModelSpec)>")]
pub struct Models {
    /// Sorted by name.
    list: Vec<(ModelName, ModelSpec)>,
    /// Positions in the list.
    index: HashMap<ModelName, usize>,
}

impl Models {
    /// The specification of the model with this name.
    pub fn get(&self, name: &ModelName) -> Option<&ModelSpec> {
        self.index.get(name).map(|position| &self.list[*position].1)
    }

    /// All models, sorted by name.
    pub fn iter(&self) -> impl Iterator<Item = (&ModelName, &ModelSpec)> {
        self.list.iter().map(|(name, spec)| (name, spec))
    }
}

impl PartialEq for Models {
    fn eq(&self, other: &Self) -> bool {
        self.list == other.list
    }
}

impl From<Vec<(ModelName, ModelSpec)>> for Models {
    fn from(mut list: Vec<(ModelName, ModelSpec)>) -> Self {
        list.sort_by(|(a, _), (b, _)| a.cmp(b));
        let positions = list.iter().enumerate();
        let index = positions.map(|(position, (name, _))| (name.clone(), position)).collect();
        Self { list, index }
    }
}

impl From<Models> for Vec<(ModelName, ModelSpec)> {
    fn from(models: Models) -> Self {
        models.list
    }
}

impl FromIterator<(ModelName, ModelSpec)> for Models {
    fn from_iter<I: IntoIterator<Item = (ModelName, ModelSpec)>>(models: I) -> Self {
        models.into_iter().collect::<Vec<_>>().into()
    }
}

#[cfg(test)]
mod tests;
