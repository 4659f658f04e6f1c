//! Promises of tokens to requests that were refused because the quota of their workspace was used up.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Identifies a request that is short of tokens, also when its caller sends it again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenClaim {
    /// A hash of what does not change when the request is sent again.
    pub fingerprint: u64,
    /// How long the caller can still wait.
    #[serde(rename = "within_ms", with = "fleet::millis")]
    pub within: Duration,
    /// Whether the request has the highest priority of those of its workspace that were seen lately.
    #[serde(default)]
    pub urgent: bool,
}

/// When a request that got no tokens should be sent again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenRetry {
    /// The time until there are tokens for the request.
    #[serde(rename = "after_ms", with = "fleet::millis")]
    pub after: Duration,
    /// Whether these tokens are promised to the request.
    pub promised: bool,
}

/// A router asks another one for its whole share of the limit of a workspace.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareRequest {
    /// For how long, from the moment at which the router asks.
    #[serde(rename = "for_ms", with = "fleet::millis")]
    pub time: Duration,
}

/// A share of the limit of a workspace that its owner does not use for some time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeasedShare {
    /// The number of equal shares that the owner counts.
    pub count: u32,
    /// For how long the other router may use the share, from the moment at which it asked.
    #[serde(rename = "for_ms", with = "fleet::millis")]
    pub time: Duration,
}

/// The path at which a router drops the leases of the share of another one: `POST` with [`LeaseRelease`].
pub const LEASES_PATH: &str = "/leases";

/// A router has restarted, and wants to use its share, which the process before it may have leased out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRelease {
    /// The router, by its control address.
    pub owner: SocketAddr,
}
