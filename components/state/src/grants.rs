//! The grants in force, indexed by model and by endpoint.

use std::collections::{BTreeMap, BTreeSet};

use record::GrantId;
use serde::{Deserialize, Serialize};
use units::{EndpointId, ModelName, ReplicaIndex};

use crate::Grant;
use crate::names::Names;

/// Grants by id, with an index for each way they are asked for.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "Vec<Grant>", into = "Vec<Grant>")]
pub(crate) struct Grants {
    by_id: BTreeMap<GrantId, Grant>,
    by_model: BTreeMap<ModelName, BTreeMap<ReplicaIndex, GrantId>>,
    by_endpoint: BTreeMap<EndpointId, BTreeSet<GrantId>>,
}

impl Grants {
    pub(crate) fn len(&self) -> usize {
        self.by_id.len()
    }

    pub(crate) fn get(&self, id: GrantId) -> Option<&Grant> {
        self.by_id.get(&id)
    }

    pub(crate) fn all(&self) -> impl Iterator<Item = &Grant> {
        self.by_id.values()
    }

    pub(crate) fn of(&self, model: &ModelName) -> impl Iterator<Item = &Grant> {
        let ids = self.by_model.get(model).into_iter().flat_map(BTreeMap::values);
        ids.filter_map(|id| self.by_id.get(id))
    }

    pub(crate) fn at(&self, endpoint: &EndpointId) -> impl Iterator<Item = &Grant> {
        let ids = self.by_endpoint.get(endpoint).into_iter().flatten();
        ids.filter_map(|id| self.by_id.get(id))
    }

    /// How many grants a model has.
    pub(crate) fn count(&self, model: &ModelName) -> usize {
        self.by_model.get(model).map_or(0, BTreeMap::len)
    }

    /// Whether the replica is granted.
    pub(crate) fn taken(&self, model: &ModelName, index: ReplicaIndex) -> bool {
        self.by_model.get(model).is_some_and(|slots| slots.contains_key(&index))
    }

    /// Adds a grant; the caller has checked that its slot is free.
    pub(crate) fn insert(&mut self, grant: Grant) {
        let slots = self.by_model.entry(grant.model.clone()).or_default();
        slots.insert(grant.index, grant.id);
        self.by_endpoint.entry(grant.endpoint.clone()).or_default().insert(grant.id);
        self.by_id.insert(grant.id, grant);
    }

    /// Marks a grant as revoked; false if there is none or it was revoked before.
    pub(crate) fn revoke(&mut self, id: GrantId) -> bool {
        let grant = self.by_id.get_mut(&id).filter(|grant| !grant.revoked);
        grant.map(|grant| grant.revoked = true).is_some()
    }

    pub(crate) fn remove(&mut self, id: GrantId) {
        let Some(grant) = self.by_id.remove(&id) else { return };
        if let Some(slots) = self.by_model.get_mut(&grant.model) {
            slots.remove(&grant.index);
            if slots.is_empty() {
                self.by_model.remove(&grant.model);
            }
        }
        if let Some(ids) = self.by_endpoint.get_mut(&grant.endpoint) {
            ids.remove(&id);
            if ids.is_empty() {
                self.by_endpoint.remove(&grant.endpoint);
            }
        }
    }

    pub(crate) fn share_names(&mut self, names: &mut Names) {
        for grant in self.by_id.values_mut() {
            names.share(&mut grant.model);
            names.share(&mut grant.artifact);
        }
    }

    /// Removes all grants at an endpoint.
    pub(crate) fn clear(&mut self, endpoint: &EndpointId) {
        let ids: Vec<GrantId> = self.at(endpoint).map(|grant| grant.id).collect();
        ids.into_iter().for_each(|id| self.remove(id));
    }
}

impl From<Vec<Grant>> for Grants {
    fn from(list: Vec<Grant>) -> Self {
        let mut grants = Self::default();
        list.into_iter().for_each(|grant| grants.insert(grant));
        grants
    }
}

impl From<Grants> for Vec<Grant> {
    fn from(grants: Grants) -> Self {
        grants.by_id.into_values().collect()
    }
}
