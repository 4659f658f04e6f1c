//! Routes and the services that they lead to.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use units::ServiceName;

use crate::Engine;

/// Whether a request may be executed more than once, and whether its answer is a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallKind {
    /// The request may be executed more than once.
    Safe,
    /// The request may be executed once at most.
    Unsafe,
    /// The answer is a stream of events, and the request may be executed once at most.
    Stream,
    /// The answer is a stream of events that another endpoint can continue after the last event that arrived.
    Resumable,
}

impl CallKind {
    /// Whether a request that may have been executed can be sent again.
    pub fn repeatable(self) -> bool {
        matches!(self, Self::Safe | Self::Resumable)
    }

    /// Whether the answer is a stream of events.
    pub fn streams(self) -> bool {
        matches!(self, Self::Stream | Self::Resumable)
    }
}

/// A service that a route leads to, with its share of the requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceName,
    /// The share of the service, relative to the weights of the other services of the route.
    pub weight: u32,
}

/// The rules for requests with a certain host and path prefix.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// The name of the route, for logs.
    pub name: String,
    /// The host that callers name, in lower case.
    pub host: String,
    /// The path prefix, with a slash at both ends.
    pub prefix: String,
    /// Whether requests may be executed more than once, and whether answers are streams.
    pub kind: CallKind,
    /// The longest time that a caller waits for the answer.
    #[serde(deserialize_with = "crate::time::deserialize")]
    pub timeout: Duration,
    /// The target time for the answer, or for the first event of a stream; a later one is worth less.
    #[serde(deserialize_with = "crate::time::deserialize")]
    pub target: Duration,
    /// The target for the longest pause between two events of a stream; zero for other answers.
    #[serde(rename = "pause")]
    #[serde(deserialize_with = "crate::time::deserialize")]
    pub max_pause: Duration,
    /// The longest time that callers wait for the first event of a stream, or for the next event.
    #[serde(rename = "patience")]
    #[serde(deserialize_with = "crate::time::deserialize")]
    pub event_timeout: Duration,
    /// The priority of the requests; 0 is the most urgent.
    pub priority: u8,
    /// Whether requests without a key are accepted if the configuration has workspaces.
    #[serde(default)]
    #[serde(rename = "open")]
    pub anonymous_allowed: bool,
    /// The most endpoints that one request may be sent to.
    pub attempts: u32,
    /// The services that the route leads to.
    #[serde(rename = "backends")]
    pub services: Vec<WeightedService>,
}

impl Route {
    /// The kind and priority of the route, as logs and metrics name them: `safe-2`.
    pub fn class(&self) -> String {
        let kind = match self.kind {
            CallKind::Safe => "safe",
            CallKind::Unsafe => "unsafe",
            CallKind::Stream => "stream",
            CallKind::Resumable => "resumable",
        };
        format!("{kind}-{}", self.priority)
    }

    /// Chooses the service for a request by weight. `random` is a random number from 0 to 1.
    pub fn choose_service(&self, random: f64) -> Option<&ServiceName> {
        let total: f64 = self.services.iter().map(|service| f64::from(service.weight)).sum();
        let mut left = random * total;
        for weighted in &self.services {
            left -= f64::from(weighted.weight);
            if left < 0.0 {
                return Some(&weighted.service);
            }
        }
        self.services.iter().rev().find(|weighted| weighted.weight > 0).map(|last| &last.service)
    }
}

/// A group of endpoints that serve the same calls.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// The name of the service.
    pub name: ServiceName,
    /// The path of the health check of an endpoint, if it has one. The answer also says whether the endpoint is draining.
    #[serde(default)]
    pub health: Option<String>,
    /// The most connections that one endpoint accepts, from all callers together.
    pub connections: u32,
    /// The specification of the model engines, if the endpoints of the service run models.
    pub engine: Option<Engine>,
}
