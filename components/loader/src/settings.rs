//! Settings of a loader.

use std::net::SocketAddr;

use serde::Deserialize;
use units::InstanceId;

/// Settings of a loader.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The instance that it runs on; orders bear this name.
    pub instance: InstanceId,
    /// Where routers reach it.
    pub listen: SocketAddr,
    /// The endpoint on the same machine.
    pub endpoint: SocketAddr,
    /// Where its metrics are read, if anywhere: `GET /metrics`.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
    /// The platform's store.
    pub store: SocketAddr,
}
