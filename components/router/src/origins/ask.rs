//! Asks the keepers of a stream where it began.

use std::sync::Arc;
use std::time::Duration;

use control::OriginQuery;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use http::StatusCode;
use origin::{KeeperAnswer, Lookup, MAX_ASKED, StreamKey, rank_keepers};
use tokio::time::Instant;
use units::ServiceName;
use web::CallError;

use super::keeper::{KnownKeeper, asked_keepers};
use crate::shared::Shared;

/// The timeout of asking a loader: the caller of the stream waits for the answer.
const ASK_TIMEOUT: Duration = Duration::from_millis(400);
/// How long the others are waited for once most keepers have answered.
const LAST_ANSWERS_TIME: Duration = Duration::from_millis(50);

/// What the keepers of a stream answered.
#[derive(Debug, Default)]
pub(crate) struct Answers {
    /// The number of keepers that were asked, without those that keep no origins.
    pub(crate) asked: usize,
    /// The answers of those that answered.
    pub(crate) answers: Vec<KeeperAnswer>,
    /// The number of serving keepers that did not answer, for whatever reason.
    pub(crate) unheard: usize,
}

/// Asks the keepers of a stream where it began, until one knows, and until `end` at most.
pub(crate) async fn ask(
    shared: &Arc<Shared>,
    key: StreamKey,
    service: &ServiceName,
    end: Instant,
) -> Answers {
    let keepers = ranked_keepers(shared, key);
    let query = OriginQuery { key, service: service.clone() };
    let ask = async |keeper: &KnownKeeper| (keeper.serves(), ask_one(shared, keeper, &query).await);
    let mut calls: FuturesUnordered<_> = keepers.iter().map(ask).collect();
    let unheard = keepers.iter().filter(|keeper| keeper.serves()).count();
    let mut all = Answers { asked: keepers.len(), answers: Vec::new(), unheard };
    let mut until = end.min(Instant::now() + ASK_TIMEOUT);
    while let Ok(Some((serves, answer))) = tokio::time::timeout_at(until, calls.next()).await {
        match answer {
            Ok(answer) => {
                all.unheard -= usize::from(serves);
                let known = answer.origin != Lookup::Unknown;
                all.answers.push(answer);
                if known {
                    break;
                }
                if 2 * all.answers.len() > all.asked {
                    until = until.min(Instant::now() + LAST_ANSWERS_TIME);
                }
            }
            Err(error) => all.asked -= usize::from(!keeps_origins(&error)),
        }
    }
    all
}

/// Whether a call may have failed at a loader that keeps origins: one that refuses the connection does not run, and one of an
/// earlier release has no such path.
fn keeps_origins(error: &CallError) -> bool {
    match error {
        CallError::Connect { .. } => false,
        CallError::Status { status, .. } => *status != StatusCode::NOT_FOUND,
        CallError::Timeout { .. }
        | CallError::Interrupted { .. }
        | CallError::InvalidResponse { .. } => true,
    }
}

fn ranked_keepers(shared: &Shared, key: StreamKey) -> Vec<KnownKeeper> {
    let state = shared.origins.lock();
    let ranked = rank_keepers(key, &asked_keepers(&state.keepers), MAX_ASKED);
    ranked.into_iter().map(|index| state.keepers[index].clone()).collect()
}

async fn ask_one(
    shared: &Shared,
    keeper: &KnownKeeper,
    query: &OriginQuery,
) -> Result<KeeperAnswer, CallError> {
    let answer = shared.loader_client(keeper.addr).find_origin(query, ASK_TIMEOUT).await;
    match answer {
        Ok(answer) => {
            let listed = shared.origins.listed_for(&keeper.endpoint);
            Ok(answer.into_keeper_answer(query.key, listed, Instant::now()))
        }
        Err(error) => {
            let id = &keeper.endpoint;
            log::debug!("router: the loader of {id} did not say where a stream began: {error}");
            Err(error)
        }
    }
}
