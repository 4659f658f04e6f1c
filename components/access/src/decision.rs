//! Decides whether a request is admitted, by the key that it presents.

use std::time::Duration;

use catalog::{KeyDigest, Workspace, Workspaces};
use clock::Moment;

use crate::Freshness;

/// What a request presents as its caller's identity.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Credential {
    /// The request has no `Authorization` header.
    Absent,
    /// The digest of the presented key.
    Key(KeyDigest),
    /// The `Authorization` header is not a key: there are two of them, the scheme is another one, or the key is too long.
    Malformed,
}

/// Why a request is permanently refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Denial {
    /// The request presents no key and its route requires one.
    Missing,
    /// The presented credential is not a key.
    Malformed,
    /// The key was revoked.
    Revoked,
    /// No workspace has this key.
    Unknown,
}

/// The input of an access decision.
#[derive(Debug, Clone, Copy)]
pub struct AccessCheck<'a> {
    /// What the request presents.
    pub credential: Credential,
    /// Whether the route accepts requests without a key.
    pub anonymous_allowed: bool,
    /// The known workspaces; `None` if the configuration has no workspaces at all.
    pub workspaces: Option<&'a Workspaces>,
    /// Whether an earlier version of the workspaces contained the key.
    pub revoked: bool,
    /// How recent the known workspaces are.
    pub freshness: Freshness,
    /// The longest time for which a key may be served after it was revoked; `None` if that is not limited.
    pub revocation_bound: Option<Duration>,
    /// When the request arrived.
    pub arrived: Moment,
    /// The current time.
    pub now: Moment,
}

/// The result of an access check.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum AccessDecision<'a> {
    /// There are no workspaces: the request is forwarded without a check.
    Unmanaged,
    /// The request is admitted and belongs to no workspace.
    Anonymous,
    /// The request is admitted and belongs to this workspace.
    Member(&'a Workspace),
    /// The request is refused.
    Denied(Denial),
    /// The known workspaces are too old to tell whether the key is still valid.
    Stale,
    /// The key may be newer than the known workspaces: the store has to be read first.
    NeedsRead,
}

/// Decides whether a request is admitted.
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
