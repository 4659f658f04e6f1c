//! Takes the tokens of a request from the limit of its workspace, and gives back those of one that ran nowhere.

use std::sync::Arc;

use catalog::{Catalog, Limit, Workspace};
use clock::Moment;
use events::{Event, Refusal, emit};
use http::StatusCode;
use quota::{BucketSpec, LOAN_TIMEOUT, TakenTokens};
use tokio::time::Instant;
use units::WorkspaceName;

use crate::borrow::{Borrowed, borrow};
use crate::flight::Failure;
use crate::shared::Shared;

/// Tokens for one request. What never reached an endpoint comes back when it is dropped.
#[derive(Debug)]
pub(crate) struct Charge {
    shared: Arc<Shared>,
    workspace: WorkspaceName,
    limit: Limit,
    own: TakenTokens,
    since: Moment,
    /// Whether the request is, or may be, at an endpoint.
    pub(crate) spent: bool,
}

impl Drop for Charge {
    fn drop(&mut self) {
        if !self.spent {
            let terms = BucketSpec::new(self.limit, self.shared.bounds());
            self.shared.quotas.put_back(&self.workspace, terms, self.own, self.since);
        }
    }
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
    let bounds = shared.bounds();
    let terms = BucketSpec::new(limit, bounds);
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
    if begun.elapsed() <= LOAN_TIMEOUT {
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
