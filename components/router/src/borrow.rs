//! Routers that are short of a workspace's tokens ask others for some.
//!
//! Load pattern: one router gets more of a workspace's requests than its share, while others get less; a failure domain is lost, and all
//! that it served comes to the rest. What one lends is taken from its bucket before the other one uses it.

use std::net::SocketAddr;

use clock::Moment;
use control::{BorrowRequest, BorrowResponse};
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use quota::{BucketSpec, LENDER_TIMEOUT, Lenders, has_time_for_wave, likely_exhausted};
use units::WorkspaceName;
use web::{Body, CallError};

use crate::shared::Shared;

/// The largest message of another router.
const LARGEST: usize = 4 << 10;

/// What others lent.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Borrowed {
    pub(crate) tokens: f64,
    /// How many were asked.
    pub(crate) asked: usize,
}

/// Asks others for tokens, a few at a time, until there are enough or nobody is likely to have more. What fits into the bucket
/// besides is asked for with them.
pub(crate) async fn borrow(
    shared: &Shared,
    workspace: &WorkspaceName,
    terms: BucketSpec,
    missing: f64,
    begun: Moment,
) -> Borrowed {
    let quotas = &shared.quotas;
    let mut lent = Borrowed::default();
    let others: Vec<SocketAddr> = quotas.lenders();
    // One that has no share yet may use what others have.
    let equal = u32::try_from(others.len() + 1).unwrap_or(u32::MAX);
    let share = terms.share(quotas.share(Moment::now()).map_or(equal, |share| share.count));
    let mut lenders = Lenders::new(others, missing, share, rand::random);
    while lent.tokens < missing && has_time_for_wave(begun.elapsed()) {
        let wave = lenders.next_wave();
        if wave.is_empty() || likely_exhausted(lent.asked, missing, lent.tokens) {
            break;
        }
        let each = (missing - lent.tokens + share.capacity) / wave.len() as f64;
        lent.asked += wave.len();
        let asked = wave.into_iter().map(|router| {
            let borrow = BorrowRequest { workspace: workspace.clone(), tokens: each };
            let client = shared.client.clone();
            async move {
                (router, control::borrow_tokens(&client, router, &borrow, LENDER_TIMEOUT).await)
            }
        });
        let mut asked: FuturesUnordered<_> = asked.collect();
        // One that does not answer is not waited for where the others have enough.
        while lent.tokens < missing
            && let Some((router, answer)) = asked.next().await
        {
            // One that refuses connections says so at once, and may be about to start.
            quotas.note_silence(router, matches!(answer, Err(CallError::Timeout { .. })));
            match answer {
                Ok(BorrowResponse { tokens }) => lent.tokens += tokens.max(0.0),
                Err(error) => log::debug!("router: another one lent nothing: {error}"),
            }
        }
    }
    quotas.asked(workspace, likely_exhausted(lent.asked, missing, lent.tokens));
    lent
}

/// Answers another router that is short of tokens.
pub(crate) async fn lend(shared: &Shared, request: Request<Incoming>) -> Response<Body> {
    let Ok(bytes) = web::read(request.into_body(), LARGEST).await else {
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
    let limit = workspace.and_then(|workspace| workspace.limit);
    let lent = limit.and_then(|limit| {
        let terms = BucketSpec::new(limit, shared.bounds());
        shared.quotas.lend(&borrow.workspace, terms, borrow.tokens)
    });
    web::json(StatusCode::OK, &BorrowResponse { tokens: lent.unwrap_or(0.0) })
}
