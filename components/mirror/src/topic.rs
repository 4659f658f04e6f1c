//! The topics of the store.

use serde::{Deserialize, Serialize};

/// A topic of the store with keyed records.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Topic {
    /// The configuration, written by the operator.
    Config,
    /// The list of endpoints, written by the servers.
    Endpoints,
    /// Records of endpoints that crashed, written by the routers for each other.
    CrashRecords,
    /// The list of routers, written by themselves.
    Routers,
    /// The software versions of services and where streams began, written by the routers.
    Streams,
}

impl Topic {
    /// The name of the topic in messages and log lines.
    pub fn name(self) -> &'static str {
        match self {
            Self::Config => "config",
            Self::Endpoints => "endpoints",
            Self::CrashRecords => "crash-records",
            Self::Routers => "routers",
            Self::Streams => "streams",
        }
    }
}
