//! Authenticates callers by their keys.
//!
//! Load pattern: a key is revoked while some routers can't read the store, and callers go on using
//! it; another key is new, and its first requests reach routers that have not read it yet; a
//! client tries one wrong key after the other. A router serves keys only while its last read of
//! the store is recent enough, and reads the store before it refuses a key that may be new. All
//! requests that wait for such a read share it, and the reads are limited in rate.

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

use crate::in_flight::Failure;
use crate::shared::{Shared, outage_retry_after};

/// Minimum interval between reads of the store on behalf of unknown keys.
pub(crate) const MIN_READ_INTERVAL: Duration = Duration::from_millis(1_000);
/// How many requests may wait for such a read at once; further requests are told to retry later.
const MAX_WAITING_REQUESTS: usize = 64;
/// The longest that a request waits for such a read, which takes a few milliseconds.
const MAX_READ_WAIT: Duration = Duration::from_millis(1_500);
/// How many revoked keys are remembered, so that their callers cause no reads of the store.
const MAX_REVOKED_KEYS: usize = 4_096;
/// How many refused keys are kept for operators.
const MAX_DENIED_KEYS: usize = 64;

/// What a router knows of keys besides the configuration.
#[derive(Debug, Default)]
pub(crate) struct KeyState {
    freshness: watch::Sender<Freshness>,
    revoked: Mutex<HashSet<KeyDigest>>,
    waiting: AtomicUsize,
    denied: Mutex<VecDeque<DeniedKey>>,
    /// Notified when the store is to be read at once.
    pub(crate) read_requested: Notify,
}

/// The identity of a caller that was admitted.
#[derive(Debug, Clone)]
pub(crate) enum Identity {
    /// The configuration has no workspaces.
    Unmanaged,
    /// The caller belongs to no workspace, and the route admits callers without a key.
    Anonymous,
    /// The caller belongs to this workspace.
    Member(Arc<Workspace>),
}

impl Identity {
    /// The workspace of the caller, if it belongs to one.
    pub(crate) fn workspace(&self) -> Option<&Workspace> {
        match self {
            Self::Member(workspace) => Some(workspace),
            Self::Unmanaged | Self::Anonymous => None,
        }
    }
}

impl KeyState {
    fn revoked(&self) -> MutexGuard<'_, HashSet<KeyDigest>> {
        self.revoked.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that a read of the store which was sent at `sent` found no newer configuration.
    pub(crate) fn record_read(&self, sent: Moment) {
        self.freshness.send_modify(|freshness| freshness.record_read(sent));
    }

    /// Records that another router, which was asked at `sent` and whose last read of the store was
    /// `age` old then, has the same configuration as this one.
    pub(crate) fn record_peer_read(&self, sent: Moment, age: Duration) {
        self.freshness.send_modify(|freshness| freshness.record_peer_read(sent, age));
    }

    /// The version of the configuration that this router confirms to other routers, and when it
    /// was last read.
    pub(crate) fn confirmed_version(&self, catalog: &Catalog) -> Option<ConfirmedVersion> {
        catalog.workspaces.as_ref()?;
        let age = self.freshness.borrow().age(Moment::now())?;
        Some(ConfirmedVersion { version: catalog.version, age })
    }

    /// Updates the revoked keys after a change of the configuration.
    pub(crate) fn update_revoked(&self, before: Option<&Workspaces>, after: Option<&Workspaces>) {
        let holds = |key: &KeyDigest| after.is_some_and(|after| after.holder(key).is_some());
        let mut revoked = self.revoked();
        revoked.retain(|key| !holds(key));
        let newly_revoked = before.into_iter().flat_map(Workspaces::keys).filter(|key| !holds(key));
        let room = MAX_REVOKED_KEYS.saturating_sub(revoked.len());
        revoked.extend(newly_revoked.take(room).copied());
    }

    /// Whether the last read of the store is recent enough to serve keys.
    pub(crate) fn is_fresh(&self, bound: Option<Span>) -> bool {
        let freshness = *self.freshness.borrow();
        bound.is_none_or(|Span(bound)| freshness.is_fresh(Moment::now(), bound))
    }

    /// `Retry-After` while the last read of the store is too old to serve keys.
    pub(crate) fn retry_after(&self) -> Duration {
        let age = self.freshness.borrow().age(Moment::now()).unwrap_or_default();
        outage_retry_after(age)
    }

    /// Time since the last read of the store that found no newer configuration.
    pub(crate) fn age(&self) -> Option<Duration> {
        self.freshness.borrow().age(Moment::now())
    }

    /// Keys that were refused recently.
    pub(crate) fn denied_keys(&self) -> Vec<DeniedKey> {
        let denied = self.denied.lock().unwrap_or_else(PoisonError::into_inner);
        denied.iter().cloned().collect()
    }

    fn record_denied(&self, key: &str, cause: &str) {
        let mut denied = self.denied.lock().unwrap_or_else(PoisonError::into_inner);
        let before = denied.iter().position(|other| other.key == key);
        let count = before.and_then(|at| denied.remove(at)).map_or(0, |before| before.count);
        if denied.len() == MAX_DENIED_KEYS {
            denied.pop_front();
        }
        let (key, cause) = (key.to_owned(), cause.to_owned());
        denied.push_back(DeniedKey { key, cause, count: count + 1 });
    }

    /// Waits until the store has been read since `moment`; false if that takes too long.
    async fn read_since(&self, moment: Moment, deadline: Instant) -> bool {
        if self.waiting.fetch_add(1, Ordering::Relaxed) >= MAX_WAITING_REQUESTS {
            self.waiting.fetch_sub(1, Ordering::Relaxed);
            return false;
        }
        let mut freshness = self.freshness.subscribe();
        self.read_requested.notify_one();
        let read = freshness.wait_for(|freshness| freshness.covers(moment));
        let read = tokio::time::timeout_at(deadline, read).await.is_ok();
        self.waiting.fetch_sub(1, Ordering::Relaxed);
        read
    }
}

/// The details of a request that authentication needs.
#[derive(Debug)]
pub(crate) struct AccessRequest<'a> {
    /// Id of the request.
    pub(crate) request_id: &'a str,
    pub(crate) credential: Credential,
    pub(crate) arrived: Moment,
    /// When the caller stops waiting.
    pub(crate) deadline: Instant,
}

/// Authenticates a request for its route, or says why it is refused. For a key that may be new,
/// the store is read first; then the result is `None`, and the check must be repeated with the
/// current configuration.
pub(crate) async fn authenticate(
    shared: &Shared,
    catalog: &Catalog,
    route: &Route,
    request: &AccessRequest<'_>,
) -> Result<Option<Identity>, Failure> {
    let bound = shared.settings.borrow().bounds.revoke;
    let revoked = match request.credential {
        Credential::Key(key) => shared.access.revoked().contains(&key),
        Credential::Absent | Credential::Malformed => false,
    };
    let check = AccessCheck {
        credential: request.credential,
        anonymous_allowed: route.anonymous_allowed,
        workspaces: catalog.workspaces.as_ref(),
        revoked,
        freshness: *shared.access.freshness.borrow(),
        revocation_bound: bound.map(|Span(bound)| bound),
        arrived: request.arrived,
        now: Moment::now(),
    };
    match decide_access(&check) {
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
            log_denial(shared, catalog, request, &check, cause);
            let status = StatusCode::UNAUTHORIZED;
            Err(Failure { status, cause: Refusal::Unauthorized, after: None })
        }
        AccessDecision::NeedsRead => {
            let read_deadline = request.deadline.min(Instant::now() + MAX_READ_WAIT);
            if shared.access.read_since(request.arrived, read_deadline).await {
                return Ok(None);
            }
            log_denial(shared, catalog, request, &check, "the store was not read in time");
            Err(stale_keys_failure(shared))
        }
        AccessDecision::Stale => {
            log_denial(shared, catalog, request, &check, "the store was not read for too long");
            Err(stale_keys_failure(shared))
        }
    }
}

/// The failure of a request whose key may have been revoked, because the last read of the store is
/// too old.
pub(crate) fn stale_keys_failure(shared: &Shared) -> Failure {
    let (status, after) = (StatusCode::SERVICE_UNAVAILABLE, Some(shared.access.retry_after()));
    Failure { status, cause: Refusal::Unproved, after }
}

fn log_denial(
    shared: &Shared,
    catalog: &Catalog,
    request: &AccessRequest<'_>,
    check: &AccessCheck<'_>,
    cause: &str,
) {
    let key = match request.credential {
        Credential::Key(key) => key.to_string(),
        Credential::Absent | Credential::Malformed => String::new(),
    };
    shared.access.record_denied(&key, cause);
    emit(&Event::KeyRejected {
        request: request.request_id,
        key: &key,
        cause,
        version: catalog.version.0,
        age_ms: check.freshness.age(check.now).map_or(0, millis),
    });
}
