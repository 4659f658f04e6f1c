//! One round of decisions: who is gone, which grants end, which replicas are granted where.
//!
//! A replica moves without surge: its grant is revoked, the agent drains and releases it, and only then
//! is the replica granted elsewhere. What is decided here is checked again by the fold of every process.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use jiff::Timestamp;
use policy::{Held, Host, Weights, Wish, place};
use record::Decision;
use state::{Grant, Member};
use tree::Leaf;
use units::{Domain, EndpointId, ModelName, ReplicaIndex, Size};

use crate::membership::Sightings;
use crate::picture::{Model, Picture};

/// At most this part of a batch declares endpoints gone, so that new grants need not wait for all of them.
pub(crate) const GONE_PART: usize = 2;
/// While replicas are replaced, at least this part of those wanted stays granted.
const KEPT_PART: u32 = 2;

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

/// What is to become of a grant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fate {
    /// It stays.
    Keep,
    /// Its endpoint does not answer but is not gone yet.
    Silent,
    /// It must go, but not before enough others serve.
    Stale(&'static str),
    /// Its endpoint takes no new work, so nothing is lost by revoking it.
    Leaving,
    /// It is revoked already.
    Revoked,
}

struct Draft<'a> {
    rules: &'a Rules<'a>,
    members: HashMap<&'a EndpointId, &'a Member>,
    hosts: Vec<Host>,
    places: HashMap<&'a EndpointId, usize>,
    round: Round,
}

/// The decisions of one round, at most `rules.batch`.
pub(crate) fn decide(picture: &Picture, models: &[Model], rules: &Rules<'_>) -> Round {
    let (gone, staying) = split_gone(picture, rules);
    let mut draft = Draft::new(rules, &staying);
    draft.round.decisions.extend(gone);
    let mut of_model: BTreeMap<&ModelName, Vec<&Grant>> = BTreeMap::new();
    for grant in picture.grants.iter().filter(|grant| draft.members.contains_key(&grant.endpoint)) {
        of_model.entry(&grant.model).or_default().push(grant);
    }
    let mut all: Vec<(&Model, Vec<&Grant>)> = Vec::with_capacity(models.len());
    for model in models {
        all.push((model, of_model.remove(&model.leaf.model).unwrap_or_default()));
    }
    draft.note_held(&all);
    for grant in of_model.into_values().flatten().filter(|grant| !grant.revoked) {
        draft.revoke(grant, "the model is not in the tree");
    }
    all.sort_by_cached_key(|(model, grants)| draft.urgency(model, grants));
    for (model, grants) in &all {
        draft.settle(model, grants);
    }
    draft.round
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

impl<'a> Draft<'a> {
    fn new(rules: &'a Rules<'a>, staying: &[&'a Member]) -> Self {
        let hosts: Vec<Host> = staying.iter().map(|member| host(member, rules)).collect();
        let members = staying.iter().map(|member| (&member.attach.endpoint, *member));
        let places = staying.iter().enumerate().map(|(i, member)| (&member.attach.endpoint, i));
        Self {
            rules,
            members: members.collect(),
            hosts,
            places: places.collect(),
            round: Round::default(),
        }
    }

    fn note_held(&mut self, models: &[(&Model, Vec<&'a Grant>)]) {
        for (model, grants) in models {
            for grant in grants {
                if let Some(&i) = self.places.get(&grant.endpoint) {
                    self.hosts[i].held.push(held(model));
                }
            }
        }
    }

    /// Models that nobody serves come first, then those whose window opens first.
    fn urgency(&self, model: &Model, grants: &[&Grant]) -> (bool, Timestamp, ModelName) {
        let served = grants.iter().any(|grant| self.fate(&model.leaf, grant) == Fate::Keep);
        let opens = model.closing.opens.unwrap_or(Timestamp::MAX);
        (served, opens, model.leaf.model.clone())
    }

    fn is_full(&self) -> bool {
        self.round.decisions.len() >= self.rules.batch
    }

    fn fate(&self, leaf: &Leaf, grant: &Grant) -> Fate {
        let Some(member) = self.members.get(&grant.endpoint) else { return Fate::Revoked };
        if grant.revoked {
            return Fate::Revoked;
        }
        if is_leaving(member, self.rules.sightings) {
            return Fate::Leaving;
        }
        if self.rules.sightings.is_silent(member) {
            return Fate::Silent;
        }
        if grant.artifact != leaf.artifact {
            return Fate::Stale("another version is in force");
        }
        if leaf.settings.service.as_ref() != Some(&member.attach.service) {
            return Fate::Stale("the model belongs to another service");
        }
        if member.attach.memory < need(leaf) {
            return Fate::Stale("the endpoint is too small");
        }
        if grant.index.0 >= leaf.settings.replicas_most {
            return Fate::Stale("over the bound");
        }
        Fate::Keep
    }

    /// Brings the grants of one model nearer to what is wanted.
    fn settle(&mut self, model: &Model, grants: &[&'a Grant]) {
        if self.is_full() {
            return;
        }
        let (leaf, wanted) = (&model.leaf, &model.wanted);
        let mut grants: Vec<(&Grant, Fate)> =
            grants.iter().map(|grant| (*grant, self.fate(leaf, grant))).collect();
        grants.sort_by_key(|(grant, _)| grant.index);
        let kept = with_fate(&grants, |fate| fate == Fate::Keep);
        self.revoke_leaving(&grants);
        self.revoke_stale(leaf, &grants, wanted.replicas);
        self.revoke_surplus(leaf, &grants, wanted.replicas);
        let short = wanted.replicas.saturating_sub(size(kept.len()));
        let room = leaf.settings.replicas_most.saturating_sub(size(grants.len()));
        self.grant(model, &grants, short.min(room));
    }

    fn revoke_leaving(&mut self, grants: &[(&Grant, Fate)]) {
        for grant in with_fate(grants, |fate| fate == Fate::Leaving) {
            self.revoke(grant, "the endpoint is leaving");
        }
    }

    /// Revokes what must go, but keeps enough of it until others serve in its place.
    fn revoke_stale(&mut self, leaf: &Leaf, grants: &[(&Grant, Fate)], wanted: u32) {
        let kept = size(with_fate(grants, |fate| fate == Fate::Keep).len());
        let floor = if leaf.settings.replicas_most > 1 { wanted.div_ceil(KEPT_PART) } else { 0 };
        let needed = floor.saturating_sub(kept) as usize;
        let stale = grants.iter().filter_map(|(grant, fate)| match fate {
            Fate::Stale(reason) => Some((*grant, *reason)),
            _ => None,
        });
        let stale: Vec<(&Grant, &'static str)> = stale.collect();
        for (grant, reason) in stale.into_iter().skip(needed) {
            self.revoke(grant, reason);
        }
    }

    /// Revokes what is more than wanted, and of silent endpoints what is over the bound.
    fn revoke_surplus(&mut self, leaf: &Leaf, grants: &[(&Grant, Fate)], wanted: u32) {
        let kept = with_fate(grants, |fate| fate == Fate::Keep);
        for grant in kept.iter().skip(wanted as usize) {
            self.revoke(grant, "more than wanted");
        }
        let silent = with_fate(grants, |fate| fate == Fate::Silent);
        let room = leaf.settings.replicas_most.saturating_sub(size(kept.len()).min(wanted));
        for grant in silent.iter().skip(room as usize) {
            self.revoke(grant, "over the bound");
        }
    }

    fn revoke(&mut self, grant: &Grant, reason: &str) {
        if !self.is_full() {
            self.round
                .decisions
                .push(Decision::Revoke { grant: grant.id, reason: reason.to_owned() });
        }
    }

    fn grant(&mut self, model: &Model, grants: &[(&Grant, Fate)], count: u32) {
        let leaf = &model.leaf;
        let Some(service) = &leaf.settings.service else { return };
        let mut taken: Vec<ReplicaIndex> = grants.iter().map(|(grant, _)| grant.index).collect();
        let kept = with_fate(grants, |fate| fate == Fate::Keep);
        let mut domains: Vec<Domain> =
            kept.iter().filter_map(|grant| self.domain(&grant.endpoint)).collect();
        for _ in 0..count {
            if self.is_full() {
                return;
            }
            let wish = Wish {
                model: &leaf.model,
                index: free_index(&taken),
                artifact: &leaf.artifact,
                service,
                need: need(leaf),
                opens: model.closing.opens,
                domains: &domains,
            };
            let Some(i) = place(&self.hosts, &wish, &Weights::default()) else {
                self.round.unplaced += 1;
                return;
            };
            taken.push(wish.index);
            self.round.decisions.push(Decision::Grant {
                model: leaf.model.clone(),
                index: wish.index,
                artifact: leaf.artifact.clone(),
                endpoint: self.hosts[i].endpoint.clone(),
                reason: format!("{}: {} wanted", model.wanted.reason, model.wanted.replicas),
            });
            domains.push(self.hosts[i].domain.clone());
            self.hosts[i].held.push(held(model));
        }
    }

    fn domain(&self, endpoint: &EndpointId) -> Option<Domain> {
        self.members.get(endpoint).map(|member| member.attach.domain.clone())
    }
}

fn host(member: &Member, rules: &Rules<'_>) -> Host {
    let attach = &member.attach;
    Host {
        endpoint: attach.endpoint.clone(),
        domain: attach.domain.clone(),
        service: attach.service.clone(),
        memory: attach.memory,
        cached: attach.cached.clone(),
        held: Vec::new(),
        open: !is_leaving(member, rules.sightings) && !rules.sightings.is_absent(member),
    }
}

fn is_leaving(member: &Member, sightings: &Sightings) -> bool {
    member.leaving || sightings.is_leaving(&member.attach)
}

fn with_fate<'a>(grants: &[(&'a Grant, Fate)], is: impl Fn(Fate) -> bool) -> Vec<&'a Grant> {
    grants.iter().filter(|(_, fate)| is(*fate)).map(|(grant, _)| *grant).collect()
}

fn held(model: &Model) -> Held {
    let leaf = &model.leaf;
    Held { model: leaf.model.clone(), need: need(leaf), opens: model.closing.opens }
}

fn need(leaf: &Leaf) -> Size {
    leaf.settings.weights + leaf.settings.kv_room
}

fn size(count: usize) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}

fn free_index(taken: &[ReplicaIndex]) -> ReplicaIndex {
    let mut index = ReplicaIndex(0);
    while taken.contains(&index) {
        index = index.next();
    }
    index
}

#[cfg(test)]
mod tests;
