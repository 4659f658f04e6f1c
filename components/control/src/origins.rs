//! Messages about the software versions that began streams.

use std::collections::BTreeSet;
use std::time::Duration;

use origin::{KeeperAnswer, Lookup, StreamKey, StreamNeeds, StreamOrigin};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;
use units::{EndpointId, EndpointIncarnation, ServiceName, SoftwareVersion};

/// The path at which a loader keeps origins: `POST` with a list of at most [`MAX_ORIGIN_RECORDS`] [`OriginRecord`]s, answered without a
/// body.
pub const ORIGINS_PATH: &str = "/origins";
/// The path at which a loader says what it knows of a stream: `POST` with [`OriginQuery`], answered with [`OriginAnswer`].
pub const ORIGIN_PATH: &str = "/origin";

/// The most records in one message.
pub const MAX_ORIGIN_RECORDS: usize = 512;
/// The longest time for which a record is kept; a longer one in a message counts as this.
pub const MAX_ORIGIN_KEEP: Duration = origin::MAX_KEEP;
/// The longest age of a record; a longer one in a message counts as this.
pub const MAX_ORIGIN_AGE: Duration = Duration::from_secs(24 * 60 * 60);

/// Where a stream began, as a router tells a loader.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginRecord {
    /// The stream.
    pub key: StreamKey,
    /// The service of the endpoint that began it.
    pub service: ServiceName,
    /// The version of the endpoint's software, if it is known by now.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub software: Option<SoftwareVersion>,
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The incarnation of the endpoint that the list named.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub incarnation: Option<EndpointIncarnation>,
    /// Whether this incarnation is known to have sent the first event.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub confirmed: bool,
    /// What the endpoint needed for the request; left out if the incarnation is confirmed.
    #[serde(default, skip_serializing_if = "needs_nothing")]
    pub needs: StreamNeeds,
    /// The time since its first event.
    #[serde(with = "fleet::millis")]
    pub age: Duration,
    /// How long the record is kept; 0 in an answer.
    #[serde(default, with = "fleet::millis")]
    pub keep: Duration,
}

impl OriginRecord {
    /// The record of an origin, to be sent at `now`.
    pub fn new(key: StreamKey, origin: &StreamOrigin, keep: Duration, now: Instant) -> Self {
        Self {
            key,
            service: origin.service.clone(),
            software: origin.software.clone(),
            endpoint: origin.endpoint.clone(),
            incarnation: origin.incarnation,
            confirmed: origin.confirmed,
            needs: if origin.confirmed { StreamNeeds::default() } else { origin.needs },
            age: now.saturating_duration_since(origin.begun),
            keep,
        }
    }

    /// The origin, as it was received at `now`.
    pub fn into_origin(self, now: Instant) -> StreamOrigin {
        let begun = now.checked_sub(self.age.min(MAX_ORIGIN_AGE)).unwrap_or(now);
        let Self { service, software, endpoint, incarnation, confirmed, needs, .. } = self;
        StreamOrigin { service, software, endpoint, incarnation, confirmed, needs, begun }
    }

    /// How long the receiver keeps the record.
    pub fn bounded_keep(&self) -> Duration {
        self.keep.min(MAX_ORIGIN_KEEP)
    }
}

#[allow(clippy::trivially_copy_pass_by_ref, reason = "serde passes a reference")]
fn needs_nothing(needs: &StreamNeeds) -> bool {
    *needs == StreamNeeds::Nothing
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
    /// For how long the loader has kept records.
    #[serde(default, with = "fleet::millis")]
    pub kept: Duration,
}

impl OriginAnswer {
    /// The answer of a loader that knows this of a stream and of the versions of its service, to be sent at `now`.
    pub fn new(
        key: StreamKey,
        lookup: &Lookup,
        versions: &BTreeSet<SoftwareVersion>,
        kept: Duration,
        now: Instant,
    ) -> Self {
        let origin = match lookup {
            Lookup::Known(origin) => Some(OriginRecord::new(key, origin, Duration::ZERO, now)),
            Lookup::Unknown | Lookup::Conflicting => None,
        };
        let conflicting = *lookup == Lookup::Conflicting;
        Self { origin, conflicting, versions: versions.iter().cloned().collect(), kept }
    }

    /// What the loader knows of the stream `key`, as it was received at `now`; its endpoint has been listed for the time `listed`. A
    /// record of another stream says nothing of it.
    pub fn into_keeper_answer(
        self,
        key: StreamKey,
        listed: Duration,
        now: Instant,
    ) -> KeeperAnswer {
        let record = self.origin.filter(|record| record.key == key);
        let origin = match record {
            _ if self.conflicting => Lookup::Conflicting,
            Some(record) => Lookup::Known(record.into_origin(now)),
            None => Lookup::Unknown,
        };
        // A loader sees no list, so it can't say whether it would know of other versions.
        let watched = Duration::ZERO;
        KeeperAnswer {
            origin,
            versions: self.versions.into_iter().collect(),
            watched,
            kept: self.kept,
            listed,
        }
    }
}

#[cfg(test)]
mod tests;
