//! One round of decisions: which endpoints are gone, which grants are revoked, and which replicas are granted where.
//!
//! A replica that moves never exists twice: its grant is revoked, the agent drains and releases the replica, and only
//! then is the replica granted on another endpoint. Every process that folds the log checks the decisions again.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use record::Decision;
use state::{Grant, Member};
use units::{EndpointId, ModelName, Size};

use crate::draft::Draft;
use crate::membership::Observations;
use crate::round_input::{Model, RoundInput};

/// At most the maximum number of decisions divided by this declares endpoints gone in one round, so that new grants
/// need not wait until all gone endpoints are removed.
pub(crate) const GONE_BATCH_DIVISOR: usize = 2;

/// The inputs of a round besides the state.
pub(crate) struct Rules<'a> {
    pub(crate) observations: &'a Observations,
    /// How long an endpoint must be missing from the platform's list before it counts as gone.
    pub(crate) absence_timeout: Duration,
    /// The most decisions of one round.
    pub(crate) max_decisions: usize,
}

/// The result of one round.
#[derive(Debug, Clone, Default, PartialEq)]
pub(crate) struct Round {
    pub(crate) decisions: Vec<Decision>,
    /// The number of models with fewer grants than their target, because no endpoint can hold another replica.
    pub(crate) unplaced: usize,
}

/// Makes the decisions of one round, at most `rules.max_decisions`.
pub(crate) fn decide(input: &RoundInput, models: &[Model], rules: &Rules<'_>) -> Round {
    let (gone, remaining) = split_gone_members(input, rules);
    let mut draft = Draft::new(rules, &remaining);
    draft.round.decisions.extend(gone);
    let in_force = input.grants.iter().filter(|grant| draft.has_member(&grant.endpoint));
    let (mut grouped, orphans) = group_by_model(models, in_force);
    draft.add_held(&grouped);
    for grant in orphans.into_iter().filter(|grant| !grant.revoked) {
        draft.revoke(grant, "the model is not in the tree");
    }
    grouped.sort_by_cached_key(|(model, grants)| draft.priority(model, grants));
    for (model, grants) in &grouped {
        draft.plan_model(model, grants);
    }
    draft.round
}

/// A model and its grants.
pub(crate) type ModelGrants<'a> = (&'a Model, Vec<&'a Grant>);

/// Groups grants by model. The second value has the grants whose model is not in `models`.
pub(crate) fn group_by_model<'a>(
    models: &'a [Model],
    grants: impl Iterator<Item = &'a Grant>,
) -> (Vec<ModelGrants<'a>>, Vec<&'a Grant>) {
    let mut grants_by_model: BTreeMap<&ModelName, Vec<&Grant>> = BTreeMap::new();
    for grant in grants {
        grants_by_model.entry(&grant.model).or_default().push(grant);
    }
    let mut grouped = Vec::with_capacity(models.len());
    for model in models {
        grouped.push((model, grants_by_model.remove(&model.leaf.model).unwrap_or_default()));
    }
    (grouped, grants_by_model.into_values().flatten().collect())
}

/// Decides which endpoints are gone. Returns the decisions about them and the remaining members.
fn split_gone_members<'a>(
    input: &'a RoundInput,
    rules: &Rules<'_>,
) -> (Vec<Decision>, Vec<&'a Member>) {
    let mut grant_counts = HashMap::<&EndpointId, usize>::new();
    for grant in &input.grants {
        *grant_counts.entry(&grant.endpoint).or_default() += 1;
    }
    let limit = (rules.max_decisions / GONE_BATCH_DIVISOR).max(1);
    let mut gone = Vec::new();
    let mut remaining = Vec::with_capacity(input.members.len());
    for member in &input.members {
        let has_no_grants = !grant_counts.contains_key(&member.attach.endpoint);
        let is_gone = has_drained(member, has_no_grants, rules)
            || rules.observations.is_gone(member, rules.absence_timeout);
        if is_gone && gone.len() < limit {
            let endpoint = member.attach.endpoint.clone();
            gone.push(Decision::Gone { endpoint, incarnation: member.incarnation });
        } else {
            remaining.push(member);
        }
    }
    (gone, remaining)
}

/// Whether an agent has announced that it leaves and no request can still run at its endpoint. A plain service (one
/// without accelerator memory) has no grants to release, so its requests may run until the platform removes the
/// instance.
fn has_drained(member: &Member, has_no_grants: bool, rules: &Rules<'_>) -> bool {
    let is_engine = member.attach.memory > Size(0);
    member.leaving && has_no_grants && (is_engine || rules.observations.is_absent(member))
}

#[cfg(test)]
mod tests;
