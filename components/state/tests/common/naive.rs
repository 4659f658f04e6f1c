//! The rules once more, as scans over the list of all records: slow, and written without a look at the fold.

use std::collections::BTreeSet;

use record::{Body, Decision, GrantId, Record};
use tree::{Change, Edit, NodeKind};
use units::Size;

/// What was decided on one record: for each part, why it is void, or nothing. A known edit in a new record
/// is `again`, a known record `repeat`.
pub(crate) type Findings = Vec<Option<&'static str>>;

/// One record of the past.
#[derive(Debug)]
struct Past {
    offset: u64,
    record: Record,
    findings: Findings,
}

impl Past {
    fn whole(&self) -> bool {
        self.findings == [None]
    }
}

/// All records so far; every question is answered by reading them again.
#[derive(Debug, Default)]
pub(crate) struct Naive {
    past: Vec<Past>,
}

/// A grant that stands.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Standing {
    pub(crate) id: GrantId,
    pub(crate) model: String,
    pub(crate) index: u32,
    pub(crate) endpoint: String,
    pub(crate) revoked: bool,
}

const WINDOW: u64 = 4096;

impl Naive {
    pub(crate) fn apply(&mut self, offset: u64, record: &Record) -> Findings {
        let findings = self.findings(offset, record);
        self.past.push(Past { offset, record: record.clone(), findings: findings.clone() });
        findings
    }

    fn findings(&mut self, offset: u64, record: &Record) -> Findings {
        // An id is remembered from its first appearance on; repeats do not renew it.
        let first = |past: &&Past| past.findings != [Some("repeat")];
        let recent = |past: &&Past| offset - past.offset <= WINDOW;
        let known = self.past.iter().filter(recent).filter(first);
        if known.into_iter().any(|past| past.record.id == record.id) {
            return vec![Some("repeat")];
        }
        if record.seen.0 >= offset {
            return vec![Some("ahead")];
        }
        if offset - record.seen.0 > WINDOW {
            return vec![Some("stale")];
        }
        if let Body::Decide { epoch, decisions } = &record.body {
            return self.decisions(offset, record, epoch.0, decisions);
        }
        vec![self.single(offset, &record.body)]
    }

    fn decisions(
        &mut self,
        offset: u64,
        record: &Record,
        epoch: u64,
        decisions: &[Decision],
    ) -> Findings {
        if let Some(cause) = self.planner(epoch) {
            return vec![Some(cause); decisions.len()];
        }
        // Each decision sees those before it, so the record so far is put into the past.
        let mut findings = Vec::new();
        for decision in decisions {
            let so_far = Past { offset, record: record.clone(), findings: findings.clone() };
            self.past.push(so_far);
            let finding = self.decision(decision);
            self.past.pop();
            findings.push(finding);
        }
        findings
    }

    fn single(&self, offset: u64, body: &Body) -> Option<&'static str> {
        match body {
            Body::Claim { previous } => (previous.0 != self.epoch()).then_some("epoch"),
            Body::Renew { epoch } | Body::Resign { epoch } => self.planner(epoch.0),
            Body::Attach(attach) => {
                let current = self.incarnation(attach.endpoint.as_str());
                if attach.previous.0 != current.unwrap_or(0) {
                    return Some("incarnation");
                }
                let at = self.past.iter().find(|past| Some(past.offset) == current);
                let same = at.is_none_or(|past| match &past.record.body {
                    Body::Attach(old) => old.instance == attach.instance,
                    _ => unreachable!(),
                });
                (!same).then_some("instance")
            }
            Body::Leave { endpoint, incarnation } => {
                self.wrong_incarnation(endpoint.as_str(), incarnation.0)
            }
            Body::Release { endpoint, incarnation, grants } => {
                if let Some(cause) = self.wrong_incarnation(endpoint.as_str(), incarnation.0) {
                    return Some(cause);
                }
                let leaving = self.leaving(endpoint.as_str());
                let standing = self.standing();
                let due = |id: &GrantId| {
                    standing.iter().any(|grant| {
                        grant.id == *id
                            && grant.endpoint == endpoint.as_str()
                            && (grant.revoked || leaving)
                    })
                };
                (!grants.iter().all(due)).then_some("no-grant")
            }
            Body::Edit(edit) => self.edit(offset, edit),
            Body::Snapshot(_) => Some("old"),
            Body::Decide { .. } => unreachable!(),
        }
    }

    fn done(&self) -> impl DoubleEndedIterator<Item = &Past> {
        self.past.iter().filter(|past| past.whole())
    }

    /// All decisions that took effect, in order.
    fn decided(&self) -> impl Iterator<Item = (GrantId, &Decision)> {
        self.past.iter().flat_map(|past| {
            let decisions: &[Decision] = match &past.record.body {
                Body::Decide { decisions, .. } => decisions,
                _ => &[],
            };
            let parts = (0..).zip(decisions).zip(&past.findings);
            parts.filter(|(_, finding)| finding.is_none()).map(|((part, decision), _)| {
                (GrantId { offset: units::Offset(past.offset), part }, decision)
            })
        })
    }

    pub(crate) fn epoch(&self) -> u64 {
        let claim = self.done().rev().find(|p| matches!(p.record.body, Body::Claim { .. }));
        claim.map_or(0, |past| past.offset)
    }

    pub(crate) fn holder(&self) -> Option<String> {
        let last = self
            .done()
            .rev()
            .find(|p| matches!(p.record.body, Body::Claim { .. } | Body::Resign { .. }));
        let last = last.filter(|p| matches!(p.record.body, Body::Claim { .. }));
        last.map(|past| past.record.from.to_string())
    }

    pub(crate) fn renewed(&self) -> u64 {
        let last = self
            .done()
            .rev()
            .find(|p| matches!(p.record.body, Body::Claim { .. } | Body::Renew { .. }));
        last.map_or(0, |past| past.offset)
    }

    fn planner(&self, epoch: u64) -> Option<&'static str> {
        if epoch != self.epoch() {
            return Some("epoch");
        }
        self.holder().is_none().then_some("resigned")
    }

    /// The newest attach of an endpoint, unless it was declared gone since.
    pub(crate) fn incarnation(&self, endpoint: &str) -> Option<u64> {
        let attached = self.done().rev().find(|past| match &past.record.body {
            Body::Attach(attach) => attach.endpoint.as_str() == endpoint,
            _ => false,
        });
        let attached = attached?.offset;
        let gone = self.decided().any(|(_, decision)| match decision {
            Decision::Gone { endpoint: gone, incarnation } => {
                gone.as_str() == endpoint && incarnation.0 == attached
            }
            _ => false,
        });
        (!gone).then_some(attached)
    }

    pub(crate) fn leaving(&self, endpoint: &str) -> bool {
        let current = self.incarnation(endpoint);
        self.done().any(|past| match &past.record.body {
            Body::Leave { endpoint: left, incarnation } => {
                left.as_str() == endpoint && Some(incarnation.0) == current
            }
            _ => false,
        })
    }

    fn wrong_incarnation(&self, endpoint: &str, named: u64) -> Option<&'static str> {
        (self.incarnation(endpoint) != Some(named)).then_some("incarnation")
    }

    /// The grants that were neither released nor ended with their endpoint.
    pub(crate) fn standing(&self) -> Vec<Standing> {
        let mut list = Vec::new();
        for (id, decision) in self.decided() {
            let Decision::Grant { model, index, endpoint, .. } = decision else { continue };
            let ended = self.released(id) || self.gone_after(id, endpoint.as_str());
            if !ended {
                list.push(Standing {
                    id,
                    model: model.to_string(),
                    index: index.0,
                    endpoint: endpoint.to_string(),
                    revoked: self.revoked(id),
                });
            }
        }
        list
    }

    fn released(&self, id: GrantId) -> bool {
        self.done().any(|past| match &past.record.body {
            Body::Release { grants, .. } => grants.contains(&id),
            _ => false,
        })
    }

    fn revoked(&self, id: GrantId) -> bool {
        self.decided().any(|(_, decision)| match decision {
            Decision::Revoke { grant, .. } => *grant == id,
            _ => false,
        })
    }

    fn gone_after(&self, id: GrantId, endpoint: &str) -> bool {
        self.decided().any(|(at, decision)| match decision {
            Decision::Gone { endpoint: gone, .. } => at > id && gone.as_str() == endpoint,
            _ => false,
        })
    }

    fn decision(&self, decision: &Decision) -> Option<&'static str> {
        match decision {
            Decision::Grant { model, index, artifact, endpoint, .. } => {
                self.grant(model.as_str(), index.0, artifact.as_str(), endpoint.as_str())
            }
            Decision::Revoke { grant, .. } => {
                let standing = self.standing();
                let may = standing.iter().any(|g| g.id == *grant && !g.revoked);
                (!may).then_some("no-grant")
            }
            Decision::Gone { endpoint, incarnation } => {
                self.wrong_incarnation(endpoint.as_str(), incarnation.0)
            }
        }
    }

    fn grant(
        &self,
        model: &str,
        index: u32,
        artifact: &str,
        endpoint: &str,
    ) -> Option<&'static str> {
        let path = format!("/{model}");
        if self.added(&path).is_none() {
            return Some("bound");
        }
        let version = self.text(&path, "version").unwrap_or_default();
        if artifact != format!("{model}@{version}") {
            return Some("bound");
        }
        let standing = self.standing();
        let of: Vec<&Standing> = standing.iter().filter(|g| g.model == model).collect();
        let most = self.most(model);
        if index >= most || of.len() >= most as usize {
            return Some("bound");
        }
        if of.iter().any(|grant| grant.index == index) {
            return Some("taken");
        }
        let Some(incarnation) = self.incarnation(endpoint) else { return Some("no-endpoint") };
        if self.leaving(endpoint) {
            return Some("no-endpoint");
        }
        let at = self.past.iter().find(|past| past.offset == incarnation);
        let Some(Body::Attach(attach)) = at.map(|past| &past.record.body) else { unreachable!() };
        let size = |name: &str| self.text(&path, name).and_then(|text| text.parse().ok());
        let needed: [Option<Size>; 2] = [size("weights"), size("kv-room")];
        let needed: u64 = needed.iter().flatten().map(|size| size.0).sum();
        let service = self.text(&path, "service").unwrap_or_default();
        if attach.service.as_str() != service || needed > attach.memory.0 {
            return Some("unfit");
        }
        of.iter().any(|grant| grant.endpoint == endpoint).then_some("twice")
    }

    /// The bound of a model, 0 if there is no such model.
    pub(crate) fn most(&self, model: &str) -> u32 {
        let value = self.setting(&format!("/{model}"), "replicas-most").map(|(_, value)| value);
        value.and_then(|value| value.as_u64()).unwrap_or(0) as u32
    }

    fn text(&self, path: &str, name: &str) -> Option<String> {
        let (_, value) = self.setting(path, name)?;
        value.as_str().map(str::to_owned)
    }

    /// All changes that took effect, in order, with their revisions.
    fn changes(&self) -> Vec<(u64, &Change)> {
        let edits = self.done().filter_map(|past| match &past.record.body {
            Body::Edit(edit) => Some((past.offset, edit)),
            _ => None,
        });
        edits.flat_map(|(at, edit)| edit.changes.iter().map(move |c| (at, c))).collect()
    }

    /// The revision that added a node which is there now.
    fn added(&self, path: &str) -> Option<u64> {
        let mut added = None;
        for (at, change) in self.changes() {
            match change {
                Change::Add { path: p, .. } if p.as_str() == path => added = Some(at),
                Change::Remove { path: p } if covers(p.as_str(), path) => added = None,
                _ => {}
            }
        }
        added
    }

    /// A setting that a node has itself, with its revision.
    fn setting(&self, path: &str, name: &str) -> Option<(u64, &serde_json::Value)> {
        let added = self.added(path)?;
        let mut found = None;
        for (at, change) in self.changes() {
            match change {
                Change::Set { path: p, setting, value }
                    if at >= added && p.as_str() == path && setting.as_str() == name =>
                {
                    found = Some((at, value));
                }
                _ => {}
            }
        }
        found
    }

    /// Judges the kinds of edit that the tests write: whole models, their end, and single settings.
    fn edit(&self, offset: u64, edit: &Edit) -> Option<&'static str> {
        let same = self.past.iter().filter(|p| offset - p.offset <= WINDOW).any(|past| {
            let judged =
                !matches!(past.findings[..], [Some("repeat" | "again" | "stale" | "ahead")]);
            judged && matches!(&past.record.body, Body::Edit(old) if old.id == edit.id)
        });
        if same {
            return Some("again");
        }
        let base = edit.base.0;
        let own: BTreeSet<&str> = edit.changes.iter().filter_map(new_path).collect();
        for change in &edit.changes {
            let bad = match change {
                Change::Add { path, .. } => self.added(path.as_str()).is_some(),
                Change::Remove { path } => {
                    let newest = self.newest_below(path.as_str());
                    newest.is_none_or(|newest| newest > base)
                }
                Change::Set { path, .. } if own.contains(path.as_str()) => false,
                Change::Set { path, setting, value } => {
                    self.bad_set(path.as_str(), setting.as_str(), value, base)
                }
                Change::Clear { .. } => unreachable!(),
            };
            if bad {
                return Some("edit");
            }
        }
        None
    }

    fn bad_set(&self, path: &str, name: &str, value: &serde_json::Value, base: u64) -> bool {
        let Some(added) = self.added(path) else { return true };
        let changed = self.setting(path, name).map_or(0, |(at, _)| at);
        if added > base || changed > base {
            return true;
        }
        match name {
            "replicas-most" => value.as_u64() == Some(0),
            "version" => {
                let version = value.as_str().unwrap_or_default();
                self.added(&format!("{path}/{version}")).is_none()
            }
            _ => unreachable!(),
        }
    }

    /// The newest revision of a node, those below it and their settings; nothing if there is no node.
    fn newest_below(&self, path: &str) -> Option<u64> {
        let added = self.added(path)?;
        let touched = self.changes().into_iter().filter(|(at, change)| {
            *at >= added
                && match change {
                    Change::Add { path: p, .. } | Change::Set { path: p, .. } => {
                        covers(path, p.as_str())
                    }
                    _ => false,
                }
        });
        touched.map(|(at, _)| at).max()
    }

    pub(crate) fn has_model(&self, model: &str) -> bool {
        self.added(&format!("/{model}")).is_some()
    }

    pub(crate) fn revision(&self) -> u64 {
        let last = self.done().rev().find(|p| matches!(p.record.body, Body::Edit(_)));
        last.map_or(0, |past| past.offset)
    }
}

fn new_path(change: &Change) -> Option<&str> {
    match change {
        Change::Add { path, kind: NodeKind::Model | NodeKind::Version } => Some(path.as_str()),
        _ => None,
    }
}

fn covers(above: &str, path: &str) -> bool {
    path == above || path.strip_prefix(above).is_some_and(|rest| rest.starts_with('/'))
}
