//! Enforces the quotas of workspaces: this router has a share of each, and borrows tokens of other
//! routers where that is not enough.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use catalog::Workspaces;
use clock::Moment;
use control::{WorkspaceReport, WorkspacesReport};
use events::{Event, emit, millis};
use quota::{
    BucketSpec, Meter, Pool, RecentPriority, Roster, RosterWrite, RouterRecord, Share, ShareTerms,
    TakenTokens,
};
use tokio::sync::{Notify, watch};
use tokio::time::Instant;
use units::{Domain, WorkspaceName};

use crate::shared::Shared;

/// Pause before tokens of a workspace are borrowed again after no router had any; doubled each
/// time.
const MIN_BORROW_PAUSE: Duration = Duration::from_millis(250);
/// The longest pause between attempts to borrow.
const MAX_BORROW_PAUSE: Duration = Duration::from_secs(1);
/// For how long a router that did not answer is not asked for tokens.
const UNRESPONSIVE_PAUSE: Duration = Duration::from_secs(2);
/// Minimum `Retry-After` for callers over the limit.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Random fraction of the `Retry-After` time that is added to it, so that callers do not all
/// return at once.
const RETRY_AFTER_JITTER: f64 = 0.3;

/// The share of this router in the quota of one workspace.
#[derive(Debug)]
pub(crate) struct WorkspaceQuota {
    /// The tokens of the share.
    pub(crate) pool: Pool,
    /// When this router got the share that the tokens are of.
    pub(crate) since: Moment,
    pub(crate) priority: RecentPriority,
    meter: Meter,
    refused: u64,
    /// When the last request of one of this router's own callers arrived.
    pub(crate) last_request: Option<Moment>,
    /// Until when no tokens are borrowed, because the other routers had none.
    no_borrowing_until: Option<Moment>,
    borrow_pause: Duration,
}

impl WorkspaceQuota {
    fn new(pool: Pool, since: Moment) -> Self {
        Self {
            pool,
            since,
            priority: RecentPriority::default(),
            meter: Meter::default(),
            refused: 0,
            last_request: None,
            no_borrowing_until: None,
            borrow_pause: MIN_BORROW_PAUSE,
        }
    }
}

/// The shares of this router in the quotas of all workspaces.
#[derive(Debug)]
pub(crate) struct Quotas {
    /// When this process started.
    started: Moment,
    /// Whether the process before this one may have leased out its shares.
    earlier_leases: AtomicBool,
    /// Routers that have restarted, and when this router dropped the leases of their shares.
    released: Mutex<HashMap<SocketAddr, Moment>>,
    roster: Mutex<Roster>,
    shares: Mutex<HashMap<WorkspaceName, WorkspaceQuota>>,
    /// Routers that did not answer, and until when they are not asked.
    unresponsive: Mutex<HashMap<SocketAddr, Moment>>,
    /// Whether the roster has been read once.
    roster_read: watch::Sender<bool>,
    /// Notified when other routers have been asked for their shares.
    pub(crate) gathered: Notify,
}

impl Quotas {
    pub(crate) fn new(addr: SocketAddr, domain: Domain, leases: bool) -> Self {
        Self {
            started: Moment::now(),
            earlier_leases: AtomicBool::new(leases),
            released: Mutex::default(),
            roster: Mutex::new(Roster::new(addr, domain)),
            shares: Mutex::default(),
            unresponsive: Mutex::default(),
            roster_read: watch::Sender::new(false),
            gathered: Notify::new(),
        }
    }

    pub(crate) fn roster(&self) -> MutexGuard<'_, Roster> {
        self.roster.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn earlier_leases(&self) -> &AtomicBool {
        &self.earlier_leases
    }

    pub(crate) fn released(&self) -> MutexGuard<'_, HashMap<SocketAddr, Moment>> {
        self.released.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn shares(&self) -> MutexGuard<'_, HashMap<WorkspaceName, WorkspaceQuota>> {
        self.shares.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies records of the roster from a read that was sent at `sent`; `complete` says whether
    /// the read contains all records.
    pub(crate) fn apply_roster_read(
        &self,
        updates: Vec<(SocketAddr, Option<RouterRecord>)>,
        complete: bool,
        sent: Moment,
    ) {
        let now = Moment::now();
        let mut roster = self.roster();
        let count = |roster: &Roster| roster.share(now).map_or(0, |share| share.count);
        let before = count(&roster);
        roster.apply_read(updates, complete, sent, now);
        self.roster_read.send_replace(true);
        let shares = count(&roster);
        if shares != before {
            emit(&Event::ShareChanged { shares, before });
        }
    }

    /// Waits until the roster has been read once, which takes as long as the first read of the
    /// configuration.
    pub(crate) async fn wait_for_roster(&self, deadline: Instant) {
        if !*self.roster_read.borrow() {
            let mut roster_read = self.roster_read.subscribe();
            let read = roster_read.wait_for(|read| *read);
            let _ = tokio::time::timeout_at(deadline, read).await;
        }
    }

    /// The next record of the roster that this router has to write.
    pub(crate) fn next_roster_write(&self) -> Option<RosterWrite> {
        self.roster().next_write(Moment::now())
    }

    /// Records that a write of the roster has succeeded.
    pub(crate) fn confirm_roster_write(&self, write: &RosterWrite) {
        self.roster().confirm_write(write, Moment::now());
    }

    /// The share of this router, if it has one.
    pub(crate) fn share(&self, now: Moment) -> Option<Share> {
        self.roster().share(now)
    }

    /// Calls `f` with the quota of a workspace and the number of shares, if this router has a
    /// share.
    pub(crate) fn with_quota<T>(
        &self,
        workspace: &WorkspaceName,
        f: impl FnOnce(&mut WorkspaceQuota, u32) -> T,
    ) -> Option<T> {
        let Share { count, since } = self.share(Moment::now())?;
        let mut shares = self.shares();
        if let Some(quota) = shares.get_mut(workspace).filter(|quota| quota.since == since) {
            return Some(f(quota, count));
        }
        let pool = match self.earlier_leases.load(Ordering::Relaxed) {
            true => Pool::of_restarted(since, self.started),
            false => Pool::new(since),
        };
        shares.insert(workspace.clone(), WorkspaceQuota::new(pool, since));
        shares.get_mut(workspace).map(|quota| f(quota, count))
    }

    /// Takes tokens for a request, `max_tokens` at most; returns them and the start of the share.
    pub(crate) fn take_tokens(
        &self,
        workspace: &WorkspaceName,
        terms: BucketSpec,
        max_tokens: f64,
    ) -> Option<(TakenTokens, Moment)> {
        let now = Moment::now();
        self.with_quota(workspace, |quota, count| {
            quota.last_request = Some(now);
            let own = ShareTerms { total: terms, count };
            (quota.pool.take_part(own, max_tokens, now), quota.since)
        })
    }

    /// Takes the tokens that may be lent to another router, `max_tokens` at most.
    pub(crate) fn lend(
        &self,
        workspace: &WorkspaceName,
        terms: BucketSpec,
        max_tokens: f64,
    ) -> Option<f64> {
        let now = Moment::now();
        self.with_quota(workspace, |quota, count| {
            let own = ShareTerms { total: terms, count };
            let idle = quota.last_request.map_or(Duration::MAX, |at| now.since(at));
            quota.pool.lend(own, max_tokens, idle, now)
        })
    }

    /// Adds borrowed tokens that were not used.
    pub(crate) fn add_borrowed(&self, workspace: &WorkspaceName, terms: BucketSpec, tokens: f64) {
        self.with_quota(workspace, |quota, count| {
            quota.pool.add(ShareTerms { total: terms, count }, tokens, Moment::now());
        });
    }

    /// Refunds tokens that were taken from the share that this router got at `since`.
    pub(crate) fn refund(
        &self,
        workspace: &WorkspaceName,
        terms: BucketSpec,
        taken: TakenTokens,
        since: Moment,
    ) {
        self.with_quota(workspace, |quota, count| {
            if quota.since == since {
                quota.pool.refund(ShareTerms { total: terms, count }, taken, Moment::now());
            }
        });
    }

    /// Counts a request in the report for operators.
    pub(crate) fn record_request(&self, workspace: &WorkspaceName, cost: f64, admitted: bool) {
        self.with_quota(workspace, |quota, _| {
            if admitted {
                quota.meter.record(cost, Moment::now());
            } else {
                quota.refused += 1;
            }
        });
    }

    fn unresponsive(&self) -> MutexGuard<'_, HashMap<SocketAddr, Moment>> {
        self.unresponsive.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Other routers that may be asked for tokens now.
    pub(crate) fn available_lenders(&self) -> Vec<SocketAddr> {
        let (now, unresponsive) = (Moment::now(), self.unresponsive());
        let answers = |addr: &SocketAddr| unresponsive.get(addr).is_none_or(|until| *until <= now);
        self.roster().peers().map(|(addr, _)| addr).filter(answers).collect()
    }

    /// Records whether a request to another router timed out.
    pub(crate) fn record_answer(&self, router: SocketAddr, timed_out: bool) {
        if timed_out {
            self.unresponsive().insert(router, Moment::now() + UNRESPONSIVE_PAUSE);
        } else {
            self.unresponsive().remove(&router);
        }
    }

    /// Whether tokens of a workspace may be borrowed now.
    pub(crate) fn may_borrow(&self, workspace: &WorkspaceName) -> bool {
        let now = Moment::now();
        let shares = self.shares();
        shares
            .get(workspace)
            .and_then(|quota| quota.no_borrowing_until)
            .is_none_or(|until| until <= now)
    }

    /// Records an attempt to borrow tokens; `exhausted` says whether the other routers probably
    /// have none left.
    pub(crate) fn record_borrowing(&self, workspace: &WorkspaceName, exhausted: bool) {
        self.with_quota(workspace, |quota, _| {
            if exhausted {
                quota.no_borrowing_until = Some(Moment::now() + quota.borrow_pause);
                quota.borrow_pause = (quota.borrow_pause * 2).min(MAX_BORROW_PAUSE);
            } else {
                (quota.no_borrowing_until, quota.borrow_pause) = (None, MIN_BORROW_PAUSE);
            }
        });
    }

    /// When this router has `cost` tokens of its own again, with a random addition.
    pub(crate) fn retry_after(
        &self,
        workspace: &WorkspaceName,
        terms: BucketSpec,
        cost: f64,
        window: Duration,
    ) -> Duration {
        let own = self.with_quota(workspace, |quota, count| {
            quota.pool.time_until(ShareTerms { total: terms, count }, cost, Moment::now())
        });
        let delay = own.unwrap_or_else(|| self.roster().time_until_share(Moment::now()));
        delay
            .clamp(MIN_RETRY_AFTER, window)
            .mul_f64(1.0 + RETRY_AFTER_JITTER * rand::random::<f64>())
    }
}

/// The report on all workspaces for operators.
pub(crate) fn report(shared: &Shared) -> Option<WorkspacesReport> {
    let catalog = shared.current()?;
    let quotas = &shared.quotas;
    let now = Moment::now();
    let bounds = shared.quota_bounds();
    let workspaces = catalog.workspaces.iter().flat_map(Workspaces::iter);
    let workspaces = workspaces.map(|workspace| {
        let usage = workspace.limit.and_then(|limit| {
            let terms = BucketSpec::new(limit, bounds);
            quotas.with_quota(&workspace.name, |quota, count| {
                let left = quota.pool.level(ShareTerms { total: terms, count }, now);
                let promised = quota.pool.promised(now);
                (left, quota.meter.rate(now), quota.refused, promised)
            })
        });
        let (left, rate, refused, promised) = usage.unwrap_or_default();
        let keys = workspace.keys.iter().map(ToString::to_string).collect();
        let (name, limit) = (workspace.name.clone(), workspace.limit);
        WorkspaceReport { name, keys, limit, left, rate, refused, promised }
    });
    Some(WorkspacesReport {
        version: catalog.version,
        age_ms: shared.access.age().map(millis),
        serves: shared.access.is_fresh(shared.settings.borrow().bounds.revoke),
        shares: quotas.share(now).map_or(0, |share| share.count),
        workspaces: workspaces.collect(),
        denied: shared.access.denied_keys(),
    })
}
