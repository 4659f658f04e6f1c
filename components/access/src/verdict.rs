//! What becomes of a request by the key that it shows.

use std::time::Duration;

use catalog::{KeyDigest, Workspace, Workspaces};
use clock::Moment;

use crate::Proof;

/// What a request shows of its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Credential {
    /// Nothing.
    Absent,
    /// A key.
    Key(KeyDigest),
    /// Something that is no key: two of them, another scheme, too long.
    Malformed,
}

/// Why a request is not let in, for good.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Denial {
    /// It shows no key and its route needs one.
    Missing,
    /// What it shows is no key.
    Malformed,
    /// The key was taken away.
    Revoked,
    /// No workspace has this key.
    Unknown,
}

/// What is known when a request is judged.
#[derive(Debug, Clone, Copy)]
pub struct Lookup<'a> {
    /// What the request shows.
    pub credential: Credential,
    /// Whether its route needs no key.
    pub open: bool,
    /// The workspaces, if there are any at all.
    pub workspaces: Option<&'a Workspaces>,
    /// Whether the key was in a version before this one.
    pub revoked: bool,
    /// From when they are.
    pub proof: Proof,
    /// The longest that a key may be served after it was taken away; none if there is no such bound.
    pub bound: Option<Duration>,
    /// When the request came.
    pub arrived: Moment,
    /// Now.
    pub now: Moment,
}

/// What becomes of a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Verdict<'a> {
    /// There are no workspaces: it is passed on as it is.
    Unmanaged,
    /// It is let in and belongs to no workspace.
    Anonymous,
    /// It belongs to this workspace.
    Member(&'a Workspace),
    /// It is not let in.
    Denied(Denial),
    /// It is not known any more whether its key holds.
    Unproved,
    /// The key may be newer than what is known: the store is asked first.
    Unread,
}

/// Judges a request.
pub fn judge<'a>(lookup: &Lookup<'a>) -> Verdict<'a> {
    let Some(workspaces) = lookup.workspaces else { return Verdict::Unmanaged };
    let key = match lookup.credential {
        Credential::Absent if lookup.open => return Verdict::Anonymous,
        Credential::Absent => return Verdict::Denied(Denial::Missing),
        Credential::Malformed => return Verdict::Denied(Denial::Malformed),
        Credential::Key(key) => key,
    };
    if lookup.bound.is_some_and(|bound| !lookup.proof.holds(lookup.now, bound)) {
        return Verdict::Unproved;
    }
    match workspaces.holder(&key) {
        Some(workspace) => Verdict::Member(workspace),
        None if lookup.revoked => Verdict::Denied(Denial::Revoked),
        None if lookup.proof.covers(lookup.arrived) => Verdict::Denied(Denial::Unknown),
        None => Verdict::Unread,
    }
}

#[cfg(test)]
mod tests;
