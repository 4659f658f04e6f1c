//! Records that routers exchange about crashed endpoints and the requests suspected to crash them.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use units::{Domain, EndpointId, EndpointIncarnation, UnixMillis};

use crate::Digest;

/// An endpoint stopped while it ran requests, and not because of a planned shutdown.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The incarnation that crashed, if the endpoint reports its incarnation.
    #[serde(default)]
    #[serde(rename = "life")]
    pub incarnation: Option<EndpointIncarnation>,
    /// The failure domain of the endpoint.
    pub domain: Domain,
    /// The number of endpoints in this failure domain.
    #[serde(rename = "among")]
    pub domain_endpoints: u32,
    /// When a router noticed the crash.
    pub at: UnixMillis,
    /// The requests that the router which noticed the crash had running on the endpoint.
    #[serde(rename = "runs")]
    pub requests: BTreeSet<Digest>,
    /// The parts of the prompts of these requests, each with the callers whose requests had it. Routers of earlier versions don't
    /// write them.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub parts: BTreeMap<Digest, BTreeSet<Digest>>,
}

/// Clears a request: it ran to completion, or an operator released it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Release {
    /// The request.
    pub digest: Digest,
    /// Crashes up to this time don't count against the request.
    pub at: UnixMillis,
}

/// Clears parts of prompts, or whole requests: requests that had these parts ran well, or these requests did.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartsRelease {
    /// The digests, each with the time up to which crashes don't count against it.
    pub parts: BTreeMap<Digest, UnixMillis>,
}

impl PartsRelease {
    /// The latest of its times.
    pub fn at(&self) -> UnixMillis {
        self.parts.values().copied().max().unwrap_or_default()
    }
}

/// A suspect is sent to an endpoint once more, to see whether it still crashes endpoints.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Trial {
    /// The request.
    pub digest: Digest,
    /// The number of this trial among the trials of the request, from 1.
    pub number: u32,
    /// When the request was sent.
    pub at: UnixMillis,
}

/// One record. [`CrashTable`](crate::CrashTable) doesn't depend on the order of records, nor on how often one is applied.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum QuarantineRecord {
    /// An endpoint crashed.
    #[serde(rename = "death")]
    Crash(Crash),
    /// A request is cleared.
    Release(Release),
    /// Parts of prompts or requests are cleared.
    PartsRelease(PartsRelease),
    /// A suspect is tried again.
    Trial(Trial),
}

/// How the keys of records begin.
const KEY_PREFIXES: [&str; 4] = ["end ", "release ", "parts ", "trial "];

impl QuarantineRecord {
    /// Whether a router may have written a record with this key.
    pub fn is_key(key: &str) -> bool {
        KEY_PREFIXES.iter().any(|prefix| key.starts_with(prefix))
    }

    /// The key under which the store keeps this record of a router. A record replaces another one with the same key only if
    /// it contains everything that the other one says.
    pub fn key(&self, router: &str) -> String {
        match self {
            Self::Crash(Crash { endpoint, incarnation, .. }) => {
                format!("end {endpoint} {} {router}", incarnation.unwrap_or_default())
            }
            Self::Release(Release { digest, .. }) => format!("release {digest}"),
            Self::PartsRelease(release) => format!("parts {router} {}", release.at()),
            Self::Trial(Trial { digest, number, .. }) => format!("trial {digest} {number}"),
        }
    }

    /// When the recorded event happened.
    pub fn at(&self) -> UnixMillis {
        match self {
            Self::Crash(Crash { at, .. })
            | Self::Release(Release { at, .. })
            | Self::Trial(Trial { at, .. }) => *at,
            Self::PartsRelease(release) => release.at(),
        }
    }
}
