//! Records and settings for tests and benchmarks; the parts that don't matter there have fixed values.

use std::fmt::Debug;
use std::net::SocketAddr;
use std::str::FromStr;

use record::{Attach, Body, Decision, GrantId};
use serde_json::Value;
use tree::{Change, Edit, NodeKind};
use units::{Epoch, Incarnation, Offset, ReplicaIndex, Revision, Size};

/// Parses an id of the required type; panics if the text is invalid.
pub fn id<T: FromStr<Err: Debug>>(text: &str) -> T {
    text.parse().expect("ids of tests are valid")
}

/// A loopback address.
pub fn addr(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// The first attach of a `likhari` endpoint with 80 GiB, on an instance of the same name in `saddar`.
pub fn attach(endpoint: &str, addr: SocketAddr) -> Attach {
    Attach {
        endpoint: id(endpoint),
        instance: id(endpoint),
        domain: id("saddar"),
        service: id("likhari"),
        dispatch: addr,
        control: addr,
        admin: addr,
        memory: Size::gib(80),
        cached: Vec::new(),
        fenced: true,
        previous: Incarnation(0),
    }
}

/// The decision to grant a replica.
pub fn grant(model: &str, index: u32, artifact: &str, endpoint: &str) -> Decision {
    Decision::Grant {
        model: id(model),
        index: ReplicaIndex(index),
        artifact: id(artifact),
        endpoint: id(endpoint),
        reason: "demand".to_owned(),
    }
}

/// The decision to revoke a grant.
pub fn revoke(grant: GrantId) -> Decision {
    Decision::Revoke { grant, reason: "idle".to_owned() }
}

/// The decision that an endpoint is gone.
pub fn gone(endpoint: &str, incarnation: u64) -> Decision {
    Decision::Gone { endpoint: id(endpoint), incarnation: Incarnation(incarnation) }
}

/// A record body with decisions of the planner in an epoch.
pub fn decide(epoch: u64, decisions: Vec<Decision>) -> Body {
    Body::Decide { epoch: Epoch(epoch), decisions }
}

/// A claim of the planner lease.
pub fn claim(previous: u64) -> Body {
    Body::Claim { previous: Epoch(previous) }
}

/// The record body by which an endpoint's agent leaves.
pub fn leave(endpoint: &str, incarnation: u64) -> Body {
    Body::Leave { endpoint: id(endpoint), incarnation: Incarnation(incarnation) }
}

/// The record body by which an endpoint's agent releases grants.
pub fn release(endpoint: &str, incarnation: u64, grants: Vec<GrantId>) -> Body {
    Body::Release { endpoint: id(endpoint), incarnation: Incarnation(incarnation), grants }
}

/// The id of a grant.
pub fn grant_id(offset: u64, part: u32) -> GrantId {
    GrantId { offset: Offset(offset), part }
}

/// An operator's edit of the settings tree, based on revision `base`.
pub fn edit(name: &str, base: u64, changes: Vec<Change>) -> Body {
    Body::Edit(Edit { id: id(name), author: "amna".to_owned(), base: Revision(base), changes })
}

/// The change of one setting.
pub fn set(path: &str, setting: &str, value: impl Into<Value>) -> Change {
    Change::Set { path: id(path), setting: id(setting), value: value.into() }
}

/// The change that adds a node.
pub fn add(path: &str, kind: NodeKind) -> Change {
    Change::Add { path: id(path), kind }
}

/// The change that removes a node.
pub fn remove(path: &str) -> Change {
    Change::Remove { path: id(path) }
}
