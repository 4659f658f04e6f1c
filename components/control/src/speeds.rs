//! What a router reports about the speed of endpoints to an operator.

use serde::{Deserialize, Serialize};
use units::{EndpointId, ServiceName};

use crate::demand::StepTime;

/// The path at which a router reports the speed of endpoints, as a [`SpeedsReport`].
pub const SPEEDS_PATH: &str = "/speeds";

/// The speed of endpoints, as a router knows it.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct SpeedsReport {
    /// The services whose endpoints have sent events of streams.
    pub services: Vec<ServiceEvenness>,
    /// Endpoints of which times between events are known.
    pub endpoints: Vec<EndpointSpeedReport>,
}

/// Whether the endpoints of a service are alike.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceEvenness {
    /// The service.
    pub service: ServiceName,
    /// Whether its endpoints differ in speed.
    pub uneven: bool,
}

/// The speed of one endpoint.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EndpointSpeedReport {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Its service.
    pub service: ServiceName,
    /// How long it takes for the same work, relative to the median endpoint; none if that is not known.
    pub factor: Option<f64>,
    /// The factor that requests are placed by; 1 while the service is even.
    pub used: f64,
    /// The number of events that the factor was measured from.
    pub events: u32,
    /// The time since this router saw the last event itself, or else since the loader was last heard from.
    pub age_ms: u64,
    /// The time between events by model.
    pub models: Vec<StepTime>,
}
