//! The origins that one process knows.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use tokio::time::Instant;
use units::{EndpointId, ServiceName, SoftwareVersion};

use crate::StreamKey;

/// The most origins that a table holds. The oldest ones are dropped first; their streams are then unknown.
const MAX_ORIGINS: usize = 16_384;

/// Where a stream began.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamOrigin {
    /// The service of the endpoint.
    pub service: ServiceName,
    /// The version of the endpoint's software.
    pub software: SoftwareVersion,
    /// The endpoint that sent the first event.
    pub endpoint: EndpointId,
    /// When the first event arrived.
    pub begun: Instant,
}

/// What is known of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Lookup {
    /// Nothing.
    Unknown,
    /// Where it began.
    Known(StreamOrigin),
    /// Streams of several versions began under the same key.
    Conflicting,
}

#[derive(Debug)]
struct Entry {
    /// None if streams of several versions began under the key.
    origin: Option<StreamOrigin>,
    expires: Instant,
}

/// The origins that one process knows, each until it expires.
#[derive(Debug, Default)]
pub struct OriginTable {
    entries: HashMap<StreamKey, Entry>,
    /// The keys in the order in which they were added.
    order: VecDeque<StreamKey>,
}

impl OriginTable {
    /// Records where a stream began, for the time `keep`. A repeated record prolongs the first one.
    pub fn record(&mut self, key: StreamKey, origin: StreamOrigin, keep: Duration, now: Instant) {
        self.drop_expired(now);
        let expires = now + keep;
        if let Some(entry) = self.entries.get_mut(&key) {
            let same = entry.origin.as_ref().is_some_and(|known| {
                known.service == origin.service && known.software == origin.software
            });
            if !same {
                entry.origin = None;
            }
            entry.expires = entry.expires.max(expires);
            return;
        }
        if self.order.len() >= MAX_ORIGINS
            && let Some(oldest) = self.order.pop_front()
        {
            self.entries.remove(&oldest);
        }
        self.order.push_back(key);
        self.entries.insert(key, Entry { origin: Some(origin), expires });
    }

    /// What is known of a stream.
    pub fn get(&self, key: StreamKey, now: Instant) -> Lookup {
        match self.entries.get(&key).filter(|entry| entry.expires > now) {
            None => Lookup::Unknown,
            Some(Entry { origin: Some(origin), .. }) => Lookup::Known(origin.clone()),
            Some(Entry { origin: None, .. }) => Lookup::Conflicting,
        }
    }

    /// The origins of the streams of a service, with the time for which they are kept.
    pub fn of_service(
        &self,
        service: &ServiceName,
        now: Instant,
    ) -> Vec<(StreamKey, StreamOrigin, Duration)> {
        let live = self.entries.iter().filter(|(_, entry)| entry.expires > now);
        let known = live.filter_map(|(key, entry)| Some((key, entry.origin.as_ref()?, entry)));
        let own = known.filter(|(_, origin, _)| origin.service == *service);
        own.map(|(key, origin, entry)| (*key, origin.clone(), entry.expires - now)).collect()
    }

    /// The number of origins.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn drop_expired(&mut self, now: Instant) {
        while let Some(oldest) = self.order.front() {
            if self.entries.get(oldest).is_some_and(|entry| entry.expires > now) {
                return;
            }
            self.entries.remove(oldest);
            self.order.pop_front();
        }
    }
}
