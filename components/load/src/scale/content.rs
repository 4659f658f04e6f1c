//! What a deployment of some size has in its log: the tree of settings, and members without a process.

use std::net::SocketAddr;

use edge::{Instance, InstanceState};
use record::{Attach, Body, Record};
use sample::{add, id, set};
use serde_json::json;
use tree::{Change, Edit, NodeKind};
use units::{Offset, Revision};

/// Replicas of each model: 1840 grants at the two-year size.
const REPLICAS: usize = 8;
/// Requests that one replica runs, and as many that may wait, so that all streams can be open at a time.
const BATCH: u32 = 4096;
/// Models and adapters at the two-year size, and the servers for them.
const MODELS: usize = 230;
const ADAPTERS: usize = 1000;
const SERVERS: usize = 2600;
/// Changes of one edit.
const EDIT: usize = 300;
const DOMAINS: usize = 8;
const AUTHOR: &str = "bench";
const BRANCH: &str = "/all";
/// The service that all models are served by.
const SERVICE: &str = "likhari";

/// How much there is of everything, in the proportions of the two-year size.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Content {
    /// Members of the folded state.
    pub(crate) members: usize,
    pub(crate) models: usize,
    pub(crate) adapters: usize,
    /// Replicas of each model that are granted.
    pub(crate) replicas: usize,
}

impl Content {
    /// What so many members have.
    pub(crate) fn of(members: usize) -> Self {
        let part = |of: usize| (of * members).div_ceil(SERVERS);
        Self { members, models: part(MODELS), adapters: part(ADAPTERS), replicas: REPLICAS }
    }

    /// Grants that the planner is to make.
    pub(crate) fn grants(&self) -> usize {
        self.models * self.replicas
    }

    /// The tree, in edits of limited size.
    pub(crate) fn edits(&self) -> Vec<Vec<Change>> {
        let mut changes = vec![
            add(BRANCH, NodeKind::Branch),
            set(BRANCH, "service", json!(SERVICE)),
            set(BRANCH, "replicas-most", json!(self.replicas)),
            set(BRANCH, "replicas-least", json!(self.replicas)),
            set(BRANCH, "weights", json!("8GiB")),
            set(BRANCH, "kv-room", json!("2GiB")),
            set(BRANCH, "batch", json!(BATCH)),
            set(BRANCH, "queue", json!(BATCH)),
        ];
        for number in 0..self.models {
            let path = path(number);
            changes.push(add(&path, NodeKind::Model));
            changes.push(set(&path, "keep-warm", json!("1m")));
        }
        for number in 0..self.adapters {
            let path = format!("{}/adapter-{number}", path(number % self.models));
            changes.push(add(&path, NodeKind::Adapter));
        }
        changes.chunks(EDIT).map(<[Change]>::to_vec).collect()
    }

    /// The instances of the members from `first` on, which have no process.
    pub(crate) fn instances(&self, first: usize) -> impl Iterator<Item = Instance> {
        (first..self.members).map(|number| Instance {
            id: id(&ghost(number)),
            service: id(SERVICE),
            domain: id(&format!("domain-{}", number % DOMAINS)),
            state: InstanceState::Live,
        })
    }

    /// The attach of a member without a process; others answer at its control address.
    pub(crate) fn attach(number: usize, control: SocketAddr) -> Body {
        Body::Attach(Attach {
            domain: id(&format!("domain-{}", number % DOMAINS)),
            service: id(SERVICE),
            ..sample::attach(&ghost(number), control)
        })
    }
}

/// An edit that changes one setting of a model.
pub(crate) fn change(round: usize) -> Vec<Change> {
    vec![set(&path(0), "queue", json!(64 + round))]
}

/// A model's name.
pub(crate) fn model(number: usize) -> String {
    format!("model-{number}")
}

/// A record of an edit on top of a revision.
pub(crate) fn edit(name: &str, base: Revision, seen: Offset, changes: Vec<Change>) -> Vec<u8> {
    let edit = Edit { id: id(name), author: AUTHOR.to_owned(), base, changes };
    record(name, seen, Body::Edit(edit))
}

/// The text of a record.
pub(crate) fn record(name: &str, seen: Offset, body: Body) -> Vec<u8> {
    let record = Record::new(name.to_owned(), id(AUTHOR), 1, seen, body);
    serde_json::to_vec(&record).expect("records have only text keys")
}

fn ghost(number: usize) -> String {
    format!("likhari-ghost-{number}")
}

fn path(number: usize) -> String {
    format!("{BRANCH}/{}", model(number))
}
