//! Finds out whether an endpoint that cut its requests has ended.
//!
//! A connection that ends in the middle of an answer may mean that the endpoint's process ended, that something on the way
//! dropped it, or that the endpoint cut it for a reason of its own. Only the first speaks against what it ran. An endpoint
//! that was about to leave ends as planned; one that stands still, or whose machine lost its power, does not answer at all.

use std::collections::BTreeSet;
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

use crate::guard::wall_clock;
use crate::pool::ConnectionPool;
use crate::shared::Shared;

/// An endpoint that runs answers within a few milliseconds, a busy one within tens.
const PATIENCE: Duration = Duration::from_millis(250);
/// The first pause between questions; what the endpoint had waits meanwhile.
const PAUSE: Duration = Duration::from_millis(15);
/// The longest one.
const LONGEST: Duration = Duration::from_millis(500);
/// So many refused connections in a row show that nothing listens: one may be refused by an endpoint that is full.
const REFUSED: u32 = 2;
/// What can't be told within this time is not held against anybody: an endpoint that ended is back by then, as a rule.
const GIVE_UP: Duration = Duration::from_secs(8);

/// The list tells within this time that an endpoint has started again: it is read once a second.
const TOLD: Duration = Duration::from_secs(3);
/// Why an endpoint that answers is spared.
const THERE: &str = "it is there";

/// What was found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Found {
    /// Its process has ended.
    Ended(&'static str),
    /// It has not, or not by what it ran.
    Spared(&'static str),
}

/// What an endpoint's address says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Answer {
    /// Nothing listens there.
    Refused,
    /// The endpoint is there, in the same life.
    Same,
    /// Another life or another endpoint is there.
    Other,
    /// Nothing.
    None,
}

/// Finds it out, unless that is going on.
pub(crate) fn start(
    shared: &Arc<Shared>,
    id: &EndpointId,
    life: Option<EndpointIncarnation>,
    pool: &Arc<ConnectionPool>,
) {
    if !pool.sent_requests().begin_examination() {
        return;
    }
    shared.guard.begin_examination(pool);
    tokio::spawn(follow(shared.clone(), id.clone(), life, pool.clone()));
}

async fn follow(
    shared: Arc<Shared>,
    id: EndpointId,
    life: Option<EndpointIncarnation>,
    pool: Arc<ConnectionPool>,
) {
    let since = Instant::now();
    let (domain, among) = {
        let peers = shared.known.lock();
        let domain = peers.map.get(&id).map(|peer| peer.endpoint.domain.clone());
        let alike =
            peers.map.values().filter(|peer| Some(&peer.endpoint.domain) == domain.as_ref());
        let among = u32::try_from(alike.count()).unwrap_or(u32::MAX);
        (domain, among)
    };
    // Those that were cut with the first one are known a moment later.
    tokio::task::yield_now().await;
    let at = wall_clock();
    let found = find(&shared, &id, life, &pool, since + GIVE_UP).await;
    let runs: BTreeSet<Digest> = pool.sent_requests().crash_candidates(since);
    let (ended, cause) = match found {
        Found::Ended(cause) => (true, cause),
        Found::Spared(cause) => (false, cause),
    };
    emit(&Event::Examined {
        endpoint: id.as_str(),
        incarnation: life.unwrap_or_default().0,
        ended,
        cause,
        requests: runs.len(),
        after_ms: millis(since.elapsed()),
    });
    let death = domain.filter(|_| !runs.is_empty()).map(|domain| Crash {
        endpoint: id,
        incarnation: life,
        domain,
        domain_endpoints: among,
        at,
        requests: runs,
    });
    if ended {
        return shared.guard.finish_examination(&pool, death);
    }
    pool.sent_requests().clear_candidates();
    shared.guard.finish_examination(&pool, None);
    if let Some(death) = death.filter(|_| found == Found::Spared(THERE)) {
        watch(&shared, death, &pool, since + TOLD).await;
    }
}

/// Waits for the list to tell that an endpoint which answers has started again under its id: one without models does not say in which
/// life it is. What it had is sent on meanwhile.
async fn watch(shared: &Arc<Shared>, death: Crash, pool: &Arc<ConnectionPool>, until: Instant) {
    while Instant::now() < until {
        tokio::time::sleep(LONGEST).await;
        match known(shared, &death.endpoint, pool) {
            None => {}
            Some(Found::Ended(_)) => return shared.guard.record(QuarantineRecord::Crash(death)),
            Some(Found::Spared(_)) => return,
        }
    }
}

async fn find(
    shared: &Arc<Shared>,
    id: &EndpointId,
    life: Option<EndpointIncarnation>,
    pool: &Arc<ConnectionPool>,
    until: Instant,
) -> Found {
    let mut refused = 0;
    let mut pause = PAUSE;
    while Instant::now() < until {
        if let Some(found) = known(shared, id, pool) {
            return found;
        }
        match ask(shared, id, life, pool.addr()).await {
            Answer::Same => return Found::Spared(THERE),
            Answer::Other => return Found::Ended("another one is at its address"),
            Answer::Refused => refused += 1,
            Answer::None => refused = 0,
        }
        if refused >= REFUSED {
            return Found::Ended("nothing listens at its address");
        }
        tokio::time::sleep(pause).await;
        if refused == 0 {
            pause = (pause * 2).min(LONGEST);
        }
    }
    Found::Spared("that can't be told")
}

/// What the list and the endpoint's loader say.
fn known(shared: &Shared, id: &EndpointId, pool: &Arc<ConnectionPool>) -> Option<Found> {
    let peers = shared.known.lock();
    match peers.map.get(id) {
        Some(peer) if Arc::ptr_eq(&peer.pool, pool) => {
            (!peer.accepts_work()).then_some(Found::Spared("it was about to leave"))
        }
        Some(_) => Some(Found::Ended("it has started again")),
        None => {
            let there = peers.map.values().any(|peer| peer.endpoint.addr == pool.addr());
            Some(if there {
                Found::Ended("another one is listed at its address")
            } else {
                Found::Spared("it had left the list")
            })
        }
    }
}

/// Asks at its address.
async fn ask(
    shared: &Shared,
    id: &EndpointId,
    life: Option<EndpointIncarnation>,
    addr: SocketAddr,
) -> Answer {
    match tokio::time::timeout(PATIENCE, TcpStream::connect(addr)).await {
        Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => return Answer::Refused,
        Ok(Err(_)) | Err(_) => return Answer::None,
        Ok(Ok(_)) => {}
    }
    let askable =
        shared.known.lock().map.get(id).is_some_and(|peer| peer.endpoint.holdings.is_some());
    if askable {
        return match platform::fetch_report(&shared.client, addr, PATIENCE).await {
            Ok(report) if EndpointIncarnation::differ(report.incarnation, life) => Answer::Other,
            Ok(_) => Answer::Same,
            Err(error) => {
                log::debug!("router: {id} did not tell whether it is there: {error}");
                Answer::None
            }
        };
    }
    match shared.check_health(id, PATIENCE).await {
        Some(Health::OtherInstance) => Answer::Other,
        // It may have started again under its id; the list tells then.
        Some(Health::Healthy | Health::Overloaded | Health::Unhealthy) => Answer::Same,
        None => Answer::None,
    }
}
