//! The state and the rules by which records change it.

use record::{Attach, GrantId, Record};
use serde::{Deserialize, Serialize};
use tree::Tree;
use units::{
    EndpointId, Epoch, Incarnation, InstanceId, ModelName, Offset, ReplicaIndex, Revision,
};

use crate::Applied;

/// The planner lease.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Lease {
    /// The current epoch; 0 before the first claim.
    pub epoch: Epoch,
    /// Its holder, unless it resigned.
    pub holder: Option<InstanceId>,
    /// The offset of the newest claim or renewal; a challenger watches whether it moves.
    pub renewed: Offset,
}

/// An endpoint whose agent has attached.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Member {
    /// What the agent said.
    pub attach: Attach,
    /// Its incarnation: the offset of the attach.
    pub incarnation: Incarnation,
    /// Whether it takes no new work.
    pub leaving: bool,
}

/// A grant in force.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Grant {
    /// Its name.
    pub id: GrantId,
    /// The model, as callers name it.
    pub model: ModelName,
    /// Which replica.
    pub index: ReplicaIndex,
    /// What the engine loads.
    pub artifact: ModelName,
    /// Where.
    pub endpoint: EndpointId,
    /// Whether it is revoked and waits for its release.
    pub revoked: bool,
    /// The planner's reason.
    pub reason: String,
}

/// The state folded from the log.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct State {
    offset: Offset,
    revision: Revision,
    tree: Tree,
    lease: Lease,
}

impl State {
    /// Applies the record at an offset; offsets that were applied before are ignored by the caller.
    pub fn apply(&mut self, offset: Offset, _record: &Record) -> Applied {
        self.offset = offset;
        Applied { offset, verdicts: Vec::new() }
    }

    /// The newest offset applied.
    pub fn offset(&self) -> Offset {
        self.offset
    }

    /// The newest edit in force.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// The settings tree in force.
    pub fn tree(&self) -> &Tree {
        &self.tree
    }

    /// The planner lease.
    pub fn lease(&self) -> &Lease {
        &self.lease
    }

    /// All members.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        std::iter::empty()
    }

    /// One member.
    pub fn member(&self, _endpoint: &EndpointId) -> Option<&Member> {
        None
    }

    /// All grants in force, with the revoked that are not released yet.
    pub fn grants(&self) -> impl Iterator<Item = &Grant> {
        std::iter::empty()
    }

    /// The grants of a model, by replica index.
    pub fn grants_of(&self, _model: &ModelName) -> impl Iterator<Item = &Grant> {
        std::iter::empty()
    }

    /// The grants at an endpoint.
    pub fn grants_at(&self, _endpoint: &EndpointId) -> impl Iterator<Item = &Grant> {
        std::iter::empty()
    }
}
