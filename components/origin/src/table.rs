//! The origins that one process knows.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use tokio::time::Instant;
use units::{EndpointId, EndpointIncarnation, ServiceName, SoftwareVersion};

use crate::restarts::Restarts;
use crate::{StreamKey, StreamNeeds};

/// The most origins that a table holds. The oldest ones are dropped first; their streams are then unknown.
pub const MAX_ORIGINS: usize = 16_384;
/// The longest time by which a record of a stream says that it began later than it did, since the record was on its way.
const MAX_RECORD_DELAY: Duration = Duration::from_secs(2);
/// How long the last event of a stream may be on its way to the caller.
const LAST_EVENT_TIME: Duration = Duration::from_secs(1);
/// The longest time for which an origin is kept, whatever a record says.
pub const MAX_KEEP: Duration = Duration::from_secs(300);

/// Where a stream began.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamOrigin {
    /// The service of the endpoint.
    pub service: ServiceName,
    /// The version of the endpoint's software; `None` while the list does not show yet what this incarnation runs.
    pub software: Option<SoftwareVersion>,
    /// The endpoint that sent the first event.
    pub endpoint: EndpointId,
    /// The incarnation of the endpoint that the list named when the request was sent, if it named one. The version is that of this
    /// incarnation.
    pub incarnation: Option<EndpointIncarnation>,
    /// Whether this incarnation is known to have sent the first event. If not, the endpoint may have restarted unnoticed, perhaps
    /// with other software.
    pub confirmed: bool,
    /// What the endpoint needed for the request.
    pub needs: StreamNeeds,
    /// When the first event arrived.
    pub begun: Instant,
}

impl StreamOrigin {
    /// Whether both streams began at the same version of the same service.
    fn same_version(&self, other: &Self) -> bool {
        self.service == other.service && self.software.is_some() && self.software == other.software
    }

    /// Whether records of the same incarnation and key are of one stream, and not of two for which the caller used one id.
    fn is_record_of_same_stream(&self, other: &Self) -> bool {
        let (early, late) = (self.begun.min(other.begun), self.begun.max(other.begun));
        late - early < MAX_RECORD_DELAY
    }

    /// Whether streams of both may hold events of two versions.
    pub(crate) fn contradicts(&self, other: &Self) -> bool {
        if self.same_incarnation(other) {
            let versions = self.software.as_ref().zip(other.software.as_ref());
            return versions.is_some_and(|(one, other)| one != other);
        }
        !self.same_version(other)
    }

    /// Whether both name the same incarnation of the same endpoint.
    fn same_incarnation(&self, other: &Self) -> bool {
        self.endpoint == other.endpoint
            && self.incarnation.is_some()
            && self.incarnation == other.incarnation
    }
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
    /// When the caller had got the whole stream, as far as the process knows.
    finished: Option<Instant>,
    /// The place in the order in which the keys were added.
    place: u64,
}

/// The origins that one process knows, each until it expires.
#[derive(Debug, Default)]
pub struct OriginTable {
    entries: HashMap<StreamKey, Entry>,
    /// The keys in the order in which they were added.
    added: BTreeMap<u64, StreamKey>,
    /// The keys in the order in which they expire.
    expiring: BTreeSet<(Instant, StreamKey)>,
    next: u64,
    restarts: Restarts,
}

impl OriginTable {
    /// Records where a stream began, for the time `keep`. A repeated record prolongs the first one.
    pub fn record(&mut self, key: StreamKey, origin: StreamOrigin, keep: Duration, now: Instant) {
        self.drop_expired(now);
        if keep.is_zero() {
            return;
        }
        let expires = now + keep.min(MAX_KEEP);
        match self.entries.get_mut(&key) {
            Some(entry) => {
                entry.merge(origin);
                if entry.expires < expires {
                    self.expiring.remove(&(entry.expires, key));
                    self.expiring.insert((expires, key));
                    entry.expires = expires;
                }
            }
            None => self.add(key, Some(origin), expires),
        }
    }

    /// Records that a stream began at a version that is not known, for the time `keep`. It conflicts with any other origin.
    pub fn record_unknown(&mut self, key: StreamKey, keep: Duration, now: Instant) {
        self.drop_expired(now);
        let expires = now + keep.min(MAX_KEEP);
        match self.entries.get_mut(&key) {
            Some(entry) => entry.origin = None,
            None => self.add(key, None, expires),
        }
    }

    /// Remembers which software an incarnation of an endpoint runs that was first seen at `since`. Origins from about that time
    /// with other software are conflicting: their router may have read the list before the restart.
    ///
    /// Returns whether it was not known.
    pub fn record_restart(
        &mut self,
        endpoint: &EndpointId,
        software: &SoftwareVersion,
        since: Instant,
        now: Instant,
    ) -> bool {
        self.restarts.record(endpoint, software, since, now)
    }

    /// Records that the last event of a stream was passed on.
    pub fn finish(&mut self, key: StreamKey, now: Instant) {
        if let Some(entry) = self.entries.get_mut(&key) {
            entry.finished.get_or_insert(now);
        }
    }

    /// What is known of a stream.
    pub fn get(&self, key: StreamKey, now: Instant) -> Lookup {
        let Some(entry) = self.entries.get(&key).filter(|entry| entry.expires > now) else {
            return Lookup::Unknown;
        };
        match self.sound_origin(entry) {
            Some(origin) => Lookup::Known(origin.clone()),
            None => Lookup::Conflicting,
        }
    }

    /// Whether a restart contradicts an origin that is not confirmed.
    pub fn contradicts(&self, origin: &StreamOrigin) -> bool {
        !origin.confirmed && self.restarts.contradict(origin)
    }

    /// The origin that is recorded of a stream, whether or not restarts of its endpoint contradict it.
    pub fn recorded(&self, key: StreamKey, now: Instant) -> Option<&StreamOrigin> {
        self.entries.get(&key).filter(|entry| entry.expires > now)?.origin.as_ref()
    }

    /// The origin of a stream, with the time for which it is kept.
    pub fn kept(&self, key: StreamKey, now: Instant) -> Option<(&StreamOrigin, Duration)> {
        let entry = self.entries.get(&key).filter(|entry| entry.expires > now)?;
        Some((self.sound_origin(entry)?, entry.expires - now))
    }

    /// Records the versions of incarnations that the list has come to show, and returns the streams that began there.
    pub fn resolve(
        &mut self,
        software: impl Fn(&StreamOrigin) -> Option<SoftwareVersion>,
    ) -> Vec<StreamKey> {
        let mut resolved = Vec::new();
        for (key, entry) in &mut self.entries {
            let origin = entry.origin.as_mut().filter(|origin| origin.software.is_none());
            if let Some(origin) = origin {
                origin.software = software(origin);
                resolved.extend(origin.software.is_some().then_some(*key));
            }
        }
        resolved
    }

    /// The origins of the streams of a service, with the time for which they are kept.
    pub fn of_service(
        &self,
        service: &ServiceName,
        now: Instant,
    ) -> Vec<(StreamKey, StreamOrigin, Duration)> {
        let live = self.entries.iter().filter(|(_, entry)| entry.expires > now);
        let known = live.filter_map(|(key, entry)| Some((key, self.sound_origin(entry)?, entry)));
        let own = known.filter(|(_, origin, _)| origin.service == *service);
        own.map(|(key, origin, entry)| (*key, origin.clone(), entry.expires - now)).collect()
    }

    /// The same, without the streams whose callers have got their last event.
    pub fn unfinished_of_service(
        &self,
        service: &ServiceName,
        now: Instant,
    ) -> Vec<(StreamKey, StreamOrigin, Duration)> {
        let has_arrived = |finished: Instant| now >= finished + LAST_EVENT_TIME;
        let mut streams = self.of_service(service, now);
        streams.retain(|(key, ..)| {
            let finished = self.entries.get(key).and_then(|entry| entry.finished);
            !finished.is_some_and(has_arrived)
        });
        streams
    }

    /// The streams that began at an endpoint in an incarnation that is not confirmed, with the time for which they are kept.
    pub fn unconfirmed_at(
        &self,
        endpoint: &EndpointId,
        now: Instant,
    ) -> Vec<(StreamKey, StreamOrigin, Duration)> {
        let live = self.entries.iter().filter(|(_, entry)| entry.expires > now);
        let own = live.filter_map(|(key, entry)| {
            let origin = entry.origin.as_ref()?;
            let unconfirmed = origin.endpoint == *endpoint && !origin.confirmed;
            unconfirmed.then(|| (*key, origin.clone(), entry.expires - now))
        });
        own.collect()
    }

    /// The number of origins, those included that have expired since the last record.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn sound_origin<'a>(&self, entry: &'a Entry) -> Option<&'a StreamOrigin> {
        entry.origin.as_ref().filter(|origin| !self.contradicts(origin))
    }

    fn add(&mut self, key: StreamKey, origin: Option<StreamOrigin>, expires: Instant) {
        if self.entries.len() >= MAX_ORIGINS
            && let Some((_, oldest)) = self.added.first_key_value()
        {
            self.remove(*oldest);
        }
        let place = self.next;
        self.next += 1;
        self.added.insert(place, key);
        self.expiring.insert((expires, key));
        self.entries.insert(key, Entry { origin, expires, finished: None, place });
    }

    fn remove(&mut self, key: StreamKey) {
        if let Some(entry) = self.entries.remove(&key) {
            self.added.remove(&entry.place);
            self.expiring.remove(&(entry.expires, key));
        }
    }

    fn drop_expired(&mut self, now: Instant) {
        while let Some((expires, key)) = self.expiring.first().copied() {
            if expires > now {
                return;
            }
            self.remove(key);
        }
    }
}

impl Entry {
    /// Adds a record of a stream with the same key. Of two with the same version a confirmed one counts, else the later one: it
    /// may be after a restart of its endpoint.
    fn merge(&mut self, origin: StreamOrigin) {
        let Some(known) = &mut self.origin else { return };
        if known.contradicts(&origin) {
            self.origin = None;
        } else if known.same_incarnation(&origin) {
            let same_stream = known.is_record_of_same_stream(&origin);
            known.software = known.software.take().or(origin.software);
            if same_stream {
                known.confirmed |= origin.confirmed;
                known.begun = known.begun.min(origin.begun);
            } else {
                known.confirmed &= origin.confirmed;
                known.begun = known.begun.max(origin.begun);
            }
        } else if (known.confirmed, known.begun) < (origin.confirmed, origin.begun) {
            *known = origin;
        }
    }
}

#[cfg(test)]
mod tests;
