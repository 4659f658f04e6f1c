//! What one round of decisions looks at, copied out of the folded state.

use std::collections::HashMap;
use std::sync::Arc;

use policy::{Closing, Wanted};
use state::{Grant, Member, State};
use tree::{Leaf, NodeKind};
use units::{Epoch, ModelName};

/// A model in force and what is wanted of it.
#[derive(Debug, Clone)]
pub(crate) struct Model {
    pub(crate) leaf: Arc<Leaf>,
    pub(crate) closing: Closing,
    pub(crate) wanted: Wanted,
    /// Whether nobody has asked for it for some time.
    pub(crate) idle: bool,
}

/// The state as one round sees it.
#[derive(Debug, Clone)]
pub(crate) struct Picture {
    pub(crate) epoch: Epoch,
    pub(crate) leaves: Vec<Arc<Leaf>>,
    pub(crate) members: Vec<Member>,
    pub(crate) grants: Vec<Grant>,
}

impl Picture {
    pub(crate) fn take(epoch: Epoch, state: &State) -> Self {
        let models = state.tree().leaves().iter().filter(|leaf| leaf.kind == NodeKind::Model);
        Self {
            epoch,
            leaves: models.cloned().collect(),
            members: state.members().cloned().collect(),
            grants: state.grants().cloned().collect(),
        }
    }

    /// How many grants that are not revoked each model has.
    pub(crate) fn granted(&self) -> HashMap<&ModelName, u32> {
        let mut counts = HashMap::with_capacity(self.leaves.len());
        for grant in self.grants.iter().filter(|grant| !grant.revoked) {
            *counts.entry(&grant.model).or_default() += 1;
        }
        counts
    }
}
