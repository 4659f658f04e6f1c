//! What routers tell each other of it.

use std::collections::BTreeSet;
use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use units::{Domain, EndpointId, Life};

use crate::Digest;

/// A moment in Unix milliseconds by the clock of the router that writes it; clocks differ by little, and what depends on
/// them is counted in minutes.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Stamp(pub u64);

impl Stamp {
    /// How long ago an earlier moment was.
    #[must_use]
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }
}

impl fmt::Display for Stamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// One life of an endpoint ended while it ran requests, not by a planned stop.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Death {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The life that ended, if the endpoint tells its lives apart.
    #[serde(default)]
    pub life: Option<Life>,
    /// Its failure domain.
    pub domain: Domain,
    /// Endpoints that this domain had.
    pub among: u32,
    /// When it was seen.
    pub at: Stamp,
    /// The requests that it had from the router that saw it.
    pub runs: BTreeSet<Digest>,
}

/// A request is no longer held to crash endpoints: it ran to its end, or an operator says so.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Release {
    /// The request.
    pub digest: Digest,
    /// Ends up to then don't count against it.
    pub at: Stamp,
}

/// A suspect is sent once more, to see whether it still crashes what runs it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Trial {
    /// The request.
    pub digest: Digest,
    /// Which of its trials this is, from 1.
    pub number: u32,
    /// When it was sent.
    pub at: Stamp,
}

/// One record. The table is the same in whatever order they are taken, and however often.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Note {
    /// An endpoint ended.
    Death(Death),
    /// A request is cleared.
    Release(Release),
    /// A suspect is tried.
    Trial(Trial),
}

impl Note {
    /// The key under which a router's record is kept: one is replaced only by what holds all that it says.
    pub fn key(&self, router: &str) -> String {
        match self {
            Self::Death(Death { endpoint, life, .. }) => {
                format!("end {endpoint} {} {router}", life.unwrap_or_default())
            }
            Self::Release(Release { digest, .. }) => format!("release {digest}"),
            Self::Trial(Trial { digest, number, .. }) => format!("trial {digest} {number}"),
        }
    }

    /// When it was written.
    pub fn at(&self) -> Stamp {
        match self {
            Self::Death(Death { at, .. })
            | Self::Release(Release { at, .. })
            | Self::Trial(Trial { at, .. }) => *at,
        }
    }
}
