//! The parts of [`Quotas`] that are used where queues are on: promises, and leases of shares.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;

use clock::Moment;
use control::{LeasedShare, TokenClaim};
use quota::{BucketSpec, Claim, ClaimOutcome, Coordinators, Lease, ShareTerms, TakenTokens};
use units::WorkspaceName;

use crate::quotas::Quotas;

/// This router's share, leased to another router.
#[derive(Debug, Clone, Copy)]
pub(crate) struct GrantedShare {
    /// The tokens that go with it.
    pub(crate) tokens: f64,
    pub(crate) lease: LeasedShare,
}

impl Quotas {
    /// The address of this router in the roster.
    pub(crate) fn addr(&self) -> SocketAddr {
        self.roster().addr()
    }

    /// The routers that coordinate a workspace.
    pub(crate) fn coordinators(&self, workspace: &WorkspaceName, count: usize) -> Coordinators {
        let roster = self.roster();
        let routers = roster.peers().map(|(addr, _)| addr).chain([roster.addr()]);
        Coordinators::new(workspace.as_str(), routers, count)
    }

    /// Records the priority of a request; returns whether no higher one was seen lately.
    pub(crate) fn record_priority(&self, workspace: &WorkspaceName, priority: u8) -> bool {
        let now = Moment::now();
        self.with_quota(workspace, |quota, _| quota.priority.record(priority, now)).unwrap_or(true)
    }

    /// Takes all tokens of a request, or none; returns them and the start of the share.
    pub(crate) fn take_whole(
        &self,
        workspace: &WorkspaceName,
        terms: BucketSpec,
        tokens: f64,
        urgent: bool,
    ) -> Option<(TakenTokens, Moment)> {
        let now = Moment::now();
        let taken = self.with_quota(workspace, |quota, count| {
            quota.last_request = Some(now);
            let own = ShareTerms { total: terms, count };
            let taken = quota.pool.take_whole(own, tokens, urgent, now)?;
            Some((taken, quota.since))
        });
        taken.flatten()
    }

    /// The tokens that are not set aside for promises, if this router has a share.
    pub(crate) fn unpromised(&self, workspace: &WorkspaceName, terms: BucketSpec) -> Option<f64> {
        let now = Moment::now();
        self.with_quota(workspace, |quota, count| {
            quota.pool.unpromised_level(ShareTerms { total: terms, count }, now)
        })
    }

    /// Takes the tokens that a request needs beyond those borrowed for it, if there are enough, with the start of the share; else
    /// keeps the borrowed ones. `None` if this router has no share.
    pub(crate) fn take_rest(
        &self,
        workspace: &WorkspaceName,
        terms: BucketSpec,
        tokens: f64,
        borrowed: f64,
    ) -> Option<(Option<TakenTokens>, Moment)> {
        let now = Moment::now();
        self.with_quota(workspace, |quota, count| {
            let own = ShareTerms { total: terms, count };
            (quota.pool.take_rest(own, tokens, borrowed, now), quota.since)
        })
    }

    /// Decides on a request that this router is responsible for.
    pub(crate) fn claim(
        &self,
        workspace: &WorkspaceName,
        terms: BucketSpec,
        tokens: f64,
        claim: TokenClaim,
    ) -> Option<(ClaimOutcome, Moment)> {
        let now = Moment::now();
        let TokenClaim { fingerprint, within, urgent } = claim;
        let claim = Claim { fingerprint, tokens, within, urgent };
        self.with_quota(workspace, |quota, count| {
            (quota.pool.claim(ShareTerms { total: terms, count }, claim, now), quota.since)
        })
    }

    /// Leases this router's share of a workspace to another router, for `time` at most.
    pub(crate) fn grant_share(
        &self,
        workspace: &WorkspaceName,
        terms: BucketSpec,
        time: Duration,
    ) -> Option<GrantedShare> {
        let now = Moment::now();
        let time = self.roster().share_end(now)?.since(now).min(time);
        let granted = self.with_quota(workspace, |quota, count| {
            let tokens = quota.pool.grant(ShareTerms { total: terms, count }, now + time, now)?;
            Some(GrantedShare { tokens, lease: LeasedShare { count, time } })
        });
        granted.flatten()
    }

    /// Adds the share of another router, which was asked for it at `sent`.
    pub(crate) fn add_lease(
        &self,
        workspace: &WorkspaceName,
        terms: BucketSpec,
        lease: Lease,
        tokens: f64,
        sent: Moment,
    ) {
        if self.released().get(&lease.owner).is_some_and(|released| sent <= *released) {
            // The owner has restarted since, and uses its share itself.
            return;
        }
        self.with_quota(workspace, |quota, count| {
            let own = ShareTerms { total: terms, count };
            quota.pool.add_lease(own, lease, tokens, Moment::now());
        });
    }

    /// Drops the leases of the shares of a router that has restarted.
    pub(crate) fn release_leases(&self, owner: SocketAddr) {
        self.released().insert(owner, Moment::now());
        for quota in self.shares().values_mut() {
            quota.pool.release(owner);
        }
    }

    /// All other routers have dropped the leases that the process before this one had granted.
    pub(crate) fn end_earlier_leases(&self) {
        let mut shares = self.shares();
        self.earlier_leases().store(false, Ordering::Relaxed);
        for quota in shares.values_mut() {
            quota.pool.end_earlier_lease(Moment::now());
        }
    }

    /// Whether this router uses shares of others for a workspace.
    pub(crate) fn has_leases(&self, workspace: &WorkspaceName, terms: BucketSpec) -> bool {
        let now = Moment::now();
        let leases = self.with_quota(workspace, |quota, count| {
            quota.pool.has_leases(ShareTerms { total: terms, count }, now)
        });
        leases.unwrap_or(false)
    }

    /// Whether other routers should be asked for their shares of a workspace now.
    pub(crate) fn start_gathering(&self, workspace: &WorkspaceName, needed: bool) -> bool {
        let now = Moment::now();
        let start = self.with_quota(workspace, |quota, _| quota.pool.start_gathering(needed, now));
        start.unwrap_or(false)
    }

    /// The workspaces for which this router uses shares of others.
    pub(crate) fn pooling_workspaces(&self) -> Vec<WorkspaceName> {
        let shares = self.shares();
        let pooling = shares.iter().filter(|(_, quota)| quota.pool.leased_shares() > 0);
        pooling.map(|(name, _)| name.clone()).collect()
    }
}
