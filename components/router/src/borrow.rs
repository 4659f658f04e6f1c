//! Routers that are short of tokens of a workspace borrow them from other routers.
//!
//! Load pattern: one router gets more requests of a workspace than its share, while others get
//! fewer; or a failure domain is lost, and the remaining routers get its requests. The lender
//! takes the tokens from its bucket before the borrower uses them.

use std::net::SocketAddr;
use std::sync::Arc;

use clock::Moment;
use control::{BorrowRequest, BorrowResponse};
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use quota::{BucketSpec, LENDER_TIMEOUT, Lenders, has_time_for_wave, likely_exhausted};
use units::WorkspaceName;
use web::{Body, CallError};

use crate::promised;
use crate::share_leases::{self, PooledWorkspace};
use crate::shared::Shared;

/// Size limit for messages of other routers, in bytes.
const MAX_MESSAGE_BYTES: usize = 4 << 10;

/// Tokens that other routers lent.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct BorrowedTokens {
    pub(crate) tokens: f64,
    /// How many routers were asked.
    pub(crate) routers_asked: usize,
}

/// Borrows tokens from other routers, a few at a time, until there are enough or the others
/// probably have none left. Each request also asks for as many tokens as the bucket of this router
/// can hold.
pub(crate) async fn borrow(
    shared: &Shared,
    workspace: &WorkspaceName,
    terms: BucketSpec,
    missing: f64,
    start: Moment,
) -> BorrowedTokens {
    let quotas = &shared.quotas;
    let mut borrowed = BorrowedTokens::default();
    let routers: Vec<SocketAddr> = quotas.available_lenders();
    // A router that has no share yet may use what the others have.
    let equal_shares = u32::try_from(routers.len() + 1).unwrap_or(u32::MAX);
    let share = terms.share(quotas.share(Moment::now()).map_or(equal_shares, |share| share.count));
    let mut lenders = Lenders::new(routers, missing, share, rand::random);
    while borrowed.tokens < missing && has_time_for_wave(start.elapsed()) {
        let wave = lenders.next_wave();
        if wave.is_empty() || likely_exhausted(borrowed.routers_asked, missing, borrowed.tokens) {
            break;
        }
        let each = (missing - borrowed.tokens + share.capacity) / wave.len() as f64;
        borrowed.routers_asked += wave.len();
        let asked = wave.into_iter().map(|router| {
            let borrow = BorrowRequest {
                workspace: workspace.clone(),
                tokens: each,
                claim: None,
                share: None,
            };
            let client = shared.client.clone();
            async move {
                (router, control::borrow_tokens(&client, router, &borrow, LENDER_TIMEOUT).await)
            }
        });
        let mut asked: FuturesUnordered<_> = asked.collect();
        // A router that does not answer is not waited for once the others have lent enough.
        while borrowed.tokens < missing
            && let Some((router, answer)) = asked.next().await
        {
            // A router that refuses connections does so at once, and may be about to start.
            quotas.record_answer(router, matches!(answer, Err(CallError::Timeout { .. })));
            match answer {
                Ok(BorrowResponse { tokens, .. }) => borrowed.tokens += tokens.max(0.0),
                Err(error) => log::debug!("router: borrowing tokens from {router} failed: {error}"),
            }
        }
    }
    quotas.record_borrowing(
        workspace,
        likely_exhausted(borrowed.routers_asked, missing, borrowed.tokens),
    );
    borrowed
}

/// Answers another router that wants to borrow tokens.
pub(crate) async fn lend(shared: &Arc<Shared>, request: Request<Incoming>) -> Response<Body> {
    let Ok(bytes) = web::read(request.into_body(), MAX_MESSAGE_BYTES).await else {
        return web::text(StatusCode::BAD_REQUEST, "the message can't be read\n");
    };
    let borrow: BorrowRequest = match serde_json::from_slice(&bytes) {
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
    let workspace = workspaces.and_then(|workspaces| workspaces.named(&borrow.workspace));
    let pooled = workspace.and_then(|workspace| PooledWorkspace::new(shared, workspace));
    let response = match pooled {
        Some(workspace) => answer(shared, workspace, &borrow).await,
        None => BorrowResponse { tokens: 0.0, retry: None, share: None },
    };
    web::json(StatusCode::OK, &response)
}

async fn answer(
    shared: &Arc<Shared>,
    workspace: PooledWorkspace,
    borrow: &BorrowRequest,
) -> BorrowResponse {
    if shared.settings.borrow().queues() {
        if let Some(claim) = borrow.claim {
            return promised::answer_claim(shared, workspace, borrow.tokens, claim).await;
        }
        if let Some(share) = borrow.share {
            return share_leases::grant(shared, &workspace, share);
        }
    }
    let lent = shared.quotas.lend(&workspace.name, workspace.terms, borrow.tokens);
    BorrowResponse { tokens: lent.unwrap_or(0.0), retry: None, share: None }
}
