//! Decides for each model which grants to revoke and which to add, within the limit of one round.

use std::collections::HashMap;

use jiff::Timestamp;
use policy::{
    CandidateEndpoint, HeldGrant, PlacementWeights, ReplicaSpec, choose_endpoint, relocation_saving,
};
use record::Decision;
use state::{Grant, Member};
use tree::Leaf;
use units::{Domain, EndpointId, ModelName, ReplicaIndex, ServiceName, Size};

use crate::decide::{ModelGrants, Round, Rules};
use crate::membership::Observations;
use crate::round_input::Model;

/// While replicas are replaced, at least the target number divided by this stays granted.
const KEPT_DIVISOR: u32 = 2;

/// How a grant is treated in this round.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum GrantStatus {
    /// The grant is kept.
    Keep,
    /// The endpoint does not answer but does not count as gone yet.
    Unresponsive,
    /// The grant must be revoked, for this reason, but only once enough other replicas are granted.
    Replace(&'static str),
    /// The endpoint takes no new work, so revoking the grant loses nothing.
    Leaving,
    /// The grant is already revoked, or its endpoint is not a member.
    Revoked,
}

/// The decisions of a round while they are being made.
pub(crate) struct Draft<'a> {
    rules: &'a Rules<'a>,
    members: HashMap<&'a EndpointId, &'a Member>,
    candidates: Vec<CandidateEndpoint>,
    candidate_indices: HashMap<&'a EndpointId, usize>,
    pub(crate) round: Round,
}

impl<'a> Draft<'a> {
    pub(crate) fn new(rules: &'a Rules<'a>, remaining: &[&'a Member]) -> Self {
        let candidates: Vec<CandidateEndpoint> =
            remaining.iter().map(|member| candidate(member, rules)).collect();
        let members = remaining.iter().map(|member| (&member.attach.endpoint, *member));
        let candidate_indices =
            remaining.iter().enumerate().map(|(i, member)| (&member.attach.endpoint, i));
        Self {
            rules,
            members: members.collect(),
            candidates,
            candidate_indices: candidate_indices.collect(),
            round: Round::default(),
        }
    }

    pub(crate) fn has_member(&self, endpoint: &EndpointId) -> bool {
        self.members.contains_key(endpoint)
    }

    pub(crate) fn add_held(&mut self, models: &[ModelGrants<'_>]) {
        for (model, grants) in models {
            for grant in grants {
                if let Some(&i) = self.candidate_indices.get(&grant.endpoint) {
                    self.candidates[i].grants.push(held_grant(model));
                }
            }
        }
    }

    /// The sort key of a model: models without a kept grant come first, then those whose closing window opens first.
    pub(crate) fn priority(
        &self,
        model: &Model,
        grants: &[&Grant],
    ) -> (bool, Timestamp, ModelName) {
        let served =
            grants.iter().any(|grant| self.status(&model.leaf, grant) == GrantStatus::Keep);
        let opens = model.closing.next_opening.unwrap_or(Timestamp::MAX);
        (served, opens, model.leaf.model.clone())
    }

    fn is_full(&self) -> bool {
        self.round.decisions.len() >= self.rules.max_decisions
    }

    fn status(&self, leaf: &Leaf, grant: &Grant) -> GrantStatus {
        let Some(member) = self.members.get(&grant.endpoint) else { return GrantStatus::Revoked };
        if grant.revoked {
            return GrantStatus::Revoked;
        }
        if is_leaving(member, self.rules.observations) {
            return GrantStatus::Leaving;
        }
        if self.rules.observations.is_unresponsive(member) {
            return GrantStatus::Unresponsive;
        }
        if grant.artifact != leaf.artifact {
            return GrantStatus::Replace("another version is in force");
        }
        if leaf.settings.service.as_ref() != Some(&member.attach.service) {
            return GrantStatus::Replace("the model belongs to another service");
        }
        if member.attach.memory < memory_needed(leaf) {
            return GrantStatus::Replace("the endpoint is too small");
        }
        if grant.index.0 >= leaf.settings.replicas_most {
            return GrantStatus::Replace("over the bound");
        }
        GrantStatus::Keep
    }

    /// Adds the decisions for one model: revokes grants that must go, and grants replicas that are missing.
    pub(crate) fn plan_model(&mut self, model: &Model, grants: &[&'a Grant]) {
        if self.is_full() {
            return;
        }
        let (leaf, target) = (&model.leaf, &model.target);
        let mut grants: Vec<(&Grant, GrantStatus)> =
            grants.iter().map(|grant| (*grant, self.status(leaf, grant))).collect();
        grants.sort_by_key(|(grant, _)| grant.index);
        let kept = with_status(&grants, |status| status == GrantStatus::Keep);
        self.revoke_leaving(&grants);
        self.revoke_replaced(leaf, &grants, target.replicas);
        self.revoke_surplus(leaf, &grants, target.replicas);
        let short = target.replicas.saturating_sub(to_u32(kept.len()));
        let room = leaf.settings.replicas_most.saturating_sub(to_u32(grants.len()));
        self.grant(model, &grants, short.min(room));
    }

    fn revoke_leaving(&mut self, grants: &[(&Grant, GrantStatus)]) {
        for grant in with_status(grants, |status| status == GrantStatus::Leaving) {
            self.revoke(grant, "the endpoint is leaving");
        }
    }

    /// Revokes grants that must be replaced, except as many as are still needed to serve the model until their
    /// replacements are granted.
    fn revoke_replaced(&mut self, leaf: &Leaf, grants: &[(&Grant, GrantStatus)], target: u32) {
        let kept = to_u32(with_status(grants, |status| status == GrantStatus::Keep).len());
        let floor = if leaf.settings.replicas_most > 1 { target.div_ceil(KEPT_DIVISOR) } else { 0 };
        let needed = floor.saturating_sub(kept) as usize;
        let outdated = grants.iter().filter_map(|(grant, status)| match status {
            GrantStatus::Replace(reason) => Some((*grant, *reason)),
            _ => None,
        });
        let outdated: Vec<(&Grant, &'static str)> = outdated.collect();
        for (grant, reason) in outdated.into_iter().skip(needed) {
            self.revoke(grant, reason);
        }
    }

    /// Revokes kept grants above the target number, and grants of unresponsive endpoints above the model's
    /// maximum number of replicas.
    fn revoke_surplus(&mut self, leaf: &Leaf, grants: &[(&Grant, GrantStatus)], target: u32) {
        let kept = with_status(grants, |status| status == GrantStatus::Keep);
        for grant in kept.iter().skip(target as usize) {
            self.revoke(grant, "more than wanted");
        }
        let unresponsive = with_status(grants, |status| status == GrantStatus::Unresponsive);
        let room = leaf.settings.replicas_most.saturating_sub(to_u32(kept.len()).min(target));
        for grant in unresponsive.iter().skip(room as usize) {
            self.revoke(grant, "over the bound");
        }
    }

    pub(crate) fn revoke(&mut self, grant: &Grant, reason: &str) {
        if !self.is_full() {
            self.round
                .decisions
                .push(Decision::Revoke { grant: grant.id, reason: reason.to_owned() });
        }
    }

    fn grant(&mut self, model: &Model, grants: &[(&Grant, GrantStatus)], count: u32) {
        let leaf = &model.leaf;
        let Some(service) = &leaf.settings.service else { return };
        let mut taken: Vec<ReplicaIndex> = grants.iter().map(|(grant, _)| grant.index).collect();
        let kept = with_status(grants, |status| status == GrantStatus::Keep);
        let mut domains: Vec<Domain> =
            kept.iter().filter_map(|grant| self.domain(&grant.endpoint)).collect();
        for _ in 0..count {
            if self.is_full() {
                return;
            }
            let replica = self.replica_spec(model, free_index(&taken), service, &domains);
            let Some(i) = choose_endpoint(&self.candidates, &replica, &PlacementWeights::default())
            else {
                self.round.unplaced += 1;
                return;
            };
            let index = replica.index;
            taken.push(index);
            self.round.decisions.push(Decision::Grant {
                model: leaf.model.clone(),
                index,
                artifact: leaf.artifact.clone(),
                endpoint: self.candidates[i].endpoint.clone(),
                reason: format!("{}: {} wanted", model.target.reason, model.target.replicas),
            });
            domains.push(self.candidates[i].domain.clone());
            self.candidates[i].grants.push(held_grant(model));
        }
    }

    /// How much lower the placement cost of a granted replica would be at the best other endpoint. `None` if the
    /// grant is not to be kept or no other endpoint can hold the replica.
    pub(crate) fn relocation_saving(
        &self,
        model: &Model,
        grant: &Grant,
        grants: &[&Grant],
    ) -> Option<f64> {
        let leaf = &model.leaf;
        if self.status(leaf, grant) != GrantStatus::Keep {
            return None;
        }
        let others = grants.iter().filter(|other| other.id != grant.id);
        let domains: Vec<Domain> =
            others.filter_map(|other| self.domain(&other.endpoint)).collect();
        let replica =
            self.replica_spec(model, grant.index, leaf.settings.service.as_ref()?, &domains);
        let current = *self.candidate_indices.get(&grant.endpoint)?;
        relocation_saving(&self.candidates, current, &replica, &PlacementWeights::default())
    }

    fn replica_spec<'w>(
        &self,
        model: &'w Model,
        index: ReplicaIndex,
        service: &'w ServiceName,
        domains: &'w [Domain],
    ) -> ReplicaSpec<'w> {
        let leaf = &model.leaf;
        ReplicaSpec {
            model: &leaf.model,
            index,
            artifact: &leaf.artifact,
            service,
            memory: memory_needed(leaf),
            next_opening: model.closing.next_opening,
            other_domains: domains,
        }
    }

    fn domain(&self, endpoint: &EndpointId) -> Option<Domain> {
        self.members.get(endpoint).map(|member| member.attach.domain.clone())
    }
}

fn candidate(member: &Member, rules: &Rules<'_>) -> CandidateEndpoint {
    let attach = &member.attach;
    CandidateEndpoint {
        endpoint: attach.endpoint.clone(),
        domain: attach.domain.clone(),
        service: attach.service.clone(),
        memory: attach.memory,
        cached: attach.cached.clone(),
        grants: Vec::new(),
        accepts_grants: !is_leaving(member, rules.observations)
            && !rules.observations.is_absent(member),
    }
}

fn is_leaving(member: &Member, observations: &Observations) -> bool {
    member.leaving || observations.is_leaving(&member.attach)
}

fn with_status<'a>(
    grants: &[(&'a Grant, GrantStatus)],
    matches: impl Fn(GrantStatus) -> bool,
) -> Vec<&'a Grant> {
    grants.iter().filter(|(_, status)| matches(*status)).map(|(grant, _)| *grant).collect()
}

fn held_grant(model: &Model) -> HeldGrant {
    let leaf = &model.leaf;
    HeldGrant {
        model: leaf.model.clone(),
        memory: memory_needed(leaf),
        next_opening: model.closing.next_opening,
    }
}

/// The accelerator memory that a replica takes: its weights and the room for its KV cache.
fn memory_needed(leaf: &Leaf) -> Size {
    leaf.settings.weights + leaf.settings.kv_room
}

fn to_u32(count: usize) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}

/// The lowest replica index that is not taken.
fn free_index(taken: &[ReplicaIndex]) -> ReplicaIndex {
    let mut index = ReplicaIndex(0);
    while taken.contains(&index) {
        index = index.next();
    }
    index
}
