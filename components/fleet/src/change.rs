//! News of the platform's list of endpoints.

use units::EndpointId;

use crate::Endpoint;

/// One piece of news of the list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// An entry is there, new or changed.
    Seen(Box<Endpoint>),
    /// An entry is no longer there.
    Gone(EndpointId),
}

impl Change {
    /// The endpoint whose entry is there.
    pub fn seen(&self) -> Option<&EndpointId> {
        match self {
            Self::Seen(endpoint) => Some(&endpoint.id),
            Self::Gone(_) => None,
        }
    }
}
