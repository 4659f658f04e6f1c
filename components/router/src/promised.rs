//! Requests that their router is short of tokens for, where queues are on: the router that is responsible for a request lends it
//! tokens, or promises them for a later time.
//!
//! Load pattern: a workspace asks for several times its limit, and each caller returns once. The responsible router sets refill
//! aside for each, so that callers that return when told are served.

use std::sync::Arc;

use control::{BorrowRequest, BorrowResponse, TokenClaim, TokenRetry};
use events::{Event, emit};
use quota::{ClaimOutcome, LENDER_TIMEOUT, LOAN_TIMEOUT};
use web::CallError;

use crate::borrow::{BorrowedTokens, borrow};
use crate::charge::{Account, Charge, Shortage, whole_tokens};
use crate::share_leases::{self, PooledWorkspace};
use crate::shared::Shared;

/// What the responsible router answers.
enum Answer {
    /// All tokens, out of the bucket of this router.
    Own(Charge),
    /// Tokens of another router: all, or fewer if that router is of an older version.
    Lent(f64),
    /// No tokens until later.
    Retry(TokenRetry),
    /// Nothing: the responsible router is not reached, or has no answer.
    None,
}

/// Takes the tokens of a request, of this router or the one that is responsible for the request. Without an answer of that router,
/// tokens are borrowed from any.
pub(crate) async fn take(
    account: &Account<'_>,
    claim: TokenClaim,
    priority: u8,
) -> Result<Charge, Shortage> {
    let quotas = &account.shared.quotas;
    let (name, terms, cost) = (account.name(), account.terms, account.cost);
    let urgent = quotas.record_priority(name, priority);
    if let Some((taken, since)) = quotas.take_whole(name, terms, cost, urgent) {
        if quotas.has_leases(name, terms) {
            share_leases::renew(account.shared, account.pooled());
        }
        return Ok(account.charge(Some(taken), since));
    }
    let lent = match ask(account, TokenClaim { urgent, ..claim }).await {
        Answer::Own(charge) => return Ok(charge),
        Answer::Retry(retry) => return Err(Shortage { retry: Some(retry), ..Shortage::default() }),
        Answer::Lent(tokens) => tokens,
        Answer::None => 0.0,
    };
    borrow_rest(account, lent).await
}

/// Asks the router that is responsible for a request.
async fn ask(account: &Account<'_>, claim: TokenClaim) -> Answer {
    let quotas = &account.shared.quotas;
    let coordinators = quotas.coordinators(account.name(), account.coordinator_count());
    let Some(router) = coordinators.responsible(claim.fingerprint) else { return Answer::None };
    if router == quotas.addr() {
        return decide(account.shared, account.pooled(), account.cost, claim).await;
    }
    if !quotas.available_lenders().contains(&router) {
        return Answer::None;
    }
    let borrow = BorrowRequest {
        workspace: account.name().clone(),
        tokens: account.cost,
        claim: Some(claim),
        share: None,
    };
    let client = &account.shared.client;
    let answer = control::borrow_tokens(client, router, &borrow, LENDER_TIMEOUT).await;
    quotas.record_answer(router, matches!(answer, Err(CallError::Timeout { .. })));
    match answer {
        Ok(BorrowResponse { retry: Some(retry), .. }) => Answer::Retry(retry),
        Ok(BorrowResponse { tokens, .. }) => Answer::Lent(tokens.max(0.0)),
        Err(error) => {
            log::debug!("router: claiming tokens at {router} failed: {error}");
            Answer::None
        }
    }
}

/// Decides on a request that this router is responsible for.
async fn decide(
    shared: &Arc<Shared>,
    workspace: PooledWorkspace,
    cost: f64,
    claim: TokenClaim,
) -> Answer {
    share_leases::gather_for_request(shared, &workspace).await;
    let outcome = shared.quotas.claim(&workspace.name, workspace.terms, cost, claim);
    let Some((outcome, since)) = outcome else { return Answer::None };
    match outcome {
        ClaimOutcome::Lent { taken, kept } => {
            if kept {
                let tokens = whole_tokens(taken.tokens);
                emit(&Event::PromiseKept { workspace: workspace.name.as_str(), tokens });
            }
            let account = workspace.account(shared, cost);
            Answer::Own(account.charge(Some(taken), since))
        }
        ClaimOutcome::Promised(after) => Answer::Retry(TokenRetry { after, promised: true }),
        ClaimOutcome::Later(after) => Answer::Retry(TokenRetry { after, promised: false }),
        ClaimOutcome::TooLarge => Answer::None,
    }
}

/// Answers another router on a request that this one is responsible for.
pub(crate) async fn answer_claim(
    shared: &Arc<Shared>,
    workspace: PooledWorkspace,
    cost: f64,
    claim: TokenClaim,
) -> BorrowResponse {
    let mut response = BorrowResponse { tokens: 0.0, retry: None, share: None };
    match decide(shared, workspace, cost, claim).await {
        Answer::Own(mut charge) => {
            // The other router has the tokens now.
            charge.spent = true;
            response.tokens = cost;
        }
        Answer::Lent(tokens) => response.tokens = tokens,
        Answer::Retry(retry) => response.retry = Some(retry),
        Answer::None => {}
    }
    response
}

/// Borrows from any routers what a request still needs beyond the tokens that were lent for it and those that this router has. The
/// latter stay in the bucket meanwhile, so that other requests that fit can take them.
async fn borrow_rest(account: &Account<'_>, lent: f64) -> Result<Charge, Shortage> {
    let quotas = &account.shared.quotas;
    let (name, terms, cost) = (account.name(), account.terms, account.cost);
    let left = quotas.unpromised(name, terms);
    let missing = cost - lent - left.unwrap_or(0.0);
    let mut borrowed = BorrowedTokens::default();
    if missing > 0.0 && quotas.may_borrow(name) {
        borrowed = borrow(account.shared, name, terms, missing, account.start).await;
    }
    borrowed.tokens += lent;
    let shortage = Shortage { left: left.unwrap_or(0.0), borrowed, retry: None };
    if account.start.elapsed() > LOAN_TIMEOUT {
        return Err(shortage);
    }
    match quotas.take_rest(name, terms, cost, borrowed.tokens) {
        Some((Some(taken), since)) => Ok(account.charge(Some(taken), since)),
        // A router without a share may use what others have lent.
        None if borrowed.tokens >= cost => Ok(account.charge(None, account.start)),
        Some((None, _)) | None => Err(shortage),
    }
}
