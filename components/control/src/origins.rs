//! Messages about the software versions that began streams.

use std::time::Duration;

use origin::StreamKey;
use serde::{Deserialize, Serialize};
use units::{EndpointId, ServiceName, SoftwareVersion};

/// The path at which a loader keeps origins: `POST` with a list of [`OriginRecord`], answered without a body.
pub const ORIGINS_PATH: &str = "/origins";
/// The path at which a loader says what it knows of a stream: `POST` with [`OriginQuery`], answered with [`OriginAnswer`].
pub const ORIGIN_PATH: &str = "/origin";

/// Where a stream began, as a router tells a loader.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginRecord {
    /// The stream.
    pub key: StreamKey,
    /// The service of the endpoint that began it.
    pub service: ServiceName,
    /// The version of the endpoint's software.
    pub software: SoftwareVersion,
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The time since its first event.
    #[serde(with = "fleet::millis")]
    pub age: Duration,
    /// How long the record is kept.
    #[serde(with = "fleet::millis")]
    pub keep: Duration,
}

/// A router asks where a stream began.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginQuery {
    /// The stream.
    pub key: StreamKey,
    /// The service that the request of the caller goes to.
    pub service: ServiceName,
}

/// The response to an [`OriginQuery`].
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginAnswer {
    /// Where the stream began, if the loader was told.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub origin: Option<OriginRecord>,
    /// Whether streams of several versions began under the key.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub conflicting: bool,
    /// The versions of the service in the records that the loader keeps.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub versions: Vec<SoftwareVersion>,
}
