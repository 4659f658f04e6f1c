//! Follows in the platform's store which routers share the limits of workspaces, and records that this router does.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use catalog::Catalog;
use clock::Moment;
use events::{Dependency, Event, emit, millis};
use platform::{Follower, RecordKind, Store, StoreError, Topic, Update};
use quota::{RosterWrite, RouterRecord};
use tokio::time::Instant;

use crate::shared::Shared;

/// How long a read waits for changes. Two such waits fit into the time for which one read confirms this router's share.
const READ_WAIT: Duration = Duration::from_millis(2_500);
/// The shortest time between the starts of two reads: routers write in turn, and each call to the store is paid for.
const MIN_READ_INTERVAL: Duration = Duration::from_millis(2_000);
/// The pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(400);

/// Follows the roster until the process ends. Before any workspace has a limit, it writes nothing and reads at most once.
pub(crate) async fn follow(shared: Arc<Shared>, store: Store) {
    let mut catalog = shared.catalog.subscribe();
    let limited = |catalog: &Option<Arc<Catalog>>| catalog.as_deref().is_some_and(has_limits);
    // If the settings have a section on limits, the first read does not wait for the configuration: requests wait for both.
    let mut wait_for_limits = shared.settings.borrow().quota.is_none();
    let mut follower = Follower::with_check(store.clone(), Topic::Routers, check_record);
    let mut lost_since: Option<Instant> = None;
    loop {
        if wait_for_limits && catalog.wait_for(limited).await.is_err() {
            return;
        }
        let started = Instant::now();
        let wait = if lost_since.is_some() { Duration::ZERO } else { READ_WAIT };
        let mut result = read(&shared, &mut follower, wait).await;
        if result.is_ok() && catalog.wait_for(limited).await.is_err() {
            return;
        }
        if result.is_ok() {
            result = write(&shared, &store).await;
        }
        wait_for_limits = false;
        match result {
            Ok(()) => {
                events::record_reached(Dependency::Roster);
                if let Some(since) = lost_since.take() {
                    let (dependency, after_ms) = (Dependency::Roster, millis(since.elapsed()));
                    emit(&Event::DependencyRegained { dependency, name: "store", after_ms });
                }
                tokio::time::sleep_until(started + MIN_READ_INTERVAL).await;
            }
            Err(error) => {
                if lost_since.is_none() {
                    let (dependency, cause) = (Dependency::Roster, error.to_string());
                    emit(&Event::DependencyLost { dependency, name: "store", cause: &cause });
                    lost_since = Some(Instant::now());
                }
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// Whether any workspace has a limit.
fn has_limits(catalog: &Catalog) -> bool {
    let workspaces = catalog.workspaces.as_ref();
    workspaces.is_some_and(|all| all.iter().any(|workspace| workspace.limit.is_some()))
}

/// Reads the roster once.
async fn read(shared: &Shared, follower: &mut Follower, wait: Duration) -> Result<(), StoreError> {
    let sent = Moment::now();
    let batch = follower.next(wait).await?;
    let updates = batch.updates.into_iter().filter_map(decode).collect();
    shared.quotas.apply_roster_read(updates, batch.complete, sent);
    Ok(())
}

/// Writes the records that are due.
async fn write(shared: &Shared, store: &Store) -> Result<(), StoreError> {
    while let Some(write) = shared.quotas.next_roster_write() {
        let (addr, value) = match &write {
            RosterWrite::Put(addr, record) => {
                (addr, serde_json::to_vec(record).unwrap_or_default())
            }
            RosterWrite::Delete(addr) => (addr, Vec::new()),
        };
        store.put(Topic::Routers, &addr.to_string(), &value, None).await?;
        shared.quotas.confirm_roster_write(&write);
    }
    Ok(())
}

/// Checks a record of the store before it is kept.
fn check_record(key: &str, value: &[u8]) -> RecordKind {
    if key.parse::<SocketAddr>().is_err() {
        return RecordKind::Foreign;
    }
    // The record was deleted.
    if value.is_empty() {
        return RecordKind::Valid;
    }
    match serde_json::from_slice::<RouterRecord>(value) {
        Ok(_) => RecordKind::Valid,
        Err(error) => RecordKind::Invalid(error.to_string()),
    }
}

fn log_invalid(key: &str, cause: &str) {
    let cause = format!("the record `{key}` can't be parsed: {cause}");
    emit(&Event::Unreadable { dependency: Dependency::Roster, cause: &cause });
}

/// Parses one record; the record is `None` if it was deleted.
fn decode(update: Update) -> Option<(SocketAddr, Option<RouterRecord>)> {
    let (key, value) = match update {
        Update::Record(key, value) => (key, value),
        Update::InvalidRecord(key, cause) => {
            log_invalid(&key, &cause);
            return None;
        }
        _ => return None,
    };
    let bad = |cause: String| log_invalid(&key, &cause);
    let addr =
        key.parse().map_err(|error: std::net::AddrParseError| bad(error.to_string())).ok()?;
    if value.is_empty() {
        return Some((addr, None));
    }
    let record = serde_json::from_slice(&value).map_err(|error| bad(error.to_string())).ok()?;
    Some((addr, Some(record)))
}
