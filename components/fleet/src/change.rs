//! Changes in the platform's list of endpoints.

use units::EndpointId;

use crate::Endpoint;

/// One change in the list of endpoints.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EndpointChange {
    /// An entry was added or changed.
    Listed(Box<Endpoint>),
    /// An entry was removed.
    Removed(EndpointId),
}

impl EndpointChange {
    /// The endpoint whose entry was added or changed; `None` for a removed entry.
    pub fn listed(&self) -> Option<&EndpointId> {
        match self {
            Self::Listed(endpoint) => Some(&endpoint.id),
            Self::Removed(_) => None,
        }
    }
}
