//! Bringing the grants of each model nearer to what is wanted.

use std::collections::HashMap;

use jiff::Timestamp;
use policy::{Held, Host, Weights, Wish, place, saving};
use record::Decision;
use state::{Grant, Member};
use tree::Leaf;
use units::{Domain, EndpointId, ModelName, ReplicaIndex, ServiceName, Size};

use crate::decide::{Granted, Round, Rules};
use crate::membership::Sightings;
use crate::picture::Model;

/// While replicas are replaced, at least this part of those wanted stays granted.
const KEPT_PART: u32 = 2;

/// What is to become of a grant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Fate {
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

/// A round that is being decided.
pub(crate) struct Draft<'a> {
    rules: &'a Rules<'a>,
    members: HashMap<&'a EndpointId, &'a Member>,
    hosts: Vec<Host>,
    places: HashMap<&'a EndpointId, usize>,
    pub(crate) round: Round,
}

impl<'a> Draft<'a> {
    pub(crate) fn new(rules: &'a Rules<'a>, staying: &[&'a Member]) -> Self {
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

    pub(crate) fn has_member(&self, endpoint: &EndpointId) -> bool {
        self.members.contains_key(endpoint)
    }

    pub(crate) fn note_held(&mut self, models: &[Granted<'_>]) {
        for (model, grants) in models {
            for grant in grants {
                if let Some(&i) = self.places.get(&grant.endpoint) {
                    self.hosts[i].held.push(held(model));
                }
            }
        }
    }

    /// Models that nobody serves come first, then those whose window opens first.
    pub(crate) fn urgency(&self, model: &Model, grants: &[&Grant]) -> (bool, Timestamp, ModelName) {
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
    pub(crate) fn settle(&mut self, model: &Model, grants: &[&'a Grant]) {
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

    pub(crate) fn revoke(&mut self, grant: &Grant, reason: &str) {
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
            let wish = self.wish(model, free_index(&taken), service, &domains);
            let Some(i) = place(&self.hosts, &wish, &Weights::default()) else {
                self.round.unplaced += 1;
                return;
            };
            let index = wish.index;
            taken.push(index);
            self.round.decisions.push(Decision::Grant {
                model: leaf.model.clone(),
                index,
                artifact: leaf.artifact.clone(),
                endpoint: self.hosts[i].endpoint.clone(),
                reason: format!("{}: {} wanted", model.wanted.reason, model.wanted.replicas),
            });
            domains.push(self.hosts[i].domain.clone());
            self.hosts[i].held.push(held(model));
        }
    }

    /// How much better another place would be for a granted replica.
    pub(crate) fn saving(&self, model: &Model, grant: &Grant, grants: &[&Grant]) -> Option<f64> {
        let leaf = &model.leaf;
        if self.fate(leaf, grant) != Fate::Keep {
            return None;
        }
        let others = grants.iter().filter(|other| other.id != grant.id);
        let domains: Vec<Domain> =
            others.filter_map(|other| self.domain(&other.endpoint)).collect();
        let wish = self.wish(model, grant.index, leaf.settings.service.as_ref()?, &domains);
        let at = *self.places.get(&grant.endpoint)?;
        saving(&self.hosts, at, &wish, &Weights::default())
    }

    fn wish<'w>(
        &self,
        model: &'w Model,
        index: ReplicaIndex,
        service: &'w ServiceName,
        domains: &'w [Domain],
    ) -> Wish<'w> {
        let leaf = &model.leaf;
        Wish {
            model: &leaf.model,
            index,
            artifact: &leaf.artifact,
            service,
            need: need(leaf),
            opens: model.closing.opens,
            domains,
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
