//! Where streams began: remembered by the router that passed their first event on, told to loaders, and asked for when a caller
//! takes a stream up.
//!
//! Load pattern: a router dies, and hundreds of its callers take up their streams at other routers within a second; a release
//! gives a service a second version, and all routers tell of all their streams at once.

use std::collections::{BTreeSet, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use control::{MAX_ORIGIN_RECORDS, OriginQuery, OriginRecord};
use events::{Event, emit};
use fleet::EndpointStage;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use origin::{
    Keeper, KeeperAnswer, KeeperState, Lookup, MAX_ASKED, OriginTable, StreamKey, StreamOrigin,
    TOLD_KEEPERS, ToldStream, rank_keepers, retell,
};
use tokio::time::Instant;
use units::{Domain, EndpointId, ServiceName};

use crate::endpoint::TrackedEndpoint;
use crate::registry::EndpointTable;
use crate::shared::Shared;

/// How long a stream may be taken up after the deadline of the request that began it.
const RETURN_TIME: Duration = Duration::from_secs(30);
/// The timeout of telling a loader.
const TELL_TIMEOUT: Duration = Duration::from_millis(400);
/// The timeout of asking a loader: the caller of the stream waits for the answer.
const ASK_TIMEOUT: Duration = Duration::from_millis(200);
/// How long a loader that did not answer is neither told nor asked.
const DEAD_KEEPER_PAUSE: Duration = Duration::from_secs(2);

/// Where streams began, as one router knows it.
#[derive(Debug, Default)]
pub(crate) struct Origins {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    table: OriginTable,
    /// The services whose streams keepers are told of: those that have several versions.
    told_services: HashSet<ServiceName>,
    /// The keepers that have acknowledged each stream.
    told: HashMap<StreamKey, Vec<EndpointId>>,
    /// The keepers when the list was last read.
    keepers: Vec<KnownKeeper>,
    /// The records that wait to be sent to each keeper. A keeper with an entry has a task that sends them.
    pending: HashMap<EndpointId, Vec<OriginRecord>>,
    /// Until when keepers that did not answer are left out.
    dead: HashMap<EndpointId, Instant>,
}

/// A loader as a keeper of origins.
#[derive(Debug, Clone)]
struct KnownKeeper {
    endpoint: EndpointId,
    addr: SocketAddr,
    domain: Domain,
    state: KeeperState,
}

impl KnownKeeper {
    fn new(tracked: &TrackedEndpoint, dead: bool, now: Instant) -> Self {
        let silent = dead || tracked.unresponsive(now);
        let leaving = tracked.endpoint.stage != EndpointStage::Ready || tracked.hints.draining;
        let state = match (silent, leaving) {
            (true, _) => KeeperState::Dead,
            (false, true) => KeeperState::Leaving,
            (false, false) => KeeperState::Serving,
        };
        let endpoint = &tracked.endpoint;
        let (id, domain) = (endpoint.id.clone(), endpoint.domain.clone());
        Self { endpoint: id, addr: endpoint.addr, domain, state }
    }

    fn as_keeper(&self) -> Keeper<'_> {
        Keeper { endpoint: &self.endpoint, domain: &self.domain, state: self.state }
    }
}

fn as_keepers(known: &[KnownKeeper]) -> Vec<Keeper<'_>> {
    known.iter().map(KnownKeeper::as_keeper).collect()
}

impl State {
    fn keepers(&self, table: &EndpointTable, now: Instant) -> Vec<KnownKeeper> {
        let dead = |id: &EndpointId| self.dead.get(id).is_some_and(|until| *until > now);
        let with_loader = table.map.values().filter(|tracked| tracked.endpoint.holdings.is_some());
        with_loader
            .map(|tracked| KnownKeeper::new(tracked, dead(&tracked.endpoint.id), now))
            .collect()
    }
}

impl Origins {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// What this router knows of a stream.
    pub(crate) fn get(&self, key: StreamKey) -> Lookup {
        self.lock().table.get(key, Instant::now())
    }
}

/// Records that this router passes the first event of a stream on, whose request is given up at `deadline`.
pub(crate) fn record(
    shared: &Arc<Shared>,
    key: StreamKey,
    origin: StreamOrigin,
    deadline: Instant,
) {
    let now = Instant::now();
    let keep = deadline.saturating_duration_since(now) + RETURN_TIME;
    let tells = {
        let mut state = shared.origins.lock();
        state.table.record(key, origin.clone(), keep, now);
        state.told_services.contains(&origin.service)
    };
    if tells {
        tell(shared, OriginRecord::new(key, &origin, keep, now));
    }
}

/// Tells the keepers of a stream where it began.
fn tell(shared: &Arc<Shared>, record: OriginRecord) {
    let now = Instant::now();
    let chosen: Vec<KnownKeeper> = {
        let table = shared.endpoints.lock();
        let known = shared.origins.lock().keepers(&table, now);
        let ranked = rank_keepers(record.key, &as_keepers(&known), TOLD_KEEPERS);
        ranked.into_iter().map(|index| known[index].clone()).collect()
    };
    for keeper in chosen {
        send(shared, &keeper, record.clone());
    }
}

/// Sends a record to a keeper, together with those that wait meanwhile.
fn send(shared: &Arc<Shared>, keeper: &KnownKeeper, record: OriginRecord) {
    let mut state = shared.origins.lock();
    if let Some(pending) = state.pending.get_mut(&keeper.endpoint) {
        pending.push(record);
        return;
    }
    state.pending.insert(keeper.endpoint.clone(), vec![record]);
    drop(state);
    tokio::spawn(send_pending(shared.clone(), keeper.endpoint.clone(), keeper.addr));
}

/// Sends the records that wait for a keeper until there are none.
async fn send_pending(shared: Arc<Shared>, keeper: EndpointId, addr: SocketAddr) {
    let loader = shared.loader_client(addr);
    loop {
        let records = {
            let mut state = shared.origins.lock();
            let pending = state.pending.get_mut(&keeper);
            let records: Vec<OriginRecord> = pending
                .map(|pending| pending.drain(..pending.len().min(MAX_ORIGIN_RECORDS)).collect())
                .unwrap_or_default();
            if records.is_empty() {
                state.pending.remove(&keeper);
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
            Err(error) => {
                return give_up(&shared, &keeper, records, &error.to_string());
            }
        }
    }
}

/// Leaves out a keeper that did not answer for a while, and tells others in its place.
fn give_up(shared: &Arc<Shared>, keeper: &EndpointId, mut records: Vec<OriginRecord>, cause: &str) {
    {
        let mut state = shared.origins.lock();
        state.dead.insert(keeper.clone(), Instant::now() + DEAD_KEEPER_PAUSE);
        records.extend(state.pending.remove(keeper).unwrap_or_default());
    }
    emit(&Event::OriginsNotTold { endpoint: keeper.as_str(), streams: records.len(), cause });
    records.into_iter().for_each(|record| tell(shared, record));
}

/// Tells keepers of the streams of services that have got a second version, and of streams whose keepers have changed, after the
/// list was read.
pub(crate) fn update_keepers(shared: &Arc<Shared>) {
    let now = Instant::now();
    let mut messages = Vec::new();
    {
        let table = shared.endpoints.lock();
        let mut state = shared.origins.lock();
        let several = services_with_several_versions(&table, now);
        let known = state.keepers(&table, now);
        let streams = state.streams_of(&several, now);
        let told: HashSet<StreamKey> = streams.iter().map(|(key, ..)| *key).collect();
        state.told.retain(|key, _| told.contains(key));
        let (before, after) = (as_keepers(&state.keepers), as_keepers(&known));
        let by_key: Vec<ToldStream> = streams
            .iter()
            .map(|(key, ..)| ToldStream {
                key: *key,
                told: state.told.get(key).cloned().unwrap_or_default(),
            })
            .collect();
        for retelling in retell(&by_key, &before, &after) {
            let (key, origin, keep) = &streams[retelling.stream];
            for keeper in retelling.keepers {
                let record = OriginRecord::new(*key, origin, *keep, now);
                messages.push((known[keeper].clone(), record));
            }
        }
        state.told_services = several;
        state.keepers = known;
        state.dead.retain(|_, until| *until > now);
    }
    for (keeper, record) in messages {
        send(shared, &keeper, record);
    }
}

impl State {
    fn streams_of(
        &self,
        services: &HashSet<ServiceName>,
        now: Instant,
    ) -> Vec<(StreamKey, StreamOrigin, Duration)> {
        services.iter().flat_map(|service| self.table.of_service(service, now)).collect()
    }
}

fn services_with_several_versions(table: &EndpointTable, now: Instant) -> HashSet<ServiceName> {
    let listed: BTreeSet<&ServiceName> =
        table.map.values().map(|tracked| &tracked.endpoint.service).collect();
    let several = |service: &&ServiceName| table.software_versions(service, now).len() > 1;
    listed.into_iter().filter(several).cloned().collect()
}

/// What the keepers of a stream answered.
#[derive(Debug, Default)]
pub(crate) struct Answers {
    /// The number of keepers that were asked.
    pub(crate) asked: usize,
    /// The answers of those that answered.
    pub(crate) answers: Vec<KeeperAnswer>,
}

/// Asks the keepers of a stream where it began, until one knows.
pub(crate) async fn ask(shared: &Arc<Shared>, key: StreamKey, service: &ServiceName) -> Answers {
    let now = Instant::now();
    let known = shared.origins.lock_keepers(shared, now);
    let ranked = rank_keepers(key, &as_keepers(&known), MAX_ASKED);
    let query = OriginQuery { key, service: service.clone() };
    let mut calls: FuturesUnordered<_> = ranked
        .iter()
        .map(|index| async {
            let keeper = &known[*index];
            let loader = shared.loader_client(keeper.addr);
            (keeper, loader.find_origin(&query, ASK_TIMEOUT).await)
        })
        .collect();
    let mut answers = Vec::new();
    while let Some((keeper, answer)) = calls.next().await {
        match answer {
            Ok(answer) => {
                let answer = answer.into_keeper_answer(key, Instant::now());
                let found = answer.origin != Lookup::Unknown;
                answers.push(answer);
                if found {
                    break;
                }
            }
            Err(error) => {
                let id = &keeper.endpoint;
                log::debug!("router: the loader of {id} was not asked for a stream: {error}");
                let until = Instant::now() + DEAD_KEEPER_PAUSE;
                shared.origins.lock().dead.insert(id.clone(), until);
            }
        }
    }
    Answers { asked: ranked.len(), answers }
}

impl Origins {
    fn lock_keepers(&self, shared: &Shared, now: Instant) -> Vec<KnownKeeper> {
        let table = shared.endpoints.lock();
        self.lock().keepers(&table, now)
    }
}
