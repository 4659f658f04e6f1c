//! Every state that a small world can reach: two planners, two endpoints with two instances each, and one
//! model whose bound changes. Records name any epoch, incarnation, grant or revision, current or not.

mod common;

use std::collections::{BTreeMap, HashSet, VecDeque};

use record::{Body, Decision, GrantId, Record};
use serde_json::json;
use state::{Applied, Lease, State, Verdict};
use units::{EndpointId, Incarnation, Offset};

use crate::common::{
    attach, claim, decide, edit, gone, grant, grant_id, id, leave, model, release, remove, revoke,
    set,
};

const ENDPOINTS: [&str; 2] = ["a", "b"];
const PLANNERS: [&str; 2] = ["p-1", "p-2"];

/// An offset that was never a claim, an attach or a decision: a name of the past like any other, since the
/// rules only ask whether a name is the current one.
const PAST: u64 = 1;

#[derive(Debug, Clone)]
struct World {
    state: State,
}

/// What tells states apart, as far as the rules can: not the numbers themselves, but which are current.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Shape {
    holder: Option<String>,
    claimed: bool,
    members: Vec<Option<(String, bool)>>,
    grants: Vec<(u32, String, bool)>,
    most: Option<u32>,
}

impl World {
    fn new() -> Self {
        let mut state = State::default();
        let first = edit("first", 0, model("page", 1, "8GiB"));
        let record = Record::new("first".to_owned(), id("ops"), 0, Offset(0), first);
        assert!(state.apply(Offset(PAST), &record).is_done());
        Self { state }
    }

    fn incarnation(&self, endpoint: &str) -> u64 {
        self.state.member(&id(endpoint)).map_or(0, |member| member.incarnation.0)
    }

    fn most(&self) -> Option<u32> {
        self.state.tree().model(&id("page")).map(|leaf| leaf.settings.replicas_most)
    }

    fn shape(&self) -> Shape {
        let Lease { epoch, holder, .. } = self.state.lease();
        let member = |endpoint: &&str| {
            let member = self.state.member(&id(endpoint))?;
            Some((member.attach.instance.to_string(), member.leaving))
        };
        let mut grants: Vec<_> = self.state.grants().collect();
        grants.sort_by_key(|grant| grant.index);
        let view =
            |grant: &&state::Grant| (grant.index.0, grant.endpoint.to_string(), grant.revoked);
        Shape {
            holder: holder.as_ref().map(ToString::to_string),
            claimed: epoch.0 > 0,
            members: ENDPOINTS.iter().map(member).collect(),
            grants: grants.iter().map(view).collect(),
            most: self.most(),
        }
    }

    /// All records that anybody could write, with current names and with old ones.
    fn bodies(&self) -> Vec<(&'static str, Body)> {
        let mut bodies = self.edits();
        for epoch in distinct([0, PAST, self.state.lease().epoch.0]) {
            bodies.extend(PLANNERS.map(|planner| (planner, claim(epoch))));
            bodies.extend(self.decisions(epoch).into_iter().map(|body| (PLANNERS[0], body)));
        }
        for endpoint in ENDPOINTS {
            for incarnation in distinct([0, PAST, self.incarnation(endpoint)]) {
                bodies
                    .extend(self.reports(endpoint, incarnation).into_iter().map(|b| ("agent", b)));
            }
        }
        bodies
    }

    fn edits(&self) -> Vec<(&'static str, Body)> {
        let mut bodies = Vec::new();
        for base in distinct([0, PAST, self.state.revision().0]) {
            for most in [1, 2] {
                let name = format!("most-{most}-{}", self.state.offset());
                let changes = vec![set("/page", "replicas-most", json!(most))];
                bodies.push(("ops", edit(&name, base, changes)));
            }
            let name = format!("remove-{}", self.state.offset());
            bodies.push(("ops", edit(&name, base, vec![remove("/page")])));
            let name = format!("add-{}", self.state.offset());
            bodies.push(("ops", edit(&name, base, model("page", 2, "8GiB"))));
        }
        bodies
    }

    fn decisions(&self, epoch: u64) -> Vec<Body> {
        let one = |decision: Decision| decide(epoch, vec![decision]);
        let mut bodies = vec![
            Body::Renew { epoch: units::Epoch(epoch) },
            Body::Resign { epoch: units::Epoch(epoch) },
            decide(epoch, vec![grant("page", 0, "a"), grant("page", 1, "b")]),
        ];
        for endpoint in ENDPOINTS {
            bodies.extend((0..3).map(|index| one(grant("page", index, endpoint))));
            for incarnation in distinct([0, PAST, self.incarnation(endpoint)]) {
                bodies.push(one(gone(endpoint, incarnation)));
            }
        }
        bodies.extend(self.grants().into_iter().map(|g| one(revoke(g.offset.0, g.part))));
        bodies
    }

    fn reports(&self, endpoint: &str, incarnation: u64) -> Vec<Body> {
        let mut bodies = vec![leave(endpoint, incarnation)];
        for instance in 1..=2 {
            let instance = format!("{endpoint}-{instance}");
            bodies.push(Body::Attach(attach(endpoint, &instance, incarnation)));
        }
        for grant in self.grants() {
            bodies.push(release(endpoint, incarnation, vec![grant]));
        }
        bodies
    }

    fn grants(&self) -> Vec<GrantId> {
        let standing = self.state.grants().map(|grant| grant.id);
        standing.chain([grant_id(PAST, 0)]).collect()
    }

    /// The world after a record, and what became of that.
    fn after(&self, from: &str, body: &Body) -> (Self, Applied) {
        let mut next = self.clone();
        let offset = self.state.offset().next();
        let seen = self.state.offset();
        let record = Record::new(format!("r{offset}"), id(from), 0, seen, body.clone());
        let applied = next.state.apply(offset, &record);
        (next, applied)
    }
}

fn distinct<const N: usize>(numbers: [u64; N]) -> Vec<u64> {
    let mut numbers = numbers.to_vec();
    numbers.sort_unstable();
    numbers.dedup();
    numbers
}

#[test]
fn can_keep_every_promise_in_every_state_of_a_small_world() {
    let first = World::new();
    let mut seen = HashSet::from([first.shape()]);
    let mut queue = VecDeque::from([first]);
    let mut steps = 0_usize;
    while let Some(world) = queue.pop_front() {
        for (from, body) in world.bodies() {
            let (next, applied) = world.after(from, &body);
            steps += 1;
            check(&world, &next, &body, &applied);
            if applied.verdicts.contains(&Verdict::Done) {
                check_copy(&next, from, &body);
            }
            if seen.insert(next.shape()) {
                queue.push_back(next);
            }
        }
    }
    println!("{} states, {steps} steps", seen.len());
    assert!(seen.len() > 1000, "{} states", seen.len());
}

fn check(before: &World, after: &World, body: &Body, applied: &Applied) {
    let context = || format!("{body:?} on {:?} gave {applied:?}", before.shape());
    check_grants(before, after, body, applied);
    check_positions(before, after);
    let effects = applied.verdicts.iter().filter(|v| **v == Verdict::Done).count();
    if effects > 0 {
        assert!(is_current(before, body), "an outdated name had an effect: {}", context());
    } else {
        assert_eq!(before.shape(), after.shape(), "a void record has no effect: {}", context());
    }
    if before.state.tree() != after.state.tree() {
        assert!(matches!(body, Body::Edit(_)), "only an edit changes a setting: {}", context());
    }
}

/// Whether a record names the epoch or incarnation that is current.
fn is_current(before: &World, body: &Body) -> bool {
    let epoch = before.state.lease().epoch;
    let incarnation = |endpoint: &EndpointId| before.incarnation(endpoint.as_str());
    match body {
        Body::Claim { previous } => *previous == epoch,
        Body::Renew { epoch: named } | Body::Resign { epoch: named } => *named == epoch,
        Body::Decide { epoch: named, decisions } => {
            let gone = decisions.iter().all(|decision| match decision {
                Decision::Gone { endpoint, incarnation: i } => i.0 == incarnation(endpoint),
                _ => true,
            });
            *named == epoch && gone
        }
        Body::Attach(attach) => attach.previous.0 == incarnation(&attach.endpoint),
        Body::Leave { endpoint, incarnation: named }
        | Body::Release { endpoint, incarnation: named, .. } => named.0 == incarnation(endpoint),
        Body::Edit(_) | Body::Snapshot(_) => true,
    }
}

fn check_grants(before: &World, after: &World, body: &Body, applied: &Applied) {
    let context = || format!("{body:?} on {:?} gave {applied:?}", before.shape());
    let old: BTreeMap<_, _> = before.state.grants().map(|g| (g.id, g)).collect();
    let new: BTreeMap<_, _> = after.state.grants().map(|g| (g.id, g)).collect();
    let added = new.keys().any(|id| !old.contains_key(id));
    if added {
        let most = before.most().unwrap_or(0) as usize;
        assert!(new.len() <= most, "more grants than the bound: {}", context());
        assert!(before.state.lease().holder.is_some(), "nobody holds the lease: {}", context());
    }
    let slots: HashSet<_> = new.values().map(|g| (&g.model, g.index)).collect();
    assert_eq!(slots.len(), new.len(), "a slot is granted twice: {}", context());
    let places: HashSet<_> = new.values().map(|g| (&g.model, &g.endpoint)).collect();
    assert_eq!(places.len(), new.len(), "an endpoint holds a model twice: {}", context());
    for grant in new.values() {
        assert!(after.state.member(&grant.endpoint).is_some(), "no member: {}", context());
    }
    for (id, grant) in &old {
        match new.get(id) {
            Some(now) => assert!(now.revoked || !grant.revoked, "unrevoked: {}", context()),
            None => assert!(may_end(before, grant, body), "a grant vanished: {}", context()),
        }
    }
}

/// A grant ends only by its holder's release of it when that is due, or when its endpoint is gone.
fn may_end(before: &World, grant: &state::Grant, body: &Body) -> bool {
    let current = |endpoint: &EndpointId, incarnation: &Incarnation| {
        let member = before.state.member(endpoint);
        *endpoint == grant.endpoint && member.is_some_and(|m| m.incarnation == *incarnation)
    };
    match body {
        Body::Release { endpoint, incarnation, grants } => {
            let leaving = before.state.member(endpoint).is_some_and(|member| member.leaving);
            let due = grant.revoked || leaving;
            due && grants.contains(&grant.id) && current(endpoint, incarnation)
        }
        Body::Decide { decisions, .. } => decisions.iter().any(|decision| match decision {
            Decision::Gone { endpoint, incarnation } => current(endpoint, incarnation),
            _ => false,
        }),
        _ => false,
    }
}

fn check_positions(before: &World, after: &World) {
    assert!(after.state.lease().epoch >= before.state.lease().epoch, "an epoch fell");
    assert!(after.state.revision() >= before.state.revision(), "a revision fell");
    for (path, node) in before.state.tree().nodes() {
        let Some(now) = after.state.tree().nodes().get(path) else { continue };
        assert!(now.revision >= node.revision, "a node's revision fell");
        for (name, value) in &node.settings {
            let now = now.settings.get(name).map(|value| value.revision);
            assert!(now.is_none_or(|now| now >= value.revision), "a setting's revision fell");
        }
    }
    for endpoint in ENDPOINTS {
        let (old, new) = (before.incarnation(endpoint), after.incarnation(endpoint));
        assert!(new == 0 || new >= old, "an incarnation fell");
    }
}

/// A copy that the fold no longer knows by its id has no further effect either.
fn check_copy(after: &World, from: &str, body: &Body) {
    let mut body = body.clone();
    if let Body::Edit(edit) = &mut body {
        edit.id = id("copy");
    }
    let (copied, _) = after.after(from, &body);
    assert_eq!(copied.shape(), after.shape(), "a copy of {body:?} had an effect");
}
