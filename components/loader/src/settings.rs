//! Settings of a loader.

use std::net::SocketAddr;

use serde::Deserialize;
use units::InstanceId;

/// Settings of a loader.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The instance that the loader runs on; its orders bear this name.
    pub instance: InstanceId,
    /// The address where the loader listens for routers.
    pub listen: SocketAddr,
    /// The address of the endpoint, which runs on the same instance.
    pub endpoint: SocketAddr,
    /// The address where the loader serves its metrics as `GET /metrics`, if anywhere.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
    /// The address of the platform's store.
    pub store: SocketAddr,
}
