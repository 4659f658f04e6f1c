//! Settings of a router.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use units::{Domain, InstanceId, Span};

/// Settings of a router.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The instance that it runs on.
    pub instance: InstanceId,
    /// The failure domain of the instance.
    pub domain: Domain,
    /// Where callers reach it.
    pub callers: SocketAddr,
    /// Where the balancer asks whether it takes callers.
    pub ready: SocketAddr,
    /// Where other routers ask it for what it knows.
    pub control: SocketAddr,
    /// Routers that it asks while it knows nothing and the store does not answer.
    pub peers: Vec<SocketAddr>,
    /// Where its metrics are read, if anywhere: `GET /metrics`.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
    /// The platform's store.
    pub store: SocketAddr,
    /// The port of the loader on the machine of each model server.
    #[serde(rename = "loader-port")]
    pub loader: u16,
    /// How long a graceful stop may take.
    pub grace: Span,
    /// How soon news of the store must be acted on.
    pub bounds: Bounds,
    /// Bounds on sending requests again.
    pub repeats: RepeatSettings,
    /// By how much limits of workspaces may be passed.
    #[serde(default)]
    pub quota: Option<QuotaSettings>,
}

/// How soon news of the store must be acted on, from the moment at which it was stored.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bounds {
    /// A version of the configuration must be in force within this time.
    pub apply: Span,
    /// An endpoint that leaves must get nothing any more within this time.
    pub drain: Span,
    /// A key that was taken away must not be served later than this, also by a router that nobody reaches.
    #[serde(default)]
    pub revoke: Option<Span>,
}

/// Bounds on sending requests again, over all routers together.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RepeatSettings {
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats in a window beyond these.
    pub slack: f64,
    /// The window.
    pub window: Span,
}

/// By how much the limits of workspaces may be passed, over all routers together.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct QuotaSettings {
    /// The length of the windows in which requests are counted.
    pub window: Span,
    /// The part of a limit beyond it.
    pub overshoot: f64,
    /// Units beyond these.
    pub slack: f64,
}

impl Default for QuotaSettings {
    /// No limit is passed by anything.
    fn default() -> Self {
        Self { window: Span(Duration::from_secs(1)), overshoot: 0.0, slack: 0.0 }
    }
}
