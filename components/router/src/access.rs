//! Lets callers in by their keys.
//!
//! Load pattern: a key is taken away while some routers can't read the store, and callers go on using it; another one is new, and
//! its first requests come to routers that have not read of it yet; somebody tries one wrong key after the other. A router
//! serves keys only on a proof that is young enough, and asks the store before it refuses a key that may be new, all who wait
//! together and not often.

use std::collections::{HashSet, VecDeque};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use access::{AccessCheck, AccessDecision, Credential, Denial, Freshness, decide_access};
use catalog::{Catalog, KeyDigest, Route, Workspace, Workspaces};
use clock::Moment;
use control::{ConfirmedVersion, DeniedKey};
use events::{Event, Refusal, emit, millis};
use http::StatusCode;
use tokio::sync::{Notify, watch};
use tokio::time::Instant;
use units::Span;

use crate::flight::Failure;
use crate::shared::{Shared, back_after};

/// The store is not asked more often than this about keys that nobody knows.
pub(crate) const MIN_READ_INTERVAL: Duration = Duration::from_millis(1_000);
/// So many requests wait for that at a time; others are told to come back.
const WAITING: usize = 64;
/// The longest that they wait: a read of the store takes some milliseconds.
const PATIENCE: Duration = Duration::from_millis(1_500);
/// Keys that were taken away are remembered, so that their callers cost no reads.
const REVOKED: usize = 4_096;
/// Keys that were refused are kept for operators, so many at most.
const DENIED: usize = 64;

/// What a router knows of keys besides the configuration.
#[derive(Debug, Default)]
pub(crate) struct Access {
    proof: watch::Sender<Freshness>,
    revoked: Mutex<HashSet<KeyDigest>>,
    waiting: AtomicUsize,
    denied: Mutex<VecDeque<DeniedKey>>,
    /// Told when the store is to be asked at once.
    pub(crate) read_requested: Notify,
}

/// A caller that was let in.
#[derive(Debug, Clone)]
pub(crate) enum Identity {
    /// There are no workspaces.
    Unmanaged,
    /// It belongs to none.
    Anonymous,
    /// It belongs to this one.
    Member(Arc<Workspace>),
}

impl Identity {
    /// The workspace, if it belongs to one.
    pub(crate) fn workspace(&self) -> Option<&Workspace> {
        match self {
            Self::Member(workspace) => Some(workspace),
            Self::Unmanaged | Self::Anonymous => None,
        }
    }
}

impl Access {
    fn revoked(&self) -> MutexGuard<'_, HashSet<KeyDigest>> {
        self.revoked.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes that a read of the store which was sent then showed that there is no newer configuration.
    pub(crate) fn record_read(&self, sent: Moment) {
        self.proof.send_modify(|proof| proof.record_read(sent));
    }

    /// Takes the word of another router, asked at a moment, on the configuration that is in force here.
    pub(crate) fn record_peer_read(&self, sent: Moment, age: Duration) {
        self.proof.send_modify(|proof| proof.record_peer_read(sent, age));
    }

    /// What another router may take for proved of a version.
    pub(crate) fn confirmed_version(&self, catalog: &Catalog) -> Option<ConfirmedVersion> {
        catalog.workspaces.as_ref()?;
        let age = self.proof.borrow().age(Moment::now())?;
        Some(ConfirmedVersion { version: catalog.version, age })
    }

    /// Remembers the keys that a new version takes away.
    pub(crate) fn update_revoked(&self, before: Option<&Workspaces>, after: Option<&Workspaces>) {
        let holds = |key: &KeyDigest| after.is_some_and(|after| after.holder(key).is_some());
        let mut revoked = self.revoked();
        revoked.retain(|key| !holds(key));
        let taken = before.into_iter().flat_map(Workspaces::keys).filter(|key| !holds(key));
        let room = REVOKED.saturating_sub(revoked.len());
        revoked.extend(taken.take(room).copied());
    }

    /// Whether keys may be served.
    pub(crate) fn holds(&self, bound: Option<Span>) -> bool {
        let proof = *self.proof.borrow();
        bound.is_none_or(|Span(bound)| proof.is_fresh(Moment::now(), bound))
    }

    /// When callers may come back to a router that has no proof.
    pub(crate) fn back(&self) -> Duration {
        let age = self.proof.borrow().age(Moment::now()).unwrap_or_default();
        back_after(age)
    }

    /// How old the proof is.
    pub(crate) fn age(&self) -> Option<Duration> {
        self.proof.borrow().age(Moment::now())
    }

    /// Keys that were refused of late.
    pub(crate) fn denied(&self) -> Vec<DeniedKey> {
        let denied = self.denied.lock().unwrap_or_else(PoisonError::into_inner);
        denied.iter().cloned().collect()
    }

    fn note_denied(&self, key: &str, cause: &str) {
        let mut denied = self.denied.lock().unwrap_or_else(PoisonError::into_inner);
        let before = denied.iter().position(|other| other.key == key);
        let count = before.and_then(|at| denied.remove(at)).map_or(0, |before| before.count);
        if denied.len() == DENIED {
            denied.pop_front();
        }
        let (key, cause) = (key.to_owned(), cause.to_owned());
        denied.push_back(DeniedKey { key, cause, count: count + 1 });
    }

    /// Waits until the store has been read since a moment; false if that takes too long.
    async fn read_since(&self, moment: Moment, until: Instant) -> bool {
        if self.waiting.fetch_add(1, Ordering::Relaxed) >= WAITING {
            self.waiting.fetch_sub(1, Ordering::Relaxed);
            return false;
        }
        let mut proof = self.proof.subscribe();
        self.read_requested.notify_one();
        let read = proof.wait_for(|proof| proof.covers(moment));
        let read = tokio::time::timeout_at(until, read).await.is_ok();
        self.waiting.fetch_sub(1, Ordering::Relaxed);
        read
    }
}

/// A request to be let in.
#[derive(Debug)]
pub(crate) struct Arrival<'a> {
    /// Its id.
    pub(crate) name: &'a str,
    pub(crate) credential: Credential,
    pub(crate) arrived: Moment,
    /// Until when its caller waits.
    pub(crate) until: Instant,
}

/// Lets a request in on its route, or says why not; the store is read first for a key that may be new, in which case there
/// may be a newer configuration afterwards.
pub(crate) async fn enter(
    shared: &Shared,
    catalog: &Catalog,
    route: &Route,
    arrival: &Arrival<'_>,
) -> Result<Option<Identity>, Failure> {
    let bound = shared.settings.borrow().bounds.revoke;
    let revoked = match arrival.credential {
        Credential::Key(key) => shared.access.revoked().contains(&key),
        Credential::Absent | Credential::Malformed => false,
    };
    let lookup = AccessCheck {
        credential: arrival.credential,
        anonymous_allowed: route.anonymous_allowed,
        workspaces: catalog.workspaces.as_ref(),
        revoked,
        freshness: *shared.access.proof.borrow(),
        revocation_bound: bound.map(|Span(bound)| bound),
        arrived: arrival.arrived,
        now: Moment::now(),
    };
    match decide_access(&lookup) {
        AccessDecision::Unmanaged => Ok(Some(Identity::Unmanaged)),
        AccessDecision::Anonymous => Ok(Some(Identity::Anonymous)),
        AccessDecision::Member(workspace) => {
            Ok(Some(Identity::Member(Arc::new(workspace.clone()))))
        }
        AccessDecision::Denied(denial) => {
            let cause = match denial {
                Denial::Missing => "no key",
                Denial::Malformed => "no key can be read",
                Denial::Revoked => "the key was taken away",
                Denial::Unknown => "no workspace has the key",
            };
            tell(shared, catalog, arrival, &lookup, cause);
            let status = StatusCode::UNAUTHORIZED;
            Err(Failure { status, cause: Refusal::Unauthorized, after: None })
        }
        AccessDecision::NeedsRead => {
            let until = arrival.until.min(Instant::now() + PATIENCE);
            if shared.access.read_since(arrival.arrived, until).await {
                return Ok(None);
            }
            tell(shared, catalog, arrival, &lookup, "the store was not read in time");
            Err(unproved(shared))
        }
        AccessDecision::Stale => {
            tell(shared, catalog, arrival, &lookup, "the store was not read for too long");
            Err(unproved(shared))
        }
    }
}

/// The failure of a request whose key may not hold any more.
pub(crate) fn unproved(shared: &Shared) -> Failure {
    let (status, after) = (StatusCode::SERVICE_UNAVAILABLE, Some(shared.access.back()));
    Failure { status, cause: Refusal::Unproved, after }
}

fn tell(
    shared: &Shared,
    catalog: &Catalog,
    arrival: &Arrival<'_>,
    lookup: &AccessCheck<'_>,
    cause: &str,
) {
    let key = match arrival.credential {
        Credential::Key(key) => key.to_string(),
        Credential::Absent | Credential::Malformed => String::new(),
    };
    shared.access.note_denied(&key, cause);
    emit(&Event::Denied {
        request: arrival.name,
        key: &key,
        cause,
        version: catalog.version.0,
        age_ms: lookup.freshness.age(lookup.now).map_or(0, millis),
    });
}
