//! One round of decisions: who is gone, which grants end, which replicas are granted where.
//!
//! A replica moves without surge: its grant is revoked, the agent drains and releases it, and only then
//! is the replica granted elsewhere. What is decided here is checked again by the fold of every process.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use record::Decision;
use state::{Grant, Member};
use units::{EndpointId, ModelName, Size};

use crate::draft::Draft;
use crate::membership::Sightings;
use crate::picture::{Model, Picture};

/// At most this part of a batch declares endpoints gone, so that new grants need not wait for all of them.
pub(crate) const GONE_PART: usize = 2;
/// What a round goes by besides the state.
pub(crate) struct Rules<'a> {
    pub(crate) sightings: &'a Sightings,
    pub(crate) guard: Duration,
    pub(crate) batch: usize,
}

/// What one round came to.
#[derive(Debug, Clone, Default, PartialEq)]
pub(crate) struct Round {
    pub(crate) decisions: Vec<Decision>,
    /// Models with fewer grants than wanted, because no endpoint can hold another.
    pub(crate) unplaced: usize,
}

/// The decisions of one round, at most `rules.batch`.
pub(crate) fn decide(picture: &Picture, models: &[Model], rules: &Rules<'_>) -> Round {
    let (gone, staying) = split_gone(picture, rules);
    let mut draft = Draft::new(rules, &staying);
    draft.round.decisions.extend(gone);
    let standing = picture.grants.iter().filter(|grant| draft.has_member(&grant.endpoint));
    let (mut all, orphans) = by_model(models, standing);
    draft.note_held(&all);
    for grant in orphans.into_iter().filter(|grant| !grant.revoked) {
        draft.revoke(grant, "the model is not in the tree");
    }
    all.sort_by_cached_key(|(model, grants)| draft.urgency(model, grants));
    for (model, grants) in &all {
        draft.settle(model, grants);
    }
    draft.round
}

/// A model with its grants.
pub(crate) type Granted<'a> = (&'a Model, Vec<&'a Grant>);

/// Brings models and grants together, and returns the grants of no model too.
pub(crate) fn by_model<'a>(
    models: &'a [Model],
    grants: impl Iterator<Item = &'a Grant>,
) -> (Vec<Granted<'a>>, Vec<&'a Grant>) {
    let mut of_model: BTreeMap<&ModelName, Vec<&Grant>> = BTreeMap::new();
    for grant in grants {
        of_model.entry(&grant.model).or_default().push(grant);
    }
    let mut all = Vec::with_capacity(models.len());
    for model in models {
        all.push((model, of_model.remove(&model.leaf.model).unwrap_or_default()));
    }
    (all, of_model.into_values().flatten().collect())
}

/// Decides which endpoints are gone, and returns them and the members that stay.
fn split_gone<'a>(picture: &'a Picture, rules: &Rules<'_>) -> (Vec<Decision>, Vec<&'a Member>) {
    let mut holders = HashMap::<&EndpointId, usize>::new();
    for grant in &picture.grants {
        *holders.entry(&grant.endpoint).or_default() += 1;
    }
    let limit = (rules.batch / GONE_PART).max(1);
    let mut gone = Vec::new();
    let mut staying = Vec::with_capacity(picture.members.len());
    for member in &picture.members {
        let idle = !holders.contains_key(&member.attach.endpoint);
        let ends = has_left(member, idle, rules) || rules.sightings.is_gone(member, rules.guard);
        if ends && gone.len() < limit {
            let endpoint = member.attach.endpoint.clone();
            gone.push(Decision::Gone { endpoint, incarnation: member.incarnation });
        } else {
            staying.push(member);
        }
    }
    (gone, staying)
}

/// Whether an agent has said that it leaves and nothing can be under way at it. A plain service has no
/// grants to release, so its calls may run on until the platform takes the instance away.
fn has_left(member: &Member, idle: bool, rules: &Rules<'_>) -> bool {
    let is_engine = member.attach.memory > Size(0);
    member.leaving && idle && (is_engine || rules.sightings.is_absent(member))
}

#[cfg(test)]
mod tests;
