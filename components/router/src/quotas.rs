//! Holds each workspace to its limit: a share of it here, and tokens of other routers where that is not enough.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use catalog::{Catalog, Limit, Workspace, Workspaces};
use clock::Moment;
use control::{Borrow, Lent, WorkspaceReport, WorkspacesReport};
use events::{Event, Refusal, emit, millis};
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use quota::{
    Bounds, Bucket, Lenders, Meter, PATIENCE, Record, Roster, Share, TRANSIT, Taken, Terms, Write,
    is_dry, lendable, may_ask,
};
use tokio::sync::watch;
use tokio::time::Instant;
use units::{Domain, Span, WorkspaceName};
use web::Body;

use crate::flight::Failure;
use crate::shared::Shared;

/// After nobody had tokens for a workspace, others are not asked for this time, doubled each time.
const PAUSE: Duration = Duration::from_millis(250);
/// The longest such pause.
const LONGEST: Duration = Duration::from_secs(1);
/// A router that did not answer is not asked for this time.
const SILENT: Duration = Duration::from_secs(2);
/// Callers over the limit come back no sooner than this.
const SOONEST_BACK: Duration = Duration::from_millis(300);
/// By up to this part of its time each comes back later, so that they don't all come at once.
const SPREAD: f64 = 0.3;
/// The largest message of another router.
const LARGEST: usize = 4 << 10;

/// What this router has of the limit of one workspace.
#[derive(Debug)]
struct Pocket {
    bucket: Bucket,
    /// Since when the share is held that the bucket is of.
    since: Moment,
    meter: Meter,
    refused: u64,
    /// When a request of this router's own callers came last.
    used: Option<Moment>,
    /// Until when others are not asked.
    dry: Option<Moment>,
    pause: Duration,
}

impl Pocket {
    fn new(since: Moment) -> Self {
        Self {
            bucket: Bucket::new(since),
            since,
            meter: Meter::default(),
            refused: 0,
            used: None,
            dry: None,
            pause: PAUSE,
        }
    }
}

/// The limits of all workspaces, as far as this router has a share in them.
#[derive(Debug)]
pub(crate) struct Quotas {
    roster: Mutex<Roster>,
    pockets: Mutex<HashMap<WorkspaceName, Pocket>>,
    /// Routers that did not answer, and until when they are not asked.
    silent: Mutex<HashMap<SocketAddr, Moment>>,
    /// Whether the roster has been read.
    started: watch::Sender<bool>,
}

/// Tokens for one request. What never reached an endpoint comes back when it is dropped.
#[derive(Debug)]
pub(crate) struct Charge {
    shared: Arc<Shared>,
    workspace: WorkspaceName,
    limit: Limit,
    own: Taken,
    since: Moment,
    /// Whether the request is, or may be, at an endpoint.
    pub(crate) spent: bool,
}

impl Drop for Charge {
    fn drop(&mut self) {
        if !self.spent {
            self.shared.quotas.put_back(&self.shared, self);
        }
    }
}

impl Quotas {
    pub(crate) fn new(addr: SocketAddr, domain: Domain) -> Self {
        Self {
            roster: Mutex::new(Roster::new(addr, domain)),
            pockets: Mutex::default(),
            silent: Mutex::default(),
            started: watch::Sender::new(false),
        }
    }

    fn roster(&self) -> MutexGuard<'_, Roster> {
        self.roster.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn pockets(&self) -> MutexGuard<'_, HashMap<WorkspaceName, Pocket>> {
        self.pockets.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes records of the roster that a read which was sent then brought.
    pub(crate) fn read(&self, news: Vec<(SocketAddr, Option<Record>)>, whole: bool, sent: Moment) {
        let now = Moment::now();
        let mut roster = self.roster();
        let count = |roster: &Roster| roster.share(now).map_or(0, |share| share.count);
        let before = count(&roster);
        roster.take(news, whole, sent, now);
        self.started.send_replace(true);
        let shares = count(&roster);
        if shares != before {
            emit(&Event::Shared { shares, before });
        }
    }

    /// Waits until the roster has been read for the first time, which takes as long as the first read of the configuration.
    async fn first_read(&self, until: Instant) {
        if !*self.started.borrow() {
            let mut started = self.started.subscribe();
            let read = started.wait_for(|started| *started);
            let _ = tokio::time::timeout_at(until, read).await;
        }
    }

    /// What is to be written to the roster.
    pub(crate) fn next_write(&self) -> Option<Write> {
        self.roster().next_write(Moment::now())
    }

    /// Notes that it is written.
    pub(crate) fn wrote(&self, write: &Write) {
        self.roster().wrote(write, Moment::now());
    }

    /// Whether this router has a share.
    pub(crate) fn joined(&self) -> bool {
        self.share(Moment::now()).is_some()
    }

    fn share(&self, now: Moment) -> Option<Share> {
        self.roster().share(now)
    }

    /// Does something with the tokens of a workspace here, if this router has a share.
    fn with<T>(
        &self,
        workspace: &WorkspaceName,
        f: impl FnOnce(&mut Pocket, u32) -> T,
    ) -> Option<T> {
        let Share { count, since } = self.share(Moment::now())?;
        let mut pockets = self.pockets();
        if let Some(pocket) = pockets.get_mut(workspace).filter(|pocket| pocket.since == since) {
            return Some(f(pocket, count));
        }
        pockets.insert(workspace.clone(), Pocket::new(since));
        pockets.get_mut(workspace).map(|pocket| f(pocket, count))
    }

    fn take(&self, workspace: &WorkspaceName, terms: Terms, most: f64) -> Option<(Taken, Moment)> {
        let now = Moment::now();
        self.with(workspace, |pocket, count| {
            pocket.used = Some(now);
            (pocket.bucket.take(terms.share(count), most, now), pocket.since)
        })
    }

    /// Takes what another router may have of so many tokens.
    fn lend(&self, workspace: &WorkspaceName, terms: Terms, most: f64) -> Option<f64> {
        let now = Moment::now();
        self.with(workspace, |pocket, count| {
            let share = terms.share(count);
            let level = pocket.bucket.level(share, now);
            let idle = pocket.used.map_or(Duration::MAX, |used| now.since(used));
            pocket.bucket.take(share, most.min(lendable(level, idle)), now).tokens
        })
    }

    /// Adds what other routers lent beyond what was used.
    fn add(&self, workspace: &WorkspaceName, terms: Terms, tokens: f64) {
        self.with(workspace, |pocket, count| {
            pocket.bucket.add(terms.share(count), tokens, Moment::now());
        });
    }

    fn put_back(&self, shared: &Shared, charge: &Charge) {
        let terms = Terms::new(charge.limit, bounds(shared));
        self.with(&charge.workspace, |pocket, count| {
            if pocket.since == charge.since {
                pocket.bucket.put_back(terms.share(count), charge.own, Moment::now());
            }
        });
    }

    /// Counts a request for operators.
    fn count(&self, workspace: &WorkspaceName, cost: f64, let_in: bool) {
        self.with(workspace, |pocket, _| {
            if let_in {
                pocket.meter.count(cost, Moment::now());
            } else {
                pocket.refused += 1;
            }
        });
    }

    fn silent(&self) -> MutexGuard<'_, HashMap<SocketAddr, Moment>> {
        self.silent.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn is_silent(&self, router: &SocketAddr) -> bool {
        self.silent().get(router).is_some_and(|until| *until > Moment::now())
    }

    fn note_silence(&self, router: SocketAddr, silent: bool) {
        if silent {
            self.silent().insert(router, Moment::now() + SILENT);
        } else {
            self.silent().remove(&router);
        }
    }

    /// Whether others are asked for tokens of a workspace now.
    fn may_ask(&self, workspace: &WorkspaceName) -> bool {
        let now = Moment::now();
        let pockets = self.pockets();
        pockets.get(workspace).and_then(|pocket| pocket.dry).is_none_or(|dry| dry <= now)
    }

    /// Notes whether nobody seemed to have any.
    fn asked(&self, workspace: &WorkspaceName, dry: bool) {
        self.with(workspace, |pocket, _| {
            if dry {
                pocket.dry = Some(Moment::now() + pocket.pause);
                pocket.pause = (pocket.pause * 2).min(LONGEST);
            } else {
                (pocket.dry, pocket.pause) = (None, PAUSE);
            }
        });
    }

    /// When this router has so many tokens of its own again.
    fn back(
        &self,
        workspace: &WorkspaceName,
        terms: Terms,
        cost: f64,
        window: Duration,
    ) -> Duration {
        let own = self.with(workspace, |pocket, count| {
            let share = terms.share(count);
            pocket.bucket.wait(share, cost.min(share.depth), Moment::now())
        });
        let back = own.unwrap_or_else(|| self.roster().wait(Moment::now()));
        back.clamp(SOONEST_BACK, window).mul_f64(1.0 + SPREAD * rand::random::<f64>())
    }
}

/// Tells an operator of all workspaces.
pub(crate) fn report(shared: &Shared) -> Option<WorkspacesReport> {
    let catalog = shared.current()?;
    let quotas = &shared.quotas;
    let now = Moment::now();
    let bounds = bounds(shared);
    let workspaces = catalog.workspaces.iter().flat_map(Workspaces::iter);
    let workspaces = workspaces.map(|workspace| {
        let used = workspace.limit.and_then(|limit| {
            let terms = Terms::new(limit, bounds);
            quotas.with(&workspace.name, |pocket, count| {
                let left = pocket.bucket.level(terms.share(count), now);
                (left, pocket.meter.rate(now), pocket.refused)
            })
        });
        let (left, rate, refused) = used.unwrap_or_default();
        let keys = workspace.keys.iter().map(ToString::to_string).collect();
        let (name, limit) = (workspace.name.clone(), workspace.limit);
        WorkspaceReport { name, keys, limit, left, rate, refused }
    });
    Some(WorkspacesReport {
        version: catalog.version,
        age_ms: shared.access.age().map(millis),
        serves: shared.access.holds(shared.settings.borrow().bounds.revoke),
        shares: quotas.share(now).map_or(0, |share| share.count),
        workspaces: workspaces.collect(),
        denied: shared.access.denied(),
    })
}

fn bounds(shared: &Shared) -> Bounds {
    let settings = shared.settings.borrow().quota.unwrap_or_default();
    let Span(window) = settings.window;
    Bounds { window, overshoot: settings.overshoot, slack: settings.slack }
}

/// Takes the tokens of a request from the limit of its workspace, if that has one. A router that starts waits until `until` at most
/// until it knows its share.
pub(crate) async fn charge(
    shared: &Arc<Shared>,
    catalog: &Catalog,
    workspace: &Workspace,
    request: &str,
    tokens: Option<(u32, u32)>,
    until: Instant,
) -> Result<Option<Charge>, Failure> {
    let Some(limit) = workspace.limit else { return Ok(None) };
    let quotas = &shared.quotas;
    let cost = f64::from(workspace.unit.cost(tokens));
    let bounds = bounds(shared);
    let terms = Terms::new(limit, bounds);
    let name = &workspace.name;
    quotas.first_read(until).await;
    let begun = Moment::now();
    let (own, since) = match quotas.take(name, terms, cost) {
        Some((own, since)) => (Some(own), since),
        None => (None, begun),
    };
    let charge = Charge {
        shared: shared.clone(),
        workspace: name.clone(),
        limit,
        own: own.unwrap_or_default(),
        since,
        spent: own.is_none(),
    };
    let missing = cost - charge.own.tokens;
    if missing <= 0.0 {
        quotas.count(name, cost, true);
        return Ok(Some(charge));
    }
    let lent = if quotas.may_ask(name) {
        borrow(shared, name, terms, missing, begun).await
    } else {
        Borrowed::default()
    };
    if begun.elapsed() <= TRANSIT {
        let used = if lent.tokens >= missing { missing } else { 0.0 };
        quotas.add(name, terms, lent.tokens - used);
        if used > 0.0 {
            quotas.count(name, cost, true);
            // What was lent for a request that runs nowhere in the end is lost.
            return Ok(Some(charge));
        }
    }
    let share = quotas.share(Moment::now());
    let left = charge.own.tokens;
    drop(charge);
    quotas.count(name, cost, false);
    emit(&Event::Limited {
        request,
        workspace: name.as_str(),
        cost: whole(cost),
        left: whole(left),
        lent: whole(lent.tokens),
        asked: lent.asked,
        shares: share.map_or(0, |share| share.count),
        version: catalog.version.0,
    });
    let after = Some(quotas.back(name, terms, cost, bounds.window));
    Err(match share {
        Some(_) => {
            let status = StatusCode::TOO_MANY_REQUESTS;
            Failure { status, cause: Refusal::OverQuota, after }
        }
        None => {
            let status = StatusCode::SERVICE_UNAVAILABLE;
            Failure { status, cause: Refusal::NoShare, after }
        }
    })
}

#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "tokens are few and not negative"
)]
fn whole(tokens: f64) -> u64 {
    tokens as u64
}

/// What others lent.
#[derive(Debug, Clone, Copy, Default)]
struct Borrowed {
    tokens: f64,
    asked: usize,
}

/// Asks others for tokens, a few at a time, until there are enough or nobody is likely to have more. What fits into the bucket
/// besides is asked for with them.
async fn borrow(
    shared: &Shared,
    workspace: &WorkspaceName,
    terms: Terms,
    missing: f64,
    begun: Moment,
) -> Borrowed {
    let quotas = &shared.quotas;
    let mut lent = Borrowed::default();
    let (others, count) = {
        let roster = quotas.roster();
        let others: Vec<SocketAddr> =
            roster.others().map(|(addr, _)| addr).filter(|addr| !quotas.is_silent(addr)).collect();
        // One that has no share yet may use what others have.
        let count =
            roster.share(Moment::now()).map_or(others.len() + 1, |share| share.count as usize);
        (others, u32::try_from(count).unwrap_or(u32::MAX))
    };
    let share = terms.share(count);
    let mut lenders = Lenders::new(others, missing, share, rand::random);
    while lent.tokens < missing && may_ask(begun.elapsed()) {
        let wave = lenders.next_wave();
        if wave.is_empty() || is_dry(lent.asked, missing, lent.tokens) {
            break;
        }
        let each = (missing - lent.tokens + share.depth) / wave.len() as f64;
        lent.asked += wave.len();
        let asked = wave.into_iter().map(|router| {
            let borrow = Borrow { workspace: workspace.clone(), tokens: each };
            let client = shared.client.clone();
            async move { (router, control::ask_tokens(&client, router, &borrow, PATIENCE).await) }
        });
        let mut asked: FuturesUnordered<_> = asked.collect();
        // One that does not answer is not waited for where the others have enough.
        while lent.tokens < missing
            && let Some((router, answer)) = asked.next().await
        {
            quotas.note_silence(router, answer.is_err());
            match answer {
                Ok(Lent { tokens }) => lent.tokens += tokens.max(0.0),
                Err(error) => log::debug!("router: another one lent nothing: {error}"),
            }
        }
    }
    quotas.asked(workspace, is_dry(lent.asked, missing, lent.tokens));
    lent
}

/// Answers another router that is short of tokens.
pub(crate) async fn lend(shared: &Shared, request: Request<Incoming>) -> Response<Body> {
    let Ok(bytes) = web::read(request.into_body(), LARGEST).await else {
        return web::text(StatusCode::BAD_REQUEST, "the message can't be read\n");
    };
    let borrow: Borrow = match serde_json::from_slice(&bytes) {
        Ok(borrow) => borrow,
        Err(error) => {
            return web::text(
                StatusCode::BAD_REQUEST,
                format!("no question for tokens: {error}\n"),
            );
        }
    };
    let catalog = shared.current();
    let workspaces = catalog.as_ref().and_then(|catalog| catalog.workspaces.as_ref());
    let limit = workspaces
        .and_then(|all| all.iter().find(|workspace| workspace.name == borrow.workspace))
        .and_then(|workspace| workspace.limit);
    let lent = limit.and_then(|limit| {
        let terms = Terms::new(limit, bounds(shared));
        shared.quotas.lend(&borrow.workspace, terms, borrow.tokens)
    });
    web::json(StatusCode::OK, &Lent { tokens: lent.unwrap_or(0.0) })
}
