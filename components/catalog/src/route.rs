//! Routes and the services that they lead to.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use units::ServiceName;

use crate::Engine;

/// What may be done again with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallKind {
    /// It may run more than once.
    Safe,
    /// It may run once at most.
    Unsafe,
    /// A stream of events that may run once at most.
    Stream,
    /// A stream of events that may go on elsewhere after the last event that arrived.
    Resumable,
}

impl CallKind {
    /// Whether a request that may have run can be sent again.
    pub fn repeatable(self) -> bool {
        matches!(self, Self::Safe | Self::Resumable)
    }

    /// Whether its answer is a stream of events.
    pub fn streams(self) -> bool {
        matches!(self, Self::Stream | Self::Resumable)
    }
}

/// A service that a route leads to, with its share of the requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceName,
    /// Its share, relative to the other weights of the route.
    pub weight: u32,
}

/// Where requests of one host and path prefix go.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Its name, for logs.
    pub name: String,
    /// The host that callers name, in lower case.
    pub host: String,
    /// The prefix of the path, with a slash at both ends.
    pub prefix: String,
    /// What may be done again.
    pub kind: CallKind,
    /// The longest that a caller is kept waiting.
    pub timeout: Duration,
    /// The time within which an answer, or the first event of a stream, is worth most.
    pub target: Duration,
    /// The longest pause between two events of a stream that is on time; zero for other answers.
    #[serde(rename = "pause")]
    pub max_pause: Duration,
    /// The longest that callers wait for the first event of a stream, or for the next one.
    #[serde(rename = "patience")]
    pub event_timeout: Duration,
    /// How urgent it is; 0 goes first.
    pub priority: u8,
    /// Whether its requests need no key where the configuration has workspaces.
    #[serde(default)]
    #[serde(rename = "open")]
    pub anonymous_allowed: bool,
    /// Endpoints that one request may be sent to.
    pub attempts: u32,
    /// Where requests go.
    #[serde(rename = "backends")]
    pub services: Vec<WeightedService>,
}

impl Route {
    /// Its kind and urgency, as logs and metrics name them: `safe-2`.
    pub fn class(&self) -> String {
        let kind = match self.kind {
            CallKind::Safe => "safe",
            CallKind::Unsafe => "unsafe",
            CallKind::Stream => "stream",
            CallKind::Resumable => "resumable",
        };
        format!("{kind}-{}", self.priority)
    }

    /// The service for a request, chosen by a number that is random in 0..1.
    pub fn choose_service(&self, random: f64) -> Option<&ServiceName> {
        let total: u32 = self.services.iter().map(|backend| backend.weight).sum();
        let mut left = random * f64::from(total);
        for backend in &self.services {
            left -= f64::from(backend.weight);
            if left < 0.0 {
                return Some(&backend.service);
            }
        }
        self.services.iter().rev().find(|backend| backend.weight > 0).map(|last| &last.service)
    }
}

/// A group of endpoints that serve the same calls.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Its name.
    pub name: ServiceName,
    /// The path where an endpoint says whether it is well and stays, if there is one.
    #[serde(default)]
    pub health: Option<String>,
    /// The most connections that one endpoint accepts, from all callers together.
    pub connections: u32,
    /// The model engine of its endpoints, if they run models.
    pub engine: Option<Engine>,
}
