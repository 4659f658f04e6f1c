//! A short account of the state for `/status`.

use serde::Serialize;
use units::{Epoch, InstanceId, Offset, Revision};

use crate::{Frozen, State};

/// The state in a few numbers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Summary {
    /// The newest offset applied.
    pub offset: Offset,
    /// The newest edit in force.
    pub revision: Revision,
    /// The planner's epoch.
    pub epoch: Epoch,
    /// The planner, unless it resigned.
    pub holder: Option<InstanceId>,
    /// The nodes of the settings tree.
    pub nodes: usize,
    /// The members.
    pub members: usize,
    /// The members that are leaving.
    pub leaving: usize,
    /// The grants, with the revoked.
    pub grants: usize,
    /// The grants that are revoked and not released yet.
    pub revoked: usize,
    /// Where the fold stopped, if this program is too old for the log.
    pub frozen: Option<Frozen>,
}

impl State {
    /// The state in a few numbers.
    pub fn summary(&self) -> Summary {
        Summary {
            offset: self.offset,
            revision: self.revision,
            epoch: self.lease.epoch,
            holder: self.lease.holder.clone(),
            nodes: self.tree.nodes().len(),
            members: self.members.len(),
            leaving: self.members().filter(|member| member.leaving).count(),
            grants: self.grants.len(),
            revoked: self.grants().filter(|grant| grant.revoked).count(),
            frozen: self.frozen,
        }
    }
}
