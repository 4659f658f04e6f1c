//! Routers share what they know of ended endpoints: through the store, and by asking each other while that is away.

use std::sync::Arc;
use std::time::Duration;

use control::{KeyedRecord, ReleaseRequest};
use events::{Dependency, Event, emit, millis};
use http::{Response, StatusCode};
use platform::{Follower, PutOutcome, Store, StoreError, Topic, Update};
use quarantine::{CrashTable, Digest, QuarantineRecord, Trial, UnixMillis};
use tokio::sync::mpsc;
use tokio::time::Instant;
use units::StorePosition;
use web::Body;

use crate::guard::{SendPermit, wall_clock};
use crate::shared::Shared;

/// How long a read waits for a record while no endpoint has ended of late: each call is paid for.
const CALM: Duration = Duration::from_secs(10);
/// The same while one has. A read that begins while a record is written may be answered only when its time is over, and a
/// request that ends endpoints must be known to all routers within three seconds.
const ALERT: Duration = Duration::from_millis(1_000);
/// The pause after a failed call.
const RETRY: Duration = Duration::from_millis(400);
/// A read that gives nothing sooner than it should is not repeated before this.
const LEAST: Duration = Duration::from_millis(200);
/// A router of the same deployment answers within some tens of milliseconds; one that does not is down or cut off.
const PATIENCE: Duration = Duration::from_millis(400);
/// Old records that are dropped after one read: each is a call.
const DROPPED: usize = 16;
/// Records that are gone with a copy of the store are written again within this time.
const AGAIN: Duration = Duration::from_millis(2_000);
/// The largest message of another router.
const LARGEST: usize = 1 << 20;

/// Reads what other routers have written, for as long as the process runs.
pub(crate) async fn read(shared: Arc<Shared>, store: Store) {
    let mut follower = Follower::new(store.clone(), Topic::CrashRecords);
    let mut away: Option<Instant> = None;
    loop {
        let begun = Instant::now();
        let wait = if shared.guard.recent_crash() { ALERT } else { CALM };
        let next = tokio::select! {
            next = follower.next(if away.is_some() { Duration::ZERO } else { wait }) => next,
            // An endpoint may have ended: what others know of it may be waiting behind a silent connection.
            () = shared.guard.possible_crash.notified(), if wait == CALM => continue
        };
        match next {
            Ok(batch) => {
                events::record_reached(Dependency::Ends);
                if let Some(since) = away.take() {
                    let (dependency, after_ms) = (Dependency::Ends, millis(since.elapsed()));
                    emit(&Event::Regained { dependency, name: "store", after_ms });
                }
                shared.crash_records_position.send_replace(Some(batch.position));
                let empty = batch.updates.is_empty() && !batch.complete;
                if batch.restored {
                    write_again(&shared, &batch.updates);
                }
                let stale = take(&shared, batch.updates);
                drop_stale(&store, stale).await;
                if empty && begun.elapsed() < LEAST {
                    tokio::time::sleep(LEAST).await;
                }
            }
            Err(error) => {
                lost(&mut away, &error);
                shared.crash_records_position.send_replace(None);
                exchange(&shared).await;
                tokio::time::sleep(RETRY).await;
            }
        }
    }
}

/// Writes again what the copy of the store does not have that it came back from. Whoever knows of a record may, since the router
/// that wrote it may be gone; all wait for different times, so that most find that another one has.
fn write_again(shared: &Arc<Shared>, news: &[Update]) {
    let there = |key: &String| {
        news.iter().any(
            |news| matches!(news, Update::Record(other, value) if other == key && !value.is_empty())
        )
    };
    let missing: Vec<KeyedRecord> =
        shared.guard.recent().into_iter().filter(|kept| !there(&kept.key)).collect();
    if missing.is_empty() {
        return;
    }
    let shared = shared.clone();
    tokio::spawn(async move {
        tokio::time::sleep(AGAIN.mul_f64(rand::random())).await;
        let all =
            Follower::new(shared.store.clone(), Topic::CrashRecords).next(Duration::ZERO).await;
        let written: Vec<Update> = all.map(|batch| batch.updates).unwrap_or_default();
        let there = |key: &String| {
            written.iter().any(|news| matches!(news, Update::Record(other, _) if other == key))
        };
        for kept in missing.into_iter().filter(|kept| !there(&kept.key)) {
            shared.guard.queue_write(kept);
        }
    });
}

/// Takes records; returns the keys of those that are too old to count.
fn take(shared: &Shared, news: Vec<Update>) -> Vec<String> {
    let (mut all, mut stale) = (Vec::new(), Vec::new());
    let now = wall_clock();
    for news in news {
        let Update::Record(key, value) = news else { continue };
        // One that was dropped is too old to count.
        if value.is_empty() {
            continue;
        }
        match serde_json::from_slice(&value) {
            Ok(note) if CrashTable::is_expired(&note, now) => stale.push(key),
            Ok(note) => all.push(KeyedRecord { key, record: note }),
            Err(error) => {
                let cause = format!("the record `{key}` can't be read: {error}");
                emit(&Event::Unreadable { dependency: Dependency::Ends, cause: &cause });
            }
        }
    }
    shared.guard.apply(&all);
    stale
}

/// Drops some records that are too old to count, so that they don't pile up. All routers may drop the same ones, which does no harm.
async fn drop_stale(store: &Store, stale: Vec<String>) {
    for key in stale.into_iter().take(DROPPED) {
        if let Err(error) = store.put(Topic::CrashRecords, &key, &[], None).await {
            log::debug!("router: an old record of an ended endpoint stays for now: {error}");
            return;
        }
    }
}

fn lost(away: &mut Option<Instant>, error: &StoreError) {
    if away.is_none() {
        let (dependency, cause) = (Dependency::Ends, error.to_string());
        emit(&Event::Lost { dependency, name: "store", cause: &cause });
        *away = Some(Instant::now());
    }
}

/// Writes this router's records, and those of routers that could not write them.
pub(crate) async fn write(
    shared: Arc<Shared>,
    store: Store,
    mut records: mpsc::UnboundedReceiver<KeyedRecord>,
) {
    while let Some(kept) = records.recv().await {
        let value = serde_json::to_vec(&kept.record).unwrap_or_default();
        while let Err(error) = store.put(Topic::CrashRecords, &kept.key, &value, None).await {
            if error.is_permanent() || CrashTable::is_expired(&kept.record, wall_clock()) {
                // What the store will never take must not keep back what comes after it; others may still be told.
                let (dependency, cause) = (Dependency::Ends, error.to_string());
                emit(&Event::Lost { dependency, name: "record", cause: &cause });
                break;
            }
            log::debug!("router: a record of an ended endpoint is not written yet: {error}");
            exchange(&shared).await;
            tokio::time::sleep(RETRY).await;
        }
    }
}

/// Tells other routers what this one knows, and takes what they know.
async fn exchange(shared: &Arc<Shared>) {
    let known = shared.guard.recent();
    let asked = shared.other_routers().into_iter().map(|router| {
        let (client, known) = (shared.client.clone(), known.clone());
        async move { control::exchange_crash_records(&client, router, &known, PATIENCE).await }
    });
    for told in futures_util::future::join_all(asked).await {
        match told {
            Ok(told) => drop(shared.guard.apply(&told)),
            Err(error) => {
                log::debug!("router: another one told nothing of ended endpoints: {error}")
            }
        }
    }
}

/// Answers another router that tells what it knows.
pub(crate) async fn answer(
    shared: &Shared,
    request: http::Request<hyper::body::Incoming>,
) -> Response<Body> {
    let Ok(bytes) = web::read(request.into_body(), LARGEST).await else {
        return web::text(StatusCode::BAD_REQUEST, "the message can't be read\n");
    };
    match serde_json::from_slice::<Vec<KeyedRecord>>(&bytes) {
        Ok(told) => {
            for kept in shared.guard.apply(&told) {
                // The other one may not reach the store.
                shared.guard.queue_write(kept);
            }
            web::json(StatusCode::OK, &shared.guard.recent())
        }
        Err(error) => web::text(StatusCode::BAD_REQUEST, format!("no records: {error}\n")),
    }
}

/// Lets a suspect go, on an operator's word.
pub(crate) async fn release(
    shared: &Shared,
    request: http::Request<hyper::body::Incoming>,
) -> Response<Body> {
    let Ok(bytes) = web::read(request.into_body(), LARGEST).await else {
        return web::text(StatusCode::BAD_REQUEST, "the message can't be read\n");
    };
    match serde_json::from_slice::<ReleaseRequest>(&bytes) {
        Ok(ReleaseRequest { digest }) if shared.guard.release(&digest) => {
            web::json(StatusCode::OK, &ReleaseRequest { digest })
        }
        Ok(ReleaseRequest { digest }) => web::text(
            StatusCode::NOT_FOUND,
            format!("{digest} is no suspect here; `hyssopctl suspects` lists them\n"),
        ),
        Err(error) => web::text(StatusCode::BAD_REQUEST, format!("no digest: {error}\n")),
    }
}

/// Agrees with all routers that this one tries a suspect now: only one can write right behind what it has read.
pub(crate) async fn claim_trial(
    shared: &Arc<Shared>,
    digest: &Digest,
    number: u32,
) -> Option<SendPermit> {
    let read: Option<StorePosition> = *shared.crash_records_position.borrow();
    let at: UnixMillis = wall_clock();
    let note = QuarantineRecord::Trial(Trial { digest: *digest, number, at });
    let key = note.key(&shared.instance);
    let value = serde_json::to_vec(&note).unwrap_or_default();
    match shared.store.put(Topic::CrashRecords, &key, &value, Some(read?)).await {
        Ok(PutOutcome::Written) => {}
        Ok(PutOutcome::Conflict) => return None,
        Err(error) => {
            log::debug!("router: a suspect is not tried, since the store can't be asked: {error}");
            return None;
        }
    }
    shared.guard.apply(&[KeyedRecord { key, record: note }]);
    shared.guard.trial_permit(digest)
}
