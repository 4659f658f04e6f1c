//! What endpoints announce about themselves in their answers, and from which of their incarnations that is.
//!
//! Answers don't say which incarnation sends them, and an endpoint that has just restarted answers before the list shows its new
//! incarnation. What was announced before a restart was seen may thus hold after it. A drain does until the endpoint has answered
//! again, because all answers of a draining endpoint announce it. A back-off is announced once, so no other answer takes it back: it
//! holds until its end or for as long as it may be in doubt.
//!
//! Load pattern: a release restarts draining endpoints under their ids, one after the other. Each router that was told of the drain
//! asks the endpoint once.

use std::sync::Arc;
use std::time::Duration;

use platform::EndpointHints;
use tokio::time::Instant;
use units::EndpointId;

use crate::endpoint::TrackedEndpoint;
use crate::pool::ConnectionPool;
use crate::registry::{EndpointRegistry, EndpointTable, MAX_BACKOFF};
use crate::shared::Shared;

/// The timeout of asking an endpoint. It answers within a few milliseconds, a busy one within tens.
const ASK_TIMEOUT: Duration = Duration::from_millis(250);
/// The pause after a question without an answer.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// How long after a restart hints from before it may hold: an endpoint that doesn't answer, or that can't be asked, gets requests
/// again after this time.
const MAX_DOUBT: Duration = Duration::from_secs(3);

/// What one incarnation of an endpoint has announced.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct ReceivedHints {
    /// Whether the endpoint is draining. Nothing takes this back within the incarnation: the list may be older, and a loader
    /// or another router may know less.
    pub(crate) draining: bool,
    /// Until when the endpoint asked this router for no requests.
    pub(crate) backoff_until: Option<Instant>,
    /// Whether some of this came in answers, and perhaps from a later incarnation than the one that was known.
    pub(crate) by_answer: bool,
}

impl ReceivedHints {
    /// The hints in an answer that has just arrived.
    pub(crate) fn from_answer(hints: EndpointHints, now: Instant) -> Self {
        let backoff_until = hints.retry_after.map(|after| now + after.min(MAX_BACKOFF));
        Self { draining: hints.draining, backoff_until, by_answer: true }
    }

    /// These hints, updated by newer ones of the same incarnation.
    pub(crate) fn merge(self, new: Self) -> Self {
        Self {
            draining: self.draining || new.draining,
            backoff_until: self.backoff_until.max(new.backoff_until),
            by_answer: self.by_answer || new.by_answer,
        }
    }
}

/// What is known of an endpoint by its hints.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct KnownHints {
    /// The hints of the known incarnation.
    pub(crate) own: ReceivedHints,
    /// Hints from before this incarnation was known, which may be its own.
    pub(crate) doubtful: ReceivedHints,
}

impl KnownHints {
    /// Whether the endpoint is, or may be, draining.
    pub(crate) fn draining(&self) -> bool {
        self.own.draining || self.doubtful.draining
    }

    /// Until when the endpoint wants, or may want, no requests.
    pub(crate) fn backoff_until(&self) -> Option<Instant> {
        self.own.backoff_until.max(self.doubtful.backoff_until)
    }

    /// Records that the known incarnation has answered.
    pub(crate) fn settle(&mut self) {
        self.doubtful.draining = false;
    }

    /// Adds hints of which it is not known whether the known incarnation or an earlier one announced them.
    pub(crate) fn doubt(&mut self, hints: ReceivedHints, now: Instant) {
        let latest = now + MAX_DOUBT;
        let backoff_until = hints.backoff_until.map(|until| until.min(latest));
        self.doubtful = self.doubtful.merge(ReceivedHints { backoff_until, ..hints });
    }

    /// The hints of the next incarnation, which is known from now on.
    pub(crate) fn after_restart(self, now: Instant) -> Self {
        let Self { own, doubtful } = self;
        let mut hints = Self { own: ReceivedHints::default(), doubtful };
        if own.by_answer {
            hints.doubt(own, now);
        }
        hints
    }

    /// Whether it is not known whether the endpoint drains in the known incarnation.
    pub(crate) fn in_doubt(&self) -> bool {
        self.doubtful.draining
    }
}

/// Asks the endpoints that may have restarted since they announced a drain whether they still drain.
pub(crate) fn settle_all(shared: &Arc<Shared>) {
    shared.endpoints.lock().map.values_mut().for_each(|tracked| start_settling(shared, tracked));
}

/// The same for one endpoint.
pub(crate) fn settle_one(shared: &Arc<Shared>, id: &EndpointId) {
    if let Some(tracked) = shared.endpoints.lock().map.get_mut(id) {
        start_settling(shared, tracked);
    }
}

fn start_settling(shared: &Arc<Shared>, tracked: &mut TrackedEndpoint) {
    if tracked.hints.in_doubt() && !std::mem::replace(&mut tracked.settling_hints, true) {
        let (id, pool) = (tracked.endpoint.id.clone(), tracked.pool.clone());
        tokio::spawn(settle(shared.clone(), id, pool));
    }
}

/// Asks one incarnation of an endpoint until it has answered.
async fn settle(shared: Arc<Shared>, id: EndpointId, pool: Arc<ConnectionPool>) {
    let until = Instant::now() + MAX_DOUBT;
    while let Some(has_models) = shared.endpoints.in_doubt(&id, &pool) {
        if Instant::now() >= until {
            log::warn!("router: {id} has restarted and doesn't say whether it is draining");
            return shared.endpoints.settle_hints(&id, &pool);
        }
        // The answer settles the doubt.
        if has_models {
            if let Err(error) = shared.fetch_report(&id, pool.addr(), ASK_TIMEOUT).await {
                log::debug!("router: {id} did not report since it has restarted: {error}");
            }
        } else {
            shared.check_health(&id, ASK_TIMEOUT).await;
        }
        if shared.endpoints.in_doubt(&id, &pool).is_none() {
            return;
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
}

impl EndpointRegistry {
    /// Adds hints from an answer of which it is not known whether the endpoint sent it in the incarnation that is listed now.
    pub(crate) fn doubt_hints(&self, id: &EndpointId, hints: EndpointHints) {
        let now = Instant::now();
        if let Some(tracked) = self.lock().map.get_mut(id) {
            tracked.hints.doubt(ReceivedHints::from_answer(hints, now), now);
        }
        self.changed.notify_waiters();
    }

    /// Whether the endpoint has models, if it is in doubt whether it drains and it is still in the incarnation of this pool.
    fn in_doubt(&self, id: &EndpointId, pool: &Arc<ConnectionPool>) -> Option<bool> {
        let mut table = self.lock();
        let tracked = table.incarnation_of(id, pool)?;
        tracked.settling_hints = tracked.hints.in_doubt();
        tracked.settling_hints.then(|| tracked.endpoint.holdings.is_some())
    }

    /// Drops the doubtful drain of an endpoint.
    fn settle_hints(&self, id: &EndpointId, pool: &Arc<ConnectionPool>) {
        if let Some(tracked) = self.lock().incarnation_of(id, pool) {
            tracked.hints.settle();
            tracked.settling_hints = false;
        }
        self.changed.notify_waiters();
    }
}

impl EndpointTable {
    /// The endpoint, if it is still in the incarnation of this pool.
    fn incarnation_of(
        &mut self,
        id: &EndpointId,
        pool: &Arc<ConnectionPool>,
    ) -> Option<&mut TrackedEndpoint> {
        self.map.get_mut(id).filter(|tracked| Arc::ptr_eq(&tracked.pool, pool))
    }
}
