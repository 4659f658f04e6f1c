//! Reads a topic of the store, through a mirror where the deployment is large enough for mirrors.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use clock::Moment;
use control::LoaderClient;
use events::{Dependency, Event, emit};
use fleet::EndpointStage;
use mirror::{Fleet, Schedule, Step, Updates, UpdatesRequest};
use platform::{Batch, Follower, StoreError, Topic};
use tokio::time::Instant;
use units::EndpointId;

use crate::loader_task::MAX_POLL_WAIT;
use crate::shared::Shared;

/// Loaders count the routers that poll them, and report the count with their next answer. By then the counts that this router has
/// are complete.
const COUNT_TIME: Duration = Duration::from_secs(2).saturating_add(MAX_POLL_WAIT);

/// Reads one topic of the store.
#[derive(Debug)]
pub(crate) struct TopicSource {
    shared: Arc<Shared>,
    started: Instant,
    follower: Follower,
    schedule: Schedule,
    /// The mirror in use; empty if this router reads the store itself.
    mirror: String,
    /// When the store answered the mirror again after it had not.
    regained: Option<Instant>,
}

impl TopicSource {
    /// Creates a source that starts with the newest record of each key.
    pub(crate) fn new(shared: Arc<Shared>, topic: Topic) -> Self {
        let follower = Follower::new(shared.store.clone(), topic);
        Self::with_follower(shared, follower)
    }

    /// Creates a source that goes on with a follower.
    pub(crate) fn with_follower(shared: Arc<Shared>, follower: Follower) -> Self {
        let (schedule, mirror) = (Schedule::default(), String::new());
        let started = Instant::now();
        Self { shared, started, follower, schedule, mirror, regained: None }
    }

    /// The follower, to skip records that are known from another router.
    pub(crate) fn follower(&mut self) -> &mut Follower {
        &mut self.follower
    }

    /// Whether the updates come through a mirror. Reads then need no pause between them.
    pub(crate) fn is_mirrored(&self) -> bool {
        !self.mirror.is_empty()
    }

    /// When the store answered the mirror again after it had not, if that has happened.
    pub(crate) fn regained(&self) -> Option<Instant> {
        self.regained
    }

    /// Reads the next updates, none if there are none for a while. They must be known within `bound`; a read of the store waits up to
    /// `wait` for them.
    pub(crate) async fn next(
        &mut self,
        bound: Duration,
        wait: Duration,
    ) -> Result<Batch, StoreError> {
        loop {
            let mirrors = mirrors(&self.shared, self.started.elapsed() < COUNT_TIME);
            match self.schedule.next(bound, &mirrors, Moment::now()) {
                Step::FollowStore => return self.follow_store(wait).await,
                Step::ReadStore => return self.read_store(Duration::ZERO).await,
                Step::AskMirror { mirror, wait, limit } => {
                    self.set_mirror(mirror.as_str());
                    if let Some(batch) = self.ask(&mirror, bound, wait, limit).await {
                        return Ok(batch);
                    }
                }
            }
        }
    }

    /// Reads the next updates from the store itself, and waits up to `wait` for them.
    pub(crate) async fn follow_store(&mut self, wait: Duration) -> Result<Batch, StoreError> {
        self.set_mirror("");
        self.read_store(wait).await
    }

    async fn read_store(&mut self, wait: Duration) -> Result<Batch, StoreError> {
        let sent = Moment::now();
        let batch = self.follower.next(wait).await;
        match &batch {
            // Records that are left are read next, and confirm as much then.
            Ok(batch) if batch.has_more => {}
            Ok(_) => self.schedule.record_store_read(sent),
            Err(_) => self.schedule.record_store_failure(),
        }
        batch
    }

    /// Asks a mirror for records; `None` if it can't say whether there are any.
    async fn ask(
        &mut self,
        id: &EndpointId,
        bound: Duration,
        wait: Duration,
        limit: Duration,
    ) -> Option<Batch> {
        let from = self.follower.position();
        let (Some(from), Some(client)) = (from, loader_client(&self.shared, id)) else {
            self.schedule.record_failure(id, Moment::now());
            return None;
        };
        let topic = self.follower.topic();
        let interval = Schedule::interval(bound);
        let sent = Moment::now();
        let answer = client.updates(&UpdatesRequest { topic, from, wait, interval }, limit).await;
        let now = Moment::now();
        let lost = |cause: &str| {
            let name = id.as_str();
            emit(&Event::DependencyLost { dependency: Dependency::Mirror, name, cause });
        };
        match answer {
            Ok(Some(Updates { age, regained, records })) => {
                self.regained =
                    regained.map_or(self.regained, |ago| Instant::now().checked_sub(ago));
                if !self.schedule.record_answer(id, bound, (sent, age), now) {
                    lost("its last read of the store is too old");
                }
                self.follower.apply(records)
            }
            Ok(None) => {
                self.schedule.record_gap(id, now);
                None
            }
            Err(error) => {
                self.schedule.record_failure(id, now);
                lost(&error.to_string());
                None
            }
        }
    }

    fn set_mirror(&mut self, mirror: &str) {
        if self.mirror != mirror {
            let (topic, before) = (self.follower.topic().name(), self.mirror.as_str());
            emit(&Event::MirrorChosen { topic, mirror, before });
            self.mirror = mirror.to_owned();
        }
    }
}

/// The endpoints whose loaders this router may ask, the preferred one first. `counting` tells that the loaders may not have counted
/// all routers yet.
fn mirrors(shared: &Shared, counting: bool) -> Vec<EndpointId> {
    let table = shared.endpoints.lock();
    let with_loader =
        || table.map.values().map(|tracked| &tracked.endpoint).filter(|one| one.holdings.is_some());
    let domains: BTreeSet<_> = with_loader().map(|endpoint| &endpoint.domain).collect();
    let loaders = if counting { with_loader().count() } else { 0 };
    let fleet = Fleet::estimate(table.routers(), loaders, domains.len());
    let candidates = with_loader()
        .filter(|one| one.domain == shared.domain && one.stage == EndpointStage::Ready)
        .map(|endpoint| &endpoint.id);
    mirror::rank(&shared.instance, &shared.domain, fleet, candidates)
}

fn loader_client(shared: &Shared, id: &EndpointId) -> Option<LoaderClient> {
    let addr = shared.endpoints.lock().map.get(id)?.endpoint.addr;
    Some(shared.loader_client(addr))
}
