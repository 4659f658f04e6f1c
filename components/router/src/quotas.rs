//! Holds each workspace to its limit: a share of it here, and tokens of other routers where that is not enough.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use catalog::Workspaces;
use clock::Moment;
use control::{WorkspaceReport, WorkspacesReport};
use events::{Event, emit, millis};
use quota::{
    Bucket, BucketSpec, Meter, Roster, RosterWrite, RouterRecord, Share, TakenTokens, lendable,
};
use tokio::sync::watch;
use tokio::time::Instant;
use units::{Domain, WorkspaceName};

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
    pub(crate) fn apply_roster_read(
        &self,
        news: Vec<(SocketAddr, Option<RouterRecord>)>,
        whole: bool,
        sent: Moment,
    ) {
        let now = Moment::now();
        let mut roster = self.roster();
        let count = |roster: &Roster| roster.share(now).map_or(0, |share| share.count);
        let before = count(&roster);
        roster.apply_read(news, whole, sent, now);
        self.started.send_replace(true);
        let shares = count(&roster);
        if shares != before {
            emit(&Event::Shared { shares, before });
        }
    }

    /// Waits until the roster has been read for the first time, which takes as long as the first read of the configuration.
    pub(crate) async fn first_read(&self, until: Instant) {
        if !*self.started.borrow() {
            let mut started = self.started.subscribe();
            let read = started.wait_for(|started| *started);
            let _ = tokio::time::timeout_at(until, read).await;
        }
    }

    /// What is to be written to the roster.
    pub(crate) fn next_roster_write(&self) -> Option<RosterWrite> {
        self.roster().next_write(Moment::now())
    }

    /// Notes that it is written.
    pub(crate) fn confirm_roster_write(&self, write: &RosterWrite) {
        self.roster().confirm_write(write, Moment::now());
    }

    /// The share of this router, if it has one.
    pub(crate) fn share(&self, now: Moment) -> Option<Share> {
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

    pub(crate) fn take(
        &self,
        workspace: &WorkspaceName,
        terms: BucketSpec,
        most: f64,
    ) -> Option<(TakenTokens, Moment)> {
        let now = Moment::now();
        self.with(workspace, |pocket, count| {
            pocket.used = Some(now);
            (pocket.bucket.take(terms.share(count), most, now), pocket.since)
        })
    }

    /// Takes what another router may have of so many tokens.
    pub(crate) fn lend(
        &self,
        workspace: &WorkspaceName,
        terms: BucketSpec,
        most: f64,
    ) -> Option<f64> {
        let now = Moment::now();
        self.with(workspace, |pocket, count| {
            let share = terms.share(count);
            let level = pocket.bucket.level(share, now);
            let idle = pocket.used.map_or(Duration::MAX, |used| now.since(used));
            pocket.bucket.take(share, most.min(lendable(level, idle)), now).tokens
        })
    }

    /// Adds what other routers lent beyond what was used.
    pub(crate) fn add(&self, workspace: &WorkspaceName, terms: BucketSpec, tokens: f64) {
        self.with(workspace, |pocket, count| {
            pocket.bucket.add(terms.share(count), tokens, Moment::now());
        });
    }

    /// Gives back what was taken from the share that this router has had since a moment.
    pub(crate) fn put_back(
        &self,
        workspace: &WorkspaceName,
        terms: BucketSpec,
        taken: TakenTokens,
        since: Moment,
    ) {
        self.with(workspace, |pocket, count| {
            if pocket.since == since {
                pocket.bucket.refund(terms.share(count), taken, Moment::now());
            }
        });
    }

    /// Counts a request for operators.
    pub(crate) fn count(&self, workspace: &WorkspaceName, cost: f64, let_in: bool) {
        self.with(workspace, |pocket, _| {
            if let_in {
                pocket.meter.record(cost, Moment::now());
            } else {
                pocket.refused += 1;
            }
        });
    }

    fn silent(&self) -> MutexGuard<'_, HashMap<SocketAddr, Moment>> {
        self.silent.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Routers that may be asked for tokens.
    pub(crate) fn lenders(&self) -> Vec<SocketAddr> {
        let (now, silent) = (Moment::now(), self.silent());
        let answers = |addr: &SocketAddr| silent.get(addr).is_none_or(|until| *until <= now);
        self.roster().peers().map(|(addr, _)| addr).filter(answers).collect()
    }

    pub(crate) fn note_silence(&self, router: SocketAddr, silent: bool) {
        if silent {
            self.silent().insert(router, Moment::now() + SILENT);
        } else {
            self.silent().remove(&router);
        }
    }

    /// Whether others are asked for tokens of a workspace now.
    pub(crate) fn may_ask(&self, workspace: &WorkspaceName) -> bool {
        let now = Moment::now();
        let pockets = self.pockets();
        pockets.get(workspace).and_then(|pocket| pocket.dry).is_none_or(|dry| dry <= now)
    }

    /// Notes whether nobody seemed to have any.
    pub(crate) fn asked(&self, workspace: &WorkspaceName, dry: bool) {
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
    pub(crate) fn back(
        &self,
        workspace: &WorkspaceName,
        terms: BucketSpec,
        cost: f64,
        window: Duration,
    ) -> Duration {
        let own = self.with(workspace, |pocket, count| {
            let share = terms.share(count);
            pocket.bucket.time_until(share, cost.min(share.capacity), Moment::now())
        });
        let back = own.unwrap_or_else(|| self.roster().time_until_share(Moment::now()));
        back.clamp(SOONEST_BACK, window).mul_f64(1.0 + SPREAD * rand::random::<f64>())
    }
}

/// Tells an operator of all workspaces.
pub(crate) fn report(shared: &Shared) -> Option<WorkspacesReport> {
    let catalog = shared.current()?;
    let quotas = &shared.quotas;
    let now = Moment::now();
    let bounds = shared.bounds();
    let workspaces = catalog.workspaces.iter().flat_map(Workspaces::iter);
    let workspaces = workspaces.map(|workspace| {
        let used = workspace.limit.and_then(|limit| {
            let terms = BucketSpec::new(limit, bounds);
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
