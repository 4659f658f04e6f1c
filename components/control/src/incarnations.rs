//! Messages about the incarnations in which a loader has seen its endpoint.

use std::time::Duration;

use origin::{IncarnationLog, SeenIncarnation};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;
use units::{EndpointId, EndpointIncarnation};

/// The path at which a loader says in which incarnations it has seen its endpoint: `POST` with [`IncarnationsQuery`], answered with
/// [`IncarnationsAnswer`].
pub const INCARNATIONS_PATH: &str = "/incarnations";

/// A router asks in which incarnations an endpoint has run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct IncarnationsQuery {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Whether the loader asks the endpoint, and answers with its current incarnation only.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub renew: bool,
}

/// The response to an [`IncarnationsQuery`].
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct IncarnationsAnswer {
    /// The incarnations, in the order in which they were first seen; empty if the loader is beside another endpoint.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub seen: Vec<SeenAge>,
    /// The incarnation in which the endpoint has answered since the query arrived, if it was asked.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub current: Option<EndpointIncarnation>,
}

/// An incarnation in which an endpoint has answered its loader.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SeenAge {
    /// The incarnation.
    pub incarnation: EndpointIncarnation,
    /// The time since the endpoint was asked for the first answer of this incarnation.
    #[serde(with = "fleet::millis")]
    pub first: Duration,
    /// The time since it was asked for the last one.
    #[serde(with = "fleet::millis")]
    pub last: Duration,
    /// The time since the last one arrived.
    #[serde(with = "fleet::millis")]
    pub answered: Duration,
}

impl IncarnationsAnswer {
    /// The answer of a loader whose endpoint has just answered in this incarnation, if it did.
    pub fn of_current(current: Option<EndpointIncarnation>) -> Self {
        Self { seen: Vec::new(), current }
    }

    /// The answer of a loader that has seen its endpoint in these incarnations, to be sent at `now`.
    pub fn of_log(log: &IncarnationLog, now: Instant) -> Self {
        // Ages are sent in whole milliseconds, rounded up so that no question seems later than it was.
        let answered = |at: Instant| now.saturating_duration_since(at);
        let age = |at: Instant| answered(at) + Duration::from_millis(1);
        let seen = log.seen().map(|one| SeenAge {
            incarnation: one.incarnation,
            first: age(one.first),
            last: age(one.last),
            answered: answered(one.answered),
        });
        Self { seen: seen.collect(), current: None }
    }

    /// The incarnations by the clock of the router that asked at `asked`. No question is later than it really was.
    pub fn into_log(self, asked: Instant) -> IncarnationLog {
        let at = |age: Duration| asked.checked_sub(age).unwrap_or(asked);
        let seen = self.seen.into_iter().map(|one| SeenIncarnation {
            incarnation: one.incarnation,
            first: at(one.first),
            last: at(one.last),
            answered: at(one.answered),
        });
        seen.collect()
    }
}

#[cfg(test)]
mod tests;
