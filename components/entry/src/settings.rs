//! The entry's settings file.

use std::net::SocketAddr;

use process::Identity;
use serde::Deserialize;
use units::{Size, Span};

/// The entry's settings.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Who the process is.
    pub identity: Identity,
    /// Where callers reach it.
    pub listen: SocketAddr,
    /// Where the entry takes control messages.
    pub control: SocketAddr,
    /// Control addresses of the other entries.
    pub seeds: Vec<SocketAddr>,
    /// The log service.
    pub log: SocketAddr,
    /// The instance list.
    pub list: SocketAddr,
    /// The largest body of a caller's request.
    #[serde(default = "default_body")]
    pub body_limit: Size,
    /// The most callers' requests in flight.
    #[serde(default = "default_in_flight")]
    pub in_flight: u32,
    /// How long an idempotency key is remembered.
    #[serde(default = "default_key_window")]
    pub key_window: Span,
    /// How long the balancer may still send connections after a shutdown began.
    #[serde(default = "default_lag")]
    pub balancer_lag: Span,
    /// Whether replicas that have a prompt's prefix in their cache are preferred.
    #[serde(default = "default_affinity")]
    pub affinity: bool,
    /// How long the planner lease may go without renewal before another entry claims it.
    #[serde(default = "default_lease")]
    pub lease: Span,
}

fn default_body() -> Size {
    Size::mib(1)
}

fn default_in_flight() -> u32 {
    10_000
}

fn default_key_window() -> Span {
    Span::secs(3600)
}

fn default_lag() -> Span {
    Span::secs(3)
}

fn default_affinity() -> bool {
    true
}

fn default_lease() -> Span {
    Span::secs(5)
}
