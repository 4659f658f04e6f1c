//! A log and its state for the tests of this crate.
#![allow(dead_code, unused_imports, reason = "each test file uses its part")]

use record::{Attach, Body, Decision, Record};
pub(crate) use sample::{
    add, addr, claim, decide, edit, gone, grant_id, id, leave, release, remove, set,
};
use serde_json::json;
use state::{Applied, State, Verdict, Void};
use tree::{Change, NodeKind};
use units::{Epoch, Incarnation, Offset};

/// An attach of an endpoint on an instance of another name, after an earlier incarnation.
pub(crate) fn attach(endpoint: &str, instance: &str, previous: u64) -> Attach {
    let first = sample::attach(endpoint, addr(7000));
    Attach { instance: id(instance), previous: Incarnation(previous), ..first }
}

/// The decision to grant replica `index` of a model's first version.
pub(crate) fn grant(model: &str, index: u32, endpoint: &str) -> Decision {
    sample::grant(model, index, &format!("{model}@v1"), endpoint)
}

/// The decision to revoke a grant.
pub(crate) fn revoke(offset: u64, part: u32) -> Decision {
    sample::revoke(grant_id(offset, part))
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
