//! Where streams began, as routers have told this loader. It answers routers at which the callers of these streams ask again.
//!
//! Load pattern: a router dies, and hundreds of its streams are asked for within a second; or a service gets a second version, and all routers
//! tell of all their streams at once.

use std::collections::{BTreeSet, HashMap};

use control::{MAX_ORIGIN_RECORDS, OriginAnswer, OriginQuery, OriginRecord};
use events::{Dependency, Event, emit};
use origin::{OriginTable, StreamOrigin};
use serde_json::value::RawValue;
use thiserror::Error;
use tokio::time::Instant;
use units::{ServiceName, SoftwareVersion};

/// The most versions of a service that are remembered. With more than one, a stream without a record goes nowhere, so it does not
/// matter which ones are left out.
const MAX_VERSIONS: usize = 8;
/// The most services whose versions are remembered. The ones whose records expire first are dropped first.
const MAX_SERVICES: usize = 1_024;

/// The error for a message that is refused as a whole.
#[derive(Debug, Error)]
pub(crate) enum KeepError {
    /// The message is no list, or its only records can't be read.
    #[error("the message can't be read: {0}")]
    Unreadable(#[from] serde_json::Error),
    /// The message has too many records.
    #[error("a message with {0} records; at most {MAX_ORIGIN_RECORDS} are allowed")]
    TooMany(usize),
}

/// Where streams began, as routers have told this loader.
#[derive(Debug)]
pub(crate) struct Origins {
    /// When this loader started to keep records.
    since: Instant,
    table: OriginTable,
    versions: ToldVersions,
}

impl Default for Origins {
    fn default() -> Self {
        let (table, versions) = Default::default();
        Self { since: Instant::now(), table, versions }
    }
}

impl Origins {
    /// Keeps the records of a message. Records that can't be read are left out, unless there are no others.
    pub(crate) fn keep(&mut self, message: &[u8], now: Instant) -> Result<(), KeepError> {
        let texts: Vec<&RawValue> = serde_json::from_slice(message)?;
        if texts.len() > MAX_ORIGIN_RECORDS {
            return Err(KeepError::TooMany(texts.len()));
        }
        let parsed = texts.iter().map(|text| serde_json::from_str::<OriginRecord>(text.get()));
        let (records, errors): (Vec<_>, Vec<_>) = parsed.partition(Result::is_ok);
        if let Some(Err(error)) = errors.into_iter().next() {
            if records.is_empty() {
                return Err(KeepError::Unreadable(error));
            }
            let (dependency, cause) = (Dependency::Origins, error.to_string());
            emit(&Event::Unreadable { dependency, cause: &cause });
        }
        records.into_iter().flatten().for_each(|record| self.record(record, now));
        events::record_origins(self.table.len());
        Ok(())
    }

    /// What is known of a stream, and the versions of the service that routers have told of.
    pub(crate) fn find(&self, query: &OriginQuery, now: Instant) -> OriginAnswer {
        let versions = self.versions.of_service(&query.service, now);
        let kept = now.saturating_duration_since(self.since);
        OriginAnswer::new(query.key, &self.table.get(query.key, now), &versions, kept, now)
    }

    fn record(&mut self, record: OriginRecord, now: Instant) {
        let (key, keep) = (record.key, record.bounded_keep());
        let origin = record.into_origin(now);
        self.versions.record(&origin, now + keep, now);
        self.table.record(key, origin, keep, now);
    }
}

/// The versions that the records of each service name, each until the last record with it expires. They outlast records that the table
/// drops for want of room, so that a stream without a record is not led to the only version that is left.
#[derive(Debug, Default)]
struct ToldVersions(HashMap<ServiceName, HashMap<SoftwareVersion, Instant>>);

impl ToldVersions {
    fn record(&mut self, origin: &StreamOrigin, expires: Instant, now: Instant) {
        if !self.0.contains_key(&origin.service) {
            self.make_room(now);
        }
        let Some(software) = &origin.software else { return };
        let versions = self.0.entry(origin.service.clone()).or_default();
        versions.retain(|_, expires| *expires > now);
        if versions.len() < MAX_VERSIONS || versions.contains_key(software) {
            let latest = versions.entry(software.clone()).or_insert(expires);
            *latest = expires.max(*latest);
        }
    }

    fn of_service(&self, service: &ServiceName, now: Instant) -> BTreeSet<SoftwareVersion> {
        let told = self.0.get(service).into_iter().flatten();
        told.filter(|(_, expires)| **expires > now).map(|(version, _)| version.clone()).collect()
    }

    /// Makes room for one more service.
    fn make_room(&mut self, now: Instant) {
        if self.0.len() < MAX_SERVICES {
            return;
        }
        self.0.retain(|_, versions| versions.values().any(|expires| *expires > now));
        if self.0.len() < MAX_SERVICES {
            return;
        }
        let first = self.0.iter().min_by_key(|(_, versions)| versions.values().max());
        if let Some(service) = first.map(|(service, _)| service.clone()) {
            self.0.remove(&service);
        }
    }
}

#[cfg(test)]
mod tests;
