//! The folded state and what can be asked of it.

use std::collections::BTreeMap;

use record::{Attach, GrantId};
use serde::{Deserialize, Serialize};
use tree::Tree;
use units::{
    EditId, EndpointId, Epoch, Incarnation, InstanceId, ModelName, Offset, ReplicaIndex, Revision,
};

use crate::Applied;
use crate::grants::Grants;
use crate::names::Names;
use crate::recent::Recent;

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

/// The record at which this program stopped, because it needs a newer one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Frozen {
    /// The offset of the record.
    pub at: Offset,
    /// The format that it needs.
    pub needs: u32,
}

/// The state folded from the log.
///
/// Its serialized form is the snapshot: two processes that have folded the same records write the same bytes.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct State {
    pub(crate) offset: Offset,
    pub(crate) revision: Revision,
    pub(crate) lease: Lease,
    pub(crate) tree: Tree,
    #[serde(with = "crate::members")]
    pub(crate) members: BTreeMap<EndpointId, Member>,
    pub(crate) grants: Grants,
    pub(crate) recent: Recent,
    pub(crate) edits: Recent,
    #[serde(skip)]
    pub(crate) frozen: Option<Frozen>,
    #[serde(skip)]
    pub(crate) names: Names,
}

impl State {
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

    /// Where the fold of this process stopped for lack of a newer program; it must then decide and
    /// append nothing.
    pub fn frozen(&self) -> Option<Frozen> {
        self.frozen
    }

    /// All members.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// One member.
    pub fn member(&self, endpoint: &EndpointId) -> Option<&Member> {
        self.members.get(endpoint)
    }

    /// One grant.
    pub fn grant(&self, id: GrantId) -> Option<&Grant> {
        self.grants.get(id)
    }

    /// All grants in force, with the revoked that are not released yet.
    pub fn grants(&self) -> impl Iterator<Item = &Grant> {
        self.grants.all()
    }

    /// The grants of a model, by replica index.
    pub fn grants_of(&self, model: &ModelName) -> impl Iterator<Item = &Grant> {
        self.grants.of(model)
    }

    /// The grants at an endpoint.
    pub fn grants_at(&self, endpoint: &EndpointId) -> impl Iterator<Item = &Grant> {
        self.grants.at(endpoint)
    }

    /// The grants of a model that are not revoked, by replica index, with the members that hold them.
    pub fn holders(&self, model: &ModelName) -> impl Iterator<Item = (&Grant, &Member)> {
        let standing = self.grants.of(model).filter(|grant| !grant.revoked);
        standing.filter_map(|grant| Some((grant, self.members.get(&grant.endpoint)?)))
    }

    /// Lets members and grants share their names' memory after they were read from a snapshot.
    pub(crate) fn share_names(&mut self) {
        let cached = self.members.values_mut().flat_map(|member| &mut member.attach.cached);
        cached.for_each(|name| self.names.share(name));
        self.grants.share_names(&mut self.names);
    }

    /// What became of a record of the last [`record::RECORD_WINDOW_OFFSETS`] offsets.
    pub fn verdict_of(&self, id: &str) -> Option<&Applied> {
        self.recent.get(id)
    }

    /// The offset and id of the newest record that is no repeat; two states of the same log that are less
    /// than [`record::RECORD_WINDOW_OFFSETS`] apart both know it.
    pub fn newest_id(&self) -> Option<(Offset, &str)> {
        self.recent.newest()
    }

    /// What became of an edit of the last [`record::RECORD_WINDOW_OFFSETS`] offsets.
    pub fn edit_verdict(&self, id: &EditId) -> Option<&Applied> {
        self.edits.get(id.as_str())
    }
}
