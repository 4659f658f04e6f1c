//! What the store keeps of software versions and of streams, for the case that all processes that knew end at once.
//!
//! Load pattern: all routers and loaders lose power during a release of endpoints, or at its end, and start again. Their callers
//! take up hundreds of streams within seconds, and neither routers nor loaders remember anything.
//!
//! The store is read at the start, before a write, and when nothing else tells where a stream began. It is written when the
//! versions of a service change, and, while a service has several versions, at most some times a second when streams have begun. A
//! service with one version costs one read of each router and one write.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::str::FromStr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use catalog::Catalog;
use control::{StoredStream, StoredStreams};
use events::{Dependency, Event, emit, millis};
use origin::{
    EstablishedVersion, Lookup, MAX_ORIGINS, OriginTable, SeenVersions, ServiceRecord, StreamKey,
};
use platform::{Batch, Follower, PutOutcome, RecordKind, Store, StoreError, Topic, Update};
use serde::de::DeserializeOwned;
use tokio::sync::Notify;
use tokio::time::Instant;
use units::{Era, ServiceName, SoftwareVersion, StorePosition, UnixMillis};

use crate::guard::wall_clock;
use crate::origins;
use crate::shared::Shared;

/// The prefix of the keys of services.
const SERVICE_PREFIX: &str = "service/";
/// The prefix of the keys of routers, under which each records its streams.
const ROUTER_PREFIX: &str = "router/";
/// How long streams that begin together are waited for before they are recorded.
const BATCH_TIME: Duration = Duration::from_millis(20);
/// The shortest time between two records of a router's streams.
const MIN_WRITE_INTERVAL: Duration = Duration::from_millis(500);
/// The most records of streams that all routers together write in a second.
const MAX_WRITES_PER_SECOND: u32 = 80;
/// How long after its last stream the record of a router that has not deleted it is deleted by another one.
const ABANDONED_AFTER: Duration = Duration::from_secs(600);
/// The most abandoned records that are deleted after one read.
const MAX_DELETES_PER_READ: usize = 4;
/// The shortest time between two reads, while many callers take up streams that nobody knows.
const MIN_READ_INTERVAL: Duration = Duration::from_millis(100);
/// The longest time for which a caller waits for a read.
const REFRESH_TIMEOUT: Duration = Duration::from_millis(400);
/// How long after a failed read no caller waits for another one.
const FAILURE_TIME: Duration = Duration::from_secs(1);
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
    /// Notified when the streams of this router have been recorded.
    written: Notify,
}

#[derive(Debug, Default)]
struct State {
    /// When the last read that succeeded was sent.
    read: Option<Instant>,
    /// When a read last failed, if none has succeeded since.
    failed: Option<Instant>,
    /// Up to where, and in which era of the store.
    position: Option<StorePosition>,
    /// The versions of each service.
    services: BTreeMap<ServiceName, ServiceRecord>,
    /// The streams of each router, by the key of its record.
    streams: BTreeMap<String, HashMap<StreamKey, StoredStream>>,
    /// The keys of the records of routers that are not in `streams`, since they can't be read or there is no room for them.
    left_out: BTreeSet<String>,
    /// The keys of the records of routers that have long ended.
    abandoned: Vec<String>,
    /// Whether the versions of services may have changed since they were last compared with the records.
    may_have_changed: bool,
    /// Since when streams have begun that are not recorded yet.
    unrecorded_since: Option<Instant>,
    /// When this router last recorded its streams.
    recorded_at: Option<Instant>,
    /// Whether the streams are to be recorded without a pause after the last time.
    urgent: bool,
    /// The streams in the record of this router.
    recorded: HashSet<StreamKey>,
    /// Whether the store has a record of this router's streams.
    has_record: bool,
}

impl StreamRecords {
    /// Knows nothing until the first read.
    pub(crate) fn new(store: Store) -> Self {
        let reader =
            tokio::sync::Mutex::new(Follower::with_check(store, Topic::Streams, check_record));
        Self { state: Mutex::default(), reader, changed: Notify::new(), written: Notify::new() }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes that the versions of services may have to be recorded.
    pub(crate) fn note_change(&self) {
        self.lock().may_have_changed = true;
        self.changed.notify_one();
    }

    /// Notes that streams have to be recorded.
    pub(crate) fn note_stream(&self) {
        self.lock().unrecorded_since.get_or_insert_with(Instant::now);
        self.changed.notify_one();
    }

    /// Has the streams recorded that have begun, without a pause.
    pub(crate) fn request_record(&self) {
        self.lock().urgent = true;
        self.note_stream();
    }

    /// Waits until a stream is recorded.
    pub(crate) async fn recorded(&self, key: StreamKey) {
        loop {
            let written = self.written.notified();
            if self.lock().recorded.contains(&key) {
                return;
            }
            written.await;
        }
    }

    /// Whether streams that nobody knows may count as streams of another version than this one.
    pub(crate) fn must_be_known(&self, service: &ServiceName, software: &SoftwareVersion) -> bool {
        let state = self.lock();
        let record = state.services.get(service);
        record.is_some_and(|record| !record.is_established(software, wall_clock()))
    }

    /// The version that began the streams of a service that nobody knows, if there is one.
    pub(crate) fn established(&self, service: &ServiceName) -> Option<EstablishedVersion> {
        let state = self.lock();
        let record = state.services.get(service).filter(|_| state.left_out.is_empty())?;
        record.established(wall_clock())
    }

    /// What routers have recorded of a stream.
    pub(crate) fn find(&self, key: StreamKey) -> Lookup {
        let now = Instant::now();
        let mut found = OriginTable::default();
        for stream in self.lock().streams.values().filter_map(|streams| streams.get(&key)) {
            let keep = stream.expires.saturating_duration_since(now);
            found.record(key, stream.origin.clone(), keep, now);
        }
        found.get(key, now)
    }
}

/// Checks a record of the store before it is kept.
fn check_record(key: &str, value: &[u8]) -> RecordKind {
    let checked = if key.starts_with(ROUTER_PREFIX) {
        parse_if_present::<StoredStreams>(value).map(drop)
    } else if key
        .strip_prefix(SERVICE_PREFIX)
        .is_some_and(|name| ServiceName::from_str(name).is_ok())
    {
        check_service(value)
    } else {
        return RecordKind::Foreign;
    };
    checked.map_or_else(RecordKind::Invalid, |()| RecordKind::Valid)
}

fn check_service(value: &[u8]) -> Result<(), String> {
    match parse_if_present::<ServiceRecord>(value)? {
        Some(record) if record.is_too_far_ahead(wall_clock()) => {
            Err("a time in it is too far ahead".to_owned())
        }
        _ => Ok(()),
    }
}

/// Parses a value; `None` if the record was deleted.
fn parse_if_present<T: DeserializeOwned>(value: &[u8]) -> Result<Option<T>, String> {
    if value.is_empty() {
        return Ok(None);
    }
    serde_json::from_slice(value).map(Some).map_err(|error| error.to_string())
}

fn log_invalid(key: &str, cause: &str) {
    let cause = format!("the record `{key}` can't be parsed: {cause}");
    emit(&Event::Unreadable { dependency: Dependency::StreamRecords, cause: &cause });
}

impl State {
    fn apply(&mut self, batch: Batch, sent: Instant) {
        if batch.complete {
            self.services.clear();
            self.streams.clear();
            self.left_out.clear();
            self.abandoned.clear();
        }
        for update in batch.updates {
            match update {
                Update::Record(key, value) => {
                    if let Err(error) = self.apply_record(&key, &value) {
                        log_invalid(&key, &error.to_string());
                    }
                }
                Update::InvalidRecord(key, cause) => {
                    self.leave_out(&key);
                    log_invalid(&key, &cause);
                }
                _ => {}
            }
        }
        self.position = Some(batch.position);
        if !batch.has_more {
            (self.read, self.failed) = (Some(sent), None);
        }
    }

    fn apply_record(&mut self, key: &str, value: &[u8]) -> Result<(), serde_json::Error> {
        if let Some(service) = key.strip_prefix(SERVICE_PREFIX).and_then(|name| name.parse().ok()) {
            if value.is_empty() {
                self.services.remove(&service);
            } else {
                self.services.insert(service, serde_json::from_slice(value)?);
            }
        }
        if key.starts_with(ROUTER_PREFIX) {
            self.leave_out(key);
            if value.is_empty() {
                self.left_out.remove(key);
            } else {
                self.apply_streams(key, serde_json::from_slice(value)?);
            }
        }
        Ok(())
    }

    /// Drops what the record of a router said.
    fn leave_out(&mut self, key: &str) {
        if key.starts_with(ROUTER_PREFIX) {
            self.streams.remove(key);
            self.abandoned.retain(|other| other != key);
            self.left_out.insert(key.to_owned());
        }
    }

    fn apply_streams(&mut self, key: &str, stored: StoredStreams) {
        let (now, wall_now) = (Instant::now(), wall_clock());
        let is_old = wall_now.since(stored.at) > ABANDONED_AFTER;
        let streams = stored.into_records(wall_now);
        let streams = streams.map(|record| (record.key, StoredStream::new(record, now)));
        let streams: HashMap<_, _> = streams.collect();
        if streams.is_empty() && is_old {
            self.abandoned.push(key.to_owned());
        }
        let known: usize = self.streams.values().map(HashMap::len).sum();
        if known + streams.len() > MAX_ORIGINS {
            return;
        }
        self.left_out.remove(key);
        self.streams.insert(key.to_owned(), streams);
    }

    /// When the streams of this router are to be recorded, if any have begun since the last time.
    fn next_record(&self, routers: u32) -> Option<Instant> {
        let interval =
            (Duration::from_secs(1) * routers / MAX_WRITES_PER_SECOND).max(MIN_WRITE_INTERVAL);
        let batched = self.unrecorded_since? + BATCH_TIME;
        let paused = self.recorded_at.filter(|_| !self.urgent);
        Some(paused.map_or(batched, |at| batched.max(at + interval)))
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
    listed: BTreeSet<SoftwareVersion>,
    recent: BTreeSet<SoftwareVersion>,
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
                let next = next_record(&shared);
                tokio::select! {
                    () = shared.stream_records.changed.notified() => {}
                    () = tokio::time::sleep_until(next.unwrap_or_else(Instant::now)), if next.is_some() => {}
                }
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
        let restored = records.lock().read.is_some();
        read(shared).await?;
        if restored {
            // What was written since the copy was made is gone.
            records.note_stream();
        }
        delete_abandoned(shared).await?;
    }
    if std::mem::take(&mut records.lock().may_have_changed) {
        let written = write_services(shared).await;
        records.lock().may_have_changed |= written.is_err();
        written?;
    }
    write_streams(shared).await
}

/// Writes the records of the services whose versions have changed.
async fn write_services(shared: &Arc<Shared>) -> Result<(), StoreError> {
    let records = &shared.stream_records;
    while !records.lock().due(&seen_versions(shared), wall_clock()).is_empty() {
        // All routers see a change at about the same time.
        tokio::time::sleep(MAX_WRITE_DELAY.mul_f64(rand::random())).await;
        read(shared).await?;
        let (position, due) = {
            let state = records.lock();
            (state.position, state.due(&seen_versions(shared), wall_clock()))
        };
        let Some((service, record)) = due.into_iter().next() else { break };
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

/// When the streams of this router are to be recorded, if they are.
fn next_record(shared: &Shared) -> Option<Instant> {
    let routers = shared.endpoints.lock().routers();
    shared.stream_records.lock().next_record(routers)
}

/// Records the streams of this router if that is due, and deletes the record once no service has several versions.
async fn write_streams(shared: &Arc<Shared>) -> Result<(), StoreError> {
    let records = &shared.stream_records;
    let ends = records.lock().has_record && !origins::tells_any(shared);
    if !ends && next_record(shared).is_none_or(|next| next > Instant::now()) {
        return Ok(());
    }
    let noted = {
        let mut state = records.lock();
        state.recorded_at = Some(Instant::now());
        state.urgent = false;
        state.unrecorded_since.take()
    };
    let stored = StoredStreams::new(origins::unfinished(shared), wall_clock());
    let count = stored.streams.len();
    let keys = stored.streams.iter().map(|record| record.key).collect();
    let value = match count {
        0 if !records.lock().has_record => return Ok(()),
        0 => Vec::new(),
        _ => serde_json::to_vec(&stored).unwrap_or_default(),
    };
    let key = format!("{ROUTER_PREFIX}{}", shared.instance);
    match shared.store.put(Topic::Streams, &key, &value, None).await {
        Ok(_) => {
            {
                let mut state = records.lock();
                (state.has_record, state.recorded) = (count > 0, keys);
            }
            records.written.notify_waiters();
            emit(&Event::StreamsRecorded { streams: count, bytes: value.len() });
            Ok(())
        }
        Err(error) => {
            let mut state = records.lock();
            state.unrecorded_since = noted.or(state.unrecorded_since);
            Err(error)
        }
    }
}

/// Reads the records as they are now, until `end` at most. Returns whether that was possible. While the store does not answer, the
/// callers that wait for it are refused at once.
pub(crate) async fn refresh(shared: &Arc<Shared>, end: Instant) -> bool {
    let records = &shared.stream_records;
    if records.lock().failed.is_some_and(|failed| failed.elapsed() < FAILURE_TIME) {
        return false;
    }
    let end = end.min(Instant::now() + REFRESH_TIMEOUT);
    match tokio::time::timeout_at(end, read(shared)).await {
        Ok(Ok(())) => true,
        Ok(Err(error)) => {
            log::debug!("router: the records of streams could not be read: {error}");
            false
        }
        Err(_) => {
            records.lock().failed = Some(Instant::now());
            false
        }
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
    let last = records.lock().read;
    if let Some(last) = last {
        tokio::time::sleep_until(last + MIN_READ_INTERVAL).await;
    }
    let sent = Instant::now();
    loop {
        let batch = match reader.next(Duration::ZERO).await {
            Ok(batch) => batch,
            Err(error) => {
                records.lock().failed = Some(Instant::now());
                return Err(error);
            }
        };
        let (complete, more) = (batch.complete, batch.has_more);
        let is_first = last.is_none() && complete;
        records.lock().apply(batch, sent);
        if complete {
            remember_versions(shared);
        }
        if is_first {
            remember_own_streams(shared);
        }
        if !more {
            return Ok(());
        }
    }
}

/// Takes up what this router recorded before it was restarted, so that its next record has these streams, too.
fn remember_own_streams(shared: &Arc<Shared>) {
    let key = format!("{ROUTER_PREFIX}{}", shared.instance);
    let own: Vec<StoredStream> = {
        let mut state = shared.stream_records.lock();
        state.has_record = state.streams.contains_key(&key);
        state.streams.get(&key).into_iter().flat_map(HashMap::values).cloned().collect()
    };
    if !own.is_empty() {
        emit(&Event::StreamsRemembered { streams: own.len() });
    }
    own.into_iter().for_each(|stream| origins::remember_stored(shared, stream));
}

/// Deletes records of routers that have long ended, so that they don't accumulate.
async fn delete_abandoned(shared: &Shared) -> Result<(), StoreError> {
    let abandoned: Vec<String> = {
        let mut state = shared.stream_records.lock();
        let count = state.abandoned.len().min(MAX_DELETES_PER_READ);
        state.abandoned.drain(..count).collect()
    };
    for key in abandoned {
        shared.store.put(Topic::Streams, &key, &[], None).await?;
    }
    Ok(())
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
        table.knows_past_versions = true;
    }
    origins::update_keepers(shared);
}

#[cfg(test)]
mod tests;
