//! A log and its state for the tests of this crate.
#![allow(dead_code)]

use record::{Attach, Body, Decision, GrantId, Record};
use serde_json::{Value, json};
use state::{Applied, State, Verdict, Void};
use tree::{Change, Edit, NodeKind};
use units::{Epoch, Incarnation, Offset, ReplicaIndex, Revision, Size};

/// Text as an id of the wanted kind.
pub(crate) fn id<T: std::str::FromStr<Err: std::fmt::Debug>>(text: &str) -> T {
    text.parse().expect("the test's ids are valid")
}

/// An attach of a likhari endpoint with 80 GiB.
pub(crate) fn attach(endpoint: &str, instance: &str, previous: u64) -> Attach {
    let addr = "127.0.0.1:7000".parse().expect("a fixed address");
    Attach {
        endpoint: id(endpoint),
        instance: id(instance),
        domain: id("saddar"),
        service: id("likhari"),
        dispatch: addr,
        control: addr,
        admin: addr,
        memory: Size::gib(80),
        cached: Vec::new(),
        fenced: true,
        previous: Incarnation(previous),
    }
}

/// The decision to grant replica `index` of a model's first version.
pub(crate) fn grant(model: &str, index: u32, endpoint: &str) -> Decision {
    Decision::Grant {
        model: id(model),
        index: ReplicaIndex(index),
        artifact: id(&format!("{model}@v1")),
        endpoint: id(endpoint),
        reason: "demand".to_owned(),
    }
}

/// The decision to revoke a grant.
pub(crate) fn revoke(offset: u64, part: u32) -> Decision {
    Decision::Revoke { grant: grant_id(offset, part), reason: "idle".to_owned() }
}

/// The decision that an endpoint is gone.
pub(crate) fn gone(endpoint: &str, incarnation: u64) -> Decision {
    Decision::Gone { endpoint: id(endpoint), incarnation: Incarnation(incarnation) }
}

/// Decisions of an epoch.
pub(crate) fn decide(epoch: u64, decisions: Vec<Decision>) -> Body {
    Body::Decide { epoch: Epoch(epoch), decisions }
}

/// A claim of the lease.
pub(crate) fn claim(previous: u64) -> Body {
    Body::Claim { previous: Epoch(previous) }
}

/// An endpoint's leave.
pub(crate) fn leave(endpoint: &str, incarnation: u64) -> Body {
    Body::Leave { endpoint: id(endpoint), incarnation: Incarnation(incarnation) }
}

/// An endpoint's release.
pub(crate) fn release(endpoint: &str, incarnation: u64, grants: Vec<GrantId>) -> Body {
    Body::Release { endpoint: id(endpoint), incarnation: Incarnation(incarnation), grants }
}

/// The name of a grant.
pub(crate) fn grant_id(offset: u64, part: u32) -> GrantId {
    GrantId { offset: Offset(offset), part }
}

/// An edit with an id of its own.
pub(crate) fn edit(name: &str, base: u64, changes: Vec<Change>) -> Body {
    let base = Revision(base);
    Body::Edit(Edit { id: id(name), author: "amna".to_owned(), base, changes })
}

/// The change of one setting.
pub(crate) fn set(path: &str, setting: &str, value: Value) -> Change {
    Change::Set { path: id(path), setting: id(setting), value }
}

/// A new node.
pub(crate) fn add(path: &str, kind: NodeKind) -> Change {
    Change::Add { path: id(path), kind }
}

/// A node's end.
pub(crate) fn remove(path: &str) -> Change {
    Change::Remove { path: id(path) }
}

/// A model at the root with a version `v1`, bounds and sizes.
pub(crate) fn model(name: &str, most: u32, weights: &str) -> Vec<Change> {
    let path = format!("/{name}");
    vec![
        add(&path, NodeKind::Model),
        add(&format!("{path}/v1"), NodeKind::Version),
        set(&path, "service", json!("likhari")),
        set(&path, "version", json!("v1")),
        set(&path, "replicas-most", json!(most)),
        set(&path, "weights", json!(weights)),
        set(&path, "kv-room", json!("2GiB")),
    ]
}

/// A log that one process follows.
#[derive(Debug, Default)]
pub(crate) struct Log {
    /// What it folds to.
    pub(crate) state: State,
    /// All records, from offset 1.
    pub(crate) records: Vec<Record>,
}

impl Log {
    /// Appends a new record of a writer that has applied all before it.
    pub(crate) fn put(&mut self, from: &str, body: Body) -> Applied {
        let name = format!("r{}", self.records.len() + 1);
        let seen = self.state.offset();
        self.put_record(Record::new(name, id(from), 0, seen, body))
    }

    /// Appends a record as it is.
    pub(crate) fn put_record(&mut self, record: Record) -> Applied {
        self.records.push(record.clone());
        self.state.apply(self.end(), &record)
    }

    /// Appends renewals, which change nothing that the tests look at, up to a number of records.
    pub(crate) fn fill(&mut self, count: u64) {
        for _ in 0..count {
            self.put("filler", Body::Renew { epoch: Epoch(u64::MAX) });
        }
    }

    /// The newest offset.
    pub(crate) fn end(&self) -> Offset {
        Offset(self.records.len() as u64)
    }
}

/// The only verdict of a record.
pub(crate) fn verdict(applied: &Applied) -> &Verdict {
    let [verdict] = applied.verdicts.as_slice() else {
        panic!("one verdict is due, not {:?}", applied.verdicts)
    };
    verdict
}

/// Why the record is void.
pub(crate) fn void(applied: &Applied) -> &Void {
    match verdict(applied) {
        Verdict::Void(void) => void,
        Verdict::Done => panic!("record {} took effect", applied.offset),
    }
}
