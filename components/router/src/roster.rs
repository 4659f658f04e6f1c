//! Follows in the platform's store which routers share the limits of workspaces, and writes that this one does.

use std::sync::Arc;
use std::time::Duration;

use catalog::Catalog;
use clock::Moment;
use events::{Dependency, Event, emit, millis};
use platform::{Follower, Store, StoreError, Topic, Update};
use quota::{RosterWrite, RouterRecord};
use tokio::time::Instant;

use crate::shared::Shared;

/// How long a read waits for news: two of them fit into the time for which one proves that this router has a share.
const WAIT: Duration = Duration::from_millis(2_500);
/// Reads begin no sooner after each other where there are news: routers write in turn, and each call is paid for.
const PACE: Duration = Duration::from_millis(2_000);
/// The pause after a failed call.
const RETRY: Duration = Duration::from_millis(400);

/// Follows for as long as the process runs; writes nothing, and reads once at most, before a workspace has a limit.
pub(crate) async fn follow(shared: Arc<Shared>, store: Store) {
    let mut catalog = shared.catalog.subscribe();
    let limited = |catalog: &Option<Arc<Catalog>>| catalog.as_deref().is_some_and(has_limits);
    // Where the settings speak of limits, the first read does not wait for the configuration: requests wait for both.
    let mut waits = shared.settings.borrow().quota.is_none();
    let mut follower = Follower::new(store.clone(), Topic::Routers);
    let mut away: Option<Instant> = None;
    loop {
        if waits && catalog.wait_for(limited).await.is_err() {
            return;
        }
        let begun = Instant::now();
        let wait = if away.is_some() { Duration::ZERO } else { WAIT };
        let mut turn = read(&shared, &mut follower, wait).await;
        if turn.is_ok() && catalog.wait_for(limited).await.is_err() {
            return;
        }
        if turn.is_ok() {
            turn = write(&shared, &store).await;
        }
        waits = false;
        match turn {
            Ok(()) => {
                events::record_reached(Dependency::Roster);
                if let Some(since) = away.take() {
                    let (dependency, after_ms) = (Dependency::Roster, millis(since.elapsed()));
                    emit(&Event::Regained { dependency, name: "store", after_ms });
                }
                tokio::time::sleep_until(begun + PACE).await;
            }
            Err(error) => {
                if away.is_none() {
                    let (dependency, cause) = (Dependency::Roster, error.to_string());
                    emit(&Event::Lost { dependency, name: "store", cause: &cause });
                    away = Some(Instant::now());
                }
                tokio::time::sleep(RETRY).await;
            }
        }
    }
}

fn has_limits(catalog: &Catalog) -> bool {
    let workspaces = catalog.workspaces.as_ref();
    workspaces.is_some_and(|all| all.iter().any(|workspace| workspace.limit.is_some()))
}

/// Reads once.
async fn read(shared: &Shared, follower: &mut Follower, wait: Duration) -> Result<(), StoreError> {
    let sent = Moment::now();
    let batch = follower.next(wait).await?;
    let news = batch.updates.into_iter().filter_map(decode).collect();
    shared.quotas.apply_roster_read(news, batch.complete, sent);
    Ok(())
}

/// Writes what is to be written now.
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

/// Reads one record; none stands for one that was dropped.
fn decode(news: Update) -> Option<(std::net::SocketAddr, Option<RouterRecord>)> {
    let Update::Record(key, value) = news else { return None };
    let bad = |cause: String| {
        let cause = format!("the record `{key}` can't be read: {cause}");
        emit(&Event::Unreadable { dependency: Dependency::Roster, cause: &cause });
    };
    let addr =
        key.parse().map_err(|error: std::net::AddrParseError| bad(error.to_string())).ok()?;
    if value.is_empty() {
        return Some((addr, None));
    }
    let record = serde_json::from_slice(&value).map_err(|error| bad(error.to_string())).ok()?;
    Some((addr, Some(record)))
}
