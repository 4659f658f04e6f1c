//! News of the platform's list of endpoints.

use units::EndpointId;

use crate::Endpoint;

/// One piece of news of the list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EndpointChange {
    /// An entry is there, new or changed.
    Listed(Box<Endpoint>),
    /// An entry is no longer there.
    Removed(EndpointId),
}

impl EndpointChange {
    /// The endpoint whose entry is there.
    pub fn listed(&self) -> Option<&EndpointId> {
        match self {
            Self::Listed(endpoint) => Some(&endpoint.id),
            Self::Removed(_) => None,
        }
    }
}
