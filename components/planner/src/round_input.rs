//! The part of the folded state that one round of decisions needs, as a copy.

use std::collections::HashMap;
use std::sync::Arc;

use policy::{ClosingDemand, ReplicaTarget};
use state::{Grant, Member, State};
use tree::{Leaf, NodeKind};
use units::{Epoch, ModelName};

/// A model of the tree and its target number of replicas.
#[derive(Debug, Clone)]
pub(crate) struct Model {
    pub(crate) leaf: Arc<Leaf>,
    pub(crate) closing: ClosingDemand,
    pub(crate) target: ReplicaTarget,
    /// Whether the model has had almost no requests for some time.
    pub(crate) idle: bool,
}

/// A copy of the state that one round works on.
#[derive(Debug, Clone)]
pub(crate) struct RoundInput {
    pub(crate) epoch: Epoch,
    pub(crate) leaves: Vec<Arc<Leaf>>,
    pub(crate) members: Vec<Member>,
    pub(crate) grants: Vec<Grant>,
}

impl RoundInput {
    pub(crate) fn from_state(epoch: Epoch, state: &State) -> Self {
        let models = state.tree().leaves().iter().filter(|leaf| leaf.kind == NodeKind::Model);
        Self {
            epoch,
            leaves: models.cloned().collect(),
            members: state.members().cloned().collect(),
            grants: state.grants().cloned().collect(),
        }
    }

    /// The number of grants of each model that are not revoked.
    pub(crate) fn granted_counts(&self) -> HashMap<&ModelName, u32> {
        let mut counts = HashMap::with_capacity(self.leaves.len());
        for grant in self.grants.iter().filter(|grant| !grant.revoked) {
            *counts.entry(&grant.model).or_default() += 1;
        }
        counts
    }
}
