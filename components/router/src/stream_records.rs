//! What the store keeps of software versions and of streams, for the case that all processes that knew end at once.
//!
//! Load pattern: all routers and loaders lose power during a release of endpoints, or at its end, and start again. Their callers
//! take up hundreds of streams within seconds, and neither routers nor loaders remember anything.
//!
//! The store is read at the start, before a write, and when nothing else tells where a stream began; it is written when the
//! versions of a service change. A service with one version costs one read of each router and one write.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use catalog::Catalog;
use events::{Dependency, Event, emit, millis};
use origin::{SeenVersions, ServiceRecord};
use platform::{Batch, Follower, PutOutcome, Store, StoreError, Topic, Update};
use tokio::sync::Notify;
use tokio::time::Instant;
use units::{Era, ServiceName, StorePosition, UnixMillis};

use crate::guard::wall_clock;
use crate::origins;
use crate::shared::Shared;

/// The prefix of the keys of services.
const SERVICE_PREFIX: &str = "service/";
/// The longest delay before a change of the versions is written: all routers see it at about the same time, and most find it
/// written by then.
const MAX_WRITE_DELAY: Duration = Duration::from_millis(200);
/// The pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(400);
/// The longest pause after several failed calls.
const MAX_RETRY_PAUSE: Duration = Duration::from_secs(2);

/// What the store keeps of versions and streams, as far as this router has read it.
#[derive(Debug)]
pub(crate) struct StreamRecords {
    state: Mutex<State>,
    /// Reads the topic. Locked during a read, so that one read serves all who wait for it.
    reader: tokio::sync::Mutex<Follower>,
    /// Notified when something may have to be written.
    changed: Notify,
}

#[derive(Debug, Default)]
struct State {
    /// When the last read that succeeded was sent.
    read: Option<Instant>,
    /// Up to where, and in which era of the store.
    position: Option<StorePosition>,
    /// The versions of each service.
    services: BTreeMap<ServiceName, ServiceRecord>,
}

impl StreamRecords {
    /// Knows nothing until the first read.
    pub(crate) fn new(store: Store) -> Self {
        let reader = tokio::sync::Mutex::new(Follower::new(store, Topic::Streams));
        Self { state: Mutex::default(), reader, changed: Notify::new() }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether the records have been read since this router started.
    pub(crate) fn are_read(&self) -> bool {
        self.lock().read.is_some()
    }

    /// Notes that the list of endpoints or a stream may have to be recorded.
    pub(crate) fn note_change(&self) {
        self.changed.notify_one();
    }
}

impl State {
    fn apply(&mut self, batch: Batch, sent: Instant) {
        if batch.complete {
            self.services.clear();
        }
        for update in batch.updates {
            let Update::Record(key, value) = update else { continue };
            if let Err(error) = self.apply_record(&key, &value) {
                let cause = format!("the record `{key}` can't be parsed: {error}");
                emit(&Event::Unreadable { dependency: Dependency::StreamRecords, cause: &cause });
            }
        }
        self.read = Some(sent);
        self.position = Some(batch.position);
    }

    fn apply_record(&mut self, key: &str, value: &[u8]) -> Result<(), serde_json::Error> {
        let service = key.strip_prefix(SERVICE_PREFIX).and_then(|name| name.parse().ok());
        let Some(service) = service else { return Ok(()) };
        if value.is_empty() {
            self.services.remove(&service);
        } else {
            self.services.insert(service, serde_json::from_slice(value)?);
        }
        Ok(())
    }

    /// The services whose records have to be written, with the new ones.
    fn due(&self, seen: &[ServiceVersions], now: UnixMillis) -> Vec<(ServiceName, ServiceRecord)> {
        let none = ServiceRecord::default();
        let due =
            seen.iter().filter_map(|ServiceVersions { service, listed, recent, is_complete }| {
                let seen = SeenVersions { listed, recent, is_complete: *is_complete };
                let record = self.services.get(service).unwrap_or(&none);
                Some((service.clone(), record.updated(seen, now)?))
            });
        due.collect()
    }

    /// Whether the store has been restored from an older copy since the last read.
    fn is_outdated(&self, era: Era) -> bool {
        self.position.is_none_or(|position| position.era != era)
    }
}

/// The versions of a service as this router sees them.
struct ServiceVersions {
    service: ServiceName,
    listed: BTreeSet<units::SoftwareVersion>,
    recent: BTreeSet<units::SoftwareVersion>,
    is_complete: bool,
}

/// The versions of the services whose streams may be taken up.
fn seen_versions(shared: &Shared) -> Vec<ServiceVersions> {
    let Some(catalog) = shared.current() else { return Vec::new() };
    let is_stale = shared.stale_feeds.borrow().membership();
    let table = shared.endpoints.lock();
    let now = Instant::now();
    let versions = resumable_services(&catalog).into_iter().map(|service| {
        let own = table.map.values().filter(|tracked| tracked.endpoint.service == *service);
        let listed: BTreeSet<_> =
            own.filter_map(|tracked| tracked.endpoint.software.clone()).collect();
        ServiceVersions {
            service: service.clone(),
            recent: table.software_of(service, now).versions,
            is_complete: table.list_loaded && !is_stale && !listed.is_empty(),
            listed,
        }
    });
    versions.collect()
}

fn resumable_services(catalog: &Catalog) -> BTreeSet<&ServiceName> {
    let resumable =
        catalog.routes().filter(|route| route.kind.streams() && route.kind.repeatable());
    resumable.flat_map(|route| &route.services).map(|weighted| &weighted.service).collect()
}

/// Reads and writes the records until the process ends.
pub(crate) async fn maintain(shared: Arc<Shared>) {
    let mut lost_since: Option<Instant> = None;
    let mut pause = RETRY_PAUSE;
    loop {
        match update(&shared).await {
            Ok(()) => {
                events::record_reached(Dependency::StreamRecords);
                if let Some(since) = lost_since.take() {
                    let (dependency, after_ms) =
                        (Dependency::StreamRecords, millis(since.elapsed()));
                    emit(&Event::DependencyRegained { dependency, name: "store", after_ms });
                }
                pause = RETRY_PAUSE;
                shared.stream_records.changed.notified().await;
            }
            Err(error) => {
                if lost_since.is_none() {
                    let (dependency, cause) = (Dependency::StreamRecords, error.to_string());
                    emit(&Event::DependencyLost { dependency, name: "store", cause: &cause });
                    lost_since = Some(Instant::now());
                }
                tokio::time::sleep(pause).await;
                pause = (pause * 2).min(MAX_RETRY_PAUSE);
            }
        }
    }
}

/// Reads the records if this has not been done in the store's era, and writes what is due.
async fn update(shared: &Arc<Shared>) -> Result<(), StoreError> {
    let records = &shared.stream_records;
    let outdated = records.lock().is_outdated(shared.store.era());
    if outdated {
        read(shared).await?;
    }
    while !records.lock().due(&seen_versions(shared), wall_clock()).is_empty() {
        // All routers see a change at about the same time.
        tokio::time::sleep(MAX_WRITE_DELAY.mul_f64(rand::random())).await;
        read(shared).await?;
        let (position, due) = {
            let state = records.lock();
            (state.position, state.due(&seen_versions(shared), wall_clock()))
        };
        let Some((service, record)) = due.into_iter().next() else { return Ok(()) };
        write_service(shared, &service, &record, position).await?;
    }
    Ok(())
}

/// Writes the record of a service if no other router has written since it was read.
async fn write_service(
    shared: &Arc<Shared>,
    service: &ServiceName,
    record: &ServiceRecord,
    position: Option<StorePosition>,
) -> Result<(), StoreError> {
    let key = format!("{SERVICE_PREFIX}{service}");
    let value = serde_json::to_vec(record).unwrap_or_default();
    if shared.store.put(Topic::Streams, &key, &value, position).await? == PutOutcome::Written {
        shared.stream_records.lock().services.insert(service.clone(), record.clone());
        let versions = record.recent(wall_clock()).map(|(software, _)| software.clone()).collect();
        emit(&Event::VersionsRecorded {
            service: service.as_str(),
            versions: &origins::join_versions(&versions),
        });
    }
    Ok(())
}

/// Reads the records as they are now, until `end` at most. Returns whether that was possible.
pub(crate) async fn refresh(shared: &Arc<Shared>, end: Instant) -> bool {
    match tokio::time::timeout_at(end, read(shared)).await {
        Ok(Ok(())) => true,
        Ok(Err(error)) => {
            log::debug!("router: the records of streams could not be read: {error}");
            false
        }
        Err(_) => false,
    }
}

/// Reads the records as they are now.
async fn read(shared: &Arc<Shared>) -> Result<(), StoreError> {
    let asked = Instant::now();
    let records = &shared.stream_records;
    let mut reader = records.reader.lock().await;
    if records.lock().read.is_some_and(|read| read >= asked) {
        return Ok(());
    }
    let sent = Instant::now();
    loop {
        let batch = reader.next(Duration::ZERO).await?;
        let (complete, more) = (batch.complete, batch.has_more);
        records.lock().apply(batch, sent);
        if complete {
            remember_versions(shared);
        }
        if !more {
            return Ok(());
        }
    }
}

/// Takes the versions that services have had into the history of this router.
fn remember_versions(shared: &Arc<Shared>) {
    let (now, wall_now) = (Instant::now(), wall_clock());
    {
        let state = shared.stream_records.lock();
        let mut table = shared.endpoints.lock();
        for (service, record) in &state.services {
            for (software, ago) in record.recent(wall_now) {
                let seen = now.checked_sub(ago).unwrap_or(now);
                table.record_past_version(service, software, seen, now);
            }
        }
    }
    origins::update_keepers(shared);
}
