//! What becomes of a request by the key that it shows.

use std::time::Duration;

use catalog::{KeyDigest, Workspace, Workspaces};
use clock::Moment;

use crate::Freshness;

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
pub struct AccessCheck<'a> {
    /// What the request shows.
    pub credential: Credential,
    /// Whether its route needs no key.
    pub anonymous_allowed: bool,
    /// The workspaces, if there are any at all.
    pub workspaces: Option<&'a Workspaces>,
    /// Whether the key was in a version before this one.
    pub revoked: bool,
    /// From when they are.
    pub freshness: Freshness,
    /// The longest that a key may be served after it was taken away; none if there is no such bound.
    pub revocation_bound: Option<Duration>,
    /// When the request came.
    pub arrived: Moment,
    /// Now.
    pub now: Moment,
}

/// What becomes of a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum AccessDecision<'a> {
    /// There are no workspaces: it is passed on as it is.
    Unmanaged,
    /// It is let in and belongs to no workspace.
    Anonymous,
    /// It belongs to this workspace.
    Member(&'a Workspace),
    /// It is not let in.
    Denied(Denial),
    /// It is not known any more whether its key holds.
    Stale,
    /// The key may be newer than what is known: the store is asked first.
    NeedsRead,
}

/// Judges a request.
pub fn decide_access<'a>(check: &AccessCheck<'a>) -> AccessDecision<'a> {
    let Some(workspaces) = check.workspaces else { return AccessDecision::Unmanaged };
    let key = match check.credential {
        Credential::Absent if check.anonymous_allowed => return AccessDecision::Anonymous,
        Credential::Absent => return AccessDecision::Denied(Denial::Missing),
        Credential::Malformed => return AccessDecision::Denied(Denial::Malformed),
        Credential::Key(key) => key,
    };
    if check.revocation_bound.is_some_and(|bound| !check.freshness.is_fresh(check.now, bound)) {
        return AccessDecision::Stale;
    }
    match workspaces.holder(&key) {
        Some(workspace) => AccessDecision::Member(workspace),
        None if check.revoked => AccessDecision::Denied(Denial::Revoked),
        None if check.freshness.covers(check.arrived) => AccessDecision::Denied(Denial::Unknown),
        None => AccessDecision::NeedsRead,
    }
}

#[cfg(test)]
mod tests;
