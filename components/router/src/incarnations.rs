//! Finds out which incarnation of an endpoint began a stream. Answers don't say which one sends them, and the list is some seconds
//! old.
//!
//! Load pattern: endpoints crash and are back within moments under their ids, perhaps with other software. Their streams go on
//! only at the version that began them, so the incarnation is asked for while it runs, beside the request itself.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use control::{IncarnationsAnswer, IncarnationsQuery};
use origin::{Attribution, Confirmation, IncarnationLog, LoaderAnswer, OriginCheck, StreamOrigin};
use tokio::sync::watch;
use tokio::time::Instant;
use units::{EndpointId, EndpointIncarnation};
use web::CallError;

use crate::pool::{Connection, ConnectionPool};
use crate::reservation::Reservation;
use crate::resumption::{self, AnsweringIncarnation};
use crate::shared::Shared;

/// The timeout of asking a loader, which may have to ask its endpoint first.
const ASK_TIMEOUT: Duration = Duration::from_millis(400);

/// The timeout of asking an endpoint for its incarnation, which it answers without waiting for a slot.
pub(crate) const REPORT_TIMEOUT: Duration = Duration::from_millis(250);

/// How long a loader may take to say in which incarnation its endpoint runs until the endpoint is asked too.
const LOADER_ANSWER_TIME: Duration = Duration::from_millis(50);

/// How long a question waits for other requests at the same endpoint, so that a burst of streams asks once for all of them.
const GATHER_TIME: Duration = Duration::from_millis(4);

/// The questions that have not been sent yet, by endpoint and expected incarnation.
pub(crate) type WaitingChecks = Mutex<HashMap<(EndpointId, EndpointIncarnation), IncarnationCheck>>;

/// Which incarnation of an endpoint has a request, as far as is known by now. Asks the endpoint's loader.
#[derive(Debug, Clone)]
pub(crate) struct IncarnationCheck {
    found: watch::Receiver<Option<AnsweringIncarnation>>,
}

impl IncarnationCheck {
    /// Starts to ask whether the endpoint runs in `expected`. The request must be on an open connection by now: an endpoint that
    /// still runs in the expected incarnation is then the one that has the request.
    pub(crate) fn start(
        shared: &Arc<Shared>,
        id: &EndpointId,
        expected: EndpointIncarnation,
        pool: &Arc<ConnectionPool>,
    ) -> Self {
        let mut waiting = lock(&shared.waiting_checks);
        let key = (id.clone(), expected);
        if let Some(check) = waiting.get(&key) {
            return check.clone();
        }
        let (sender, found) = watch::channel(None);
        let check = Self { found };
        waiting.insert(key.clone(), check.clone());
        drop(waiting);
        let (shared, id, pool) = (shared.clone(), id.clone(), pool.clone());
        tokio::spawn(async move {
            tokio::time::sleep(GATHER_TIME).await;
            // A request that is sent from now on is not covered by the question.
            lock(&shared.waiting_checks).remove(&key);
            let asked = Instant::now();
            let result = ask_current(&shared, &id, expected).await;
            if result == AnsweringIncarnation::Same {
                pool.record_seen(expected, asked);
            }
            sender.send_replace(Some(result));
        });
        check
    }

    /// The check of a request on a connection that leads to the expected incarnation.
    fn confirmed() -> Self {
        Self { found: watch::channel(Some(AnsweringIncarnation::Same)).1 }
    }

    /// Whether the request is known by now to be at the expected incarnation.
    pub(crate) fn is_confirmed(&self) -> bool {
        *self.found.borrow() == Some(AnsweringIncarnation::Same)
    }

    /// Waits for the result.
    pub(crate) async fn finish(&self) -> AnsweringIncarnation {
        let mut found = self.found.clone();
        let result = match found.wait_for(Option::is_some).await {
            Ok(found) => *found,
            Err(_) => None,
        };
        result.unwrap_or(AnsweringIncarnation::Unknown)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Asks the loader whether its endpoint runs in the expected incarnation, and the endpoint itself if the loader does not say soon:
/// it may be cut off, of an earlier release, or slow, and the endpoint may crash meanwhile.
async fn ask_current(
    shared: &Shared,
    id: &EndpointId,
    expected: EndpointIncarnation,
) -> AnsweringIncarnation {
    let mut loader = std::pin::pin!(ask(shared, id, true, ASK_TIMEOUT));
    let soon = tokio::time::timeout(LOADER_ANSWER_TIME, loader.as_mut()).await.ok();
    let has_answered = soon.is_some();
    if let Some(answering) = soon.and_then(|reply| reply.compare(expected)) {
        return answering;
    }
    match resumption::ask_incarnation(shared, id, expected, REPORT_TIMEOUT).await {
        AnsweringIncarnation::Unknown if !has_answered => {
            loader.await.compare(expected).unwrap_or(AnsweringIncarnation::Unknown)
        }
        answering => answering,
    }
}

/// Finds out whether the incarnation in an origin began the stream, as far as that takes until `end` at most.
pub(crate) async fn check_origin(
    shared: &Shared,
    origin: &StreamOrigin,
    end: Instant,
) -> OriginCheck {
    if origin.confirmed {
        return OriginCheck::Confirmed(Confirmation::Start);
    }
    let restarting = {
        let table = shared.endpoints.lock();
        let tracked = table.map.get(&origin.endpoint);
        tracked.is_some_and(|tracked| !tracked.same_incarnation(origin.incarnation))
    };
    let asks = origin.incarnation.is_some()
        && (restarting || shared.may_have_several_versions(&origin.service));
    let answer = if asks { ask_loader(shared, origin, end).await } else { LoaderAnswer::NoLoader };
    match OriginCheck::by_loader(answer) {
        Some(check) => check,
        None => {
            let limit = REPORT_TIMEOUT.min(time_until(end));
            resumption::check_endpoint(shared, origin, limit).await.beside(answer)
        }
    }
}

fn time_until(end: Instant) -> Duration {
    end.saturating_duration_since(Instant::now())
}

/// Asks the loader of the endpoint that began a stream in which incarnation the endpoint did. Leaves time until `end` to ask the
/// endpoint itself.
async fn ask_loader(shared: &Shared, origin: &StreamOrigin, end: Instant) -> LoaderAnswer {
    let asked = Instant::now();
    let limit = ASK_TIMEOUT.min(time_until(end) / 2);
    match ask(shared, &origin.endpoint, false, limit).await {
        LoaderReply::Answered(answer) => {
            let log = answer.into_log(asked).with_uncertainty(asked.elapsed());
            LoaderAnswer::Attributed(attribute(&log, origin))
        }
        LoaderReply::Silent => LoaderAnswer::Silent,
        LoaderReply::NoLoader => LoaderAnswer::NoLoader,
    }
}

/// The incarnations in which the loader of an endpoint has seen it; none if it does not answer.
pub(crate) async fn seen(shared: &Shared, id: &EndpointId) -> IncarnationLog {
    let asked = Instant::now();
    ask(shared, id, false, ASK_TIMEOUT).await.answer().unwrap_or_default().into_log(asked)
}

/// Whether the incarnation in an origin began the stream, by what the endpoint's loader has seen.
pub(crate) fn attribute(log: &IncarnationLog, origin: &StreamOrigin) -> Attribution {
    origin.incarnation.map_or(Attribution::Unseen, |incarnation| {
        log.attribute(incarnation, origin.begun, origin.needs)
    })
}

/// How a loader answered a question.
enum LoaderReply {
    Answered(IncarnationsAnswer),
    /// Not in time; it may know the answer.
    Silent,
    /// No loader is listed, it does not run, or it is of a release that is not asked.
    NoLoader,
}

impl LoaderReply {
    /// Whether the endpoint runs in the expected incarnation, if the loader says so.
    fn compare(self, expected: EndpointIncarnation) -> Option<AnsweringIncarnation> {
        let current = self.answer()?.current?;
        let same = current == expected;
        Some(if same { AnsweringIncarnation::Same } else { AnsweringIncarnation::Other })
    }

    fn answer(self) -> Option<IncarnationsAnswer> {
        match self {
            Self::Answered(answer) => Some(answer),
            Self::Silent | Self::NoLoader => None,
        }
    }
}

/// Asks the loader of a listed endpoint; `renew` says whether the loader asks the endpoint first.
async fn ask(shared: &Shared, id: &EndpointId, renew: bool, limit: Duration) -> LoaderReply {
    let addr = {
        let table = shared.endpoints.lock();
        let tracked = table.map.get(id).filter(|tracked| tracked.endpoint.holdings.is_some());
        tracked.map(|tracked| tracked.endpoint.addr)
    };
    let Some(addr) = addr else { return LoaderReply::NoLoader };
    let query = IncarnationsQuery { endpoint: id.clone(), renew };
    match shared.loader_client(addr).incarnations(&query, limit).await {
        Ok(answer) => LoaderReply::Answered(answer),
        Err(error) => {
            log::debug!("router: the loader of {id} did not name its incarnations: {error}");
            match error {
                CallError::Timeout { .. } | CallError::Interrupted { .. } => LoaderReply::Silent,
                CallError::Connect { .. }
                | CallError::Status { .. }
                | CallError::InvalidResponse { .. } => LoaderReply::NoLoader,
            }
        }
    }
}

impl Reservation {
    /// Starts to ask in which incarnation the endpoint has the request that is sent on a connection, if that matters and the
    /// connection does not show it.
    pub(crate) fn start_incarnation_check(&mut self, connection: &Connection) {
        if self.checks_incarnation {
            let check = |expected| {
                if self.pool.leads_to(connection, expected) {
                    return IncarnationCheck::confirmed();
                }
                IncarnationCheck::start(self.shared(), &self.id, expected, &self.pool)
            };
            self.incarnation_check = self.incarnation.map(check);
        }
    }
}
