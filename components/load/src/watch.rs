//! Samples of what is loaded, decided and in force while a deployment runs.

use std::net::SocketAddr;
use std::time::Duration;

use edge::Inventory;
use futures_util::future::join_all;
use serde::Deserialize;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;
use tokio::time::{MissedTickBehavior, interval};
use units::{ModelName, Revision};
use web::Client;

use crate::clock::Clock;
use crate::evidence::{ReplicaSample, RevisionSample};
use crate::ledger::{Ledger, Placements};
use crate::site::Site;

/// The pause between samples of replicas.
const REPLICA_PAUSE: Duration = Duration::from_millis(100);
/// Revisions are sampled every so many samples of replicas.
const REVISION_EVERY: u32 = 5;
const CALL_LIMIT: Duration = Duration::from_secs(1);

/// The part of `/status` that is watched.
#[derive(Debug, Deserialize)]
struct InForce {
    revision: Revision,
}

/// All replicas at one moment.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Total {
    pub(crate) at: Duration,
    pub(crate) loaded: usize,
    pub(crate) decided: usize,
}

/// What was sampled.
#[derive(Debug, Default)]
pub(crate) struct Samples {
    pub(crate) totals: Vec<Total>,
    pub(crate) replicas: Vec<ReplicaSample>,
    pub(crate) revisions: Vec<RevisionSample>,
}

/// Samples until it is finished.
pub(crate) struct Watch {
    stop: oneshot::Sender<()>,
    task: JoinHandle<Samples>,
}

impl Watch {
    /// Starts sampling.
    pub(crate) fn start(site: &Site, clock: Clock) -> Self {
        let (stop, mut stopped) = oneshot::channel();
        let engines = site.engines.iter().map(|place| (place.name.clone(), place.endpoint));
        let agents = site.places().map(|place| &place.agent);
        let statuses = site.entries.iter().chain(agents);
        let mut sampler = Sampler {
            engines: engines.collect(),
            statuses: statuses.map(|launch| (launch.name.clone(), launch.admin)).collect(),
            ledger: Ledger::new(site.log),
            client: Client::default(),
            clock,
            samples: Samples::default(),
        };
        let task = tokio::spawn(async move {
            let mut ticks = interval(REPLICA_PAUSE);
            ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
            let mut round = 0u32;
            loop {
                tokio::select! {
                    _ = &mut stopped => return sampler.samples,
                    _ = ticks.tick() => {}
                }
                sampler.replicas().await;
                if round.is_multiple_of(REVISION_EVERY) {
                    sampler.revisions().await;
                }
                round += 1;
            }
        });
        Self { stop, task }
    }

    /// Ends sampling.
    pub(crate) async fn finish(self) -> Samples {
        let _ = self.stop.send(());
        self.task.await.unwrap_or_default()
    }
}

struct Sampler {
    engines: Vec<(String, SocketAddr)>,
    statuses: Vec<(String, SocketAddr)>,
    ledger: Ledger,
    client: Client,
    clock: Clock,
    samples: Samples,
}

impl Sampler {
    /// Reads grants, inventories and grants again, so that each inventory lies between two readings.
    async fn replicas(&mut self) {
        let before = self.ledger.catch_up().await;
        let at = self.clock.now();
        let client = &self.client;
        let reads = self.engines.iter().map(|(name, addr)| async move {
            let path = "/v1/inventory?after=0&wait_ms=0";
            let read = client.get::<Inventory>(*addr, path, CALL_LIMIT).await;
            read.ok().map(|inventory| (name.clone(), inventory))
        });
        let inventories: Vec<(String, Inventory)> =
            join_all(reads).await.into_iter().flatten().collect();
        let after = self.ledger.catch_up().await;
        let held = inventories.iter().map(|(_, inventory)| inventory.loaded.len());
        let decided = self.ledger.state().grants().count();
        self.samples.totals.push(Total { at, loaded: held.sum(), decided });
        for artifact in loaded(&inventories) {
            self.samples.replicas.push(ReplicaSample {
                at,
                loaded: holders(&inventories, &artifact),
                granted: granted(&before, &after, &artifact),
                decided: self.ledger.decided(&artifact),
                artifact,
            });
        }
    }

    async fn revisions(&mut self) {
        let at = self.clock.now();
        let client = &self.client;
        let reads = self.statuses.iter().map(|(name, addr)| async move {
            let read = client.get::<InForce>(*addr, "/status", CALL_LIMIT).await;
            read.ok().map(|status| (name.clone(), status.revision))
        });
        for (process, revision) in join_all(reads).await.into_iter().flatten() {
            // Restarts are put in afterwards, from the log of faults.
            let up = Duration::ZERO;
            self.samples.revisions.push(RevisionSample { at, process, up, revision });
        }
    }
}

fn loaded(inventories: &[(String, Inventory)]) -> Vec<ModelName> {
    let all = inventories.iter().flat_map(|(_, inventory)| &inventory.loaded);
    let mut artifacts: Vec<ModelName> = all.map(|loaded| loaded.artifact.clone()).collect();
    artifacts.sort();
    artifacts.dedup();
    artifacts
}

fn holders(inventories: &[(String, Inventory)], artifact: &ModelName) -> Vec<String> {
    let holds =
        |inventory: &Inventory| inventory.loaded.iter().any(|held| held.artifact == *artifact);
    inventories
        .iter()
        .filter(|(_, inventory)| holds(inventory))
        .map(|(name, _)| name.clone())
        .collect()
}

fn granted(before: &Placements, after: &Placements, artifact: &ModelName) -> Vec<String> {
    let places = [before, after].into_iter().filter_map(|placements| placements.get(artifact));
    let mut places: Vec<String> = places.flatten().cloned().collect();
    places.sort();
    places.dedup();
    places
}
