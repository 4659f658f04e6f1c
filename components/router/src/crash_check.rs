//! Finds out whether an endpoint that cut its requests has crashed.
//!
//! A connection that breaks in the middle of an answer may mean that the endpoint's process ended, that something on the way
//! dropped the connection, or that the endpoint closed it on purpose. Only the first counts against the requests that the
//! endpoint ran. An endpoint that was draining ends as planned; one that hangs, or whose machine lost power, does not
//! answer at all.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use events::{Event, emit, millis};
use platform::Health;
use quarantine::{Crash, Digest, QuarantineRecord};
use tokio::net::TcpStream;
use tokio::time::Instant;
use units::{EndpointId, EndpointIncarnation};

use crate::guard::{Completion, wall_clock};
use crate::pool::ConnectionPool;
use crate::registry::EndpointTable;
use crate::sent_requests::{CUT_WINDOW, CrashCandidate};
use crate::shared::Shared;

/// The timeout of one check. A running endpoint answers within a few milliseconds, a busy one within tens.
const CHECK_TIMEOUT: Duration = Duration::from_millis(250);
/// The first pause between checks; the endpoint's requests wait meanwhile.
const FIRST_PAUSE: Duration = Duration::from_millis(15);
/// The longest pause between checks.
const MAX_PAUSE: Duration = Duration::from_millis(500);
/// The consecutive refused connections that show that nothing listens: a full endpoint may refuse one as well.
const MIN_REFUSALS: u32 = 2;
/// An examination without a result after this time counts against no request: a crashed endpoint is usually back by then.
const MAX_EXAMINATION: Duration = Duration::from_secs(8);

/// The list shows within this time that an endpoint has restarted, since it is read once a second.
const LIST_DELAY: Duration = Duration::from_secs(3);
/// The most requests, and the most parts of their prompts, that are named in one event.
const MAX_LOGGED: usize = 16;
/// The digits of a digest that are logged: enough to find the request among the lines of its router.
const LOGGED_DIGEST_DIGITS: usize = 12;
/// The cause for an endpoint that still answers.
const STILL_RUNNING: &str = "it is still running";

/// The result of an examination.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Finding {
    /// The process has crashed.
    Crashed(&'static str),
    /// The process has not crashed, or not because of what it ran.
    NotCrashed(&'static str),
}

/// The answer from an endpoint's address.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Answer {
    /// Nothing listens there.
    Refused,
    /// The endpoint is there, in the same incarnation.
    SameIncarnation,
    /// Another incarnation or another endpoint is there.
    Replaced,
    /// The address does not answer in time.
    Unreachable,
}

/// The incarnation whose end is examined.
#[derive(Debug)]
struct Subject {
    incarnation: Option<EndpointIncarnation>,
    /// The connections that the table has for it.
    pool: Arc<ConnectionPool>,
}

impl Subject {
    /// The incarnation that had the requests which were sent over `pool` and cut at `cut`. Requests that outlive the appearance
    /// of a later incarnation are at that one: it had started before they were sent, and the list showed it afterwards.
    fn find(
        table: &EndpointTable,
        id: &EndpointId,
        incarnation: Option<EndpointIncarnation>,
        pool: &Arc<ConnectionPool>,
        cut: Instant,
    ) -> Self {
        let later = table.map.get(id).filter(|tracked| {
            !Arc::ptr_eq(&tracked.pool, pool)
                && tracked.pool.addr() == pool.addr()
                && tracked.incarnation_since.is_some_and(|since| cut >= since + CUT_WINDOW)
        });
        match later {
            Some(tracked) => {
                Self { incarnation: tracked.endpoint.incarnation, pool: tracked.pool.clone() }
            }
            None => Self { incarnation, pool: pool.clone() },
        }
    }

    /// The requests that it may have had when it ended at `since`: those that were sent over `pool`, and over its own connections.
    fn candidates(&self, pool: &Arc<ConnectionPool>, since: Instant) -> Vec<CrashCandidate> {
        let mut candidates = pool.sent_requests().crash_candidates(since);
        if !Arc::ptr_eq(&self.pool, pool) {
            candidates.extend(self.pool.sent_requests().crash_candidates(since));
        }
        candidates
    }
}

/// Starts the examination of an incarnation unless one is in progress.
pub(crate) fn start(
    shared: &Arc<Shared>,
    id: &EndpointId,
    incarnation: Option<EndpointIncarnation>,
    pool: &Arc<ConnectionPool>,
) {
    if !pool.sent_requests().begin_examination() {
        return;
    }
    shared.guard.begin_examination(pool);
    tokio::spawn(run_examination(shared.clone(), id.clone(), incarnation, pool.clone()));
}

async fn run_examination(
    shared: Arc<Shared>,
    id: EndpointId,
    incarnation: Option<EndpointIncarnation>,
    pool: Arc<ConnectionPool>,
) {
    let since = Instant::now();
    let subject = Subject::find(&shared.endpoints.lock(), &id, incarnation, &pool, since);
    let (domain, domain_endpoints) = {
        let table = shared.endpoints.lock();
        let domain = table.map.get(&id).map(|tracked| tracked.endpoint.domain.clone());
        let same_domain =
            table.map.values().filter(|tracked| Some(&tracked.endpoint.domain) == domain.as_ref());
        let domain_endpoints = u32::try_from(same_domain.count()).unwrap_or(u32::MAX);
        (domain, domain_endpoints)
    };
    // Requests that were cut together with the first one are recorded a moment later.
    tokio::task::yield_now().await;
    let at = wall_clock();
    let finding = examine(&shared, &id, &subject, since + MAX_EXAMINATION).await;
    let candidates = subject.candidates(&pool, since);
    let (ended, cause) = match finding {
        Finding::Crashed(cause) => (true, cause),
        Finding::NotCrashed(cause) => (false, cause),
    };
    emit(&Event::CrashChecked {
        endpoint: id.as_str(),
        incarnation: subject.incarnation.unwrap_or_default().0,
        ended,
        cause,
        requests: candidates.len(),
        digests: &format_digests(&candidates),
        parts: &format_parts(&candidates),
        after_ms: millis(since.elapsed()),
    });
    let crash = domain.filter(|_| !candidates.is_empty()).map(|domain| Crash {
        endpoint: id,
        incarnation: subject.incarnation,
        domain,
        domain_endpoints,
        at,
        requests: candidates.iter().map(|candidate| candidate.fingerprint.request).collect(),
        parts: shared.guard.limit_parts(doubtful_parts(&candidates)),
    });
    if ended {
        return shared.guard.finish_examination(&pool, crash);
    }
    let complete = pool.sent_requests().clear_candidates();
    shared.guard.finish_examination(&pool, None);
    let Some(crash) = crash.filter(|_| finding == Finding::NotCrashed(STILL_RUNNING)) else {
        return;
    };
    if !watch_list(&shared, crash, &subject.pool, since + LIST_DELAY).await {
        let presumed = |digest| shared.guard.record_completion(digest, Completion::Presumed);
        complete.iter().for_each(presumed);
    }
}

/// The parts of the prompts of requests that may have crashed their endpoint by them, each with the callers.
fn doubtful_parts(candidates: &[CrashCandidate]) -> BTreeMap<Digest, BTreeSet<Digest>> {
    let mut parts: BTreeMap<Digest, BTreeSet<Digest>> = BTreeMap::new();
    for candidate in candidates.iter().filter(|candidate| !candidate.is_sound) {
        for part in &candidate.fingerprint.parts {
            parts.entry(part.digest).or_default().insert(candidate.fingerprint.caller);
        }
    }
    parts
}

/// The beginnings of the digests of requests, as text for an event.
fn format_digests(requests: &[CrashCandidate]) -> String {
    let start = |candidate: &CrashCandidate| {
        let mut text = candidate.fingerprint.request.to_string();
        text.truncate(LOGGED_DIGEST_DIGITS);
        text
    };
    requests.iter().take(MAX_LOGGED).map(start).collect::<Vec<_>>().join(" ")
}

/// The most frequent parts of the prompts of requests, each with the number of requests that have it, as text for an event.
fn format_parts(requests: &[CrashCandidate]) -> String {
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    for part in requests.iter().flat_map(|candidate| &candidate.fingerprint.parts) {
        *counts.entry(&part.id).or_default() += 1;
    }
    let mut counts: Vec<(&str, usize)> = counts.into_iter().collect();
    counts.sort_by_key(|(_, count)| Reverse(*count));
    let shown = counts.into_iter().take(MAX_LOGGED).map(|(id, count)| format!("{id}:{count}"));
    shown.collect::<Vec<_>>().join(" ")
}

/// Watches the list for a restart of an endpoint that answers: an endpoint without models does not say in which incarnation
/// it is. The requests that it had are retried meanwhile. Returns whether it has crashed.
async fn watch_list(
    shared: &Arc<Shared>,
    crash: Crash,
    pool: &Arc<ConnectionPool>,
    until: Instant,
) -> bool {
    while Instant::now() < until {
        tokio::time::sleep(MAX_PAUSE).await;
        match check_table(shared, &crash.endpoint, pool) {
            None => {}
            Some(Finding::Crashed(_)) => {
                shared.guard.record(QuarantineRecord::Crash(crash));
                return true;
            }
            Some(Finding::NotCrashed(_)) => return false,
        }
    }
    false
}

async fn examine(
    shared: &Arc<Shared>,
    id: &EndpointId,
    subject: &Subject,
    until: Instant,
) -> Finding {
    let mut refused = 0;
    let mut pause = FIRST_PAUSE;
    while Instant::now() < until {
        if let Some(finding) = check_table(shared, id, &subject.pool) {
            return finding;
        }
        match check_address(shared, id, subject.incarnation, subject.pool.addr()).await {
            Answer::SameIncarnation => return Finding::NotCrashed(STILL_RUNNING),
            Answer::Replaced => return Finding::Crashed("it was replaced or restarted"),
            Answer::Refused => refused += 1,
            Answer::Unreachable => refused = 0,
        }
        if refused >= MIN_REFUSALS {
            return Finding::Crashed("nothing listens at its address");
        }
        tokio::time::sleep(pause).await;
        if refused == 0 {
            pause = (pause * 2).min(MAX_PAUSE);
        }
    }
    Finding::NotCrashed("no result in time")
}

/// What the list and the endpoint's loader show.
fn check_table(shared: &Shared, id: &EndpointId, pool: &Arc<ConnectionPool>) -> Option<Finding> {
    let table = shared.endpoints.lock();
    match table.map.get(id) {
        Some(tracked) if Arc::ptr_eq(&tracked.pool, pool) => {
            (!tracked.accepts_work()).then_some(Finding::NotCrashed("it was draining"))
        }
        Some(_) => Some(Finding::Crashed("it has restarted")),
        None => {
            let replaced = table.map.values().any(|tracked| tracked.endpoint.addr == pool.addr());
            Some(if replaced {
                Finding::Crashed("another endpoint is listed at its address")
            } else {
                Finding::NotCrashed("it was removed from the list")
            })
        }
    }
}

/// Checks at an endpoint's address.
async fn check_address(
    shared: &Shared,
    id: &EndpointId,
    incarnation: Option<EndpointIncarnation>,
    addr: SocketAddr,
) -> Answer {
    match tokio::time::timeout(CHECK_TIMEOUT, TcpStream::connect(addr)).await {
        Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => return Answer::Refused,
        Ok(Err(_)) | Err(_) => return Answer::Unreachable,
        Ok(Ok(_)) => {}
    }
    let has_models = shared
        .endpoints
        .lock()
        .map
        .get(id)
        .is_some_and(|tracked| tracked.endpoint.holdings.is_some());
    if has_models {
        return match platform::fetch_report(&shared.client, addr, CHECK_TIMEOUT).await {
            Ok(report) if EndpointIncarnation::differ(report.incarnation, incarnation) => {
                Answer::Replaced
            }
            Ok(_) => Answer::SameIncarnation,
            Err(error) => {
                log::debug!("router: {id} did not report whether it is running: {error}");
                Answer::Unreachable
            }
        };
    }
    match shared.check_health(id, CHECK_TIMEOUT).await {
        Some(Health::OtherInstance) => Answer::Replaced,
        // The endpoint may have restarted under the same id; the list shows that later.
        Some(Health::Healthy | Health::Overloaded | Health::Unhealthy) => Answer::SameIncarnation,
        None => Answer::Unreachable,
    }
}
