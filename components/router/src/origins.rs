//! Where streams began: remembered by the router that passed their first event on, told to loaders, and asked for when a caller
//! takes a stream up.
//!
//! Load pattern: a router dies, and hundreds of its callers take up their streams at other routers within a second; a release
//! gives a service a second version, and all routers tell of all their streams at once.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use control::{OriginRecord, StoredStream, VersionsReport};
use events::{Event, emit};
use http::StatusCode;
use origin::{
    Attribution, Keeper, KeeperState, Lookup, MAX_ASKED, NewVersion, OriginTable, StreamKey,
    StreamOrigin, TellBudget, ToldStream, choose_told, rank_keepers, retell,
};
use tokio::sync::Notify;
use tokio::time::Instant;
use units::{EndpointId, ServiceName, SoftwareVersion};
use web::CallError;

use crate::endpoint::TrackedEndpoint;
use crate::incarnations;
use crate::registry::EndpointTable;
use crate::shared::Shared;

mod ask;
mod keeper;
mod outbox;

pub(crate) use ask::{Answers, ask};

use keeper::{KnownKeeper, asked_keepers, listed_keepers, told_keepers};
use outbox::Outbox;

/// How long a stream may be taken up after the deadline of the request that began it.
const RETURN_TIME: Duration = Duration::from_secs(30);
/// How long an origin is remembered that another process knew.
const FOUND_TIME: Duration = Duration::from_secs(30);
/// The timeout of telling a loader.
const TELL_TIMEOUT: Duration = Duration::from_millis(400);
/// The longest time for which a first event is held back until a keeper knows where its stream began.
const MAX_HOLD: Duration = Duration::from_millis(25);
/// The same for a version that is not the established one of its service, of which each stream must be known: a keeper that does not
/// answer is replaced within this time.
const MAX_STRICT_HOLD: Duration = Duration::from_millis(1_000);
/// How long a loader that did not answer is told of nothing.
const SILENT_KEEPER_PAUSE: Duration = Duration::from_secs(2);
/// The same for a loader of a release that keeps no origins.
const OLD_KEEPER_PAUSE: Duration = Duration::from_secs(60);
/// The most endpoints whose first listing is remembered, besides those that are listed.
const MAX_KNOWN_ENDPOINTS: usize = 8_192;
/// By how much the times may differ at which an endpoint and its incarnation are first seen.
const FIRST_SEEN_TOLERANCE: Duration = Duration::from_millis(100);
/// How long keepers that answer again together are waited for before they are told of streams that none of them knows.
const RETELL_INTERVAL: Duration = Duration::from_millis(100);

/// Where streams began, as one router knows it.
#[derive(Debug, Default)]
pub(crate) struct Origins {
    state: Mutex<State>,
    /// Notified when a keeper has answered, or does not.
    answered: Notify,
}

#[derive(Debug, Default)]
struct State {
    table: OriginTable,
    /// The services whose streams keepers are told of: those that have several versions.
    told_services: HashSet<ServiceName>,
    /// Decides how many keepers are told of each stream.
    budget: TellBudget,
    /// The keepers that have acknowledged each stream.
    told: HashMap<StreamKey, Vec<EndpointId>>,
    /// The keepers when the list was last read.
    keepers: Vec<KnownKeeper>,
    /// When the endpoint of each keeper was first listed; none if it was in the first list that had any.
    first_listed: HashMap<EndpointId, Option<Instant>>,
    /// What each keeper is to be told. A keeper with an outbox has a task that sends it.
    outboxes: HashMap<EndpointId, Outbox>,
    /// Until when keepers that did not answer are told of nothing.
    silent_until: HashMap<EndpointId, Instant>,
    /// When keepers are told again of the streams that none of them knows.
    retell_times: BTreeSet<Instant>,
    /// The versions of each service when the list was last read.
    versions: BTreeMap<ServiceName, BTreeSet<SoftwareVersion>>,
}

impl Origins {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// What this router knows of a stream.
    pub(crate) fn get(&self, key: StreamKey) -> Lookup {
        self.lock().table.get(key, Instant::now())
    }

    /// Whether keepers are told of the streams of a service, since it has several versions.
    pub(crate) fn tells(&self, service: &ServiceName) -> bool {
        self.lock().told_services.contains(service)
    }

    /// The origin that is recorded of a stream, whether or not restarts of its endpoint contradict it.
    pub(crate) fn recorded(&self, key: StreamKey) -> Option<StreamOrigin> {
        self.lock().table.recorded(key, Instant::now()).cloned()
    }

    /// Whether a restart that this router has seen contradicts an origin.
    pub(crate) fn has_past_restart(&self, origin: &StreamOrigin) -> bool {
        self.lock().table.contradicts(origin)
    }

    /// For how long an endpoint has been listed, as far as this router has seen.
    fn listed_for(&self, endpoint: &EndpointId) -> Duration {
        let since = self.lock().first_listed.get(endpoint).copied().flatten();
        since.map_or(Duration::MAX, |since| since.elapsed())
    }

    /// Whether there are loaders that can be told of streams.
    pub(crate) fn has_keepers(&self) -> bool {
        !self.lock().keepers.is_empty()
    }

    /// Whether an endpoint has been seen in another incarnation before.
    pub(crate) fn has_restarted(&self, tracked: &TrackedEndpoint) -> bool {
        let listed = self.listed_for(&tracked.endpoint.id);
        let seen = tracked.incarnation_since.map_or(Duration::MAX, |since| since.elapsed());
        seen.saturating_add(FIRST_SEEN_TOLERANCE) < listed
    }

    /// Remembers what has been found out of an origin.
    pub(crate) fn remember(&self, key: StreamKey, origin: StreamOrigin) {
        self.lock().table.record(key, origin, FOUND_TIME, Instant::now());
    }

    /// Records that the version of the endpoint that began a stream is not known. The stream goes on nowhere else.
    pub(crate) fn record_unknown(&self, key: StreamKey, deadline: Instant) {
        let now = Instant::now();
        self.lock().table.record_unknown(key, keep_time(deadline, now), now);
    }

    /// Waits until a keeper knows where a stream began, if any is being told, for [`MAX_HOLD`] at most. Callers can take up what
    /// they have seen begin even if this router ends at once. Returns whether a keeper knows it.
    pub(crate) async fn wait_until_told(&self, key: StreamKey) -> bool {
        let until = Instant::now() + MAX_HOLD;
        loop {
            let answered = self.answered.notified();
            if !self.lock().awaits_keeper(key)
                || tokio::time::timeout_at(until, answered).await.is_err()
            {
                return self.lock().is_told(key);
            }
        }
    }

    /// Waits until a keeper knows where a stream began.
    async fn told(&self, key: StreamKey) {
        self.wait_for_answers(|state| state.is_told(key)).await;
    }

    /// Waits until each keeper that is being told where a stream began knows it, or is given up.
    async fn told_by_all(&self, key: StreamKey) {
        self.wait_for_answers(|state| !state.is_being_told(key)).await;
    }

    async fn wait_for_answers(&self, holds: impl Fn(&State) -> bool) {
        loop {
            let answered = self.answered.notified();
            if holds(&self.lock()) {
                return;
            }
            answered.await;
        }
    }
}

/// How long the origin of a stream is kept whose request is given up at `deadline`.
pub(crate) fn keep_time(deadline: Instant, now: Instant) -> Duration {
    deadline.saturating_duration_since(now) + RETURN_TIME
}

/// Waits until a keeper or the store knows where a stream of this version began, for [`MAX_STRICT_HOLD`] at most. Returns whether
/// one does. If other routers may not have read of the version yet, all keepers that are being told are waited for, so that those
/// routers find one among the keepers that they know.
pub(crate) async fn wait_until_known(
    shared: &Shared,
    key: StreamKey,
    service: &ServiceName,
    software: &SoftwareVersion,
) -> bool {
    let until = Instant::now() + MAX_STRICT_HOLD;
    let is_told = shared.origins.lock().is_told(key);
    if !is_told {
        shared.stream_records.request_record();
        let known = async {
            tokio::select! {
                () = shared.origins.told(key) => {}
                () = shared.stream_records.recorded(key) => {}
            }
        };
        if tokio::time::timeout_at(until, known).await.is_err() {
            return false;
        }
    }
    let now = Instant::now();
    let new = shared.endpoints.lock().version_history().new_version(service, software, now);
    if new.is_some() {
        let _ = tokio::time::timeout_at(until, shared.origins.told_by_all(key)).await;
    }
    true
}

/// Records that callers have got the last event of these streams.
pub(crate) fn finish(shared: &Shared, keys: impl IntoIterator<Item = StreamKey>) {
    let now = Instant::now();
    let mut state = shared.origins.lock();
    keys.into_iter().for_each(|key| state.table.finish(key, now));
}

/// The streams of services with several versions that callers may have to take up, the latest last.
pub(crate) fn unfinished(shared: &Shared) -> Vec<OriginRecord> {
    let now = Instant::now();
    let state = shared.origins.lock();
    let services = state.told_services.iter();
    let streams = services.flat_map(|service| state.table.unfinished_of_service(service, now));
    let records = streams.map(|(key, origin, keep)| OriginRecord::new(key, &origin, keep, now));
    let mut records: Vec<OriginRecord> = records.collect();
    records.sort_by_key(|record| (std::cmp::Reverse(record.age), record.key));
    records
}

/// Remembers a stream that this router knew before it was restarted.
pub(crate) fn remember_stored(shared: &Shared, stream: StoredStream) {
    let now = Instant::now();
    let keep = stream.expires.saturating_duration_since(now);
    shared.origins.lock().table.record(stream.key, stream.origin, keep, now);
}

/// Whether any service has several versions.
pub(crate) fn tells_any(shared: &Shared) -> bool {
    !shared.origins.lock().told_services.is_empty()
}

/// Records for the time `keep` that this router passes the first event of a stream on.
pub(crate) fn record(shared: &Arc<Shared>, key: StreamKey, origin: StreamOrigin, keep: Duration) {
    let now = Instant::now();
    let knows_past_versions = shared.endpoints.lock().knows_past_versions;
    let tells = {
        let mut state = shared.origins.lock();
        state.table.record(key, origin.clone(), keep, now);
        // A version that the list does not show yet may be a second one, and so may any until it is known which ones there were.
        state.told_services.contains(&origin.service)
            || origin.software.is_none()
            || !knows_past_versions
    };
    if tells {
        shared.stream_records.note_stream();
        let count = shared.origins.lock().budget.keepers(now);
        tell(shared, OriginRecord::new(key, &origin, keep, now), count);
    }
}

/// Records what has become known of a stream since its first event, also at the keepers that have been told of it.
pub(crate) fn record_again(
    shared: &Arc<Shared>,
    key: StreamKey,
    origin: StreamOrigin,
    keep: Duration,
) {
    shared.origins.lock().told.remove(&key);
    record(shared, key, origin, keep);
}

/// Confirms the origins of streams that began at an endpoint, as far as its loader has seen the incarnation.
async fn confirm_origins(shared: Arc<Shared>, endpoint: EndpointId) {
    let streams = shared.origins.lock().table.unconfirmed_at(&endpoint, Instant::now());
    if streams.is_empty() {
        return;
    }
    let log = incarnations::seen(&shared, &endpoint).await;
    for (key, origin, keep) in streams {
        if incarnations::attribute(&log, &origin) == Attribution::Confirmed {
            let origin = StreamOrigin { confirmed: true, ..origin };
            record_again(&shared, key, origin, keep);
        }
    }
}

/// Tells the `count` best keepers of a stream where it began, but for those that know it or are about to. If its version has just
/// come, one of them is the best keeper of a router whose list does not have the version yet, besides the others if necessary.
fn tell(shared: &Arc<Shared>, record: OriginRecord, count: usize) {
    let now = Instant::now();
    let new_version = record.software.as_ref().and_then(|software| {
        shared.endpoints.lock().version_history().new_version(&record.service, software, now)
    });
    let mut state = shared.origins.lock();
    let keepers = told_keepers(&state.keepers, &state.silent_until, now);
    let mut ranked = choose_told(record.key, &keepers, count, &shared.domain);
    let earlier = new_version.and_then(|new| state.earlier_keeper(&record, keepers, new));
    ranked.extend(earlier.filter(|index| !ranked.contains(index)));
    let chosen: Vec<KnownKeeper> =
        ranked.into_iter().map(|index| state.keepers[index].clone()).collect();
    for keeper in chosen {
        state.send(shared, &keeper, record.clone());
    }
}

/// Tells keepers again of the streams that only this loader knew, which answers again and has perhaps restarted.
pub(crate) fn replace_records(shared: &Arc<Shared>, keeper: &EndpointId) {
    let now = Instant::now();
    let records: Vec<OriginRecord> = {
        let mut state = shared.origins.lock();
        state.silent_until.remove(keeper);
        let unknown = state.forget_told(keeper);
        let kept = |key| state.table.kept(key, now).map(|(origin, keep)| (key, origin, keep));
        let kept = unknown.into_iter().filter_map(kept);
        kept.map(|(key, origin, keep)| OriginRecord::new(key, origin, keep, now)).collect()
    };
    records.into_iter().for_each(|record| tell(shared, record, 1));
    tell_untold_after(shared, Duration::ZERO);
}

/// Tells keepers after `delay` of the streams that none of those knows that would be asked, since they could not be told when the
/// streams began. The streams are looked through once for all calls within [`RETELL_INTERVAL`].
fn tell_untold_after(shared: &Arc<Shared>, delay: Duration) {
    let due = Instant::now() + delay;
    let time = due + RETELL_INTERVAL;
    {
        let mut state = shared.origins.lock();
        if state.retell_times.range(due..=time).next().is_some() {
            return;
        }
        state.retell_times.insert(time);
    }
    let shared = shared.clone();
    tokio::spawn(async move {
        tokio::time::sleep_until(time).await;
        let records = {
            let mut state = shared.origins.lock();
            state.retell_times.remove(&time);
            state.untold(Instant::now())
        };
        records.into_iter().for_each(|record| tell(&shared, record, 1));
    });
}

impl State {
    /// The streams of services with several versions that no keeper knows that would be asked, but for those that one is being told of.
    fn untold(&self, now: Instant) -> Vec<OriginRecord> {
        let asked = asked_keepers(&self.keepers);
        let is_known = |key| {
            let told = self.told.get(&key).map(Vec::as_slice).unwrap_or_default();
            let mut ranked = rank_keepers(key, &asked, MAX_ASKED).into_iter();
            ranked.any(|index| told.contains(&self.keepers[index].endpoint))
        };
        let is_sent = |key| self.outboxes.values().any(|outbox| outbox.contains(key));
        let streams =
            self.told_services.iter().flat_map(|service| self.table.of_service(service, now));
        let untold = streams.filter(|(key, ..)| !is_sent(*key) && !is_known(*key));
        untold.map(|(key, origin, keep)| OriginRecord::new(key, &origin, keep, now)).collect()
    }

    /// Forgets what a keeper was told. Returns the streams that no other one knows.
    fn forget_told(&mut self, keeper: &EndpointId) -> Vec<StreamKey> {
        let mut unknown = Vec::new();
        for (key, told) in &mut self.told {
            let known = told.len();
            told.retain(|other| other != keeper);
            if told.is_empty() && known > 0 {
                unknown.push(*key);
            }
        }
        unknown
    }

    /// Whether a keeper knows of a stream.
    fn is_told(&self, key: StreamKey) -> bool {
        self.told.get(&key).is_some_and(|told| !told.is_empty())
    }

    /// Whether no keeper knows of a stream yet, and one is being told.
    fn awaits_keeper(&self, key: StreamKey) -> bool {
        !self.is_told(key) && self.is_being_told(key)
    }

    /// Whether a keeper is being told of a stream, and does not know it yet.
    fn is_being_told(&self, key: StreamKey) -> bool {
        let told = self.told.get(&key).map(Vec::as_slice).unwrap_or_default();
        self.outboxes.iter().any(|(keeper, outbox)| outbox.contains(key) && !told.contains(keeper))
    }

    /// The best of the keepers that were listed before the version of a stream.
    fn earlier_keeper(
        &self,
        record: &OriginRecord,
        mut keepers: Vec<Keeper<'_>>,
        version: NewVersion,
    ) -> Option<usize> {
        for (known, keeper) in self.keepers.iter().zip(&mut keepers) {
            let listed = self.first_listed.get(&known.endpoint).copied().flatten();
            let came_along = listed.zip(version.appeared).is_some_and(|(one, other)| one >= other);
            if came_along || known.runs(&record.service, record.software.as_ref()) {
                keeper.state = KeeperState::Dead;
            }
        }
        rank_keepers(record.key, &keepers, 1).first().copied()
    }

    /// Sends a record to a keeper, together with those that wait meanwhile.
    fn send(&mut self, shared: &Arc<Shared>, keeper: &KnownKeeper, record: OriginRecord) {
        let id = &keeper.endpoint;
        if self.told.get(&record.key).is_some_and(|told| told.contains(id)) {
            return;
        }
        match self.outboxes.get_mut(id) {
            Some(outbox) => outbox.add(record),
            None => {
                let mut outbox = Outbox::default();
                outbox.add(record);
                self.outboxes.insert(id.clone(), outbox);
                tokio::spawn(send_all(shared.clone(), id.clone(), keeper.addr));
            }
        }
    }
}

/// Sends the records that wait for a keeper until there are none.
async fn send_all(shared: Arc<Shared>, keeper: EndpointId, addr: SocketAddr) {
    let loader = shared.loader_client(addr);
    loop {
        let records = {
            let mut state = shared.origins.lock();
            let records =
                state.outboxes.get_mut(&keeper).map(Outbox::next_message).unwrap_or_default();
            if records.is_empty() {
                state.outboxes.remove(&keeper);
                return;
            }
            records
        };
        match loader.tell_origins(&records, TELL_TIMEOUT).await {
            Ok(()) => {
                events::count_told_origins(records.len());
                let mut state = shared.origins.lock();
                for record in records {
                    state.told.entry(record.key).or_default().push(keeper.clone());
                }
            }
            Err(error) if is_unreadable(&error) => {
                // A loader of an earlier release reads no record without a version. The streams are told once the list shows it.
                let (cause, streams) = (&error.to_string(), records.len());
                emit(&Event::OriginsNotTold { endpoint: keeper.as_str(), streams, cause });
            }
            Err(error) => {
                replace_keeper(&shared, &keeper, records, &error);
                shared.origins.answered.notify_waiters();
                return;
            }
        }
        shared.origins.answered.notify_waiters();
    }
}

/// Whether a keeper that runs can't read any record of a message.
fn is_unreadable(error: &CallError) -> bool {
    matches!(error, CallError::Status { status, .. } if *status == StatusCode::BAD_REQUEST)
}

/// Tells another keeper in place of one that did not answer, which is told of nothing for a while.
fn replace_keeper(
    shared: &Arc<Shared>,
    keeper: &EndpointId,
    mut records: Vec<OriginRecord>,
    error: &CallError,
) {
    let old = matches!(error, CallError::Status { status, .. } if *status == StatusCode::NOT_FOUND);
    let pause = if old { OLD_KEEPER_PAUSE } else { SILENT_KEEPER_PAUSE };
    {
        let mut state = shared.origins.lock();
        state.silent_until.insert(keeper.clone(), Instant::now() + pause);
        let left = state.outboxes.remove(keeper);
        records.extend(left.into_iter().flat_map(Outbox::into_records));
    }
    let cause = &error.to_string();
    emit(&Event::OriginsNotTold { endpoint: keeper.as_str(), streams: records.len(), cause });
    records.into_iter().for_each(|record| tell(shared, record, 1));
    tell_untold_after(shared, pause);
}

/// Tells keepers of the streams of services that have got a second version, and of streams whose keepers have changed, after the
/// list was read.
pub(crate) fn update_keepers(shared: &Arc<Shared>) {
    let now = Instant::now();
    let table = shared.endpoints.lock();
    let mut state = shared.origins.lock();
    let restarted = state.record_restarts(&table, now);
    for key in state.table.resolve(|origin| table.software_of_origin(origin)) {
        state.told.remove(&key);
    }
    let versions = table.all_software_versions(now);
    let several: HashSet<ServiceName> = versions
        .iter()
        .filter(|(_, versions)| versions.several())
        .map(|(service, _)| (*service).clone())
        .collect();
    let known = listed_keepers(&table, now);
    let streams: Vec<(StreamKey, StreamOrigin, Duration)> =
        several.iter().flat_map(|service| state.table.of_service(service, now)).collect();
    let kept: HashSet<StreamKey> = streams.iter().map(|(key, ..)| *key).collect();
    state.told.retain(|key, _| kept.contains(key));
    state.silent_until.retain(|_, until| *until > now);
    let retellings = {
        let before = told_keepers(&state.keepers, &HashMap::new(), now);
        let after = told_keepers(&known, &state.silent_until, now);
        let told = |key| state.told.get(key).cloned().unwrap_or_default();
        let told: Vec<ToldStream> =
            streams.iter().map(|(key, ..)| ToldStream { key: *key, told: told(key) }).collect();
        retell(&told, 1, &shared.domain, &before, &after)
    };
    state.log_versions(&versions, retellings.len());
    for retelling in retellings {
        let (key, origin, keep) = &streams[retelling.stream];
        for keeper in retelling.keepers {
            state.send(shared, &known[keeper], OriginRecord::new(*key, origin, *keep, now));
        }
    }
    let new: Vec<&ServiceName> = several.difference(&state.told_services).collect();
    let of_new = streams.iter().filter(|(_, origin, _)| new.contains(&&origin.service));
    let begun_at: HashSet<&EndpointId> = of_new.map(|(_, origin, _)| &origin.endpoint).collect();
    for (id, tracked) in &table.map {
        let again = restarted.contains(id) && several.contains(&tracked.endpoint.service);
        if again || begun_at.contains(id) {
            tokio::spawn(confirm_origins(shared.clone(), id.clone()));
        }
    }
    if !new.is_empty() {
        shared.stream_records.note_stream();
    }
    state.told_services = several;
    state.keepers = known;
    state.note_listed(now);
    events::record_origins(state.table.len());
    shared.stream_records.note_change();
}

impl State {
    /// Remembers the endpoints that have restarted lately, with their software. Returns those whose restart was not known.
    fn record_restarts(&mut self, table: &EndpointTable, now: Instant) -> HashSet<EndpointId> {
        let mut restarted = HashSet::new();
        for tracked in table.map.values() {
            // The list may show the software of an incarnation some time after it was first seen.
            if let (Some(software), Some(since)) =
                (&tracked.endpoint.software, tracked.incarnation_since)
                && now.saturating_duration_since(since) < origin::MAX_KEEP
                && self.table.record_restart(&tracked.endpoint.id, software, since, now)
            {
                restarted.insert(tracked.endpoint.id.clone());
            }
        }
        restarted
    }

    /// Notes when endpoints are first listed. An endpoint that has left is remembered, since its loader may have restarted with it.
    fn note_listed(&mut self, now: Instant) {
        let since = (!self.first_listed.is_empty()).then_some(now);
        if self.first_listed.len() > MAX_KNOWN_ENDPOINTS {
            let listed: HashSet<&EndpointId> =
                self.keepers.iter().map(|one| &one.endpoint).collect();
            self.first_listed.retain(|endpoint, _| listed.contains(endpoint));
        }
        for keeper in &self.keepers {
            self.first_listed.entry(keeper.endpoint.clone()).or_insert(since);
        }
    }

    /// Logs the services whose versions have changed. `told` streams are told to keepers now.
    fn log_versions(&mut self, versions: &BTreeMap<&ServiceName, ServiceSoftware>, told: usize) {
        self.versions.retain(|service, _| versions.contains_key(service));
        for (service, ServiceSoftware { versions, .. }) in versions {
            let before = self.versions.entry((*service).clone()).or_default();
            if before == versions {
                continue;
            }
            emit(&Event::VersionsChanged {
                service: service.as_str(),
                versions: &join_versions(versions),
                before: &join_versions(before),
                told,
            });
            before.clone_from(versions);
        }
    }
}

/// The software of the endpoints of a service.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct ServiceSoftware {
    /// The versions that it has, and has had lately.
    pub(crate) versions: BTreeSet<SoftwareVersion>,
    /// Whether it has an endpoint whose version is not known.
    pub(crate) unknown: bool,
}

impl ServiceSoftware {
    /// Whether streams of the service may have begun at different software.
    pub(crate) fn several(&self) -> bool {
        self.versions.len() + usize::from(self.unknown) > 1
    }
}

/// Versions as they are logged.
pub(crate) fn join_versions(versions: &BTreeSet<SoftwareVersion>) -> String {
    let texts: Vec<&str> = versions.iter().map(SoftwareVersion::as_str).collect();
    texts.join(",")
}

/// The versions of each service, and the streams that this router holds to them, for an operator.
pub(crate) fn report(shared: &Shared) -> VersionsReport {
    let table = shared.endpoints.lock();
    let state = shared.origins.lock();
    let endpoints = table.map.values().map(|one| (&one.endpoint, one.accepts_work()));
    VersionsReport::new(endpoints, &state.table, table.version_history(), Instant::now())
}

#[cfg(test)]
mod tests;
