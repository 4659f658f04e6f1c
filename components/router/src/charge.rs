//! Charges requests to the quota of their workspace, and refunds those that never reached an
//! endpoint.

use std::sync::Arc;

use catalog::{Catalog, Limit, Workspace};
use clock::Moment;
use control::{TokenClaim, TokenRetry};
use events::{Event, Refusal, emit, millis};
use http::{StatusCode, request};
use platform::RequestHeaders;
use quota::{BucketSpec, LOAN_TIMEOUT, TakenTokens};
use tokio::time::Instant;
use units::WorkspaceName;

use crate::borrow::{BorrowedTokens, borrow};
use crate::in_flight::Failure;
use crate::promised;
use crate::share_leases::PooledWorkspace;
use crate::shared::Shared;

/// A caller honors a `Retry-After` for its remaining time divided by this.
const HONORED_DIVISOR: u32 = 3;

/// The tokens that one request takes from the quota of its workspace. They are refunded on drop if
/// the request never reached an endpoint.
#[derive(Debug)]
pub(crate) struct Charge {
    shared: Arc<Shared>,
    workspace: WorkspaceName,
    limit: Limit,
    /// Tokens taken from the bucket of this router.
    own_tokens: TakenTokens,
    /// When this router got the share that the tokens are of.
    share_since: Moment,
    /// Whether the request is, or may be, at an endpoint.
    pub(crate) spent: bool,
}

impl Drop for Charge {
    fn drop(&mut self) {
        if !self.spent {
            let terms = BucketSpec::new(self.limit, self.shared.quota_bounds());
            self.shared.quotas.refund(&self.workspace, terms, self.own_tokens, self.share_since);
        }
    }
}

/// What is charged for a request, and how long it can wait.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ChargedRequest<'a> {
    pub(crate) id: &'a str,
    pub(crate) call: &'a RequestHeaders,
    pub(crate) parts: &'a request::Parts,
    pub(crate) priority: u8,
    /// Until when a router that has just started waits for its share of the quotas.
    pub(crate) share_deadline: Instant,
    /// When the caller stops waiting.
    pub(crate) deadline: Instant,
}

impl ChargedRequest<'_> {
    /// The claim of the request on tokens of a workspace.
    fn claim(&self, workspace: &WorkspaceName) -> TokenClaim {
        let path = self.parts.uri.path_and_query().map_or("", |path| path.as_str());
        let model = self.call.model.as_ref().map(ToString::to_string).unwrap_or_default();
        let (prompt, most) = self.call.tokens.unwrap_or_default();
        let fingerprint = quota::fingerprint(&[
            workspace.as_str().as_bytes(),
            self.parts.method.as_str().as_bytes(),
            path.as_bytes(),
            model.as_bytes(),
            &prompt.to_be_bytes(),
            &most.to_be_bytes(),
            platform::prompt_prefix(&self.parts.headers),
        ]);
        let time_left = self.deadline.saturating_duration_since(Instant::now());
        TokenClaim { fingerprint, within: time_left / HONORED_DIVISOR, urgent: true }
    }
}

/// The account that a request is charged to.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Account<'a> {
    pub(crate) shared: &'a Arc<Shared>,
    pub(crate) workspace: &'a PooledWorkspace,
    pub(crate) terms: BucketSpec,
    pub(crate) cost: f64,
    /// When tokens were first asked for.
    pub(crate) start: Moment,
}

impl<'a> Account<'a> {
    pub(crate) fn name(&self) -> &'a WorkspaceName {
        &self.workspace.name
    }

    pub(crate) fn pooled(&self) -> PooledWorkspace {
        self.workspace.clone()
    }

    pub(crate) fn coordinator_count(&self) -> usize {
        self.workspace.coordinator_count()
    }

    /// The charge for a request that got these tokens of this router's share.
    pub(crate) fn charge(&self, own: Option<TakenTokens>, share_since: Moment) -> Charge {
        Charge {
            shared: self.shared.clone(),
            workspace: self.name().clone(),
            limit: self.workspace.limit,
            own_tokens: own.unwrap_or_default(),
            share_since,
            spent: own.is_none(),
        }
    }
}

/// Why a request got no tokens.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Shortage {
    /// The tokens that this router had.
    pub(crate) left: f64,
    pub(crate) borrowed: BorrowedTokens,
    /// When the request should be sent again, if the responsible router has said so.
    pub(crate) retry: Option<TokenRetry>,
}

/// Takes the tokens of a request from the quota of its workspace, if that has one.
pub(crate) async fn charge(
    shared: &Arc<Shared>,
    catalog: &Catalog,
    workspace: &Workspace,
    request: &ChargedRequest<'_>,
) -> Result<Option<Charge>, Failure> {
    let Some(pooled) = PooledWorkspace::new(shared, workspace) else { return Ok(None) };
    let cost = f64::from(workspace.unit.cost(request.call.tokens));
    shared.quotas.wait_for_roster(request.share_deadline).await;
    let account = pooled.account(shared, cost);
    let promises = shared.settings.borrow().queues();
    let taken = if promises {
        promised::take(&account, request.claim(&pooled.name), request.priority).await
    } else {
        take_or_borrow(&account).await
    };
    shared.quotas.record_request(&pooled.name, cost, taken.is_ok());
    match taken {
        Ok(charge) => Ok(Some(charge)),
        Err(shortage) => Err(refuse(&account, request.id, catalog, &shortage)),
    }
}

/// Takes the tokens of a request out of the bucket of this router, and borrows what is missing.
async fn take_or_borrow(account: &Account<'_>) -> Result<Charge, Shortage> {
    let quotas = &account.shared.quotas;
    let (name, terms, cost, start) = (account.name(), account.terms, account.cost, account.start);
    let (own, share_since) = match quotas.take_tokens(name, terms, cost) {
        Some((own, share_since)) => (Some(own), share_since),
        None => (None, start),
    };
    let charge = account.charge(own, share_since);
    let missing = cost - charge.own_tokens.tokens;
    if missing <= 0.0 {
        return Ok(charge);
    }
    let borrowed = if quotas.may_borrow(name) {
        borrow(account.shared, name, terms, missing, start).await
    } else {
        BorrowedTokens::default()
    };
    if start.elapsed() <= LOAN_TIMEOUT {
        let used = if borrowed.tokens >= missing { missing } else { 0.0 };
        quotas.add_borrowed(name, terms, borrowed.tokens - used);
        if used > 0.0 {
            // Borrowed tokens are not refunded if the request is not run in the end.
            return Ok(charge);
        }
    }
    Err(Shortage { left: charge.own_tokens.tokens, borrowed, retry: None })
}

/// Refuses a request that got no tokens.
fn refuse(
    account: &Account<'_>,
    request_id: &str,
    catalog: &Catalog,
    shortage: &Shortage,
) -> Failure {
    let quotas = &account.shared.quotas;
    let share = quotas.share(Moment::now());
    let window = account.shared.quota_bounds().window;
    let after = match shortage.retry {
        Some(retry) => retry.after,
        None => quotas.retry_after(account.name(), account.terms, account.cost, window),
    };
    emit(&Event::LimitExceeded {
        request: request_id,
        workspace: account.name().as_str(),
        cost: whole_tokens(account.cost),
        left: whole_tokens(shortage.left),
        lent: whole_tokens(shortage.borrowed.tokens),
        asked: shortage.borrowed.routers_asked,
        shares: share.map_or(0, |share| share.count),
        version: catalog.version.0,
        promised: shortage.retry.is_some_and(|retry| retry.promised),
        after_ms: millis(after),
    });
    let (status, cause) = match share {
        Some(_) => (StatusCode::TOO_MANY_REQUESTS, Refusal::OverQuota),
        None => (StatusCode::SERVICE_UNAVAILABLE, Refusal::NoShare),
    };
    Failure { status, cause, after: Some(after) }
}

#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "tokens are few and not negative"
)]
pub(crate) fn whole_tokens(tokens: f64) -> u64 {
    tokens as u64
}
