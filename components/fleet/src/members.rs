//! Membership: which endpoints of the platform's list may get requests.

use std::collections::BTreeMap;

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

/// The list as far as it is known.
#[derive(Debug, Default)]
pub struct Members {
    known: BTreeMap<EndpointId, Endpoint>,
}

impl Members {
    /// Takes one piece of news.
    pub fn apply(&mut self, change: Change) {
        match change {
            Change::Seen(endpoint) => {
                // An address belongs to whoever wrote it last.
                self.known.retain(|id, other| *id == endpoint.id || other.addr != endpoint.addr);
                self.known.insert(endpoint.id.clone(), *endpoint);
            }
            Change::Gone(id) => {
                self.known.remove(&id);
            }
        }
    }

    /// All known endpoints, by id.
    pub fn iter(&self) -> impl Iterator<Item = &Endpoint> {
        self.known.values()
    }

    /// One endpoint.
    pub fn get(&self, id: &EndpointId) -> Option<&Endpoint> {
        self.known.get(id)
    }

    /// How many are known.
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Whether none is known.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }
}
