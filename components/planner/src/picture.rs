//! What one round of decisions looks at, copied out of the folded state.

use std::sync::Arc;

use state::{Grant, Member, State};
use tree::{Leaf, NodeKind};
use units::{Epoch, Revision};

/// The models in force; worked out again only when the tree changes.
#[derive(Debug, Clone, Default)]
pub(crate) struct Models {
    revision: Option<Revision>,
    leaves: Arc<[Leaf]>,
}

impl Models {
    fn refresh(&mut self, state: &State) -> Arc<[Leaf]> {
        if self.revision != Some(state.revision()) {
            let leaves = state.tree().leaves().into_iter();
            self.leaves = leaves.filter(|leaf| leaf.kind == NodeKind::Model).collect();
            self.revision = Some(state.revision());
        }
        self.leaves.clone()
    }
}

/// The state as one round sees it.
#[derive(Debug, Clone)]
pub(crate) struct Picture {
    pub(crate) epoch: Epoch,
    pub(crate) models: Arc<[Leaf]>,
    pub(crate) members: Vec<Member>,
    pub(crate) grants: Vec<Grant>,
}

impl Picture {
    pub(crate) fn take(epoch: Epoch, state: &State, models: &mut Models) -> Self {
        Self {
            epoch,
            models: models.refresh(state),
            members: state.members().cloned().collect(),
            grants: state.grants().cloned().collect(),
        }
    }
}
