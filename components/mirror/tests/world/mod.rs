//! A store, mirrors and followers in simulated time, with faults of each.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use clock::Moment;
use mirror::{
    Fleet, Mirror, Schedule, Step, Topic, TopicRead, TopicReader, Updates, UpdatesRequest, rank,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::sync::watch;
use tokio::time::Instant;
use units::{Domain, EndpointId, Era, Offset, StorePosition};

/// The time bound of the topic.
pub(crate) const BOUND: Duration = Duration::from_millis(5_000);
/// How long a read of the store waits if a follower reads the store itself.
const FOLLOW_WAIT: Duration = Duration::from_millis(3_500);
/// Pause of a follower after a read of the store that failed.
const BACK_OFF: Duration = Duration::from_millis(400);
/// How long the store takes to answer.
const STORE_DELAY: Duration = Duration::from_millis(4);
/// The timeout of a call to the store beyond its wait.
const STORE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// One in so many waiting reads is answered only when its wait is over, though a record was written meanwhile.
const MISSED_WAKEUPS: u32 = 20;

/// What is wrong with a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Fault {
    /// It is down: connections are refused.
    Down,
    /// It stands still: calls are accepted, and answered after it goes on.
    Frozen,
    /// It gets answers of the store late.
    Slow(Duration),
    /// It has no way to the store: calls hang.
    CutFromStore,
    /// The store refuses its calls.
    TurnedAway,
}

#[derive(Debug, Default)]
struct StoreState {
    written: Vec<Instant>,
    calls: u64,
    faults: HashMap<String, Fault>,
}

/// The store with one topic.
#[derive(Debug, Clone)]
pub(crate) struct Store {
    state: Arc<Mutex<StoreState>>,
    end: Arc<watch::Sender<u64>>,
    draws: Arc<Mutex<ChaCha8Rng>>,
}

impl Store {
    fn new(seed: u64) -> Self {
        let draws = Arc::new(Mutex::new(ChaCha8Rng::seed_from_u64(seed)));
        Self { state: Arc::default(), end: Arc::new(watch::Sender::new(0)), draws }
    }

    fn lock(&self) -> MutexGuard<'_, StoreState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn write(&self) {
        self.lock().written.push(Instant::now());
        self.end.send_modify(|end| *end += 1);
    }

    pub(crate) fn calls(&self) -> u64 {
        self.lock().calls
    }

    pub(crate) fn set_fault(&self, process: &str, fault: Option<Fault>) {
        let faults = &mut self.lock().faults;
        match fault {
            Some(fault) => drop(faults.insert(process.to_owned(), fault)),
            None => drop(faults.remove(process)),
        }
    }

    fn fault(&self, process: &str) -> Option<Fault> {
        self.lock().faults.get(process).copied()
    }

    /// Waits while a process stands still.
    async fn wait_while_frozen(&self, process: &str) {
        while self.fault(process) == Some(Fault::Frozen) {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }
}

/// A process's client of the store.
#[derive(Debug, Clone)]
pub(crate) struct Client {
    store: Store,
    process: String,
}

impl TopicReader for Client {
    type Error = &'static str;

    async fn read_topic(
        &self,
        _: Topic,
        from: StorePosition,
        wait: Duration,
    ) -> Result<TopicRead, &'static str> {
        let store = &self.store;
        store.wait_while_frozen(&self.process).await;
        store.lock().calls += 1;
        let from = from.offset.0;
        match store.fault(&self.process) {
            Some(Fault::CutFromStore) => {
                tokio::time::sleep(wait + STORE_TIMEOUT).await;
                return Err("no answer");
            }
            Some(Fault::TurnedAway) => {
                tokio::time::sleep(STORE_DELAY).await;
                return Err("refused");
            }
            Some(Fault::Slow(delay)) => tokio::time::sleep(delay).await,
            Some(Fault::Down | Fault::Frozen) | None => tokio::time::sleep(STORE_DELAY).await,
        }
        let missed = {
            let mut draws = store.draws.lock().unwrap_or_else(PoisonError::into_inner);
            draws.random_ratio(1, MISSED_WAKEUPS)
        };
        let mut end = store.end.subscribe();
        if *end.borrow_and_update() <= from {
            let written = end.wait_for(|end| *end > from && !missed);
            let _ = tokio::time::timeout(wait, written).await;
        }
        store.wait_while_frozen(&self.process).await;
        let end = *store.end.borrow();
        let records = (from..end).map(|number| Bytes::copy_from_slice(&number.to_be_bytes()));
        Ok(TopicRead::Records { records: records.collect(), has_more: false })
    }
}

/// A deployment of followers and loaders in simulated time.
#[derive(Debug)]
pub(crate) struct World {
    pub(crate) store: Store,
    fleet: Fleet,
    loaders: BTreeMap<EndpointId, (Domain, Mutex<Mirror<Client>>)>,
    /// For each follower, when it knew each record.
    known: Mutex<Vec<Vec<Instant>>>,
}

impl World {
    /// A deployment with this many followers and twice as many loaders, spread over failure domains.
    pub(crate) fn start(followers: u32, domains: u32, seed: u64) -> Arc<Self> {
        let store = Store::new(seed);
        let loaders = (0..followers * 2)
            .map(|number| {
                let id: EndpointId = format!("i-{number}").parse().expect("an id");
                let mirror = Mirror::new(Client { store: store.clone(), process: id.to_string() });
                (id, (domain(number % domains), Mutex::new(mirror)))
            })
            .collect();
        let known = Mutex::new(vec![Vec::new(); followers as usize]);
        let world = Arc::new(Self { store, fleet: Fleet { followers, domains }, loaders, known });
        for number in 0..followers {
            tokio::spawn(world.clone().follow(number));
        }
        world
    }

    /// The loaders that the followers of a failure domain use, those in regular use first.
    pub(crate) fn mirrors(&self, domain_number: u32) -> Vec<EndpointId> {
        self.ranked("", domain_number)
    }

    fn ranked(&self, follower: &str, domain_number: u32) -> Vec<EndpointId> {
        let own = domain(domain_number);
        let candidates =
            self.loaders.iter().filter(|(_, (other, _))| *other == own).map(|(id, _)| id);
        rank(follower, &own, self.fleet, candidates)
    }

    /// Restarts a loader: it has mirrored nothing.
    pub(crate) fn restart(&self, id: &EndpointId) {
        if let Some((_, mirror)) = self.loaders.get(id) {
            let client = Client { store: self.store.clone(), process: id.to_string() };
            *mirror.lock().unwrap_or_else(PoisonError::into_inner) = Mirror::new(client);
        }
    }

    async fn ask(
        &self,
        id: &EndpointId,
        request: UpdatesRequest,
        limit: Duration,
    ) -> Result<Option<Updates>, &'static str> {
        if self.store.fault(id.as_str()) == Some(Fault::Down) {
            return Err("refused");
        }
        let (_, mirror) = self.loaders.get(id).ok_or("unknown")?;
        let mirror = mirror.lock().unwrap_or_else(PoisonError::into_inner).clone();
        let answer = async {
            self.store.wait_while_frozen(id.as_str()).await;
            let answer = mirror.answer(request).await;
            self.store.wait_while_frozen(id.as_str()).await;
            answer
        };
        tokio::time::timeout(limit, answer).await.map_err(|_| "no answer")
    }

    async fn follow(self: Arc<Self>, number: u32) {
        let name = format!("front-{number}");
        let client = Client { store: self.store.clone(), process: name.clone() };
        let ranked = self.ranked(&name, number % self.fleet.domains);
        let mut schedule = Schedule::default();
        let mut position = StorePosition { era: Era(0), offset: Offset(0) };
        loop {
            let sent = Moment::now();
            let (wait, limit, mirror) = match schedule.next(BOUND, &ranked, sent) {
                Step::FollowStore => (FOLLOW_WAIT, Duration::MAX, None),
                Step::ReadStore => (Duration::ZERO, Duration::MAX, None),
                Step::AskMirror { mirror, wait, limit } => (wait, limit, Some(mirror)),
            };
            let records = if let Some(mirror) = mirror {
                let interval = Schedule::interval(BOUND);
                let request =
                    UpdatesRequest { topic: Topic::Config, from: position, wait, interval };
                let answer = self.ask(&mirror, request, limit).await;
                let now = Moment::now();
                match answer {
                    Ok(Some(updates)) => {
                        schedule.record_answer(&mirror, BOUND, (sent, updates.age), now);
                        updates.records
                    }
                    Ok(None) => {
                        schedule.record_gap(&mirror, now);
                        continue;
                    }
                    Err(_) => {
                        schedule.record_failure(&mirror, now);
                        continue;
                    }
                }
            } else {
                match client.read_topic(Topic::Config, position, wait).await {
                    Ok(TopicRead::Records { records, .. }) => {
                        schedule.record_store_read(sent);
                        records
                    }
                    Ok(TopicRead::Lost) => unreachable!("the store loses nothing here"),
                    Err(_) => {
                        schedule.record_store_failure();
                        tokio::time::sleep(BACK_OFF).await;
                        continue;
                    }
                }
            };
            let mut known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
            for record in records {
                assert_eq!(record[..], position.offset.0.to_be_bytes(), "a gap or a repetition");
                position.offset = Offset(position.offset.0 + 1);
                known[number as usize].push(Instant::now());
            }
        }
    }

    /// The longest time after which a follower that is not in `excused` knew a record. A record that it does not know yet counts with
    /// its age.
    pub(crate) fn oldest_news(&self, excused: impl Fn(u32) -> bool) -> Duration {
        let known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        let written = self.store.lock().written.clone();
        let age = |known: &[Instant], number: usize| {
            known.get(number).copied().unwrap_or_else(Instant::now) - written[number]
        };
        (0..self.fleet.followers)
            .filter(|follower| !excused(*follower))
            .flat_map(|follower| {
                let known = &known[follower as usize];
                (0..written.len()).map(move |number| age(known, number))
            })
            .max()
            .unwrap_or_default()
    }
}

fn domain(number: u32) -> Domain {
    format!("hall-{number}").parse().expect("a name")
}
