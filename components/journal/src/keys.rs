//! Claims of idempotency keys on their own stream, many to one append.

use std::sync::Arc;
use std::time::Duration;

use platform::LogService;
use record::KeyClaim;
use thiserror::Error;
use units::RequestId;

/// What a claim found.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeyOutcome {
    /// This request may run.
    Won,
    /// Another request holds the key.
    Taken {
        /// The request that holds it.
        by: RequestId,
        /// Whether its call had the same body.
        same: bool,
    },
}

/// Why a claim was not decided.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ClaimError {
    /// The log can't be written or read back in time; the request must not run.
    #[error("the key could not be claimed within {limit:?}")]
    Undecided {
        /// How long the claim waited.
        limit: Duration,
    },
    /// The keys of the last window are not all read yet.
    #[error("the claimed keys are still being read")]
    NotReady,
}

/// A handle on the claimed keys; cheap to clone.
#[derive(Clone)]
pub struct Keys {}

impl Keys {
    /// Starts following the key stream; keys are remembered for `window`.
    pub fn start(_service: Arc<dyn LogService>, _window: Duration) -> Self {
        Self {}
    }

    /// Claims a key for a request and waits until the log has decided.
    pub async fn claim(&self, _claim: KeyClaim, limit: Duration) -> Result<KeyOutcome, ClaimError> {
        Err(ClaimError::Undecided { limit })
    }
}
