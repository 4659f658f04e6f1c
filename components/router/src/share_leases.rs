//! Coordinators of a workspace lease the shares of the other routers while requests need them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use catalog::{Limit, Unit, Workspace};
use clock::Moment;
use control::{BorrowRequest, BorrowResponse, LeaseRelease, ShareRequest};
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use quota::{BucketSpec, LEASE_TIME, LENDER_TIMEOUT, LOAN_TIMEOUT, Lease, coordinator_count};
use tokio::time::Instant;
use units::WorkspaceName;
use web::{Body, CallError};

use crate::charge::Account;
use crate::shared::Shared;

/// How long a request waits for the first leases. It leaves time for the answer to the router that asked.
const FIRST_GATHER_WAIT: Duration = Duration::from_millis(60);
/// Size limit for messages of other routers, in bytes.
const MAX_MESSAGE_BYTES: usize = 4 << 10;
/// The pause before routers that have not answered are asked again to drop leases.
const RELEASE_RETRY_PAUSE: Duration = Duration::from_millis(100);
/// The interval at which leases are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// A workspace with a limit.
#[derive(Debug, Clone)]
pub(crate) struct PooledWorkspace {
    pub(crate) name: WorkspaceName,
    pub(crate) limit: Limit,
    pub(crate) unit: Unit,
    pub(crate) terms: BucketSpec,
}

impl PooledWorkspace {
    /// The workspace, if it has a limit.
    pub(crate) fn new(shared: &Shared, workspace: &Workspace) -> Option<Self> {
        let limit = workspace.limit?;
        let terms = BucketSpec::new(limit, shared.quota_bounds());
        Some(Self { name: workspace.name.clone(), limit, unit: workspace.unit, terms })
    }

    /// The account of a request of the workspace.
    pub(crate) fn account<'a>(&'a self, shared: &'a Arc<Shared>, cost: f64) -> Account<'a> {
        Account { shared, workspace: self, terms: self.terms, cost, start: Moment::now() }
    }

    /// The number of routers that coordinate the workspace.
    pub(crate) fn coordinator_count(&self) -> usize {
        coordinator_count(self.terms, f64::from(self.unit.cost(None)))
    }
}

/// Leases shares for a request that needs them. The request waits for the first ones.
pub(crate) async fn gather_for_request(shared: &Arc<Shared>, workspace: &PooledWorkspace) {
    let quotas = &shared.quotas;
    let coordinators = quotas.coordinators(&workspace.name, workspace.coordinator_count());
    if coordinators.members(quotas.addr()).is_empty() {
        return;
    }
    let first = !quotas.has_leases(&workspace.name, workspace.terms);
    let mut gathered = std::pin::pin!(quotas.gathered.notified());
    gathered.as_mut().enable();
    renew(shared, workspace.clone());
    if first {
        let _ = tokio::time::timeout(FIRST_GATHER_WAIT, gathered).await;
    }
}

/// Renews the leases of a workspace that a request needs, if that is due.
pub(crate) fn renew(shared: &Arc<Shared>, workspace: PooledWorkspace) {
    if shared.quotas.start_gathering(&workspace.name, true) {
        tokio::spawn(gather(shared.clone(), workspace));
    }
}

/// Renews leases for as long as requests have needed them lately.
pub(crate) async fn run(shared: Arc<Shared>) {
    let mut ticks = tokio::time::interval(CHECK_INTERVAL);
    loop {
        ticks.tick().await;
        for name in shared.quotas.pooling_workspaces() {
            let catalog = shared.current();
            let workspaces = catalog.as_ref().and_then(|catalog| catalog.workspaces.as_ref());
            let workspace = workspaces.and_then(|workspaces| workspaces.named(&name));
            let pooled = workspace.and_then(|workspace| PooledWorkspace::new(&shared, workspace));
            if let Some(pooled) = pooled
                && shared.quotas.start_gathering(&name, false)
            {
                tokio::spawn(gather(shared.clone(), pooled));
            }
        }
    }
}

/// Asks all other routers to drop the leases that the process before this one may have granted, so that this router can use its
/// share before they would have ended. A router that refuses connections is not running and uses none. One that doesn't answer
/// is asked again: after a loss of power the others start a moment later. If one never answers, the share stays unused until then.
pub(crate) async fn reclaim(shared: Arc<Shared>) {
    let quotas = &shared.quotas;
    if !shared.settings.borrow().queues() {
        return;
    }
    let deadline = Instant::now() + LEASE_TIME;
    quotas.wait_for_roster(deadline).await;
    let mut silent: Vec<SocketAddr> = quotas.available_lenders();
    loop {
        silent = ask_to_release(&shared, silent).await;
        if silent.is_empty() {
            return quotas.end_earlier_leases();
        }
        if Instant::now() >= deadline {
            return;
        }
        tokio::time::sleep(RELEASE_RETRY_PAUSE).await;
    }
}

/// Asks routers to drop the leases of this router's share; returns those that may still use it.
async fn ask_to_release(shared: &Shared, routers: Vec<SocketAddr>) -> Vec<SocketAddr> {
    let release = LeaseRelease { owner: shared.quotas.addr() };
    let asked = routers.into_iter().map(|router| {
        let client = shared.client.clone();
        async move {
            match control::release_leases(&client, router, &release, LENDER_TIMEOUT).await {
                Ok(_) | Err(CallError::Connect { .. }) => None,
                Err(error) => {
                    log::debug!(
                        "router: {router} has not confirmed that it uses no lease: {error}"
                    );
                    Some(router)
                }
            }
        }
    });
    futures_util::future::join_all(asked).await.into_iter().flatten().collect()
}

/// Answers a router that has restarted.
pub(crate) async fn answer_release(shared: &Shared, request: Request<Incoming>) -> Response<Body> {
    let bytes = match web::read(request.into_body(), MAX_MESSAGE_BYTES).await {
        Ok(bytes) => bytes,
        Err(error) => return web::text(StatusCode::BAD_REQUEST, error.to_string()),
    };
    match serde_json::from_slice::<LeaseRelease>(&bytes) {
        Ok(release) => {
            shared.quotas.release_leases(release.owner);
            web::json(StatusCode::OK, &release)
        }
        Err(error) => {
            web::text(StatusCode::BAD_REQUEST, format!("the message can't be read: {error}\n"))
        }
    }
}

/// Asks the routers whose shares this one leases.
async fn gather(shared: Arc<Shared>, workspace: PooledWorkspace) {
    let quotas = &shared.quotas;
    let name = &workspace.name;
    let coordinators = quotas.coordinators(name, workspace.coordinator_count());
    let available = quotas.available_lenders();
    let members = coordinators.members(quotas.addr());
    let members = members.into_iter().filter(|member| available.contains(member));
    let sent = Moment::now();
    let asked =
        members.map(|member| {
            let share = Some(ShareRequest { time: LEASE_TIME });
            let request =
                BorrowRequest { workspace: name.clone(), tokens: 0.0, claim: None, share };
            let client = shared.client.clone();
            async move {
                (member, control::borrow_tokens(&client, member, &request, LENDER_TIMEOUT).await)
            }
        });
    let mut asked: FuturesUnordered<_> = asked.collect();
    while let Some((owner, answer)) = asked.next().await {
        quotas.record_answer(owner, matches!(answer, Err(CallError::Timeout { .. })));
        match answer {
            Ok(BorrowResponse { tokens, share: Some(share), .. }) => {
                let until = sent + share.time.min(LEASE_TIME);
                let lease = Lease { owner, count: share.count, until };
                let in_time = sent.elapsed() <= LOAN_TIMEOUT;
                let tokens = if in_time { tokens.max(0.0) } else { 0.0 };
                quotas.add_lease(name, workspace.terms, lease, tokens, sent);
            }
            Ok(_) => log::debug!("router: {owner} leases out no share of {name}"),
            Err(error) => log::debug!("router: leasing the share of {owner} failed: {error}"),
        }
    }
    quotas.gathered.notify_waiters();
}

/// Leases this router's share to another one that asks for it.
pub(crate) fn grant(
    shared: &Shared,
    workspace: &PooledWorkspace,
    request: ShareRequest,
) -> BorrowResponse {
    let time = request.time.min(LEASE_TIME);
    match shared.quotas.grant_share(&workspace.name, workspace.terms, time) {
        Some(granted) => {
            BorrowResponse { tokens: granted.tokens, retry: None, share: Some(granted.lease) }
        }
        None => BorrowResponse { tokens: 0.0, retry: None, share: None },
    }
}
