//! Promises of tokens to requests that were refused because the quota of their workspace was used up.

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
