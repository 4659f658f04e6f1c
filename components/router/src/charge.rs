//! Charges requests to the quota of their workspace, and refunds those that never reached an
//! endpoint.

use std::sync::Arc;

use catalog::{Catalog, Limit, Workspace};
use clock::Moment;
use events::{Event, Refusal, emit};
use http::StatusCode;
use quota::{BucketSpec, LOAN_TIMEOUT, TakenTokens};
use tokio::time::Instant;
use units::WorkspaceName;

use crate::borrow::{BorrowedTokens, borrow};
use crate::in_flight::Failure;
use crate::shared::Shared;

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

/// Takes the tokens of a request from the quota of its workspace, if that has one. A router that
/// has just started waits until `deadline` at most for its share of the quotas.
pub(crate) async fn charge(
    shared: &Arc<Shared>,
    catalog: &Catalog,
    workspace: &Workspace,
    request_id: &str,
    tokens: Option<(u32, u32)>,
    deadline: Instant,
) -> Result<Option<Charge>, Failure> {
    let Some(limit) = workspace.limit else { return Ok(None) };
    let quotas = &shared.quotas;
    let cost = f64::from(workspace.unit.cost(tokens));
    let bounds = shared.quota_bounds();
    let terms = BucketSpec::new(limit, bounds);
    let name = &workspace.name;
    quotas.wait_for_roster(deadline).await;
    let start = Moment::now();
    let (own, share_since) = match quotas.take_tokens(name, terms, cost) {
        Some((own, share_since)) => (Some(own), share_since),
        None => (None, start),
    };
    let charge = Charge {
        shared: shared.clone(),
        workspace: name.clone(),
        limit,
        own_tokens: own.unwrap_or_default(),
        share_since,
        spent: own.is_none(),
    };
    let missing = cost - charge.own_tokens.tokens;
    if missing <= 0.0 {
        quotas.record_request(name, cost, true);
        return Ok(Some(charge));
    }
    let borrowed = if quotas.may_borrow(name) {
        borrow(shared, name, terms, missing, start).await
    } else {
        BorrowedTokens::default()
    };
    if start.elapsed() <= LOAN_TIMEOUT {
        let used = if borrowed.tokens >= missing { missing } else { 0.0 };
        quotas.add_borrowed(name, terms, borrowed.tokens - used);
        if used > 0.0 {
            quotas.record_request(name, cost, true);
            // Borrowed tokens are not refunded if the request is not run in the end.
            return Ok(Some(charge));
        }
    }
    let share = quotas.share(Moment::now());
    let left = charge.own_tokens.tokens;
    drop(charge);
    quotas.record_request(name, cost, false);
    emit(&Event::LimitExceeded {
        request: request_id,
        workspace: name.as_str(),
        cost: whole_tokens(cost),
        left: whole_tokens(left),
        lent: whole_tokens(borrowed.tokens),
        asked: borrowed.routers_asked,
        shares: share.map_or(0, |share| share.count),
        version: catalog.version.0,
    });
    let after = Some(quotas.retry_after(name, terms, cost, bounds.window));
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
fn whole_tokens(tokens: f64) -> u64 {
    tokens as u64
}
