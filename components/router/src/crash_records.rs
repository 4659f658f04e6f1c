//! Shares records of crashed endpoints between routers: through the store, or from router to router while it is unreachable.

use std::sync::Arc;
use std::time::Duration;

use control::{KeyedRecord, ReleaseRequest};
use events::{Dependency, Event, emit, millis};
use http::{Response, StatusCode};
use platform::{Follower, PutOutcome, RecordKind, Store, StoreError, Topic, Update};
use quarantine::{CrashTable, Digest, QuarantineRecord, Trial, UnixMillis};
use tokio::sync::{Mutex, mpsc};
use tokio::time::Instant;
use units::StorePosition;
use web::Body;

use crate::guard::{SendPermit, wall_clock};
use crate::shared::Shared;
use crate::topic_source::TopicSource;

/// How long a read waits for a record while no endpoint has crashed recently: each call to the store is paid for.
const IDLE_READ_WAIT: Duration = Duration::from_secs(10);
/// All routers must know about a request that crashes endpoints within this time.
const ALERT_BOUND: Duration = Duration::from_secs(3);
/// How long a read waits after a recent crash. A read that begins while a record is written may be answered only when its wait
/// is over.
const ALERT_READ_WAIT: Duration = Duration::from_millis(1_000);
/// The pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(400);
/// A read that returned nothing before its wait was over is not repeated sooner than this.
const MIN_READ_INTERVAL: Duration = Duration::from_millis(200);
/// The timeout of a call to another router. A router of the same deployment answers within some tens of milliseconds; one
/// that doesn't is down or unreachable.
const ROUTER_TIMEOUT: Duration = Duration::from_millis(400);
/// The most expired records that are deleted after one read: each is a call to the store.
const MAX_DELETES_PER_READ: usize = 16;
/// Records that were lost when the store was restored from a copy are written again within this time.
const MAX_REWRITE_DELAY: Duration = Duration::from_millis(2_000);
/// About this many routers, of all, tell of cleared requests and parts without much delay.
const FIRST_PUBLISHERS: f64 = 6.0;
/// The longest delay of these routers, in which they collect more.
const FIRST_PUBLISH_DELAY: Duration = Duration::from_millis(300);
/// The longest delay of all others, which tell only of what no other router has told of.
const PUBLISH_DELAY: Duration = Duration::from_secs(3);
/// The largest request to release a suspect, in bytes.
const MAX_RELEASE_BYTES: usize = 1 << 20;

/// Checks a record of the store before it is kept.
fn check_record(key: &str, value: &[u8]) -> RecordKind {
    // The record was deleted.
    if value.is_empty() {
        return RecordKind::Valid;
    }
    match serde_json::from_slice::<QuarantineRecord>(value) {
        Ok(record) if record.at().is_too_far_ahead(wall_clock()) => {
            RecordKind::Invalid(format!("its time {} is too far ahead", record.at()))
        }
        Ok(_) => RecordKind::Valid,
        Err(error) if QuarantineRecord::is_key(key) => RecordKind::Invalid(error.to_string()),
        Err(_) => RecordKind::Foreign,
    }
}

fn follower(store: &Store) -> Follower {
    Follower::with_check(store.clone(), Topic::CrashRecords, check_record)
}

/// Reads the records that other routers have written until the process ends.
pub(crate) async fn read(shared: Arc<Shared>, store: Store) {
    let mut source = TopicSource::with_follower(shared.clone(), follower(&store));
    let mut lost_since: Option<Instant> = None;
    loop {
        let started = Instant::now();
        let (bound, wait) = if shared.guard.recent_crash() {
            (ALERT_BOUND, ALERT_READ_WAIT)
        } else {
            (IDLE_READ_WAIT, IDLE_READ_WAIT)
        };
        let store_wait = if lost_since.is_some() { Duration::ZERO } else { wait };
        let next = tokio::select! {
            next = source.next(bound, store_wait) => next,
            // An endpoint may have crashed: other routers' records may be waiting behind a connection that has gone silent.
            () = shared.guard.possible_crash.notified(), if wait == IDLE_READ_WAIT => continue
        };
        match next {
            Ok(batch) => {
                events::record_reached(Dependency::CrashRecords);
                if let Some(since) = lost_since.take() {
                    let (dependency, after_ms) =
                        (Dependency::CrashRecords, millis(since.elapsed()));
                    emit(&Event::DependencyRegained { dependency, name: "store", after_ms });
                }
                shared.crash_records_position.send_replace(Some(batch.position));
                let empty = batch.updates.is_empty() && !batch.complete && !batch.has_more;
                if batch.restored {
                    write_again(&shared, &batch.updates);
                }
                let expired = apply_updates(&shared, batch.updates, batch.complete);
                delete_expired(&store, expired).await;
                if empty && started.elapsed() < MIN_READ_INTERVAL {
                    tokio::time::sleep(MIN_READ_INTERVAL).await;
                }
            }
            Err(error) => {
                record_lost(&mut lost_since, &error);
                shared.crash_records_position.send_replace(None);
                exchange_with_routers(&shared).await;
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// Writes records again that are missing in the copy from which the store was restored. Any router that knows a record may
/// do so, since the router that wrote it may be gone. Each waits for a random time, so that most find the record written.
fn write_again(shared: &Arc<Shared>, updates: &[Update]) {
    let exists = |key: &String| {
        updates.iter().any(
            |update| matches!(update, Update::Record(other, value) if other == key && !value.is_empty())
        )
    };
    let missing: Vec<KeyedRecord> =
        shared.guard.recent().into_iter().filter(|keyed| !exists(&keyed.key)).collect();
    if missing.is_empty() {
        return;
    }
    let shared = shared.clone();
    tokio::spawn(async move {
        tokio::time::sleep(MAX_REWRITE_DELAY.mul_f64(rand::random())).await;
        let all = follower(&shared.store).next(Duration::ZERO).await;
        let written: Vec<Update> = all.map(|batch| batch.updates).unwrap_or_default();
        let exists = |key: &String| {
            written.iter().any(|update| matches!(update, Update::Record(other, _) if other == key))
        };
        for keyed in missing.into_iter().filter(|keyed| !exists(&keyed.key)) {
            shared.guard.queue_write(keyed);
        }
    });
}

/// Applies records from the store; `complete` says that they are all there are. Returns the keys of expired ones.
fn apply_updates(shared: &Shared, updates: Vec<Update>, complete: bool) -> Vec<String> {
    let (mut all, mut expired) = (Vec::new(), Vec::new());
    let now = wall_clock();
    for update in updates {
        let (key, value) = match update {
            Update::Record(key, value) => (key, value),
            Update::InvalidRecord(key, cause) => {
                log_invalid(&key, &cause);
                continue;
            }
            _ => continue,
        };
        // The record was deleted because it had expired.
        if value.is_empty() {
            continue;
        }
        match serde_json::from_slice(&value) {
            Ok(record) if CrashTable::is_expired(&record, now) => expired.push(key),
            Ok(record) => all.push(KeyedRecord { key, record }),
            Err(error) => log_invalid(&key, &error.to_string()),
        }
    }
    if complete {
        shared.guard.apply_history(&all);
    } else {
        shared.guard.apply(&all);
    }
    expired
}

fn log_invalid(key: &str, cause: &str) {
    let cause = format!("the record `{key}` can't be parsed: {cause}");
    emit(&Event::Unreadable { dependency: Dependency::CrashRecords, cause: &cause });
}

/// Deletes some expired records, so that they don't accumulate. Several routers may delete the same ones, which does no harm.
async fn delete_expired(store: &Store, expired: Vec<String>) {
    for key in expired.into_iter().take(MAX_DELETES_PER_READ) {
        if let Err(error) = store.put(Topic::CrashRecords, &key, &[], None).await {
            log::debug!("router: an expired crash record was not deleted: {error}");
            if !error.is_permanent() {
                return;
            }
        }
    }
}

fn record_lost(lost_since: &mut Option<Instant>, error: &StoreError) {
    if lost_since.is_none() {
        let (dependency, cause) = (Dependency::CrashRecords, error.to_string());
        emit(&Event::DependencyLost { dependency, name: "store", cause: &cause });
        *lost_since = Some(Instant::now());
    }
}

/// Writes this router's records, and those of other routers that could not write them.
pub(crate) async fn write(
    shared: Arc<Shared>,
    store: Store,
    records: Arc<Mutex<mpsc::UnboundedReceiver<KeyedRecord>>>,
) {
    let mut records = records.lock().await;
    while let Some(keyed) = records.recv().await {
        let value = serde_json::to_vec(&keyed.record).unwrap_or_default();
        while let Err(error) = store.put(Topic::CrashRecords, &keyed.key, &value, None).await {
            if error.is_permanent() || CrashTable::is_expired(&keyed.record, wall_clock()) {
                // A record that the store rejects permanently must not block those after it. Other routers may still get it
                // from this one.
                let (dependency, cause) = (Dependency::CrashRecords, error.to_string());
                emit(&Event::DependencyLost { dependency, name: "record", cause: &cause });
                break;
            }
            log::debug!("router: a crash record could not be written yet: {error}");
            exchange_with_routers(&shared).await;
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }
}

/// Tells other routers of requests and parts of prompts that are cleared of crashes.
pub(crate) async fn publish_cleared(shared: Arc<Shared>) {
    loop {
        shared.guard.cleared.notified().await;
        // Most parts, and popular requests, that are at crashes are run by many routers, and one of them is enough.
        let routers =
            f64::from(u32::try_from(shared.other_routers().len() + 1).unwrap_or(u32::MAX));
        let is_first = rand::random::<f64>() < FIRST_PUBLISHERS / routers;
        let delay = if is_first { FIRST_PUBLISH_DELAY } else { PUBLISH_DELAY };
        tokio::time::sleep(delay.mul_f64(0.5 + rand::random::<f64>() / 2.0)).await;
        shared.guard.publish_cleared();
    }
}

/// Sends this router's recent records to all other routers, and applies the ones that they know.
async fn exchange_with_routers(shared: &Arc<Shared>) {
    let own = shared.guard.recent();
    let calls = shared.other_routers().into_iter().map(|router| {
        let (client, own) = (shared.router_client.clone(), own.clone());
        async move { client.exchange_crash_records(router, &own, ROUTER_TIMEOUT).await }
    });
    for answer in futures_util::future::join_all(calls).await {
        match answer {
            Ok(records) => drop(shared.guard.apply(&records)),
            Err(error) => {
                log::debug!("router: another router did not exchange crash records: {error}")
            }
        }
    }
}

/// Answers another router that sends its recent records, with those of this one.
pub(crate) async fn answer(
    shared: &Shared,
    request: http::Request<hyper::body::Incoming>,
) -> Response<Body> {
    let Ok(bytes) = web::read(request.into_body(), control::MAX_CRASH_RECORDS_BYTES).await else {
        return web::text(StatusCode::BAD_REQUEST, "the message can't be read\n");
    };
    match serde_json::from_slice::<Vec<KeyedRecord>>(&bytes) {
        Ok(records) => {
            for keyed in shared.guard.apply(&records) {
                // The other router may not reach the store.
                shared.guard.queue_write(keyed);
            }
            web::json(StatusCode::OK, &shared.guard.recent())
        }
        Err(error) => web::text(StatusCode::BAD_REQUEST, format!("no records: {error}\n")),
    }
}

/// Releases a suspect on an operator's request.
pub(crate) async fn release(
    shared: &Shared,
    request: http::Request<hyper::body::Incoming>,
) -> Response<Body> {
    let Ok(bytes) = web::read(request.into_body(), MAX_RELEASE_BYTES).await else {
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

/// Claims the trial of a suspect for this router: of all routers, only one can write right after the position that it has read.
pub(crate) async fn claim_trial(
    shared: &Arc<Shared>,
    digest: &Digest,
    number: u32,
) -> Option<SendPermit> {
    let read: Option<StorePosition> = *shared.crash_records_position.borrow();
    let at: UnixMillis = wall_clock();
    let record = QuarantineRecord::Trial(Trial { digest: *digest, number, at });
    let key = record.key(&shared.instance);
    let value = serde_json::to_vec(&record).unwrap_or_default();
    match shared.store.put(Topic::CrashRecords, &key, &value, Some(read?)).await {
        Ok(PutOutcome::Written) => {}
        Ok(PutOutcome::Conflict) => return None,
        Err(error) => {
            log::debug!(
                "router: a suspect is not tried, because the claim can't be written to the store: {error}"
            );
            return None;
        }
    }
    shared.guard.apply(&[KeyedRecord { key, record }]);
    shared.guard.trial_permit(digest)
}

#[cfg(test)]
mod tests;
