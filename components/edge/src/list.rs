//! The platform's lagging list of instances.

use async_trait::async_trait;
use serde::{Deserialize, Serialize};
use thiserror::Error;
use units::{Domain, InstanceId, ServiceName};

/// Whether the platform means to keep an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum InstanceState {
    /// It stays.
    Live,
    /// It will be taken away soon.
    Leaving,
}

/// One instance on the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// The instance.
    pub id: InstanceId,
    /// The service it belongs to.
    pub service: ServiceName,
    /// Its failure domain.
    pub domain: Domain,
    /// Whether it stays.
    pub state: InstanceState,
}

/// Why the list can't be read.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("the instance list can't be read: {0}")]
pub struct ListError(pub String);

/// The platform's list of instances; what it says may be seconds old.
#[async_trait]
pub trait InstanceList: Send + Sync {
    /// All instances that are live or leaving.
    async fn instances(&self) -> Result<Vec<Instance>, ListError>;
}
